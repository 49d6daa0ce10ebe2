/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of RouteDurations.

#include <roadferry/parts/route_durations.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr Micros kWindow = 60 * kSecond;

} // namespace

void RouteDurations::record(const std::string& _route, Micros _took, Micros _now)
{
	const auto [found, isNew] = this->windows.try_emplace(_route, Window{_now, 0, std::nullopt});
	Window& window = found->second;
	if (_now - window.beganAt >= kWindow)
	{
		const bool follows = _now - window.beganAt < 2 * kWindow;
		window = Window{_now, 0, follows ? std::optional(window.longest) : std::nullopt};
	}
	window.longest = std::max(window.longest, _took);
}

std::optional<Micros> RouteDurations::longest(const std::string& _route, Micros _now) const
{
	const auto found = this->windows.find(_route);
	if (found == this->windows.end() || _now - found->second.beganAt >= 2 * kWindow)
	{
		return std::nullopt;
	}
	return std::max(found->second.longest, found->second.longestBefore.value_or(0));
}

} // namespace roadferry
