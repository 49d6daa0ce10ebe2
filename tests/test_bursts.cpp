/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Bursts of the score engraver's requests on its catalogue pool, in virtual time: who is admitted, and who is in time.

#include "stage_times.h"
#include "stage_world.h"

#include <criterion/criterion.h>

using namespace roadferry;

// Pattern: a burst of the most urgent kind on a pool whose capacity it does not exceed. Guards against refusals by a
// backlog that counts pieces which wait behind the request, or were computed already.
Test(bursts, burst_of_the_most_urgent_kind_within_capacity_is_not_refused)
{
	StageWorld world;
	world.addTraffic(kFullScore, {0, 10 * kSecond, 11.6});
	world.addTraffic(kInstrumentPart, {0, 10 * kSecond, 14.1});
	world.addTraffic(kPagePreview, {0, 10 * kSecond, 13.1});
	world.addTraffic(kFullScore, {2 * kSecond, 8 * kSecond, 11.6 * 1.4});
	world.run(12 * kSecond);
	const KindCounts& counts = world.counts(kFullScore);
	cr_assert_geq(counts.shareInTime(), 0.95, "in time: %.3f", counts.shareInTime());
	cr_assert_leq(counts.shareRefused(), 0.01, "refused: %.3f", counts.shareRefused());
}

// Pattern: a third of the endpoints is lost in the burst, so that not all can be in time. Guards against refusing the
// most urgent requests first because they may wait for the shortest time.
Test(bursts, less_urgent_requests_are_refused_before_the_most_urgent_ones)
{
	StageWorld world;
	world.addTraffic(kFullScore, {0, 10 * kSecond, 11.6 * 2.4});
	world.addTraffic(kInstrumentPart, {0, 10 * kSecond, 14.1});
	world.addTraffic(kPagePreview, {0, 10 * kSecond, 13.1});
	world.setEndpoints(3);
	world.run(12 * kSecond);
	cr_assert_leq(world.counts(kFullScore).shareRefused(), world.counts(kPagePreview).shareRefused());
	cr_assert_geq(world.counts(kFullScore).shareInTime(), world.counts(kPagePreview).shareInTime());
}

// Pattern: a preview whose short branch makes a large result at the catalogue, beside a branch of three stages. Guards
// against results that lie unused and take the space of others.
Test(bursts, short_branch_starts_when_the_long_one_is_about_to_end)
{
	RoutePlanData data;
	for (const char* name : {"catalogue", "orders", "print"})
	{
		PoolSpec spec;
		spec.name = name;
		spec.batches = BatchLimits{1, 8, 200 * kMillisecond, 21 * kMillisecond, 4 * kSecond, 0};
		data.pools.push_back(spec);
	}
	Route route;
	route.stages = {
		{"catalogue", {}, 1'500'000}, {"catalogue", {}, 8'000}, {"orders", {1}, 60'000}, {"print", {2}, 6'000}};
	const RoutePlan plan(data);
	const std::vector<std::int64_t> pieceCounts = {1, 1, 1, 1};
	const StagedRoute staged{plan, route, pieceCounts};
	StageGraph graph(route.stages, pieceCounts);
	const auto takeReady = [&]
	{ return graph.takeReady([&](std::size_t _stage) { return staged.shouldStart(_stage, graph); }); };
	cr_assert(takeReady() == (std::vector<PieceIndex>{{1, 0}}));
	graph.markCompleted({1, 0}, "long-1");
	cr_assert(takeReady() == (std::vector<PieceIndex>{{0, 0}, {2, 0}}));
	graph.markCompleted({0, 0}, "short");
	graph.markCompleted({2, 0}, "long-2");
	cr_assert(takeReady() == (std::vector<PieceIndex>{{3, 0}}));
	graph.markCompleted({3, 0}, "long-3");
	cr_assert(graph.isComplete());
}

// Pattern: parallel branches of the same length, and skipped stages. Guards against a branch that waits for another
// one that never starts.
Test(bursts, equal_branches_start_together_and_skipped_stages_hold_nothing_up)
{
	const RoutePlan plan(RoutePlanData{});
	Route route;
	route.stages = {{"a", {}, 10}, {"b", {}, 10}, {"c", {}, 10}};
	const std::vector<std::int64_t> pieceCounts = {1, 1, 0};
	const StagedRoute staged{plan, route, pieceCounts};
	StageGraph graph(route.stages, pieceCounts);
	const std::vector<PieceIndex> ready =
		graph.takeReady([&](std::size_t _stage) { return staged.shouldStart(_stage, graph); });
	cr_assert(ready == (std::vector<PieceIndex>{{0, 0}, {1, 0}}));
}

// Pattern: large results that the next stage fetches, on pools spread over failure domains. Guards against results
// that cross failure domains although the request has time to wait for a near endpoint.
Test(bursts, piece_with_time_to_spare_waits_for_its_failure_domain_and_an_urgent_one_does_not)
{
	Batcher batcher(BatchConfig{});
	PoolSpec spec;
	spec.name = "orders";
	spec.batches = BatchLimits{1, 8, 200 * kMillisecond, 21 * kMillisecond, 4 * kSecond, 0};
	batcher.setPools({spec});
	batcher.setEndpoints({Endpoint{"far", "10.0.0.1:80", "orders", "south", 1, false}});
	PieceOrder patient;
	patient.orderId = 1;
	patient.request = "patient";
	patient.preferredDomain = "north";
	patient.deadline = 5 * kSecond;
	patient.due = 2 * kSecond;
	batcher.add("orders", patient, 0);
	cr_assert(batcher.tick(0).empty());
	cr_assert(batcher.tick(100 * kMillisecond).empty());
	PieceOrder urgent = patient;
	urgent.orderId = 2;
	urgent.request = "urgent";
	urgent.due = 900 * kMillisecond;
	batcher.add("orders", urgent, 100 * kMillisecond);
	const BatchActions first = batcher.tick(100 * kMillisecond);
	cr_assert_eq(std::get<StartBatch>(first.at(0)).orders.size(), 1);
	cr_assert(std::get<StartBatch>(first.at(0)).orders[0].request == "urgent");
	const BatchActions second = batcher.batchEnded(1, BatchAnswered{{std::string("handle")}}, 300 * kMillisecond);
	cr_assert(std::get<StartBatch>(second.at(1)).orders[0].request == "patient");
}

// Pattern: a burst on a pool that has no endpoint to spare. Guards against endpoints that idle while pieces wait for
// another failure domain.
Test(bursts, pieces_wait_for_no_failure_domain_in_an_overloaded_pool)
{
	Batcher batcher(BatchConfig{});
	PoolSpec spec;
	spec.name = "orders";
	spec.batches = BatchLimits{1, 2, 200 * kMillisecond, 21 * kMillisecond, 4 * kSecond, 0};
	batcher.setPools({spec});
	batcher.setEndpoints({Endpoint{"far", "10.0.0.1:80", "orders", "south", 1, false}});
	PieceOrder order;
	order.request = "r";
	order.deadline = 9 * kSecond;
	order.due = 5 * kSecond;
	for (order.orderId = 1; order.orderId <= 6; ++order.orderId)
	{
		order.preferredDomain = order.orderId <= 4 ? "south" : "north";
		batcher.add("orders", order, 0);
	}
	cr_assert_eq(std::get<StartBatch>(batcher.tick(0).at(0)).orders.size(), 2);
	const BatchAnswered answered{{std::string("h-1"), std::string("h-2")}};
	cr_assert_eq(std::get<StartBatch>(batcher.batchEnded(1, answered, 242 * kMillisecond).at(2)).orders.size(), 2);
	order.orderId = 7; // The pool is overloaded by now: pieces have waited longer than for a failure domain.
	order.preferredDomain = "north";
	batcher.add("orders", order, 300 * kMillisecond);
	cr_assert(batcher.tick(300 * kMillisecond).empty());
	cr_assert_eq(std::get<StartBatch>(batcher.batchEnded(2, answered, 484 * kMillisecond).at(2)).orders.size(), 2);
	const BatchActions last = batcher.batchEnded(3, answered, 726 * kMillisecond);
	cr_assert_eq(std::get<StartBatch>(last.at(2)).orders.front().orderId, 7);
}
