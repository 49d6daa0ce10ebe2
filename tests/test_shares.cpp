/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Limits split over nodes: the sum stays within the limit, and demand receives the unused part.

#include "property.h"
#include "share_world.h"

namespace
{

using namespace roadferry;

constexpr std::int64_t kLimit = 700;
const std::map<std::string, std::int64_t> kLimits = {{"hall", kLimit}, {"results", 70}};

} // namespace

Test(shares, skewed_demand_uses_the_shares_of_idle_nodes)
{
	ShareWorld world(7, kLimits);
	world.demand[2]["hall"] = 600;
	world.run(20 * kSecond);
	cr_assert_leq(world.sum("hall"), kLimit);
	// The whole limit except the floors of the six idle nodes, which are a quarter of an even split each.
	cr_assert_geq(world.used("hall"), kLimit - 6 * 25 - 6);
}

Test(shares, isolated_node_falls_back_to_its_even_split_within_the_limit)
{
	ShareWorld world(7, kLimits);
	for (std::size_t node = 0; node < 7; ++node)
	{
		world.demand[node]["hall"] = 300;
	}
	world.run(20 * kSecond);
	for (std::size_t other = 0; other < 7; ++other)
	{
		world.network.cutLinks.insert({3, other});
		world.network.cutLinks.insert({other, 3});
	}
	for (int step = 0; step < 600; ++step)
	{
		world.step();
		cr_assert_leq(world.sum("hall"), kLimit, "after %d steps: %ld", step, static_cast<long>(world.sum("hall")));
	}
	cr_assert_geq(world.nodes[3]->shares(world.now).at("hall"), 100);
	cr_assert_geq(world.used("hall"), kLimit - 14);
}

Test(shares, sum_stays_within_the_limit_under_faults)
{
	checkHistories("shares",
				   []
				   {
					   ShareWorld world(5, kLimits);
					   const int steps = *rc::gen::inRange(1, 40);
					   for (int index = 0; index < steps; ++index)
					   {
						   const auto node = *rc::gen::inRange<std::size_t>(0, 5);
						   const auto other = *rc::gen::inRange<std::size_t>(0, 5);
						   switch (*rc::gen::inRange(0, 7))
						   {
						   case 0:
						   case 1:
						   case 2:
							   world.demand[node]["hall"] = *rc::gen::inRange<std::int64_t>(0, 900);
							   break;
						   case 3:
							   world.network.cutLinks.insert({node, other});
							   break;
						   case 4:
							   world.network.cutLinks.clear();
							   break;
						   case 5:
							   world.start(node);
							   break;
						   default:
							   world.run(*rc::gen::inRange<Micros>(1, 30) * 200 * kMillisecond);
							   break;
						   }
						   world.step();
						   RC_ASSERT(world.sum("hall") <= kLimit);
						   RC_ASSERT(world.sum("results") <= 70);
					   }
				   });
}
