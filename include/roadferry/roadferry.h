/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Public interface of the roadferry library: decision logic of a serving system for multi-stage model pipelines.
///
/// Everything in this header is a value type or a state machine. A state machine takes an event and the current time
/// and returns the actions to perform. It opens no socket, reads no clock, starts no thread, and uses no source of
/// randomness other than the seed it is given. The daemon, the property tests and the benchmarks therefore run the
/// same code.

#ifndef ROADFERRY_H_HEADER_GUARD
#define ROADFERRY_H_HEADER_GUARD

#include <roadferry/parts/batches.h>
#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/feed_exchange.h>
#include <roadferry/parts/feed_relay.h>
#include <roadferry/parts/routes.h>
#include <roadferry/parts/time.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace roadferry
{

// ---------------------------------------------------------------------------------------------------------------
// Table: the operators' configuration, rows of weights and limits.
// ---------------------------------------------------------------------------------------------------------------

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

// ---------------------------------------------------------------------------------------------------------------
// Outcomes and tickets: at most once without a store.
// ---------------------------------------------------------------------------------------------------------------

/// How a request ended.
enum class Verdict
{
	Answered, ///< The complete answer was received.
	NotRun,   ///< No byte of the request was sent to any endpoint.
	Unknown   ///< The request may have run, completely or in part.
};

/// Why a request ended as it did.
enum class Reason
{
	None,
	UnknownPipeline,
	UnknownStage,
	WrongWorkspace,
	WorkspaceLimit, ///< The workspace has reached its limit of requests in flight.
	WouldBeLate,    ///< Predicted to miss its deadline; refused on arrival or dropped while it waited.
	QueueFull,
	NoEndpoint, ///< A pool has no live endpoint.
	DeadlinePassed,
	AttemptsExhausted,
	RetryBudgetEmpty,
	CutWhileRunning, ///< The connection was lost after bytes of a non-repeatable call were sent.
	Cancelled,
	TicketSealed,   ///< The ticket was revoked before it was used; its request did not and will not run.
	TicketMismatch, ///< The ticket was already used for a different request.
	TicketExpired,
	IssuerUnreachable,
	Draining,
	RoutesStale ///< The node's routes and endpoint list are out of date.
};

/// Final state of a request.
struct Outcome
{
	Verdict verdict = Verdict::Unknown;
	Reason reason = Reason::None;
	bool repeatSafe = false; ///< Whether the request can safely be run again.
	Micros retryAfter = 0;   ///< Suggested delay before a retry, 0 for no suggestion.
	std::string stage;       ///< Stage at which the request ended, empty if it was refused on arrival or answered.
	bool operator==(const Outcome&) const = default;
};

std::string_view nameOf(Verdict _verdict);
std::string_view nameOf(Reason _reason);

/// Identifies one run of a node's process. A restarted process is a new incarnation.
struct Incarnation
{
	std::string node;         ///< Identity of the VM, for instance its address.
	std::uint64_t number = 0; ///< Random, drawn when the process starts.
	auto operator<=>(const Incarnation&) const = default;
};

/// Permission to run one request once, on the incarnation that issued it.
struct Ticket
{
	Incarnation issuer;
	std::uint64_t serial = 0; ///< Counts up within the incarnation.
	std::uint64_t nonce = 0;  ///< Random, so that a ticket cannot be guessed.
	auto operator<=>(const Ticket&) const = default;
};

/// @returns Text of a ticket as callers hold it: node~incarnation~serial~nonce, the numbers in hexadecimal.
std::string toText(const Ticket& _ticket);

/// @returns The ticket, or InvalidArgument that says what is wrong with the text.
absl::StatusOr<Ticket> ticketFromText(std::string_view _text);

/// First copy of the request: run it now.
struct TicketRun
{
	bool operator==(const TicketRun&) const = default;
};

/// An earlier copy is running: wait for its outcome.
struct TicketAttach
{
	bool operator==(const TicketAttach&) const = default;
};

/// An earlier copy has ended: return its outcome again.
struct TicketReplay
{
	Outcome outcome;
	bool operator==(const TicketReplay&) const = default;
};

/// Another incarnation issued the ticket: only that one can decide.
struct TicketOtherIssuer
{
	Incarnation issuer;
	bool operator==(const TicketOtherIssuer&) const = default;
};

/// This incarnation never runs the request.
struct TicketRefused
{
	Outcome outcome;
	bool operator==(const TicketRefused&) const = default;
};

using TicketDecision = std::variant<TicketRun, TicketAttach, TicketReplay, TicketOtherIssuer, TicketRefused>;

/// State of a ticket, read without presenting a request under it.
enum class TicketState
{
	OtherIssuer,
	Unknown, ///< Expired or never issued: its outcome is not known.
	Unused,
	Running,
	Ended
};

/// Limits of a TicketRegistry.
struct TicketLimits
{
	Micros unusedTtl = 600 * kSecond;  ///< How long an unused ticket may be presented.
	Micros outcomeTtl = 600 * kSecond; ///< How long the outcome of an ended ticket is kept.
	std::size_t capacity = 500'000;    ///< Maximum number of tickets held; further ones are refused.
	bool operator==(const TicketLimits&) const = default;
};

/// Final report of an incarnation that stops as planned. The incarnation runs nothing after it.
struct ShutdownReport
{
	Incarnation issuer;
	/// Serials above this one that are not in `outcomes` never ran; nothing is known of the others.
	std::uint64_t expiredUpTo = 0;
	std::map<std::uint64_t, Outcome> outcomes; ///< By serial.
	bool operator==(const ShutdownReport&) const = default;
};

/// Answers for incarnations that have sent a shutdown report.
class ShutdownReportCache
{
public:
	/// @param[in] _ttl How long a report is kept; at least the TTL of tickets plus that of outcomes.
	explicit ShutdownReportCache(Micros _ttl);

	void add(const ShutdownReport& _report, Micros _now);

	/// @returns Outcome of the ticket, or nothing when no report of its issuer is held.
	[[nodiscard]] std::optional<Outcome> outcomeOf(const Ticket& _ticket, Micros _now) const;

private:
	Micros ttl;
	std::map<Incarnation, std::pair<Micros, ShutdownReport>> reports;
};

/// The tickets that one incarnation has issued. A ticket never moves to another node, so no lease can expire and no
/// two nodes can disagree about it.
class TicketRegistry
{
public:
	TicketRegistry(Incarnation _self, TicketLimits _limits);

	/// Issues a ticket.
	/// @param[in] _workspace Workspace that may use it.
	/// @param[in] _nonce Random number from the caller of this function.
	/// @param[in] _now Current time.
	/// @returns The ticket, or ResourceExhausted when the registry is full.
	absl::StatusOr<Ticket> issue(const std::string& _workspace, std::uint64_t _nonce, Micros _now);

	/// Presents a request under a ticket.
	/// @param[in] _ticket Ticket from the caller.
	/// @param[in] _workspace Workspace of the caller.
	/// @param[in] _digest Hash of the request, to refuse a different request under the same ticket.
	/// @param[in] _now Current time.
	TicketDecision present(const Ticket& _ticket, const std::string& _workspace, std::uint64_t _digest, Micros _now);

	/// Records the outcome of a running ticket. Later outcomes of the same ticket are ignored.
	void recordOutcome(const Ticket& _ticket, const Outcome& _outcome, Micros _now);

	/// Revokes an unused ticket, so that it never runs. Its outcome is Reason::TicketSealed.
	/// @returns TicketReplay if it has ended or is revoked, TicketAttach if it is running, TicketOtherIssuer if another
	/// incarnation issued it, TicketRefused otherwise.
	TicketDecision revoke(const Ticket& _ticket, const std::string& _workspace, Micros _now);

	/// @returns State of a ticket, and its outcome if it has ended.
	[[nodiscard]] std::pair<TicketState, Outcome> stateOf(const Ticket& _ticket, const std::string& _workspace) const;

	/// Removes tickets and outcomes whose TTL has passed.
	void expire(Micros _now);

	/// Revokes all unused tickets. Called at the end of a planned stop, with nothing running.
	/// @returns What other nodes need to answer for this incarnation after it has stopped.
	ShutdownReport shutDown(Micros _now);

	[[nodiscard]] std::size_t size() const;
	[[nodiscard]] const Incarnation& self() const;

private:
	struct Entry
	{
		std::string workspace;
		std::uint64_t nonce = 0;
		std::uint64_t digest = 0;
		TicketState state = TicketState::Unused;
		Micros issuedOrEndedAt = 0;
		Outcome outcome;
	};

	[[nodiscard]] const Entry* find(const Ticket& _ticket, const std::string& _workspace) const;

	Incarnation identity;
	TicketLimits limits;
	std::uint64_t lastSerial = 0;
	std::uint64_t expiredUpTo = 0; ///< Highest serial that was removed.
	std::unordered_map<std::uint64_t, Entry> entries;
	std::deque<std::pair<Micros, std::uint64_t>> expiry; ///< Next expiry check of each serial, oldest first.
};

// ---------------------------------------------------------------------------------------------------------------
// Membership: which nodes are alive.
// ---------------------------------------------------------------------------------------------------------------

enum class MemberState
{
	Alive,
	Suspect, ///< Did not answer a probe; counts as alive until the suspicion times out.
	Dead,
	Left ///< Stopped as planned.
};

std::string_view nameOf(MemberState _state);

/// State of one node, as sent in gossip.
struct Member
{
	std::string address;
	std::uint64_t version = 0; ///< Grows with each start of the process and each refutation of a false suspicion.
	MemberState state = MemberState::Alive;
	std::uint64_t tableOffset = 0;     ///< Offset of the table in force on that node.
	std::int64_t processorPercent = 0; ///< Share of a core that its VM provides; 0 if unknown.
	bool operator==(const Member&) const = default;
};

/// Selects the nodes that may form batches for all nodes: VMs with much processor time, since a batching node handles
/// the pieces of all of them, and among these the processes that have run longest, so that a node that has just
/// restarted does not take over queues and the account of results from one that works.
/// @param[in] _alive Live members, with versions that start at the wall clock, in microseconds.
/// @returns Sorted addresses, at least one unless @p _alive is empty.
std::vector<std::string> batchingNodes(const std::vector<Member>& _alive);

enum class GossipKind
{
	Ping,
	Ack,
	PingRequest, ///< Asks the receiver to ping a third node and to relay its answer.
	Join         ///< A ping whose answer lists all members.
};

/// A heartbeat that carries updates of some members.
struct Gossip
{
	GossipKind kind = GossipKind::Ping;
	std::uint64_t sequence = 0;  ///< Echoed in the answer.
	std::string target;          ///< Node to ping in a PingRequest; empty otherwise.
	std::vector<Member> updates; ///< The sender's own state first.
	bool operator==(const Gossip&) const = default;
};

/// Send a gossip message.
struct SendGossip
{
	std::string to;
	Gossip message;
	bool operator==(const SendGossip&) const = default;
};

/// Timing and sizes of Membership.
struct MembershipConfig
{
	Micros probePeriod = kSecond;           ///< Time between two probes.
	Micros ackTimeout = 300 * kMillisecond; ///< Time without an answer before indirect probes are requested.
	Micros suspicionTimeout = 3 * kSecond;  ///< Time to refute, for up to eight nodes; grows with their logarithm.
	std::size_t indirectProbes = 3;         ///< Nodes asked to probe a node that did not answer.
	std::size_t updatesPerMessage = 8;      ///< Pending updates in a message, if there are that many.
	std::size_t maxUpdatesPerMessage = 40;  ///< Upper bound after the loss of many nodes at once.
	Micros seedPeriod = 5 * kSecond;        ///< Time between two attempts to contact a listed node that is not alive.
	Micros goneRetention = 600 * kSecond;   ///< How long a dead node, or one that has left, is remembered.
	bool operator==(const MembershipConfig&) const = default;
};

/// Tracks which nodes are alive, by probes and gossip. The cost per node does not depend on the number of nodes. The
/// view decides on shares and on which node appends snapshots, but never on which node may run a ticket.
class Membership
{
public:
	/// @param[in] _address Own address.
	/// @param[in] _version First version, above that of earlier processes at this address: the wall clock at start.
	Membership(std::string _address, std::uint64_t _version, MembershipConfig _config, std::uint64_t _seed);

	/// Sets the nodes of the VM list, alive or not.
	void setSeeds(const std::vector<std::string>& _addresses);

	/// Sets the table offset in force on this node. Each message carries it to its receiver; it is not disseminated
	/// further.
	void setTableOffset(std::uint64_t _offset);

	/// Sets the share of a core that this node's VM provides. Call it before the first tick, so that it spreads.
	void setProcessorPercent(std::int64_t _percent);

	std::vector<SendGossip> receive(const std::string& _from, const Gossip& _message, Micros _now);
	std::vector<SendGossip> tick(Micros _now);

	/// @returns Messages that announce to some nodes that this one leaves as planned.
	std::vector<SendGossip> leave();

	/// @returns All known members by address, including this node.
	[[nodiscard]] const std::map<std::string, Member>& members() const;

	/// @returns Sorted addresses of the nodes that count as alive, including this one.
	[[nodiscard]] std::vector<std::string> alive() const;

	/// @returns The members that count as alive, including this node, sorted by address.
	[[nodiscard]] std::vector<Member> aliveMembers() const;

private:
	struct Probe
	{
		std::string target;
		std::uint64_t sequence = 0;
		Micros sentAt = 0;
		bool indirectRequested = false;
		bool answered = false;
	};

	struct PendingUpdate
	{
		std::size_t sendCount = 0;
	};

	void applyUpdate(const Member& _update, Micros _now, bool _spread);
	void store(const Member& _update, Micros _now, bool _spread);
	[[nodiscard]] std::pair<bool, std::size_t> priorityOf(const std::string& _address,
														  const PendingUpdate& _pending) const;
	void suspect(const std::string& _address, Micros _now);
	void expireSuspects(Micros _now);
	void startNextProbe(Micros _now, std::vector<SendGossip>& _out);
	void requestIndirectProbes(Micros _now, std::vector<SendGossip>& _out);
	void contactSeed(Micros _now, std::vector<SendGossip>& _out);
	std::vector<Member> takeUpdates();
	[[nodiscard]] std::vector<Member> allMembers() const;
	SendGossip message(const std::string& _to, GossipKind _kind, std::uint64_t _sequence);
	[[nodiscard]] std::size_t log2OfMembers() const;

	std::string self;
	MembershipConfig config;
	std::minstd_rand random;
	std::map<std::string, Member> knownMembers;
	std::map<std::string, Micros> notAliveSince; ///< For members that are not alive: when they entered that state.
	std::map<std::string, PendingUpdate> pendingUpdates; ///< Members whose state is still to be disseminated.
	std::vector<std::string> seeds;
	std::vector<std::string> probeOrder; ///< Nodes still to be probed in this round, last one first.
	std::optional<Probe> probe;
	/// Pings sent for other nodes: the requester and its sequence number, by own sequence number.
	std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> relayedPings;
	std::uint64_t lastSequence = 0;
	Micros nextProbeAt = 0;
	Micros nextSeedAt = 0;
	Micros nextExpiryAt = 0;
};

// ---------------------------------------------------------------------------------------------------------------
// Shares: a workspace's limit split over nodes.
// ---------------------------------------------------------------------------------------------------------------

/// Demand of one node for the workspaces of one coordinator. A workspace that is not listed has no demand on that node.
struct DemandReport
{
	bool fallback = false; ///< The coordinator does not answer the sender, which falls back to its even split.
	/// Requests in flight plus those recently refused for the workspace's limit, by workspace.
	std::map<std::string, std::int64_t> demand;
	bool operator==(const DemandReport&) const = default;
};

/// Shares that a coordinator grants to one node, by workspace.
struct ShareGrant
{
	std::map<std::string, std::int64_t> shares;
	bool operator==(const ShareGrant&) const = default;
};

struct SendDemand
{
	std::string to;
	DemandReport report;
	bool operator==(const SendDemand&) const = default;
};

struct SendGrant
{
	std::string to;
	ShareGrant grant;
	bool operator==(const SendGrant&) const = default;
};

using ShareAction = std::variant<SendDemand, SendGrant>;

/// Timing and sizes of ShareAllocator.
struct ShareConfig
{
	Micros reportPeriod = 500 * kMillisecond; ///< Between two reports, for up to 50 nodes; grows with their number.
	Micros leaseDuration = 3 * kSecond;       ///< Validity of a grant; at least six report periods.
	std::size_t nodesPerCoordinator = 20;     ///< Each workspace has one coordinator.
	bool operator==(const ShareConfig&) const = default;
};

/// Splits each workspace's limit over the nodes by demand.
///
/// Each node may always use a floor of a quarter of an even split. One node per workspace, the coordinator, grants the
/// rest of the limit under leases. A node whose coordinator does not answer stops reporting demand, waits until the
/// coordinator has discarded its reports, and falls back to the even split, which the coordinator reserves for each
/// listed node that does not report. The sum over all nodes is therefore at most the limit, or one per node where that
/// is more, also during a network partition. It may exceed the limit for one lease after the list of nodes has changed.
class ShareAllocator
{
public:
	ShareAllocator(std::string _self, ShareConfig _config);

	/// @param[in] _listed All nodes of the VM list, alive or not, including this one.
	/// @param[in] _alive Nodes that count as alive.
	void setNodes(const std::vector<std::string>& _listed, const std::vector<std::string>& _alive, Micros _now);

	/// @param[in] _limits Limit of each workspace that has one.
	void setLimits(const std::map<std::string, std::int64_t>& _limits);

	/// Sets this node's demand, by workspace: requests in flight plus those refused for the limit.
	void setDemand(const std::map<std::string, std::int64_t>& _demand);

	std::vector<ShareAction> tick(Micros _now);
	void receiveDemand(const std::string& _from, const DemandReport& _report, Micros _now);
	void receiveGrant(const std::string& _from, const ShareGrant& _grant, Micros _now);

	/// @returns This node's share of each limited workspace.
	[[nodiscard]] std::map<std::string, std::int64_t> shares(Micros _now) const;

	/// @returns The coordinator of a workspace.
	[[nodiscard]] std::string coordinatorOf(const std::string& _workspace) const;

private:
	struct ReceivedReport
	{
		std::map<std::string, std::int64_t> demand;
		Micros receivedAt = 0;
	};

	struct ShareLease
	{
		std::int64_t share = 0;
		Micros expiresAt = 0;
	};

	/// Contact with one coordinator.
	struct CoordinatorLink
	{
		Micros lastHeardAt = 0;
		std::optional<Micros> silentSince; ///< Since when reports have carried the fallback flag, if they do.
	};

	void updateCoordinatorLinks(Micros _now);
	[[nodiscard]] static std::int64_t highestShare(const std::vector<ShareLease>& _leases);
	static void addLease(std::vector<ShareLease>& _leases, const ShareLease& _lease);
	[[nodiscard]] Micros reportPeriod() const;
	[[nodiscard]] Micros leaseDuration() const;
	[[nodiscard]] std::int64_t evenSplit(std::int64_t _limit) const;
	[[nodiscard]] std::int64_t floorOf(std::int64_t _limit) const;
	void assignCoordinators();
	void sendReports(Micros _now, std::vector<ShareAction>& _out);
	void sendGrants(Micros _now, std::vector<ShareAction>& _out);
	void grantWorkspace(const std::string& _workspace, std::int64_t _limit, Micros _now,
						std::map<std::string, ShareGrant>& _grants);

	std::string self;
	ShareConfig config;
	std::vector<std::string> listedNodes;
	std::vector<std::string> aliveNodes;
	std::vector<std::string> coordinators;
	std::map<std::string, std::string> coordinatorByWorkspace;
	std::map<std::string, std::int64_t> limits;
	std::map<std::string, std::int64_t> demand;
	std::map<std::string, ShareLease> ownLeases;   ///< Leases granted to this node, by workspace.
	std::map<std::string, ReceivedReport> reports; ///< As coordinator: newest report of each node.
	std::set<std::string> reporters;               ///< As coordinator: nodes that have reported since the last grants.
	/// As coordinator: leases by workspace and node.
	std::map<std::string, std::map<std::string, std::vector<ShareLease>>> grantedLeases;
	std::map<std::string, CoordinatorLink> coordinatorLinks; ///< By coordinator.
	Micros nextReportAt = 0;
	bool nodesSet = false;         ///< Whether the nodes have been set at least once.
	Micros grantsBlockedUntil = 0; ///< As coordinator: grants of a previous coordinator may be valid until then.
};

// ---------------------------------------------------------------------------------------------------------------
// Endpoints: membership, leaving endpoints, load.
// ---------------------------------------------------------------------------------------------------------------

/// Load that an endpoint reports about itself.
struct LoadReport
{
	std::int64_t running = 0;
	std::int64_t queued = 0;
	bool leaving = false;
	bool operator==(const LoadReport&) const = default;
};

/// State of one endpoint as a node sees it.
struct EndpointState
{
	Endpoint endpoint;
	std::int64_t ownInFlight = 0;         ///< Calls in flight from this node.
	double othersInFlight = 0;            ///< Calls in flight from other nodes, smoothed over load reports.
	double ownWorkUs = 0;                 ///< Predicted service time of this node's calls in flight, in microseconds.
	double smoothedOwnInFlight = 0;       ///< ownInFlight, smoothed over about the lag of the load reports.
	std::int64_t consecutiveFailures = 0; ///< Failed calls since the last success.
	Micros ejectedUntil = 0;              ///< Time point; gets no calls until then, and afterwards one probe at a time.
	bool probing = false;
	double slowness = 1; ///< Smoothed ratio of measured to predicted service time, 1 for as predicted.
	bool listed = true;  ///< Whether it is on the newest VM list.

	/// @returns Calls in flight from all nodes, as a multiple of the endpoint's slots.
	[[nodiscard]] double load() const;

	/// @returns Whether it may receive new calls, regardless of free slots.
	[[nodiscard]] bool isUsable(Micros _now) const;
};

/// Chooses the subset of each pool that a node uses, by rendezvous hashing: adding or removing a node or an endpoint
/// changes few of the other node-endpoint pairs.
/// @param[in] _node Address of the node.
/// @param[in] _endpoints All endpoints.
/// @param[in] _perPool Maximum number of endpoints chosen per pool.
std::vector<Endpoint> selectSubset(const std::string& _node, const std::vector<Endpoint>& _endpoints,
								   std::size_t _perPool);

// ---------------------------------------------------------------------------------------------------------------
// Placement policies: self-registering plug-ins.
// ---------------------------------------------------------------------------------------------------------------

/// Input of a placement policy.
struct PlacementInput
{
	const std::vector<EndpointState*>& candidates; ///< Usable endpoints with a free slot, at least one.
	const std::vector<EndpointState*>& usable;     ///< All usable endpoints, including those without a free slot.
	std::uint64_t prefix = 0;                      ///< Hash of the prompt's prefix, 0 for none.
	std::minstd_rand& random;                      ///< The dispatcher's seeded generator.
	std::size_t& roundRobinCounter;                ///< The pool's counter for round-robin policies.
	double meanLoad = 0;                           ///< Mean load() of the usable endpoints.
};

/// Send the call to this endpoint.
struct PlaceAt
{
	EndpointState* endpoint = nullptr;
	bool operator==(const PlaceAt&) const = default;
};

/// Send the call to this endpoint, a second choice, only if no waiting call can be placed with PlaceAt: the preferred
/// endpoint has no free slot, or this endpoint failed the call before.
struct PlaceFallback
{
	EndpointState* endpoint = nullptr;
	bool operator==(const PlaceFallback&) const = default;
};

/// No endpoint has a free slot.
struct PlaceNone
{
	bool operator==(const PlaceNone&) const = default;
};

using Placement = std::variant<PlaceNone, PlaceFallback, PlaceAt>;

/// A named function that chooses among endpoints.
struct PlacementPolicy
{
	std::string_view name;
	Placement (*choose)(const PlacementInput& _input);
};

/// Chooses the home endpoint of a prompt prefix, the one whose cache is to hold it, by rendezvous hashing. Nodes that
/// see the same endpoints choose the same one, and few prefixes move when endpoints are added or removed.
/// @param[in] _usable Usable endpoints, at least one.
/// @param[in] _prefix Hash of the prompt's prefix.
EndpointState* prefixHome(const std::vector<EndpointState*>& _usable, std::uint64_t _prefix);

/// Registers a policy under its name. The files of the policies call it before main.
/// @returns Whether the name was free. The result lets the initialiser of a static variable make the call.
bool registerPlacement(const PlacementPolicy& _policy);

/// @returns The policy, or null if the name is not registered.
const PlacementPolicy* findPlacement(std::string_view _name);

/// @returns The names of all registered policies, sorted.
std::vector<std::string> placementNames();

// ---------------------------------------------------------------------------------------------------------------
// Dispatcher: admission, ordering, placement, retries.
// ---------------------------------------------------------------------------------------------------------------

/// A request, as submitted to the dispatcher.
struct RequestSpec
{
	std::uint64_t id = 0;
	std::string workspace;
	std::string pipeline;
	Micros deadline = 0;    ///< Time point.
	bool repeatable = true; ///< Whether the caller allows repeats; a stage's row can only be stricter.
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	std::uint64_t prefix = 0;         ///< Hash of the prompt's prefix, 0 for none.
	bool isRetry = false;             ///< The request repeats earlier work; its first attempt is charged as a retry.
	std::string preferredDomain = {}; ///< Failure domain to prefer for its endpoints, empty for no preference.
	bool operator==(const RequestSpec&) const = default;
};

/// Send one attempt of a stage to an endpoint.
struct StartAttempt
{
	std::uint64_t request = 0;
	std::uint64_t attempt = 0; ///< Unique within the dispatcher; echoed by the endpoint.
	std::size_t stageIndex = 0;
	std::string stage;
	StageKind kind = StageKind::Service;
	std::string endpoint;
	std::string address;
	Micros deadline = 0;     ///< Time point at which the attempt is given up.
	bool atMostOnce = false; ///< No layer may send the call a second time.
	bool operator==(const StartAttempt&) const = default;
};

/// Cancel an attempt whose answer is no longer needed.
struct CancelAttempt
{
	std::uint64_t request = 0;
	std::uint64_t attempt = 0;
	bool operator==(const CancelAttempt&) const = default;
};

/// Report the outcome of a request to its caller.
struct FinishRequest
{
	std::uint64_t request = 0;
	Outcome outcome;
	bool operator==(const FinishRequest&) const = default;
};

using Action = std::variant<StartAttempt, CancelAttempt, FinishRequest>;
using Actions = std::vector<Action>;

/// The complete answer of the stage was received.
struct AttemptAnswered
{
	bool operator==(const AttemptAnswered&) const = default;
};

/// No byte of the call was sent.
struct AttemptNotSent
{
	bool operator==(const AttemptNotSent&) const = default;
};

/// The endpoint reported that it did not start the call.
struct AttemptRefused
{
	bool operator==(const AttemptRefused&) const = default;
};

/// Bytes of the call were sent, and no complete answer was received.
struct AttemptInterrupted
{
	bool operator==(const AttemptInterrupted&) const = default;
};

using AttemptEnd = std::variant<AttemptAnswered, AttemptNotSent, AttemptRefused, AttemptInterrupted>;

/// Order of the requests that wait for a pool.
enum class Ordering
{
	Fifo,
	DeadlineFair ///< Urgent requests first; then workspaces by weight, earliest deadline first within each.
};

/// Settings of a dispatcher.
struct DispatcherConfig
{
	std::string placement = "affinity_gated";
	Ordering ordering = Ordering::DeadlineFair;
	bool admitByDeadline = true;       ///< Refuse requests that are predicted to miss their deadline.
	bool dropInfeasible = true;        ///< Drop waiting requests that are predicted to miss their deadline.
	bool ejectOutliers = true;         ///< Eject failing and slow endpoints for a time.
	double urgentReserve = 0.1;        ///< Fraction of a pool's slots that only urgent pipelines may use.
	double retryShare = 0.1;           ///< Retries earned by each first attempt.
	double retryBurst = 20;            ///< Maximum number of accumulated retries per pool.
	std::int64_t maxExtraConnects = 0; ///< Failed connects per stage that do not count as attempts.
	double slotsFactor = 1.0;          ///< Maximum calls in flight on an endpoint, as a multiple of its slots.
	double marginDeviations =
		1.5;                    ///< Number of mean absolute deviations added to a predicted service time at admission.
	std::size_t lookahead = 24; ///< Number of waiting requests examined for one that has a preferred endpoint.
	std::size_t queueLimit = 20'000;     ///< Maximum number of requests waiting per pool.
	std::int64_t ejectAfterFailures = 3; ///< Consecutive failures that eject an endpoint.
	Micros ejectionDuration = 2 * kSecond;
	double maxEjectedShare = 0.34; ///< Maximum fraction of a pool's endpoints that may be ejected at a time.
	std::uint64_t seed = 1;
	bool operator==(const DispatcherConfig&) const = default;
};

/// Counters of a dispatcher since its construction.
struct DispatcherCounters
{
	std::uint64_t submitted = 0;
	std::uint64_t answered = 0;
	std::uint64_t notRun = 0;
	std::uint64_t unknown = 0;
	std::uint64_t attempts = 0;
	std::uint64_t retries = 0;
	std::uint64_t lateAnswers = 0; ///< Attempts that ended after they were given up.
	bool operator==(const DispatcherCounters&) const = default;
};

/// Admits or refuses requests, and decides in which order and on which endpoints their stages run.
class Dispatcher
{
public:
	explicit Dispatcher(const DispatcherConfig& _config);
	~Dispatcher();
	Dispatcher(const Dispatcher&) = delete;
	Dispatcher& operator=(const Dispatcher&) = delete;

	/// Replaces the table. Requests in flight keep the rows with which they were admitted.
	void setTable(std::shared_ptr<const Table> _table);

	/// Replaces the list of endpoints. An endpoint that is no longer listed receives no new calls.
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Marks an endpoint as leaving. The mark is permanent: a later list does not clear it.
	void markLeaving(const std::string& _endpoint);

	/// Processes an endpoint's load report. Calls beyond this node's own are attributed to other nodes.
	void reportLoad(const std::string& _endpoint, const LoadReport& _report);

	/// Sets the number of nodes that use each endpoint, including this one; initially 1.
	void setNodeCount(std::size_t _nodes);

	/// Sets this node's share of a workspace's limit.
	/// @param[in] _inFlight Maximum requests in flight on this node; negative removes the share.
	void setShare(const std::string& _workspace, std::int64_t _inFlight);

	/// Refuses new requests from the table from now on. Requests in flight run to their end.
	void drain();

	/// Sets the limits of each pool's retry budget. Accumulated retries above the new maximum are discarded at once.
	/// @param[in] _share Retries earned by one first attempt.
	/// @param[in] _burst Maximum number of accumulated retries.
	void setRetryBounds(double _share, double _burst);

	/// Submits a request for a pipeline of the table.
	/// @returns Actions to perform; a refusal is a FinishRequest.
	Actions submit(const RequestSpec& _request, Micros _now);

	/// Submits a request with its own pipeline, instead of one from the table. Neither drain() nor the limits of the
	/// workspace apply to it.
	/// @param[in] _pipeline The pipeline; its workspace is not compared with the request's.
	/// @param[in] _stages Its stages, at least one.
	/// @returns Actions to perform; a refusal is a FinishRequest.
	Actions submit(const RequestSpec& _request, const PipelineRow& _pipeline, const std::vector<StageRow>& _stages,
				   Micros _now);

	/// Processes the end of an attempt. An attempt that is not in flight is ignored, apart from being counted.
	Actions attemptEnded(std::uint64_t _attempt, const AttemptEnd& _end, Micros _now);

	/// Cancels a request; one that is not in flight is ignored.
	Actions cancel(std::uint64_t _request, Micros _now);

	/// Ends requests whose deadline has passed, and starts waiting requests where endpoints have free slots.
	Actions tick(Micros _now);

	/// @returns Failure domain of a prompt prefix's home endpoint, see prefixHome(); empty if the pool has none.
	[[nodiscard]] std::string homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const;

	[[nodiscard]] std::size_t inFlight() const;
	[[nodiscard]] std::map<std::string, std::int64_t> inFlightByWorkspace() const;
	[[nodiscard]] const DispatcherCounters& counters() const;
	[[nodiscard]] std::vector<EndpointState> endpoints() const;

private:
	struct State;
	std::unique_ptr<State> state;
};

} // namespace roadferry

#endif // ROADFERRY_H_HEADER_GUARD
