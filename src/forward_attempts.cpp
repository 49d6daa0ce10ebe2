/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Attempts of forwarded requests: the call to an endpoint, its end, and what follows for the request.

#include "clock.h"
#include "forward_active.h"
#include "logging.h"
#include "request_digest.h"

namespace roadferry
{

namespace
{

constexpr Micros kConnectTimeout = 400 * kMillisecond; ///< A connection across failure domains opens in 2 ms.
/// Added to the timeout of a call, which the dispatcher normally cancels first.
constexpr Micros kCallTimeoutSlack = 200 * kMillisecond;
/// Time for an endpoint that starts a request at once to fetch its inputs: 1 ms per 800 kB plus the network delay.
constexpr Micros kInputFetchTime = 150 * kMillisecond;
/// Time for a process to tell who it is. A response without a length waits for it, and is spoilt if it does not come.
constexpr Micros kIdentityTimeout = kSecond;
/// Share of an endpoint's connections that all nodes together may keep idle.
constexpr double kIdleConnectionShare = 0.5;

/// @returns The end of a call whose response may lack its rest, since only the end of the connection completed it.
CallEnd withoutEnd(const CallEnd& _end)
{
	CallEnd cut = _end;
	cut.result = CallResult::Interrupted;
	cut.error = "the endpoint's process may have ended when it closed the connection";
	return cut;
}

} // namespace

std::size_t maxIdleConnections(const PoolSpec* _pool, std::size_t _nodes)
{
	if (_pool == nullptr || _pool->maxConnections <= 0)
	{
		return CallSpec{}.maxIdleConnections;
	}
	const double share =
		kIdleConnectionShare * static_cast<double>(_pool->maxConnections) / static_cast<double>(_nodes);
	return std::min(CallSpec{}.maxIdleConnections, static_cast<std::size_t>(share));
}

void ForwardTraffic::startAttempt(const StartAttempt& _attempt)
{
	const ActiveRequestPtr active = this->findActive(_attempt.request);
	if (this->refuseIfBlocked(active))
	{
		return;
	}
	const Micros now = monotonicNow();
	active->attempts += 1;
	this->attemptCount += 1;
	this->retryCount += active->attempts > 1 ? 1 : 0;
	active->currentAttempt = _attempt.attempt;
	active->attemptStartedAt = now;
	active->attemptBegunAt = 0;
	active->endpoint = _attempt.endpoint;
	active->endpointAddress = _attempt.address;
	active->endpointVersion = _attempt.softwareVersion;
	active->endpointName = this->proofs.sharedNameOf(_attempt.endpoint);
	active->instance = this->proofs.instanceOf(_attempt.endpoint);
	active->attemptHeadAt = 0;
	const bool clientHasEvents =
		active->isResumable && active->request.resumed && !active->request.resumed->lastEventId.empty();
	this->findStreamEnd(*active);
	const bool overlaps = this->mustOverlap(*active, now);
	active->answer.beginAttempt(active->answer.lastEventId() || clientHasEvents, overlaps);
	this->parts.recordSent(active->parts);
	ForwardAttempt attempt{_attempt.endpoint, active->workspace, active->deadline - now, active->graph.results(),
						   overlaps ? active->answer.overlapStart() : active->answer.lastEventId()};
	attempt.beginsAnew = overlaps && !attempt.lastEventId;
	CallSpec spec;
	spec.address = _attempt.address;
	spec.request = this->wire.makeEndpointRequest(active->request, attempt);
	spec.timeout = active->deadline - now + kCallTimeoutSlack;
	spec.connectTimeout = kConnectTimeout;
	spec.forceNewConnection = _attempt.atMostOnce;
	spec.maxResponseBytes = this->maxResponseBytes;
	spec.detectDeadConnection = active->isRepeatable;
	this->chooseConnection(spec, *active);
	spec.maxIdleConnections = maxIdleConnections(active->plan->pool(active->pool), this->liveNodes);
	CallHandlers handlers;
	handlers.onHead = [this, active](unsigned _status, const HttpHeaders& _headers)
	{
		const HeadVerdict verdict = active->answer.receiveHead(_status, _headers);
		if (verdict == HeadVerdict::Accept)
		{
			active->attemptHeadAt = monotonicNow();
			this->noteRejectionLimit(active->pool, active->answer.head()->rejectionLimit);
		}
		return verdict;
	};
	if (active->route.streaming)
	{
		handlers.onData = [this, active, number = _attempt.attempt](const std::string& _bytes)
		{
			const bool isUsable = active->answer.receiveData(_bytes);
			this->noteEndFinding(*active);
			if (active->answer.hasSparseIds())
			{
				this->poolStreams.noteSparseIds(active->pool, monotonicNow());
			}
			if (!isUsable)
			{
				this->cutOffAttempt(active, number);
				return;
			}
			this->noteBuffered(active, active->answer.bufferedBytes());
			if (active->answer.hasStarted())
			{
				this->freeInputs(active);
				this->noteResponseBegun(*active);
			}
			// The endpoint waits for a client that reads slowly; nothing is kept for it beyond the limit of its
			// connection.
			if (active->call != nullptr && active->answer.reply()->isCongested())
			{
				active->call->setReading(false);
			}
		};
	}
	else
	{
		handlers.onBuffered = [this, active](std::size_t _bytes) { this->noteBuffered(active, _bytes); };
	}
	handlers.onEnd = [this, active, number = _attempt.attempt](const CallEnd& _end)
	{ this->attemptEnded(active, number, _end); };
	EndpointCall call{std::move(spec), _attempt.endpoint, active->request.id};
	active->call = this->endpointCalls.call(std::move(call), std::move(handlers));
	active->processProven = this->isProcessProven(*active);
	logEvent("request", "attempt",
			 {{"request", active->request.id},
			  {"attempt", active->attempts},
			  {"endpoint", _attempt.endpoint},
			  {"software", _attempt.softwareVersion},
			  {"after_event", static_cast<std::int64_t>(active->answer.lastEventId().value_or(0))},
			  {"overlaps", overlaps},
			  {"listing", this->listingPosition},
			  this->listingAgeField(now),
			  connectionAgeField(*active, now),
			  {"process_proven", active->processProven},
			  {"waited_ms", (now - active->arrivedAt) / kMillisecond},
			  {"left_ms", (active->deadline - now) / kMillisecond}});
	if (!attempt.inputs.empty())
	{
		this->pool.runAfter(0, kInputFetchTime,
							[this, active, number = _attempt.attempt]
							{
								if (active->currentAttempt == number)
								{
									this->freeInputs(active);
								}
							});
	}
}

/// Records the rejection limit that an endpoint names, and tells it to the other nodes if it is new.
void ForwardTraffic::noteRejectionLimit(const std::string& _pool, std::int64_t _perSecond)
{
	if (!this->dispatcher.recordRejectionLimit(_pool, _perSecond, monotonicNow()))
	{
		return;
	}
	logEvent("endpoint", "rejection_limit", {{"pool", _pool}, {"per_second", _perSecond}, {"from", ""}});
	for (const BroadcastStep& step : planBroadcast(this->peers))
	{
		this->sendRejectionLimit(step.to, RejectionLimitNotice{_pool, _perSecond, step.forwardTo});
	}
}

/// @returns Whether the endpoint ran on after it had begun its response to the attempt in progress.
bool ForwardTraffic::hasRunOn(const ActiveRequest& _active, Micros _now)
{
	return _active.attemptBegunAt > 0 && _now - _active.attemptBegunAt >= kServedTime;
}

/// Called when a part of a stream has arrived.
void ForwardTraffic::noteResponseBegun(ActiveRequest& _active)
{
	const Micros now = monotonicNow();
	if (_active.attemptBegunAt == 0)
	{
		_active.attemptBegunAt = now;
	}
	if (hasRunOn(_active, now))
	{
		this->recordServedParts(_active);
	}
}

/// Records how much of a response is kept. The longest one is cut off if all of them take too much memory.
void ForwardTraffic::noteBuffered(const ActiveRequestPtr& _active, std::size_t _bytes)
{
	const std::optional<std::uint64_t> longest = this->responseBudget.set(_active->id, _bytes);
	const ActiveRequestPtr cut = longest ? this->findActive(*longest) : nullptr;
	if (cut != nullptr)
	{
		this->cutOffAttempt(cut, cut->currentAttempt);
	}
}

/// Ends an attempt whose response does not end or is too long.
void ForwardTraffic::cutOffAttempt(const ActiveRequestPtr& _active, std::uint64_t _attempt)
{
	if (_active->call == nullptr || _active->currentAttempt != _attempt)
	{
		return; // Its client has left meanwhile.
	}
	_active->call->cancel();
	CallEnd end;
	end.result = CallResult::Interrupted;
	end.error = "response is longer than the limit, or lacks events";
	this->attemptEnded(_active, _attempt, end);
}

void ForwardTraffic::attemptEnded(const ActiveRequestPtr& _active, std::uint64_t _attempt, const CallEnd& _end)
{
	const std::optional<ForwardHead>& head = _active->answer.head();
	if (head && head->load)
	{
		this->dispatcher.reportLoad(_active->endpoint, *head->load);
	}
	_active->call.reset();
	this->responseBudget.release(_active->id);
	if (!_end.connectionLost && !_end.endsWithConnection)
	{
		this->endAttempt(_active, _attempt, _end);
		return;
	}
	BrokenCall broken{_active->endpoint, _active->endpointAddress, _active->pool, {_active->digest}};
	broken.madeBy = _end.madeBy;
	if (!hasRunOn(*_active, monotonicNow()))
	{
		broken.parts.insert(_active->parts.begin(), _active->parts.end());
	}
	const auto endIfCurrent = [this, _active, _attempt](const CallEnd& _known)
	{
		const bool isCurrent = this->findActive(_active->id) != nullptr && _active->currentAttempt == _attempt;
		if (isCurrent)
		{
			this->endAttempt(_active, _attempt, _known);
		}
	};
	if (_end.connectionLost)
	{
		this->crashes.onCallBroken(broken, monotonicNow(), [endIfCurrent, _end] { endIfCurrent(_end); });
		return;
	}
	this->crashes.onConnectionEnded(broken, [endIfCurrent, _end](bool _runs)
									{ endIfCurrent(_runs ? _end : withoutEnd(_end)); });
}

/// Asks the process at an endpoint's address who it is, for a response that waits. The node asks that made the call.
void ForwardTraffic::identifyAtEnd(const BrokenCall& _ended, IdentityHandler _done)
{
	const auto done =
		[this, endpoint = _ended.endpoint, handler = std::move(_done)](ProcessIdentity _identity, Micros _openedAt)
	{
		this->addIdentity(endpoint, _identity, _openedAt);
		handler(_identity, _openedAt);
	};
	IdentityCall call = makeIdentityCall(this->wire, _ended.endpoint, _ended.address, kIdentityTimeout, done);
	this->endpointCalls.call(EndpointCall{std::move(call.spec), _ended.endpoint, "identity", _ended.madeBy},
							 std::move(call.handlers));
}

/// Ends an attempt.
void ForwardTraffic::endAttempt(const ActiveRequestPtr& _active, std::uint64_t _attempt, const CallEnd& _end)
{
	if (_end.lacksIdleConnection)
	{
		_active->attempts -= 1;
		_active->currentAttempt = 0;
		this->perform(this->dispatcher.attemptEnded(_attempt, AttemptNoConnection{}, monotonicNow()));
		return;
	}
	_active->answer.requireAgreeingRuns(this->poolStreams.agreeingRuns(_active->pool, monotonicNow()));
	AttemptEnd end = _active->answer.endAttempt(_end);
	this->notePoolStreams(*_active, _end, end);
	if (auto* unproven = std::get_if<AttemptEndUnproven>(&end))
	{
		unproven->isTrusted = this->mayEndUnproven(*_active);
	}
	logAttemptEnd(*_active, _end, end);
	this->concludeAttempt(_active, _attempt, end);
}

/// Logs an attempt that was not answered, or whose response ended with its connection.
void ForwardTraffic::logAttemptEnd(const ActiveRequest& _active, const CallEnd& _end, const AttemptEnd& _result)
{
	const std::optional<ForwardHead>& head = _active.answer.head();
	if (!std::holds_alternative<AttemptAnswered>(_result))
	{
		logEvent("request", "attempt_failed",
				 {{"request", _active.request.id},
				  {"endpoint", _active.endpoint},
				  {"status", head ? head->status : 0},
				  {"not_run", head && head->notRun},
				  {"events", _active.answer.times().events},
				  {"ends_with_connection", _end.endsWithConnection},
				  {"call_made_by", _end.madeBy},
				  {"unproven", std::holds_alternative<AttemptEndUnproven>(_result)},
				  {"agreeing_runs", _active.answer.agreeingRuns().runs},
				  {"error", _end.error}});
	}
	else if (_end.endsWithConnection)
	{
		logEvent("request", "answer_ended_with_connection",
				 {{"request", _active.request.id},
				  {"endpoint", _active.endpoint},
				  {"status", head->status},
				  {"events", _active.answer.times().events},
				  {"call_made_by", _end.madeBy},
				  {"bytes", _end.body.size()}});
	}
}

/// Decides how the request continues after an attempt. If the endpoint broke the call, it is known here whether the
/// endpoint crashed.
void ForwardTraffic::concludeAttempt(const ActiveRequestPtr& _active, std::uint64_t _attempt, const AttemptEnd& _end)
{
	const std::optional<ForwardHead>& head = _active->answer.head();
	const bool answered = std::holds_alternative<AttemptAnswered>(_end);
	_active->currentAttempt = 0;
	if (!answered && (this->refuseIfBlocked(_active) || this->endIfVersionUnknown(_active)))
	{
		return;
	}
	if (!answered && !_active->answer.canContinue())
	{
		_active->submitted = false;
		this->perform(this->dispatcher.cancel(_active->id, monotonicNow()));
		this->giveUp(_active, Reason::CutWhileRunning, 0);
		return;
	}
	if (!answered && _active->streamVersion)
	{
		this->refreshProven(_active->pool, monotonicNow());
	}
	const bool inputsNeeded = !_active->route.stages.empty() && !_active->graph.results().empty();
	const bool needsRerun = !answered && inputsNeeded && ((head && head->inputGone) || _active->inputsFreed);
	const Micros now = monotonicNow();
	this->awaitEndAnswer(_active, now);
	if (!needsRerun)
	{
		this->perform(this->dispatcher.attemptEnded(_attempt, _end, monotonicNow()));
		return;
	}
	const bool mayRepeat = _active->isRepeatable || (head && head->notRun);
	const bool canRerun =
		mayRepeat && _active->attempts < _active->route.maxAttempts && _active->stageReruns < kMaxStageReruns;
	if (std::holds_alternative<AttemptEndUnproven>(_end))
	{
		const bool mayAsk =
			canRerun && this->dispatcher.mayAskOfEnd(_active->pool, this->mayEndUnproven(*_active), now);
		if (!mayAsk)
		{
			// Its stages' results are gone, so that nobody can be asked about its end.
			_active->submitted = false;
			this->perform(this->dispatcher.cancel(_active->id, now));
			this->giveUp(_active, Reason::AttemptsExhausted, 0);
			return;
		}
	}
	_active->submitted = !canRerun;
	this->perform(canRerun ? this->dispatcher.cancel(_active->id, monotonicNow())
						   : this->dispatcher.attemptEnded(_attempt, _end, monotonicNow()));
	if (canRerun)
	{
		this->rerunStages(_active);
	}
}

void ForwardTraffic::cancelAttempt(const CancelAttempt& _cancel)
{
	const ActiveRequestPtr active = this->findActive(_cancel.request);
	if (active != nullptr && active->call != nullptr && active->currentAttempt == _cancel.attempt)
	{
		active->call->cancel();
		active->call.reset();
		this->responseBudget.release(active->id);
		active->currentAttempt = 0;
	}
}

} // namespace roadferry
