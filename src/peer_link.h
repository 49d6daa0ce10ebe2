/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Messages between nodes over websockets.

#ifndef ROADFERRY_PEER_LINK_H_HEADER_GUARD
#define ROADFERRY_PEER_LINK_H_HEADER_GUARD

#include "io_pool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace roadferry
{

/// Called on the link's thread.
struct PeerHandlers
{
	/// A message of another node, named by the address that it announced.
	std::function<void(const std::string& _peer, const std::string& _message)> onMessage;

	/// No connection to that node is open any more; messages sent to it may be lost.
	std::function<void(const std::string& _peer)> onClosed;
};

/// Connections to other nodes, opened when a message is sent.
class PeerLink
{
public:
	/// @param[in] _pool Pool of which thread 0 serves the link.
	/// @param[in] _secret Credential that all nodes share.
	/// @param[in] _handlers What to call.
	PeerLink(IoPool& _pool, std::string _secret, PeerHandlers _handlers);
	~PeerLink();
	PeerLink(const PeerLink&) = delete;
	PeerLink& operator=(const PeerLink&) = delete;

	/// @param[in] _ip IP number to listen on.
	/// @param[in] _port Port, or 0 for one that is free.
	/// @param[in] _announcedAddress Address at which other nodes reach this one; empty for the one that it listens on.
	/// @returns Empty on success, otherwise what went wrong.
	std::string listen(const std::string& _ip, std::uint16_t _port, const std::string& _announcedAddress = {});

	/// @returns Own address, as other nodes know it.
	[[nodiscard]] const std::string& self() const;

	/// Sends a message, after connecting where needed. May be called from any thread.
	void send(const std::string& _peer, std::string _message);

	/// @returns Bytes of messages sent and received so far.
	[[nodiscard]] std::uint64_t transferredBytes() const;

	/// @returns How many connections were given up since nothing came on them any more.
	[[nodiscard]] std::uint64_t silentConnectionsClosed() const;

	/// @returns Most bytes that waited for one node since the last call.
	[[nodiscard]] std::uint64_t takeMaxQueuedBytes();

	/// Closes all connections. Call before the pool is stopped.
	void close();

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_PEER_LINK_H_HEADER_GUARD
