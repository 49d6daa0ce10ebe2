/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the monotonic clock and of random numbers.

#include "clock.h"

#include <QRandomGenerator>

#include <chrono>

namespace roadferry
{

Micros monotonicNow()
{
	const auto now = std::chrono::steady_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::uint64_t randomNumber()
{
	return QRandomGenerator::system()->generate64();
}

} // namespace roadferry
