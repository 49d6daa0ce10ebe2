/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Predicted times of the stages of a route.

#ifndef ROADFERRY_STAGE_TIMES_H_HEADER_GUARD
#define ROADFERRY_STAGE_TIMES_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// A route and the number of pieces of one request in each of its stages; a stage without pieces is skipped.
struct StagedRoute
{
	const RoutePlan& plan;
	const Route& route;
	const std::vector<std::int64_t>& pieces;

	[[nodiscard]] std::int64_t piecesOf(std::size_t _stage) const;

	/// @returns Predicted time from the end of a stage until the request itself can be sent, without time in queues.
	[[nodiscard]] Micros timeAfter(std::size_t _stage) const;

	/// @returns Predicted time of all stages, without time in queues.
	[[nodiscard]] Micros totalTime() const;

	/// @returns Predicted time until a stage can begin, without time in queues.
	[[nodiscard]] Micros timeBefore(std::size_t _stage) const;

	/// Backward scheduling of parallel branches: a stage starts when the rest of its branch, with one call time to
	/// spare, takes as long as the longest rest of the other branches. Its results would lie unused until then, in
	/// space that the endpoint lacks for others.
	/// @param[in] _graph Progress of the request.
	/// @returns Whether a stage whose inputs are complete should start now.
	[[nodiscard]] bool shouldStart(std::size_t _stage, const StageGraph& _graph) const;

	/// @returns Number of pieces of the request by pool, in the order of its stages.
	[[nodiscard]] std::vector<PoolDemand> demand() const;

private:
	[[nodiscard]] Micros callTime(std::size_t _stage) const;
};

} // namespace roadferry

#endif // ROADFERRY_STAGE_TIMES_H_HEADER_GUARD
