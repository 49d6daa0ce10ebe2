/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Executes the actions of the piece scheduler: calls to endpoints and messages to other nodes.

#ifndef ROADFERRY_PIECE_RUNNER_H_HEADER_GUARD
#define ROADFERRY_PIECE_RUNNER_H_HEADER_GUARD

#include "adapter.h"
#include "crash_monitor.h"
#include "endpoint_calls.h"

namespace roadferry
{

/// Called on the runner's thread.
struct PieceHandlers
{
	std::function<void(const PieceStarted&)> onStarted;
	std::function<void(const PieceCompleted&)> onCompleted;
	std::function<void(const PieceFailed&)> onFailed;
	std::function<void(const std::string& _to, const PieceMessage&)> send;
};

/// Runs pieces on endpoints. All functions run on thread 0 of the thread pool.
class PieceRunner
{
public:
	PieceRunner(EndpointCalls& _endpointCalls, const WireFormat& _wire, CrashMonitor& _crashes,
				PieceScheduler _scheduler, PieceHandlers _handlers);

	void setPlan(const RoutePlan& _plan);
	/// @param[in] _position Position of the listing in the platform's log, which is added to log lines.
	void setEndpoints(const std::vector<Endpoint>& _endpoints, std::uint64_t _position);
	void setMembers(const std::vector<std::string>& _members, const std::vector<std::string>& _batchingNodes);

	void submit(const std::string& _pool, const std::vector<PieceOrder>& _orders,
				const std::optional<AdmissionTerms>& _admission);
	void cancel(const std::vector<std::uint64_t>& _orders);

	/// Frees results that are no longer needed, at the next tick.
	void free(const std::vector<std::string>& _handles);

	void receive(const std::string& _from, const PieceMessage& _message);
	void peerClosed(const std::string& _peer);
	void tick();

private:
	void perform(const PieceActions& _actions);
	void start(const StartBatch& _batch);
	void onCallEnded(const StartBatch& _batch, Micros _startedAt, const CallEnd& _end);
	void concludeBatch(std::uint64_t _batch, const BatchEnd& _end);
	void updateCrashedRequests();
	void cancelCall(std::uint64_t _batch);
	void queueFree(const std::string& _handle);
	void sendFrees();

	EndpointCalls& endpointCalls;
	const WireFormat& wire;
	CrashMonitor& crashes;
	PieceScheduler scheduler;
	std::uint64_t crashRevision = 0; ///< Revision of the crash ledger that the scheduler knows.
	PieceHandlers handlers;
	std::uint64_t listingPosition = 0; ///< Position of the current listing in the platform's log.
	std::map<std::uint64_t, std::shared_ptr<HttpCall>> calls; ///< By batch.
	std::vector<std::string> unneededResults;                 ///< Handles to free at the next tick.
	/// Handles to free, by address of the endpoint that keeps them.
	std::map<std::string, std::vector<std::string>> pendingFrees;
};

} // namespace roadferry

#endif // ROADFERRY_PIECE_RUNNER_H_HEADER_GUARD
