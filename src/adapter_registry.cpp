/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Registry of the adapters.

#include "adapter.h"

#include <map>

namespace roadferry
{

namespace
{

std::map<std::string, Adapter, std::less<>>& registry()
{
	static std::map<std::string, Adapter, std::less<>> s_adapters;
	return s_adapters;
}

} // namespace

bool registerAdapter(const Adapter& _adapter)
{
	return registry().emplace(std::string(_adapter.name), _adapter).second;
}

const Adapter* findAdapter(std::string_view _name)
{
	const auto found = registry().find(_name);
	return found == registry().end() ? nullptr : &found->second;
}

std::vector<std::string> adapterNames()
{
	std::vector<std::string> names;
	for (const auto& entry : registry())
	{
		names.push_back(entry.first);
	}
	return names;
}

} // namespace roadferry
