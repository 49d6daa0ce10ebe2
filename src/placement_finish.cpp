/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Placement by earliest predicted completion, from the load of all nodes and the endpoint's recent slowness.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

/// Predicts the completion time of a call, relative to an idle endpoint that is as fast as predicted.
double predictedFinish(const EndpointState& _endpoint)
{
	return _endpoint.slowness * (1.0 + _endpoint.load());
}

Placement chooseLeastFinish(const PlacementInput& _input)
{
	return PlaceAt{*std::min_element(_input.candidates.begin(), _input.candidates.end(),
									 [](const EndpointState* _left, const EndpointState* _right)
									 { return predictedFinish(*_left) < predictedFinish(*_right); })};
}

const bool s_leastFinish = registerPlacement({"least_finish", &chooseLeastFinish});

} // namespace

} // namespace roadferry
