/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of Reachability.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr std::int64_t kDefaultProcessorPercent = 100; ///< Of a node whose processor time is not known.

/// Takes some entries of a sorted list, beginning after the one that was taken last.
std::vector<std::string> nextInTurn(const std::vector<std::string>& _sorted, std::size_t _count, std::string& _last)
{
	std::vector<std::string> taken;
	auto next = std::upper_bound(_sorted.begin(), _sorted.end(), _last);
	while (taken.size() < std::min(_count, _sorted.size()))
	{
		next = next == _sorted.end() ? _sorted.begin() : next;
		taken.push_back(*next);
		++next;
	}
	_last = taken.empty() ? std::string() : taken.back();
	return taken;
}

} // namespace

Reachability::Reachability(ReachabilityConfig _config) : config(_config)
{
}

void Reachability::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->endpointIds.clear();
	for (const Endpoint& endpoint : _endpoints)
	{
		this->endpointIds.insert(endpoint.id);
	}
	const auto isGone = [this](const auto& _entry) { return this->endpointIds.count(_entry.first) == 0; };
	std::erase_if(this->lostSince, isGone);
	std::erase_if(this->unreachable, [this](const std::string& _id) { return this->endpointIds.count(_id) == 0; });
}

void Reachability::setRelays(const std::vector<RelayNode>& _nodes)
{
	std::map<std::string, Relay> updated;
	for (const RelayNode& node : _nodes)
	{
		const auto known = this->relays.find(node.address);
		Relay& relay = updated[node.address];
		relay = known == this->relays.end() ? Relay{} : known->second;
		relay.processorPercent = node.processorPercent > 0 ? node.processorPercent : kDefaultProcessorPercent;
	}
	this->relays = std::move(updated);
}

bool Reachability::canAsk(const Relay& _relay, Micros _now)
{
	return _now >= _relay.avoidUntil;
}

/// Compares the calls in progress, and between equals all calls, for the processor time of each node.
bool Reachability::isLessBusy(const Relay& _left, const Relay& _right)
{
	const auto loadOf = [](std::int64_t _calls, const Relay& _other) { return _calls * _other.processorPercent; };
	return std::pair(loadOf(_left.calls, _right), loadOf(_left.totalCalls, _right)) <
		   std::pair(loadOf(_right.calls, _left), loadOf(_right.totalCalls, _left));
}

CallPath Reachability::pathTo(const std::string& _endpoint, Micros _now) const
{
	if (this->relays.empty())
	{
		return CallDirectly{};
	}
	if (this->unreachable.count(_endpoint) > 0)
	{
		return CallNowhere{};
	}
	if (!this->isPathLost(_endpoint))
	{
		return CallDirectly{};
	}
	const std::optional<std::string> relay = this->chooseRelay({}, _now);
	return relay ? CallPath(CallThrough{*relay}) : CallPath(CallNowhere{});
}

std::optional<std::string> Reachability::chooseRelay(const std::set<std::string>& _asked, Micros _now) const
{
	const std::pair<const std::string, Relay>* best = nullptr;
	for (const auto& entry : this->relays)
	{
		if (!this->canAsk(entry.second, _now) || _asked.count(entry.first) > 0)
		{
			continue;
		}
		if (best == nullptr || isLessBusy(entry.second, best->second))
		{
			best = &entry;
		}
	}
	return best == nullptr ? std::nullopt : std::optional<std::string>(best->first);
}

std::vector<std::string> Reachability::witnesses(std::size_t _count, Micros _now) const
{
	std::vector<std::string> nodes;
	std::set<std::string> chosen;
	while (nodes.size() < _count)
	{
		const std::optional<std::string> next = this->chooseRelay(chosen, _now);
		if (!next)
		{
			break;
		}
		chosen.insert(*next);
		nodes.push_back(*next);
	}
	return nodes;
}

ReachChange Reachability::recordConnected(const std::string& _endpoint, Micros _now)
{
	this->lastConnectedAt = _now;
	if (this->unreachable.count(_endpoint) > 0)
	{
		this->unreachable.clear();
	}
	if (this->lostSince.count(_endpoint) == 0 && !this->cutOff)
	{
		return ReachChange::None;
	}
	// One path that is back is taken for all: one that is not is found lost again by the next call.
	this->lostSince.clear();
	this->cutOff = false;
	return ReachChange::Restored;
}

ReachChange Reachability::recordReachedThrough(const std::string& _endpoint, const std::string& _node, Micros _now)
{
	const auto relay = this->relays.find(_node);
	if (relay != this->relays.end())
	{
		relay->second.notReached.clear();
	}
	this->unreachable.erase(_endpoint);
	if (this->endpointIds.count(_endpoint) == 0)
	{
		return ReachChange::None; // No longer listed, so it gets neither calls nor probes.
	}
	const bool isNew = this->lostSince.emplace(_endpoint, _now).second;
	if (!isNew || this->cutOff)
	{
		return ReachChange::None;
	}
	const auto lostNow = std::count_if(this->lostSince.begin(), this->lostSince.end(),
									   [this](const auto& _entry) { return _entry.second > this->lastConnectedAt; });
	const std::size_t needed = std::min(this->config.cutOffEndpoints, this->endpointIds.size());
	this->cutOff = static_cast<std::size_t>(lostNow) >= needed;
	return this->cutOff ? ReachChange::CutOff : ReachChange::PathLost;
}

void Reachability::recordNotReachedThrough(const std::string& _endpoint, const std::string& _node, bool _cutOff,
										   Micros _now)
{
	const auto found = this->relays.find(_node);
	if (found == this->relays.end())
	{
		return;
	}
	Relay& relay = found->second;
	relay.notReached.insert(_endpoint);
	if (_cutOff || relay.notReached.size() >= this->config.relayFailureLimit)
	{
		relay.avoidUntil = _now + this->config.relayAvoidTime;
		relay.notReached.clear();
	}
}

void Reachability::recordUnreachable(const std::string& _endpoint)
{
	if (this->endpointIds.count(_endpoint) > 0)
	{
		this->unreachable.insert(_endpoint);
	}
}

void Reachability::recordRelayLost(const std::string& _node, Micros _now)
{
	const auto found = this->relays.find(_node);
	if (found != this->relays.end())
	{
		found->second.avoidUntil = _now + this->config.relayAvoidTime;
	}
}

void Reachability::recordRelayedCallStart(const std::string& _node)
{
	const auto found = this->relays.find(_node);
	if (found != this->relays.end())
	{
		found->second.calls += 1;
		found->second.totalCalls += 1;
	}
}

void Reachability::recordRelayedCallEnd(const std::string& _node)
{
	const auto found = this->relays.find(_node);
	if (found != this->relays.end())
	{
		found->second.calls = std::max<std::int64_t>(0, found->second.calls - 1);
	}
}

/// Returns the endpoints with a lost path, sorted.
std::vector<std::string> Reachability::endpointsWithLostPath() const
{
	if (this->cutOff)
	{
		return {this->endpointIds.begin(), this->endpointIds.end()};
	}
	std::vector<std::string> lost;
	for (const auto& entry : this->lostSince)
	{
		lost.push_back(entry.first);
	}
	return lost;
}

std::vector<std::string> Reachability::tick(Micros _now)
{
	const bool isQuiet = this->lostSince.empty() && this->unreachable.empty() && !this->cutOff;
	if (isQuiet || _now < this->nextProbeAt)
	{
		return {};
	}
	this->nextProbeAt = _now + this->config.probePeriod;
	// Own probes do not tell whether another node reaches an endpoint by now.
	std::erase_if(this->unreachable, [this](const std::string& _id) { return this->isPathLost(_id); });
	std::vector<std::string> probed =
		nextInTurn(this->endpointsWithLostPath(), this->config.lostProbes, this->lastLostProbed);
	const std::vector<std::string> more = nextInTurn({this->unreachable.begin(), this->unreachable.end()},
													 this->config.unreachableProbes, this->lastUnreachableProbed);
	probed.insert(probed.end(), more.begin(), more.end());
	return probed;
}

bool Reachability::isPathLost(const std::string& _endpoint) const
{
	return this->cutOff || this->lostSince.count(_endpoint) > 0;
}

bool Reachability::isCutOff() const
{
	return this->cutOff;
}

std::size_t Reachability::lostPaths() const
{
	return this->lostSince.size();
}

} // namespace roadferry
