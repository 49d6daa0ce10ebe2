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

/// Number of a process that does not announce one, as those of earlier versions.
constexpr std::uint64_t kUnknownProcess = 0;

/// A process at the address of a node. The next process at this address has another number.
struct PeerProcess
{
	std::string address; ///< Announced address of the node.
	std::uint64_t number = kUnknownProcess;

	bool operator==(const PeerProcess& _other) const
	{
		return this->address == _other.address && this->number == _other.number;
	}
};

/// A connection that is no longer in use, for the log.
struct PeerConnectionEnd
{
	std::string peer;
	std::string why;               ///< "silent", "not_opened", "ended", "replaced" or "no_address".
	bool incoming = false;         ///< Whether the other side had opened it.
	std::size_t queued = 0;        ///< Messages that waited for it to open.
	std::int64_t unansweredMs = 0; ///< Since the oldest message after which nothing was received, in milliseconds.
};

/// Callbacks of a link, invoked on the thread of the link.
struct PeerHandlers
{
	/// Receives a message from another node.
	std::function<void(const PeerProcess& _from, const std::string& _message)> onMessage;

	/// The connection to that node is closed or could not be opened; messages sent to it may be lost. Called before the
	/// first message of another process at this address.
	std::function<void(const std::string& _peer)> onClosed;

	/// A connection is in use from now on. May be empty.
	std::function<void(const PeerProcess& _peer)> onConnected;

	/// Called before onClosed. May be empty.
	std::function<void(const PeerConnectionEnd& _end)> onConnectionEnd = {};
};

/// Connections to other nodes. A connection is opened when a message is sent to a node that has none.
class PeerLink
{
public:
	/// @param[in] _pool Pool whose thread 0 runs the link.
	/// @param[in] _secret Credential shared by all nodes.
	/// @param[in] _process Number of this process, which the other nodes are told; random, so that it differs from
	/// those of earlier processes at this address.
	/// @param[in] _handlers Callbacks.
	PeerLink(IoPool& _pool, std::string _secret, std::uint64_t _process, PeerHandlers _handlers);
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

	/// Sends a message to whichever process is at the address, and opens a connection first if there is none. May be
	/// called from any thread.
	void send(const std::string& _peer, std::string _message);

	/// Like send(), but drops the message if another process than the named one is at the address. An answer must be
	/// sent so: the next process may use the number of a question again.
	void answer(const PeerProcess& _to, std::string _message);

	/// @returns Total bytes of messages sent and received.
	[[nodiscard]] std::uint64_t transferredBytes() const;

	/// @returns Number of connections closed because the other node sent nothing for 2 s after a message.
	[[nodiscard]] std::uint64_t silentConnectionsClosed() const;

	/// @returns Number of answers dropped because the process that had asked was gone.
	[[nodiscard]] std::uint64_t answersDropped() const;

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
