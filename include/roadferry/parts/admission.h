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

/// Decision on a request, with the waits behind it.
struct AdmissionVerdict
{
	bool admitted = true;
	std::map<std::string, Micros> waits; ///< Predicted wait at each pool.
	bool operator==(const AdmissionVerdict&) const = default;
};

/// Settings of a StageAdmission.
struct AdmissionConfig
{
	/// Fraction of its nominal rate that a pool reaches: calls are not always full, and results wait for space.
	/// From replays of busy days of both users (docs/design/platform.md).
	double efficiency = 0.75;
	bool operator==(const AdmissionConfig&) const = default;
};

/// Admits requests as long as the pools of all their stages can compute their pieces in time. Each pool has a backlog:
/// admitted pieces that, at the pool's rate, cannot have been computed yet. The load of a burst on later stages is
/// thus predicted when its requests arrive, not when their pieces do. Runs on the batching node of a request's
/// first stage.
class StageAdmission
{
public:
	explicit StageAdmission(AdmissionConfig _config);

	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Decides on a request, and adds its pieces to the backlogs if it is admitted.
	/// @param[in] _waits Time until a piece would be in a call according to the pools' queues, for pools where it is
	/// known.
	AdmissionVerdict admit(const AdmissionTerms& _terms, const std::map<std::string, Micros>& _waits, Micros _now);

	/// @returns Predicted time that a piece waits for a call in a pool, from the backlog; 0 for an unknown rate.
	[[nodiscard]] Micros backlogTime(const std::string& _pool, Micros _now) const;

private:
	struct Pool
	{
		BatchLimits limits;
		std::int64_t endpoints = 0;
		double backlog = 0; ///< Pieces, as of backlogAt.
		Micros backlogAt = 0;
	};

	/// @returns Pieces that the pool computes per microsecond.
	[[nodiscard]] double rateOf(const Pool& _pool) const;
	[[nodiscard]] double backlogOf(const Pool& _pool, Micros _now) const;

	AdmissionConfig config;
	std::map<std::string, Pool> pools;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ADMISSION_H_HEADER_GUARD
