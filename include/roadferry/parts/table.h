/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: table: the operators' configuration, rows of weights and limits.

#ifndef ROADFERRY_PARTS_TABLE_H_HEADER_GUARD
#define ROADFERRY_PARTS_TABLE_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace roadferry
{

/// What an endpoint of a stage does.
enum class StageKind
{
	Encoder,
	Retriever,
	Reranker,
	Engine, ///< Generates tokens and streams them.
	Service ///< Serves plain calls, for instance to save an answer.
};

/// Type of a row.
enum class RowKind
{
	Workspace,
	Pipeline,
	Stage
};

/// Weight and limits of one workspace.
struct WorkspaceRow
{
	std::string name;
	double weight = 1.0;          ///< Share relative to other workspaces when endpoints are scarce, 0.01 to 1000.
	std::int64_t maxInFlight = 0; ///< Maximum requests in flight over all entry VMs, 0 for no limit.
	bool operator==(const WorkspaceRow&) const = default;
};

/// A pipeline: its stages in the order they run, its workspace and its deadline.
struct PipelineRow
{
	std::string name;
	std::string workspace;
	std::vector<std::string> stages;
	std::int64_t deadlineMs = 3'000; ///< Default and maximum time limit of a request, in milliseconds.
	bool urgent = false;             ///< Its requests are ordered first and may use reserved slots.
	bool operator==(const PipelineRow&) const = default;
};

/// A stage: the pool of endpoints that it runs on, and how often it may be attempted.
struct StageRow
{
	std::string name;
	StageKind kind = StageKind::Service;
	std::string pool;
	bool repeatable = true;       ///< False if a second run could do harm; the caller cannot override it.
	std::int64_t maxAttempts = 2; ///< Maximum attempts for one request, 1 to 5.
	std::int64_t expectedMs = 50; ///< Service time assumed until measurements exist, in milliseconds.
	bool operator==(const StageRow&) const = default;
};

using Row = std::variant<WorkspaceRow, PipelineRow, StageRow>;

/// Identifies a row.
struct RowKey
{
	RowKind kind = RowKind::Workspace;
	std::string name;
	auto operator<=>(const RowKey&) const = default;
};

/// Change of one row, as part of an edit.
struct RowChange
{
	RowKey key;
	std::uint64_t baseRevision = 0; ///< Revision that the operator saw, 0 if the row never existed.
	std::optional<Row> row;         ///< New content; empty deletes the row.
	bool operator==(const RowChange&) const = default;
};

/// An operator's edit, applied completely or not at all.
struct TableEdit
{
	std::string id; ///< Chosen by the sender; finds the outcome if the log's answer to the append is lost.
	std::string author;
	std::vector<RowChange> changes;
	bool operator==(const TableEdit&) const = default;
};

/// A row and its revision, the log offset of the edit that wrote it. A deleted row keeps its revision, so that a
/// delayed copy of an old edit cannot restore it.
struct StoredRow
{
	std::uint64_t revision = 0;
	std::optional<Row> row;
	bool operator==(const StoredRow&) const = default;
};

/// State of the table after all log records up to an offset.
struct TableSnapshot
{
	std::uint64_t offset = 0;
	std::map<RowKey, StoredRow> rows;
	bool operator==(const TableSnapshot&) const = default;
};

/// The edit was applied.
struct EditAccepted
{
	std::uint64_t offset = 0;
	bool operator==(const EditAccepted&) const = default;
};

/// A row was changed after the operator read it; no part of the edit was applied.
struct EditConflict
{
	RowKey key;
	std::uint64_t baseRevision = 0;
	std::uint64_t currentRevision = 0;
	bool operator==(const EditConflict&) const = default;
};

/// A field is outside its limits; no part of the edit was applied.
struct EditInvalid
{
	RowKey key;
	std::string field;
	std::string requirement; ///< Continues the sentence "must be" in messages.
	bool operator==(const EditInvalid&) const = default;
};

/// The record's offset is not above the table's offset, so the table already includes it.
struct EditAlreadyApplied
{
	std::uint64_t tableOffset = 0;
	bool operator==(const EditAlreadyApplied&) const = default;
};

using EditOutcome = std::variant<EditAccepted, EditConflict, EditInvalid, EditAlreadyApplied>;

/// The rows that result from the log's records. Applying records is deterministic: nodes that apply the same records
/// hold the same rows.
class Table
{
public:
	/// Applies one edit.
	/// @param[in] _offset Offset of the record on the log, above zero.
	/// @param[in] _edit The edit as recorded.
	/// @returns Outcome of the edit; the same on every node.
	EditOutcome apply(std::uint64_t _offset, const TableEdit& _edit);

	/// Advances past a record that carries no edit: a snapshot, or a record that cannot be parsed.
	/// @param[in] _offset Offset of the record on the log.
	void skip(std::uint64_t _offset);

	/// Replaces the state by a snapshot if that is newer; an older one is ignored.
	/// @param[in] _snapshot State after all records up to its offset.
	/// @returns Whether the snapshot was installed.
	bool installSnapshot(const TableSnapshot& _snapshot);

	/// @returns The state after the last record applied.
	[[nodiscard]] const TableSnapshot& snapshot() const;

	/// @returns The outcome that an edit would have if it were applied now.
	[[nodiscard]] EditOutcome check(const TableEdit& _edit) const;

	/// @returns The row, or null if it does not exist.
	[[nodiscard]] const WorkspaceRow* workspace(const std::string& _name) const;
	[[nodiscard]] const PipelineRow* pipeline(const std::string& _name) const;
	[[nodiscard]] const StageRow* stage(const std::string& _name) const;

private:
	TableSnapshot state;
};

/// Checks the fields of one row against their limits.
/// @param[in] _key Key under which the row is to be stored.
/// @param[in] _row The row.
/// @returns The first invalid field and its requirement, or nothing.
std::optional<EditInvalid> checkRow(const RowKey& _key, const Row& _row);

/// @returns The key of a row, from its type and name.
RowKey keyOf(const Row& _row);

/// Names used in JSON and on the command line.
std::string_view nameOf(StageKind _kind);
std::string_view nameOf(RowKind _kind);
std::optional<StageKind> stageKindOf(std::string_view _name);
std::optional<RowKind> rowKindOf(std::string_view _name);

/// A record of the log: an edit, or a snapshot, so that a new node need not read the records before it.
using LogRecord = std::variant<TableEdit, TableSnapshot>;

/// A record with its offset. A record that cannot be parsed has no content, and every node skips it.
struct LogEntry
{
	std::uint64_t offset = 0;
	std::optional<LogRecord> record;
	bool operator==(const LogEntry&) const = default;
};

/// One edit and its outcome, in the history for operators.
struct EditHistoryEntry
{
	std::uint64_t offset = 0;
	TableEdit edit;
	EditOutcome outcome;
	bool operator==(const EditHistoryEntry&) const = default;
};

/// A node's replica of the table, built from a log whose oldest records expire.
///
/// If records expired before the node read them, it waits for a snapshot that covers them, from the log or from another
/// node; until then its table does not change.
class TableReplica
{
public:
	/// @returns Offset of the record to read next.
	[[nodiscard]] std::uint64_t nextOffset() const;

	/// Processes records read from the log.
	/// @param[in] _oldestOffset Offset of the oldest record that the log still holds.
	/// @param[in] _entries Consecutive records from nextOffset() on, or from _oldestOffset on if that is later.
	/// @returns Whether the table has changed.
	bool applyEntries(std::uint64_t _oldestOffset, const std::vector<LogEntry>& _entries);

	/// Installs a snapshot of another node's table.
	/// @returns Whether the table has changed.
	bool installSnapshot(const TableSnapshot& _snapshot);

	/// @returns Whether records are missing that no snapshot has covered yet.
	[[nodiscard]] bool hasGap() const;

	[[nodiscard]] const Table& table() const;

	/// @returns The first outcome of the edit with that id, or nothing if it is not in the history.
	[[nodiscard]] std::optional<EditOutcome> outcomeOf(const std::string& _editId) const;

	/// @returns The latest edits from the log, oldest first.
	[[nodiscard]] const std::deque<EditHistoryEntry>& history() const;

	/// @returns Number of records read beyond those that the newest snapshot on the log covers.
	[[nodiscard]] std::uint64_t recordsSinceSnapshot() const;

private:
	void applyEntry(const LogEntry& _entry);
	bool closeGap(const TableSnapshot& _snapshot);

	Table current;
	std::uint64_t lastReadOffset = 0;      ///< Offset of the last record read, applied or not.
	std::uint64_t gapEnd = 0;              ///< Offset of the first record after the missing ones, 0 for no gap.
	std::vector<LogEntry> entriesAfterGap; ///< Records read after the gap.
	std::deque<EditHistoryEntry> edits;
	std::uint64_t newestSnapshotOffset = 0; ///< Last offset that the newest snapshot on the log covers.
};

/// Decides whether a node is to append a snapshot now. Each rank waits longer than the one before it, so that usually
/// one node appends; two snapshots of the same offset are equal and do no harm.
/// @param[in] _recordsSinceSnapshot Records since the newest snapshot on the log.
/// @param[in] _rank Index of this node among the live nodes, from 0.
/// @param[in] _dueFor Time since the snapshot fell due.
bool isSnapshotDue(std::uint64_t _recordsSinceSnapshot, std::size_t _rank, Micros _dueFor);

/// Number of records after which a snapshot falls due.
constexpr std::uint64_t kRecordsPerSnapshot = 200;

} // namespace roadferry

#endif // ROADFERRY_PARTS_TABLE_H_HEADER_GUARD
