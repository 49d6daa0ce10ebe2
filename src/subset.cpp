/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Subset of each pool that a node uses.

#include <roadferry/roadferry.h>

#include <algorithm>

#include <xxhash.h>

namespace roadferry
{

std::vector<Endpoint> selectSubset(const std::string& _node, const std::vector<Endpoint>& _endpoints,
								   std::size_t _perPool)
{
	const std::uint64_t seed = XXH3_64bits(_node.data(), _node.size());
	std::map<std::string, std::vector<std::pair<std::uint64_t, const Endpoint*>>> pools;
	for (const Endpoint& endpoint : _endpoints)
	{
		const std::uint64_t score = XXH3_64bits_withSeed(endpoint.id.data(), endpoint.id.size(), seed);
		pools[endpoint.pool].emplace_back(score, &endpoint);
	}
	std::vector<Endpoint> result;
	for (auto& entry : pools)
	{
		auto& ranked = entry.second;
		const std::size_t count = std::min(_perPool, ranked.size());
		std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
		for (std::size_t index = 0; index < count; ++index)
		{
			result.push_back(*ranked[index].second);
		}
	}
	return result;
}

} // namespace roadferry
