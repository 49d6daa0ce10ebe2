/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Placement by prompt prefix: calls with the same prefix go to the same engine, whose cache then holds the prefix. The
/// gated policy does so only while the load of that engine is at most twice the mean load.

#include <roadferry/roadferry.h>

#include <algorithm>

#include <xxhash.h>

namespace roadferry
{

namespace
{

constexpr double kMaxLoadRatio = 2.0; ///< Maximum load of the home endpoint, as a multiple of the mean load.
constexpr double kIdleLoad = 0.25;    ///< Load up to which the home endpoint never counts as overloaded.

std::uint64_t hashScore(const EndpointState& _endpoint, std::uint64_t _prefix)
{
	return XXH3_64bits_withSeed(_endpoint.endpoint.id.data(), _endpoint.endpoint.id.size(), _prefix);
}

EndpointState* homeEndpoint(const PlacementInput& _input)
{
	return prefixHome(_input.usable, _input.prefix);
}

Placement chooseByLeastFinish(const PlacementInput& _input)
{
	static const PlacementPolicy* s_policy = findPlacement("least_finish");
	return s_policy->choose(_input);
}

bool isCandidate(const PlacementInput& _input, const EndpointState* _endpoint)
{
	return std::find(_input.candidates.begin(), _input.candidates.end(), _endpoint) != _input.candidates.end();
}

Placement homeOrFallback(const PlacementInput& _input, EndpointState* _home)
{
	if (isCandidate(_input, _home))
	{
		return PlaceAt{_home};
	}
	return PlaceFallback{std::get<PlaceAt>(chooseByLeastFinish(_input)).endpoint};
}

Placement chooseAffinity(const PlacementInput& _input)
{
	return _input.prefix == 0 ? chooseByLeastFinish(_input) : homeOrFallback(_input, homeEndpoint(_input));
}

Placement chooseAffinityGated(const PlacementInput& _input)
{
	if (_input.prefix == 0)
	{
		return chooseByLeastFinish(_input);
	}
	EndpointState* home = homeEndpoint(_input);
	const bool overloaded = home->load() > std::max(kIdleLoad, kMaxLoadRatio * _input.meanLoad);
	return overloaded ? chooseByLeastFinish(_input) : homeOrFallback(_input, home);
}

} // namespace

EndpointState* prefixHome(const std::vector<EndpointState*>& _usable, std::uint64_t _prefix)
{
	return *std::max_element(_usable.begin(), _usable.end(),
							 [&](const EndpointState* _left, const EndpointState* _right)
							 { return hashScore(*_left, _prefix) < hashScore(*_right, _prefix); });
}

namespace
{

const bool s_affinity = registerPlacement({"affinity", &chooseAffinity});
const bool s_affinityGated = registerPlacement({"affinity_gated", &chooseAffinityGated});

} // namespace

} // namespace roadferry
