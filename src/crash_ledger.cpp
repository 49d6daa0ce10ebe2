/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of CrashLedger.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr std::int64_t kCrashWeight = 2;
constexpr std::int64_t kMassCrashWeight = 1;
constexpr std::size_t kMaxDirectTargets = 100; ///< Nodes up to which a broadcast uses no forwarding.

} // namespace

CrashLedger::CrashLedger(CrashLedgerConfig _config) : config(_config)
{
}

void CrashLedger::setMemory(Micros _memory)
{
	this->config.memory = _memory;
	this->changes += 1;
	if (_memory == 0)
	{
		this->entries.clear();
		this->endpointsByRequest.clear();
		this->requestCount = 0;
	}
}

std::vector<EndpointCrash> CrashLedger::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->poolSizes.clear();
	this->changes += 1;
	std::map<std::string, std::string> idByAddress;
	for (const Endpoint& endpoint : _endpoints)
	{
		this->poolSizes[endpoint.pool] += 1;
		idByAddress[endpoint.address] = endpoint.id;
	}
	std::vector<EndpointCrash> found;
	for (auto& entry : this->entries)
	{
		const auto listed = idByAddress.find(entry.second.crash.address);
		const bool replaced = listed != idByAddress.end() && listed->second != entry.first;
		if (entry.second.certainty == Certainty::Uncertain && replaced)
		{
			entry.second.certainty = Certainty::Certain;
			found.push_back(entry.second.crash);
		}
	}
	return found;
}

void CrashLedger::addRequests(Entry& _entry, const std::set<RequestDigest>& _requests)
{
	this->changes += 1;
	for (const RequestDigest request : _requests)
	{
		if (_entry.crash.requests.insert(request).second)
		{
			this->requestCount += 1;
			this->endpointsByRequest[request].insert(_entry.crash.endpoint);
		}
	}
}

BrokenCallStep CrashLedger::recordBrokenCalls(const EndpointCrash& _broken)
{
	if (this->config.memory == 0)
	{
		return BrokenCallStep::None;
	}
	const auto [found, isNew] = this->entries.try_emplace(_broken.endpoint);
	Entry& entry = found->second;
	if (isNew)
	{
		entry.crash = EndpointCrash{_broken.endpoint, _broken.address, _broken.pool, _broken.at, {}, {}};
	}
	const bool needsProbe = isNew || entry.certainty == Certainty::Uncertain;
	if (needsProbe)
	{
		entry.certainty = Certainty::Pending;
	}
	const Certainty certainty = entry.certainty;
	this->addRequests(entry, _broken.requests);
	entry.crash.parts.insert(_broken.parts.begin(), _broken.parts.end());
	this->limitSize(); // May erase the entry.
	if (needsProbe)
	{
		return BrokenCallStep::Probe;
	}
	return certainty == Certainty::Certain ? BrokenCallStep::Report : BrokenCallStep::None;
}

ProbeVerdict CrashLedger::recordProbe(const std::string& _endpoint, EndpointProbe _result)
{
	const auto found = this->entries.find(_endpoint);
	if (found == this->entries.end())
	{
		return {};
	}
	Entry& entry = found->second;
	if (entry.certainty != Certainty::Pending && entry.certainty != Certainty::Listened)
	{
		return {};
	}
	this->changes += 1;
	switch (_result)
	{
	case EndpointProbe::Ended:
		entry.certainty = Certainty::Certain;
		return ProbeVerdict{entry.crash, false};
	case EndpointProbe::Listening:
	{
		const bool isFirst = entry.certainty == Certainty::Pending;
		entry.certainty = isFirst ? Certainty::Listened : Certainty::Uncertain;
		return ProbeVerdict{std::nullopt, isFirst};
	}
	case EndpointProbe::Unreachable:
		break;
	}
	this->erase(_endpoint);
	return {};
}

void CrashLedger::merge(const EndpointCrash& _crash)
{
	if (this->config.memory == 0)
	{
		return;
	}
	Entry& entry = this->entries[_crash.endpoint];
	if (entry.crash.endpoint.empty())
	{
		entry.crash = EndpointCrash{_crash.endpoint, _crash.address, _crash.pool, _crash.at, {}, {}};
	}
	entry.certainty = Certainty::Certain;
	this->addRequests(entry, _crash.requests);
	entry.crash.parts.insert(_crash.parts.begin(), _crash.parts.end());
	this->limitSize();
}

void CrashLedger::recordAnswered(RequestDigest _request)
{
	const auto found = this->endpointsByRequest.find(_request);
	if (found == this->endpointsByRequest.end())
	{
		return;
	}
	this->changes += 1;
	for (const std::string& endpoint : found->second)
	{
		this->entries.at(endpoint).crash.requests.erase(_request);
		this->requestCount -= 1;
	}
	this->endpointsByRequest.erase(found);
}

void CrashLedger::erase(const std::string& _endpoint)
{
	this->changes += 1;
	const auto entry = this->entries.find(_endpoint);
	for (const RequestDigest request : entry->second.crash.requests)
	{
		const auto endpoints = this->endpointsByRequest.find(request);
		endpoints->second.erase(_endpoint);
		if (endpoints->second.empty())
		{
			this->endpointsByRequest.erase(endpoints);
		}
	}
	this->requestCount -= entry->second.crash.requests.size();
	this->entries.erase(entry);
}

void CrashLedger::expire(Micros _now)
{
	std::vector<std::string> expired;
	for (const auto& entry : this->entries)
	{
		const bool uncertain = entry.second.certainty == Certainty::Uncertain;
		if (_now - entry.second.crash.at > (uncertain ? this->config.probeMemory : this->config.memory))
		{
			expired.push_back(entry.first);
		}
	}
	for (const std::string& endpoint : expired)
	{
		this->erase(endpoint);
	}
}

void CrashLedger::limitSize()
{
	while (this->requestCount > this->config.maxRequests)
	{
		const auto oldest = std::min_element(this->entries.begin(), this->entries.end(),
											 [](const auto& _left, const auto& _right)
											 { return _left.second.crash.at < _right.second.crash.at; });
		this->erase(std::string(oldest->first));
		this->dropped += 1;
	}
}

/// Whether an endpoint crashed together with a large share of its pool, and the others ran other requests.
bool CrashLedger::isMassCrash(const EndpointCrash& _crash, RequestDigest _request) const
{
	const auto size = this->poolSizes.find(_crash.pool);
	if (size == this->poolSizes.end())
	{
		return false;
	}
	const auto isOther = [&](const auto& _entry)
	{
		const EndpointCrash& other = _entry.second.crash;
		return _entry.second.certainty == Certainty::Certain && other.pool == _crash.pool &&
			   std::abs(other.at - _crash.at) <= this->config.massCrashSpan && other.requests.count(_request) == 0;
	};
	const auto others = static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), isOther));
	return others >= this->config.massCrashMinEndpoints &&
		   static_cast<double>(others + 1) >= this->config.massCrashShare * static_cast<double>(size->second);
}

bool CrashLedger::mayRun(RequestDigest _request) const
{
	const auto found = this->endpointsByRequest.find(_request);
	if (found == this->endpointsByRequest.end())
	{
		return true;
	}
	std::int64_t weight = 0;
	for (const std::string& endpoint : found->second)
	{
		const Entry& entry = this->entries.at(endpoint);
		if (entry.certainty != Certainty::Uncertain)
		{
			weight += this->isMassCrash(entry.crash, _request) ? kMassCrashWeight : kCrashWeight;
		}
	}
	return weight < kCrashWeight * this->config.maxCrashes;
}

std::size_t CrashLedger::crashesOf(RequestDigest _request) const
{
	const auto found = this->endpointsByRequest.find(_request);
	if (found == this->endpointsByRequest.end())
	{
		return 0;
	}
	const auto counts = [this](const std::string& _endpoint)
	{ return this->entries.at(_endpoint).certainty != Certainty::Uncertain; };
	return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), counts));
}

std::set<RequestDigest> CrashLedger::requestsWithCrashes(std::size_t _count) const
{
	std::set<RequestDigest> result;
	for (const auto& entry : this->endpointsByRequest)
	{
		if (entry.second.size() >= _count && this->crashesOf(entry.first) >= _count)
		{
			result.insert(entry.first);
		}
	}
	return result;
}

std::set<RequestDigest> CrashLedger::blockedRequests() const
{
	std::set<RequestDigest> result = this->requestsWithCrashes(static_cast<std::size_t>(this->config.maxCrashes));
	std::erase_if(result, [this](RequestDigest _request) { return this->mayRun(_request); });
	return result;
}

std::vector<EndpointCrash> CrashLedger::crashes() const
{
	std::vector<EndpointCrash> result;
	for (const auto& entry : this->entries)
	{
		if (entry.second.certainty == Certainty::Certain)
		{
			result.push_back(entry.second.crash);
		}
	}
	return result;
}

std::uint64_t CrashLedger::revision() const
{
	return this->changes;
}

std::uint64_t CrashLedger::droppedCrashes() const
{
	return this->dropped;
}

std::vector<BroadcastStep> planBroadcast(const std::vector<std::string>& _targets)
{
	std::vector<BroadcastStep> steps;
	if (_targets.size() <= kMaxDirectTargets)
	{
		for (const std::string& target : _targets)
		{
			steps.push_back(BroadcastStep{target, {}});
		}
		return steps;
	}
	const auto groupSize = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(_targets.size()))));
	for (std::size_t begin = 0; begin < _targets.size(); begin += groupSize)
	{
		const std::size_t end = std::min(_targets.size(), begin + groupSize);
		const std::vector<std::string> group(_targets.begin() + static_cast<std::ptrdiff_t>(begin),
											 _targets.begin() + static_cast<std::ptrdiff_t>(end));
		// Two nodes of the group forward to the whole group.
		for (std::size_t relay = 0; relay < std::min<std::size_t>(2, group.size()); ++relay)
		{
			std::vector<std::string> rest = group;
			std::erase(rest, group[relay]);
			steps.push_back(BroadcastStep{group[relay], std::move(rest)});
		}
	}
	return steps;
}

} // namespace roadferry
