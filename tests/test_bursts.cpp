/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Bursts of the score engraver's requests on its catalogue pool, in virtual time: who is admitted, and who is in time.

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
