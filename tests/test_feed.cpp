/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of the selection of readers, of nodes that follow them, and of the exchange of directory changes.

#include "listing_log.h"
#include "property.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace
{

using namespace roadferry;

constexpr Micros kTickInterval = 200 * kMillisecond;
constexpr Micros kReadInterval = 600 * kMillisecond;

Endpoint endpoint(const std::string& _id, bool _leaving = false)
{
	return Endpoint{_id, "10.0.0.1:80", "pool", "north", 1, _leaving};
}

/// Nodes with a FeedRelay each, which can be cut off from the platform or isolated.
class RelayWorld
{
public:
	explicit RelayWorld(int _nodes)
	{
		for (int index = 0; index < _nodes; ++index)
		{
			this->names.push_back("10.0.1." + std::to_string(index) + ":1");
		}
		for (const std::string& name : this->names)
		{
			this->nodes.try_emplace(name, name, FeedRelayConfig{}).first->second.setMembers(this->names);
		}
	}

	/// @returns Time point up to which this node has all changes of the platform, 0 for never.
	[[nodiscard]] Micros asOf(const std::string& _name) const
	{
		const auto found = this->asOfByNode.find(_name);
		return found == this->asOfByNode.end() ? 0 : found->second;
	}

	void step()
	{
		this->now += kTickInterval;
		for (const std::string& name : this->names)
		{
			if (this->isolated.count(name) > 0)
			{
				continue;
			}
			const FeedRelayStep step = this->nodes.at(name).tick(this->now, this->cutOff.count(name) > 0);
			this->isReading[name] = step.readsDirectly;
			const bool due = this->now - this->asOf(name) >= kReadInterval || this->asOf(name) == 0;
			if (step.readsDirectly && this->cutOff.count(name) == 0 && due)
			{
				this->asOfByNode[name] = this->now;
			}
			if (!step.requestFrom.empty() && this->isolated.count(step.requestFrom) == 0)
			{
				this->answer(name, step.requestFrom);
			}
		}
	}

	void answer(const std::string& _follower, const std::string& _source)
	{
		const bool canAnswer = this->isReading[_source] && this->cutOff.count(_source) == 0 && this->asOf(_source) > 0;
		const std::optional<Micros> sourceAsOf = canAnswer ? std::optional(this->asOf(_source)) : std::nullopt;
		this->nodes.at(_follower).onResponse(_source, sourceAsOf);
		if (canAnswer)
		{
			this->asOfByNode[_follower] = std::max(this->asOf(_follower), this->asOf(_source));
		}
	}

	[[nodiscard]] std::ptrdiff_t readers() const
	{
		return std::count_if(this->isReading.begin(), this->isReading.end(),
							 [](const auto& _entry) { return _entry.second; });
	}

	std::vector<std::string> names;
	std::map<std::string, FeedRelay> nodes;
	std::map<std::string, bool> isReading;
	std::map<std::string, Micros> asOfByNode;
	std::set<std::string> cutOff;   ///< Cannot reach the platform.
	std::set<std::string> isolated; ///< Failed, or cut off from everything.
	Micros now = 10 * kSecond;
};

} // namespace

Test(feed_relay, all_nodes_read_directly_in_a_small_cluster)
{
	RelayWorld world(7);
	world.step();
	cr_assert_eq(world.readers(), 7);
}

Test(feed_relay, only_selected_readers_read_in_a_large_cluster)
{
	RelayWorld world(80);
	for (int step = 0; step < 20; ++step)
	{
		world.step();
	}
	cr_assert_eq(world.readers(), 5);
	cr_assert_eq(selectFeedReaders(world.names, FeedRelayConfig{}).size(), 5);
	const std::vector<std::string> reversed(world.names.rbegin(), world.names.rend());
	cr_assert(selectFeedReaders(reversed, FeedRelayConfig{}) == selectFeedReaders(world.names, FeedRelayConfig{}));
}

Test(feed_relay, nodes_read_directly_while_all_readers_are_cut_off)
{
	RelayWorld world(20);
	for (const std::string& reader : selectFeedReaders(world.names, FeedRelayConfig{}))
	{
		world.cutOff.insert(reader);
	}
	for (int step = 0; step < 20; ++step)
	{
		world.step();
	}
	cr_assert_eq(world.readers(), 20);
	world.cutOff.clear();
	for (int step = 0; step < 60; ++step)
	{
		world.step();
	}
	cr_assert_eq(world.readers(), 3);
}

Test(feed_relay, nodes_that_reach_the_platform_or_a_reader_stay_current)
{
	checkHistories(
		"feed_relay",
		[]
		{
			RelayWorld world(12);
			const int steps = *rc::gen::inRange(1, 80);
			std::map<std::string, Micros> faultFreeSince; // Since when each node has been able to read directly.
			for (const std::string& name : world.names)
			{
				faultFreeSince[name] = world.now;
			}
			for (int step = 0; step < steps; ++step)
			{
				const std::string node = *rc::gen::elementOf(world.names);
				const int action = *rc::gen::inRange(0, 8);
				if (action == 0)
				{
					world.cutOff.insert(node);
				}
				else if (action == 1)
				{
					world.isolated.insert(node);
				}
				else if (action < 4)
				{
					world.cutOff.erase(node);
					world.isolated.erase(node);
				}
				world.step();
				for (const std::string& name : world.names)
				{
					if (world.cutOff.count(name) > 0 || world.isolated.count(name) > 0)
					{
						faultFreeSince[name] = world.now;
					}
					// The data of a node that can read is at most staleAfter and two ticks old.
					const FeedRelayConfig config;
					if (world.now - faultFreeSince[name] > config.staleAfter + 2 * kTickInterval)
					{
						RC_ASSERT(world.now - world.asOf(name) <= config.staleAfter + 2 * kTickInterval);
					}
				}
			}
		});
}

Test(directory_changes, follower_matches_its_source)
{
	checkHistories("directory_changes",
				   []
				   {
					   EndpointDirectory source(DirectoryConfig{});
					   EndpointDirectory follower(DirectoryConfig{});
					   const std::vector<std::string> ids = {"e-1", "e-2", "e-3", "e-4"};
					   ListingLog log;
					   std::uint64_t readPosition = 0;
					   std::uint64_t heldRevision = 0;
					   Micros now = kSecond;
					   const int steps = *rc::gen::inRange(1, 60);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, kSecond);
						   const std::string id = *rc::gen::elementOf(ids);
						   switch (*rc::gen::inRange(0, 6))
						   {
						   case 0:
							   log.remove(id);
							   break;
						   case 1:
							   source.markLeaving(id);
							   break;
						   case 2:
							   source.applyRead(log.since(std::exchange(readPosition, log.end()), now), now);
							   break;
						   case 3:
							   source.expire(now);
							   break;
						   default:
							   log.put(endpoint(id, *rc::gen::inRange(0, 4) == 0));
							   source.applyRead(log.since(std::exchange(readPosition, log.end()), now), now);
							   break;
						   }
						   if (*rc::gen::inRange(0, 3) == 0)
						   {
							   const DirectoryChanges changes = source.changesSince(heldRevision);
							   follower.merge(changes, now, now);
							   heldRevision = changes.revision;
							   RC_ASSERT(follower.endpoints() == source.endpoints());
						   }
					   }
				   });
}

Test(directory_changes, follower_with_a_pruned_revision_gets_a_snapshot)
{
	EndpointDirectory source(DirectoryConfig{});
	ListingLog log;
	log.put(endpoint("stays"));
	source.applyRead(log.since(0, kSecond), kSecond);
	const std::uint64_t heldRevision = source.changesSince(0).revision;
	for (int index = 0; index < 1'200; ++index)
	{
		const std::string id = "e-" + std::to_string(index);
		const std::uint64_t readPosition = log.end();
		log.put(endpoint(id));
		log.remove(id);
		source.applyRead(log.since(readPosition, kSecond), kSecond);
	}
	const DirectoryChanges changes = source.changesSince(heldRevision);
	cr_assert(changes.isSnapshot);
	cr_assert_eq(changes.listed.size(), 1);
	cr_assert(source.changesSince(changes.revision).listed.empty());
	cr_assert_not(source.changesSince(changes.revision).isSnapshot);
}
