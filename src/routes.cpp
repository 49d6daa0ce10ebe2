/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Matching of requests to routes, and of credentials to workspaces.

#include <roadferry/parts/routes.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace roadferry
{

namespace
{

constexpr double kRandomRange = 18446744073709551616.0; ///< 2 to the 64th.

std::string hostName(std::string_view _host)
{
	std::string result(_host.substr(0, _host.rfind(':')));
	std::transform(result.begin(), result.end(), result.begin(),
				   [](unsigned char _character) { return static_cast<char>(std::tolower(_character)); });
	return result;
}

} // namespace

RoutePlan::RoutePlan(RoutePlanData _data) : planData(std::move(_data))
{
	for (std::size_t index = 0; index < this->planData.routes.size(); ++index)
	{
		const Route& route = this->planData.routes[index];
		this->routesByHost[hostName(route.host)].emplace(route.pathPrefix, index);
	}
	for (std::size_t index = 0; index < this->planData.workspaces.size(); ++index)
	{
		for (const std::string& credential : this->planData.workspaces[index].credentials)
		{
			this->workspaceByCredential.emplace(credential, index);
		}
	}
	for (std::size_t index = 0; index < this->planData.pools.size(); ++index)
	{
		this->poolByName.emplace(this->planData.pools[index].name, index);
	}
}

const Route* RoutePlan::match(std::string_view _host, std::string_view _target) const
{
	const auto host = this->routesByHost.find(hostName(_host));
	if (host == this->routesByHost.end())
	{
		return nullptr;
	}
	std::string_view path = _target.substr(0, _target.find('?'));
	// Prefixes end with a slash, so only the parts of the path up to a slash can match.
	for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/'))
	{
		const auto found = host->second.find(path.substr(0, slash + 1));
		if (found != host->second.end())
		{
			return &this->planData.routes[found->second];
		}
		path = path.substr(0, slash);
	}
	return nullptr;
}

const WorkspaceAccess* RoutePlan::workspaceOf(std::string_view _credential) const
{
	const auto found = this->workspaceByCredential.find(std::string(_credential));
	return found == this->workspaceByCredential.end() ? nullptr : &this->planData.workspaces[found->second];
}

const PoolSpec* RoutePlan::pool(const std::string& _name) const
{
	const auto found = this->poolByName.find(_name);
	return found == this->poolByName.end() ? nullptr : &this->planData.pools[found->second];
}

const RoutePlanData& RoutePlan::data() const
{
	return this->planData;
}

std::string choosePool(const Route& _route, std::uint64_t _random)
{
	double total = 0;
	for (const PoolShare& share : _route.pools)
	{
		total += std::max(0.0, share.weight);
	}
	double point = static_cast<double>(_random) / kRandomRange * total;
	for (const PoolShare& share : _route.pools)
	{
		point -= std::max(0.0, share.weight);
		if (point < 0)
		{
			return share.pool;
		}
	}
	return _route.pools.empty() ? std::string() : _route.pools.front().pool;
}

} // namespace roadferry
