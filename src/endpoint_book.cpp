/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the endpoints' state.

#include "endpoint_book.h"

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr double kSlownessSmoothing = 0.2;
constexpr double kSlowLimit = 4.0;     ///< An endpoint this much slower than predicted is set aside.
constexpr double kRoomyLoad = 0.5;     ///< Below it an endpoint is shared by whoever comes first.
constexpr double kNearLoadGate = 2.0;  ///< Mean loads up to which an endpoint nearby is preferred,
constexpr double kNearIdleLoad = 0.25; ///< whatever the mean is up to this,
constexpr double kNearSlowness = 2.0;  ///< unless it is this much slower than predicted.
constexpr double kOwnSmoothing = 0.5;
constexpr double kOthersSmoothing = 0.3; ///< Keeps nodes from all running to whichever endpoint looked idle.

/// Keeps to the endpoints of a failure domain, as long as one of them is not much busier than the pool.
void keepNear(std::vector<EndpointState*>& _candidates, const std::string& _near, double _meanLoad)
{
	if (_near.empty())
	{
		return;
	}
	std::vector<EndpointState*> near;
	for (EndpointState* candidate : _candidates)
	{
		const bool quiet = candidate->load() <= std::max(kNearIdleLoad, kNearLoadGate * _meanLoad);
		if (candidate->endpoint.failureDomain == _near && quiet && candidate->slowness < kNearSlowness)
		{
			near.push_back(candidate);
		}
	}
	if (!near.empty())
	{
		_candidates = near;
	}
}

} // namespace

double EndpointState::load() const
{
	const auto slots = static_cast<double>(std::max<std::int64_t>(1, this->endpoint.slots));
	return (static_cast<double>(this->own) + this->others) / slots;
}

bool EndpointState::usable(Micros _now) const
{
	if (!this->listed || this->endpoint.leaving || _now < this->asideUntil)
	{
		return false;
	}
	// After a time aside one call at a time goes to it, until one has succeeded.
	return !this->probing || this->own == 0;
}

EndpointBook::EndpointBook(const DispatcherConfig& _config)
	: config(_config), policy(findPlacement(_config.placement)),
	  random(static_cast<std::minstd_rand::result_type>(_config.seed))
{
}

EndpointState* EndpointBook::find(const std::string& _endpoint)
{
	const auto found = this->endpoints.find(_endpoint);
	return found == this->endpoints.end() ? nullptr : found->second.get();
}

void EndpointBook::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	for (auto& entry : this->endpoints)
	{
		entry.second->listed = false;
	}
	for (const Endpoint& listed : _endpoints)
	{
		auto& slot = this->endpoints[listed.id];
		if (slot == nullptr)
		{
			slot = std::make_unique<EndpointState>();
		}
		slot->endpoint = listed;
		slot->listed = true;
		if (listed.leaving)
		{
			this->left.insert(listed.id);
		}
		slot->endpoint.leaving = this->left.count(listed.id) > 0;
	}
	std::erase_if(this->endpoints,
				  [](const auto& _entry) { return !_entry.second->listed && _entry.second->own == 0; });
	this->rebuildPools();
}

void EndpointBook::rebuildPools()
{
	for (auto& pool : this->pools)
	{
		pool.second.members.clear();
	}
	for (auto& entry : this->endpoints)
	{
		this->pools[entry.second->endpoint.pool].members.push_back(entry.second.get());
	}
	for (auto& pool : this->pools)
	{
		std::sort(pool.second.members.begin(), pool.second.members.end(),
				  [](const EndpointState* _left, const EndpointState* _right)
				  { return _left->endpoint.id < _right->endpoint.id; });
	}
}

void EndpointBook::setNodes(std::size_t _nodes)
{
	this->nodes = std::max<std::size_t>(1, _nodes);
}

void EndpointBook::markLeaving(const std::string& _endpoint)
{
	this->left.insert(_endpoint);
	if (EndpointState* found = this->find(_endpoint))
	{
		found->endpoint.leaving = true;
	}
}

void EndpointBook::reportLoad(const std::string& _endpoint, const LoadReport& _report)
{
	EndpointState* found = this->find(_endpoint);
	if (found == nullptr)
	{
		return;
	}
	if (_report.leaving)
	{
		this->markLeaving(_endpoint);
	}
	// The report is old by its lag; comparing it with smoothed own calls keeps a burst of ours from being counted
	// as somebody else's.
	found->ownSmoothed += kOwnSmoothing * (static_cast<double>(found->own) - found->ownSmoothed);
	const auto counted = static_cast<double>(_report.running + _report.queued);
	const double sample = std::max(0.0, counted - found->ownSmoothed);
	found->others += kOthersSmoothing * (sample - found->others);
}

bool EndpointBook::hasRoom(const EndpointState& _endpoint) const
{
	const double load = _endpoint.load();
	if (load < kRoomyLoad)
	{
		return true;
	}
	// Reports are a second old: when an endpoint fills up, each node keeps to its even part of the slots, since all
	// would otherwise take the same free ones.
	const double part = std::ceil(static_cast<double>(_endpoint.endpoint.slots) / static_cast<double>(this->nodes));
	return load < this->config.slotsFactor && static_cast<double>(_endpoint.own) < part;
}

Placement EndpointBook::choose(const std::string& _pool, std::uint64_t _prefix, const std::string& _avoid,
							   const std::string& _near, Micros _now)
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end() || this->policy == nullptr)
	{
		return PlaceNowhere{};
	}
	std::vector<EndpointState*> candidates;
	std::vector<EndpointState*> usable;
	EndpointState* avoided = nullptr;
	double loads = 0;
	for (EndpointState* member : found->second.members)
	{
		if (!member->usable(_now))
		{
			continue;
		}
		usable.push_back(member);
		loads += member->load();
		if (!this->hasRoom(*member))
		{
			continue;
		}
		if (member->endpoint.id == _avoid)
		{
			avoided = member;
			continue;
		}
		candidates.push_back(member);
	}
	if (candidates.empty())
	{
		return avoided == nullptr ? Placement(PlaceNowhere{}) : PlaceReluctantly{avoided};
	}
	const double mean = loads / static_cast<double>(usable.size());
	keepNear(candidates, _near, mean);
	return this->policy->choose(PlacementInput{candidates, usable, _prefix, this->random, found->second.turn, mean});
}

std::string EndpointBook::homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	std::vector<EndpointState*> usable;
	if (found != this->pools.end())
	{
		std::copy_if(found->second.members.begin(), found->second.members.end(), std::back_inserter(usable),
					 [_now](const EndpointState* _member) { return _member->usable(_now); });
	}
	return usable.empty() ? std::string() : prefixHome(usable, _prefix)->endpoint.failureDomain;
}

void EndpointBook::began(EndpointState& _endpoint, double _work, Micros _now)
{
	if (_endpoint.asideUntil > 0 && _now >= _endpoint.asideUntil)
	{
		_endpoint.probing = true;
	}
	_endpoint.own += 1;
	_endpoint.ownWork += _work;
}

void EndpointBook::ended(const std::string& _endpoint, double _work)
{
	if (EndpointState* found = this->find(_endpoint))
	{
		found->own -= 1;
		found->ownWork = found->own == 0 ? 0 : found->ownWork - _work;
	}
}

void EndpointBook::succeeded(const std::string& _endpoint, double _measuredOverPredicted, Micros _now)
{
	EndpointState* found = this->find(_endpoint);
	if (found == nullptr)
	{
		return;
	}
	found->failures = 0;
	if (_now >= found->asideUntil)
	{
		found->probing = false;
		found->asideUntil = 0;
	}
	found->slowness += kSlownessSmoothing * (_measuredOverPredicted - found->slowness);
	if (this->config.setAside && found->slowness > kSlowLimit && this->maySetAside(found->endpoint.pool, _now))
	{
		found->slowness = 1;
		this->setAside(*found, _now);
	}
}

void EndpointBook::failed(const std::string& _endpoint, Micros _now)
{
	EndpointState* found = this->find(_endpoint);
	if (found == nullptr)
	{
		return;
	}
	found->failures += 1;
	const bool enough = found->probing || found->failures >= this->config.setAsideAfter;
	if (this->config.setAside && enough && this->maySetAside(found->endpoint.pool, _now))
	{
		this->setAside(*found, _now);
	}
}

bool EndpointBook::maySetAside(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return false;
	}
	const auto& members = found->second.members;
	const auto aside = std::count_if(members.begin(), members.end(),
									 [_now](const EndpointState* _member) { return _now < _member->asideUntil; });
	return static_cast<double>(aside + 1) <= this->config.setAsideShare * static_cast<double>(members.size());
}

void EndpointBook::setAside(EndpointState& _endpoint, Micros _now)
{
	_endpoint.asideUntil = _now + this->config.setAsideFor;
	_endpoint.probing = false;
}

PoolRoom EndpointBook::room(const std::string& _pool, Micros _now) const
{
	PoolRoom room;
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return room;
	}
	for (const EndpointState* member : found->second.members)
	{
		if (!member->usable(_now))
		{
			continue;
		}
		room.usable += 1;
		room.slots += static_cast<double>(member->endpoint.slots) * this->config.slotsFactor;
		room.used += static_cast<double>(member->own) + member->others;
	}
	return room;
}

bool EndpointBook::anyLive(const std::string& _pool) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return false;
	}
	return std::any_of(found->second.members.begin(), found->second.members.end(),
					   [](const EndpointState* _member) { return _member->listed && !_member->endpoint.leaving; });
}

std::vector<EndpointState> EndpointBook::all() const
{
	std::vector<EndpointState> result;
	result.reserve(this->endpoints.size());
	for (const auto& entry : this->endpoints)
	{
		result.push_back(*entry.second);
	}
	std::sort(result.begin(), result.end(),
			  [](const EndpointState& _left, const EndpointState& _right)
			  { return _left.endpoint.id < _right.endpoint.id; });
	return result;
}

} // namespace roadferry
