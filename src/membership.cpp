/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Membership by probes and gossip: in each period one node is probed, first directly, then indirectly through other
/// nodes. Updates of members are piggybacked on the messages of the probes.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <array>

namespace roadferry
{

namespace
{

constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect", "dead", "left"};
constexpr std::size_t kRetransmitFactor = 3; ///< An update is sent this many times the log2 of the number of members.
/// The suspicion timeout grows beyond two to the power of this many nodes.
constexpr std::size_t kSuspicionBaseLog2 = 3;
constexpr std::size_t kLeaveRecipients = 5;
/// A message carries the number of pending updates divided by this, within the configured bounds.
constexpr std::size_t kBacklogDivisor = 8;

/// @returns Whether an update of a member replaces the current record. At equal versions the worse state wins, then the
/// higher table offset.
bool overrides(const Member& _update, const Member& _current)
{
	if (_update.version != _current.version)
	{
		return _update.version > _current.version;
	}
	return _update.state > _current.state ||
		   (_update.state == _current.state && _update.tableOffset > _current.tableOffset);
}

bool isAlive(const Member& _member)
{
	return _member.state == MemberState::Alive || _member.state == MemberState::Suspect;
}

} // namespace

std::string_view nameOf(MemberState _state)
{
	return kStateNames.at(static_cast<std::size_t>(_state));
}

Membership::Membership(std::string _address, std::uint64_t _version, MembershipConfig _config, std::uint64_t _seed)
	: self(std::move(_address)), config(_config), random(static_cast<std::minstd_rand::result_type>(_seed))
{
	this->knownMembers[this->self] = Member{this->self, _version, MemberState::Alive, 0, 0};
	this->pendingUpdates[this->self] = PendingUpdate{};
}

void Membership::setSeeds(const std::vector<std::string>& _addresses)
{
	this->seeds = _addresses;
	std::erase(this->seeds, this->self);
}

void Membership::setTableOffset(std::uint64_t _offset)
{
	this->knownMembers.at(this->self).tableOffset = _offset;
}

void Membership::setProcessorPercent(std::int64_t _percent)
{
	this->knownMembers.at(this->self).processorPercent = _percent;
}

void Membership::setRelaysCalls(bool _relays)
{
	this->knownMembers.at(this->self).relaysCalls = _relays;
}

std::size_t Membership::log2OfMembers() const
{
	std::size_t result = 1;
	while ((std::size_t{1} << result) < this->knownMembers.size())
	{
		result += 1;
	}
	return result;
}

/// Sort key of a pending update, lowest first: members that are not alive, then those sent least often.
std::pair<bool, std::size_t> Membership::priorityOf(const std::string& _address, const PendingUpdate& _pending) const
{
	return {this->knownMembers.at(_address).state == MemberState::Alive, _pending.sendCount};
}

std::vector<Member> Membership::takeUpdates()
{
	std::vector<Member> updates = {this->knownMembers.at(this->self)};
	std::vector<std::map<std::string, PendingUpdate>::iterator> candidates;
	candidates.reserve(this->pendingUpdates.size());
	for (auto entry = this->pendingUpdates.begin(); entry != this->pendingUpdates.end(); ++entry)
	{
		candidates.push_back(entry);
	}
	const std::size_t wantedCount = std::clamp(candidates.size() / kBacklogDivisor, this->config.updatesPerMessage,
											   this->config.maxUpdatesPerMessage);
	const std::size_t count = std::min(candidates.size(), wantedCount);
	std::partial_sort(
		candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
		[this](const auto& _left, const auto& _right)
		{ return this->priorityOf(_left->first, _left->second) < this->priorityOf(_right->first, _right->second); });
	const std::size_t maxSends = kRetransmitFactor * this->log2OfMembers();
	for (std::size_t index = 0; index < count; ++index)
	{
		const auto pending = candidates[index];
		if (pending->first != this->self)
		{
			updates.push_back(this->knownMembers.at(pending->first));
		}
		pending->second.sendCount += 1;
		if (pending->second.sendCount >= maxSends)
		{
			this->pendingUpdates.erase(pending);
		}
	}
	return updates;
}

std::vector<Member> Membership::allMembers() const
{
	std::vector<Member> all = {this->knownMembers.at(this->self)};
	for (const auto& entry : this->knownMembers)
	{
		if (entry.first != this->self)
		{
			all.push_back(entry.second);
		}
	}
	return all;
}

SendGossip Membership::message(const std::string& _to, GossipKind _kind, std::uint64_t _sequence)
{
	return SendGossip{_to, Gossip{_kind, _sequence, {}, this->takeUpdates()}};
}

void Membership::store(const Member& _update, Micros _now, bool _spread)
{
	const auto found = this->knownMembers.find(_update.address);
	const bool stateChanged = found == this->knownMembers.end() || found->second.state != _update.state;
	const bool versionChanged = found == this->knownMembers.end() || found->second.version != _update.version;
	// Nodes of an earlier version pass updates on without the processor time, and without whether it relays calls.
	const bool lacksPercent = _update.processorPercent == 0 && !versionChanged;
	const std::int64_t percent = lacksPercent ? found->second.processorPercent : _update.processorPercent;
	const bool relaysCalls = _update.relaysCalls || (!versionChanged && found->second.relaysCalls);
	Member& member = this->knownMembers[_update.address];
	member = _update;
	member.processorPercent = percent;
	member.relaysCalls = relaysCalls;
	if ((stateChanged || versionChanged) && _spread)
	{
		// A new table offset alone is not disseminated: each edit would queue an update of every node and delay changes
		// of state.
		this->pendingUpdates[_update.address] = PendingUpdate{};
	}
	if (_update.state == MemberState::Alive)
	{
		this->notAliveSince.erase(_update.address);
	}
	else if (stateChanged)
	{
		this->notAliveSince[_update.address] = _now;
	}
}

void Membership::applyUpdate(const Member& _update, Micros _now, bool _spread)
{
	if (_update.address == this->self)
	{
		Member& own = this->knownMembers.at(this->self);
		const bool falseSuspicion = _update.state != MemberState::Alive && own.state == MemberState::Alive;
		if (_update.version > own.version || (_update.version == own.version && falseSuspicion))
		{
			// Another node believes that this one is gone, or remembers an earlier process with a clock ahead of ours.
			// A higher version refutes both.
			own.version = _update.version + 1;
			this->pendingUpdates[this->self] = PendingUpdate{};
		}
		return;
	}
	const auto found = this->knownMembers.find(_update.address);
	if (found == this->knownMembers.end() && !isAlive(_update))
	{
		return;
	}
	if (found == this->knownMembers.end() || overrides(_update, found->second))
	{
		this->store(_update, _now, _spread);
	}
}

std::vector<SendGossip> Membership::receive(const std::string& _from, const Gossip& _message, Micros _now)
{
	std::vector<SendGossip> out;
	// A full list of members is not disseminated: the other nodes know it.
	const bool spread = _message.updates.size() <= this->config.maxUpdatesPerMessage + 2;
	for (const Member& update : _message.updates)
	{
		this->applyUpdate(update, _now, spread);
	}
	// A sender that does not count as alive is sent its own record, and refutes it with a higher version.
	const auto sender = this->knownMembers.find(_from);
	if (sender != this->knownMembers.end() && sender->second.state != MemberState::Alive)
	{
		this->pendingUpdates[_from] = PendingUpdate{};
	}
	switch (_message.kind)
	{
	case GossipKind::Ping:
		out.push_back(this->message(_from, GossipKind::Ack, _message.sequence));
		break;
	case GossipKind::Join:
		out.push_back(this->message(_from, GossipKind::Ack, _message.sequence));
		out.back().message.updates = this->allMembers();
		break;
	case GossipKind::PingRequest:
	{
		const std::uint64_t sequence = ++this->lastSequence;
		this->relayedPings[sequence] = {_from, _message.sequence};
		out.push_back(this->message(_message.target, GossipKind::Ping, sequence));
		break;
	}
	case GossipKind::Ack:
	{
		if (this->probe && this->probe->sequence == _message.sequence)
		{
			this->probe->answered = true;
		}
		const auto relayedPing = this->relayedPings.find(_message.sequence);
		if (relayedPing != this->relayedPings.end())
		{
			out.push_back(this->message(relayedPing->second.first, GossipKind::Ack, relayedPing->second.second));
			this->relayedPings.erase(relayedPing);
		}
		break;
	}
	}
	return out;
}

void Membership::suspect(const std::string& _address, Micros _now)
{
	const auto found = this->knownMembers.find(_address);
	if (found != this->knownMembers.end() && found->second.state == MemberState::Alive)
	{
		Member suspected = found->second;
		suspected.state = MemberState::Suspect;
		this->store(suspected, _now, true);
	}
}

void Membership::expireSuspects(Micros _now)
{
	const Micros timeout = this->config.suspicionTimeout *
						   static_cast<Micros>(std::max(kSuspicionBaseLog2, this->log2OfMembers())) /
						   static_cast<Micros>(kSuspicionBaseLog2);
	std::vector<std::string> dead;
	std::vector<std::string> expired;
	for (const auto& entry : this->notAliveSince)
	{
		const Micros elapsed = _now - entry.second;
		const bool isSuspect = this->knownMembers.at(entry.first).state == MemberState::Suspect;
		if (isSuspect && elapsed >= timeout)
		{
			dead.push_back(entry.first);
		}
		if (!isSuspect && elapsed >= this->config.goneRetention)
		{
			expired.push_back(entry.first);
		}
	}
	for (const std::string& address : dead)
	{
		Member member = this->knownMembers.at(address);
		member.state = MemberState::Dead;
		this->store(member, _now, true);
	}
	for (const std::string& address : expired)
	{
		this->knownMembers.erase(address);
		this->notAliveSince.erase(address);
		this->pendingUpdates.erase(address);
	}
}

void Membership::startNextProbe(Micros _now, std::vector<SendGossip>& _out)
{
	if (this->probe && !this->probe->answered)
	{
		this->suspect(this->probe->target, _now);
	}
	this->probe.reset();
	while (true)
	{
		if (this->probeOrder.empty())
		{
			for (const auto& entry : this->knownMembers)
			{
				if (entry.first != this->self && isAlive(entry.second))
				{
					this->probeOrder.push_back(entry.first);
				}
			}
			std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
		}
		if (this->probeOrder.empty())
		{
			return;
		}
		const std::string target = this->probeOrder.back();
		this->probeOrder.pop_back();
		const auto found = this->knownMembers.find(target);
		if (found != this->knownMembers.end() && isAlive(found->second))
		{
			this->probe = Probe{target, ++this->lastSequence, _now, false, false};
			_out.push_back(this->message(target, GossipKind::Ping, this->probe->sequence));
			return;
		}
	}
}

void Membership::requestIndirectProbes(Micros _now, std::vector<SendGossip>& _out)
{
	if (!this->probe || this->probe->answered || this->probe->indirectRequested ||
		_now - this->probe->sentAt < this->config.ackTimeout)
	{
		return;
	}
	this->probe->indirectRequested = true;
	std::vector<std::string> relayNodes = this->alive();
	std::erase(relayNodes, this->self);
	std::erase(relayNodes, this->probe->target);
	std::shuffle(relayNodes.begin(), relayNodes.end(), this->random);
	relayNodes.resize(std::min(relayNodes.size(), this->config.indirectProbes));
	for (const std::string& relayNode : relayNodes)
	{
		SendGossip request = this->message(relayNode, GossipKind::PingRequest, this->probe->sequence);
		request.message.target = this->probe->target;
		_out.push_back(std::move(request));
	}
}

void Membership::contactSeed(Micros _now, std::vector<SendGossip>& _out)
{
	std::vector<std::string> unreachedSeeds;
	for (const std::string& seed : this->seeds)
	{
		const auto found = this->knownMembers.find(seed);
		if (found == this->knownMembers.end() || !isAlive(found->second))
		{
			unreachedSeeds.push_back(seed);
		}
	}
	this->nextSeedAt = _now + this->config.seedPeriod;
	if (unreachedSeeds.empty())
	{
		return;
	}
	const std::string& target = unreachedSeeds[this->random() % unreachedSeeds.size()];
	SendGossip ping = this->message(target, GossipKind::Join, ++this->lastSequence);
	const auto found = this->knownMembers.find(target);
	if (found != this->knownMembers.end())
	{
		// The seed receives its own record and can refute it.
		ping.message.updates.push_back(found->second);
	}
	_out.push_back(std::move(ping));
	// Until the first node has answered, seeds are contacted more often, so that this node joins without delay.
	const bool alone = this->alive().size() == 1;
	this->nextSeedAt = _now + (alone ? this->config.ackTimeout : this->config.seedPeriod);
}

std::vector<SendGossip> Membership::tick(Micros _now)
{
	std::vector<SendGossip> out;
	if (_now >= this->nextExpiryAt)
	{
		this->nextExpiryAt = _now + this->config.probePeriod / 2;
		this->expireSuspects(_now);
	}
	if (_now >= this->nextSeedAt)
	{
		this->contactSeed(_now, out);
	}
	if (_now >= this->nextProbeAt)
	{
		this->nextProbeAt = _now + this->config.probePeriod;
		this->startNextProbe(_now, out);
		// Pings sent for other nodes are answered within a period or not at all.
		std::erase_if(this->relayedPings,
					  [this](const auto& _entry) { return _entry.first + 64 < this->lastSequence; });
		return out;
	}
	this->requestIndirectProbes(_now, out);
	return out;
}

std::vector<SendGossip> Membership::leave()
{
	Member& own = this->knownMembers.at(this->self);
	own.state = MemberState::Left;
	this->pendingUpdates[this->self] = PendingUpdate{};
	std::vector<std::string> others = this->alive();
	std::shuffle(others.begin(), others.end(), this->random);
	others.resize(std::min(others.size(), kLeaveRecipients));
	std::vector<SendGossip> out;
	out.reserve(others.size());
	for (const std::string& other : others)
	{
		out.push_back(this->message(other, GossipKind::Ping, ++this->lastSequence));
	}
	return out;
}

const std::map<std::string, Member>& Membership::members() const
{
	return this->knownMembers;
}

std::vector<Member> Membership::aliveMembers() const
{
	std::vector<Member> result;
	for (const auto& entry : this->knownMembers)
	{
		if (isAlive(entry.second))
		{
			result.push_back(entry.second);
		}
	}
	return result;
}

std::vector<std::string> Membership::alive() const
{
	std::vector<std::string> result;
	for (const auto& entry : this->knownMembers)
	{
		if (isAlive(entry.second))
		{
			result.push_back(entry.first);
		}
	}
	return result;
}

} // namespace roadferry
