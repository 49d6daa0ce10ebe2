/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: time, and a helper for visitors of variants.

#ifndef ROADFERRY_PARTS_TIME_H_HEADER_GUARD
#define ROADFERRY_PARTS_TIME_H_HEADER_GUARD

#include <cstdint>

namespace roadferry
{

/// Time point or duration in microseconds. Time points come from the caller's monotonic clock.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

/// Combines one lambda per alternative into a visitor for std::visit.
template<class... Handlers>
struct Overloaded : Handlers...
{
	using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace roadferry

#endif // ROADFERRY_PARTS_TIME_H_HEADER_GUARD
