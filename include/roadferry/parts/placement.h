/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: placement policies: self-registering plug-ins.

#ifndef ROADFERRY_PARTS_PLACEMENT_H_HEADER_GUARD
#define ROADFERRY_PARTS_PLACEMENT_H_HEADER_GUARD

#include <roadferry/parts/endpoint_state.h>
#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace roadferry
{

/// Input of a placement policy.
struct PlacementInput
{
	const std::vector<EndpointState*>& candidates; ///< Usable endpoints with a free slot, at least one.
	const std::vector<EndpointState*>& usable;     ///< All usable endpoints, including those without a free slot.
	std::uint64_t prefix = 0;                      ///< Hash of the prompt's prefix, 0 for none.
	std::minstd_rand& random;                      ///< The dispatcher's seeded generator.
	std::size_t& roundRobinCounter;                ///< The pool's counter for round-robin policies.
	double meanLoad = 0;                           ///< Mean load() of the usable endpoints.
};

/// Send the call to this endpoint.
struct PlaceAt
{
	EndpointState* endpoint = nullptr;
	bool operator==(const PlaceAt&) const = default;
};

/// Send the call to this endpoint, a second choice, only if no waiting call can be placed with PlaceAt: the preferred
/// endpoint has no free slot, or this endpoint failed the call before.
struct PlaceFallback
{
	EndpointState* endpoint = nullptr;
	bool operator==(const PlaceFallback&) const = default;
};

/// No endpoint has a free slot.
struct PlaceNone
{
	bool operator==(const PlaceNone&) const = default;
};

using Placement = std::variant<PlaceNone, PlaceFallback, PlaceAt>;

/// A named function that chooses among endpoints.
struct PlacementPolicy
{
	std::string_view name;
	Placement (*choose)(const PlacementInput& _input);
};

/// Chooses the home endpoint of a prompt prefix, the one whose cache is to hold it, by rendezvous hashing. Nodes that
/// see the same endpoints choose the same one, and few prefixes move when endpoints are added or removed.
/// @param[in] _usable Usable endpoints, at least one.
/// @param[in] _prefix Hash of the prompt's prefix.
EndpointState* prefixHome(const std::vector<EndpointState*>& _usable, std::uint64_t _prefix);

/// Registers a policy under its name. The files of the policies call it before main.
/// @returns Whether the name was free. The result lets the initialiser of a static variable make the call.
bool registerPlacement(const PlacementPolicy& _policy);

/// @returns The policy, or null if the name is not registered.
const PlacementPolicy* findPlacement(std::string_view _name);

/// @returns The names of all registered policies, sorted.
std::vector<std::string> placementNames();

} // namespace roadferry

#endif // ROADFERRY_PARTS_PLACEMENT_H_HEADER_GUARD
