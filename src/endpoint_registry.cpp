/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the endpoint registry.

#include "endpoint_registry.h"

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr double kSlownessSmoothing = 0.2;
constexpr double kEjectionSlowness = 4.0; ///< Slowness above which an endpoint is ejected.
constexpr double kUncontendedLoad = 0.5;  ///< Load below which the slots are not divided among the nodes.
constexpr double kPreferredDomainMaxLoadRatio =
	2.0;                                          ///< Maximum load in the preferred domain, as a multiple of the mean.
constexpr double kPreferredDomainIdleLoad = 0.25; ///< Load that is acceptable there whatever the mean load is.
constexpr double kPreferredDomainMaxSlowness = 2.0; ///< Slowness from which an endpoint is not preferred.
constexpr double kOwnSmoothing = 0.5;
constexpr Micros kRejectionLimitMemory = 10 * kSecond; ///< How long a rejection limit holds after it was last seen.
constexpr Micros kMaxRejectionPause = 4 * kSecond;

constexpr double kOthersSmoothing = 0.3; ///< Keeps the nodes from all choosing the same idle endpoint at once.

/// @returns Whether an endpoint is not much busier than its pool.
bool isLightlyLoaded(const EndpointState& _endpoint, double _meanLoad)
{
	return _endpoint.load() <= std::max(kPreferredDomainIdleLoad, kPreferredDomainMaxLoadRatio * _meanLoad);
}

/// Restricts the candidates to a failure domain if it has any that are neither slow nor much busier than the pool.
void preferDomain(std::vector<EndpointState*>& _candidates, const std::string& _domain, double _meanLoad)
{
	if (_domain.empty())
	{
		return;
	}
	std::vector<EndpointState*> preferred;
	for (EndpointState* candidate : _candidates)
	{
		if (candidate->endpoint.failureDomain == _domain && isLightlyLoaded(*candidate, _meanLoad) &&
			candidate->slowness < kPreferredDomainMaxSlowness)
		{
			preferred.push_back(candidate);
		}
	}
	if (!preferred.empty())
	{
		_candidates = preferred;
	}
}

bool hasVersion(const EndpointState& _endpoint, const std::optional<std::string>& _version)
{
	return !_version || _endpoint.endpoint.softwareVersion == *_version;
}

/// @returns Whether the process of an endpoint may have another version than its entry tells.
bool isUnproven(const EndpointState& _endpoint, const EndpointQuery& _query)
{
	return _query.proven != nullptr && _query.proven->ids.count(_endpoint.endpoint.id) == 0;
}

/// Removes the endpoints of unproven processes if there are others. For a request that needs no version, these must not
/// be much busier than the pool.
void preferProven(std::vector<EndpointState*>& _candidates, const EndpointQuery& _query, double _meanLoad)
{
	if (_query.proven == nullptr)
	{
		return; // No process of the pool needs a proof.
	}
	std::vector<EndpointState*> proven;
	std::copy_if(_candidates.begin(), _candidates.end(), std::back_inserter(proven),
				 [&](const EndpointState* _candidate)
				 {
					 return !isUnproven(*_candidate, _query) &&
							(_query.version.has_value() || isLightlyLoaded(*_candidate, _meanLoad));
				 });
	if (!proven.empty())
	{
		_candidates = proven;
	}
}

} // namespace

double EndpointState::load() const
{
	const auto slots = static_cast<double>(std::max<std::int64_t>(1, this->endpoint.slots));
	return (static_cast<double>(this->ownInFlight) + this->othersInFlight) / slots;
}

bool EndpointState::isUsable(Micros _now) const
{
	if (!this->listed || this->endpoint.leaving || _now < this->ejectedUntil)
	{
		return false;
	}
	// After an ejection, an endpoint gets one call at a time until one succeeds.
	return !this->probing || this->ownInFlight == 0;
}

EndpointRegistry::EndpointRegistry(const DispatcherConfig& _config)
	: config(_config), policy(findPlacement(_config.placement)),
	  random(static_cast<std::minstd_rand::result_type>(_config.seed))
{
}

EndpointState* EndpointRegistry::find(const std::string& _endpoint)
{
	const auto found = this->endpoints.find(_endpoint);
	return found == this->endpoints.end() ? nullptr : found->second.get();
}

void EndpointRegistry::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	for (auto& entry : this->endpoints)
	{
		entry.second->listed = false;
	}
	for (const Endpoint& listed : _endpoints)
	{
		auto& state = this->endpoints[listed.id];
		if (state == nullptr)
		{
			state = std::make_unique<EndpointState>();
		}
		state->endpoint = listed;
		state->listed = true;
		if (listed.leaving)
		{
			this->leavingIds.insert(listed.id);
		}
		state->endpoint.leaving = this->leavingIds.count(listed.id) > 0;
	}
	std::erase_if(this->endpoints,
				  [](const auto& _entry) { return !_entry.second->listed && _entry.second->ownInFlight == 0; });
	this->rebuildPools();
}

void EndpointRegistry::rebuildPools()
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
		if (pool.second.rejectionLimit > 0)
		{
			this->divideSlots(pool.second);
		}
	}
}

void EndpointRegistry::setNodeCount(std::size_t _nodes)
{
	this->nodeCount = std::max<std::size_t>(1, _nodes);
}

void EndpointRegistry::markLeaving(const std::string& _endpoint)
{
	this->leavingIds.insert(_endpoint);
	if (EndpointState* found = this->find(_endpoint))
	{
		found->endpoint.leaving = true;
	}
}

void EndpointRegistry::reportLoad(const std::string& _endpoint, const LoadReport& _report)
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
	// The report lags behind. Subtracting the smoothed number of own calls avoids that a burst of calls from this node
	// is attributed to other nodes.
	found->smoothedOwnInFlight +=
		kOwnSmoothing * (static_cast<double>(found->ownInFlight) - found->smoothedOwnInFlight);
	const auto counted = static_cast<double>(_report.running + _report.queued);
	const double sample = std::max(0.0, counted - found->smoothedOwnInFlight);
	found->othersInFlight += kOthersSmoothing * (sample - found->othersInFlight);
}

void EndpointRegistry::setNodes(const std::string& _self, const std::vector<std::string>& _nodes)
{
	this->setNodeCount(_nodes.size());
	this->self = _self;
	this->nodes = _nodes;
	std::sort(this->nodes.begin(), this->nodes.end());
	for (auto& pool : this->pools)
	{
		if (pool.second.rejectionLimit > 0)
		{
			this->divideSlots(pool.second);
		}
	}
}

bool EndpointRegistry::recordRejectionLimit(const std::string& _pool, std::int64_t _perSecond, Micros _now)
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return false;
	}
	Pool& pool = found->second;
	const bool isNew = _now >= pool.rejectionLimitUntil;
	if (_perSecond == 0)
	{
		// Answers that were begun before the limit do not end it.
		const bool isOver = !isNew && _now - (pool.rejectionLimitUntil - kRejectionLimitMemory) >= kSecond;
		pool.rejectionLimitUntil = isOver ? 0 : pool.rejectionLimitUntil;
		pool.rejectionLimit = isOver ? 0 : pool.rejectionLimit;
		return false;
	}
	pool.rejectionLimit = _perSecond;
	pool.rejectionLimitUntil = _now + kRejectionLimitMemory;
	if (isNew)
	{
		this->divideSlots(pool);
	}
	return isNew;
}

std::size_t EndpointRegistry::limitedPools(Micros _now) const
{
	return static_cast<std::size_t>(std::count_if(this->pools.begin(), this->pools.end(),
												  [_now](const auto& _entry)
												  { return _now < _entry.second.rejectionLimitUntil; }));
}

/// Computes this node's part of an endpoint's slots. Each node gets the whole part of an even share, and the slots that
/// are left go to one node each, by rendezvous hashing; so the parts of all nodes add up to the slots.
std::int64_t EndpointRegistry::quotaOf(const Endpoint& _endpoint) const
{
	const auto count = static_cast<std::int64_t>(this->nodeCount);
	const std::int64_t even = _endpoint.slots / count;
	const auto left = static_cast<std::size_t>(_endpoint.slots % count);
	const std::vector<std::string> lucky = rendezvousNodes(_endpoint.id, this->nodes, left);
	return even + std::count(lucky.begin(), lucky.end(), this->self);
}

void EndpointRegistry::divideSlots(Pool& _pool)
{
	std::int64_t total = 0;
	for (EndpointState* member : _pool.members)
	{
		member->quota = this->quotaOf(member->endpoint);
		member->quotaIsShared = false;
		total += member->quota;
	}
	if (total > 0 || _pool.members.empty())
	{
		return;
	}
	// There are more nodes than slots. This node calls one endpoint, so rarely that it survives if it rejects the calls
	// of all such nodes.
	const auto own = std::lower_bound(this->nodes.begin(), this->nodes.end(), this->self) - this->nodes.begin();
	EndpointState* shared = _pool.members[static_cast<std::size_t>(own) % _pool.members.size()];
	shared->quota = 1;
	shared->quotaIsShared = true;
}

void EndpointRegistry::recordRejection(const std::string& _endpoint, Micros _now)
{
	EndpointState* found = this->find(_endpoint);
	if (found == nullptr)
	{
		return;
	}
	const Pool& pool = this->pools.at(found->endpoint.pool);
	if (_now >= pool.rejectionLimitUntil)
	{
		return;
	}
	// All nodes together may cause half of the rejections that it survives.
	const auto limit = std::max<std::int64_t>(1, pool.rejectionLimit);
	const Micros pause = 2 * kSecond * static_cast<Micros>(this->nodeCount) / limit;
	found->noCallsUntil = std::max(found->noCallsUntil, _now + std::clamp(pause, kSecond, kMaxRejectionPause));
}

bool EndpointRegistry::hasFreeSlot(const Pool& _pool, const EndpointState& _endpoint, Micros _now) const
{
	if (_now < _pool.rejectionLimitUntil)
	{
		return _now >= _endpoint.noCallsUntil && _endpoint.ownInFlight < _endpoint.quota;
	}
	const double load = _endpoint.load();
	if (load < kUncontendedLoad)
	{
		return true;
	}
	// Load reports are up to a second old. On a busy endpoint, each node keeps to its even share of the slots, since
	// all nodes would otherwise take the same free slots.
	const double nodeSlots =
		std::ceil(static_cast<double>(_endpoint.endpoint.slots) / static_cast<double>(this->nodeCount));
	return load < this->config.slotsFactor && static_cast<double>(_endpoint.ownInFlight) < nodeSlots;
}

Placement EndpointRegistry::choose(const EndpointQuery& _query, Micros _now)
{
	const auto found = this->pools.find(_query.pool);
	if (found == this->pools.end() || this->policy == nullptr)
	{
		return PlaceNone{};
	}
	std::vector<EndpointState*> candidates;
	std::vector<EndpointState*> usable;
	EndpointState* avoided = nullptr;
	bool mayBeProven = false; // An endpoint that is not avoided may be proven soon.
	const bool needsProof = _query.version && _query.proven != nullptr && _query.proven->isRequired;
	double totalLoad = 0;
	for (EndpointState* member : found->second.members)
	{
		if (!member->isUsable(_now) || !hasVersion(*member, _query.version))
		{
			continue;
		}
		usable.push_back(member);
		totalLoad += member->load();
		const bool isChoice = _query.only == nullptr || _query.only->count(member->endpoint.id) > 0;
		if (!isChoice || !this->hasFreeSlot(found->second, *member, _now))
		{
			continue;
		}
		const bool isAvoided = _query.avoid.count(member->endpoint.id) > 0;
		if (needsProof && isUnproven(*member, _query))
		{
			mayBeProven = mayBeProven || !isAvoided;
			continue;
		}
		if (isAvoided)
		{
			avoided = member;
			continue;
		}
		candidates.push_back(member);
	}
	if (candidates.empty())
	{
		const bool waits = avoided == nullptr || mayBeProven;
		return waits ? Placement(PlaceNone{}) : PlaceFallback{avoided};
	}
	const double meanLoad = totalLoad / static_cast<double>(usable.size());
	preferProven(candidates, _query, meanLoad);
	preferDomain(candidates, _query.domain, meanLoad);
	return this->policy->choose(
		PlacementInput{candidates, usable, _query.prefix, this->random, found->second.roundRobinCounter, meanLoad});
}

std::string EndpointRegistry::homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	std::vector<EndpointState*> usable;
	if (found != this->pools.end())
	{
		std::copy_if(found->second.members.begin(), found->second.members.end(), std::back_inserter(usable),
					 [_now](const EndpointState* _member) { return _member->isUsable(_now); });
	}
	return usable.empty() ? std::string() : prefixHome(usable, _prefix)->endpoint.failureDomain;
}

void EndpointRegistry::recordCallStart(EndpointState& _endpoint, double _workUs, Micros _now)
{
	if (_endpoint.ejectedUntil > 0 && _now >= _endpoint.ejectedUntil)
	{
		_endpoint.probing = true;
	}
	_endpoint.ownInFlight += 1;
	if (_endpoint.quotaIsShared)
	{
		const Pool& pool = this->pools.at(_endpoint.endpoint.pool);
		const auto callers = static_cast<Micros>(this->nodeCount / pool.members.size() + 1);
		_endpoint.noCallsUntil = _now + kSecond * callers / std::max<std::int64_t>(1, pool.rejectionLimit);
	}
	_endpoint.ownWorkUs += _workUs;
}

void EndpointRegistry::recordCallEnd(const std::string& _endpoint, double _workUs)
{
	if (EndpointState* found = this->find(_endpoint))
	{
		found->ownInFlight -= 1;
		found->ownWorkUs = found->ownInFlight == 0 ? 0 : found->ownWorkUs - _workUs;
	}
}

void EndpointRegistry::recordSuccess(const std::string& _endpoint, double _measuredOverPredicted, Micros _now)
{
	EndpointState* found = this->find(_endpoint);
	if (found == nullptr)
	{
		return;
	}
	found->consecutiveFailures = 0;
	// An answer after a report that the endpoint has ended shows that the report is false.
	if (_now >= found->ejectedUntil || found->reportedEnded)
	{
		found->probing = false;
		found->ejectedUntil = 0;
		found->reportedEnded = false;
	}
	found->slowness += kSlownessSmoothing * (_measuredOverPredicted - found->slowness);
	if (this->config.ejectOutliers && found->slowness > kEjectionSlowness && this->mayEject(found->endpoint.pool, _now))
	{
		found->slowness = 1;
		this->eject(*found, _now);
	}
}

void EndpointRegistry::recordCrash(const std::string& _endpoint, Micros _now)
{
	EndpointState* found = this->find(_endpoint);
	if (found != nullptr)
	{
		this->eject(*found, _now);
		found->reportedEnded = true;
	}
}

void EndpointRegistry::recordFailure(const std::string& _endpoint, Micros _now)
{
	EndpointState* found = this->find(_endpoint);
	if (found == nullptr)
	{
		return;
	}
	found->consecutiveFailures += 1;
	const bool shouldEject = found->probing || found->consecutiveFailures >= this->config.ejectAfterFailures;
	if (this->config.ejectOutliers && shouldEject && this->mayEject(found->endpoint.pool, _now))
	{
		this->eject(*found, _now);
	}
}

bool EndpointRegistry::mayEject(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return false;
	}
	const auto& members = found->second.members;
	const auto ejected = std::count_if(members.begin(), members.end(),
									   [_now](const EndpointState* _member) { return _now < _member->ejectedUntil; });
	return static_cast<double>(ejected + 1) <= this->config.maxEjectedShare * static_cast<double>(members.size());
}

void EndpointRegistry::eject(EndpointState& _endpoint, Micros _now)
{
	_endpoint.ejectedUntil = _now + this->config.ejectionDuration;
	_endpoint.reportedEnded = false;
	_endpoint.probing = false;
}

PoolCapacity EndpointRegistry::capacity(const std::string& _pool, Micros _now) const
{
	PoolCapacity capacity;
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return capacity;
	}
	for (const EndpointState* member : found->second.members)
	{
		if (!member->isUsable(_now))
		{
			continue;
		}
		capacity.usable += 1;
		if (_now < found->second.rejectionLimitUntil)
		{
			capacity.slots += static_cast<double>(member->quota);
			capacity.inFlight += static_cast<double>(member->ownInFlight);
			continue;
		}
		capacity.slots += static_cast<double>(member->endpoint.slots) * this->config.slotsFactor;
		capacity.inFlight += static_cast<double>(member->ownInFlight) + member->othersInFlight;
	}
	return capacity;
}

void EndpointRegistry::addWithLaterProcesses(const std::string& _endpoint, std::set<std::string>& _ids) const
{
	_ids.insert(_endpoint);
	const auto found = this->endpoints.find(_endpoint);
	if (found == this->endpoints.end() || found->second->endpoint.sharedName.empty())
	{
		return;
	}
	for (const EndpointState* member : this->pools.at(found->second->endpoint.pool).members)
	{
		if (member->endpoint.sharedName == found->second->endpoint.sharedName)
		{
			_ids.insert(member->endpoint.id);
		}
	}
}

bool EndpointRegistry::hasLiveEndpoint(const std::string& _pool, const std::optional<std::string>& _version) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return false;
	}
	return std::any_of(found->second.members.begin(), found->second.members.end(),
					   [&](const EndpointState* _member)
					   { return _member->listed && !_member->endpoint.leaving && hasVersion(*_member, _version); });
}

bool EndpointRegistry::isAnyUsable(const std::set<std::string>& _ids, const std::optional<std::string>& _version,
								   Micros _now) const
{
	return std::any_of(_ids.begin(), _ids.end(),
					   [&](const std::string& _id)
					   {
						   const auto found = this->endpoints.find(_id);
						   return found != this->endpoints.end() && found->second->isUsable(_now) &&
								  hasVersion(*found->second, _version);
					   });
}

std::vector<EndpointState> EndpointRegistry::states() const
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
