/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Endpoints of a listing that can be away.

#include <roadferry/parts/endpoints.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr std::size_t kUnlistedKept = 1'000; ///< Some minutes of endpoints that go; whoever lacks more takes the whole.

} // namespace

EndpointDirectory::EndpointDirectory(DirectoryConfig _config) : config(_config)
{
}

bool EndpointDirectory::inDoubt(Micros _now) const
{
	return _now < this->doubtUntil;
}

void EndpointDirectory::listed(const Endpoint& _endpoint, Micros)
{
	this->missing.erase(_endpoint.id);
	if (_endpoint.leaving)
	{
		this->left.insert(_endpoint.id);
	}
	Endpoint updated = _endpoint;
	updated.leaving = this->left.count(_endpoint.id) > 0;
	const auto [entry, isNew] = this->entries.try_emplace(_endpoint.id);
	if (isNew || entry->second != updated)
	{
		entry->second = std::move(updated);
		this->changedAt[_endpoint.id] = ++this->revision;
	}
}

void EndpointDirectory::drop(const std::string& _id)
{
	this->entries.erase(_id);
	this->changedAt.erase(_id);
	this->unlistedAt.emplace(++this->revision, _id);
	if (this->unlistedAt.size() > kUnlistedKept)
	{
		this->forgottenUpTo = this->unlistedAt.begin()->first;
		this->unlistedAt.erase(this->unlistedAt.begin());
	}
}

DirectoryChanges EndpointDirectory::changesSince(std::uint64_t _revision) const
{
	DirectoryChanges changes;
	changes.revision = this->revision;
	changes.position = this->readUpTo;
	changes.whole = _revision == 0 || _revision < this->forgottenUpTo || _revision > this->revision;
	const std::uint64_t since = changes.whole ? 0 : _revision;
	for (const auto& entry : this->changedAt)
	{
		if (entry.second > since)
		{
			changes.listed.push_back(this->entries.at(entry.first));
		}
	}
	for (auto entry = this->unlistedAt.upper_bound(since); !changes.whole && entry != this->unlistedAt.end(); ++entry)
	{
		if (this->entries.count(entry->second) == 0)
		{
			changes.unlisted.push_back(entry->second);
		}
	}
	return changes;
}

void EndpointDirectory::take(const DirectoryChanges& _changes, Micros _now)
{
	this->readUpTo = _changes.position;
	std::set<std::string> present;
	for (const Endpoint& endpoint : _changes.listed)
	{
		present.insert(endpoint.id);
		this->listed(endpoint, _now);
	}
	std::vector<std::string> gone = _changes.unlisted;
	for (const auto& entry : this->entries)
	{
		if (_changes.whole && present.count(entry.first) == 0)
		{
			gone.push_back(entry.first);
		}
	}
	for (const std::string& id : gone)
	{
		this->missing.erase(id);
		if (this->entries.count(id) > 0)
		{
			this->drop(id);
		}
	}
}

void EndpointDirectory::unlisted(const std::string& _id, Micros _now)
{
	if (this->entries.count(_id) == 0 || this->missing.count(_id) > 0)
	{
		return;
	}
	if (this->inDoubt(_now) && this->left.count(_id) == 0)
	{
		this->missing.insert(_id);
		return;
	}
	this->drop(_id);
}

void EndpointDirectory::relisted(const std::vector<Endpoint>& _endpoints, Micros _now)
{
	std::set<std::string> present;
	for (const Endpoint& endpoint : _endpoints)
	{
		present.insert(endpoint.id);
		this->listed(endpoint, _now);
	}
	std::vector<std::string> gone;
	for (const auto& entry : this->entries)
	{
		if (present.count(entry.first) == 0)
		{
			gone.push_back(entry.first);
		}
	}
	for (const std::string& id : gone)
	{
		this->unlisted(id, _now);
	}
}

void EndpointDirectory::markLeaving(const std::string& _id)
{
	this->left.insert(_id);
	const auto found = this->entries.find(_id);
	if (found != this->entries.end() && !found->second.leaving)
	{
		found->second.leaving = true;
		this->changedAt[_id] = ++this->revision;
	}
}

void EndpointDirectory::readWell(std::uint64_t _position, Micros _now, bool _wasAway)
{
	if (_wasAway)
	{
		this->doubtUntil = _now + this->config.relistGrace;
	}
	this->lastRead = _now;
	this->readUpTo = _position;
}

bool EndpointDirectory::expire(Micros _now)
{
	if (this->inDoubt(_now) || this->missing.empty())
	{
		return false;
	}
	for (const std::string& id : this->missing)
	{
		this->drop(id);
	}
	this->missing.clear();
	return true;
}

std::vector<Endpoint> EndpointDirectory::endpoints() const
{
	std::vector<Endpoint> result;
	result.reserve(this->entries.size());
	for (const auto& entry : this->entries)
	{
		result.push_back(entry.second);
	}
	return result;
}

const std::set<std::string>& EndpointDirectory::leaving() const
{
	return this->left;
}

Micros EndpointDirectory::readAt() const
{
	return this->lastRead;
}

std::uint64_t EndpointDirectory::position() const
{
	return this->readUpTo;
}

} // namespace roadferry
