/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Membership under joins, kills, freezes, one-way cuts and partitions, in virtual time.

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

constexpr Micros kConvergenceTimeout = 20 * kSecond;

} // namespace

Test(membership, seven_nodes_discover_each_other_and_detect_a_kill)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kConvergenceTimeout).has_value());
	world.kill(6);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 6)); }, kConvergenceTimeout).has_value());
	world.start(6);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kConvergenceTimeout).has_value());
}

Test(membership, planned_leave_spreads_without_suspicion)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kConvergenceTimeout).has_value());
	world.sendAll(6, world.nodes[6]->leave());
	world.kill(6);
	const auto elapsed = world.runUntil([&] { return world.agree(range(0, 6)); }, kConvergenceTimeout);
	cr_assert(elapsed.has_value());
	cr_assert_leq(*elapsed, 2 * kSecond);
	cr_assert(world.nodes[0]->members().at(MembershipWorld::address(6)).state == MemberState::Left);
}

Test(membership, frozen_node_refutes_its_death_when_it_resumes)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kConvergenceTimeout).has_value());
	world.frozen.insert(3);
	std::set<std::size_t> others = range(0, 7);
	others.erase(3);
	cr_assert(world.runUntil([&] { return world.agree(others); }, kConvergenceTimeout).has_value());
	world.frozen.clear();
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kConvergenceTimeout).has_value());
}

Test(membership, one_way_cut_marks_neither_node_dead)
{
	MembershipWorld world(7);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 7)); }, kConvergenceTimeout).has_value());
	world.network.cutLinks.insert({0, 1});
	for (int second = 0; second < 60; ++second)
	{
		world.run(kSecond);
		cr_assert(world.agree(range(0, 7)), "view broken after %d s", second);
	}
}

Test(membership, partitioned_halves_rejoin_after_an_hour)
{
	MembershipWorld world(8);
	cr_assert(world.runUntil([&] { return world.agree(range(0, 8)); }, kConvergenceTimeout).has_value());
	for (std::size_t left = 0; left < 4; ++left)
	{
		for (std::size_t right = 4; right < 8; ++right)
		{
			world.network.cutLinks.insert({left, right});
			world.network.cutLinks.insert({right, left});
		}
	}
	cr_assert(world.runUntil([&] { return world.agree(range(0, 4)) && world.agree(range(4, 8)); }, kConvergenceTimeout)
				  .has_value());
	world.run(3600 * kSecond);
	world.network.cutLinks.clear();
	cr_assert(world.runUntil([&] { return world.agree(range(0, 8)); }, 40 * kSecond).has_value());
}

Test(membership, restarted_process_with_an_earlier_clock_rejoins)
{
	MembershipWorld world(5);
	world.run(100 * kSecond);
	world.kill(2);
	world.run(kConvergenceTimeout);
	world.now -= 90 * kSecond;
	world.start(2);
	world.now += 90 * kSecond;
	cr_assert(world.runUntil([&] { return world.agree(range(0, 5)); }, kConvergenceTimeout).has_value());
}

Test(membership, views_converge_after_random_faults)
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
							   world.network.cutLinks.insert({node, other});
						   }
						   world.run(*rc::gen::inRange<Micros>(1, 8) * kSecond);
					   }
					   world.frozen.clear();
					   world.network.cutLinks.clear();
					   RC_ASSERT(world.runUntil([&] { return world.agree(running); }, 60 * kSecond).has_value());
				   });
}

// Pattern: a deployment of many small VMs and few large ones. Guards against a small VM that handles the pieces of all
// nodes and is out of processor time in a burst.
Test(membership, large_vms_form_batches_while_one_is_alive)
{
	const std::vector<Member> members = {{"large", 100, MemberState::Alive, 0, 50},
										 {"medium", 100, MemberState::Alive, 0, 25},
										 {"small", 100, MemberState::Alive, 0, 12},
										 {"unknown", 100, MemberState::Alive, 0, 0}};
	cr_assert(batchingNodes(members) == (std::vector<std::string>{"large", "medium"}));
	cr_assert(batchingNodes({members[2], members[3]}) == std::vector<std::string>{"small"});
	cr_assert(batchingNodes({members[3]}) == std::vector<std::string>{"unknown"});
}

// Pattern: a node loses power and returns while another one has taken over its pools. Guards against two nodes that
// form batches for one pool until all views agree.
Test(membership, restarted_node_does_not_take_over_batches)
{
	const std::uint64_t start = 1'000'000'000'000;
	const std::vector<Member> members = {{"a", start + 20 * kSecond, MemberState::Alive, 0, 0},
										 {"b", start, MemberState::Alive, 0, 0},
										 {"c", start + 2 * kSecond, MemberState::Alive, 0, 0}};
	cr_assert(batchingNodes(members) == (std::vector<std::string>{"b", "c"}));
	cr_assert(batchingNodes({members[0]}) == std::vector<std::string>{"a"});
}

// Guards the processor time of a VM against updates by nodes of an earlier version, which pass it on as unknown.
Test(membership, processor_time_survives_an_update_without_it)
{
	Membership membership("a", 1, MembershipConfig{}, 1);
	membership.receive("b", Gossip{GossipKind::Ping, 1, {}, {{"b", 7, MemberState::Alive, 0, 50}}}, kSecond);
	membership.receive("c", Gossip{GossipKind::Ping, 1, {}, {{"b", 7, MemberState::Alive, 9, 0}}}, kSecond);
	cr_assert_eq(membership.members().at("b").tableOffset, 9);
	cr_assert_eq(membership.members().at("b").processorPercent, 50);
}
