/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: how long the requests of each route took lately.

#ifndef ROADFERRY_PARTS_ROUTE_DURATIONS_H_HEADER_GUARD
#define ROADFERRY_PARTS_ROUTE_DURATIONS_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <map>
#include <optional>
#include <string>

namespace roadferry
{

/// Knows the longest request of each route in the last one to two minutes.
class RouteDurations
{
public:
	/// @param[in] _took Time from the arrival of a request to the end of its answer, in microseconds.
	void record(const std::string& _route, Micros _took, Micros _now);

	/// @returns Duration of the longest request in microseconds, not set if none has ended lately.
	[[nodiscard]] std::optional<Micros> longest(const std::string& _route, Micros _now) const;

private:
	/// Longest request of a minute and of the minute before it.
	struct Window
	{
		Micros beganAt = 0; ///< Time point.
		Micros longest = 0;
		std::optional<Micros> longestBefore;
	};

	std::map<std::string, Window> windows; ///< By route.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ROUTE_DURATIONS_H_HEADER_GUARD
