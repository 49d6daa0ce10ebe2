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

/// Returns pieces per microsecond, by the measured rate or else by full calls; 0 if neither is known.
double StageAdmission::rateOf(const Pool& _pool)
{
	if (_pool.measuredRate > 0)
	{
		return static_cast<double>(_pool.measuredRate) / static_cast<double>(kSecond);
	}
	const Micros callTime = _pool.limits.callTime + _pool.limits.pieceTime * _pool.limits.maxPieces;
	const std::int64_t concurrentPieces = _pool.endpoints * _pool.limits.slots * _pool.limits.maxPieces;
	return callTime <= 0 ? 0 : static_cast<double>(concurrentPieces) / static_cast<double>(callTime);
}

double StageAdmission::backlog(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return 0;
	}
	const Pool& pool = found->second;
	return std::max(0.0, pool.backlog - rateOf(pool) * static_cast<double>(_now - pool.backlogAt));
}

/// Returns the predicted wait of a request's pieces at a pool; no pieces are expected before those that are ready.
Micros StageAdmission::waitAt(const PoolDemand& _demand, const PoolForecast& _forecast, Micros _now)
{
	if (_demand.arrivesIn <= 0)
	{
		return _forecast.wait;
	}
	Pool& pool = this->pools[_demand.pool];
	pool.backlog = this->backlog(_demand.pool, _now);
	pool.backlogAt = _now;
	pool.measuredRate = _forecast.rate;
	const double rate = rateOf(pool);
	const Micros backlogTime = rate <= 0 ? 0 : static_cast<Micros>(pool.backlog / rate);
	return std::max(_forecast.wait, backlogTime);
}

AdmissionVerdict StageAdmission::admit(const AdmissionTerms& _terms,
									   const std::map<std::string, PoolForecast>& _forecasts, Micros _now)
{
	AdmissionVerdict verdict;
	Micros totalWait = 0;
	for (const PoolDemand& demand : _terms.demand)
	{
		const auto forecast = _forecasts.find(demand.pool);
		const Micros wait =
			this->waitAt(demand, forecast == _forecasts.end() ? PoolForecast() : forecast->second, _now);
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
			this->pools[demand.pool].backlog += static_cast<double>(demand.pieces);
		}
	}
	return verdict;
}

} // namespace roadferry
