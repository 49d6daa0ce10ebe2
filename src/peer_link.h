/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Transport of messages between nodes over WebSocket connections.

#ifndef ROADFERRY_PEER_LINK_H_HEADER_GUARD
#define ROADFERRY_PEER_LINK_H_HEADER_GUARD

#include "io_pool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace roadferry
{

/// Callbacks of a link, invoked on the thread of the link.
struct PeerHandlers
{
	/// Receives a message from another node, which is identified by its announced address.
	std::function<void(const std::string& _peer, const std::string& _message)> onMessage;

	/// The connection to that node is closed or could not be opened; messages sent to it may be lost.
	std::function<void(const std::string& _peer)> onClosed;
};

/// Connections to other nodes. A connection is opened when a message is sent to a node that has none.
class PeerLink
{
public:
	/// @param[in] _pool Pool whose thread 0 runs the link.
	/// @param[in] _secret Credential shared by all nodes.
	/// @param[in] _handlers Callbacks.
	PeerLink(IoPool& _pool, std::string _secret, PeerHandlers _handlers);
	~PeerLink();
	PeerLink(const PeerLink&) = delete;
	PeerLink& operator=(const PeerLink&) = delete;

	/// @param[in] _ip IP address to listen on.
	/// @param[in] _port Port, or 0 for any free port.
	/// @param[in] _announcedAddress Address at which other nodes reach this node; empty for the address it listens on.
	/// @returns Empty on success, otherwise an error message.
	std::string listen(const std::string& _ip, std::uint16_t _port, const std::string& _announcedAddress = {});

	/// @returns Address of this node as announced to other nodes.
	[[nodiscard]] const std::string& self() const;

	/// Sends a message, and opens a connection first if there is none. May be called from any thread.
	void send(const std::string& _peer, std::string _message);

	/// @returns Total bytes of messages sent and received.
	[[nodiscard]] std::uint64_t transferredBytes() const;

	/// @returns Number of connections closed because the other node sent nothing for 2 s after a message.
	[[nodiscard]] std::uint64_t silentConnectionsClosed() const;

	/// @returns Maximum bytes buffered for one node since the last call, and resets that maximum.
	[[nodiscard]] std::uint64_t takeMaxQueuedBytes();

	/// Closes all connections. Must be called before the pool is stopped.
	void close();

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_PEER_LINK_H_HEADER_GUARD
