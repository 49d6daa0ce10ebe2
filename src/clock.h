/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The steady clock, and random numbers: the sources that decisions are not allowed to read themselves.

#ifndef ROADFERRY_CLOCK_H_HEADER_GUARD
#define ROADFERRY_CLOCK_H_HEADER_GUARD

#include <roadferry/parts/time.h>

namespace roadferry
{

/// @returns Time on the steady clock, which the time of day does not move.
Micros monotonicNow();

/// @returns A random number from the system's generator.
std::uint64_t randomNumber();

} // namespace roadferry

#endif // ROADFERRY_CLOCK_H_HEADER_GUARD
