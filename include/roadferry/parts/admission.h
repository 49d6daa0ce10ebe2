/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: admission of requests to the pools that compute their pieces.

#ifndef ROADFERRY_PARTS_ADMISSION_H_HEADER_GUARD
#define ROADFERRY_PARTS_ADMISSION_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/routes.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace roadferry
{

/// Pieces of a request for one pool, over all its stages.
struct PoolDemand
{
	std::string pool;
	std::int64_t pieces = 0;
	Micros arrivesIn = 0; ///< Predicted time until the first of them are ready, without time in queues.
	bool operator==(const PoolDemand&) const = default;
};

/// Conditions under which a request is admitted.
struct AdmissionTerms
{
	Micros maxWait = 0; ///< Longest time that its pieces may wait for endpoints, summed over the pools of its stages.
	bool refusable = false; ///< Whether it may be refused, to be retried later; otherwise it is only counted.
	std::vector<PoolDemand> demand;
	bool operator==(const AdmissionTerms&) const = default;
};

/// What the batching node of a pool knows of it.
struct PoolForecast
{
	Micros wait = 0;       ///< Time until a piece that is ready now would be in a call.
	std::int64_t rate = 0; ///< Pieces per second that it computes while pieces wait; 0 if unknown.
	bool operator==(const PoolForecast&) const = default;
};

/// Decision on a request, with the waits behind it.
struct AdmissionVerdict
{
	bool admitted = true;
	std::map<std::string, Micros> waits; ///< Predicted wait at each pool.
	bool operator==(const AdmissionVerdict&) const = default;
};

/// Admits requests as long as the pools of all their stages can compute their pieces in time. For pieces that are ready
/// the queue of their pool tells the wait. Pieces of later stages count in a backlog of their pool from the admission
/// of their request, which drains at the rate that the pool was measured to reach, so the load of a burst on later
/// stages is predicted when its requests arrive. Runs on the batching node of a request's first stage.
class StageAdmission
{
public:
	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Decides on a request, and adds its pieces of later stages to the backlogs if it is admitted.
	/// @param[in] _forecasts By pool, where it is known.
	AdmissionVerdict admit(const AdmissionTerms& _terms, const std::map<std::string, PoolForecast>& _forecasts,
						   Micros _now);

	/// @returns Pieces of later stages that the pool cannot have computed yet.
	[[nodiscard]] double backlog(const std::string& _pool, Micros _now) const;

private:
	struct Pool
	{
		BatchLimits limits;
		std::int64_t endpoints = 0;
		std::int64_t measuredRate = 0; ///< As reported last, in pieces per second; 0 if unknown.
		double backlog = 0;            ///< Pieces, as of backlogAt.
		Micros backlogAt = 0;
	};

	[[nodiscard]] static double rateOf(const Pool& _pool);
	[[nodiscard]] Micros waitAt(const PoolDemand& _demand, const PoolForecast& _forecast, Micros _now);

	std::map<std::string, Pool> pools;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ADMISSION_H_HEADER_GUARD
