/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Applies the log's records to the table, and bridges expired records with a snapshot.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr std::size_t kMaxHistory = 2'000;
constexpr Micros kSnapshotDelayPerRank = 3 * kSecond; ///< Time by which each rank waits longer than the one before it.

} // namespace

std::uint64_t TableReplica::nextOffset() const
{
	return this->lastReadOffset + 1;
}

bool TableReplica::hasGap() const
{
	return this->gapEnd > 0;
}

bool TableReplica::applyEntries(std::uint64_t _oldestOffset, const std::vector<LogEntry>& _entries)
{
	const std::uint64_t before = this->current.snapshot().offset;
	if (_oldestOffset > this->nextOffset())
	{
		// More records have expired, so the stored ones are no longer contiguous with those to come. Reading starts
		// again at the oldest record that the log holds.
		this->entriesAfterGap.clear();
		this->lastReadOffset = _oldestOffset - 1;
		this->gapEnd = _oldestOffset > before + 1 ? _oldestOffset : 0;
	}
	for (const LogEntry& entry : _entries)
	{
		if (entry.offset != this->lastReadOffset + 1)
		{
			continue;
		}
		this->lastReadOffset = entry.offset;
		this->applyEntry(entry);
	}
	return this->current.snapshot().offset != before;
}

void TableReplica::applyEntry(const LogEntry& _entry)
{
	const TableSnapshot* snapshot = nullptr;
	if (_entry.record)
	{
		snapshot = std::get_if<TableSnapshot>(&*_entry.record);
	}
	if (snapshot != nullptr)
	{
		this->newestSnapshotOffset = std::max(this->newestSnapshotOffset, snapshot->offset);
	}
	if (this->hasGap())
	{
		this->entriesAfterGap.push_back(_entry);
		if (snapshot != nullptr)
		{
			this->closeGap(*snapshot);
		}
		return;
	}
	if (!_entry.record || snapshot != nullptr)
	{
		this->current.skip(_entry.offset);
		return;
	}
	const auto& edit = std::get<TableEdit>(*_entry.record);
	const EditOutcome outcome = this->current.apply(_entry.offset, edit);
	if (std::holds_alternative<EditAlreadyApplied>(outcome))
	{
		return;
	}
	this->edits.push_back(EditHistoryEntry{_entry.offset, edit, outcome});
	if (this->edits.size() > kMaxHistory)
	{
		this->edits.pop_front();
	}
}

bool TableReplica::closeGap(const TableSnapshot& _snapshot)
{
	const bool covers = _snapshot.offset + 1 >= this->gapEnd;
	if (!covers || !this->current.installSnapshot(_snapshot))
	{
		return false;
	}
	this->gapEnd = 0;
	const std::vector<LogEntry> entries = std::move(this->entriesAfterGap);
	this->entriesAfterGap.clear();
	for (const LogEntry& entry : entries)
	{
		if (entry.offset > _snapshot.offset)
		{
			this->applyEntry(entry);
		}
	}
	return true;
}

bool TableReplica::installSnapshot(const TableSnapshot& _snapshot)
{
	if (this->hasGap())
	{
		return this->closeGap(_snapshot);
	}
	if (!this->current.installSnapshot(_snapshot))
	{
		return false;
	}
	this->lastReadOffset = std::max(this->lastReadOffset, _snapshot.offset);
	return true;
}

const Table& TableReplica::table() const
{
	return this->current;
}

std::optional<EditOutcome> TableReplica::outcomeOf(const std::string& _editId) const
{
	const auto found = std::find_if(this->edits.begin(), this->edits.end(),
									[&](const EditHistoryEntry& _entry) { return _entry.edit.id == _editId; });
	return found == this->edits.end() ? std::nullopt : std::optional(found->outcome);
}

const std::deque<EditHistoryEntry>& TableReplica::history() const
{
	return this->edits;
}

std::uint64_t TableReplica::recordsSinceSnapshot() const
{
	return this->lastReadOffset > this->newestSnapshotOffset ? this->lastReadOffset - this->newestSnapshotOffset : 0;
}

bool isSnapshotDue(std::uint64_t _recordsSinceSnapshot, std::size_t _rank, Micros _dueFor)
{
	return _recordsSinceSnapshot >= kRecordsPerSnapshot &&
		   _dueFor >= static_cast<Micros>(_rank) * kSnapshotDelayPerRank;
}

} // namespace roadferry
