/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Membership by probes and gossip: each period one node is probed, first directly, then through helpers; news of
/// members ride on the probes.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <array>

namespace roadferry
{

namespace
{

constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect", "dead", "left"};
constexpr std::size_t kRetellFactor = 3;  ///< Each news is told so many times the logarithm of the nodes.
constexpr std::size_t kLogarithmBase = 3; ///< The suspicion time holds for up to two to this many nodes.
constexpr std::size_t kFarewells = 5;
constexpr std::size_t kNewsParts = 8; ///< Of a heap of news, each message carries this part.

/// @returns Whether news of one member overrides what is held. Of the same version, the worse state holds.
bool overrides(const Member& _news, const Member& _held)
{
	if (_news.version != _held.version)
	{
		return _news.version > _held.version;
	}
	return _news.state > _held.state || (_news.state == _held.state && _news.tableOffset > _held.tableOffset);
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
	this->known[this->self] = Member{this->self, _version, MemberState::Alive, 0};
	this->rumours[this->self] = Rumour{};
}

void Membership::setSeeds(const std::vector<std::string>& _addresses)
{
	this->seeds = _addresses;
	std::erase(this->seeds, this->self);
}

void Membership::setTableOffset(std::uint64_t _offset)
{
	this->known.at(this->self).tableOffset = _offset;
}

std::size_t Membership::logarithm() const
{
	std::size_t result = 1;
	while ((std::size_t{1} << result) < this->known.size())
	{
		result += 1;
	}
	return result;
}

/// Troubles go before arrivals, and of each what was told least.
std::pair<bool, std::size_t> Membership::urgencyOf(const std::string& _address, const Rumour& _rumour) const
{
	return {this->known.at(_address).state == MemberState::Alive, _rumour.sends};
}

std::vector<Member> Membership::takeNews()
{
	std::vector<Member> news = {this->known.at(this->self)};
	std::vector<std::map<std::string, Rumour>::iterator> fresh;
	fresh.reserve(this->rumours.size());
	for (auto entry = this->rumours.begin(); entry != this->rumours.end(); ++entry)
	{
		fresh.push_back(entry);
	}
	const std::size_t wished =
		std::clamp(fresh.size() / kNewsParts, this->config.newsPerMessage, this->config.newsAtMost);
	const std::size_t count = std::min(fresh.size(), wished);
	std::partial_sort(
		fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count), fresh.end(),
		[this](const auto& _left, const auto& _right)
		{ return this->urgencyOf(_left->first, _left->second) < this->urgencyOf(_right->first, _right->second); });
	const std::size_t enough = kRetellFactor * this->logarithm();
	for (std::size_t index = 0; index < count; ++index)
	{
		const auto rumour = fresh[index];
		if (rumour->first != this->self)
		{
			news.push_back(this->known.at(rumour->first));
		}
		rumour->second.sends += 1;
		if (rumour->second.sends >= enough)
		{
			this->rumours.erase(rumour);
		}
	}
	return news;
}

std::vector<Member> Membership::allMembers() const
{
	std::vector<Member> all = {this->known.at(this->self)};
	for (const auto& entry : this->known)
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
	return SendGossip{_to, Gossip{_kind, _sequence, {}, this->takeNews()}};
}

void Membership::store(const Member& _news, Micros _now, bool _retell)
{
	const auto found = this->known.find(_news.address);
	const bool stateChanged = found == this->known.end() || found->second.state != _news.state;
	const bool versionChanged = found == this->known.end() || found->second.version != _news.version;
	this->known[_news.address] = _news;
	if ((stateChanged || versionChanged) && _retell)
	{
		// An offset alone is not passed on: each edit would bring news of every node, and hold up what matters.
		this->rumours[_news.address] = Rumour{};
	}
	if (_news.state == MemberState::Alive)
	{
		this->troubledSince.erase(_news.address);
	}
	else if (stateChanged)
	{
		this->troubledSince[_news.address] = _now;
	}
}

void Membership::hear(const Member& _news, Micros _now, bool _retell)
{
	if (_news.address == this->self)
	{
		Member& own = this->known.at(this->self);
		const bool wrong = _news.state != MemberState::Alive && own.state == MemberState::Alive;
		if (_news.version > own.version || (_news.version == own.version && wrong))
		{
			// Somebody believes that this node is gone, or remembers an earlier process with a clock ahead of ours.
			own.version = _news.version + 1;
			this->rumours[this->self] = Rumour{};
		}
		return;
	}
	const auto found = this->known.find(_news.address);
	if (found == this->known.end() && !isAlive(_news))
	{
		return;
	}
	if (found == this->known.end() || overrides(_news, found->second))
	{
		this->store(_news, _now, _retell);
	}
}

std::vector<SendGossip> Membership::receive(const std::string& _from, const Gossip& _message, Micros _now)
{
	std::vector<SendGossip> out;
	// A list of all members is no news to the others.
	const bool retell = _message.news.size() <= this->config.newsAtMost + 2;
	for (const Member& news : _message.news)
	{
		// A node that is held for dead and speaks is told so, and objects with a new version.
		this->hear(news, _now, retell);
	}
	const auto sender = this->known.find(_from);
	if (sender != this->known.end() && sender->second.state != MemberState::Alive)
	{
		this->rumours[_from] = Rumour{};
	}
	switch (_message.kind)
	{
	case GossipKind::Ping:
		out.push_back(this->message(_from, GossipKind::Ack, _message.sequence));
		break;
	case GossipKind::Join:
		out.push_back(this->message(_from, GossipKind::Ack, _message.sequence));
		out.back().message.news = this->allMembers();
		break;
	case GossipKind::PingRequest:
	{
		const std::uint64_t sequence = ++this->lastSequence;
		this->relayed[sequence] = {_from, _message.sequence};
		out.push_back(this->message(_message.target, GossipKind::Ping, sequence));
		break;
	}
	case GossipKind::Ack:
	{
		if (this->probe && this->probe->sequence == _message.sequence)
		{
			this->probe->answered = true;
		}
		const auto asked = this->relayed.find(_message.sequence);
		if (asked != this->relayed.end())
		{
			out.push_back(this->message(asked->second.first, GossipKind::Ack, asked->second.second));
			this->relayed.erase(asked);
		}
		break;
	}
	}
	return out;
}

void Membership::suspect(const std::string& _address, Micros _now)
{
	const auto found = this->known.find(_address);
	if (found != this->known.end() && found->second.state == MemberState::Alive)
	{
		Member suspected = found->second;
		suspected.state = MemberState::Suspect;
		this->store(suspected, _now, true);
	}
}

void Membership::expireSuspects(Micros _now)
{
	const Micros limit = this->config.suspicion * static_cast<Micros>(std::max(kLogarithmBase, this->logarithm())) /
						 static_cast<Micros>(kLogarithmBase);
	std::vector<std::string> dead;
	std::vector<std::string> forgotten;
	for (const auto& entry : this->troubledSince)
	{
		const Micros since = _now - entry.second;
		const bool suspected = this->known.at(entry.first).state == MemberState::Suspect;
		if (suspected && since >= limit)
		{
			dead.push_back(entry.first);
		}
		if (!suspected && since >= this->config.forgetAfter)
		{
			forgotten.push_back(entry.first);
		}
	}
	for (const std::string& address : dead)
	{
		Member member = this->known.at(address);
		member.state = MemberState::Dead;
		this->store(member, _now, true);
	}
	for (const std::string& address : forgotten)
	{
		this->known.erase(address);
		this->troubledSince.erase(address);
		this->rumours.erase(address);
	}
}

void Membership::nextProbe(Micros _now, std::vector<SendGossip>& _out)
{
	if (this->probe && !this->probe->answered)
	{
		this->suspect(this->probe->target, _now);
	}
	this->probe.reset();
	while (true)
	{
		if (this->order.empty())
		{
			for (const auto& entry : this->known)
			{
				if (entry.first != this->self && isAlive(entry.second))
				{
					this->order.push_back(entry.first);
				}
			}
			std::shuffle(this->order.begin(), this->order.end(), this->random);
		}
		if (this->order.empty())
		{
			return;
		}
		const std::string target = this->order.back();
		this->order.pop_back();
		const auto found = this->known.find(target);
		if (found != this->known.end() && isAlive(found->second))
		{
			this->probe = Probe{target, ++this->lastSequence, _now, false, false};
			_out.push_back(this->message(target, GossipKind::Ping, this->probe->sequence));
			return;
		}
	}
}

void Membership::askHelpers(Micros _now, std::vector<SendGossip>& _out)
{
	if (!this->probe || this->probe->answered || this->probe->helped ||
		_now - this->probe->sentAt < this->config.ackTimeout)
	{
		return;
	}
	this->probe->helped = true;
	std::vector<std::string> helpers = this->alive();
	std::erase(helpers, this->self);
	std::erase(helpers, this->probe->target);
	std::shuffle(helpers.begin(), helpers.end(), this->random);
	helpers.resize(std::min(helpers.size(), this->config.helpers));
	for (const std::string& helper : helpers)
	{
		SendGossip request = this->message(helper, GossipKind::PingRequest, this->probe->sequence);
		request.message.target = this->probe->target;
		_out.push_back(std::move(request));
	}
}

void Membership::trySeed(Micros _now, std::vector<SendGossip>& _out)
{
	std::vector<std::string> strangers;
	for (const std::string& seed : this->seeds)
	{
		const auto found = this->known.find(seed);
		if (found == this->known.end() || !isAlive(found->second))
		{
			strangers.push_back(seed);
		}
	}
	this->nextSeedAt = _now + this->config.seedPeriod;
	if (strangers.empty())
	{
		return;
	}
	const std::string& target = strangers[this->random() % strangers.size()];
	SendGossip ping = this->message(target, GossipKind::Join, ++this->lastSequence);
	const auto found = this->known.find(target);
	if (found != this->known.end())
	{
		// So that it hears for what it is held, and can object.
		ping.message.news.push_back(found->second);
	}
	_out.push_back(std::move(ping));
	// Until the first node has answered there is nobody else to talk to, so that no time is lost.
	const bool alone = this->alive().size() == 1;
	this->nextSeedAt = _now + (alone ? this->config.ackTimeout : this->config.seedPeriod);
}

std::vector<SendGossip> Membership::tick(Micros _now)
{
	std::vector<SendGossip> out;
	if (_now >= this->nextExpiryAt)
	{
		this->nextExpiryAt = _now + this->config.period / 2;
		this->expireSuspects(_now);
	}
	if (_now >= this->nextSeedAt)
	{
		this->trySeed(_now, out);
	}
	if (_now >= this->nextProbeAt)
	{
		this->nextProbeAt = _now + this->config.period;
		this->nextProbe(_now, out);
		// Probes made for others are answered within a period or not at all.
		std::erase_if(this->relayed, [this](const auto& _entry) { return _entry.first + 64 < this->lastSequence; });
		return out;
	}
	this->askHelpers(_now, out);
	return out;
}

std::vector<SendGossip> Membership::leave()
{
	Member& own = this->known.at(this->self);
	own.state = MemberState::Left;
	this->rumours[this->self] = Rumour{};
	std::vector<std::string> others = this->alive();
	std::shuffle(others.begin(), others.end(), this->random);
	others.resize(std::min(others.size(), kFarewells));
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
	return this->known;
}

std::vector<std::string> Membership::alive() const
{
	std::vector<std::string> result;
	for (const auto& entry : this->known)
	{
		if (isAlive(entry.second))
		{
			result.push_back(entry.first);
		}
	}
	return result;
}

} // namespace roadferry
