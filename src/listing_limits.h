/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Limits of the entries of endpoints, from the platform and from other nodes.

#ifndef ROADFERRY_LISTING_LIMITS_H_HEADER_GUARD
#define ROADFERRY_LISTING_LIMITS_H_HEADER_GUARD

#include <cstdint>

namespace roadferry
{

/// Most slots that an endpoint can have. One with more would count as idle under any load, and draw all calls of its
/// pool.
constexpr std::int64_t kMaxEndpointSlots = 10'000;

} // namespace roadferry

#endif // ROADFERRY_LISTING_LIMITS_H_HEADER_GUARD
