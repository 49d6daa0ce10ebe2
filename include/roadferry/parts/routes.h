/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: routes of opaque requests, which are forwarded unchanged.

#ifndef ROADFERRY_PARTS_ROUTES_H_HEADER_GUARD
#define ROADFERRY_PARTS_ROUTES_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roadferry
{

/// One stage of a route: pieces of work whose results the request needs, computed in batches at a pool's endpoints.
struct RouteStage
{
	std::string pool;
	std::vector<std::size_t> after; ///< Stages whose results are its input; empty if its input is the request itself.
	std::int64_t resultBytes = 0;   ///< Approximate size of one result in bytes.
	bool operator==(const RouteStage&) const = default;
};

/// A pool with its share of a route's requests.
struct PoolShare
{
	std::string pool;
	double weight = 1;
	bool operator==(const PoolShare&) const = default;
};

/// Pools, stages and limits of the requests with one host and path prefix.
struct Route
{
	std::string name;
	std::string host;       ///< In lower case, without a port.
	std::string pathPrefix; ///< Begins and ends with a slash.
	std::vector<PoolShare> pools;
	std::vector<RouteStage> stages;
	bool streaming = false;          ///< Whether the answer is a stream of events.
	bool repeatable = false;         ///< Whether a request may run more than once.
	bool resumable = false;          ///< Whether a stream may continue at another endpoint after its last event.
	bool anonymous = false;          ///< Whether requests need no credential.
	std::int64_t maxAttempts = 1;    ///< Maximum number of endpoints that one request is sent to.
	std::int64_t priority = 5;       ///< 0 is the most urgent.
	Micros timeLimit = 30 * kSecond; ///< From the request's arrival to its final answer.
	Micros latencyTarget = kSecond;  ///< Targeted time to the answer, or to the first event of a stream.
	Micros eventIntervalTarget = 0;  ///< Targeted maximum time between two events of a stream; 0 if not set.
	Micros eventTimeout = 0;         ///< Time without an event after which clients close a stream; 0 if unknown.
	bool operator==(const Route&) const = default;
};

/// Batch limits and expected times of the endpoints of a pool that compute pieces.
struct BatchLimits
{
	std::int64_t slots = 1;               ///< Calls that an endpoint handles in parallel.
	std::int64_t maxPieces = 1;           ///< Maximum number of pieces in one call.
	Micros callTime = 0;                  ///< Fixed part of the time of a call.
	Micros pieceTime = 0;                 ///< Approximate additional time per piece.
	Micros resultTtl = 0;                 ///< How long an endpoint keeps a result that is not freed.
	std::int64_t resultCapacityBytes = 0; ///< Space for results at one endpoint.
	bool operator==(const BatchLimits&) const = default;
};

/// A pool of endpoints.
struct PoolSpec
{
	std::string name;
	std::int64_t maxConnections = 0;    ///< Maximum number of connections per endpoint from all callers; 0 if unknown.
	std::optional<BatchLimits> batches; ///< Set for pools whose endpoints compute pieces.
	bool operator==(const PoolSpec&) const = default;
};

/// A workspace with its credentials.
struct WorkspaceAccess
{
	std::string name;
	std::vector<std::string> credentials;
	std::optional<std::int64_t> priority; ///< Overrides the priority of the route.
	bool operator==(const WorkspaceAccess&) const = default;
};

/// Limits for the requests and connections of clients.
struct ClientLimits
{
	std::int64_t headerBytes = 16 * 1024;
	std::int64_t bodyBytes = 4 * 1024 * 1024;
	Micros headerTimeout = 3 * kSecond; ///< Limit for receiving a request head.
	Micros idleTimeout = 15 * kSecond;  ///< How long a connection may stay idle between two requests.
	bool operator==(const ClientLimits&) const = default;
};

/// One version of the operators' configuration of routes.
struct RoutePlanData
{
	std::uint64_t version = 0;
	std::vector<Route> routes;
	std::vector<PoolSpec> pools;
	std::vector<WorkspaceAccess> workspaces; ///< If empty, no request needs a credential.
	ClientLimits limits;
	bool operator==(const RoutePlanData&) const = default;
};

/// One version of the routes, indexed for requests. Immutable.
class RoutePlan
{
public:
	explicit RoutePlan(RoutePlanData _data);

	/// Finds the route of a request: the route of its host with the longest matching path prefix.
	/// @param[in] _host Host as the client sent it, with or without a port.
	/// @param[in] _target Path, with or without a query.
	/// @returns The route, or null.
	[[nodiscard]] const Route* match(std::string_view _host, std::string_view _target) const;

	/// @returns The workspace that a credential belongs to, or null.
	[[nodiscard]] const WorkspaceAccess* workspaceOf(std::string_view _credential) const;

	/// @returns The pool, or null.
	[[nodiscard]] const PoolSpec* pool(const std::string& _name) const;

	[[nodiscard]] const RoutePlanData& data() const;

private:
	RoutePlanData planData;
	std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> routesByHost;
	std::unordered_map<std::string, std::size_t> workspaceByCredential;
	std::unordered_map<std::string, std::size_t> poolByName;
};

/// Chooses one of a route's pools at random, in proportion to their weights.
/// @param[in] _random Uniformly distributed random number.
/// @returns Name of the pool, empty if the route has none.
std::string choosePool(const Route& _route, std::uint64_t _random);

} // namespace roadferry

#endif // ROADFERRY_PARTS_ROUTES_H_HEADER_GUARD
