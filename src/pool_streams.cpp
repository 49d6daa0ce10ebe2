/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of PoolStreams.

#include "pool_streams.h"

namespace roadferry
{

namespace
{

/// Two runs can end early at the same event: of streams of 4 to 50 events, about one in 100 that end early. Three do so
/// hardly ever.
constexpr std::int64_t kAgreeingRuns = 3;
constexpr std::int64_t kAgreeingRunsWhereSound = 2; ///< Where ends are seldom early.
/// Ends confirmed without an early one among them that show this: few more than one in 50 are early then.
constexpr std::int64_t kConfirmedEnds = 50;

} // namespace

void PoolStreams::noteUnmarkedEnd(const std::string& _pool, Micros _now)
{
	if (!this->mustOverlap(_pool, _now))
	{
		this->confirmedEnds.erase(_pool);
	}
	this->needsOverlapAt[_pool] = _now;
}

void PoolStreams::noteSparseIds(const std::string& _pool, Micros _now)
{
	this->needsOverlapAt[_pool] = _now;
}

void PoolStreams::noteConfirmedEnd(const std::string& _pool)
{
	this->confirmedEnds[_pool] += 1;
}

void PoolStreams::noteEarlyEnd(const std::string& _pool)
{
	this->confirmedEnds[_pool] = 0;
}

bool PoolStreams::mustOverlap(const std::string& _pool, Micros _now) const
{
	const auto found = this->needsOverlapAt.find(_pool);
	return found != this->needsOverlapAt.end() && _now - found->second < kMemory;
}

std::int64_t PoolStreams::agreeingRuns(const std::string& _pool) const
{
	const auto found = this->confirmedEnds.find(_pool);
	const bool isSound = found != this->confirmedEnds.end() && found->second >= kConfirmedEnds;
	return isSound ? kAgreeingRunsWhereSound : kAgreeingRuns;
}

} // namespace roadferry
