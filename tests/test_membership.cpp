/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Membership under joins, kills, freezes, one-way cuts and splits, in virtual time.

#include "membership_world.h"
#include "property.h"

namespace
{

using namespace roadferry;

std::set<std::size_t> range(std::size_t _from, std::size_t _to)
{
	std::set<std::size_t> result;
	for (std::size_t index = _from; index < _to; ++index)
	{
		result.insert(index);
	}
	return result;
}

constexpr Micros kDetect = 20 * kSecond;

} // namespace

Test(membership, seven_nodes_find_each_other_and_notice_a_kill)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kDetect).has_value());
	world.kill(6);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 6)); }, kDetect).has_value());
	world.start(6);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kDetect).has_value());
}

Test(membership, planned_leave_is_known_without_suspicion)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kDetect).has_value());
	world.sendAll(6, world.nodes[6]->leave());
	world.kill(6);
	const auto taken = world.runUntil([&] { return world.agree(range(0, 6)); }, kDetect);
	cr_assert(taken.has_value());
	cr_assert_leq(*taken, 2 * kSecond);
	cr_assert(world.nodes[0]->members().at(MembershipWorld::address(6)).state == MemberState::Left);
}

Test(membership, frozen_node_objects_when_it_wakes)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kDetect).has_value());
	world.frozen.insert(3);
	std::set<std::size_t> others = range(0, 7);
	others.erase(3);
	cr_assert(world.runUntil([&] { return world.agree(others); }, kDetect).has_value());
	world.frozen.clear();
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kDetect).has_value());
}

Test(membership, one_way_cut_between_two_nodes_kills_neither)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kDetect).has_value());
	world.network.cut.insert({0, 1});
	for (int second = 0; second < 60; ++second)
	{
		world.run(kSecond);
		cr_assert(world.agree(range(0, 7)), "view broken after %d s", second);
	}
}

Test(membership, halves_that_were_split_for_an_hour_join_again)
{
	MembershipWorld world(8);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 8)); }, kDetect).has_value());
	for (std::size_t left = 0; left < 4; ++left)
	{
		for (std::size_t right = 4; right < 8; ++right)
		{
			world.network.cut.insert({left, right});
			world.network.cut.insert({right, left});
		}
	}
	cr_assert(
		world.runUntil([&] { return world.agree(range(0, 4)) && world.agree(range(4, 8)); }, kDetect).has_value());
	world.run(3600 * kSecond);
	world.network.cut.clear();
	cr_assert(world.runUntil([&] { return world.agree(range(0, 8)); }, 40 * kSecond).has_value());
}

Test(membership, process_with_its_clock_set_back_is_believed)
{
	MembershipWorld world(5);
	world.run(100 * kSecond);
	world.kill(2);
	world.run(kDetect);
	world.now -= 90 * kSecond;
	world.start(2);
	world.now += 90 * kSecond;
	cr_assert(world.runUntil([&] { return world.agree(range(0, 5)); }, kDetect).has_value());
}

Test(membership, random_faults_end_in_one_view)
{
	checkHistories("membership",
				   []
				   {
					   MembershipWorld world(5);
					   std::set<std::size_t> running = range(0, 5);
					   const int faults = *rc::gen::inRange(1, 6);
					   for (int index = 0; index < faults; ++index)
					   {
						   const auto node = *rc::gen::inRange<std::size_t>(0, 5);
						   const auto other = *rc::gen::inRange<std::size_t>(0, 5);
						   const int kind = *rc::gen::inRange(0, 4);
						   if (kind == 0 && running.size() > 1)
						   {
							   world.kill(node);
							   running.erase(node);
						   }
						   else if (kind == 1)
						   {
							   world.start(node);
							   running.insert(node);
						   }
						   else if (kind == 2)
						   {
							   world.frozen.insert(node);
						   }
						   else
						   {
							   world.network.cut.insert({node, other});
						   }
						   world.run(*rc::gen::inRange<Micros>(1, 8) * kSecond);
					   }
					   world.frozen.clear();
					   world.network.cut.clear();
					   RC_ASSERT(world.runUntil([&] { return world.agree(running); }, 60 * kSecond).has_value());
				   });
}
