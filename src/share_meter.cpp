/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Splits the limits of workspaces over the nodes.

#include <roadferry/roadferry.h>

#include <algorithm>

#include <xxhash.h>

namespace roadferry
{

namespace
{

constexpr Micros kPeriodPerNode = 10 * kMillisecond;
constexpr std::int64_t kPeriodsPerLease = 6;
constexpr std::int64_t kFloorPart = 4; ///< The floor is this part of an even split.

std::uint64_t score(const std::string& _node, const std::string& _key)
{
	return XXH3_64bits_withSeed(_key.data(), _key.size(), XXH3_64bits(_node.data(), _node.size()));
}

/// @returns The node with the highest score, by rendezvous hashing.
std::string winnerOf(const std::vector<std::string>& _nodes, const std::string& _key)
{
	const auto best = std::max_element(_nodes.begin(), _nodes.end(),
									   [&](const std::string& _left, const std::string& _right)
									   { return score(_left, _key) < score(_right, _key); });
	return best == _nodes.end() ? std::string() : *best;
}

} // namespace

ShareMeter::ShareMeter(std::string _self, ShareConfig _config) : self(std::move(_self)), config(_config)
{
	this->listed = {this->self};
	this->aliveNodes = {this->self};
	this->rebuildMeters();
}

Micros ShareMeter::period() const
{
	return std::max(this->config.period, kPeriodPerNode * static_cast<Micros>(this->listed.size()));
}

Micros ShareMeter::lease() const
{
	return std::max(this->config.lease, kPeriodsPerLease * this->period());
}

std::int64_t ShareMeter::evenSplit(std::int64_t _limit) const
{
	const auto nodes = static_cast<std::int64_t>(this->listed.size());
	return std::max<std::int64_t>(1, _limit / nodes);
}

std::int64_t ShareMeter::floorOf(std::int64_t _limit) const
{
	return std::max<std::int64_t>(1, this->evenSplit(_limit) / kFloorPart);
}

void ShareMeter::rebuildMeters()
{
	// The nodes with the highest scores are meters, so that one node's coming or going moves few workspaces.
	std::vector<std::pair<std::uint64_t, std::string>> ranked;
	for (const std::string& node : this->aliveNodes)
	{
		ranked.emplace_back(score(node, "meter"), node);
	}
	std::sort(ranked.rbegin(), ranked.rend());
	const std::size_t count = (this->aliveNodes.size() + this->config.nodesPerMeter - 1) / this->config.nodesPerMeter;
	this->meters.clear();
	for (std::size_t index = 0; index < count; ++index)
	{
		this->meters.push_back(ranked[index].second);
	}
	this->meterByWorkspace.clear();
	for (const auto& entry : this->limits)
	{
		this->meterByWorkspace[entry.first] = winnerOf(this->meters, entry.first);
	}
}

void ShareMeter::setNodes(const std::vector<std::string>& _listed, const std::vector<std::string>& _alive, Micros _now)
{
	std::vector<std::string> all = _listed;
	if (std::find(all.begin(), all.end(), this->self) == all.end())
	{
		all.push_back(this->self);
	}
	if (all == this->listed && _alive == this->aliveNodes)
	{
		return;
	}
	// Grants of an earlier process at this address may still hold, too.
	const auto before = this->started ? this->meterByWorkspace : std::map<std::string, std::string>();
	this->started = true;
	this->listed = std::move(all);
	this->aliveNodes = _alive;
	this->rebuildMeters();
	const bool gained = std::any_of(this->meterByWorkspace.begin(), this->meterByWorkspace.end(),
									[&](const auto& _entry)
									{
										const auto old = before.find(_entry.first);
										const bool mine = _entry.second == this->self;
										return mine && (old == before.end() || old->second != this->self);
									});
	if (gained)
	{
		this->quietUntil = _now + this->lease();
	}
}

void ShareMeter::setLimits(const std::map<std::string, std::int64_t>& _limits)
{
	if (this->limits != _limits)
	{
		this->limits = _limits;
		this->rebuildMeters();
	}
}

void ShareMeter::setDemand(const std::map<std::string, std::int64_t>& _demand)
{
	this->demand = _demand;
}

std::string ShareMeter::meterOf(const std::string& _workspace) const
{
	const auto found = this->meterByWorkspace.find(_workspace);
	return found == this->meterByWorkspace.end() ? std::string() : found->second;
}

std::vector<ShareAction> ShareMeter::tick(Micros _now)
{
	std::vector<ShareAction> out;
	this->updateLinks(_now);
	if (_now < this->nextAt)
	{
		return out;
	}
	this->nextAt = _now + this->period();
	this->report(_now, out);
	this->grant(_now, out);
	return out;
}

void ShareMeter::updateLinks(Micros _now)
{
	for (const std::string& meter : this->meters)
	{
		const auto found = this->links.find(meter);
		if (found == this->links.end())
		{
			// An earlier process at this address may have reported just now.
			this->links[meter] = MeterLink{_now, _now};
			continue;
		}
		MeterLink& link = found->second;
		if (!link.silentSince && _now - link.heardAt > this->lease() / 2)
		{
			link.silentSince = _now;
		}
	}
	std::erase_if(this->links, [this](const auto& _entry)
				  { return std::find(this->meters.begin(), this->meters.end(), _entry.first) == this->meters.end(); });
}

void ShareMeter::report(Micros _now, std::vector<ShareAction>& _out)
{
	std::map<std::string, DemandReport> byMeter;
	for (const std::string& meter : this->meters)
	{
		byMeter[meter].fallback = this->links.at(meter).silentSince.has_value();
	}
	for (const auto& entry : this->demand)
	{
		const auto meter = this->meterByWorkspace.find(entry.first);
		if (meter != this->meterByWorkspace.end() && entry.second > 0)
		{
			byMeter[meter->second].demand.insert(entry);
		}
	}
	for (auto& entry : byMeter)
	{
		if (entry.first == this->self)
		{
			this->receiveDemand(this->self, entry.second, _now);
			continue;
		}
		_out.emplace_back(SendDemand{entry.first, std::move(entry.second)});
	}
}

void ShareMeter::receiveDemand(const std::string& _from, const DemandReport& _report, Micros _now)
{
	this->askers.insert(_from);
	if (!_report.fallback)
	{
		this->reports[_from] = Reported{_report.demand, _now};
	}
}

void ShareMeter::grant(Micros _now, std::vector<ShareAction>& _out)
{
	std::erase_if(this->reports, [&](const auto& _entry) { return _entry.second.at + this->lease() <= _now; });
	std::map<std::string, ShareGrant> grants;
	for (const std::string& asker : this->askers)
	{
		// Also where there is nothing to give: it tells the asker that it is heard.
		grants[asker] = ShareGrant{};
	}
	this->askers.clear();
	for (const auto& entry : this->limits)
	{
		if (this->meterByWorkspace.at(entry.first) == this->self)
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

std::int64_t ShareMeter::promised(const std::vector<Held>& _grants)
{
	std::int64_t most = 0;
	for (const Held& grant : _grants)
	{
		most = std::max(most, grant.share);
	}
	return most;
}

void ShareMeter::promise(std::vector<Held>& _grants, const Held& _grant)
{
	std::erase_if(_grants, [&](const Held& _old) { return _old.share <= _grant.share && _old.until <= _grant.until; });
	_grants.push_back(_grant);
}

void ShareMeter::grantWorkspace(const std::string& _workspace, std::int64_t _limit, Micros _now,
								std::map<std::string, ShareGrant>& _grants)
{
	if (_now < this->quietUntil)
	{
		return;
	}
	// The floor of each node that reports and the even split of each that does not are spoken for.
	std::int64_t left = _limit;
	std::map<std::string, std::int64_t> wants;
	std::int64_t wanted = 0;
	for (const std::string& node : this->listed)
	{
		const auto reported = this->reports.find(node);
		if (reported == this->reports.end())
		{
			left -= this->evenSplit(_limit);
			continue;
		}
		left -= this->floorOf(_limit);
		const auto want = reported->second.demand.find(_workspace);
		const std::int64_t above = want == reported->second.demand.end() ? 0 : want->second - this->floorOf(_limit);
		if (above > 0)
		{
			wants[node] = above;
			wanted += above;
		}
	}
	auto& given = this->granted[_workspace];
	std::int64_t total = 0;
	for (auto& entry : given)
	{
		std::erase_if(entry.second, [_now](const Held& _old) { return _old.until <= _now; });
		total += promised(entry.second);
	}
	std::erase_if(given, [](const auto& _entry) { return _entry.second.empty(); });
	for (const auto& want : wants)
	{
		// In proportion to demand. A share that shrinks counts in full until the lease that it was given under ends.
		std::vector<Held>& grants = given[want.first];
		const std::int64_t before = promised(grants);
		const std::int64_t fair = std::max<std::int64_t>(0, left) * want.second / std::max<std::int64_t>(wanted, 1);
		const std::int64_t room = std::max<std::int64_t>(0, left - (total - before));
		const std::int64_t share = std::min(fair, room);
		promise(grants, Held{share, _now + this->lease()});
		total += promised(grants) - before;
		_grants[want.first].shares[_workspace] = share;
	}
}

void ShareMeter::receiveGrant(const std::string& _from, const ShareGrant& _grant, Micros _now)
{
	const auto link = this->links.find(_from);
	if (link == this->links.end())
	{
		return;
	}
	link->second.heardAt = _now;
	link->second.silentSince.reset();
	for (const auto& entry : _grant.shares)
	{
		if (this->meterOf(entry.first) == _from)
		{
			// Half a lease is left for the time on the way.
			this->held[entry.first] = Held{entry.second, _now + this->lease() / 2};
		}
	}
}

std::map<std::string, std::int64_t> ShareMeter::shares(Micros _now) const
{
	std::map<std::string, std::int64_t> result;
	for (const auto& entry : this->limits)
	{
		const auto grant = this->held.find(entry.first);
		const auto link = this->links.find(this->meterOf(entry.first));
		const bool holds = grant != this->held.end() && _now < grant->second.until;
		const bool forgotten = link != this->links.end() && link->second.silentSince &&
							   _now - *link->second.silentSince > this->lease() + this->period();
		const std::int64_t floor = this->floorOf(entry.second);
		result[entry.first] = forgotten ? this->evenSplit(entry.second) : floor + (holds ? grant->second.share : 0);
	}
	return result;
}

} // namespace roadferry
