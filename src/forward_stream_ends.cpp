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

} // namespace

/// @returns Whether the next run of a request is asked for the client's last event again.
bool ForwardTraffic::mustOverlap(const ActiveRequest& _active, Micros _now) const
{
	const bool goesOn = _active.isResumable && _active.answer.lastEventId().has_value();
	const bool hasUnmarkedEnd = _active.answer.agreeingRuns().runs > 0;
	return goesOn && (hasUnmarkedEnd || this->poolStreams.mustOverlap(_active.pool, _now));
}

/// Notes what the response of an attempt shows of its pool's streams.
void ForwardTraffic::notePoolStreams(const ActiveRequest& _active, const CallEnd& _end)
{
	const std::optional<ForwardHead>& head = _active.answer.head();
	const bool isStream = _active.route.streaming && head && head->status < kFirstErrorStatus;
	if (isStream && _end.endsWithConnection)
	{
		this->poolStreams.noteUnmarkedEnd(_active.pool, monotonicNow());
	}
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
