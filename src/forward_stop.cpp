/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of ForwardTraffic: what is refused and answered during a planned stop.

#include "clock.h"
#include "forward_active.h"
#include "forward_traffic.h"

#include <utility>

namespace roadferry
{

namespace
{

constexpr unsigned kUnavailable = 503;

} // namespace

void ForwardTraffic::stopAt(Micros _refuseFrom, Micros _end)
{
	this->pool.post(0,
					[this, _refuseFrom, _end]
					{
						this->refuseFrom = _refuseFrom;
						this->stopEndsAt = _end;
					});
}

void ForwardTraffic::refuseUnsent()
{
	this->pool.post(0,
					[this]
					{
						std::vector<ActiveRequestPtr> unsent;
						for (const auto& entry : this->activeRequests)
						{
							if (entry.second->attempts == 0)
							{
								unsent.push_back(entry.second);
							}
						}
						for (const ActiveRequestPtr& active : unsent)
						{
							this->endForStop(active, kShortRetryAfter);
						}
					});
}

/// Answers a request, unless the end of another one has ended it too.
void ForwardTraffic::endForStop(const ActiveRequestPtr& _active, Micros _retryAfter)
{
	if (this->findActive(_active->id) == nullptr)
	{
		return;
	}
	if (std::exchange(_active->submitted, false))
	{
		this->perform(this->dispatcher.cancel(_active->id, monotonicNow()));
	}
	this->giveUp(_active, Reason::Draining, _retryAfter);
}

void ForwardTraffic::endAll()
{
	this->pool.post(0,
					[this]
					{
						const auto remaining = this->activeRequests;
						for (const auto& entry : remaining)
						{
							this->endForStop(entry.second, kShortRetryAfter);
						}
						const auto waiting = std::exchange(this->originLookups, {});
						for (const auto& entry : waiting)
						{
							const ForwardRequest& request = entry.second->request;
							this->refuse(request.id, request.target, entry.second->answer.reply(), kUnavailable,
										 std::string(nameOf(Reason::Draining)), "this node is about to end");
						}
					});
}

/// @param[in] _limit Time that the request may take by its route and its client.
bool ForwardTraffic::mayOutlastStop(const Route& _route, Micros _limit, Micros _now) const
{
	if (this->stopEndsAt == 0)
	{
		return false;
	}
	const bool countsLimit = _now >= this->refuseFrom || !_route.repeatable;
	const Micros longest = this->durations.longest(_route.name, _now).value_or(_limit);
	return _now + (countsLimit ? _limit : std::min(_limit, longest)) > this->stopEndsAt;
}

} // namespace roadferry
