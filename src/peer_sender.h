/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Sends typed messages to other nodes, and answers only to the process that asked.

#ifndef ROADFERRY_PEER_SENDER_H_HEADER_GUARD
#define ROADFERRY_PEER_SENDER_H_HEADER_GUARD

#include "peer_link.h"
#include "peer_messages.h"

namespace roadferry
{

/// Sends messages to nodes on behalf of one thread. The numbers in an answer mean something to the process that asked
/// only, so it is not sent to the next process at its address. The thread must be told of processes and of closed
/// connections in the order in which it gets the messages.
class PeerSender
{
public:
	/// @param[in] _link Outlives the sender.
	explicit PeerSender(PeerLink& _link);

	/// The messages of a node that follow are from this process.
	void onProcess(const PeerProcess& _process);

	/// The connection to a node was closed. Answers to its earlier questions are not sent any more.
	void onClosed(const std::string& _peer);

	void send(const std::string& _to, const PeerMessage& _message);

private:
	PeerLink& link;
	std::map<std::string, std::uint64_t> processes; ///< Number of the process at each address.
};

} // namespace roadferry

#endif // ROADFERRY_PEER_SENDER_H_HEADER_GUARD
