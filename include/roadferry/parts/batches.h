/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: stages whose pieces are made in batches.

#ifndef ROADFERRY_PARTS_BATCHES_H_HEADER_GUARD
#define ROADFERRY_PARTS_BATCHES_H_HEADER_GUARD

#include <roadferry/parts/admission.h>
#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/routes.h>

#include <cstdint>
#include <deque>
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

/// Names one piece of a request's stage.
struct PieceIndex
{
	std::size_t stage = 0;
	std::size_t piece = 0;
	auto operator<=>(const PieceIndex&) const = default;
};

/// The pieces of one request: which can be made now, and which results the request itself needs.
class StageGraph
{
public:
	/// @param[in] _stages Stages of the route.
	/// @param[in] _counts Pieces of each stage; a stage without an entry, or with 0, is left out.
	StageGraph(std::vector<RouteStage> _stages, std::vector<std::int64_t> _pieceCounts);

	/// @returns Pieces that can be made and were not handed out yet; each is handed out once, until it is lost.
	std::vector<PieceIndex> takeReady();

	/// A piece was made.
	/// @param[in] _handle Name of its result, by which others refer to it.
	void markCompleted(const PieceIndex& _piece, const std::string& _handle);

	/// The endpoint has fetched what a piece works on, and is making it.
	void markStarted(const PieceIndex& _piece);

	/// A piece has to be made again: making it failed.
	void markFailed(const PieceIndex& _piece);

	/// A result is gone. Its piece has to be made again, if anything still needs it.
	void markLost(const std::string& _handle);

	/// Results that a piece of a stage works on.
	[[nodiscard]] std::vector<std::string> inputsOf(std::size_t _stage) const;

	/// @returns Results of a stage.
	[[nodiscard]] std::vector<std::string> handlesOf(std::size_t _stage) const;

	/// @returns Whether all results that the request itself needs are there.
	[[nodiscard]] bool isComplete() const;

	/// @returns Results that the request itself needs: those of stages on which no other works.
	[[nodiscard]] std::vector<std::string> results() const;

	/// @returns Results that nothing needs any more and that were not returned before, for their makers to drop.
	std::vector<std::string> takeUnneeded();

	/// @returns All results that were not returned by takeUnneeded(), at the end of the request.
	std::vector<std::string> takeRemaining();

	[[nodiscard]] const std::vector<RouteStage>& stages() const;

private:
	struct Piece
	{
		std::string handle; ///< Empty until it was made.
		bool handedOut = false;
		bool started = false; ///< Its inputs were fetched.
	};

	[[nodiscard]] bool isStageCompleted(std::size_t _stage) const;
	[[nodiscard]] bool isStageStarted(std::size_t _stage) const;
	[[nodiscard]] bool hasDependents(std::size_t _stage) const;

	std::vector<RouteStage> plan;
	std::vector<std::vector<Piece>> pieces;
	std::set<std::string> taken; ///< Results that were given back.
};

/// A piece to be made.
struct PieceOrder
{
	std::uint64_t orderId = 0; ///< Never used twice by one node.
	std::string request;       ///< Id of the request, as endpoints know it.
	PieceIndex index;
	std::string key;                  ///< Of the request's own data, for a stage that works on the request itself.
	std::vector<std::string> inputs;  ///< Results that it works on.
	Micros deadline = 0;              ///< Time point after which nobody wants it.
	Micros due = 0;                   ///< Time point by which it should be made for the request to be in time.
	std::int64_t priority = 5;        ///< 0 is the most urgent.
	std::int64_t resultBytes = 0;     ///< Approximate size of the result.
	std::string preferredDomain = {}; ///< Failure domain where the result is needed, empty when it does not matter.
	bool operator==(const PieceOrder&) const = default;
};

/// Why a piece was not made.
enum class PieceFault
{
	Late,       ///< Its time has passed, or it cannot be made in time.
	InputGone,  ///< A result that it works on is gone.
	NoSpace,    ///< The endpoint has no room for its result.
	NoEndpoint, ///< No endpoint could be reached.
	Error,      ///< The endpoint failed.
	NotAdmitted ///< Its request was not let in: it could not be in time.
};

std::string_view nameOf(PieceFault _fault);

/// Make these pieces with one call.
struct StartBatch
{
	std::uint64_t batch = 0;
	std::string pool;
	Endpoint endpoint;
	std::vector<PieceOrder> orders;
	Micros deadline = 0;
	bool operator==(const StartBatch&) const = default;
};

/// Stop a call whose endpoint does not answer.
struct CancelBatch
{
	std::uint64_t batch = 0;
	bool operator==(const CancelBatch&) const = default;
};

/// The endpoint has fetched what a piece works on: these results are not needed for it any longer.
struct PieceStarted
{
	std::uint64_t orderId = 0;
	bool operator==(const PieceStarted&) const = default;
};

/// A piece was made.
struct PieceCompleted
{
	std::uint64_t orderId = 0;
	std::string handle;
	std::string failureDomain; ///< Of the endpoint that keeps the result.
	bool operator==(const PieceCompleted&) const = default;
};

/// A piece was not made, and is not tried any more.
struct PieceFailed
{
	std::uint64_t orderId = 0;
	PieceFault fault = PieceFault::Error;
	bool operator==(const PieceFailed&) const = default;
};

using BatchAction = std::variant<StartBatch, CancelBatch, PieceStarted, PieceCompleted, PieceFailed>;
using BatchActions = std::vector<BatchAction>;

/// The endpoint answered: one entry for each order, in order.
struct BatchAnswered
{
	std::vector<std::variant<std::string, PieceFault>> results; ///< Handle of the result, or why there is none.
	bool operator==(const BatchAnswered&) const = default;
};

/// The endpoint said that it did not begin.
struct BatchRefused
{
	bool operator==(const BatchRefused&) const = default;
};

/// No answer, or none that can be used.
struct BatchFailed
{
	bool operator==(const BatchFailed&) const = default;
};

using BatchEnd = std::variant<BatchAnswered, BatchRefused, BatchFailed>;

/// Times and bounds of a Batcher.
struct BatchConfig
{
	double lateShare = 0.1;                        ///< Part of each call that pieces past their due time may take.
	double callTimeoutFactor = 4.0;                ///< A call that takes so many times as long as told is given up.
	Micros callTimeoutMargin = 400 * kMillisecond; ///< Added to that, for transfers.
	Micros inputFetchTime = 100 * kMillisecond; ///< In which a call has fetched its inputs: 15 MB take 12 ms on a link.
	Micros failurePause = 1500 * kMillisecond;  ///< How long an endpoint that failed gets no call.
	std::int64_t maxAttempts = 4;               ///< Calls in which one piece may be.
	Micros fullPause = 60 * kMillisecond;       ///< How long an endpoint without room counts as full.
	Micros localityWait = 50 * kMillisecond;    ///< How long a large piece waits for an endpoint near to its use.
	Micros refusedPause = 60 * kMillisecond;    ///< Before an endpoint that was busy gets another call.
	bool operator==(const BatchConfig&) const = default;
};

/// Forms batches: as soon as an endpoint is free it gets what waits, most urgent first.
class Batcher
{
public:
	explicit Batcher(BatchConfig _config);

	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Other nodes may form batches for the same endpoints until then: calls may wait there, and have not fetched their
	/// inputs so soon after their begin.
	void expectOtherBatchersUntil(Micros _until);

	/// Adds a piece to make. Call tick() afterwards to start calls.
	void add(const std::string& _pool, const PieceOrder& _order, Micros _now);

	/// Forgets a piece that nobody wants; one that is being made is made, and its result given back by nobody.
	/// @returns Whether it was still waiting.
	bool cancel(std::uint64_t _orderId);

	BatchActions batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now);
	BatchActions tick(Micros _now);

	/// A result is not needed any more: its endpoint has room again.
	void freeResult(const std::string& _handle);

	/// @returns Predicted time until a piece that was added now would be in a call; nothing for a pool without pieces.
	[[nodiscard]] std::optional<Micros> waitTime(const std::string& _pool, Micros _now) const;

	/// @returns That time for each pool that makes pieces.
	[[nodiscard]] std::map<std::string, Micros> waitTimes(Micros _now) const;

	/// @returns Pieces that wait for a call.
	[[nodiscard]] std::size_t queuedPieces(const std::string& _pool) const;

private:
	struct QueuedPiece
	{
		PieceOrder order;
		std::int64_t attempts = 0;
		std::string avoid; ///< Endpoint that failed it last.
		Micros addedAt = 0;
	};

	struct Call
	{
		std::string pool;
		Endpoint endpoint;
		std::vector<QueuedPiece> pieces;
		Micros startedAt = 0;
		Micros nominalTime = 0;
		Micros deadline = 0;
		bool startReported = false; ///< Its pieces were told to have started.
	};

	struct EndpointStatus
	{
		Endpoint endpoint;
		std::int64_t calls = 0;
		Micros freeAt = 0;          ///< Predicted end of its call.
		Micros pausedUntil = 0;     ///< Gets no call until then.
		std::int64_t usedBytes = 0; ///< Bytes of results that it keeps or is making.
		std::int64_t failures = 0;
		double slowness = 1; ///< Smoothed ratio of measured to told time.
		bool listed = true;
	};

	struct Pool
	{
		BatchLimits limits;
		std::vector<QueuedPiece> queue; ///< Most urgent first.
		double rate = 0;                ///< Pieces made in a second, smoothed.
		Micros rateUpdatedAt = 0;
	};

	/// A result that an endpoint keeps.
	struct StoredResult
	{
		std::string endpoint;
		std::int64_t bytes = 0;
		Micros expiresAt = 0; ///< The endpoint drops it then, if nobody frees it before.
	};

	[[nodiscard]] static bool isMoreUrgent(const QueuedPiece& _left, const QueuedPiece& _right);
	void enqueue(Pool& _pool, QueuedPiece _waiting);
	void dropLate(Pool& _pool, Micros _now, BatchActions& _actions);
	[[nodiscard]] static std::tuple<bool, bool, double> rank(const QueuedPiece& _piece, const EndpointStatus& _status);
	EndpointStatus* chooseEndpoint(const std::string& _name, const Pool& _pool, Micros _now);
	[[nodiscard]] static bool hasSpaceFor(const Pool& _pool, std::int64_t _used, const QueuedPiece& _piece);
	[[nodiscard]] static bool isLocal(const QueuedPiece& _piece, const EndpointStatus& _status);
	[[nodiscard]] bool mayRunOn(const QueuedPiece& _piece, const EndpointStatus& _status, Micros _now) const;
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
	static void updateRate(Pool& _pool, std::size_t _pieces, Micros _now);
	[[nodiscard]] Micros predictedCallTime(const BatchLimits& _limits, const EndpointStatus& _status,
										   std::size_t _pieces) const;

	BatchConfig config;
	std::map<std::string, Pool> pools;
	std::map<std::string, EndpointStatus> endpoints; ///< By endpoint.
	std::map<std::uint64_t, Call> calls;
	std::unordered_map<std::string, StoredResult> storedResults; ///< By handle.
	Micros nextExpiry = 0;
	std::uint64_t lastUnknownId = 0;
	Micros otherBatchersUntil = 0;
	std::set<std::string> leavingEndpoints; ///< Endpoints that were seen leaving; the mark is never taken back.
	std::uint64_t lastBatch = 0;
};

/// The node that forms the batches of a pool: the same on all nodes that see the same members.
/// @param[in] _members Live nodes, at least one.
/// @returns Address of the node.
std::string batchNodeOf(const std::string& _pool, const std::vector<std::string>& _members);

// Batches over nodes: pieces of all nodes meet at one node for each pool.

/// Asks another node to have pieces made. Times are durations, since nodes share no clock.
struct PieceSubmit
{
	std::string pool;
	std::vector<PieceOrder> orders;          ///< With deadline and due counted from the sending.
	std::optional<AdmissionTerms> admission; ///< Set for the first pieces of a request.
	bool operator==(const PieceSubmit&) const = default;
};

/// Tells another node what became of pieces that it asked for. Without any it says that they are still in hand.
struct PieceUpdate
{
	std::vector<PieceStarted> started;
	std::vector<PieceCompleted> completed;
	std::vector<PieceFailed> failed;
	std::map<std::string, Micros> waits; ///< Predicted wait of a piece, for each pool whose batches the sender forms.
	bool operator==(const PieceUpdate&) const = default;
};

/// Tells another node that pieces are not wanted any more.
struct PieceCancel
{
	std::vector<std::uint64_t> orders;
	bool operator==(const PieceCancel&) const = default;
};

/// Tells the node that had results made that they are not needed any more.
struct PieceFree
{
	std::vector<std::string> handles;
	bool operator==(const PieceFree&) const = default;
};

using PieceMessage = std::variant<PieceSubmit, PieceUpdate, PieceCancel, PieceFree>;

/// Send a message to another node.
struct SendPieceMessage
{
	std::string to;
	PieceMessage message;
	bool operator==(const SendPieceMessage&) const = default;
};

/// A result that nobody wants: let its endpoint drop it.
struct FreeResult
{
	std::string handle;
	bool operator==(const FreeResult&) const = default;
};

/// A request was not let in; its pieces fail as NotAdmitted.
struct RequestNotAdmitted
{
	std::string request;
	std::string from;   ///< Node that asked, empty for this one.
	Micros maxWait = 0; ///< What it can wait in all.
	std::map<std::string, Micros> waits;
	bool operator==(const RequestNotAdmitted&) const = default;
};

using PieceAction = std::variant<StartBatch, CancelBatch, PieceStarted, PieceCompleted, PieceFailed, SendPieceMessage,
								 FreeResult, RequestNotAdmitted>;
using PieceActions = std::vector<PieceAction>;

/// Times of a PieceScheduler.
struct PieceSchedulerConfig
{
	BatchConfig batches;
	AdmissionConfig admission;
	Micros keepalivePeriod = 250 * kMillisecond; ///< A node that holds pieces of others tells them so.
	Micros silenceTimeout = 800 * kMillisecond;  ///< A node that does not is passed over: three times that, and some.
	Micros handoverTime = 2 * kSecond;  ///< After a change of members, two nodes may form batches for one pool.
	Micros exclusionTime = 3 * kSecond; ///< How long it is passed over.
	Micros peerWaitsMaxAge = 1'500 * kMillisecond; ///< How long a time that another node predicted is used.
	bool sharedBatches = true;                     ///< Whether nodes form batches together, or each for itself.
	bool operator==(const PieceSchedulerConfig&) const = default;
};

/// Has pieces made: by this node where it forms the pool's batches, by the node that does otherwise. Two nodes that
/// both believe to be it cost fuller batches, nothing else; pieces in the hands of a node that falls silent are asked
/// for again, here or elsewhere.
class PieceScheduler
{
public:
	PieceScheduler(std::string _self, PieceSchedulerConfig _config);

	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// @param[in] _members Live nodes, this one among them.
	void setMembers(const std::vector<std::string>& _members, Micros _now);

	/// Has pieces of one pool made.
	/// @param[in] _admission Given with the first pieces of a request, which may then be refused as NotAdmitted.
	PieceActions submit(const std::string& _pool, const std::vector<PieceOrder>& _orders,
						const std::optional<AdmissionTerms>& _admission, Micros _now);

	/// Nobody wants these pieces any more.
	PieceActions cancel(const std::vector<std::uint64_t>& _orders, Micros _now);

	/// Results are not needed any more. The node that had them made keeps account of the endpoints' room.
	PieceActions free(const std::vector<std::string>& _handles, Micros _now);

	PieceActions receive(const std::string& _from, const PieceMessage& _message, Micros _now);

	/// The connection to a node has ended.
	PieceActions peerClosed(const std::string& _peer, Micros _now);

	PieceActions batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now);
	PieceActions tick(Micros _now);

	/// @returns The node that forms the pool's batches, as far as this one knows.
	[[nodiscard]] std::string nodeOf(const std::string& _pool, Micros _now) const;

private:
	/// A piece that this node has made: for itself, or for another.
	struct LocalOrder
	{
		std::string peer; ///< Empty for this node itself.
		std::uint64_t orderId = 0;
		bool wanted = true;
	};

	/// A piece that another node has in hand.
	struct RemoteOrder
	{
		std::string peer;
		std::string pool;
		PieceOrder order;
	};

	[[nodiscard]] bool isMember(const std::string& _node) const;
	void addLocal(const std::string& _pool, const std::string& _peer, const PieceOrder& _order, Micros _now);
	void send(const std::string& _to, PieceMessage _message, PieceActions& _actions);
	void assign(const PieceSubmit& _submit, Micros _now, PieceActions& _actions);
	[[nodiscard]] bool admit(const std::string& _from, const PieceSubmit& _submit, Micros _now, PieceActions& _actions);
	void handleBatchActions(const BatchActions& _batch, Micros _now, PieceActions& _actions);
	void onSubmit(const std::string& _from, const PieceSubmit& _submit, Micros _now, PieceActions& _actions);
	void onUpdate(const std::string& _from, const PieceUpdate& _update, Micros _now, PieceActions& _actions);
	[[nodiscard]] std::map<std::string, Micros> localWaits(Micros _now) const;
	[[nodiscard]] Micros waitTime(const std::string& _pool, Micros _now) const;
	void onCancel(const std::string& _from, const PieceCancel& _cancel);
	void freeLocally(const std::vector<std::string>& _handles, PieceActions& _actions);
	void reassignFrom(const std::string& _peer, Micros _now, PieceActions& _actions);
	void detectSilentPeers(Micros _now, PieceActions& _actions);
	void sendKeepalives(Micros _now, PieceActions& _actions);

	std::string self;
	PieceSchedulerConfig config;
	Batcher batcher;
	StageAdmission admission;
	std::vector<std::string> members;
	std::map<std::string, Micros> excludedUntil;                             ///< Nodes that are passed over.
	std::unordered_map<std::uint64_t, LocalOrder> localOrders;               ///< By the number that the maker knows.
	std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> localIds; ///< The other way round.
	std::map<std::uint64_t, RemoteOrder> remoteOrders;                       ///< By order.
	std::map<std::string, Micros> lastHeardAt;                  ///< Nodes that have pieces of ours in hand.
	std::map<std::string, std::pair<Micros, Micros>> peerWaits; ///< Waits that others predicted, with when, by pool.
	std::unordered_map<std::string, std::string> nodeOfHandle; ///< Nodes that had results made for this one, by handle.
	std::map<std::string, Micros> lastUpdateAt;                ///< Nodes whose pieces are in hand here.
	std::uint64_t lastLocalId = 0;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_BATCHES_H_HEADER_GUARD
