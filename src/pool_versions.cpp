/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of PoolVersions.

#include <roadferry/parts/pool_versions.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

namespace
{

constexpr Micros kSavingMargin = 2 * kSecond; ///< Nodes see a version leave at different times.

} // namespace

PoolVersions::PoolVersions(Micros _memory) : memory(_memory)
{
}

void PoolVersions::unlist(Pool& _pool, const std::set<std::string>& _listed, Micros _now)
{
	for (const std::string& version : _pool.listed)
	{
		if (_listed.count(version) == 0)
		{
			_pool.unlistedAt[version] = _now;
		}
	}
	_pool.listed = _listed;
}

bool PoolVersions::setListed(const std::vector<Endpoint>& _endpoints, bool _isComplete, Micros _now)
{
	std::map<std::string, std::set<std::string>> listed;
	for (const Endpoint& endpoint : _endpoints)
	{
		listed[endpoint.pool].insert(endpoint.softwareVersion);
	}
	if (_isComplete && this->observedSince == 0)
	{
		this->observedSince = _now;
	}
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
		this->unlist(entry.second, listed[entry.first], _now);
	}
	return hasNewVersion;
}

void PoolVersions::restartObservation(Micros _now)
{
	this->observedSince = _now;
}

void PoolVersions::addEarlier(Pool& _pool, const std::string& _version, Micros _now)
{
	if (_pool.listed.count(_version) == 0)
	{
		_pool.unlistedAt[_version] = _now; // It may have been listed until the start of this process.
	}
}

void PoolVersions::addSaved(const SavedVersions& _saved, Micros _now)
{
	Pool& pool = this->pools[_saved.pool];
	pool.saved = _saved.versions;
	for (const std::string& version : _saved.versions)
	{
		addEarlier(pool, version, _now);
	}
}

void PoolVersions::addSavedStream(const std::string& _pool, const std::string& _version, Micros _now)
{
	const auto found = this->pools.find(_pool);
	const bool areVersionsSaved = found != this->pools.end() && found->second.saved.has_value();
	if (areVersionsSaved)
	{
		addEarlier(found->second, _version, _now);
	}
}

void PoolVersions::endLoading()
{
	this->savedKnown = true;
}

void PoolVersions::recordSaved(const SavedVersions& _saved)
{
	this->pools[_saved.pool].saved = _saved.versions;
}

std::set<std::string> PoolVersions::within(const std::string& _pool, Micros _within, Micros _now) const
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

bool PoolVersions::isComplete(const std::string& _pool, Micros _within, Micros _now) const
{
	if (this->observedSince == 0)
	{
		return false;
	}
	const auto found = this->pools.find(_pool);
	const bool isSaved = found != this->pools.end() && found->second.saved.has_value();
	return _now - this->observedSince >= _within || (isSaved && _within <= this->memory);
}

bool PoolVersions::isAmbiguous(const std::string& _pool, Micros _now) const
{
	return this->within(_pool, this->memory + kSavingMargin, _now).size() > 1;
}

std::vector<SavedVersions> PoolVersions::unsaved(Micros _now) const
{
	std::vector<SavedVersions> result;
	if (!this->savedKnown || this->observedSince == 0)
	{
		return result;
	}
	for (const auto& entry : this->pools)
	{
		const std::set<std::string> versions = this->within(entry.first, this->memory, _now);
		if (!versions.empty() && entry.second.saved != versions)
		{
			result.push_back(SavedVersions{entry.first, versions});
		}
	}
	return result;
}

} // namespace roadferry
