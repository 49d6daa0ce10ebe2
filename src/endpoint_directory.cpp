/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Endpoints of a listing that can be away.

#include <roadferry/roadferry.h>

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

/// After a gap in what is known the listing may have been away.
void EndpointDirectory::noteKnown(Micros _knownAt, Micros _now)
{
	if (this->knownAt > 0 && _knownAt - this->knownAt > this->config.lapseAfter)
	{
		this->doubtUntil = _now + this->config.relistGrace;
	}
	this->knownAt = std::max(this->knownAt, _knownAt);
}

void EndpointDirectory::listed(const ListedEndpoint& _listed)
{
	const auto held = this->entries.find(_listed.name);
	const bool isOlder =
		held == this->entries.end() ? _listed.position < this->readUpTo : _listed.position < held->second.position;
	if (isOlder)
	{
		return;
	}
	const bool isNewer = held == this->entries.end() || _listed.position > held->second.position;
	if (isNewer)
	{
		this->missing.erase(_listed.name);
	}
	if (_listed.endpoint.leaving)
	{
		this->left.insert(_listed.endpoint.id);
	}
	ListedEndpoint updated = _listed;
	updated.endpoint.leaving = this->left.count(_listed.endpoint.id) > 0;
	if (this->differs(updated))
	{
		this->entries[_listed.name] = std::move(updated);
		this->changedAt[_listed.name] = ++this->revision;
	}
	else if (isNewer)
	{
		held->second.position = _listed.position; // Renewed.
	}
}

bool EndpointDirectory::differs(const ListedEndpoint& _listed) const
{
	const auto held = this->entries.find(_listed.name);
	return held == this->entries.end() || held->second.endpoint != _listed.endpoint ||
		   held->second.startedAt != _listed.startedAt;
}

void EndpointDirectory::drop(const std::string& _name)
{
	this->entries.erase(_name);
	this->changedAt.erase(_name);
	this->unlistedAt.emplace(++this->revision, _name);
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

void EndpointDirectory::take(const DirectoryChanges& _changes, Micros _knownAt, Micros _now)
{
	this->noteKnown(_knownAt, _now);
	std::set<std::string> present;
	for (const ListedEndpoint& entry : _changes.listed)
	{
		present.insert(entry.name);
		this->listed(entry);
	}
	// The other node has waited for them to come back.
	for (const std::string& name : _changes.unlisted)
	{
		this->dropUpTo(UnlistedEndpoint{name, _changes.position});
	}
	if (_changes.whole)
	{
		for (const UnlistedEndpoint& gone : this->absentFrom(present, _changes.position))
		{
			this->dropUpTo(gone);
		}
	}
	this->advanceTo(_changes.position, _now);
}

/// Drops an entry, unless a later one is held.
void EndpointDirectory::dropUpTo(const UnlistedEndpoint& _gone)
{
	const auto held = this->entries.find(_gone.name);
	if (held != this->entries.end() && held->second.position < _gone.position)
	{
		this->missing.erase(_gone.name);
		this->drop(_gone.name);
	}
}

/// Drops an entry that has gone, or keeps it for a while where it may have lapsed.
void EndpointDirectory::unlisted(const UnlistedEndpoint& _gone, Micros _now)
{
	const auto held = this->entries.find(_gone.name);
	const bool applies = held != this->entries.end() && held->second.position < _gone.position;
	if (applies && this->inDoubt(_now) && !held->second.endpoint.leaving)
	{
		this->missing.insert(_gone.name);
		return;
	}
	this->dropUpTo(_gone);
}

/// @returns Entries that are not in a listing of that position.
std::vector<UnlistedEndpoint> EndpointDirectory::absentFrom(const std::set<std::string>& _present,
															std::uint64_t _position) const
{
	std::vector<UnlistedEndpoint> absent;
	for (const auto& entry : this->entries)
	{
		if (_present.count(entry.first) == 0)
		{
			absent.push_back(UnlistedEndpoint{entry.first, _position});
		}
	}
	return absent;
}

void EndpointDirectory::advanceTo(std::uint64_t _position, Micros _now)
{
	if (_position > this->readUpTo)
	{
		this->readUpTo = _position;
		this->advancedAt = _now;
	}
}

/// The platform's log has begun anew: what is held is older than all that it has.
void EndpointDirectory::startOver()
{
	this->readUpTo = 0;
	for (auto& entry : this->entries)
	{
		entry.second.position = 0;
	}
}

void EndpointDirectory::markLeaving(const std::string& _id)
{
	this->left.insert(_id);
	for (auto& entry : this->entries)
	{
		if (entry.second.endpoint.id == _id && !entry.second.endpoint.leaving)
		{
			entry.second.endpoint.leaving = true;
			this->changedAt[entry.first] = ++this->revision;
		}
	}
}

bool EndpointDirectory::read(const ListingRead& _read, Micros _now)
{
	const std::uint64_t before = this->revision;
	this->noteKnown(_read.begunAt, _now);
	this->lastRead = _read.begunAt;
	// A reading that was begun before more was heard from another node is merged like any other.
	const bool beganAnew = _read.whole && _read.position < this->readUpTo && _read.begunAt > this->advancedAt;
	if (beganAnew)
	{
		this->startOver();
	}
	std::set<std::string> present;
	for (const ListingChange& change : _read.changes)
	{
		std::visit(Overloaded{[&](const ListedEndpoint& _listed)
							  {
								  present.insert(_listed.name);
								  this->listedHere(_listed, _now);
							  },
							  [&](const UnlistedEndpoint& _gone)
							  {
								  this->earlierStarts.erase(_gone.name);
								  this->unlisted(_gone, _now);
							  },
							  [&](const UnusableEntry& _entry)
							  {
								  this->earlierStarts.erase(_entry.name);
								  this->dropUpTo(UnlistedEndpoint{_entry.name, _entry.position});
							  }},
				   change);
	}
	if (_read.whole)
	{
		for (const UnlistedEndpoint& gone : this->absentFrom(present, _read.position))
		{
			this->unlisted(gone, _now);
		}
	}
	this->advanceTo(_read.position, _now);
	this->expire(_now);
	return this->revision != before;
}

/// Takes an entry that was read here. Starts of one endpoint are in the order of its clock, unless that was set back.
void EndpointDirectory::listedHere(const ListedEndpoint& _listed, Micros _now)
{
	const auto held = this->entries.find(_listed.name);
	const bool isEarlierStart = held != this->entries.end() && _listed.position > held->second.position &&
								_listed.startedAt > 0 && _listed.startedAt < held->second.startedAt;
	if (!isEarlierStart)
	{
		this->earlierStarts.erase(_listed.name);
		this->listed(_listed);
		return;
	}
	this->earlierStarts.try_emplace(_listed.name, EarlierStart{_listed, _now}).first->second.entry = _listed;
}

bool EndpointDirectory::adoptEarlierStarts(Micros _now)
{
	const std::uint64_t before = this->revision;
	for (auto entry = this->earlierStarts.begin(); entry != this->earlierStarts.end();)
	{
		if (_now - entry->second.since < this->config.earlierStartGrace)
		{
			++entry;
			continue;
		}
		if (this->entries.count(entry->first) > 0)
		{
			this->listed(entry->second.entry);
		}
		entry = this->earlierStarts.erase(entry);
	}
	return this->revision != before;
}

bool EndpointDirectory::expire(Micros _now)
{
	const bool adopted = this->adoptEarlierStarts(_now);
	if (this->inDoubt(_now) || this->missing.empty())
	{
		return adopted;
	}
	for (const std::string& name : this->missing)
	{
		this->drop(name);
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
		result.push_back(entry.second.endpoint);
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

Micros EndpointDirectory::knownUpTo() const
{
	return this->knownAt;
}

std::uint64_t EndpointDirectory::latestRevision() const
{
	return this->revision;
}

std::uint64_t EndpointDirectory::position() const
{
	return this->readUpTo;
}

} // namespace roadferry
