/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Predicted times of the stages of a route.

#include "stage_times.h"

#include <algorithm>

namespace roadferry
{

namespace
{

/// Part of a batch that is filled in a pool that is busy but not overloaded.
constexpr double kTypicalFill = 0.5;

} // namespace

std::int64_t StagedRoute::piecesOf(std::size_t _stage) const
{
	return _stage < this->pieces.size() ? this->pieces[_stage] : 0;
}

Micros StagedRoute::callTime(std::size_t _stage) const
{
	const PoolSpec* pool = this->plan.pool(this->route.stages[_stage].pool);
	if (pool == nullptr || !pool->batches || this->piecesOf(_stage) <= 0)
	{
		return 0;
	}
	const double filled = kTypicalFill * static_cast<double>(pool->batches->maxPieces);
	return pool->batches->callTime + static_cast<Micros>(filled * static_cast<double>(pool->batches->pieceTime));
}

Micros StagedRoute::timeAfter(std::size_t _stage) const
{
	Micros longest = 0;
	const std::vector<RouteStage>& stages = this->route.stages;
	for (std::size_t next = 0; next < stages.size(); ++next)
	{
		if (std::find(stages[next].after.begin(), stages[next].after.end(), _stage) != stages[next].after.end())
		{
			longest = std::max(longest, this->callTime(next) + this->timeAfter(next));
		}
	}
	return longest;
}

Micros StagedRoute::timeBefore(std::size_t _stage) const
{
	Micros longest = 0;
	for (const std::size_t before : this->route.stages[_stage].after)
	{
		longest = std::max(longest, this->timeBefore(before) + this->callTime(before));
	}
	return longest;
}

Micros StagedRoute::totalTime() const
{
	Micros longest = 0;
	for (std::size_t stage = 0; stage < this->route.stages.size(); ++stage)
	{
		longest = std::max(longest, this->callTime(stage) + this->timeAfter(stage));
	}
	return longest;
}

bool StagedRoute::shouldStart(std::size_t _stage, const StageGraph& _graph) const
{
	Micros longestRest = 0;
	for (std::size_t other = 0; other < this->route.stages.size(); ++other)
	{
		if (other != _stage && !_graph.isStageCompleted(other))
		{
			longestRest = std::max(longestRest, this->callTime(other) + this->timeAfter(other));
		}
	}
	const Micros spare = this->callTime(_stage);
	return this->callTime(_stage) + this->timeAfter(_stage) + spare >= longestRest;
}

std::vector<PoolDemand> StagedRoute::demand() const
{
	std::vector<PoolDemand> demand;
	for (std::size_t stage = 0; stage < this->route.stages.size(); ++stage)
	{
		const std::string& pool = this->route.stages[stage].pool;
		const auto known =
			std::find_if(demand.begin(), demand.end(), [&](const PoolDemand& _demand) { return _demand.pool == pool; });
		if (known != demand.end())
		{
			known->pieces += this->piecesOf(stage);
			known->arrivesIn = std::min(known->arrivesIn, this->timeBefore(stage));
		}
		else if (this->piecesOf(stage) > 0)
		{
			demand.push_back(PoolDemand{pool, this->piecesOf(stage), this->timeBefore(stage)});
		}
	}
	return demand;
}

} // namespace roadferry
