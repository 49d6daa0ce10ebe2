/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: endpoints: membership, leaving endpoints, load.

#ifndef ROADFERRY_PARTS_ENDPOINT_STATE_H_HEADER_GUARD
#define ROADFERRY_PARTS_ENDPOINT_STATE_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace roadferry
{

/// Load that an endpoint reports about itself.
struct LoadReport
{
	std::int64_t running = 0;
	std::int64_t queued = 0;
	bool leaving = false;
	bool operator==(const LoadReport&) const = default;
};

/// State of one endpoint as a node sees it.
struct EndpointState
{
	Endpoint endpoint;
	std::int64_t ownInFlight = 0;         ///< Calls in flight from this node.
	double othersInFlight = 0;            ///< Calls in flight from other nodes, smoothed over load reports.
	double ownWorkUs = 0;                 ///< Predicted service time of this node's calls in flight, in microseconds.
	double smoothedOwnInFlight = 0;       ///< ownInFlight, smoothed over about the lag of the load reports.
	std::int64_t consecutiveFailures = 0; ///< Failed calls since the last success.
	Micros ejectedUntil = 0;              ///< Time point; gets no calls until then, and afterwards one probe at a time.
	bool probing = false;
	bool reportedEnded = false; ///< Ejected since its process was reported to have ended.
	double slowness = 1;        ///< Smoothed ratio of measured to predicted service time, 1 for as predicted.
	std::int64_t quota = -1;    ///< Slots reserved for this node while the pool has a rejection limit; -1 if unknown.
	bool quotaIsShared = false; ///< Other nodes have the same slot: there are more nodes than slots.
	Micros noCallsUntil = 0;    ///< Time point until which it gets no calls after a rejection in such a pool.
	bool listed = true;         ///< Whether it is on the newest VM list.

	/// @returns Calls in flight from all nodes, as a multiple of the endpoint's slots.
	[[nodiscard]] double load() const;

	/// @returns Whether it may receive new calls, regardless of free slots.
	[[nodiscard]] bool isUsable(Micros _now) const;
};

/// Chooses the subset of each pool that a node uses, by rendezvous hashing: adding or removing a node or an endpoint
/// changes few of the other node-endpoint pairs.
/// @param[in] _node Address of the node.
/// @param[in] _endpoints All endpoints.
/// @param[in] _perPool Maximum number of endpoints chosen per pool.
std::vector<Endpoint> selectSubset(const std::string& _node, const std::vector<Endpoint>& _endpoints,
								   std::size_t _perPool);

} // namespace roadferry

#endif // ROADFERRY_PARTS_ENDPOINT_STATE_H_HEADER_GUARD
