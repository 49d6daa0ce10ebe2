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
	Endpoint& entry = this->entries[_endpoint.id];
	entry = _endpoint;
	entry.leaving = this->left.count(_endpoint.id) > 0;
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
	this->entries.erase(_id);
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
	if (found != this->entries.end())
	{
		found->second.leaving = true;
	}
}

void EndpointDirectory::readWell(Micros _now, bool _wasAway)
{
	if (_wasAway)
	{
		this->doubtUntil = _now + this->config.relistGrace;
	}
	this->lastRead = _now;
}

bool EndpointDirectory::expire(Micros _now)
{
	if (this->inDoubt(_now) || this->missing.empty())
	{
		return false;
	}
	for (const std::string& id : this->missing)
	{
		this->entries.erase(id);
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

} // namespace roadferry
