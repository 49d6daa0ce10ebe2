/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Load on endpoints that crash if they reject too many requests in a second, in virtual time.

#include "brittle_world.h"

#include <criterion/criterion.h>

using namespace roadferry;

namespace
{

constexpr Micros kEnd = 26 * kSecond;

/// Checks the number of endpoints that ended for their rejections.
void checkFalls(const BrittleWorld& _world, const BrittleConfig& _config)
{
	const std::size_t bound = 2 + _config.endpoints / 10;
	cr_assert_leq(_world.falls, bound, "seed %lu: %zu endpoints ended (bound %zu) after %zu rejections", _config.seed,
				  _world.falls, bound, _world.rejections);
}

void runSeeds(BrittleConfig _config, const std::function<void(BrittleWorld&)>& _prepare)
{
	constexpr std::uint64_t kSeeds = 10;
	for (_config.seed = 1; _config.seed <= kSeeds; ++_config.seed)
	{
		BrittleWorld world(_config);
		_prepare(world);
		world.run(kEnd);
		checkFalls(world, _config);
	}
}

} // namespace

/// Guards against rejections that end brittle endpoints although there is room for the load.
Test(brittle, load_below_the_slots_ends_no_endpoints)
{
	runSeeds(BrittleConfig{}, [](BrittleWorld&) {});
}

/// Guards against retries of rejected requests ending endpoint after endpoint under too much load, and against
/// serving far less than endpoints that do not crash would.
Test(brittle, overload_ends_no_endpoints_and_serves_what_there_is_room_for)
{
	BrittleConfig config;
	config.load = 1.7;
	runSeeds(config, [](BrittleWorld&) {});
	BrittleWorld brittle(config);
	brittle.run(kEnd);
	config.rejectionLimit = 0;
	BrittleWorld sturdy(config);
	sturdy.run(kEnd);
	constexpr double kMinRatio = 0.8;
	cr_assert_geq(static_cast<double>(brittle.served), kMinRatio * static_cast<double>(sturdy.served),
				  "%zu served, %zu by endpoints that do not crash", brittle.served, sturdy.served);
}

/// Guards against the hard moments of a brittle time: a burst, new instances, an endpoint that ends while its load goes
/// to the others, and callers who all come to one node.
Test(brittle, burst_ends_no_endpoints)
{
	runSeeds(BrittleConfig{}, [](BrittleWorld& _world) { _world.burst(12 * kSecond, 18 * kSecond, 2.5); });
}

Test(brittle, release_ends_no_endpoints)
{
	runSeeds(BrittleConfig{}, [](BrittleWorld& _world) { _world.release(10 * kSecond, 700 * kMillisecond); });
}

Test(brittle, end_of_one_endpoint_does_not_end_others)
{
	BrittleConfig config;
	config.load = 1.1;
	runSeeds(config, [](BrittleWorld& _world) { _world.crash(12 * kSecond); });
}

Test(brittle, callers_who_come_to_one_node_end_no_endpoints)
{
	BrittleConfig config;
	config.unevenness = 0.5;
	runSeeds(config, [](BrittleWorld&) {});
}

/// Guards large fleets: more nodes than slots must neither end endpoints nor leave the callers of most nodes unserved.
Test(brittle, more_nodes_than_slots_share_them)
{
	BrittleConfig config;
	config.nodes = 40;
	config.endpoints = 4;
	config.slots = 6;
	config.load = 0.7;
	config.meanWork = 20 * kMillisecond;
	runSeeds(config, [](BrittleWorld&) {});
	BrittleWorld world(config);
	world.run(kEnd);
	constexpr double kMinServed = 0.5;
	cr_assert_geq(static_cast<double>(world.served), kMinServed * static_cast<double>(world.sent), "%zu of %zu served",
				  world.served, world.sent);
}
