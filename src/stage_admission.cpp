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

StageAdmission::StageAdmission(AdmissionConfig _config) : config(_config)
{
}

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

double StageAdmission::rateOf(const Pool& _pool) const
{
	const Micros callTime = _pool.limits.callTime + _pool.limits.pieceTime * _pool.limits.maxPieces;
	if (callTime <= 0)
	{
		return 0;
	}
	const std::int64_t concurrentPieces = _pool.endpoints * _pool.limits.slots * _pool.limits.maxPieces;
	return this->config.efficiency * static_cast<double>(concurrentPieces) / static_cast<double>(callTime);
}

double StageAdmission::backlogOf(const Pool& _pool, Micros _now) const
{
	return std::max(0.0, _pool.backlog - this->rateOf(_pool) * static_cast<double>(_now - _pool.backlogAt));
}

Micros StageAdmission::backlogTime(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end() || this->rateOf(found->second) <= 0)
	{
		return 0; // The rate is unknown, for instance because the pool has no endpoint.
	}
	return static_cast<Micros>(this->backlogOf(found->second, _now) / this->rateOf(found->second));
}

AdmissionVerdict StageAdmission::admit(const AdmissionTerms& _terms, const std::map<std::string, Micros>& _waits,
									   Micros _now)
{
	AdmissionVerdict verdict;
	Micros totalWait = 0;
	for (const PoolDemand& demand : _terms.demand)
	{
		const auto queueWait = _waits.find(demand.pool);
		const Micros queued = queueWait == _waits.end() ? 0 : queueWait->second;
		const Micros wait = std::max(queued, this->backlogTime(demand.pool, _now));
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
		Pool& pool = this->pools[demand.pool];
		pool.backlog = this->backlogOf(pool, _now) + static_cast<double>(demand.pieces);
		pool.backlogAt = _now;
	}
	return verdict;
}

} // namespace roadferry
