/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: which requests are let in to the pools that make their pieces.

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

/// Pieces that a request will ask of one pool, over all its stages.
struct PoolDemand
{
	std::string pool;
	std::int64_t pieces = 0;
	bool operator==(const PoolDemand&) const = default;
};

/// What a request needs of the pools to be in time.
struct AdmissionTerms
{
	Micros maxWait = 0;     ///< Time that its pieces may wait for endpoints, over all its stages.
	bool refusable = false; ///< Whether it may be told to come back later; else it is only counted.
	std::vector<PoolDemand> demand;
	bool operator==(const AdmissionTerms&) const = default;
};

/// What decided about a request.
struct AdmissionVerdict
{
	bool admitted = true;
	std::map<std::string, Micros> waits; ///< Predicted wait at each pool.
	bool operator==(const AdmissionVerdict&) const = default;
};

/// Bounds of a StageAdmission.
struct AdmissionConfig
{
	/// Part of a pool's nominal rate that it reaches: calls are not always full, and results wait for room.
	/// From plays of busy days of both users (docs/design/platform.md).
	double efficiency = 0.75;
	bool operator==(const AdmissionConfig&) const = default;
};

/// Lets requests in as long as the pools of all their stages can make their pieces in time. Each pool has a backlog:
/// what was let in and, at the pool's rate, cannot have been made yet. The later stages of a burst are foreseen that
/// way when its requests arrive, not when their pieces do. Kept by the node that forms the batches of a request's first
/// stage.
class StageAdmission
{
public:
	explicit StageAdmission(AdmissionConfig _config);

	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Decides on a request and counts it where it is let in.
	/// @param[in] _waits Time until a piece would be in a call as the pools' queues have it, for pools where it is
	/// known.
	AdmissionVerdict admit(const AdmissionTerms& _terms, const std::map<std::string, Micros>& _waits, Micros _now);

	/// @returns Predicted time that a piece waits for a call in a pool, judging by what was let in.
	[[nodiscard]] Micros backlogTime(const std::string& _pool, Micros _now) const;

private:
	struct Pool
	{
		BatchLimits limits;
		std::int64_t endpoints = 0;
		double backlog = 0; ///< Pieces, at the time below.
		Micros backlogAt = 0;
	};

	/// @returns Pieces that the pool makes in a microsecond.
	[[nodiscard]] double rateOf(const Pool& _pool) const;
	[[nodiscard]] double backlogOf(const Pool& _pool, Micros _now) const;

	AdmissionConfig config;
	std::map<std::string, Pool> pools;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ADMISSION_H_HEADER_GUARD
