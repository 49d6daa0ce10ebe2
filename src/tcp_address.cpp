/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the parser of TCP addresses. Compiled as C++17.

#include "tcp_address.h"

#include <boost/asio/ip/address.hpp>

#include <cstdlib>

namespace roadferry
{

namespace
{

constexpr int kMaxPort = 65'535;

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string& _address)
{
	const std::size_t colon = _address.rfind(':');
	if (colon == std::string::npos)
	{
		return std::nullopt;
	}
	boost::system::error_code error;
	const auto ip = boost::asio::ip::make_address(_address.substr(0, colon), error);
	const int port = std::atoi(_address.c_str() + colon + 1); // NOLINT(cert-err34-c): range is checked below
	if (error || port <= 0 || port > kMaxPort)
	{
		return std::nullopt;
	}
	return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

} // namespace roadferry
