/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Few nodes read the platform's topics for all: who reads, who asks whom, and what happens when news stop.

#include "listing_log.h"
#include "property.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace
{

using namespace roadferry;

constexpr Micros kTick = 200 * kMillisecond;
constexpr Micros kReadEvery = 600 * kMillisecond;

Endpoint endpoint(const std::string& _id, bool _leaving = false)
{
	return Endpoint{_id, "10.0.0.1:80", "pool", "north", 1, _leaving};
}

/// Nodes with relays, some of which are cut off from the platform, silent, or dead.
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

	/// @returns When this node's knowledge of the platform is from, at the latest.
	[[nodiscard]] Micros knownAt(const std::string& _name) const
	{
		const auto found = this->readAt.find(_name);
		return found == this->readAt.end() ? 0 : found->second;
	}

	void step()
	{
		this->now += kTick;
		for (const std::string& name : this->names)
		{
			if (this->silent.count(name) > 0)
			{
				continue;
			}
			const FeedRelayStep step = this->nodes.at(name).tick(this->now, this->cutOff.count(name) > 0);
			this->reads[name] = step.readOwn;
			const bool due = this->now - this->knownAt(name) >= kReadEvery || this->knownAt(name) == 0;
			if (step.readOwn && this->cutOff.count(name) == 0 && due)
			{
				this->readAt[name] = this->now;
			}
			if (!step.ask.empty() && this->silent.count(step.ask) == 0)
			{
				this->answer(name, step.ask);
			}
		}
	}

	void answer(const std::string& _asker, const std::string& _asked)
	{
		const bool well = this->reads[_asked] && this->cutOff.count(_asked) == 0 && this->knownAt(_asked) > 0;
		const std::optional<Micros> known = well ? std::optional(this->knownAt(_asked)) : std::nullopt;
		this->nodes.at(_asker).heard(_asked, known);
		if (well)
		{
			this->readAt[_asker] = std::max(this->knownAt(_asker), this->knownAt(_asked));
		}
	}

	[[nodiscard]] std::ptrdiff_t readers() const
	{
		return std::count_if(this->reads.begin(), this->reads.end(), [](const auto& _entry) { return _entry.second; });
	}

	std::vector<std::string> names;
	std::map<std::string, FeedRelay> nodes;
	std::map<std::string, bool> reads;
	std::map<std::string, Micros> readAt;
	std::set<std::string> cutOff; ///< From the platform.
	std::set<std::string> silent; ///< Dead, or cut off from all.
	Micros now = 10 * kSecond;
};

} // namespace

Test(feed_relay, few_nodes_each_read_for_themselves)
{
	RelayWorld world(7);
	world.step();
	cr_assert_eq(world.readers(), 7);
}

Test(feed_relay, of_many_nodes_few_read)
{
	RelayWorld world(80);
	for (int step = 0; step < 20; ++step)
	{
		world.step();
	}
	cr_assert_eq(world.readers(), 5);
	cr_assert_eq(feedReadersOf(world.names, FeedRelayConfig{}).size(), 5);
	const std::vector<std::string> reversed(world.names.rbegin(), world.names.rend());
	cr_assert(feedReadersOf(reversed, FeedRelayConfig{}) == feedReadersOf(world.names, FeedRelayConfig{}));
}

Test(feed_relay, node_reads_for_itself_while_all_readers_are_cut_off)
{
	RelayWorld world(20);
	for (const std::string& reader : feedReadersOf(world.names, FeedRelayConfig{}))
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

Test(feed_relay, nobody_that_reaches_the_platform_or_a_reader_stays_behind)
{
	checkHistories("feed_relay",
				   []
				   {
					   RelayWorld world(12);
					   const int steps = *rc::gen::inRange(1, 80);
					   std::map<std::string, Micros> freeSince; // Of nodes that could read for themselves.
					   for (const std::string& name : world.names)
					   {
						   freeSince[name] = world.now;
					   }
					   for (int step = 0; step < steps; ++step)
					   {
						   const std::string node = *rc::gen::elementOf(world.names);
						   const int what = *rc::gen::inRange(0, 8);
						   if (what == 0)
						   {
							   world.cutOff.insert(node);
						   }
						   else if (what == 1)
						   {
							   world.silent.insert(node);
						   }
						   else if (what < 4)
						   {
							   world.cutOff.erase(node);
							   world.silent.erase(node);
						   }
						   world.step();
						   for (const std::string& name : world.names)
						   {
							   if (world.cutOff.count(name) > 0 || world.silent.count(name) > 0)
							   {
								   freeSince[name] = world.now;
							   }
							   // One that can read is never behind by more than the news' age and two ticks.
							   const FeedRelayConfig config;
							   if (world.now - freeSince[name] > config.staleAfter + 2 * kTick)
							   {
								   RC_ASSERT(world.now - world.knownAt(name) <= config.staleAfter + 2 * kTick);
							   }
						   }
					   }
				   });
}

Test(directory_changes, follower_holds_what_its_source_holds)
{
	checkHistories("directory_changes",
				   []
				   {
					   EndpointDirectory source(DirectoryConfig{});
					   EndpointDirectory follower(DirectoryConfig{});
					   const std::vector<std::string> ids = {"e-1", "e-2", "e-3", "e-4"};
					   ListingLog log;
					   std::uint64_t known = 0;
					   std::uint64_t held = 0;
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
							   source.read(log.since(std::exchange(known, log.end()), now), now);
							   break;
						   case 3:
							   source.expire(now);
							   break;
						   default:
							   log.put(endpoint(id, *rc::gen::inRange(0, 4) == 0));
							   source.read(log.since(std::exchange(known, log.end()), now), now);
							   break;
						   }
						   if (*rc::gen::inRange(0, 3) == 0)
						   {
							   const DirectoryChanges changes = source.changesSince(held);
							   follower.take(changes, now, now);
							   held = changes.revision;
							   RC_ASSERT(follower.endpoints() == source.endpoints());
						   }
					   }
				   });
}

Test(directory_changes, one_that_lacks_too_much_takes_the_whole)
{
	EndpointDirectory source(DirectoryConfig{});
	ListingLog log;
	log.put(endpoint("stays"));
	source.read(log.since(0, kSecond), kSecond);
	const std::uint64_t held = source.changesSince(0).revision;
	for (int index = 0; index < 1'200; ++index)
	{
		const std::string id = "e-" + std::to_string(index);
		const std::uint64_t known = log.end();
		log.put(endpoint(id));
		log.remove(id);
		source.read(log.since(known, kSecond), kSecond);
	}
	const DirectoryChanges changes = source.changesSince(held);
	cr_assert(changes.whole);
	cr_assert_eq(changes.listed.size(), 1);
	cr_assert(source.changesSince(changes.revision).listed.empty());
	cr_assert_not(source.changesSince(changes.revision).whole);
}
