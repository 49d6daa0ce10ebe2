/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// One call of the HTTP client.

#ifndef ROADFERRY_CLIENT_CALL_H_HEADER_GUARD
#define ROADFERRY_CLIENT_CALL_H_HEADER_GUARD

#include "http_client.h"
#include "idle_sockets.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace roadferry
{

/// Starts a call. Its handlers are invoked on the thread of the context, and not before this returns.
/// @param[in] _idle Idle connections of that thread; the call takes one and may leave its own.
std::shared_ptr<HttpCall> startClientCall(boost::asio::io_context& _context, IdleSockets& _idle, CallSpec _spec,
										  CallHandlers _handlers);

} // namespace roadferry

#endif // ROADFERRY_CLIENT_CALL_H_HEADER_GUARD
