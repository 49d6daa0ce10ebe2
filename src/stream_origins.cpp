/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of StreamOrigins.

#include <roadferry/roadferry.h>

#include <xxhash.h>

#include <algorithm>

namespace roadferry
{

std::vector<std::string> rendezvousNodes(const std::string& _key, const std::vector<std::string>& _nodes,
										 std::size_t _count)
{
	const std::uint64_t seed = XXH3_64bits(_key.data(), _key.size());
	std::vector<std::pair<std::uint64_t, std::string>> ranked;
	ranked.reserve(_nodes.size());
	for (const std::string& node : _nodes)
	{
		ranked.emplace_back(XXH3_64bits_withSeed(node.data(), node.size(), seed), node);
	}
	const std::size_t count = std::min(_count, ranked.size());
	std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
					  std::greater<>());
	std::vector<std::string> result;
	for (std::size_t index = 0; index < count; ++index)
	{
		result.push_back(ranked[index].second);
	}
	return result;
}

StreamOrigins::StreamOrigins(std::string _self, StreamOriginsConfig _config)
	: self(std::move(_self)), config(_config), lastLookup(_config.firstLookup)
{
}

std::vector<std::string> StreamOrigins::holdersOf(const std::string& _request) const
{
	return rendezvousNodes(_request, this->others, this->config.holders);
}

OriginActions StreamOrigins::setMembers(const std::vector<std::string>& _members, Micros _now)
{
	std::vector<std::string> members = _members;
	std::erase(members, this->self);
	OriginActions actions;
	const std::vector<std::string> before = std::exchange(this->others, members);
	std::map<std::string, OriginRecords> messages;
	for (const auto& entry : this->entries)
	{
		const StreamRecord& record = entry.second.record;
		const bool needed =
			entry.second.isOwn && this->versionsWithin(record.origin.pool, record.expiresAt - _now, _now).size() > 1;
		if (!needed)
		{
			continue;
		}
		const std::vector<std::string> held = rendezvousNodes(record.request, before, this->config.holders);
		for (const std::string& holder : this->holdersOf(record.request))
		{
			if (std::find(held.begin(), held.end(), holder) == held.end())
			{
				StreamRecord sent = record;
				sent.expiresAt -= _now;
				messages[holder].records.push_back(std::move(sent));
			}
		}
	}
	for (auto& message : messages)
	{
		actions.emplace_back(SendOriginMessage{message.first, std::move(message.second)});
	}
	return actions;
}

/// Sends to a node the own records that it holds.
void StreamOrigins::sendOwnRecords(const std::string& _to, Micros _now, OriginActions& _actions) const
{
	OriginRecords message;
	for (const auto& entry : this->entries)
	{
		const std::vector<std::string> holders = this->holdersOf(entry.first);
		const bool holds = std::find(holders.begin(), holders.end(), _to) != holders.end();
		if (entry.second.isOwn && holds)
		{
			StreamRecord sent = entry.second.record;
			sent.expiresAt -= _now;
			message.records.push_back(std::move(sent));
		}
	}
	if (!message.records.empty())
	{
		_actions.emplace_back(SendOriginMessage{_to, std::move(message)});
	}
}

OriginActions StreamOrigins::setEndpoints(const std::vector<Endpoint>& _endpoints, Micros _now)
{
	std::map<std::string, std::set<std::string>> listed;
	for (const Endpoint& endpoint : _endpoints)
	{
		listed[endpoint.pool].insert(endpoint.softwareVersion);
	}
	this->observedSince = this->observedSince == 0 ? _now : this->observedSince;
	bool hasNewVersion = false;
	for (const auto& entry : listed)
	{
		const std::set<std::string>& before = this->pools[entry.first].listed;
		const auto isNew = [&](const std::string& _version) { return before.count(_version) == 0; };
		hasNewVersion =
			hasNewVersion || (!before.empty() && std::any_of(entry.second.begin(), entry.second.end(), isNew));
	}
	for (auto& entry : this->pools)
	{
		const std::set<std::string>& now = listed[entry.first];
		for (const std::string& version : entry.second.listed)
		{
			if (now.count(version) == 0)
			{
				entry.second.unlistedAt[version] = _now;
			}
		}
	}
	for (auto& entry : listed)
	{
		this->pools[entry.first].listed = std::move(entry.second);
	}
	OriginActions actions;
	if (hasNewVersion)
	{
		for (const std::string& node : this->others)
		{
			this->sendOwnRecords(node, _now, actions);
		}
	}
	return actions;
}

std::set<std::string> StreamOrigins::versionsWithin(const std::string& _pool, Micros _within, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return {};
	}
	std::set<std::string> versions = found->second.listed;
	for (const auto& entry : found->second.unlistedAt)
	{
		if (_now - entry.second <= _within)
		{
			versions.insert(entry.first);
		}
	}
	return versions;
}

void StreamOrigins::store(const StreamRecord& _record, bool _isOwn)
{
	const auto [found, isNew] = this->entries.try_emplace(_record.request);
	Entry& entry = found->second;
	if (!isNew)
	{
		this->expiries.erase({entry.record.expiresAt, _record.request});
	}
	// The version that began a stream never changes; a later record may extend its life.
	const Micros expiresAt = std::max(entry.record.expiresAt, _record.expiresAt);
	entry.record = isNew ? _record : entry.record;
	entry.record.expiresAt = expiresAt;
	entry.isOwn = entry.isOwn || _isOwn;
	this->expiries.emplace(expiresAt, _record.request);
	while (this->entries.size() > this->config.maxRecords)
	{
		this->entries.erase(this->expiries.begin()->second);
		this->expiries.erase(this->expiries.begin());
	}
}

OriginActions StreamOrigins::record(const StreamRecord& _record, Micros _now)
{
	this->store(_record, true);
	OriginActions actions;
	if (this->versionsWithin(_record.origin.pool, _record.expiresAt - _now, _now).size() <= 1)
	{
		return actions;
	}
	StreamRecord sent = _record;
	sent.expiresAt -= _now;
	for (const std::string& holder : this->holdersOf(_record.request))
	{
		actions.emplace_back(SendOriginMessage{holder, OriginRecords{{sent}}});
	}
	return actions;
}

OriginLookup StreamOrigins::find(const std::string& _request, const std::string& _pool, Micros _within, Micros _now)
{
	OriginLookup started{++this->lastLookup, {}};
	const auto known = this->entries.find(_request);
	if (known != this->entries.end())
	{
		started.actions.emplace_back(OriginResolved{started.id, known->second.record.origin, "this node"});
		return started;
	}
	Lookup lookup{_request, _pool, _within, _now + this->config.lookupTimeout, {}, {}};
	if (!this->isOnlyVersionKnown(lookup, _now))
	{
		for (const std::string& node : rendezvousNodes(_request, this->others, this->config.askedNodes))
		{
			lookup.awaited.insert(node);
			started.actions.emplace_back(SendOriginMessage{node, OriginQuery{started.id, _request, _pool, _within}});
		}
	}
	const bool isComplete = lookup.awaited.empty();
	this->lookups.emplace(started.id, std::move(lookup));
	if (isComplete)
	{
		this->conclude(started.id, _now, started.actions);
	}
	return started;
}

/// Whether this node alone knows that only one version can have begun the stream.
bool StreamOrigins::isOnlyVersionKnown(const Lookup& _lookup, Micros _now) const
{
	const bool hasWatchedLongEnough = this->observedSince > 0 && _now - this->observedSince >= _lookup.within;
	return hasWatchedLongEnough && this->versionsWithin(_lookup.pool, _lookup.within, _now).size() == 1;
}

/// Ends a lookup to which no node gave the origin.
void StreamOrigins::conclude(std::uint64_t _lookup, Micros _now, OriginActions& _actions)
{
	const auto found = this->lookups.find(_lookup);
	const Lookup& lookup = found->second;
	std::set<std::string> versions = this->versionsWithin(lookup.pool, lookup.within, _now);
	versions.insert(lookup.versions.begin(), lookup.versions.end());
	OriginResolved resolved{_lookup, std::nullopt, "unknown"};
	if (versions.size() == 1)
	{
		resolved.origin = StreamOrigin{lookup.pool, *versions.begin()};
		resolved.source = "only version";
	}
	this->lookups.erase(found);
	_actions.emplace_back(std::move(resolved));
}

OriginAnswer StreamOrigins::answer(const OriginQuery& _query, Micros _now) const
{
	OriginAnswer answer;
	answer.lookup = _query.lookup;
	const auto known = this->entries.find(_query.request);
	if (known != this->entries.end())
	{
		answer.origin = known->second.record.origin;
	}
	const std::set<std::string> versions = this->versionsWithin(_query.pool, _query.within, _now);
	answer.versions.assign(versions.begin(), versions.end());
	return answer;
}

void StreamOrigins::onAnswer(const std::string& _from, const OriginAnswer& _answer, Micros _now,
							 OriginActions& _actions)
{
	const auto found = this->lookups.find(_answer.lookup);
	if (found == this->lookups.end() || found->second.awaited.erase(_from) == 0)
	{
		return;
	}
	if (_answer.origin)
	{
		this->store(StreamRecord{found->second.request, *_answer.origin, _now + found->second.within}, false);
		this->lookups.erase(found);
		_actions.emplace_back(OriginResolved{_answer.lookup, _answer.origin, _from});
		return;
	}
	found->second.versions.insert(_answer.versions.begin(), _answer.versions.end());
	if (found->second.awaited.empty())
	{
		this->conclude(_answer.lookup, _now, _actions);
	}
}

OriginActions StreamOrigins::receive(const std::string& _from, const OriginMessage& _message, Micros _now)
{
	OriginActions actions;
	std::visit(Overloaded{[&](const OriginRecords& _records)
						  {
							  for (StreamRecord record : _records.records)
							  {
								  record.expiresAt += _now;
								  this->store(record, false);
							  }
						  },
						  [&](const OriginQuery& _query) {
							  actions.emplace_back(SendOriginMessage{_from, this->answer(_query, _now)});
						  },
						  [&](const OriginAnswer& _answer) { this->onAnswer(_from, _answer, _now, actions); }},
			   _message);
	return actions;
}

OriginActions StreamOrigins::peerClosed(const std::string& _peer, Micros _now)
{
	this->resendAt[_peer] = _now + this->config.restartDelay;
	std::vector<std::uint64_t> unanswered;
	for (auto& entry : this->lookups)
	{
		if (entry.second.awaited.erase(_peer) > 0 && entry.second.awaited.empty())
		{
			unanswered.push_back(entry.first);
		}
	}
	OriginActions actions;
	for (const std::uint64_t lookup : unanswered)
	{
		this->conclude(lookup, _now, actions);
	}
	return actions;
}

void StreamOrigins::expire(Micros _now)
{
	while (!this->expiries.empty() && this->expiries.begin()->first <= _now)
	{
		this->entries.erase(this->expiries.begin()->second);
		this->expiries.erase(this->expiries.begin());
	}
}

OriginActions StreamOrigins::tick(Micros _now)
{
	OriginActions actions;
	this->expire(_now);
	std::vector<std::uint64_t> overdue;
	for (const auto& entry : this->lookups)
	{
		if (entry.second.deadline <= _now)
		{
			overdue.push_back(entry.first);
		}
	}
	for (const std::uint64_t lookup : overdue)
	{
		this->conclude(lookup, _now, actions);
	}
	for (auto entry = this->resendAt.begin(); entry != this->resendAt.end();)
	{
		if (entry->second > _now)
		{
			++entry;
			continue;
		}
		this->sendOwnRecords(entry->first, _now, actions);
		entry = this->resendAt.erase(entry);
	}
	return actions;
}

std::size_t StreamOrigins::size() const
{
	return this->entries.size();
}

} // namespace roadferry
