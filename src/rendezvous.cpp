/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of rendezvous hashing.

#include <roadferry/parts/rendezvous.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace roadferry
{

std::vector<std::string> rendezvousNodes(const std::string& _key, const std::vector<std::string>& _nodes,
										 std::size_t _count)
{
	const std::uint64_t seed = XXH3_64bits(_key.data(), _key.size());
	std::vector<std::pair<std::uint64_t, std::string>> ranked;
	ranked.reserve(_nodes.size());
	for (const std::string& node : _nodes)
	{
		ranked.emplace_back(XXH3_64bits_withSeed(node.data(), node.size(), seed), node);
	}
	const std::size_t count = std::min(_count, ranked.size());
	std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
					  std::greater<>());
	std::vector<std::string> result;
	for (std::size_t index = 0; index < count; ++index)
	{
		result.push_back(ranked[index].second);
	}
	return result;
}

} // namespace roadferry
