/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Registry of placement policies.

#include <roadferry/roadferry.h>

namespace roadferry
{

namespace
{

std::map<std::string, PlacementPolicy, std::less<>>& registry()
{
	static std::map<std::string, PlacementPolicy, std::less<>> s_policies;
	return s_policies;
}

} // namespace

bool registerPlacement(const PlacementPolicy& _policy)
{
	return registry().emplace(std::string(_policy.name), _policy).second;
}

const PlacementPolicy* findPlacement(std::string_view _name)
{
	const auto found = registry().find(_name);
	return found == registry().end() ? nullptr : &found->second;
}

std::vector<std::string> placementNames()
{
	std::vector<std::string> names;
	for (const auto& entry : registry())
	{
		names.push_back(entry.first);
	}
	return names;
}

} // namespace roadferry
