/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Reads the log's records into the table, over records that have expired.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr std::size_t kHistoryLimit = 2'000;
constexpr Micros kSnapshotTurn = 3 * kSecond; ///< Time that each rank waits for the one before it.

} // namespace

std::uint64_t LogFold::nextOffset() const
{
	return this->readTo + 1;
}

bool LogFold::hasGap() const
{
	return this->gapEnd > 0;
}

bool LogFold::take(std::uint64_t _first, const std::vector<LogEntry>& _entries)
{
	const std::uint64_t before = this->current.snapshot().offset;
	if (_first > this->nextOffset())
	{
		// Whatever waits may itself have holes now; it is read again from the oldest record there is.
		this->waiting.clear();
		this->readTo = _first - 1;
		this->gapEnd = _first > before + 1 ? _first : 0;
	}
	for (const LogEntry& entry : _entries)
	{
		if (entry.offset != this->readTo + 1)
		{
			continue;
		}
		this->readTo = entry.offset;
		this->fold(entry);
	}
	return this->current.snapshot().offset != before;
}

void LogFold::fold(const LogEntry& _entry)
{
	const TableSnapshot* snapshot = nullptr;
	if (_entry.record)
	{
		snapshot = std::get_if<TableSnapshot>(&*_entry.record);
	}
	if (snapshot != nullptr)
	{
		this->snapshotAt = std::max(this->snapshotAt, snapshot->offset);
	}
	if (this->hasGap())
	{
		this->waiting.push_back(_entry);
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
	this->edits.push_back(EditHistory{_entry.offset, edit, outcome});
	if (this->edits.size() > kHistoryLimit)
	{
		this->edits.pop_front();
	}
}

bool LogFold::closeGap(const TableSnapshot& _snapshot)
{
	const bool covers = _snapshot.offset + 1 >= this->gapEnd;
	if (!covers || !this->current.adopt(_snapshot))
	{
		return false;
	}
	this->gapEnd = 0;
	const std::vector<LogEntry> entries = std::move(this->waiting);
	this->waiting.clear();
	for (const LogEntry& entry : entries)
	{
		if (entry.offset > _snapshot.offset)
		{
			this->fold(entry);
		}
	}
	return true;
}

bool LogFold::takeSnapshot(const TableSnapshot& _snapshot)
{
	if (this->hasGap())
	{
		return this->closeGap(_snapshot);
	}
	if (!this->current.adopt(_snapshot))
	{
		return false;
	}
	this->readTo = std::max(this->readTo, _snapshot.offset);
	return true;
}

const Table& LogFold::table() const
{
	return this->current;
}

std::optional<EditOutcome> LogFold::outcomeOf(const std::string& _editId) const
{
	const auto found = std::find_if(this->edits.begin(), this->edits.end(),
									[&](const EditHistory& _entry) { return _entry.edit.id == _editId; });
	return found == this->edits.end() ? std::nullopt : std::optional(found->outcome);
}

const std::deque<EditHistory>& LogFold::history() const
{
	return this->edits;
}

std::uint64_t LogFold::sinceSnapshot() const
{
	return this->readTo > this->snapshotAt ? this->readTo - this->snapshotAt : 0;
}

bool snapshotDue(std::uint64_t _sinceSnapshot, std::size_t _rank, Micros _waited)
{
	return _sinceSnapshot >= kSnapshotEvery && _waited >= static_cast<Micros>(_rank) * kSnapshotTurn;
}

} // namespace roadferry
