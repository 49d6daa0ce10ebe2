/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// State of the endpoints of all pools, as seen by one node.

#ifndef ROADFERRY_ENDPOINT_REGISTRY_H_HEADER_GUARD
#define ROADFERRY_ENDPOINT_REGISTRY_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// Capacity and use of one pool.
struct PoolCapacity
{
	double slots = 0;    ///< Slots of all usable endpoints, times the slots factor.
	double inFlight = 0; ///< Calls in flight on these endpoints, from all nodes.
	std::size_t usable = 0;
};

/// What a call needs of its endpoint.
struct EndpointQuery
{
	std::string pool;
	std::uint64_t prefix = 0;                ///< Hash of the prompt's prefix, 0 for none.
	std::set<std::string> avoid;             ///< Endpoints that failed this stage before, chosen only as a fallback.
	std::string domain;                      ///< Failure domain to prefer, empty for none.
	std::optional<std::string> version;      ///< Software version that the endpoint must have, if set.
	const ProvenEndpoints* proven = nullptr; ///< Endpoints whose process is known to have that version, null for all.
	const std::set<std::string>* only = nullptr; ///< Endpoints to choose from, null for all.
};

/// Keeps the state of each endpoint and chooses endpoints for calls.
class EndpointRegistry
{
public:
	explicit EndpointRegistry(const DispatcherConfig& _config);

	void setEndpoints(const std::vector<Endpoint>& _endpoints);
	void markLeaving(const std::string& _endpoint);

	/// @param[in] _nodes Number of live nodes that use each endpoint.
	void setNodeCount(std::size_t _nodes);
	void reportLoad(const std::string& _endpoint, const LoadReport& _report);

	/// Sets the live nodes that use each endpoint.
	/// @param[in] _self Address of this node, one of them.
	void setNodes(const std::string& _self, const std::vector<std::string>& _nodes);

	/// Records that the endpoints of a pool crash if one rejects more than some requests in a second. While this holds,
	/// the slots of each endpoint are divided among the nodes, so that all together send no more than there is room
	/// for.
	/// @param[in] _perSecond 0 if an endpoint names no limit.
	/// @returns Whether this was not known before.
	bool recordRejectionLimit(const std::string& _pool, std::int64_t _perSecond, Micros _now);

	/// @returns Number of pools with a rejection limit.
	[[nodiscard]] std::size_t limitedPools(Micros _now) const;

	/// Records that an endpoint rejected a call for want of room.
	void recordRejection(const std::string& _endpoint, Micros _now);

	/// Chooses a usable endpoint with a free slot.
	Placement choose(const EndpointQuery& _query, Micros _now);

	/// @returns Failure domain of a prompt prefix's home endpoint, empty if the pool has no usable endpoint.
	[[nodiscard]] std::string homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const;

	/// Counts a call to an endpoint as started or ended.
	/// @param[in] _workUs Predicted service time of the call in microseconds.
	void recordCallStart(EndpointState& _endpoint, double _workUs, Micros _now);
	void recordCallEnd(const std::string& _endpoint, double _workUs);

	/// Updates the endpoint's slowness and failure count from the result of a call, and ejects it if it
	/// fails repeatedly or is too slow.
	void recordSuccess(const std::string& _endpoint, double _measuredOverPredicted, Micros _now);
	/// Ejects an endpoint that has ended, however many others are ejected.
	void recordCrash(const std::string& _endpoint, Micros _now);
	void recordFailure(const std::string& _endpoint, Micros _now);

	[[nodiscard]] PoolCapacity capacity(const std::string& _pool, Micros _now) const;

	/// @param[in] _version Software version that the endpoint must have, if set.
	/// Adds an endpoint, and those that are listed under its name: what its process did may have been done by the next
	/// one under its id.
	void addWithLaterProcesses(const std::string& _endpoint, std::set<std::string>& _ids) const;

	[[nodiscard]] bool hasLiveEndpoint(const std::string& _pool, const std::optional<std::string>& _version) const;

	/// @returns Whether a call may be sent to one of some endpoints, as soon as it has a free slot.
	[[nodiscard]] bool isAnyUsable(const std::set<std::string>& _ids, const std::optional<std::string>& _version,
								   Micros _now) const;
	[[nodiscard]] std::vector<EndpointState> states() const;

private:
	struct Pool
	{
		std::vector<EndpointState*> members;
		std::size_t roundRobinCounter = 0;
		std::int64_t rejectionLimit = 0; ///< Rejections in a second that an endpoint survives.
		Micros rejectionLimitUntil = 0;  ///< Time point until which the limit holds.
	};

	[[nodiscard]] EndpointState* find(const std::string& _endpoint);
	[[nodiscard]] bool hasFreeSlot(const Pool& _pool, const EndpointState& _endpoint, Micros _now) const;
	[[nodiscard]] std::int64_t quotaOf(const Endpoint& _endpoint) const;
	void divideSlots(Pool& _pool);
	[[nodiscard]] bool mayEject(const std::string& _pool, Micros _now) const;
	void eject(EndpointState& _endpoint, Micros _now);
	void rebuildPools();

	DispatcherConfig config;
	std::size_t nodeCount = 1;
	std::string self;               ///< Address of this node.
	std::vector<std::string> nodes; ///< Live nodes, including this one; sorted.
	const PlacementPolicy* policy;
	std::minstd_rand random;
	std::unordered_map<std::string, std::unique_ptr<EndpointState>> endpoints;
	std::unordered_map<std::string, Pool> pools;
	std::set<std::string> leavingIds; ///< Ids of leaving endpoints; never removed.
};

} // namespace roadferry

#endif // ROADFERRY_ENDPOINT_REGISTRY_H_HEADER_GUARD
