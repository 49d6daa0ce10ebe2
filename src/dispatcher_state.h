/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// State and internal operations of the dispatcher, shared by its source files.

#ifndef ROADFERRY_DISPATCHER_STATE_H_HEADER_GUARD
#define ROADFERRY_DISPATCHER_STATE_H_HEADER_GUARD

#include "endpoint_registry.h"
#include "pool_queue.h"
#include "predictor.h"
#include "retry_budget.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

constexpr Micros kRetryAfterMin = 200 * kMillisecond; ///< Shortest Retry-After of a refusal that names one.

/// State of a request's current stage.
enum class Phase
{
	Waiting,
	Running
};

/// A request in flight.
struct DispatchedRequest
{
	RequestSpec spec;
	PipelineRow pipeline;
	std::vector<StageRow> stages; ///< Rows at the time of admission.
	double weight = 1;
	std::size_t stageIndex = 0;
	std::int64_t attemptsMade = 0;
	std::int64_t failedConnects = 0; ///< Failed connects of the stage that did not count as attempts.
	Phase phase = Phase::Waiting;
	QueuedRequest queued;
	std::uint64_t attempt = 0;
	std::string endpoint;
	std::int64_t refusals = 0;     ///< Refusals by endpoints in the stage that did not count as attempts.
	std::set<std::string> avoid;   ///< Endpoints of the stage's failed attempts.
	std::set<std::string> visited; ///< Endpoints of the stage's attempts.
	bool staysAtVisited = false;   ///< The next attempt goes to one of these.
	bool wasUnproven = false;      ///< An attempt of the stage found no connection that it may use.
	Micros startedAt = 0;
	double predictedUs = 0;
	bool anySent = false;        ///< Bytes of some stage may have been sent.
	bool atMostOnceSent = false; ///< Bytes of a stage that may not be repeated may have been sent.
};

/// State and internal operations of the dispatcher.
struct Dispatcher::State
{
	explicit State(const DispatcherConfig& _config) : config(_config), registry(_config)
	{
	}

	DispatcherConfig config;
	std::shared_ptr<const Table> table = std::make_shared<Table>();
	EndpointRegistry registry;
	Predictor predictor;
	std::map<std::string, RetryBudget> budgets; ///< By pool.
	std::optional<Micros> retriesSince;         ///< First call of setRetryBounds().
	DispatcherCounters counters;
	std::unordered_map<std::uint64_t, DispatchedRequest> activeRequests;
	std::unordered_map<std::uint64_t, std::uint64_t> requestOfAttempt;
	std::set<std::pair<Micros, std::uint64_t>> deadlines;
	std::unordered_map<std::string, PoolQueue> queues;
	std::set<std::string> urgentPools; ///< Pools that urgent pipelines use.
	std::map<std::string, std::int64_t> inFlightByWorkspace;
	std::map<std::string, std::int64_t> shares;
	std::uint64_t lastAttempt = 0;
	bool draining = false;
	bool listingChanged = false;                                   ///< Since the last tick.
	std::set<std::uint64_t> versionRequired;                       ///< Requests in flight that need a software version.
	std::map<std::string, std::set<std::uint64_t>> versionAwaited; ///< Those of them that wait, by pool.
	std::map<std::string, ProvenEndpoints> proven;                 ///< By pool.

	void useTable(std::shared_ptr<const Table> _table);
	std::optional<Outcome> checkAdmission(const RequestSpec& _request, DispatchedRequest& _active, Micros _now);
	std::optional<Outcome> checkWorkspaceLimit(const RequestSpec& _request) const;
	std::optional<Outcome> checkFeasibility(const DispatchedRequest& _active, Micros _now);
	bool resolveStages(DispatchedRequest& _active) const;
	PoolQueue& queue(const std::string& _pool);
	RetryBudget& budget(const std::string& _pool);
	void admit(const RequestSpec& _request, DispatchedRequest _active, Micros _now, Actions& _actions);
	double queueWaitUs(const DispatchedRequest& _active, const std::string& _pool, Micros _now);
	double remainingServiceUs(const DispatchedRequest& _active, std::size_t _stage, double _deviations) const;
	bool isAtMostOnce(const DispatchedRequest& _active) const;
	bool mayStart(const std::string& _pool, bool _urgent, Micros _now) const;

	void enqueue(DispatchedRequest& _active);
	void endWait(const DispatchedRequest& _active);
	[[nodiscard]] EndpointQuery makeQuery(const DispatchedRequest& _active) const;
	void restartElsewhere(DispatchedRequest& _active, Micros _now, Actions& _actions);
	void startQueued(const std::string& _pool, Micros _now, Actions& _actions);
	bool abortInfeasible(const std::vector<QueuedRequest>& _window, Micros _now, Actions& _actions);
	bool startNext(const std::string& _pool, Micros _now, Actions& _actions);
	void start(DispatchedRequest& _active, EndpointState& _endpoint, Micros _now, Actions& _actions);
	void finish(std::uint64_t _request, Outcome _outcome, Actions& _actions);
	Outcome failureOutcome(const DispatchedRequest& _active, Reason _reason) const;
	void abortWithoutVersion(Micros _now, Actions& _actions);
	void abortRequest(std::uint64_t _request, Reason _reason, Micros _now, Actions& _actions);
	void releaseAttempt(DispatchedRequest& _active);
	void completeStage(DispatchedRequest& _active, Micros _now, Actions& _actions);
	void retryOrFail(DispatchedRequest& _active, bool _sent, Micros _now, Actions& _actions);
	void retryUnprovenEnd(DispatchedRequest& _active, bool _isTrusted, Micros _now, Actions& _actions);
	void repeatOrFinish(DispatchedRequest& _active, bool _sent, double _minBudget, Micros _now, Actions& _actions);
	void reconnectOrRetry(DispatchedRequest& _active, Micros _now, Actions& _actions);
	void retryElsewhere(DispatchedRequest& _active, Micros _now, Actions& _actions);
	void restart(DispatchedRequest& _active, Micros _now, Actions& _actions);
};

} // namespace roadferry

#endif // ROADFERRY_DISPATCHER_STATE_H_HEADER_GUARD
