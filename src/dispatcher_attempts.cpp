/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Attempts of the dispatcher: their start, their end, and what follows for the request.

#include "dispatcher_state.h"

#include <algorithm>

namespace roadferry
{

namespace
{

/// Share of the retry budget that must be there for an attempt that only asks whether an answer was whole; the rest is
/// left to attempts that failed.
constexpr double kMinBudgetForProofs = 0.5;
constexpr double kMinBudgetForTrusted = 0.75; ///< Leaves the rest to answers that do not count without a proof.

/// @returns Share of the retry budget that must be there to ask about the end of an answer.
double minBudgetFor(bool _isTrusted)
{
	return _isTrusted ? kMinBudgetForTrusted : kMinBudgetForProofs;
}

} // namespace

bool Dispatcher::mayAskOfEnd(const std::string& _pool, bool _isTrusted, Micros _now)
{
	return this->state->budget(_pool).hasRetry(_now, minBudgetFor(_isTrusted));
}

RetryBudget& Dispatcher::State::budget(const std::string& _pool)
{
	return this->budgets.try_emplace(_pool, this->config.retries, this->retriesSince.value_or(0)).first->second;
}

bool Dispatcher::State::isAtMostOnce(const DispatchedRequest& _active) const
{
	const StageRow& stage = _active.stages[_active.stageIndex];
	const bool hasEffect = stage.kind == StageKind::Engine || stage.kind == StageKind::Service;
	return !stage.repeatable || (hasEffect && !_active.spec.repeatable);
}

void Dispatcher::State::start(DispatchedRequest& _active, EndpointState& _endpoint, Micros _now, Actions& _actions)
{
	const StageRow& stage = _active.stages[_active.stageIndex];
	this->endWait(_active);
	_active.phase = Phase::Running;
	_active.attempt = ++this->lastAttempt;
	_active.endpoint = _endpoint.endpoint.id;
	_active.startedAt = _now;
	_active.attemptsMade += 1;
	_active.visited.insert(_active.endpoint);
	this->counters.attempts += 1;
	if (_active.attemptsMade == 1 && _active.failedConnects == 0 && _active.refusals == 0 && !_active.spec.isRetry &&
		!_active.wasUnproven)
	{
		this->budget(stage.pool).recordFirstAttempt(_now);
	}
	this->requestOfAttempt.emplace(_active.attempt, _active.spec.id);
	this->registry.recordCallStart(_endpoint, _active.predictedUs, _now);
	StartAttempt action;
	action.request = _active.spec.id;
	action.attempt = _active.attempt;
	action.stageIndex = _active.stageIndex;
	action.stage = stage.name;
	action.kind = stage.kind;
	action.endpoint = _endpoint.endpoint.id;
	action.address = _endpoint.endpoint.address;
	action.softwareVersion = _endpoint.endpoint.softwareVersion;
	action.deadline = _active.spec.deadline;
	action.atMostOnce = this->isAtMostOnce(_active);
	_actions.emplace_back(std::move(action));
}

void Dispatcher::State::releaseAttempt(DispatchedRequest& _active)
{
	this->requestOfAttempt.erase(_active.attempt);
	this->registry.recordCallEnd(_active.endpoint, _active.predictedUs);
}

void Dispatcher::State::completeStage(DispatchedRequest& _active, Micros _now, Actions& _actions)
{
	const StageRow& stage = _active.stages[_active.stageIndex];
	const std::string pool = stage.pool;
	const auto measuredUs = static_cast<double>(_now - _active.startedAt);
	this->releaseAttempt(_active);
	this->registry.recordSuccess(_active.endpoint, measuredUs / std::max(1.0, _active.predictedUs), _now);
	this->predictor.record(_active.pipeline.name, stage, _active.spec, measuredUs);
	_active.anySent = true;
	_active.atMostOnceSent = _active.atMostOnceSent || this->isAtMostOnce(_active);
	_active.stageIndex += 1;
	_active.attemptsMade = 0;
	_active.failedConnects = 0;
	_active.refusals = 0;
	_active.wasUnproven = false;
	_active.avoid.clear();
	_active.visited.clear();
	_active.staysAtVisited = false;
	if (_active.stageIndex == _active.stages.size())
	{
		this->finish(_active.spec.id, Outcome{Verdict::Answered, Reason::None, false, 0, {}}, _actions);
		this->startQueued(pool, _now, _actions);
		return;
	}
	this->enqueue(_active);
	const std::string next = _active.stages[_active.stageIndex].pool;
	this->startQueued(pool, _now, _actions);
	if (next != pool)
	{
		this->startQueued(next, _now, _actions);
	}
}

void Dispatcher::State::retryOrFail(DispatchedRequest& _active, bool _sent, Micros _now, Actions& _actions)
{
	this->registry.recordFailure(_active.endpoint, _now);
	this->repeatOrFinish(_active, _sent, 0, _now, _actions);
}

/// The endpoint answered, but not surely completely. It costs a retry, but does not speak against the endpoint. It
/// costs an attempt only while one is left: after that, endpoints are asked again that the request has been at.
void Dispatcher::State::retryUnprovenEnd(DispatchedRequest& _active, bool _isTrusted, Micros _now, Actions& _actions)
{
	const StageRow& stage = _active.stages[_active.stageIndex];
	_active.staysAtVisited = _active.attemptsMade >= stage.maxAttempts;
	if (_active.staysAtVisited && this->registry.isAnyUsable(_active.visited, _active.spec.requiredVersion, _now))
	{
		_active.attemptsMade -= 1;
	}
	const auto measuredUs = static_cast<double>(_now - _active.startedAt);
	this->registry.recordSuccess(_active.endpoint, measuredUs / std::max(1.0, _active.predictedUs), _now);
	this->repeatOrFinish(_active, true, minBudgetFor(_isTrusted), _now, _actions);
}

/// Ends the attempt, and starts another one if that is possible.
/// @param[in] _minBudget Share of the retry budget that has to be there.
void Dispatcher::State::repeatOrFinish(DispatchedRequest& _active, bool _sent, double _minBudget, Micros _now,
									   Actions& _actions)
{
	const StageRow& stage = _active.stages[_active.stageIndex];
	const std::string pool = stage.pool;
	const std::uint64_t request = _active.spec.id;
	const bool atMostOnce = this->isAtMostOnce(_active);
	this->releaseAttempt(_active);
	_active.anySent = _active.anySent || _sent;
	_active.atMostOnceSent = _active.atMostOnceSent || (_sent && atMostOnce);
	this->registry.addWithLaterProcesses(_active.endpoint, _active.avoid);
	if (_sent && atMostOnce)
	{
		this->finish(request, this->failureOutcome(_active, Reason::CutWhileRunning), _actions);
	}
	else if (_active.attemptsMade >= stage.maxAttempts)
	{
		this->finish(request, this->failureOutcome(_active, Reason::AttemptsExhausted), _actions);
	}
	else if (!this->registry.hasLiveEndpoint(stage.pool, _active.spec.requiredVersion))
	{
		const bool versionGone = this->registry.hasLiveEndpoint(stage.pool, std::nullopt);
		const Reason reason = versionGone ? Reason::VersionGone : Reason::NoEndpoint;
		this->finish(request, this->failureOutcome(_active, reason), _actions);
	}
	else if (!this->budget(stage.pool).tryTakeRetry(_now, _minBudget))
	{
		this->finish(request, this->failureOutcome(_active, Reason::RetryBudgetEmpty), _actions);
	}
	else
	{
		this->counters.retries += 1;
		this->enqueue(_active);
	}
	this->startQueued(pool, _now, _actions);
}

/// The attempt reached no endpoint. Up to maxExtraConnects per stage, it counts neither as an attempt nor as a retry.
void Dispatcher::State::reconnectOrRetry(DispatchedRequest& _active, Micros _now, Actions& _actions)
{
	if (_active.failedConnects >= this->config.maxExtraConnects)
	{
		this->retryOrFail(_active, false, _now, _actions);
		return;
	}
	_active.failedConnects += 1;
	this->restart(_active, _now, _actions);
}

/// The endpoint refused the attempt. Up to maxExtraRefusals per stage, it costs a retry, but counts not as an attempt,
/// since the request has not run.
void Dispatcher::State::retryElsewhere(DispatchedRequest& _active, Micros _now, Actions& _actions)
{
	const std::string pool = _active.stages[_active.stageIndex].pool;
	this->registry.recordRejection(_active.endpoint, _now);
	const bool isFree = _active.refusals < this->config.maxExtraRefusals &&
						this->registry.hasLiveEndpoint(pool, _active.spec.requiredVersion) &&
						this->budget(pool).tryTakeRetry(_now);
	if (!isFree)
	{
		this->retryOrFail(_active, false, _now, _actions);
		return;
	}
	this->counters.retries += 1;
	_active.refusals += 1;
	this->restart(_active, _now, _actions);
}

/// Starts an attempt again that does not count.
void Dispatcher::State::restart(DispatchedRequest& _active, Micros _now, Actions& _actions)
{
	const std::string pool = _active.stages[_active.stageIndex].pool;
	_active.attemptsMade -= 1;
	_active.avoid.insert(_active.endpoint);
	this->releaseAttempt(_active);
	this->registry.recordFailure(_active.endpoint, _now);
	this->enqueue(_active);
	this->startQueued(pool, _now, _actions);
}

/// The endpoint has no connection that the attempt may use: it neither counts nor tells anything of the endpoint.
void Dispatcher::State::restartElsewhere(DispatchedRequest& _active, Micros _now, Actions& _actions)
{
	const std::string pool = _active.stages[_active.stageIndex].pool;
	_active.attemptsMade -= 1;
	_active.wasUnproven = true;
	ProvenEndpoints& provenInPool = this->proven[pool];
	provenInPool.ids.erase(_active.endpoint);
	provenInPool.isRequired = true;
	this->releaseAttempt(_active);
	this->enqueue(_active);
	this->startQueued(pool, _now, _actions);
}

void Dispatcher::State::finish(std::uint64_t _request, Outcome _outcome, Actions& _actions)
{
	const auto found = this->activeRequests.find(_request);
	const DispatchedRequest& active = found->second;
	this->deadlines.erase({active.spec.deadline, _request});
	this->versionRequired.erase(_request);
	const auto count = this->inFlightByWorkspace.find(active.spec.workspace);
	count->second -= 1;
	if (count->second == 0)
	{
		this->inFlightByWorkspace.erase(count);
	}
	this->activeRequests.erase(found);
	switch (_outcome.verdict)
	{
	case Verdict::Answered:
		this->counters.answered += 1;
		break;
	case Verdict::NotRun:
		this->counters.notRun += 1;
		break;
	case Verdict::Unknown:
		this->counters.unknown += 1;
		break;
	}
	_actions.emplace_back(FinishRequest{_request, std::move(_outcome)});
}

Outcome Dispatcher::State::failureOutcome(const DispatchedRequest& _active, Reason _reason) const
{
	Outcome outcome;
	outcome.verdict = _active.anySent ? Verdict::Unknown : Verdict::NotRun;
	outcome.reason = _reason;
	outcome.repeatSafe = !_active.atMostOnceSent;
	outcome.retryAfter = kRetryAfterMin;
	outcome.stage = _active.stages[_active.stageIndex].name;
	return outcome;
}

/// Ends waiting requests whose software version has no endpoint any more.
void Dispatcher::State::abortWithoutVersion(Micros _now, Actions& _actions)
{
	const std::set<std::uint64_t> requests = this->versionRequired;
	for (const std::uint64_t request : requests)
	{
		const auto found = this->activeRequests.find(request);
		if (found == this->activeRequests.end() || found->second.phase != Phase::Waiting)
		{
			continue;
		}
		const DispatchedRequest& active = found->second;
		if (!this->registry.hasLiveEndpoint(active.stages[active.stageIndex].pool, active.spec.requiredVersion))
		{
			this->abortRequest(request, Reason::VersionGone, _now, _actions);
		}
	}
}

void Dispatcher::State::abortRequest(std::uint64_t _request, Reason _reason, Micros _now, Actions& _actions)
{
	DispatchedRequest& active = this->activeRequests.at(_request);
	const std::string pool = active.stages[active.stageIndex].pool;
	if (active.phase == Phase::Waiting)
	{
		this->queue(pool).remove(active.queued);
		this->endWait(active);
		this->finish(_request, this->failureOutcome(active, _reason), _actions);
		return;
	}
	// The call is in progress, and how much of it was sent is not known here: it counts as sent.
	active.anySent = true;
	active.atMostOnceSent = active.atMostOnceSent || this->isAtMostOnce(active);
	_actions.emplace_back(CancelAttempt{_request, active.attempt});
	this->releaseAttempt(active);
	this->finish(_request, this->failureOutcome(active, _reason), _actions);
	this->startQueued(pool, _now, _actions);
}

} // namespace roadferry
