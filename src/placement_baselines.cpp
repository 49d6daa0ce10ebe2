/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Placement policies for comparison: round robin, fewest calls in flight from this node, power of two random choices.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

Placement chooseRoundRobin(const PlacementInput& _input)
{
	const std::size_t index = _input.roundRobinCounter % _input.candidates.size();
	_input.roundRobinCounter += 1;
	return PlaceAt{_input.candidates[index]};
}

Placement chooseLeastInFlight(const PlacementInput& _input)
{
	return PlaceAt{*std::min_element(_input.candidates.begin(), _input.candidates.end(),
									 [](const EndpointState* _left, const EndpointState* _right)
									 { return _left->ownInFlight < _right->ownInFlight; })};
}

Placement choosePowerOfTwo(const PlacementInput& _input)
{
	EndpointState* first = _input.candidates[_input.random() % _input.candidates.size()];
	EndpointState* second = _input.candidates[_input.random() % _input.candidates.size()];
	return PlaceAt{second->load() < first->load() ? second : first};
}

const bool s_roundRobin = registerPlacement({"round_robin", &chooseRoundRobin});
const bool s_leastInFlight = registerPlacement({"least_in_flight", &chooseLeastInFlight});
const bool s_powerOfTwo = registerPlacement({"power_of_two", &choosePowerOfTwo});

} // namespace

} // namespace roadferry
