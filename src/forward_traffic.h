/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests that are forwarded byte for byte: routed, admitted, taken through their stages, placed, and answered.

#ifndef ROADFERRY_FORWARD_TRAFFIC_H_HEADER_GUARD
#define ROADFERRY_FORWARD_TRAFFIC_H_HEADER_GUARD

#include "forward_answer.h"
#include "logging.h"
#include "metrics.h"
#include "piece_runner.h"
#include "stage_times.h"

#include <atomic>

namespace roadferry
{

/// Settings of ForwardTraffic.
struct ForwardSettings
{
	std::string self; ///< Address of this node, as other nodes know it.
	DispatcherConfig dispatcher;
	PieceSchedulerConfig pieces;
	Micros lease = 2 * kSecond; ///< How old routes and endpoints may be that decide about a request.
};

/// Endpoints reset connections beyond a number that all nodes share: what rests at one node must leave room for the
/// requests of all others, which may not be sent again after a reset.
/// @param[in] _pool Pool of the endpoint, null when it is not known.
/// @param[in] _nodes Live nodes, at least one.
/// @returns Idle connections to one endpoint that a node may keep.
std::size_t maxIdleConnections(const PoolSpec* _pool, std::size_t _nodes);

/// All forwarded requests of this node. Everything runs on thread 0 of the pool; functions that say so may be called
/// from any thread.
class ForwardTraffic
{
public:
	ForwardTraffic(IoPool& _pool, HttpClient& _client, const WireFormat& _wire, Metrics& _metrics,
				   const ForwardSettings& _settings,
				   std::function<void(const std::string&, const PieceMessage&)> _send);
	~ForwardTraffic();

	/// Begins to watch deadlines.
	void start();

	/// Takes a client's request. On thread 0.
	void handle(HttpRequest _request, const std::shared_ptr<HttpReply>& _reply);

	/// Each of these may be called from any thread.
	void setPlan(const std::shared_ptr<const RoutePlan>& _plan);
	/// @param[in] _position Position of the listing in the platform's log, for the logs.
	void setEndpoints(const std::vector<Endpoint>& _endpoints, std::uint64_t _position);
	/// Call after setPlan and setEndpoints, of which it tells how current they are.
	void setKnowledge(const FeedKnowledge& _knowledge);
	void setMembers(const std::vector<std::string>& _members);
	void setRetryBounds(double _share, double _burst);
	void receive(const std::string& _from, const PieceMessage& _message);
	void peerClosed(const std::string& _peer);
	/// A planned stop has begun.
	/// @param[in] _refuseFrom Time point from which on requests are refused that may not be finished by its end.
	/// @param[in] _end Time point at which the process ends.
	void stopAt(Micros _refuseFrom, Micros _end);

	/// Refuses what was not sent to an endpoint of its own yet, at the end of a planned stop.
	void refuseUnsent();
	[[nodiscard]] std::size_t inFlight() const;
	/// On thread 0.
	[[nodiscard]] std::string metricsText() const;

	/// On thread 0.
	/// @returns Whether what is known here of routes and endpoints is recent enough to decide about requests.
	[[nodiscard]] bool mayHandleNow() const;

private:
	struct ActiveRequest;
	using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

	void beginRequest(const ActiveRequestPtr& _active);
	ActiveRequestPtr findActive(std::uint64_t _id);
	void orderPieces(const ActiveRequestPtr& _active);
	[[nodiscard]] PieceOrder makeOrder(const ActiveRequest& _active, const PieceName& _piece) const;
	[[nodiscard]] std::int64_t downstreamBytes(const ActiveRequest& _active, std::size_t _stage) const;
	[[nodiscard]] std::string preferredDomain(const ActiveRequest& _active, std::size_t _stage) const;
	void onPieceStarted(const PieceStarted& _started);
	void onPieceMade(const PieceMade& _made);
	void onPieceFailed(const PieceFailed& _failed);
	void rerunStages(const ActiveRequestPtr& _active);
	void recordFirstEventTime(const ActiveRequest& _active);
	[[nodiscard]] Micros firstEventTime(const std::string& _pool) const;
	[[nodiscard]] AdmissionTerms makeAdmissionTerms(const ActiveRequest& _active) const;
	[[nodiscard]] static Micros jitteredRetryAfter(const ActiveRequest& _active);
	void freeInputs(const ActiveRequestPtr& _active);
	void submit(const ActiveRequestPtr& _active);
	[[nodiscard]] std::string resultsDomain(const ActiveRequest& _active) const;
	void perform(const Actions& _actions);
	void startAttempt(const StartAttempt& _attempt);
	void attemptEnded(const ActiveRequestPtr& _active, std::uint64_t _attempt, const CallEnd& _end);
	void cancelAttempt(const CancelAttempt& _cancel);
	void finish(const ActiveRequestPtr& _active, const Outcome& _outcome);
	void giveUp(const ActiveRequestPtr& _active, Reason _reason, Micros _retryAfter);
	void endRequest(const ActiveRequestPtr& _active, const Outcome& _outcome, const std::string& _event);
	void onClientGone(std::uint64_t _id);
	void refuse(const std::string& _id, const std::string& _target, const std::shared_ptr<HttpReply>& _reply,
				unsigned _status, const std::string& _code, const std::string& _message);
	[[nodiscard]] LogField routesAgeField(Micros _now) const;
	[[nodiscard]] LogField listingAgeField(Micros _now) const;
	void logLateTick(Micros _now);
	void tick();

	IoPool& pool;
	HttpClient& client;
	const WireFormat& wire;
	Metrics& metrics;
	Dispatcher dispatcher;
	Micros lease; ///< How old routes and endpoints may be that decide about a request.
	PieceRunner pieces;
	std::shared_ptr<const RoutePlan> plan;
	std::unordered_map<std::uint64_t, ActiveRequestPtr> activeRequests;
	std::unordered_map<std::uint64_t, std::pair<std::uint64_t, PieceName>>
		pieceOrders;                                      ///< Request and piece, by order.
	std::set<std::pair<Micros, std::uint64_t>> deadlines; ///< Of requests whose pieces are being made.
	std::map<std::string, double> firstEventTimes; ///< Microseconds from sending to a stream's first event, by pool.
	std::size_t liveNodes = 1;                     ///< Live nodes, this one among them.
	Micros refuseFrom = 0;                         ///< Of a planned stop, 0 for none.
	Micros stopEndsAt = 0;
	std::uint64_t listingPosition = 0; ///< Position of the listing in use.
	FeedKnowledge knowledge;           ///< How current routes and endpoints are.
	Micros lastTickAt = 0;
	std::uint64_t lastRequest = 0;
	std::uint64_t lastOrder = 0;
	std::atomic<std::size_t> activeCount{0};
	std::atomic<std::uint64_t> attemptCount{0};
	std::atomic<std::uint64_t> retryCount{0};
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_TRAFFIC_H_HEADER_GUARD
