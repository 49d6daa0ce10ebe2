/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Monotonic clock and random numbers. Decision code does not call these functions; it gets their values as arguments.

#ifndef ROADFERRY_CLOCK_H_HEADER_GUARD
#define ROADFERRY_CLOCK_H_HEADER_GUARD

#include <roadferry/parts/time.h>

namespace roadferry
{

/// @returns Time of the monotonic clock in microseconds; changes of the wall clock do not affect it.
Micros monotonicNow();

/// @returns A random number from the system's random number generator.
std::uint64_t randomNumber();

} // namespace roadferry

#endif // ROADFERRY_CLOCK_H_HEADER_GUARD
