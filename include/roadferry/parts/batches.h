/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: stages whose pieces are computed in batches.
///
/// A piece is one unit of work of a stage of a request. An endpoint computes it in a batch with other pieces and keeps
/// the result, which is referred to by its handle.

#ifndef ROADFERRY_PARTS_BATCHES_H_HEADER_GUARD
#define ROADFERRY_PARTS_BATCHES_H_HEADER_GUARD

#include <roadferry/parts/admission.h>
#include <roadferry/parts/crash_ledger.h>
#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/queue_forecast.h>
#include <roadferry/parts/routes.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace roadferry
{

/// Identifies one piece of a request by its stage and its position in the stage.
struct PieceIndex
{
	std::size_t stage = 0;
	std::size_t piece = 0;
	auto operator<=>(const PieceIndex&) const = default;
};

/// Dependency graph of the pieces of one request: which of them are ready, and which results the request itself needs.
class StageGraph
{
public:
	/// @param[in] _stages Stages of the route.
	/// @param[in] _pieceCounts Number of pieces of each stage; a stage without an entry, or with 0, is skipped.
	StageGraph(std::vector<RouteStage> _stages, std::vector<std::int64_t> _pieceCounts);

	/// @param[in] _mayStart Whether a stage whose inputs are complete may start now; by default each may.
	/// @returns Pieces whose inputs are complete and that were not returned before. A piece that failed or whose result
	/// was lost is returned again.
	std::vector<PieceIndex> takeReady(const std::function<bool(std::size_t)>& _mayStart = {});

	/// Records the result of a piece.
	/// @param[in] _handle Handle by which later stages refer to the result.
	void markCompleted(const PieceIndex& _piece, const std::string& _handle);

	/// Records that the endpoint has fetched the inputs of a piece and is computing it.
	void markStarted(const PieceIndex& _piece);

	/// Records that a piece failed and has to be computed again.
	void markFailed(const PieceIndex& _piece);

	/// Records that a result was lost. Its piece has to be computed again.
	void markLost(const std::string& _handle);

	/// @returns Handles of the inputs of each piece of a stage.
	[[nodiscard]] std::vector<std::string> inputsOf(std::size_t _stage) const;

	/// @returns Handles of the results of a stage, empty for pieces without a result.
	[[nodiscard]] std::vector<std::string> handlesOf(std::size_t _stage) const;

	/// @returns Whether all pieces of a stage have a result; a skipped stage is complete.
	[[nodiscard]] bool isStageCompleted(std::size_t _stage) const;

	/// @returns Whether all results that the request itself needs are available.
	[[nodiscard]] bool isComplete() const;

	/// @returns Handles of the results that the request itself needs: those of stages without dependents.
	[[nodiscard]] std::vector<std::string> results() const;

	/// @returns Handles of results that are no longer needed and were not returned before, for their endpoints to drop.
	std::vector<std::string> takeUnneeded();

	/// @returns Handles of all results that were not returned by takeUnneeded(), to be freed at the end of the request.
	std::vector<std::string> takeRemaining();

	[[nodiscard]] const std::vector<RouteStage>& stages() const;

private:
	struct Piece
	{
		std::string handle;     ///< Handle of the result, empty until there is one.
		bool handedOut = false; ///< Returned by takeReady().
		bool started = false;   ///< The endpoint has fetched its inputs.
	};

	[[nodiscard]] bool isStageStarted(std::size_t _stage) const;
	[[nodiscard]] bool hasDependents(std::size_t _stage) const;

	std::vector<RouteStage> plan;
	std::vector<std::vector<Piece>> pieces;
	std::set<std::string> taken; ///< Handles returned by takeUnneeded() or takeRemaining().
};

/// An order to compute one piece.
struct PieceOrder
{
	std::uint64_t orderId = 0; ///< Unique within a node.
	std::string request;       ///< Id of the request that is sent to endpoints.
	PieceIndex index;
	std::string key;                 ///< Key of the request's own data, for a stage that processes the request itself.
	std::vector<std::string> inputs; ///< Handles of the results that it processes.
	Micros deadline = 0;             ///< Time point after which the result is useless.
	Micros due = 0;                  ///< Time point by which it should be complete for the request to meet its target.
	std::int64_t priority = 5;       ///< 0 is the most urgent.
	std::int64_t resultBytes = 0;    ///< Approximate size of the result in bytes.
	/// Failure domain where its large inputs are or its result is needed; empty for any.
	std::string preferredDomain = {};
	RequestDigest content = 0; ///< Digest of the request, 0 if unknown.
	/// The request continues a stream of which its client has a part. It comes before those that begin: less of its
	/// time is left, and its client would have the part for nothing.
	bool resumesStream = false;
	bool operator==(const PieceOrder&) const = default;
};

/// Why a piece was not computed.
enum class PieceFault
{
	Late,       ///< Its deadline has passed or cannot be met.
	InputGone,  ///< A result that it depends on was lost.
	NoSpace,    ///< The endpoint has no space for its result.
	NoEndpoint, ///< No endpoint accepted it.
	Error,      ///< The endpoint failed.
	NotAdmitted ///< Its request was not admitted, since it was predicted to miss its target.
};

std::string_view nameOf(PieceFault _fault);

/// Requests under which endpoints crashed, and what follows for their pieces.
struct CrashedRequests
{
	std::set<RequestDigest> suspects; ///< Computed alone, so that another crash takes no other piece with it.
	std::set<RequestDigest> blocked;  ///< Not computed.
	bool operator==(const CrashedRequests&) const = default;
};

/// Action: compute these pieces with one call.
struct StartBatch
{
	std::uint64_t batch = 0;
	std::string pool;
	Endpoint endpoint;
	std::vector<PieceOrder> orders;
	Micros deadline = 0; ///< Time point at which the call times out.
	bool operator==(const StartBatch&) const = default;
};

/// Action: cancel a call whose endpoint does not answer.
struct CancelBatch
{
	std::uint64_t batch = 0;
	bool operator==(const CancelBatch&) const = default;
};

/// Event: the endpoint has fetched the inputs of a piece, so that they need not be kept for it any longer.
struct PieceStarted
{
	std::uint64_t orderId = 0;
	bool operator==(const PieceStarted&) const = default;
};

/// Event: a piece was computed.
struct PieceCompleted
{
	std::uint64_t orderId = 0;
	std::string handle;
	std::string failureDomain; ///< Failure domain of the endpoint that keeps the result.
	bool operator==(const PieceCompleted&) const = default;
};

/// Event: a piece was not computed and is not retried.
struct PieceFailed
{
	std::uint64_t orderId = 0;
	PieceFault fault = PieceFault::Error;
	bool operator==(const PieceFailed&) const = default;
};

using BatchAction = std::variant<StartBatch, CancelBatch, PieceStarted, PieceCompleted, PieceFailed>;
using BatchActions = std::vector<BatchAction>;

/// The endpoint answered, with one entry for each order of the batch, in the same sequence.
struct BatchAnswered
{
	std::vector<std::variant<std::string, PieceFault>> results; ///< Handle of the result, or why there is none.
	bool operator==(const BatchAnswered&) const = default;
};

/// The endpoint refused the call and did not begin it.
struct BatchRefused
{
	std::int64_t rejectionLimit = 0; ///< Calls that the endpoint may reject in a second without crashing; 0 for any.
	bool operator==(const BatchRefused&) const = default;
};

/// There was no answer, or an invalid one.
struct BatchFailed
{
	bool operator==(const BatchFailed&) const = default;
};

using BatchEnd = std::variant<BatchAnswered, BatchRefused, BatchFailed>;

/// Settings of a Batcher.
struct BatchConfig
{
	double lateShare = 0.1;         ///< Share of a batch reserved for pieces that can no longer meet their due time.
	double callTimeoutFactor = 4.0; ///< A call times out after this multiple of its predicted time.
	Micros callTimeoutMargin = 400 * kMillisecond; ///< Added to the time-out of a call, for transfers.
	/// Time after the start of a call at which its inputs count as fetched: 15 MB take 12 ms on a link.
	Micros inputFetchTime = 100 * kMillisecond;
	Micros failurePause = 1500 * kMillisecond; ///< How long an endpoint gets no calls after a failed one.
	std::int64_t maxAttempts = 4;              ///< Maximum calls per piece.
	Micros fullPause = 60 * kMillisecond;      ///< How long an endpoint that reported no space counts as full.
	/// How long a piece waits for an endpoint in its preferred failure domain, which only large pieces have.
	Micros localityWait = 200 * kMillisecond;
	/// A piece that is due within this multiple of the fixed time of a call waits for no failure domain.
	Micros localityCalls = 5;
	Micros refusedPause = 60 * kMillisecond; ///< How long an endpoint gets no calls after it refused one.
	bool operator==(const BatchConfig&) const = default;
};

/// Dynamic batcher: as soon as an endpoint is free, it gets a batch of the queued pieces, the most urgent first.
class Batcher
{
public:
	explicit Batcher(BatchConfig _config);

	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	void setCrashedRequests(CrashedRequests _requests);

	/// Other nodes may form batches for the same endpoints until @p _until. Calls may queue at an endpoint in
	/// that time, so that no PieceStarted is emitted before @p _until.
	/// @param[in] _until Time point; an earlier one than before is ignored.
	void expectOtherBatchersUntil(Micros _until);

	/// Queues a piece. Call tick() afterwards to start calls.
	void add(const std::string& _pool, const PieceOrder& _order, Micros _now);

	/// Removes a piece from its queue. A piece that is in a call is computed nevertheless; the caller has to free its
	/// result.
	/// @returns Whether the piece was still queued.
	bool cancel(std::uint64_t _orderId);

	BatchActions batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now);
	BatchActions tick(Micros _now);

	/// Releases the space that a result uses at its endpoint.
	void freeResult(const std::string& _handle);

	/// Predicts the wait of pieces that are added now: behind all that are due earlier, and before the others.
	/// @param[in] _due Time point at which they are due.
	/// @param[in] _pieces Number of pieces added.
	/// @returns Time until the last of them is in a call; nothing for a pool without batches.
	[[nodiscard]] std::optional<Micros> waitTime(const std::string& _pool, Micros _due, std::int64_t _pieces,
												 Micros _now) const;

	/// @returns The wait of a piece behind all queued pieces that can be in time; nothing for a pool without batches.
	[[nodiscard]] std::optional<Micros> queueWaitTime(const std::string& _pool, Micros _now) const;

	/// @returns Pieces per second that a pool computes while pieces wait; nothing for a pool without batches.
	[[nodiscard]] std::optional<std::int64_t> rate(const std::string& _pool) const;

	/// @returns rate() of each pool with batches.
	[[nodiscard]] std::map<std::string, std::int64_t> rates() const;

	/// @returns queueWaitTime() of each pool with batches.
	[[nodiscard]] std::map<std::string, Micros> waitTimes(Micros _now) const;

	/// @returns Number of pieces in the queue of a pool.
	[[nodiscard]] std::size_t queuedPieces(const std::string& _pool) const;

private:
	struct QueuedPiece
	{
		PieceOrder order;
		std::int64_t attempts = 0;
		std::string avoid; ///< Endpoint whose call failed last.
		Micros addedAt = 0;
	};

	struct Call
	{
		std::string pool;
		Endpoint endpoint;
		std::vector<QueuedPiece> pieces;
		Micros startedAt = 0;
		Micros nominalTime = 0; ///< Duration by the limits of the pool.
		Micros deadline = 0;
		bool startReported = false; ///< PieceStarted was emitted for its pieces.
	};

	struct EndpointStatus
	{
		Endpoint endpoint;
		std::int64_t calls = 0;     ///< Calls in flight.
		Micros freeAt = 0;          ///< Predicted end of its latest call.
		Micros pausedUntil = 0;     ///< Gets no calls before this time point.
		std::int64_t usedBytes = 0; ///< Size of the results that it keeps or is computing.
		std::int64_t failures = 0;  ///< Consecutive failed or refused calls.
		double slowness = 1;        ///< Smoothed ratio of measured to nominal call time.
		bool listed = true;         ///< Whether the current listing contains it.
	};

	struct Pool
	{
		BatchLimits limits;
		std::vector<QueuedPiece> queue; ///< Most urgent first.
		FullCallSize fullCallSize;
		PoolEfficiency efficiency;
		std::int64_t startedPieces = 0; ///< Pieces in calls that started since the last update of the efficiency.
	};

	/// A result that an endpoint keeps.
	struct StoredResult
	{
		std::string endpoint;
		std::int64_t bytes = 0;
		Micros expiresAt = 0; ///< Time point at which the endpoint drops it unless it is freed earlier.
	};

	/// @returns Whether a call that starts now computes a piece before it is due.
	[[nodiscard]] static bool canBeInTime(const Pool& _pool, const QueuedPiece& _piece, Micros _now);
	[[nodiscard]] static bool isUsableFor(const std::string& _pool, const EndpointStatus& _status);
	[[nodiscard]] static bool isMoreUrgent(const QueuedPiece& _left, const QueuedPiece& _right);
	[[nodiscard]] Micros pauseAfter(const BatchRefused& _refused) const;
	void enqueue(Pool& _pool, QueuedPiece _piece);
	void dropLate(Pool& _pool, Micros _now, BatchActions& _actions);
	void dropBlocked(Pool& _pool, BatchActions& _actions);
	[[nodiscard]] static std::tuple<bool, bool, double> rank(const QueuedPiece& _piece, const EndpointStatus& _status);
	EndpointStatus* chooseEndpoint(const std::string& _name, const Pool& _pool, Micros _now);
	[[nodiscard]] static bool hasSpaceFor(const Pool& _pool, std::int64_t _used, const QueuedPiece& _piece);
	[[nodiscard]] static bool isLocal(const QueuedPiece& _piece, const EndpointStatus& _status);
	[[nodiscard]] bool mayRunOn(const Pool& _pool, const QueuedPiece& _piece, const EndpointStatus& _status,
								Micros _now) const;
	[[nodiscard]] std::vector<std::size_t> choosePieces(const Pool& _pool, const EndpointStatus& _status,
														Micros _now) const;
	void startBatch(const std::string& _name, Pool& _pool, EndpointStatus& _status,
					const std::vector<std::size_t>& _chosen, Micros _now, BatchActions& _actions);
	void recordResult(const Call& _call, const PieceOrder& _order, const std::string& _handle, Micros _now);
	void markFull(const std::string& _endpoint, Micros _now);
	void releaseSpace(const std::string& _endpoint, std::int64_t _bytes);
	void expireResults(Micros _now);
	void retry(QueuedPiece _piece, const Call& _call, PieceFault _fault, BatchActions& _actions);
	void handleResults(const Call& _call, const BatchAnswered& _answer, Micros _now, BatchActions& _actions);
	void reportStarted(Micros _now, BatchActions& _actions);
	void expireCalls(Micros _now, BatchActions& _actions);
	Call endCall(std::uint64_t _batch);
	[[nodiscard]] double nominalRate(const std::string& _name, const Pool& _pool) const;
	void updateEfficiency(const std::string& _name, Pool& _pool, Micros _now);
	[[nodiscard]] std::vector<CallSlot> callSlots(const std::string& _name, const Pool& _pool, Micros _now) const;
	[[nodiscard]] Micros predictedCallTime(const BatchLimits& _limits, const EndpointStatus& _status,
										   std::size_t _pieces) const;

	BatchConfig config;
	CrashedRequests crashedRequests;
	std::map<std::string, Pool> pools;
	std::map<std::string, EndpointStatus> endpoints;             ///< By endpoint id.
	std::map<std::uint64_t, Call> calls;                         ///< By batch.
	std::unordered_map<std::string, StoredResult> storedResults; ///< By handle.
	Micros nextExpiry = 0;
	std::uint64_t lastUnknownId = 0;
	Micros otherBatchersUntil = 0;
	std::set<std::string> leavingEndpoints; ///< Endpoints that were ever listed as leaving; the mark is permanent.
	std::uint64_t lastBatch = 0;
};

/// Selects the batching node of a pool, which forms its batches. Nodes with the same members select the same node.
/// @param[in] _members Live nodes, at least one.
/// @returns Address of the node.
std::string batchNodeOf(const std::string& _pool, const std::vector<std::string>& _members);

// Batches across nodes: the pieces of all nodes are batched by one node per pool.

/// Submits pieces to the batching node of their pool. Times are relative, since nodes share no clock.
struct PieceSubmit
{
	std::string pool;
	std::vector<PieceOrder> orders;          ///< With deadline and due relative to the time of sending.
	std::optional<AdmissionTerms> admission; ///< Set with the first pieces of a request.
	bool operator==(const PieceSubmit&) const = default;
};

/// Reports progress to the node that submitted the pieces. An update without pieces is a keepalive.
struct PieceUpdate
{
	std::vector<PieceStarted> started;
	std::vector<PieceCompleted> completed;
	std::vector<PieceFailed> failed;
	std::map<std::string, Micros> waits; ///< Predicted wait of a piece, by pool whose batching node is the sender.
	std::map<std::string, std::int64_t> rates; ///< Batcher::rate() of the same pools.
	bool operator==(const PieceUpdate&) const = default;
};

/// Cancels submitted pieces.
struct PieceCancel
{
	std::vector<std::uint64_t> orders;
	bool operator==(const PieceCancel&) const = default;
};

/// Tells the node that batched the pieces that their results are no longer needed.
struct PieceFree
{
	std::vector<std::string> handles;
	bool operator==(const PieceFree&) const = default;
};

using PieceMessage = std::variant<PieceSubmit, PieceUpdate, PieceCancel, PieceFree>;

/// Action: send a message to another node.
struct SendPieceMessage
{
	std::string to;
	PieceMessage message;
	bool operator==(const SendPieceMessage&) const = default;
};

/// Action: let the endpoint drop a result that is no longer needed.
struct FreeResult
{
	std::string handle;
	bool operator==(const FreeResult&) const = default;
};

/// Event: a request was not admitted; its pieces fail with PieceFault::NotAdmitted.
struct RequestNotAdmitted
{
	std::string request;
	std::string from;                    ///< Node that submitted the pieces, empty for this one.
	Micros maxWait = 0;                  ///< Maximum total wait of its pieces.
	std::map<std::string, Micros> waits; ///< Predicted wait, by pool.
	bool operator==(const RequestNotAdmitted&) const = default;
};

using PieceAction = std::variant<StartBatch, CancelBatch, PieceStarted, PieceCompleted, PieceFailed, SendPieceMessage,
								 FreeResult, RequestNotAdmitted>;
using PieceActions = std::vector<PieceAction>;

/// Settings of a PieceScheduler.
struct PieceSchedulerConfig
{
	BatchConfig batches;
	Micros keepalivePeriod = 250 * kMillisecond; ///< Between updates to a node that has pieces submitted here.
	/// A batching node that sends no update for this time is excluded: 3 keepalive periods and a margin of 50 ms.
	Micros silenceTimeout = 800 * kMillisecond;
	/// Time after a change of members during which two nodes may form batches for one pool.
	Micros handoverTime = 2 * kSecond;
	Micros exclusionTime = 3 * kSecond;               ///< How long a silent node gets no pieces.
	Micros peerForecastMaxAge = 1'500 * kMillisecond; ///< How long the forecast of another node is used.
	bool sharedBatches = true; ///< Whether a pool has one batching node, or each node batches its own pieces.
	bool operator==(const PieceSchedulerConfig&) const = default;
};

/// Schedules pieces: in its own Batcher where this node is the batching node of the pool, otherwise by submitting them
/// to the batching node. If two nodes both act as the batching node of a pool, batches are less full but nothing else
/// is affected. Pieces submitted to a node that falls silent are submitted again, here or to another node.
class PieceScheduler
{
public:
	PieceScheduler(std::string _self, PieceSchedulerConfig _config);

	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);
	void setCrashedRequests(const CrashedRequests& _requests);

	/// @param[in] _members Live nodes, this one among them.
	/// @param[in] _batchingNodes Those of them that may be batching nodes, at least one.
	void setMembers(const std::vector<std::string>& _members, const std::vector<std::string>& _batchingNodes,
					Micros _now);

	/// Submits pieces of one pool.
	/// @param[in] _admission Set with the first pieces of a request, which may then fail with PieceFault::NotAdmitted.
	PieceActions submit(const std::string& _pool, const std::vector<PieceOrder>& _orders,
						const std::optional<AdmissionTerms>& _admission, Micros _now);

	/// Cancels pieces whose results are no longer needed.
	PieceActions cancel(const std::vector<std::uint64_t>& _orders, Micros _now);

	/// Frees results that are no longer needed, through the node that batched them, since it tracks the space at the
	/// endpoints.
	PieceActions free(const std::vector<std::string>& _handles, Micros _now);

	PieceActions receive(const std::string& _from, const PieceMessage& _message, Micros _now);

	/// The connection to a node was closed: neither its pieces here nor those of this node there are of use any more.
	/// It submits its pieces again if its process is still the same.
	PieceActions peerClosed(const std::string& _peer, Micros _now);

	PieceActions batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now);
	PieceActions tick(Micros _now);

	/// @returns The batching node of a pool, by the members that this node knows.
	[[nodiscard]] std::string nodeOf(const std::string& _pool, Micros _now) const;

private:
	/// An order in the Batcher of this node.
	struct LocalOrder
	{
		std::string peer;          ///< Node that submitted it, empty for this one.
		std::uint64_t orderId = 0; ///< Id given by the submitting node.
		bool wanted = true;        ///< Cleared by a cancellation while the piece is in a call.
	};

	/// An order submitted to another node.
	struct RemoteOrder
	{
		std::string peer;
		std::string pool;
		PieceOrder order;
	};

	[[nodiscard]] bool isMember(const std::string& _node) const;
	[[nodiscard]] std::vector<std::string> withoutExcluded(const std::vector<std::string>& _nodes, Micros _now) const;
	void addLocal(const std::string& _pool, const std::string& _peer, const PieceOrder& _order, Micros _now);
	void send(const std::string& _to, PieceMessage _message, PieceActions& _actions);
	void assign(const PieceSubmit& _submit, Micros _now, PieceActions& _actions);
	[[nodiscard]] bool admit(const std::string& _from, const PieceSubmit& _submit, Micros _now, PieceActions& _actions);
	void handleBatchActions(const BatchActions& _batch, Micros _now, PieceActions& _actions);
	void onSubmit(const std::string& _from, const PieceSubmit& _submit, Micros _now, PieceActions& _actions);
	void onUpdate(const std::string& _from, const PieceUpdate& _update, Micros _now, PieceActions& _actions);
	[[nodiscard]] PieceUpdate localForecast(Micros _now) const;
	[[nodiscard]] PoolForecast forecastOf(const std::string& _pool, Micros _now) const;
	[[nodiscard]] Micros waitOf(const PieceSubmit& _submit, Micros _now) const;
	void onCancel(const std::string& _from, const PieceCancel& _cancel);
	void dropOrdersOf(const std::string& _peer);
	void dropLocal(std::uint64_t _localId);
	void freeLocally(const std::vector<std::string>& _handles, PieceActions& _actions);
	void reassignFrom(const std::string& _peer, Micros _now, PieceActions& _actions);
	void detectSilentPeers(Micros _now, PieceActions& _actions);
	void sendKeepalives(Micros _now, PieceActions& _actions);

	std::string self;
	PieceSchedulerConfig config;
	Batcher batcher;
	StageAdmission admission;
	std::vector<std::string> members;
	std::vector<std::string> batchingNodes;                    ///< Members that may be batching nodes.
	std::map<std::string, Micros> excludedUntil;               ///< Silent nodes, which get no pieces.
	std::unordered_map<std::uint64_t, LocalOrder> localOrders; ///< By local id, which the batcher uses.
	/// Local id by submitting node and its order id.
	std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> localIds;
	std::map<std::uint64_t, RemoteOrder> remoteOrders; ///< By order id.
	std::map<std::string, Micros> lastHeardAt;         ///< Of the nodes that hold remote orders.
	/// Forecast of a pool by its batching node.
	struct PeerForecast
	{
		PoolForecast forecast;
		Micros receivedAt = 0;
	};

	std::map<std::string, PeerForecast> peerForecasts;         ///< By pool.
	std::unordered_map<std::string, std::string> nodeOfHandle; ///< By handle of a result: node that batched its piece.
	std::map<std::string, Micros> lastUpdateAt; ///< Time of the last update to each node with local orders.
	std::uint64_t lastLocalId = 0;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_BATCHES_H_HEADER_GUARD
