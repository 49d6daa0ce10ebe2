/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The dispatcher: runs a request through its stages, one attempt at a time.

#include "dispatcher_state.h"

#include <utility>

namespace roadferry
{

Dispatcher::Dispatcher(const DispatcherConfig& _config) : state(std::make_unique<State>(_config))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setTable(std::shared_ptr<const Table> _table)
{
	this->state->useTable(std::move(_table));
}

void Dispatcher::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->state->registry.setEndpoints(_endpoints);
	this->state->listingChanged = true;
}

void Dispatcher::setNodeCount(std::size_t _nodes)
{
	this->state->registry.setNodeCount(_nodes);
}

void Dispatcher::setNodes(const std::string& _self, const std::vector<std::string>& _nodes)
{
	this->state->registry.setNodes(_self, _nodes);
}

bool Dispatcher::recordRejectionLimit(const std::string& _pool, std::int64_t _perSecond, Micros _now)
{
	return this->state->registry.recordRejectionLimit(_pool, _perSecond, _now);
}

std::size_t Dispatcher::limitedPools(Micros _now) const
{
	return this->state->registry.limitedPools(_now);
}

void Dispatcher::markLeaving(const std::string& _endpoint)
{
	this->state->registry.markLeaving(_endpoint);
}

void Dispatcher::recordCrash(const std::string& _endpoint, Micros _now)
{
	this->state->registry.recordCrash(_endpoint, _now);
}

void Dispatcher::reportLoad(const std::string& _endpoint, const LoadReport& _report)
{
	this->state->registry.reportLoad(_endpoint, _report);
}

void Dispatcher::setShare(const std::string& _workspace, std::int64_t _inFlight)
{
	if (_inFlight < 0)
	{
		this->state->shares.erase(_workspace);
		return;
	}
	this->state->shares[_workspace] = _inFlight;
}

void Dispatcher::drain()
{
	this->state->draining = true;
}

void Dispatcher::setRetryBounds(const RetryBounds& _bounds, Micros _now)
{
	if (!this->state->retriesSince)
	{
		this->state->retriesSince = _now;
	}
	this->state->config.retries = _bounds;
	for (auto& entry : this->state->budgets)
	{
		entry.second.setBounds(_bounds, _now);
	}
}

Actions Dispatcher::submit(const RequestSpec& _request, Micros _now)
{
	State& self = *this->state;
	Actions actions;
	self.counters.submitted += 1;
	DispatchedRequest active;
	if (auto refusal = self.checkAdmission(_request, active, _now))
	{
		self.counters.notRun += 1;
		actions.emplace_back(FinishRequest{_request.id, *refusal});
		return actions;
	}
	self.admit(_request, std::move(active), _now, actions);
	return actions;
}

Actions Dispatcher::submit(const RequestSpec& _request, const PipelineRow& _pipeline,
						   const std::vector<StageRow>& _stages, Micros _now)
{
	State& self = *this->state;
	Actions actions;
	self.counters.submitted += 1;
	DispatchedRequest active;
	active.spec = _request;
	active.pipeline = _pipeline;
	active.stages = _stages;
	std::optional<Outcome> refusal = self.checkFeasibility(active, _now);
	if (!refusal && _request.isRetry && !self.budget(_stages.front().pool).tryTakeRetry(_now))
	{
		refusal = Outcome{Verdict::NotRun, Reason::RetryBudgetEmpty, true, kRetryAfterMin, {}};
	}
	if (refusal)
	{
		self.counters.notRun += 1;
		actions.emplace_back(FinishRequest{_request.id, *refusal});
		return actions;
	}
	self.admit(_request, std::move(active), _now, actions);
	return actions;
}

Actions Dispatcher::attemptEnded(std::uint64_t _attempt, const AttemptEnd& _end, Micros _now)
{
	State& self = *this->state;
	Actions actions;
	const auto found = self.requestOfAttempt.find(_attempt);
	if (found == self.requestOfAttempt.end())
	{
		self.counters.lateAnswers += 1;
		return actions;
	}
	DispatchedRequest& active = self.activeRequests.at(found->second);
	std::visit(
		Overloaded{
			[&](const AttemptAnswered&) { self.completeStage(active, _now, actions); },
			[&](const AttemptNotSent&) { self.reconnectOrRetry(active, _now, actions); },
			[&](const AttemptRefused&) { self.retryElsewhere(active, _now, actions); },
			[&](const AttemptInterrupted&) { self.retryOrFail(active, true, _now, actions); },
			[&](const AttemptNoConnection&) { self.restartElsewhere(active, _now, actions); },
			[&](const AttemptEndUnproven& _unproven)
			{ self.retryUnprovenEnd(active, _unproven.isTrusted, _now, actions); },
		},
		_end);
	return actions;
}

void Dispatcher::requireVersion(std::uint64_t _request, const std::string& _version)
{
	const auto found = this->state->activeRequests.find(_request);
	if (found != this->state->activeRequests.end())
	{
		DispatchedRequest& active = found->second;
		active.spec.requiredVersion = _version;
		this->state->versionRequired.insert(_request);
		if (active.phase == Phase::Waiting)
		{
			this->state->versionAwaited[active.stages[active.stageIndex].pool].insert(_request);
		}
	}
}

void Dispatcher::setProven(const std::string& _pool, const ProvenEndpoints& _proven)
{
	this->state->proven[_pool] = _proven;
}

std::set<PoolVersion> Dispatcher::awaitedVersions() const
{
	std::set<PoolVersion> awaited;
	for (const auto& entry : this->state->versionAwaited)
	{
		for (const std::uint64_t request : entry.second)
		{
			awaited.emplace(entry.first, *this->state->activeRequests.at(request).spec.requiredVersion);
		}
	}
	return awaited;
}

bool Dispatcher::servesVersion(const std::string& _pool, const std::string& _version) const
{
	return this->state->registry.hasLiveEndpoint(_pool, _version);
}

Actions Dispatcher::cancel(std::uint64_t _request, Micros _now)
{
	Actions actions;
	if (this->state->activeRequests.count(_request) > 0)
	{
		this->state->abortRequest(_request, Reason::Cancelled, _now, actions);
	}
	return actions;
}

Actions Dispatcher::tick(Micros _now)
{
	State& self = *this->state;
	Actions actions;
	while (!self.deadlines.empty() && self.deadlines.begin()->first <= _now)
	{
		self.abortRequest(self.deadlines.begin()->second, Reason::DeadlinePassed, _now, actions);
	}
	if (std::exchange(self.listingChanged, false))
	{
		self.abortWithoutVersion(_now, actions);
	}
	for (auto& entry : self.queues)
	{
		self.startQueued(entry.first, _now, actions);
	}
	return actions;
}

std::string Dispatcher::homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const
{
	return this->state->registry.homeDomain(_pool, _prefix, _now);
}

std::size_t Dispatcher::inFlight() const
{
	return this->state->activeRequests.size();
}

std::map<std::string, std::int64_t> Dispatcher::inFlightByWorkspace() const
{
	return this->state->inFlightByWorkspace;
}

const DispatcherCounters& Dispatcher::counters() const
{
	return this->state->counters;
}

std::vector<EndpointState> Dispatcher::endpoints() const
{
	return this->state->registry.states();
}

} // namespace roadferry
