/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the directory of endpoints.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

namespace
{

/// Removed entries that are kept, enough for some minutes. A node that holds an older revision gets a snapshot.
constexpr std::size_t kMaxUnlistedKept = 1'000;

} // namespace

EndpointDirectory::EndpointDirectory(DirectoryConfig _config) : config(_config)
{
}

bool EndpointDirectory::inRelistGrace(Micros _now) const
{
	return _now < this->relistGraceEndsAt;
}

/// Advances the time point of completeness. Starts the grace period after a long gap, in which the listing may have
/// been unavailable.
void EndpointDirectory::advanceAsOf(Micros _asOf, Micros _now)
{
	if (this->asOf > 0 && _asOf - this->asOf > this->config.maxListingGap)
	{
		this->relistGraceEndsAt = _now + this->config.relistGrace;
	}
	this->asOf = std::max(this->asOf, _asOf);
}

void EndpointDirectory::applyListed(const ListedEndpoint& _listed)
{
	const auto held = this->entries.find(_listed.name);
	const bool isOlder =
		held == this->entries.end() ? _listed.position < this->logPosition : _listed.position < held->second.position;
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
		this->leavingIds.insert(_listed.endpoint.id);
	}
	ListedEndpoint updated = _listed;
	updated.endpoint.leaving = this->leavingIds.count(_listed.endpoint.id) > 0;
	const bool isHeldInstance = held != this->entries.end() && held->second.endpoint.id == _listed.endpoint.id;
	if (isHeldInstance && updated.endpoint.softwareVersion.empty())
	{
		// A node of an earlier version passes entries on without it.
		updated.endpoint.softwareVersion = held->second.endpoint.softwareVersion;
	}
	if (isHeldInstance)
	{
		this->noteReusedId(held->second, updated);
	}
	if (this->differs(updated))
	{
		this->entries[_listed.name] = std::move(updated);
		this->changeRevisions[_listed.name] = ++this->revision;
	}
	else if (isNewer)
	{
		held->second.position = _listed.position; // The entry was only renewed.
	}
}

/// Records whether another process has the id of an entry without a start.
void EndpointDirectory::noteReusedId(const ListedEndpoint& _held, const ListedEndpoint& _listed)
{
	const std::string& before = _held.endpoint.softwareVersion;
	if (_listed.startedAt == 0 && !before.empty() && before != _listed.endpoint.softwareVersion)
	{
		this->poolsReusingIds.insert(_listed.endpoint.pool);
	}
}

/// @returns Whether a later process may take calls that name the endpoint.
bool EndpointDirectory::needsEvidence(const ListedEndpoint& _listed) const
{
	return _listed.startedAt > 0 || this->poolsReusingIds.count(_listed.endpoint.pool) > 0;
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
	this->changeRevisions.erase(_name);
	this->unlistedByRevision.emplace(++this->revision, _name);
	if (this->unlistedByRevision.size() > kMaxUnlistedKept)
	{
		this->prunedUpTo = this->unlistedByRevision.begin()->first;
		this->unlistedByRevision.erase(this->unlistedByRevision.begin());
	}
}

DirectoryChanges EndpointDirectory::changesSince(std::uint64_t _revision) const
{
	DirectoryChanges changes;
	changes.revision = this->revision;
	changes.position = this->logPosition;
	changes.isSnapshot = _revision == 0 || _revision < this->prunedUpTo || _revision > this->revision;
	const std::uint64_t since = changes.isSnapshot ? 0 : _revision;
	for (const auto& entry : this->changeRevisions)
	{
		if (entry.second > since)
		{
			changes.listed.push_back(this->entries.at(entry.first));
		}
	}
	for (auto entry = this->unlistedByRevision.upper_bound(since);
		 !changes.isSnapshot && entry != this->unlistedByRevision.end(); ++entry)
	{
		if (this->entries.count(entry->second) == 0)
		{
			changes.unlisted.push_back(entry->second);
		}
	}
	return changes;
}

void EndpointDirectory::merge(const DirectoryChanges& _changes, Micros _asOf, Micros _now)
{
	this->advanceAsOf(_asOf, _now);
	std::set<std::string> present;
	for (const ListedEndpoint& entry : _changes.listed)
	{
		present.insert(entry.name);
		this->applyListed(entry);
	}
	// The other node has already waited the grace period.
	for (const std::string& name : _changes.unlisted)
	{
		this->dropIfOlder(UnlistedEndpoint{name, _changes.position});
	}
	if (_changes.isSnapshot)
	{
		for (const UnlistedEndpoint& removal : this->entriesAbsentFrom(present, _changes.position))
		{
			this->dropIfOlder(removal);
		}
	}
	this->advanceTo(_changes.position, _now);
}

/// Drops the entry with this name if its position is before the removal.
void EndpointDirectory::dropIfOlder(const UnlistedEndpoint& _removal)
{
	const auto held = this->entries.find(_removal.name);
	if (held != this->entries.end() && held->second.position < _removal.position)
	{
		this->missing.erase(_removal.name);
		this->drop(_removal.name);
	}
}

/// Drops a removed entry, or keeps it as missing during the grace period, in which it may merely have expired.
void EndpointDirectory::applyUnlisted(const UnlistedEndpoint& _removal, Micros _now)
{
	const auto held = this->entries.find(_removal.name);
	const bool applies = held != this->entries.end() && held->second.position < _removal.position;
	if (applies && this->inRelistGrace(_now) && !held->second.endpoint.leaving)
	{
		this->missing.insert(_removal.name);
		return;
	}
	this->dropIfOlder(_removal);
}

/// @param[in] _present Names in a snapshot.
/// @param[in] _position Position of the snapshot.
/// @returns Removals of the entries that are absent from the snapshot.
std::vector<UnlistedEndpoint> EndpointDirectory::entriesAbsentFrom(const std::set<std::string>& _present,
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
	if (_position > this->logPosition)
	{
		this->logPosition = _position;
		this->positionAdvancedAt = _now;
	}
}

/// Called when the platform's log has restarted: all held entries count as older than those of the new log.
void EndpointDirectory::resetPositions()
{
	this->logPosition = 0;
	for (auto& entry : this->entries)
	{
		entry.second.position = 0;
	}
}

void EndpointDirectory::markLeaving(const std::string& _id)
{
	this->leavingIds.insert(_id);
	for (auto& entry : this->entries)
	{
		if (entry.second.endpoint.id == _id && !entry.second.endpoint.leaving)
		{
			entry.second.endpoint.leaving = true;
			this->changeRevisions[entry.first] = ++this->revision;
		}
	}
}

bool EndpointDirectory::applyRead(const ListingRead& _read, Micros _now)
{
	const std::uint64_t before = this->revision;
	this->advanceAsOf(_read.asOf, _now);
	this->lastReadAsOf = _read.asOf;
	const Micros writtenAfter = this->readWholeAsOf;
	this->readWholeAsOf = _read.isTruncated ? this->readWholeAsOf : _read.asOf;
	// A read that started before another node's response advanced the position is merged like any other: its lower
	// position does not mean that the log has restarted.
	const bool logRestarted =
		_read.isSnapshot && _read.position < this->logPosition && _read.asOf > this->positionAdvancedAt;
	if (logRestarted)
	{
		this->resetPositions();
	}
	std::set<std::string> present;
	for (const ListingChange& change : _read.changes)
	{
		std::visit(Overloaded{[&](const ListedEndpoint& _listed)
							  {
								  present.insert(_listed.name);
								  const bool isApplied = this->applyReadEntry(_listed, _now);
								  // A snapshot does not tell when its entries were written.
								  if (isApplied && !_read.isSnapshot)
								  {
									  this->prove(_listed, writtenAfter);
								  }
							  },
							  [&](const UnlistedEndpoint& _removal)
							  {
								  this->olderInstances.erase(_removal.name);
								  this->applyUnlisted(_removal, _now);
							  },
							  [&](const UnusableEntry& _entry)
							  {
								  this->olderInstances.erase(_entry.name);
								  this->dropIfOlder(UnlistedEndpoint{_entry.name, _entry.position});
							  }},
				   change);
	}
	if (_read.isSnapshot)
	{
		for (const UnlistedEndpoint& removal : this->entriesAbsentFrom(present, _read.position))
		{
			this->applyUnlisted(removal, _now);
		}
	}
	this->advanceTo(_read.position, _now);
	this->expire(_now);
	return this->revision != before;
}

/// Applies an entry of an own read. Instances of one endpoint are ordered by its clock, unless the clock was set back.
/// @returns Whether the entry describes the instance that is held.
bool EndpointDirectory::applyReadEntry(const ListedEndpoint& _listed, Micros _now)
{
	const auto held = this->entries.find(_listed.name);
	const bool isOlderInstance = held != this->entries.end() && _listed.position > held->second.position &&
								 _listed.startedAt > 0 && _listed.startedAt < held->second.startedAt;
	if (!isOlderInstance)
	{
		this->olderInstances.erase(_listed.name);
		this->applyListed(_listed);
		const auto applied = this->entries.find(_listed.name);
		return applied != this->entries.end() && applied->second.endpoint.id == _listed.endpoint.id;
	}
	this->olderInstances.try_emplace(_listed.name, OlderInstance{_listed, _now}).first->second.entry = _listed;
	return false;
}

/// Records that the process of an entry still ran after a time point, at which it may have sent its last write.
void EndpointDirectory::prove(const ListedEndpoint& _listed, Micros _writtenAfter)
{
	const Micros ranAt = _writtenAfter - this->config.lateWrite;
	if (this->needsEvidence(_listed) && ranAt > 0)
	{
		this->proofs.push_back(ProcessProof{_listed.endpoint.id, ranAt});
	}
}

std::vector<ProcessProof> EndpointDirectory::takeProofs()
{
	return std::exchange(this->proofs, {});
}

bool EndpointDirectory::adoptOlderInstances(Micros _now)
{
	const std::uint64_t before = this->revision;
	for (auto entry = this->olderInstances.begin(); entry != this->olderInstances.end();)
	{
		if (_now - entry->second.firstReadAt < this->config.olderInstanceGrace)
		{
			++entry;
			continue;
		}
		if (this->entries.count(entry->first) > 0)
		{
			this->applyListed(entry->second.entry);
		}
		entry = this->olderInstances.erase(entry);
	}
	return this->revision != before;
}

bool EndpointDirectory::expire(Micros _now)
{
	const bool adopted = this->adoptOlderInstances(_now);
	if (this->inRelistGrace(_now) || this->missing.empty())
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
		if (this->needsEvidence(entry.second))
		{
			result.back().sharedName = entry.first;
			result.back().tellsStart = entry.second.startedAt > 0;
		}
	}
	return result;
}

const std::set<std::string>& EndpointDirectory::leaving() const
{
	return this->leavingIds;
}

Micros EndpointDirectory::ownReadAsOf() const
{
	return this->lastReadAsOf;
}

Micros EndpointDirectory::completeAsOf() const
{
	return this->asOf;
}

std::uint64_t EndpointDirectory::latestRevision() const
{
	return this->revision;
}

std::uint64_t EndpointDirectory::position() const
{
	return this->logPosition;
}

} // namespace roadferry
