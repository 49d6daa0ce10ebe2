/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: rendezvous hashing.

#ifndef ROADFERRY_PARTS_RENDEZVOUS_H_HEADER_GUARD
#define ROADFERRY_PARTS_RENDEZVOUS_H_HEADER_GUARD

#include <cstddef>
#include <string>
#include <vector>

namespace roadferry
{

/// Selects nodes for a key by rendezvous hashing: nodes with the same members select the same ones, and few keys move
/// when members change.
/// @returns At most _count of the nodes, the first choice first.
std::vector<std::string> rendezvousNodes(const std::string& _key, const std::vector<std::string>& _nodes,
										 std::size_t _count);

} // namespace roadferry

#endif // ROADFERRY_PARTS_RENDEZVOUS_H_HEADER_GUARD
