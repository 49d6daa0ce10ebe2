/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of ProcessProofs.

#include <roadferry/parts/process_proofs.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

namespace
{

/// Time within which a new process replaces the entry of the one before, in a listing that another node reads: its
/// first two writes of about one per second, DirectoryConfig::olderInstanceGrace if its clock was set back, and the
/// way to this node.
constexpr Micros kReplacementTime = 7 * kSecond;
/// Longest time between two updates of a listing that shows every change soon.
constexpr Micros kMaxFollowedGap = 2 * kSecond;

} // namespace

void ProcessProofs::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	const std::map<std::string, Listed> before = std::exchange(this->listed, {});
	this->idOfName.clear();
	this->poolCounts.clear();
	this->others.clear();
	for (const Endpoint& endpoint : _endpoints)
	{
		if (endpoint.sharedName.empty())
		{
			this->others[endpoint.pool].insert(endpoint.id);
			continue;
		}
		this->listed[endpoint.id] = this->listedAs(endpoint, before);
		this->idOfName[endpoint.sharedName] = endpoint.id;
		this->poolCounts[endpoint.pool] += 1;
	}
}

/// @returns What is known of an endpoint: all that was known before, unless its id has another process now.
ProcessProofs::Listed ProcessProofs::listedAs(const Endpoint& _endpoint, const std::map<std::string, Listed>& _before)
{
	const auto known = _before.find(_endpoint.id);
	const bool isKnown = known != _before.end() && known->second.endpoint.pool == _endpoint.pool &&
						 known->second.endpoint.address == _endpoint.address &&
						 known->second.endpoint.softwareVersion == _endpoint.softwareVersion;
	return isKnown ? Listed{_endpoint, known->second.openedBefore, known->second.instance}
				   : Listed{_endpoint, 0, ++this->lastInstance};
}

void ProcessProofs::add(const ProcessProof& _proof)
{
	const auto found = this->listed.find(_proof.endpoint);
	if (found != this->listed.end())
	{
		found->second.openedBefore = std::max(found->second.openedBefore, _proof.openedBefore);
	}
}

void ProcessProofs::setFollowedListing(Micros _asOf)
{
	const bool hasGap = this->followedAsOf == 0 || _asOf - this->followedAsOf > kMaxFollowedGap;
	this->followedSince = hasGap ? _asOf : this->followedSince;
	this->followedAsOf = _asOf;
}

bool ProcessProofs::isNeeded(const std::string& _endpoint) const
{
	return this->listed.count(_endpoint) > 0;
}

bool ProcessProofs::isNeededIn(const std::string& _pool) const
{
	return this->poolCounts.count(_pool) > 0;
}

Micros ProcessProofs::openedBefore(const std::string& _endpoint) const
{
	const auto found = this->listed.find(_endpoint);
	if (found == this->listed.end())
	{
		return 0;
	}
	const Micros replacedBefore = this->followedAsOf - kReplacementTime;
	const bool showsReplacement = this->followedAsOf > 0 && replacedBefore >= this->followedSince;
	return std::max(found->second.openedBefore, showsReplacement ? replacedBefore : 0);
}

bool ProcessProofs::isProven(const std::string& _endpoint, Micros _openedAt) const
{
	return _openedAt > 0 && _openedAt <= this->openedBefore(_endpoint);
}

std::uint64_t ProcessProofs::instanceOf(const std::string& _endpoint) const
{
	const auto found = this->listed.find(_endpoint);
	return found == this->listed.end() ? 0 : found->second.instance;
}

bool ProcessProofs::canIdentify(const std::string& _endpoint) const
{
	const auto found = this->listed.find(_endpoint);
	return found == this->listed.end() || found->second.endpoint.tellsStart;
}

std::string ProcessProofs::sharedNameOf(const std::string& _endpoint) const
{
	const auto found = this->listed.find(_endpoint);
	return found == this->listed.end() ? std::string() : found->second.endpoint.sharedName;
}

const Endpoint* ProcessProofs::findListed(const std::string& _sharedName) const
{
	const auto found = this->idOfName.find(_sharedName);
	return found == this->idOfName.end() ? nullptr : &this->listed.at(found->second).endpoint;
}

std::set<std::string> ProcessProofs::othersOf(const std::string& _pool) const
{
	const auto found = this->others.find(_pool);
	return found == this->others.end() ? std::set<std::string>() : found->second;
}

std::vector<Endpoint> ProcessProofs::endpointsOf(const std::string& _pool) const
{
	std::vector<Endpoint> result;
	for (const auto& entry : this->listed)
	{
		if (entry.second.endpoint.pool == _pool)
		{
			result.push_back(entry.second.endpoint);
		}
	}
	return result;
}

} // namespace roadferry
