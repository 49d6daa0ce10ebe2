/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// How long the stages of a route take.

#ifndef ROADFERRY_STAGE_TIMES_H_HEADER_GUARD
#define ROADFERRY_STAGE_TIMES_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// A route with the pieces that one request has in each of its stages; a stage without any is left out.
struct StagedRoute
{
	const RoutePlan& plan;
	const Route& route;
	const std::vector<std::int64_t>& pieces;

	[[nodiscard]] std::int64_t piecesOf(std::size_t _stage) const;

	/// @returns Predicted time from the end of a stage until the request itself can be sent, without waiting for calls.
	[[nodiscard]] Micros timeAfter(std::size_t _stage) const;

	/// @returns Predicted time of all stages, without waiting for calls.
	[[nodiscard]] Micros totalTime() const;

	/// @returns What the request asks of each pool.
	[[nodiscard]] std::vector<PoolDemand> demand() const;

private:
	[[nodiscard]] Micros callTime(std::size_t _stage) const;
};

} // namespace roadferry

#endif // ROADFERRY_STAGE_TIMES_H_HEADER_GUARD
