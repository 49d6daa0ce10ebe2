/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Handling of requests that are forwarded byte for byte: routing, admission, stages, placement and response.

#ifndef ROADFERRY_FORWARD_TRAFFIC_H_HEADER_GUARD
#define ROADFERRY_FORWARD_TRAFFIC_H_HEADER_GUARD

#include "crash_monitor.h"
#include "forward_answer.h"
#include "identity_check.h"
#include "logging.h"
#include "metrics.h"
#include "piece_runner.h"
#include "pool_streams.h"
#include "stage_times.h"
#include "stream_ends.h"

#include <atomic>
#include <deque>

namespace roadferry
{

/// Settings of ForwardTraffic.
struct ForwardSettings
{
	std::string self; ///< Address of this node as used by other nodes.
	/// Start of the numbers by which this process knows what it has asked of other nodes. Random: a node of an earlier
	/// version sends what an earlier process at this address has asked for to this one.
	std::uint64_t firstNumber = 0;
	DispatcherConfig dispatcher;
	PieceSchedulerConfig pieces;
	CrashLedgerConfig crashes;
	FatalPartConfig parts;
	std::size_t maxResponseBytes = 4 * 1024 * 1024; ///< Maximum size of a response that is not a stream of events.
	std::size_t responseMemory = 24 * 1024 * 1024;  ///< Bytes of all responses in progress, see ResponseBudget.
	Micros lease = 2 * kSecond; ///< Maximum age of routes and endpoints that are used to handle a request.
};

/// Functions that send messages to other nodes.
struct ForwardSends
{
	std::function<void(const std::string& _to, const PieceMessage&)> piece;
	std::function<void(const std::string& _to, const CrashMessage&)> crash;
	std::function<void(const std::string& _to, const OriginMessage&)> origin;
	std::function<void(const std::string& _to, const PartMessage&)> part;
	CallMessageSender call;
	std::function<void(const std::string& _to, const RejectionLimitNotice&)> rejectionLimit;
	/// Save on the platform; onSaved() tells the result.
	std::function<void(const SavedVersions&)> saveVersions;
	std::function<void(const SaveStreamRecords&)> saveRecords;
	std::function<void(const std::string& _to, const StreamEndQuery&)> streamEndQuery;
	std::function<void(const std::string& _to, const StreamEndNotice&)> streamEnd;
	std::function<void(const std::string& _to, const PoolEndsNotice&)> poolEnds;
};

/// Limits the idle connections to an endpoint. An endpoint resets connections beyond a limit that all nodes share, and
/// a request that is cut off by a reset may not be sent again, so the idle connections of one node must leave enough
/// for the requests of the others.
/// @param[in] _pool Pool of the endpoint, null when unknown.
/// @param[in] _nodes Number of live nodes, at least one.
/// @returns Maximum number of idle connections that a node keeps to one endpoint.
std::size_t maxIdleConnections(const PoolSpec* _pool, std::size_t _nodes);

/// All forwarded requests of this node. Runs on thread 0 of the pool; only functions documented so may be called from
/// any thread.
class ForwardTraffic
{
public:
	ForwardTraffic(IoPool& _pool, HttpClient& _client, const WireFormat& _wire, Metrics& _metrics,
				   const ForwardSettings& _settings, const ForwardSends& _sends);
	~ForwardTraffic();

	/// Starts the timer that checks deadlines.
	void start();

	/// Handles a client's request. Called on thread 0.
	void handle(HttpRequest _request, const std::shared_ptr<HttpReply>& _reply);

	/// The functions from here to inFlight() may be called from any thread.
	void setPlan(const std::shared_ptr<const RoutePlan>& _plan);
	/// @param[in] _position Position of the listing in the platform's log, 0 if it may be incomplete.
	void setEndpoints(const std::vector<Endpoint>& _endpoints, std::uint64_t _position);
	/// Adds evidence on the processes of endpoints. Called after setEndpoints().
	void addProofs(const std::vector<ProcessProof>& _proofs);
	/// Sets what earlier processes have saved.
	void setSaved(const SavedOrigins& _saved);
	void onSaved(const SavedVersions& _saved, bool _succeeded);
	void onSaved(const SaveStreamRecords& _save, bool _succeeded);
	/// Sets how current routes and endpoints are. Called after setPlan() and setEndpoints().
	void setFreshness(const FeedFreshness& _freshness);
	void setMembers(const std::vector<std::string>& _members, const std::vector<std::string>& _batchingNodes);
	/// @param[in] _nodes The other live nodes that make calls to endpoints for this one.
	void setRelays(const std::vector<RelayNode>& _nodes);
	void setRetryBounds(const RetryBounds& _bounds);
	void receive(const std::string& _from, const PieceMessage& _message);
	void receive(const std::string& _from, const CrashMessage& _message);
	void receive(const std::string& _from, const OriginMessage& _message);
	void receive(const std::string& _from, const PartMessage& _message);
	void receive(const std::string& _from, const CallMessage& _message);
	void receive(const std::string& _from, const RejectionLimitNotice& _notice);
	void receive(const std::string& _from, const StreamEndQuery& _query);
	void receive(const std::string& _from, const StreamEndNotice& _notice);
	void receive(const std::string& _from, const PoolEndsNotice& _notice);
	/// Sets how long a crash of an endpoint counts against the requests that ran on it, see CrashLedger::setMemory().
	void setCrashMemory(Micros _memory);
	void peerClosed(const std::string& _peer);
	/// Prepares for a planned stop. From now on, requests are refused that may not finish before the stop: by their
	/// time limit if they may not be repeated, and by the time that requests of their route took lately otherwise.
	/// @param[in] _refuseFrom Time point from which all are refused by their time limit.
	/// @param[in] _end Time point at which the process ends.
	void stopAt(Micros _refuseFrom, Micros _end);

	/// Refuses requests that have not been sent to an endpoint yet; called near the end of a planned stop.
	void refuseUnsent();

	/// Answers all requests that are still in progress; called at the end of a planned stop.
	void endAll();
	[[nodiscard]] std::size_t inFlight() const;
	/// Called on thread 0.
	[[nodiscard]] std::string metricsText() const;

	/// Called on thread 0.
	/// @returns Whether the routes and endpoints are recent enough to handle requests.
	[[nodiscard]] bool mayHandleNow() const;

private:
	/// Origin of a stream that has ended, at a process that is not proven.
	struct UnprovenOrigin
	{
		StreamRecord record;
		std::string endpoint;       ///< Id of the listed process.
		std::uint64_t instance = 0; ///< ProcessProofs::instanceOf() it.
		Micros firstEventAt = 0;    ///< Time point of its first event.
	};

	/// Routes that were in force before those of now.
	struct EarlierPlan
	{
		std::shared_ptr<const RoutePlan> plan;
		Micros until = 0; ///< Time point from which they were not.
	};

	/// End of a stream that waits.
	struct HeldEnd
	{
		Micros until = 0;             ///< Time point.
		Reason reason = Reason::None; ///< Why nobody can be asked about it.
	};

	struct ActiveRequest;
	using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

	[[nodiscard]] bool mayOutlastStop(const Route& _route, Micros _limit, Micros _now) const;
	void endForStop(const ActiveRequestPtr& _active, Micros _retryAfter);
	void beginRequest(const ActiveRequestPtr& _active);
	ActiveRequestPtr findActive(std::uint64_t _id);
	void orderPieces(const ActiveRequestPtr& _active);
	[[nodiscard]] PieceOrder makeOrder(const ActiveRequest& _active, const PieceIndex& _piece) const;
	[[nodiscard]] std::int64_t downstreamBytes(const ActiveRequest& _active, std::size_t _stage) const;
	[[nodiscard]] std::string preferredDomain(const ActiveRequest& _active, std::size_t _stage) const;
	void onPieceStarted(const PieceStarted& _started);
	void onPieceCompleted(const PieceCompleted& _completed);
	void onPieceFailed(const PieceFailed& _failed);
	void rerunStages(const ActiveRequestPtr& _active);
	void recordFirstEventTime(const ActiveRequest& _active);
	[[nodiscard]] Micros firstEventTime(const std::string& _pool) const;
	[[nodiscard]] AdmissionTerms makeAdmissionTerms(const ActiveRequest& _active) const;
	[[nodiscard]] static Micros jitteredRetryAfter(const ActiveRequest& _active);
	void freeInputs(const ActiveRequestPtr& _active);
	void onStreamStarted(ActiveRequest& _active);
	void bindStream(ActiveRequest& _active, const std::string& _version);
	[[nodiscard]] bool isProcessProven(const ActiveRequest& _active) const;
	[[nodiscard]] std::optional<std::string> provenVersion(const ActiveRequest& _active) const;
	void bindProvenStreams();
	[[nodiscard]] static StreamRecord recordOf(const ActiveRequest& _active, const std::string& _version);
	void addIdentity(const std::string& _endpoint, ProcessIdentity _identity, Micros _openedAt);
	void keepUnprovenOrigin(const ActiveRequest& _active);
	void recordProvenOrigins();
	bool endIfVersionUnknown(const ActiveRequestPtr& _active);
	[[nodiscard]] static bool needsProof(const ActiveRequest& _active);
	void chooseConnection(CallSpec& _spec, const ActiveRequest& _active) const;
	void refreshProven(const std::string& _pool, Micros _now);
	void forgetProven(const std::string& _pool);
	void refreshProvenFor(const ActiveRequest& _active, Micros _now);
	void refreshAwaited(Micros _now);
	void openConnections(Micros _now);
	void openConnectionsIn(const std::string& _pool, Micros _now);
	void checkIdentities(const PoolVersion& _wanted, Micros _now);
	[[nodiscard]] bool isReachedProven(const std::string& _endpoint, const std::string& _address) const;
	void askNextOpened(Micros _now);
	void checkIdentity(const Endpoint& _endpoint, Micros _now);
	void startIdentityCheck(const Endpoint& _endpoint);
	[[nodiscard]] bool mustOverlap(const ActiveRequest& _active, Micros _now) const;
	void notePoolStreams(ActiveRequest& _active, const CallEnd& _end, const AttemptEnd& _result);
	void noteEndFinding(ActiveRequest& _active);
	void noteEarlyEnd(const ActiveRequest& _active, std::uint64_t _lastEvent, Micros _now);
	void sendAllPoolEnds(const std::string& _to, Micros _now);
	void awaitEndAnswer(const ActiveRequestPtr& _active, Micros _now);
	void endUnanswered(Micros _now);
	bool holdEnd(const ActiveRequestPtr& _active, Reason _reason);
	void endHeld(Micros _now);
	[[nodiscard]] bool mayEndUnproven(const ActiveRequest& _active) const;
	void endUnproven(const ActiveRequestPtr& _active, Reason _reason);
	void findStreamEnd(ActiveRequest& _active);
	void keepStreamEnd(const ActiveRequest& _active);
	[[nodiscard]] bool hasMoved(const ActiveRequest& _active, Micros _within) const;
	void findOrigin(const ActiveRequestPtr& _active);
	void onOriginResolved(const OriginResolved& _resolved);
	void onNotResumable(const ActiveRequestPtr& _active);
	void perform(const OriginActions& _actions);
	void submit(const ActiveRequestPtr& _active);
	[[nodiscard]] std::string resultsDomain(const ActiveRequest& _active) const;
	void perform(const Actions& _actions);
	void startAttempt(const StartAttempt& _attempt);
	void attemptEnded(const ActiveRequestPtr& _active, std::uint64_t _attempt, const CallEnd& _end);
	void endAttempt(const ActiveRequestPtr& _active, std::uint64_t _attempt, const CallEnd& _end);
	void identifyAtEnd(const BrokenCall& _ended, IdentityHandler _done);
	static void logAttemptEnd(const ActiveRequest& _active, const CallEnd& _end, const AttemptEnd& _result);
	void noteBuffered(const ActiveRequestPtr& _active, std::size_t _bytes);
	void cutOffAttempt(const ActiveRequestPtr& _active, std::uint64_t _attempt);
	void concludeAttempt(const ActiveRequestPtr& _active, std::uint64_t _attempt, const AttemptEnd& _end);
	void cancelAttempt(const CancelAttempt& _cancel);
	void noteRejectionLimit(const std::string& _pool, std::int64_t _perSecond);
	void refuseContent(const ActiveRequestPtr& _active);
	void refusePart(const ActiveRequestPtr& _active, const BlockedPart& _part);
	bool refuseIfBlocked(const ActiveRequestPtr& _active);
	void refuseWaiting(PartKey _part);
	void onEndpointCrash(const EndpointCrash& _crash, const std::string& _from);
	void recordServedParts(ActiveRequest& _active);
	[[nodiscard]] static bool hasRunOn(const ActiveRequest& _active, Micros _now);
	void noteResponseBegun(ActiveRequest& _active);
	void perform(const PartActions& _actions);
	void finish(const ActiveRequestPtr& _active, const Outcome& _outcome);
	void giveUp(const ActiveRequestPtr& _active, Reason _reason, Micros _retryAfter);
	void endRequest(const ActiveRequestPtr& _active, const Outcome& _outcome, const std::string& _event);
	void onClientGone(std::uint64_t _id);
	void onClientDrained(std::uint64_t _id);
	void refuse(const std::string& _id, const std::string& _target, const std::shared_ptr<HttpReply>& _reply,
				unsigned _status, const std::string& _code, const std::string& _message);
	[[nodiscard]] LogField routesAgeField(Micros _now) const;
	[[nodiscard]] LogField listingAgeField(Micros _now) const;
	[[nodiscard]] static LogField connectionAgeField(const ActiveRequest& _active, Micros _now);
	void logLateTick(Micros _now);
	void tick();

	IoPool& pool;
	EndpointCalls endpointCalls;
	const WireFormat& wire;
	Metrics& metrics;
	Dispatcher dispatcher;
	std::size_t maxResponseBytes; ///< Maximum size of a response that is not a stream of events.
	ResponseBudget responseBudget;
	std::string self; ///< Address of this node as used by other nodes.
	Micros lease;     ///< Maximum age of routes and endpoints that are used to handle a request.
	CrashMonitor crashes;
	FatalPartDetector parts;
	std::function<void(const std::string&, const PartMessage&)> sendPart;
	std::function<void(const std::string&, const RejectionLimitNotice&)> sendRejectionLimit;
	std::vector<std::string> peers; ///< Addresses of the other live nodes.
	StreamOrigins origins;
	std::function<void(const std::string&, const OriginMessage&)> sendOrigin;
	std::function<void(const SavedVersions&)> saveVersions;
	std::function<void(const SaveStreamRecords&)> saveRecords;
	PoolStreams poolStreams;
	StreamEnds streamEnds; ///< Of streams that this node or another one broke off.
	std::function<void(const std::string&, const StreamEndQuery&)> sendStreamEndQuery;
	std::function<void(const std::string&, const StreamEndNotice&)> sendStreamEnd;
	std::function<void(const std::string&, const PoolEndsNotice&)> sendPoolEnds;
	/// Requests whose stream has an end that others are asked about, by the time point up to which that may take.
	std::set<std::pair<Micros, std::uint64_t>> askedEnds;
	std::map<std::uint64_t, HeldEnd> heldEnds; ///< By request.
	std::uint64_t unprovenEndCount = 0;        ///< Streams that were ended as whole although not enough runs agreed.
	ProcessProofs proofs;
	IdentityCheck identity;
	std::map<std::string, Micros> identityCheckedAt; ///< Time point of the latest check, by endpoint.
	std::size_t identityChecks = 0;                  ///< In progress.
	/// Shared names of endpoints to which connections are kept open, and whose processes are to be asked who they are.
	std::set<std::string> unaskedEndpoints;
	std::set<std::string> tellingNoStart;      ///< Ids of endpoints that do not tell their start when they are asked.
	Micros nextOpenAt = 0;                     ///< Time point at which missing connections are opened again.
	std::map<std::string, Micros> provenSetAt; ///< When the dispatcher was told the proven endpoints, by pool.
	std::set<std::uint64_t> unboundStreams;    ///< Requests whose stream has begun at a process that is not proven yet.
	std::vector<UnprovenOrigin> unprovenOrigins; ///< Of those of them that have ended.
	/// Requests that continue a stream and wait for its origin, by lookup.
	std::map<std::uint64_t, ActiveRequestPtr> originLookups;
	PieceRunner pieces;
	std::shared_ptr<const RoutePlan> plan;
	std::deque<EarlierPlan> earlierPlans; ///< That streams may have begun under, oldest first.
	std::unordered_map<std::uint64_t, ActiveRequestPtr> activeRequests;
	/// Request and piece, by order id.
	std::unordered_map<std::uint64_t, std::pair<std::uint64_t, PieceIndex>> pieceOrders;
	/// Requests whose stages run, by the time point at which they are refused.
	std::set<std::pair<Micros, std::uint64_t>> deadlines;
	std::map<std::string, double> firstEventTimes; ///< Microseconds from sending to a stream's first event, by pool.
	std::size_t liveNodes = 1;                     ///< Number of live nodes, including this one.
	RouteDurations durations;
	Micros refuseFrom = 0;             ///< Time point, 0 unless a planned stop has begun.
	Micros stopEndsAt = 0;             ///< Time point at which the process ends.
	std::uint64_t listingPosition = 0; ///< Position of the endpoint listing in use.
	FeedFreshness freshness;           ///< How current the routes and endpoints are.
	Micros lastTickAt = 0;             ///< Time point, 0 before the first tick.
	std::uint64_t lastRequest = 0;
	std::uint64_t lastOrder;
	std::atomic<std::size_t> activeCount{0};
	std::atomic<std::size_t> callsForOthers{0}; ///< Calls in progress for other nodes, at the last tick.
	std::atomic<std::uint64_t> attemptCount{0};
	std::atomic<std::uint64_t> retryCount{0};
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_TRAFFIC_H_HEADER_GUARD
