/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Ends of streams that only the end of a connection tells: where a run that goes on begins, and what other nodes know.

#include "clock.h"
#include "forward_active.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr unsigned kFirstErrorStatus = 400;
/// Other nodes that are told of a stream that was broken off, and asked. A node that tells is not among them, nor is
/// one that asks, so that two of them have at least one in common.
constexpr std::size_t kEndHolders = 2;
/// Time for other runs to tell whether a stream has ended. Clients give a stream up after a gap of two seconds.
constexpr Micros kMaxEndQuestion = kSecond;

} // namespace

/// @returns Whether the next run of a request is asked for the client's last event again.
bool ForwardTraffic::mustOverlap(const ActiveRequest& _active, Micros _now) const
{
	const bool goesOn = _active.isResumable && _active.answer.lastEventId().has_value();
	const bool hasUnmarkedEnd = _active.answer.agreeingRuns().runs > 0;
	return goesOn && (hasUnmarkedEnd || this->poolStreams.mustOverlap(_active.pool, _now));
}

/// Notes what the response of an attempt shows of its pool's streams.
void ForwardTraffic::notePoolStreams(ActiveRequest& _active, const CallEnd& _end, const AttemptEnd& _result)
{
	this->noteEndFinding(_active);
	const std::optional<ForwardHead>& head = _active.answer.head();
	const bool isStream = _active.route.streaming && head && head->status < kFirstErrorStatus;
	if (!isStream)
	{
		return;
	}
	const Micros now = monotonicNow();
	const std::optional<std::uint64_t> lastEvent = _active.answer.lastEventId();
	if (_end.endsWithConnection)
	{
		this->poolStreams.noteUnmarkedEnd(_active.pool, now);
	}
	else if (lastEvent && std::holds_alternative<AttemptAnswered>(_result))
	{
		this->poolStreams.noteEnd(_active.pool, *lastEvent, now);
	}
}

/// Notes what an attempt shows of an end.
void ForwardTraffic::noteEndFinding(ActiveRequest& _active)
{
	const Micros now = monotonicNow();
	std::visit(Overloaded{[](const std::monostate&) {},
						  [&](const PlausibleEnd& _end)
						  { this->poolStreams.noteEnd(_active.pool, _end.lastEvent, now); },
						  [&](const ConfirmedEnd&) { this->poolStreams.noteConfirmedEnd(_active.pool, now); },
						  [&](const EarlyEnd& _end) { this->noteEarlyEnd(_active, _end.lastEvent, now); }},
			   _active.answer.takeEndFinding());
}

/// Notes an early end, and tells the other nodes if that puts the ends of its pool in doubt.
void ForwardTraffic::noteEarlyEnd(const ActiveRequest& _active, std::uint64_t _lastEvent, Micros _now)
{
	const bool isNew = this->poolStreams.noteEarlyEnd(_active.pool, _lastEvent, _now);
	logEvent("request", "stream_ended_early",
			 {{"request", _active.request.id},
			  {"pool", _active.pool},
			  {"endpoint", _active.endpoint},
			  {"last_event", static_cast<std::int64_t>(_lastEvent)}});
	if (!isNew)
	{
		return;
	}
	logEvent("endpoint", "ends_doubted", {{"pool", _active.pool}, {"from", ""}});
	PoolEndsNotice notice = this->poolStreams.tell(_active.pool, _now);
	for (const BroadcastStep& step : planBroadcast(this->peers))
	{
		notice.forwardTo = step.forwardTo;
		this->sendPoolEnds(step.to, notice);
	}
}

/// Tells a node that has just started.
void ForwardTraffic::sendAllPoolEnds(const std::string& _to, Micros _now)
{
	for (const PoolEndsNotice& notice : this->poolStreams.tellAll(_now))
	{
		this->sendPoolEnds(_to, notice);
	}
}

void ForwardTraffic::receive(const std::string& _from, const PoolEndsNotice& _notice)
{
	this->pool.post(0,
					[this, _from, _notice]
					{
						PoolEndsNotice copy = _notice;
						copy.forwardTo.clear();
						for (const std::string& next : _notice.forwardTo)
						{
							this->sendPoolEnds(next, copy);
						}
						const Micros now = monotonicNow();
						if (this->poolStreams.learn(_notice, now))
						{
							logEvent("endpoint", "ends_doubted", {{"pool", _notice.pool}, {"from", _from}});
						}
					});
}

/// Limits the time for which the end of a stream is asked about.
void ForwardTraffic::awaitEndAnswer(const ActiveRequestPtr& _active, Micros _now)
{
	if (!_active->answer.hasPlausibleEnd())
	{
		_active->endAskedAt = 0;
		return;
	}
	_active->endAskedAt = _active->endAskedAt == 0 ? _now : _active->endAskedAt;
	this->askedEnds.emplace(_active->endAskedAt + kMaxEndQuestion, _active->id);
}

/// Ends the streams whose end was asked about for long enough.
void ForwardTraffic::endUnanswered(Micros _now)
{
	while (!this->askedEnds.empty() && this->askedEnds.begin()->first <= _now)
	{
		const ActiveRequestPtr active = this->findActive(this->askedEnds.begin()->second);
		this->askedEnds.erase(this->askedEnds.begin());
		const bool isDue = active != nullptr && active->endAskedAt > 0 && _now - active->endAskedAt >= kMaxEndQuestion;
		if (isDue && this->mayEndUnproven(*active))
		{
			active->submitted = false;
			this->perform(this->dispatcher.cancel(active->id, _now));
			this->giveUp(active, Reason::DeadlinePassed, 0);
		}
	}
}

/// Whether a stream counts as whole that has an end which nothing speaks against: its process ran on, no other run
/// brought more, and hardly any stream of its pool was found to end early.
bool ForwardTraffic::mayEndUnproven(const ActiveRequest& _active) const
{
	const AgreeingRuns end = _active.answer.agreeingRuns();
	return _active.answer.hasPlausibleEnd() &&
		   this->poolStreams.isEndTrusted(_active.pool, end.lastEvent, monotonicNow());
}

/// Lets a stream wait a little that ends where it is not known yet whether others of its pool do. The client has all
/// events that arrived.
/// @returns Whether it waits.
bool ForwardTraffic::holdEnd(const ActiveRequestPtr& _active, Reason _reason)
{
	const bool isLast = _reason == Reason::DeadlinePassed || _reason == Reason::Draining;
	const std::uint64_t lastEvent = _active->answer.agreeingRuns().lastEvent;
	const Micros now = monotonicNow();
	_active->endAskedAt = _active->endAskedAt == 0 ? now : _active->endAskedAt;
	const Micros until = std::min(_active->endAskedAt + kMaxEndQuestion, _active->deadline);
	const bool mayWait = !isLast && until > now && _active->answer.hasPlausibleEnd();
	if (!mayWait || !this->poolStreams.isUnclear(_active->pool, lastEvent, now))
	{
		return false;
	}
	_active->submitted = false;
	this->heldEnds.emplace(_active->id, HeldEnd{until, _reason});
	return true;
}

/// Ends the streams that have waited, as soon as it is known whether others end there.
void ForwardTraffic::endHeld(Micros _now)
{
	const std::map<std::uint64_t, HeldEnd> held = this->heldEnds;
	for (const auto& [id, end] : held)
	{
		const ActiveRequestPtr active = this->findActive(id);
		const bool waits = active != nullptr && _now < end.until && active->answer.hasPlausibleEnd() &&
						   this->poolStreams.isUnclear(active->pool, active->answer.agreeingRuns().lastEvent, _now);
		if (waits)
		{
			continue;
		}
		this->heldEnds.erase(id);
		if (active != nullptr)
		{
			this->giveUp(active, end.reason, 0);
		}
	}
}

/// Ends a stream whose end cannot be asked about any further.
/// @param[in] _reason Why it cannot.
void ForwardTraffic::endUnproven(const ActiveRequestPtr& _active, Reason _reason)
{
	this->unprovenEndCount += 1;
	logEvent("request", "end_taken_as_whole",
			 {{"request", _active->request.id},
			  {"pool", _active->pool},
			  {"reason", std::string(nameOf(_reason))},
			  {"agreeing_runs", _active->answer.agreeingRuns().runs}});
	this->recordFirstEventTime(*_active);
	this->crashes.onAnswered(_active->digest);
	_active->answer.deliverUnproven();
	this->endRequest(_active, Outcome{Verdict::Answered, Reason::None, false, 0, {}}, "answered");
}

/// Takes what is known of the end of a stream that a client takes up, and asks others. Their answers come long before
/// its run can end.
void ForwardTraffic::findStreamEnd(ActiveRequest& _active)
{
	const bool isTakenUp = _active.isResumable && _active.request.resumed && _active.answer.lastEventId();
	if (!isTakenUp || _active.attempts > 1)
	{
		return;
	}
	if (const std::optional<AgreeingRuns> known = this->streamEnds.find(_active.streamId, monotonicNow()))
	{
		_active.answer.addKnownEnd(*known);
	}
	for (const std::string& holder : rendezvousNodes(_active.streamId, this->peers, kEndHolders))
	{
		this->sendStreamEndQuery(holder, StreamEndQuery{_active.streamId});
	}
}

/// Keeps, here and at others, how far the runs of a stream agree that ends before its end is proven.
void ForwardTraffic::keepStreamEnd(const ActiveRequest& _active)
{
	const AgreeingRuns end = _active.answer.agreeingRuns();
	if (!_active.isResumable || end.runs == 0)
	{
		return;
	}
	const Micros now = monotonicNow();
	const Micros clientTime = _active.request.clientTimeout.value_or(0);
	const Micros expiresAt = _active.arrivedAt + std::max(clientTime, _active.route.timeLimit);
	const StreamEndNotice notice{_active.streamId, end, expiresAt - now};
	this->streamEnds.add(notice, now);
	for (const std::string& holder : rendezvousNodes(_active.streamId, this->peers, kEndHolders))
	{
		this->sendStreamEnd(holder, notice);
	}
}

void ForwardTraffic::receive(const std::string& _from, const StreamEndQuery& _query)
{
	this->pool.post(0,
					[this, _from, _query]
					{
						if (const auto known = this->streamEnds.answer(_query, monotonicNow()))
						{
							this->sendStreamEnd(_from, *known);
						}
					});
}

void ForwardTraffic::receive(const std::string& /*_from*/, const StreamEndNotice& _notice)
{
	this->pool.post(0,
					[this, _notice]
					{
						this->streamEnds.add(_notice, monotonicNow());
						for (const auto& entry : this->activeRequests)
						{
							const bool takesUp = entry.second->request.resumed && entry.second->isResumable;
							if (takesUp && entry.second->streamId == _notice.stream)
							{
								entry.second->answer.addKnownEnd(_notice.end);
								this->poolStreams.noteUnmarkedEnd(entry.second->pool, monotonicNow());
							}
						}
					});
}

} // namespace roadferry
