/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: routes of opaque requests, which are forwarded byte for byte.

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

/// One stage of a route: pieces of work whose results the request needs, made in batches at a pool's endpoints.
struct RouteStage
{
	std::string pool;
	std::vector<std::size_t> after; ///< Stages whose results it works on; empty when it works on the request itself.
	std::int64_t resultBytes = 0;   ///< Approximate size of one result.
	bool operator==(const RouteStage&) const = default;
};

/// A pool with its share of a route's requests.
struct PoolShare
{
	std::string pool;
	double weight = 1;
	bool operator==(const PoolShare&) const = default;
};

/// Where requests of one host and path prefix go, and how they may be treated.
struct Route
{
	std::string name;
	std::string host;       ///< In lower case, without a port.
	std::string pathPrefix; ///< Begins and ends with a slash.
	std::vector<PoolShare> pools;
	std::vector<RouteStage> stages;
	bool streaming = false;          ///< The answer is a stream of events.
	bool repeatable = false;         ///< May run more than once.
	bool resumable = false;          ///< A stream may go on at another endpoint behind the last event.
	bool anonymous = false;          ///< Needs no credential.
	std::int64_t maxAttempts = 1;    ///< Most endpoints that one request may be sent to.
	std::int64_t priority = 5;       ///< 0 is the most urgent.
	Micros timeLimit = 30 * kSecond; ///< From the request's arrival to its final answer.
	Micros latencyTarget = kSecond;  ///< Time to the answer, or to a stream's first event, that users are content with.
	Micros eventIntervalTarget = 0;  ///< Longest pause between two events of a stream that users are content with.
	Micros eventTimeout = 0;         ///< Clients leave a stream that sends nothing for so long; 0 when not told.
	bool operator==(const Route&) const = default;
};

/// How endpoints of a pool make pieces.
struct BatchLimits
{
	std::int64_t slots = 1;               ///< Calls that an endpoint works on at once.
	std::int64_t maxPieces = 1;           ///< Most pieces in one call.
	Micros callTime = 0;                  ///< Fixed part of a call.
	Micros pieceTime = 0;                 ///< Approximate part for each piece.
	Micros resultTtl = 0;                 ///< How long an endpoint keeps a result that nobody frees.
	std::int64_t resultCapacityBytes = 0; ///< Bytes for results at one endpoint.
	bool operator==(const BatchLimits&) const = default;
};

/// A pool of endpoints.
struct PoolSpec
{
	std::string name;
	std::int64_t maxConnections = 0;    ///< Most connections that one endpoint takes from all callers, 0 when not told.
	std::optional<BatchLimits> batches; ///< Set for pools whose endpoints make pieces.
	bool operator==(const PoolSpec&) const = default;
};

/// A workspace with its credentials.
struct WorkspaceAccess
{
	std::string name;
	std::vector<std::string> credentials;
	std::optional<std::int64_t> priority; ///< In place of the route's.
	bool operator==(const WorkspaceAccess&) const = default;
};

/// What clients may send.
struct ClientLimits
{
	std::int64_t headerBytes = 16 * 1024;
	std::int64_t bodyBytes = 4 * 1024 * 1024;
	Micros headerTimeout = 3 * kSecond; ///< To send a whole request head.
	Micros idleTimeout = 15 * kSecond;  ///< That a kept connection may rest.
	bool operator==(const ClientLimits&) const = default;
};

/// One version of everything that operators say about routes.
struct RoutePlanData
{
	std::uint64_t version = 0;
	std::vector<Route> routes;
	std::vector<PoolSpec> pools;
	std::vector<WorkspaceAccess> workspaces; ///< Where there are none, no request needs a credential.
	ClientLimits limits;
	bool operator==(const RoutePlanData&) const = default;
};

/// One version of the routes, indexed for requests. Never changes.
class RoutePlan
{
public:
	explicit RoutePlan(RoutePlanData _data);

	/// Finds the route of a request: of its host's routes the one with the longest prefix of the path.
	/// @param[in] _host Host as the client sent it, with or without a port.
	/// @param[in] _target Path, with or without a query.
	/// @returns The route, or null.
	[[nodiscard]] const Route* match(std::string_view _host, std::string_view _target) const;

	/// @returns The workspace that holds a credential, or null.
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

/// Chooses one of a route's pools by weight.
/// @param[in] _random Random number that decides.
/// @returns Name of the pool, empty when the route has none.
std::string choosePool(const Route& _route, std::uint64_t _random);

} // namespace roadferry

#endif // ROADFERRY_PARTS_ROUTES_H_HEADER_GUARD
