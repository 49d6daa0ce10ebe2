/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of StreamOrigins.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

StreamOrigins::StreamOrigins(std::string _self, StreamOriginsConfig _config)
	: self(std::move(_self)), config(_config), pools(_config.versionMemory), saver(this->self, _config.saver),
	  lastLookup(_config.firstLookup)
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
	this->saver.setOthers(members);
	std::map<std::string, OriginRecords> messages;
	for (const auto& entry : this->entries)
	{
		const StreamRecord& record = entry.second.record;
		const bool needed = entry.second.isOwn && this->mayBeTakenUp(record) &&
							this->pools.within(record.origin.pool, record.expiresAt - _now, _now).size() > 1;
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

/// Whether a stream may be taken up again, by the route under which it began or by those of now.
bool StreamOrigins::mayBeTakenUp(const StreamRecord& _record) const
{
	return _record.origin.isResumable || this->resumablePools.count(_record.origin.pool) > 0;
}

/// Sends to a node the own records that it holds.
void StreamOrigins::sendOwnRecords(const std::string& _to, Micros _now, OriginActions& _actions) const
{
	OriginRecords message;
	for (const auto& entry : this->entries)
	{
		const std::vector<std::string> holders = this->holdersOf(entry.first);
		const bool holds = std::find(holders.begin(), holders.end(), _to) != holders.end();
		if (entry.second.isOwn && holds && this->mayBeTakenUp(entry.second.record))
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

OriginActions StreamOrigins::setEndpoints(const std::vector<Endpoint>& _endpoints, bool _isComplete, Micros _now)
{
	OriginActions actions;
	const bool hasNewVersion = this->pools.setListed(_endpoints, _isComplete, _now);
	this->saveVersions(_now, actions);
	if (!hasNewVersion)
	{
		return actions;
	}
	for (const std::string& node : this->others)
	{
		this->sendOwnRecords(node, _now, actions);
	}
	for (const auto& entry : this->entries)
	{
		const StreamOrigin& origin = entry.second.record.origin;
		if (entry.second.isOwn && origin.isResumable && this->pools.isAmbiguous(origin.pool, _now))
		{
			this->saver.add(entry.second.record);
		}
	}
	return actions;
}

OriginActions StreamOrigins::setListedUpTo(Micros _asOf, bool _isAvailable, Micros _now)
{
	this->listedUpTo = std::max(this->listedUpTo, _asOf);
	this->canReadListing = _isAvailable;
	OriginActions actions;
	this->concludeDone(_now, actions);
	return actions;
}

OriginActions StreamOrigins::setResumablePools(const std::set<std::string>& _pools, Micros _now)
{
	const std::set<std::string> before = std::exchange(this->resumablePools, _pools);
	this->savedPools.insert(_pools.begin(), _pools.end());
	const bool isNeeded = std::any_of(_pools.begin(), _pools.end(),
									  [&](const std::string& _pool)
									  { return before.count(_pool) == 0 && this->pools.isAmbiguous(_pool, _now); });
	OriginActions actions;
	if (isNeeded)
	{
		for (const std::string& node : this->others)
		{
			this->sendOwnRecords(node, _now, actions);
		}
	}
	return actions;
}

void StreamOrigins::onListingGap(Micros _now)
{
	this->pools.restartObservation(_now);
}

void StreamOrigins::store(const StreamRecord& _record, bool _isOwn)
{
	const auto [found, isNew] = this->entries.try_emplace(_record.request);
	Entry& entry = found->second;
	if (!isNew)
	{
		this->expiriesOf(entry.record).erase({entry.record.expiresAt, _record.request});
	}
	// The version that began a stream never changes; a later record may extend its life.
	const Micros expiresAt = std::max(entry.record.expiresAt, _record.expiresAt);
	entry.record = isNew ? _record : entry.record;
	entry.record.expiresAt = expiresAt;
	entry.isOwn = entry.isOwn || _isOwn;
	this->expiriesOf(entry.record).emplace(expiresAt, _record.request);
	while (this->entries.size() > this->config.maxRecords)
	{
		this->eraseFirst(this->otherExpiries.empty() ? this->expiries : this->otherExpiries);
	}
}

StreamOrigins::Expiries& StreamOrigins::expiriesOf(const StreamRecord& _record)
{
	return _record.origin.isResumable ? this->expiries : this->otherExpiries;
}

void StreamOrigins::eraseFirst(Expiries& _expiries)
{
	this->entries.erase(_expiries.begin()->second);
	_expiries.erase(_expiries.begin());
}

OriginActions StreamOrigins::record(const StreamRecord& _record, Micros _now)
{
	this->store(_record, true);
	OriginActions actions;
	if (_record.origin.isResumable && this->pools.isAmbiguous(_record.origin.pool, _now))
	{
		this->saver.add(_record);
	}
	const bool isAmbiguous = this->pools.within(_record.origin.pool, _record.expiresAt - _now, _now).size() > 1;
	if (!isAmbiguous || !this->mayBeTakenUp(_record))
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

OriginLookup StreamOrigins::find(const std::string& _request, const std::string& _pool, Micros _within, Micros _now,
								 bool _needsRecord)
{
	OriginLookup started{++this->lastLookup, {}};
	const Micros within = std::max(_within, this->config.minStreamAge);
	const auto known = this->entries.find(_request);
	if (known != this->entries.end())
	{
		started.actions.emplace_back(OriginResolved{started.id, known->second.record.origin, "this node"});
		return started;
	}
	Lookup lookup{_request, _pool, within, _now, _now + this->config.lookupTimeout, 0, {}, {}, false, _needsRecord};
	for (const std::string& node : rendezvousNodes(_request, this->others, this->config.askedNodes))
	{
		lookup.awaited.insert(node);
		started.actions.emplace_back(SendOriginMessage{node, OriginQuery{started.id, _request, _pool, within}});
	}
	this->lookups.emplace(started.id, std::move(lookup));
	this->concludeIfDone(started.id, _now, started.actions);
	return started;
}

/// @returns The only version that a stream can have begun at, as far as this node and those that have answered know.
std::optional<std::string> StreamOrigins::onlyKnownVersion(const Lookup& _lookup, Micros _now) const
{
	if (_lookup.needsRecord)
	{
		return std::nullopt;
	}
	std::set<std::string> versions = this->pools.within(_lookup.pool, _lookup.within, _now);
	versions.insert(_lookup.versions.begin(), _lookup.versions.end());
	const bool areAllKnown = _lookup.areAllKnown || this->pools.isComplete(_lookup.pool, _lookup.within, _now);
	return areAllKnown && versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

/// Whether no other version can have joined unseen before a stream began: the listing is newer than the stream, or all
/// nodes that were asked have answered, among them those that would hold the stream's record.
bool StreamOrigins::isOnlyVersionCertain(const Lookup& _lookup) const
{
	return this->listedUpTo >= _lookup.startedAt || (_lookup.answers > 0 && _lookup.awaited.empty());
}

/// Whether a lookup that knows of one version waits for the next listing.
bool StreamOrigins::mayBecomeCertain(const Lookup& _lookup, Micros _now) const
{
	return this->canReadListing && _now - _lookup.startedAt < this->config.listingTimeout;
}

/// Ends a lookup once nothing more can come of it.
void StreamOrigins::concludeIfDone(std::uint64_t _lookup, Micros _now, OriginActions& _actions)
{
	const Lookup& lookup = this->lookups.at(_lookup);
	const bool hasOnlyVersion = this->onlyKnownVersion(lookup, _now).has_value();
	if (hasOnlyVersion && this->isOnlyVersionCertain(lookup))
	{
		this->conclude(_lookup, _now, _actions);
		return;
	}
	const bool isOver = !this->isWaiting(lookup) || lookup.deadline <= _now;
	if (isOver && !(hasOnlyVersion && this->mayBecomeCertain(lookup, _now)))
	{
		this->conclude(_lookup, _now, _actions);
	}
}

void StreamOrigins::concludeDone(Micros _now, OriginActions& _actions)
{
	std::vector<std::uint64_t> inProgress;
	for (const auto& entry : this->lookups)
	{
		inProgress.push_back(entry.first);
	}
	for (const std::uint64_t lookup : inProgress)
	{
		this->concludeIfDone(lookup, _now, _actions);
	}
}

/// Whether other nodes, or the platform, may still tell what a lookup needs.
bool StreamOrigins::isWaiting(const Lookup& _lookup) const
{
	return this->awaitsSaved || this->poolsInSave.count(_lookup.pool) > 0 || !_lookup.awaited.empty();
}

bool StreamOrigins::isAmbiguous(const std::string& _pool, Micros _now) const
{
	return this->pools.isAmbiguous(_pool, _now);
}

std::optional<std::string> StreamOrigins::onlyVersion(const std::string& _pool, Micros _within, Micros _now) const
{
	const Micros within = std::max(_within, this->config.minStreamAge);
	const std::set<std::string> versions = this->pools.within(_pool, within, _now);
	const bool isOnly = versions.size() == 1 && this->pools.isComplete(_pool, within, _now);
	return isOnly ? std::optional(*versions.begin()) : std::nullopt;
}

/// Ends a lookup to which no node gave the origin. That one version alone is known proves nothing: others may have left
/// before this process started.
void StreamOrigins::conclude(std::uint64_t _lookup, Micros _now, OriginActions& _actions)
{
	const auto found = this->lookups.find(_lookup);
	const Lookup& lookup = found->second;
	const std::optional<std::string> version = this->onlyKnownVersion(lookup, _now);
	OriginResolved resolved{_lookup, std::nullopt, "unknown"};
	if (version && this->isOnlyVersionCertain(lookup))
	{
		resolved.origin = StreamOrigin{lookup.pool, *version};
		resolved.source = "only version";
	}
	this->lookups.erase(found);
	_actions.emplace_back(std::move(resolved));
}

OriginActions StreamOrigins::setSaved(const SavedOrigins& _saved, Micros _now)
{
	this->awaitsSaved = false;
	for (const SavedEntry& entry : _saved)
	{
		std::visit(Overloaded{[&](const SavedVersions& _versions)
							  {
								  this->pools.addSaved(_versions, _now);
								  this->savedPools.insert(_versions.pool);
							  },
							  [&](const SavedStreams& _streams) { this->addSaved(_streams, _now); }},
				   entry);
	}
	this->pools.endLoading();
	OriginActions actions;
	this->saveVersions(_now, actions);
	for (auto entry = this->lookups.begin(); entry != this->lookups.end();)
	{
		const auto known = this->entries.find(entry->second.request);
		if (known != this->entries.end())
		{
			actions.emplace_back(OriginResolved{entry->first, known->second.record.origin, "platform"});
			entry = this->lookups.erase(entry);
			continue;
		}
		++entry;
	}
	this->concludeDone(_now, actions);
	return actions;
}

void StreamOrigins::addSaved(const SavedStreams& _streams, Micros _now)
{
	for (StreamRecord record : _streams.records)
	{
		this->pools.addSavedStream(record.origin.pool, record.origin.version, _now);
		record.expiresAt += _now;
		this->store(record, false);
	}
}

void StreamOrigins::onVersionsSaved(const SavedVersions& _saved, bool _succeeded, Micros _now)
{
	this->poolsInSave.erase(_saved.pool);
	if (!_succeeded)
	{
		this->nextVersionSaveAt = _now + this->config.versionSavePeriod;
		return;
	}
	this->pools.recordSaved(_saved);
}

void StreamOrigins::onRecordsSaved(const SaveStreamRecords& _save, bool _succeeded, Micros _now)
{
	this->saver.onSaved(_save, _succeeded, _now);
}

/// Saves versions that have changed. One node does it for a pool.
void StreamOrigins::saveVersions(Micros _now, OriginActions& _actions)
{
	std::vector<SavedVersions> unsavedVersions = this->pools.unsaved(_now);
	if (unsavedVersions.empty() || _now < this->nextVersionSaveAt)
	{
		return;
	}
	const std::vector<std::string> savers = this->saver.savers();
	for (SavedVersions& versions : unsavedVersions)
	{
		const bool isMine = this->savedPools.count(versions.pool) > 0 &&
							rendezvousNodes(versions.pool, savers, 1).front() == this->self;
		if (isMine && this->poolsInSave.insert(versions.pool).second)
		{
			_actions.emplace_back(std::move(versions));
		}
	}
}

void StreamOrigins::saveRecords(Micros _now, OriginActions& _actions)
{
	const std::optional<StreamSave> save = this->saver.next(_now);
	if (!save)
	{
		return;
	}
	std::visit(
		Overloaded{[&](const SaveStreamRecords& _save) { _actions.emplace_back(_save); },
				   [&](const PassOnStreamRecords& _passOn) {
					   _actions.emplace_back(SendOriginMessage{_passOn.to, OriginRecords{_passOn.records, true}});
				   }},
		*save);
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
	const std::set<std::string> versions = this->pools.within(_query.pool, _query.within, _now);
	answer.versions.assign(versions.begin(), versions.end());
	answer.isComplete = this->pools.isComplete(_query.pool, _query.within, _now);
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
	found->second.answers += 1;
	found->second.versions.insert(_answer.versions.begin(), _answer.versions.end());
	found->second.areAllKnown = found->second.areAllKnown || _answer.isComplete;
	this->concludeIfDone(_answer.lookup, _now, _actions);
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
								  if (_records.save)
								  {
									  this->saver.add(record);
								  }
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
	for (auto& entry : this->lookups)
	{
		entry.second.awaited.erase(_peer);
	}
	OriginActions actions;
	this->concludeDone(_now, actions);
	return actions;
}

void StreamOrigins::expire(Micros _now)
{
	for (Expiries* all : {&this->expiries, &this->otherExpiries})
	{
		while (!all->empty() && all->begin()->first <= _now)
		{
			this->eraseFirst(*all);
		}
	}
}

OriginActions StreamOrigins::tick(Micros _now)
{
	OriginActions actions;
	this->expire(_now);
	this->concludeDone(_now, actions);
	if (_now >= this->nextVersionCheckAt)
	{
		this->nextVersionCheckAt = _now + this->config.versionSavePeriod;
		this->saveVersions(_now, actions);
	}
	this->saveRecords(_now, actions);
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
