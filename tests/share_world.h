/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Simulated nodes that share limits over a virtual network.

#ifndef ROADFERRY_SHARE_WORLD_H_HEADER_GUARD
#define ROADFERRY_SHARE_WORLD_H_HEADER_GUARD

#include "membership_world.h"

namespace roadferry
{

/// All nodes of one deployment. Their membership views are set explicitly, so that any fault of membership can be
/// simulated.
class ShareWorld
{
public:
	ShareWorld(std::size_t _count, const std::map<std::string, std::int64_t>& _limits) : limits(_limits)
	{
		for (std::size_t index = 0; index < _count; ++index)
		{
			this->all.push_back(MembershipWorld::address(index));
		}
		for (std::size_t index = 0; index < _count; ++index)
		{
			this->nodes.push_back(nullptr);
			this->start(index);
		}
	}

	void start(std::size_t _index)
	{
		this->nodes[_index] = std::make_unique<ShareAllocator>(this->all[_index], ShareConfig{});
		this->nodes[_index]->setLimits(this->limits);
		this->nodes[_index]->setNodes(this->all, this->all, this->now);
		this->demand[_index] = {};
	}

	void kill(std::size_t _index)
	{
		this->nodes[_index] = nullptr;
	}

	void setAliveNodes(std::size_t _index, const std::vector<std::string>& _alive)
	{
		this->nodes[_index]->setNodes(this->all, _alive, this->now);
	}

	void step()
	{
		this->now += kVirtualStep;
		this->network.deliver([this](std::size_t _from, std::size_t _to, const ShareAction& _message)
							  { this->receive(_from, _to, _message); });
		for (std::size_t index = 0; index < this->nodes.size(); ++index)
		{
			if (this->nodes[index] == nullptr || this->frozen.count(index) > 0)
			{
				continue;
			}
			this->nodes[index]->setDemand(this->demand[index]);
			for (const ShareAction& action : this->nodes[index]->tick(this->now))
			{
				const std::string& to =
					std::visit([](const auto& _typed) -> const std::string& { return _typed.to; }, action);
				const auto found = std::lower_bound(this->all.begin(), this->all.end(), to);
				this->messagesSent += 1;
				if (this->onSend)
				{
					this->onSend(action);
				}
				this->network.send(index, static_cast<std::size_t>(found - this->all.begin()), action);
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

	/// @returns Sum of the shares of all running nodes, including frozen ones.
	[[nodiscard]] std::int64_t sum(const std::string& _workspace) const
	{
		std::int64_t total = 0;
		for (const auto& node : this->nodes)
		{
			total += node == nullptr ? 0 : node->shares(this->now).at(_workspace);
		}
		return total;
	}

	/// @returns Sum over all running nodes of the part of the share that the node's demand uses.
	[[nodiscard]] std::int64_t used(const std::string& _workspace)
	{
		std::int64_t total = 0;
		for (std::size_t index = 0; index < this->nodes.size(); ++index)
		{
			if (this->nodes[index] != nullptr)
			{
				total +=
					std::min(this->demand[index][_workspace], this->nodes[index]->shares(this->now).at(_workspace));
			}
		}
		return total;
	}

	std::vector<std::unique_ptr<ShareAllocator>> nodes;
	std::map<std::size_t, std::map<std::string, std::int64_t>> demand;
	std::set<std::size_t> frozen;
	VirtualNetwork<ShareAction> network;
	std::vector<std::string> all;
	std::map<std::string, std::int64_t> limits;
	Micros now = kSecond;
	std::uint64_t messagesSent = 0;
	std::function<void(const ShareAction&)> onSend; ///< Called with each message that is sent.

private:
	void receive(std::size_t _from, std::size_t _to, const ShareAction& _message)
	{
		if (this->nodes[_to] == nullptr || this->frozen.count(_to) > 0)
		{
			return;
		}
		std::visit(
			Overloaded{
				[&](const SendDemand& _typed)
				{ this->nodes[_to]->receiveDemand(this->all[_from], _typed.report, this->now); },
				[&](const SendGrant& _typed)
				{ this->nodes[_to]->receiveGrant(this->all[_from], _typed.grant, this->now); },
			},
			_message);
	}
};

} // namespace roadferry

#endif // ROADFERRY_SHARE_WORLD_H_HEADER_GUARD
