/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the allocation of workspace limits to nodes.

#include <roadferry/roadferry.h>

#include <algorithm>

#include <xxhash.h>

namespace roadferry
{

namespace
{

constexpr Micros kReportPeriodPerNode = 10 * kMillisecond;
constexpr std::int64_t kMinPeriodsPerLease = 6;
constexpr std::int64_t kFloorDivisor = 4; ///< The floor is an even split divided by this.

std::uint64_t score(const std::string& _node, const std::string& _key)
{
	return XXH3_64bits_withSeed(_key.data(), _key.size(), XXH3_64bits(_node.data(), _node.size()));
}

/// @returns The node with the highest score for the key (rendezvous hashing).
std::string highestScoring(const std::vector<std::string>& _nodes, const std::string& _key)
{
	const auto best = std::max_element(_nodes.begin(), _nodes.end(),
									   [&](const std::string& _left, const std::string& _right)
									   { return score(_left, _key) < score(_right, _key); });
	return best == _nodes.end() ? std::string() : *best;
}

} // namespace

ShareAllocator::ShareAllocator(std::string _self, ShareConfig _config) : self(std::move(_self)), config(_config)
{
	this->listedNodes = {this->self};
	this->aliveNodes = {this->self};
	this->assignCoordinators();
}

Micros ShareAllocator::reportPeriod() const
{
	return std::max(this->config.reportPeriod, kReportPeriodPerNode * static_cast<Micros>(this->listedNodes.size()));
}

Micros ShareAllocator::leaseDuration() const
{
	return std::max(this->config.leaseDuration, kMinPeriodsPerLease * this->reportPeriod());
}

std::int64_t ShareAllocator::evenSplit(std::int64_t _limit) const
{
	const auto nodes = static_cast<std::int64_t>(this->listedNodes.size());
	return std::max<std::int64_t>(1, _limit / nodes);
}

std::int64_t ShareAllocator::floorOf(std::int64_t _limit) const
{
	return std::max<std::int64_t>(1, this->evenSplit(_limit) / kFloorDivisor);
}

void ShareAllocator::assignCoordinators()
{
	// The nodes with the highest scores are coordinators, so that a node that joins or leaves moves few workspaces.
	std::vector<std::pair<std::uint64_t, std::string>> ranked;
	for (const std::string& node : this->aliveNodes)
	{
		ranked.emplace_back(score(node, "meter"), node);
	}
	std::sort(ranked.rbegin(), ranked.rend());
	const std::size_t count =
		(this->aliveNodes.size() + this->config.nodesPerCoordinator - 1) / this->config.nodesPerCoordinator;
	this->coordinators.clear();
	for (std::size_t index = 0; index < count; ++index)
	{
		this->coordinators.push_back(ranked[index].second);
	}
	this->coordinatorByWorkspace.clear();
	for (const auto& entry : this->limits)
	{
		this->coordinatorByWorkspace[entry.first] = highestScoring(this->coordinators, entry.first);
	}
}

void ShareAllocator::setNodes(const std::vector<std::string>& _listed, const std::vector<std::string>& _alive,
							  Micros _now)
{
	std::vector<std::string> all = _listed;
	if (std::find(all.begin(), all.end(), this->self) == all.end())
	{
		all.push_back(this->self);
	}
	if (all == this->listedNodes && _alive == this->aliveNodes)
	{
		return;
	}
	// On the first call all workspaces of this coordinator count as gained: grants of an earlier process at this
	// address may still be valid.
	const auto previous = this->nodesSet ? this->coordinatorByWorkspace : std::map<std::string, std::string>();
	this->nodesSet = true;
	this->listedNodes = std::move(all);
	this->aliveNodes = _alive;
	this->assignCoordinators();
	const bool gainedWorkspace =
		std::any_of(this->coordinatorByWorkspace.begin(), this->coordinatorByWorkspace.end(),
					[&](const auto& _entry)
					{
						const auto old = previous.find(_entry.first);
						const bool assignedToSelf = _entry.second == this->self;
						return assignedToSelf && (old == previous.end() || old->second != this->self);
					});
	if (gainedWorkspace)
	{
		this->grantsBlockedUntil = _now + this->leaseDuration();
	}
}

void ShareAllocator::setLimits(const std::map<std::string, std::int64_t>& _limits)
{
	if (this->limits != _limits)
	{
		this->limits = _limits;
		this->assignCoordinators();
	}
}

void ShareAllocator::setDemand(const std::map<std::string, std::int64_t>& _demand)
{
	this->demand = _demand;
}

std::string ShareAllocator::coordinatorOf(const std::string& _workspace) const
{
	const auto found = this->coordinatorByWorkspace.find(_workspace);
	return found == this->coordinatorByWorkspace.end() ? std::string() : found->second;
}

std::vector<ShareAction> ShareAllocator::tick(Micros _now)
{
	std::vector<ShareAction> out;
	this->updateCoordinatorLinks(_now);
	if (_now < this->nextReportAt)
	{
		return out;
	}
	this->nextReportAt = _now + this->reportPeriod();
	this->sendReports(_now, out);
	this->sendGrants(_now, out);
	return out;
}

void ShareAllocator::updateCoordinatorLinks(Micros _now)
{
	for (const std::string& coordinator : this->coordinators)
	{
		const auto found = this->coordinatorLinks.find(coordinator);
		if (found == this->coordinatorLinks.end())
		{
			// The link starts as silent, since an earlier process at this address may have reported just before.
			this->coordinatorLinks[coordinator] = CoordinatorLink{_now, _now};
			continue;
		}
		CoordinatorLink& link = found->second;
		if (!link.silentSince && _now - link.lastHeardAt > this->leaseDuration() / 2)
		{
			link.silentSince = _now;
		}
	}
	std::erase_if(this->coordinatorLinks,
				  [this](const auto& _entry) {
					  return std::find(this->coordinators.begin(), this->coordinators.end(), _entry.first) ==
							 this->coordinators.end();
				  });
}

void ShareAllocator::sendReports(Micros _now, std::vector<ShareAction>& _out)
{
	std::map<std::string, DemandReport> byCoordinator;
	for (const std::string& coordinator : this->coordinators)
	{
		byCoordinator[coordinator].fallback = this->coordinatorLinks.at(coordinator).silentSince.has_value();
	}
	for (const auto& entry : this->demand)
	{
		const auto coordinator = this->coordinatorByWorkspace.find(entry.first);
		if (coordinator != this->coordinatorByWorkspace.end() && entry.second > 0)
		{
			byCoordinator[coordinator->second].demand.insert(entry);
		}
	}
	for (auto& entry : byCoordinator)
	{
		if (entry.first == this->self)
		{
			this->receiveDemand(this->self, entry.second, _now);
			continue;
		}
		_out.emplace_back(SendDemand{entry.first, std::move(entry.second)});
	}
}

void ShareAllocator::receiveDemand(const std::string& _from, const DemandReport& _report, Micros _now)
{
	this->reporters.insert(_from);
	if (!_report.fallback)
	{
		this->reports[_from] = ReceivedReport{_report.demand, _now};
	}
}

void ShareAllocator::sendGrants(Micros _now, std::vector<ShareAction>& _out)
{
	std::erase_if(this->reports,
				  [&](const auto& _entry) { return _entry.second.receivedAt + this->leaseDuration() <= _now; });
	std::map<std::string, ShareGrant> grants;
	for (const std::string& reporter : this->reporters)
	{
		// An empty grant is sent, too: it tells the node that its reports arrive.
		grants[reporter] = ShareGrant{};
	}
	this->reporters.clear();
	for (const auto& entry : this->limits)
	{
		if (this->coordinatorByWorkspace.at(entry.first) == this->self)
		{
			this->grantWorkspace(entry.first, entry.second, _now, grants);
		}
	}
	for (auto& entry : grants)
	{
		if (entry.first == this->self)
		{
			this->receiveGrant(this->self, entry.second, _now);
			continue;
		}
		_out.emplace_back(SendGrant{entry.first, std::move(entry.second)});
	}
}

std::int64_t ShareAllocator::highestShare(const std::vector<ShareLease>& _leases)
{
	std::int64_t highest = 0;
	for (const ShareLease& lease : _leases)
	{
		highest = std::max(highest, lease.share);
	}
	return highest;
}

void ShareAllocator::addLease(std::vector<ShareLease>& _leases, const ShareLease& _lease)
{
	std::erase_if(_leases, [&](const ShareLease& _old)
				  { return _old.share <= _lease.share && _old.expiresAt <= _lease.expiresAt; });
	_leases.push_back(_lease);
}

void ShareAllocator::grantWorkspace(const std::string& _workspace, std::int64_t _limit, Micros _now,
									std::map<std::string, ShareGrant>& _grants)
{
	if (_now < this->grantsBlockedUntil)
	{
		return;
	}
	// Reserved are the floor of each node that reports and the even split of each listed node that does not.
	std::int64_t unreserved = _limit;
	std::map<std::string, std::int64_t> excessDemand;
	std::int64_t totalExcess = 0;
	for (const std::string& node : this->listedNodes)
	{
		const auto reported = this->reports.find(node);
		if (reported == this->reports.end())
		{
			unreserved -= this->evenSplit(_limit);
			continue;
		}
		unreserved -= this->floorOf(_limit);
		const auto reportedDemand = reported->second.demand.find(_workspace);
		const std::int64_t excess =
			reportedDemand == reported->second.demand.end() ? 0 : reportedDemand->second - this->floorOf(_limit);
		if (excess > 0)
		{
			excessDemand[node] = excess;
			totalExcess += excess;
		}
	}
	auto& leasesByNode = this->grantedLeases[_workspace];
	std::int64_t totalLeased = 0;
	for (auto& entry : leasesByNode)
	{
		std::erase_if(entry.second, [_now](const ShareLease& _old) { return _old.expiresAt <= _now; });
		totalLeased += highestShare(entry.second);
	}
	std::erase_if(leasesByNode, [](const auto& _entry) { return _entry.second.empty(); });
	for (const auto& entry : excessDemand)
	{
		// Shares are proportional to demand. A share that shrinks counts in full until its lease expires.
		std::vector<ShareLease>& leases = leasesByNode[entry.first];
		const std::int64_t previousShare = highestShare(leases);
		const std::int64_t proportional =
			std::max<std::int64_t>(0, unreserved) * entry.second / std::max<std::int64_t>(totalExcess, 1);
		const std::int64_t available = std::max<std::int64_t>(0, unreserved - (totalLeased - previousShare));
		const std::int64_t share = std::min(proportional, available);
		addLease(leases, ShareLease{share, _now + this->leaseDuration()});
		totalLeased += highestShare(leases) - previousShare;
		_grants[entry.first].shares[_workspace] = share;
	}
}

void ShareAllocator::receiveGrant(const std::string& _from, const ShareGrant& _grant, Micros _now)
{
	const auto link = this->coordinatorLinks.find(_from);
	if (link == this->coordinatorLinks.end())
	{
		return;
	}
	link->second.lastHeardAt = _now;
	link->second.silentSince.reset();
	for (const auto& entry : _grant.shares)
	{
		if (this->coordinatorOf(entry.first) == _from)
		{
			// Only half of the lease is used: the other half covers the time in transit.
			this->ownLeases[entry.first] = ShareLease{entry.second, _now + this->leaseDuration() / 2};
		}
	}
}

std::map<std::string, std::int64_t> ShareAllocator::shares(Micros _now) const
{
	std::map<std::string, std::int64_t> result;
	for (const auto& entry : this->limits)
	{
		const auto lease = this->ownLeases.find(entry.first);
		const auto link = this->coordinatorLinks.find(this->coordinatorOf(entry.first));
		const bool leaseValid = lease != this->ownLeases.end() && _now < lease->second.expiresAt;
		const bool coordinatorLost = link != this->coordinatorLinks.end() && link->second.silentSince &&
									 _now - *link->second.silentSince > this->leaseDuration() + this->reportPeriod();
		const std::int64_t floor = this->floorOf(entry.second);
		result[entry.first] =
			coordinatorLost ? this->evenSplit(entry.second) : floor + (leaseValid ? lease->second.share : 0);
	}
	return result;
}

} // namespace roadferry
