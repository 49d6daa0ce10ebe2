/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Addresses of TCP connections, for files that are compiled as C++17.

#ifndef ROADFERRY_TCP_ADDRESS_H_HEADER_GUARD
#define ROADFERRY_TCP_ADDRESS_H_HEADER_GUARD

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace roadferry
{

/// @param[in] _address IP address and port, such as 10.1.64.9:8080.
/// @returns The address, or nothing if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string& _address);

} // namespace roadferry

#endif // ROADFERRY_TCP_ADDRESS_H_HEADER_GUARD
