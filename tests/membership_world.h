/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Simulated nodes that gossip over a virtual network.

#ifndef ROADFERRY_MEMBERSHIP_WORLD_H_HEADER_GUARD
#define ROADFERRY_MEMBERSHIP_WORLD_H_HEADER_GUARD

#include "virtual_network.h"

#include <algorithm>
#include <cstdio>

namespace roadferry
{

/// All nodes of one deployment, by index.
class MembershipWorld
{
public:
	explicit MembershipWorld(std::size_t _count)
	{
		for (std::size_t index = 0; index < _count; ++index)
		{
			this->seeds.push_back(address(index));
		}
		for (std::size_t index = 0; index < _count; ++index)
		{
			this->nodes.push_back(nullptr);
			this->start(index);
		}
	}

	/// @returns Address of a node; addresses sort like their indices.
	static std::string address(std::size_t _index)
	{
		char text[32];
		std::snprintf(text, sizeof(text), "10.0.%03zu.%03zu:8500", _index / 250, _index % 250);
		return text;
	}

	/// Starts a new process; a previous one at the same address is destroyed.
	void start(std::size_t _index)
	{
		const std::uint64_t version = static_cast<std::uint64_t>(this->now) + 1;
		this->nodes[_index] =
			std::make_unique<Membership>(address(_index), version, MembershipConfig{}, _index + version);
		this->nodes[_index]->setSeeds(this->seeds);
		this->frozen.erase(_index);
	}

	void kill(std::size_t _index)
	{
		this->nodes[_index] = nullptr;
	}

	void step()
	{
		this->now += kVirtualStep;
		this->network.deliver([this](std::size_t _from, std::size_t _to, const Gossip& _message)
							  { this->receive(_from, _to, _message); });
		for (std::size_t index = 0; index < this->nodes.size(); ++index)
		{
			if (this->nodes[index] != nullptr && this->frozen.count(index) == 0)
			{
				this->sendAll(index, this->nodes[index]->tick(this->now));
			}
		}
	}

	void run(Micros _duration)
	{
		const Micros end = this->now + _duration;
		while (this->now < end)
		{
			this->step();
		}
	}

	/// @returns Time until the condition holds, or nothing when it does not hold within the limit.
	std::optional<Micros> runUntil(const std::function<bool()>& _condition, Micros _limit)
	{
		const Micros begin = this->now;
		while (!_condition())
		{
			if (this->now - begin >= _limit)
			{
				return std::nullopt;
			}
			this->run(kSecond / 2);
		}
		return this->now - begin;
	}

	/// @returns Whether each of these nodes counts exactly these nodes as alive.
	[[nodiscard]] bool agree(const std::set<std::size_t>& _alive) const
	{
		std::vector<std::string> expected;
		for (const std::size_t index : _alive)
		{
			expected.push_back(address(index));
		}
		for (const std::size_t index : _alive)
		{
			if (this->nodes[index]->alive() != expected)
			{
				return false;
			}
		}
		return true;
	}

	void sendAll(std::size_t _from, const std::vector<SendGossip>& _messages)
	{
		for (const SendGossip& message : _messages)
		{
			const auto found = std::find(this->seeds.begin(), this->seeds.end(), message.to);
			this->messagesSent += 1;
			this->updatesSent += message.message.updates.size();
			this->network.send(_from, static_cast<std::size_t>(found - this->seeds.begin()), message.message);
		}
	}

	std::vector<std::unique_ptr<Membership>> nodes;
	std::set<std::size_t> frozen;
	VirtualNetwork<Gossip> network;
	std::vector<std::string> seeds;
	Micros now = kSecond;
	std::uint64_t messagesSent = 0; ///< By all nodes.
	std::uint64_t updatesSent = 0;

private:
	void receive(std::size_t _from, std::size_t _to, const Gossip& _message)
	{
		if (this->nodes[_to] == nullptr)
		{
			return;
		}
		if (this->frozen.count(_to) > 0)
		{
			this->network.send(_from, _to, _message);
			return;
		}
		this->sendAll(_to, this->nodes[_to]->receive(address(_from), _message, this->now));
	}
};

} // namespace roadferry

#endif // ROADFERRY_MEMBERSHIP_WORLD_H_HEADER_GUARD
