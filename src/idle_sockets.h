/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Idle connections of the HTTP client, by address. Compiled as C++17.

#ifndef ROADFERRY_IDLE_SOCKETS_H_HEADER_GUARD
#define ROADFERRY_IDLE_SOCKETS_H_HEADER_GUARD

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace roadferry
{

using Clock = std::chrono::steady_clock;

/// Lifetime of an idle connection if the server announces none.
constexpr std::chrono::seconds kDefaultIdleLifetime{30};

/// Idle connection for reuse by a later call.
struct IdleSocket
{
	std::unique_ptr<boost::asio::ip::tcp::socket> socket;
	Clock::time_point expiresAt;
	std::int64_t openedAt = 0; ///< Microseconds of the monotonic clock.
};

using IdleSockets = std::unordered_map<std::string, std::vector<IdleSocket>>;

/// @returns Microseconds of the monotonic clock.
std::int64_t microsNow();

/// @returns How long an idle connection may be reused, by the server's Keep-Alive header (RFC 2068, 19.7.1.1).
Clock::duration idleLifetime(const std::string& _keepAlive);

/// @returns Whether an idle connection is open and has no unread data.
bool isReusable(boost::asio::ip::tcp::socket& _socket);

/// Takes the idle connection that was used last, of those that were opened at or before a time point. Closes the
/// unusable ones that it meets.
/// @returns The connection; without a socket if there is none.
IdleSocket takeIdle(IdleSockets& _idle, const std::string& _address, std::int64_t _openedBefore);

/// @returns Number of idle connections to all addresses.
std::size_t countIdle(const IdleSockets& _idle);

/// Closes the idle connections that expired or that the remote host has closed, and forgets addresses without any. No
/// call takes those to a host that is gone, so each would keep its descriptor for ever.
void closeUnusable(IdleSockets& _idle);

} // namespace roadferry

#endif // ROADFERRY_IDLE_SOCKETS_H_HEADER_GUARD
