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

/// Decision on a request, with the waits behind it.
struct AdmissionVerdict
{
	bool admitted = true;
	std::map<std::string, Micros> waits; ///< Predicted wait at each pool.
	bool operator==(const AdmissionVerdict&) const = default;
};

/// Admits requests as long as the pools of all their stages can compute their pieces in time. Pieces of later stages
/// are expected from the admission of their request until they are ready, so the load of a burst on later stages is
/// predicted when its requests arrive. From then on they count in the queue of their pool. Runs on the batching node
/// of a request's first stage.
class StageAdmission
{
public:
	void setPools(const std::vector<PoolSpec>& _pools);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Decides on a request, and expects its pieces of later stages if it is admitted.
	/// @param[in] _waits Time until a piece that is ready now would be in a call, for pools where it is known.
	AdmissionVerdict admit(const AdmissionTerms& _terms, const std::map<std::string, Micros>& _waits, Micros _now);

	/// @returns Pieces of admitted requests that are not ready yet.
	[[nodiscard]] std::int64_t expectedPieces(const std::string& _pool, Micros _now) const;

private:
	struct Pool
	{
		BatchLimits limits;
		std::int64_t endpoints = 0;
		std::multimap<Micros, std::int64_t> expected; ///< By the time point at which they are ready: number of pieces.
	};

	[[nodiscard]] static Micros timeFor(const Pool& _pool, std::int64_t _pieces);
	[[nodiscard]] Micros waitAt(const PoolDemand& _demand, Micros _queued, Micros _now) const;

	std::map<std::string, Pool> pools;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ADMISSION_H_HEADER_GUARD
