/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Decides which requests are let in to the pools that make their pieces.

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
	const Micros call = _pool.limits.callTime + _pool.limits.pieceTime * _pool.limits.maxPieces;
	if (call <= 0)
	{
		return 0;
	}
	const std::int64_t atOnce = _pool.endpoints * _pool.limits.slots * _pool.limits.maxPieces;
	return this->config.efficiency * static_cast<double>(atOnce) / static_cast<double>(call);
}

double StageAdmission::backlogOf(const Pool& _pool, Micros _now) const
{
	return std::max(0.0, _pool.backlog - this->rateOf(_pool) * static_cast<double>(_now - _pool.at));
}

Micros StageAdmission::backlogTime(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end() || this->rateOf(found->second) <= 0)
	{
		return 0; // Of a pool that nothing is known of nothing can be foreseen.
	}
	return static_cast<Micros>(this->backlogOf(found->second, _now) / this->rateOf(found->second));
}

AdmissionVerdict StageAdmission::admit(const AdmissionTerms& _terms, const std::map<std::string, Micros>& _waits,
									   Micros _now)
{
	AdmissionVerdict verdict;
	Micros sum = 0;
	for (const PoolDemand& demand : _terms.demand)
	{
		const auto known = _waits.find(demand.pool);
		const Micros queued = known == _waits.end() ? 0 : known->second;
		const Micros wait = std::max(queued, this->backlogTime(demand.pool, _now));
		verdict.waits[demand.pool] = wait;
		sum += wait;
	}
	verdict.admitted = !_terms.refusable || sum <= _terms.waitMost;
	if (!verdict.admitted)
	{
		return verdict;
	}
	for (const PoolDemand& demand : _terms.demand)
	{
		Pool& pool = this->pools[demand.pool];
		pool.backlog = this->backlogOf(pool, _now) + static_cast<double>(demand.pieces);
		pool.at = _now;
	}
	return verdict;
}

} // namespace roadferry
