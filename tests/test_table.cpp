/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of the table with concurrent operators, lost answers, expired records and replaced nodes. The oracle is a
/// table that applies every record.

#include "property.h"
#include "table_json.h"

namespace
{

using namespace roadferry;

/// Model of the platform's log, with limited retention.
struct ModelLog
{
	std::uint64_t oldestOffset = 1;
	std::deque<LogEntry> entries;

	std::uint64_t append(const LogRecord& _record)
	{
		const std::uint64_t offset = this->oldestOffset + this->entries.size();
		// Converts the record to its text form and back, as on the wire.
		const auto read = recordFromText(recordToText(_record));
		RC_ASSERT(read.ok());
		this->entries.push_back(LogEntry{offset, *read});
		return offset;
	}

	std::vector<LogEntry> from(std::uint64_t _offset, std::size_t _maxCount) const
	{
		std::vector<LogEntry> result;
		for (const LogEntry& entry : this->entries)
		{
			if (entry.offset >= _offset && result.size() < _maxCount)
			{
				result.push_back(entry);
			}
		}
		return result;
	}

	void expire(std::size_t _keep)
	{
		while (this->entries.size() > _keep)
		{
			this->entries.pop_front();
			this->oldestOffset += 1;
		}
	}
};

/// A log, three nodes that read it, and the oracle.
class World
{
public:
	World() : nodes(3)
	{
	}

	/// An operator edits one row, based on the table of one node, which may be out of date.
	void edit(std::size_t _node)
	{
		const TableSnapshot& view = this->nodes[_node].table().snapshot();
		const std::string name = *rc::gen::element<std::string>("hall", "proctor", "results");
		const RowKey key{RowKind::Workspace, name};
		const auto found = view.rows.find(key);
		RowChange change;
		change.key = key;
		change.baseRevision = found == view.rows.end() ? 0 : found->second.revision;
		if (*rc::gen::inRange(0, 4) != 0)
		{
			change.row = WorkspaceRow{name, *rc::gen::element(0.5, 1.0, 2.0, 5000.0), 0};
		}
		const TableEdit edit{"edit-" + std::to_string(++this->editCount), "ana", {change}};
		this->sentEdits.push_back(edit);
		this->appendEdit(edit);
	}

	/// The same edit is appended again, as after a lost answer to an append.
	void resendEdit()
	{
		if (!this->sentEdits.empty())
		{
			this->appendEdit(*rc::gen::elementOf(this->sentEdits));
		}
	}

	void appendEdit(const TableEdit& _edit)
	{
		const std::uint64_t offset = this->log.append(_edit);
		const EditOutcome outcome = this->oracle.apply(offset, _edit);
		if (std::holds_alternative<EditAccepted>(outcome))
		{
			RC_ASSERT(this->acceptedIds.insert(_edit.id).second);
		}
	}

	void appendSnapshot(std::size_t _node)
	{
		const TableSnapshot& state = this->nodes[_node].table().snapshot();
		if (!this->nodes[_node].hasGap() && state.offset > 0)
		{
			this->oracle.skip(this->log.append(state));
			this->coveredOffset = std::max(this->coveredOffset, state.offset);
		}
	}

	void readLog(std::size_t _node)
	{
		TableReplica& node = this->nodes[_node];
		const std::uint64_t before = node.table().snapshot().offset;
		const std::size_t maxEntries = *rc::gen::inRange<std::size_t>(1, 6);
		node.applyEntries(this->log.oldestOffset, this->log.from(node.nextOffset(), maxEntries));
		RC_ASSERT(node.table().snapshot().offset >= before);
	}

	/// Replaces a VM by one with an empty table.
	void replaceNode(std::size_t _node)
	{
		this->nodes[_node] = TableReplica();
	}

	void installSnapshotFromPeer(std::size_t _node, std::size_t _peer)
	{
		const TableSnapshot peerSnapshot = this->nodes[_peer].table().snapshot();
		const std::uint64_t before = this->nodes[_node].table().snapshot().offset;
		this->nodes[_node].installSnapshot(peerSnapshot);
		RC_ASSERT(this->nodes[_node].table().snapshot().offset >= before);
	}

	/// Expires old records, but none after the last offset that a snapshot on the log covers; appending snapshots in
	/// time is the nodes' task.
	void expire()
	{
		const std::uint64_t next = this->log.oldestOffset + this->log.entries.size();
		const std::uint64_t keep = next - (this->coveredOffset + 1) + 1;
		this->log.expire(static_cast<std::size_t>(std::min<std::uint64_t>(keep, this->log.entries.size())));
	}

	/// Checks that every node holds the oracle's table after it has read the whole log. A node may have a gap only
	/// while no snapshot was appended.
	void checkConvergence()
	{
		for (TableReplica& node : this->nodes)
		{
			for (int round = 0; round < 400 && node.nextOffset() < this->log.oldestOffset + this->log.entries.size();
				 ++round)
			{
				node.applyEntries(this->log.oldestOffset, this->log.from(node.nextOffset(), 5));
			}
			if (!node.hasGap())
			{
				RC_ASSERT(node.table().snapshot() == this->oracle.snapshot());
			}
			else
			{
				RC_ASSERT(this->coveredOffset == 0);
			}
		}
	}

private:
	ModelLog log;
	std::vector<TableReplica> nodes;
	Table oracle;
	std::vector<TableEdit> sentEdits;
	std::set<std::string> acceptedIds;
	std::uint64_t coveredOffset = 0;
	std::uint64_t editCount = 0;
};

void step(World& _world)
{
	const std::size_t node = *rc::gen::inRange<std::size_t>(0, 3);
	switch (*rc::gen::inRange(0, 10))
	{
	case 0:
	case 1:
	case 2:
		_world.edit(node);
		break;
	case 3:
		_world.resendEdit();
		break;
	case 4:
		_world.appendSnapshot(node);
		break;
	case 5:
		_world.replaceNode(node);
		break;
	case 6:
		_world.installSnapshotFromPeer(node, *rc::gen::inRange<std::size_t>(0, 3));
		break;
	case 7:
		_world.expire();
		break;
	default:
		_world.readLog(node);
		break;
	}
}

} // namespace

Test(table, all_nodes_converge_to_the_table_of_the_oracle)
{
	checkHistories("table",
				   []
				   {
					   World world;
					   const int steps = *rc::gen::inRange(1, 150);
					   for (int index = 0; index < steps; ++index)
					   {
						   step(world);
					   }
					   world.checkConvergence();
				   });
}

Test(table, delayed_copy_of_an_edit_does_not_restore_a_deleted_row)
{
	const RowKey key{RowKind::Workspace, "hall"};
	const TableEdit create{"a", "ana", {RowChange{key, 0, WorkspaceRow{"hall", 1.0, 0}}}};
	const TableEdit remove{"b", "ben", {RowChange{key, 1, std::nullopt}}};
	Table table;
	cr_assert(std::holds_alternative<EditAccepted>(table.apply(1, create)));
	cr_assert(std::holds_alternative<EditAccepted>(table.apply(2, remove)));
	const EditOutcome late = table.apply(3, create);
	cr_assert(std::holds_alternative<EditConflict>(late));
	cr_assert_eq(std::get<EditConflict>(late).currentRevision, 2);
	cr_assert_null(table.workspace("hall"));
}

Test(table, invalid_edit_reports_row_field_and_requirement)
{
	Table table;
	const RowKey key{RowKind::Stage, "encode"};
	StageRow row;
	row.name = "encode";
	row.pool = "gpu";
	row.maxAttempts = 9;
	const EditOutcome outcome = table.apply(1, TableEdit{"a", "ana", {RowChange{key, 0, row}}});
	const auto expected = EditInvalid{key, "attempts", "a whole number from 1 to 5"};
	cr_assert(std::get<EditInvalid>(outcome) == expected);
}

Test(table, arbitrary_record_text_is_parsed_or_rejected_with_a_message)
{
	checkHistories("records",
				   []
				   {
					   const auto text = *rc::gen::arbitrary<std::string>();
					   RC_ASSERT(!recordFromText(text).ok() || !text.empty());
					   std::string record = recordToText(TableEdit{
						   "id", "ana", {RowChange{{RowKind::Workspace, "hall"}, 0, WorkspaceRow{"hall", 1, 0}}}});
					   const auto position = *rc::gen::inRange<std::size_t>(0, record.size());
					   record[position] = *rc::gen::arbitrary<char>();
					   const auto read = recordFromText(record);
					   RC_ASSERT(read.ok() || !read.status().message().empty());
				   });
}
