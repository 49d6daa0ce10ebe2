/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Connections that are opened without sending anything on them.

#ifndef ROADFERRY_BARE_CONNECTIONS_H_HEADER_GUARD
#define ROADFERRY_BARE_CONNECTIONS_H_HEADER_GUARD

#include "http_client.h"
#include "idle_sockets.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace roadferry
{

/// Opens a connection and closes it at once, to see whether a process listens.
/// @param[in] _done Called once, on the thread of the context; at once if the address is malformed.
void probeAddress(boost::asio::io_context& _context, const std::string& _address, std::chrono::microseconds _timeout,
				  std::function<void(ProbeResult)> _done);

/// Opens a connection and keeps it idle. Nothing is reported if that fails.
/// @param[in] _idle Receives the connection; must outlive the context's work.
/// @param[in] _maxIdleConnections Maximum idle connections kept to the address.
void openIdleConnection(boost::asio::io_context& _context, IdleSockets& _idle, const std::string& _address,
						std::chrono::microseconds _timeout, std::size_t _maxIdleConnections);

} // namespace roadferry

#endif // ROADFERRY_BARE_CONNECTIONS_H_HEADER_GUARD
