/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Forwarded requests that are not sent to endpoints, because endpoints crashed under their content or under a part of
/// their prompt.

#include "clock.h"
#include "forward_active.h"
#include "logging.h"
#include "request_digest.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr unsigned kFirstErrorStatus = 400;

} // namespace

void ForwardTraffic::receive(const std::string& _from, const PartMessage& _message)
{
	this->pool.post(0,
					[this, _from, _message] { this->perform(this->parts.receive(_from, _message, monotonicNow())); });
}

void ForwardTraffic::perform(const PartActions& _actions)
{
	for (const PartAction& action : _actions)
	{
		std::visit(Overloaded{[&](const SendPartMessage& _send) { this->sendPart(_send.to, _send.message); },
							  [&](const PartBlocked& _verdict)
							  {
								  logEvent("request", "part_blocked",
										   {{"part_key", toText(_verdict.blocked.part)},
											{"crashes", _verdict.blocked.crashes},
											{"source", _verdict.source.empty() ? "this node" : _verdict.source}});
								  this->refuseWaiting(_verdict.blocked.part);
							  },
							  [&](const PartCleared& _cleared)
							  {
								  logEvent("request", "part_cleared",
										   {{"part_key", toText(_cleared.part)},
											{"source", _cleared.source.empty() ? "this node" : _cleared.source}});
							  }},
				   action);
	}
}

void ForwardTraffic::onEndpointCrash(const EndpointCrash& _crash, const std::string& _from)
{
	const Micros now = monotonicNow();
	this->dispatcher.recordCrash(_crash.endpoint, now);
	this->perform(this->parts.recordCrash(_crash, _from, now));
}

/// Records that the endpoint of a successful response crashes under none of the request's parts.
void ForwardTraffic::recordServedParts(ActiveRequest& _active)
{
	const std::optional<ForwardHead>& head = _active.answer.head();
	const bool succeeded = head && head->status < kFirstErrorStatus;
	if (_active.partsServed || _active.parts.empty() || !succeeded)
	{
		return;
	}
	_active.partsServed = true;
	const Micros begunAt = _active.attemptBegunAt > 0 ? _active.attemptBegunAt : _active.attemptStartedAt;
	this->perform(this->parts.recordServed(_active.parts, begunAt, monotonicNow()));
}

/// Ends a request whose content or a part of whose prompt is blocked.
/// @returns Whether that is so.
bool ForwardTraffic::refuseIfBlocked(const ActiveRequestPtr& _active)
{
	if (!this->crashes.mayRun(_active->digest))
	{
		this->refuseContent(_active);
		return true;
	}
	const std::optional<BlockedPart> part = this->parts.findBlocked(_active->parts);
	if (part)
	{
		this->refusePart(_active, *part);
	}
	return part.has_value();
}

/// Ends a request under which endpoints crashed.
void ForwardTraffic::refuseContent(const ActiveRequestPtr& _active)
{
	if (std::exchange(_active->submitted, false))
	{
		this->perform(this->dispatcher.cancel(_active->id, monotonicNow()));
	}
	this->finish(_active, Outcome{Verdict::Unknown, Reason::EndpointsEnded, false, 0, {}});
}

/// Ends a request that has a blocked part. If it was not sent to an endpoint, it has not run.
void ForwardTraffic::refusePart(const ActiveRequestPtr& _active, const BlockedPart& _part)
{
	const auto index = std::find(_active->parts.begin(), _active->parts.end(), _part.part) - _active->parts.begin();
	logEvent("request", "part_refused",
			 {{"request", _active->request.id},
			  {"part_key", toText(_part.part)},
			  {"prompt_part", absl::StrFormat("%x", _active->request.prompt[static_cast<std::size_t>(index)].id)},
			  {"crashes", _part.crashes},
			  {"blocked_ms_ago", (monotonicNow() - _part.since) / kMillisecond}});
	if (std::exchange(_active->submitted, false))
	{
		this->perform(this->dispatcher.cancel(_active->id, monotonicNow()));
	}
	this->giveUp(_active, Reason::PartBlocked, this->parts.blockedUntil(_part) - monotonicNow());
}

/// Ends the requests with a blocked part that are not at an endpoint.
void ForwardTraffic::refuseWaiting(PartKey _part)
{
	std::vector<ActiveRequestPtr> waiting;
	for (const auto& entry : this->activeRequests)
	{
		const std::vector<PartKey>& keys = entry.second->parts;
		const bool hasPart = std::find(keys.begin(), keys.end(), _part) != keys.end();
		if (hasPart && entry.second->currentAttempt == 0)
		{
			waiting.push_back(entry.second);
		}
	}
	for (const ActiveRequestPtr& active : waiting)
	{
		this->refuseIfBlocked(active);
	}
}

} // namespace roadferry
