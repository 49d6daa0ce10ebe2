/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the admission of requests to pools.

#include <roadferry/parts/admission.h>

#include <algorithm>

namespace roadferry
{

void StageAdmission::setPools(const std::vector<PoolSpec>& _pools)
{
	for (const PoolSpec& spec : _pools)
	{
		if (spec.batches)
		{
			this->pools[spec.name].limits = *spec.batches;
		}
	}
}

void StageAdmission::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	for (auto& entry : this->pools)
	{
		entry.second.endpoints = std::count_if(_endpoints.begin(), _endpoints.end(),
											   [&](const Endpoint& _endpoint)
											   { return _endpoint.pool == entry.first && !_endpoint.leaving; });
	}
}

/// Returns the time in which all endpoints of a pool together compute a number of pieces; 0 for an unknown rate.
Micros StageAdmission::timeFor(const Pool& _pool, std::int64_t _pieces)
{
	const std::int64_t concurrentPieces = _pool.endpoints * _pool.limits.slots * _pool.limits.maxPieces;
	if (concurrentPieces <= 0)
	{
		return 0;
	}
	const Micros callTime = _pool.limits.callTime + _pool.limits.pieceTime * _pool.limits.maxPieces;
	return callTime * _pieces / concurrentPieces;
}

std::int64_t StageAdmission::expectedPieces(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	std::int64_t pieces = 0;
	if (found != this->pools.end())
	{
		const auto& expected = found->second.expected;
		std::for_each(expected.upper_bound(_now), expected.end(),
					  [&pieces](const auto& _entry) { pieces += _entry.second; });
	}
	return pieces;
}

/// Returns the predicted wait of a request's pieces at a pool. Until they are ready the pool computes pieces of its
/// queue and those that are expected before them.
Micros StageAdmission::waitAt(const PoolDemand& _demand, Micros _queued, Micros _now) const
{
	const auto found = this->pools.find(_demand.pool);
	if (_demand.arrivesIn <= 0 || found == this->pools.end())
	{
		return _queued;
	}
	const Micros expectedTime = timeFor(found->second, this->expectedPieces(_demand.pool, _now));
	return std::max<Micros>(0, _queued + expectedTime - _demand.arrivesIn);
}

AdmissionVerdict StageAdmission::admit(const AdmissionTerms& _terms, const std::map<std::string, Micros>& _waits,
									   Micros _now)
{
	AdmissionVerdict verdict;
	Micros totalWait = 0;
	for (const PoolDemand& demand : _terms.demand)
	{
		const auto queued = _waits.find(demand.pool);
		const Micros wait = this->waitAt(demand, queued == _waits.end() ? 0 : queued->second, _now);
		verdict.waits[demand.pool] = wait;
		totalWait += wait;
	}
	verdict.admitted = !_terms.refusable || totalWait <= _terms.maxWait;
	if (!verdict.admitted)
	{
		return verdict;
	}
	for (const PoolDemand& demand : _terms.demand)
	{
		if (demand.arrivesIn > 0)
		{
			auto& expected = this->pools[demand.pool].expected;
			expected.erase(expected.begin(), expected.upper_bound(_now));
			expected.emplace(_now + demand.arrivesIn, demand.pieces);
		}
	}
	return verdict;
}

} // namespace roadferry
