/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Forwards calls with a ticket of another node to that node.

#ifndef ROADFERRY_RELAY_H_HEADER_GUARD
#define ROADFERRY_RELAY_H_HEADER_GUARD

#include "peer_link.h"
#include "peer_messages.h"
#include "traffic.h"

namespace roadferry
{

/// Functions that send messages to other nodes.
struct RelaySends
{
	std::function<void(const std::string& _to, const PeerMessage&)> send;
	std::function<void(const PeerProcess& _to, const PeerMessage&)> answer; ///< See PeerLink::answer().
};

/// Relays calls between nodes: forwards calls to the issuer, and serves calls forwarded by other nodes.
/// Thread-safe; onRequest() is called on the link's thread only.
class Relay
{
public:
	/// @param[in] _firstRelay Start of the relay ids; differs from those of earlier processes at this address.
	Relay(IoPool& _pool, Traffic& _traffic, std::uint64_t _firstRelay, RelaySends _sends);

	/// Forwards a call to the issuer of its ticket.
	/// @param[in] _thread Thread on which the sink is called.
	/// @param[in] _issuer Incarnation that issued the ticket.
	/// @param[in] _request The call; its relay id is set here.
	/// @param[in] _timeout Time to wait for the result, in microseconds.
	/// @param[in] _sink Receives the answer, or the outcome unknown if the issuer does not answer in time.
	void forward(std::size_t _thread, const Incarnation& _issuer, RelayRequest _request, Micros _timeout,
				 std::shared_ptr<AnswerSink> _sink);

	/// Handles messages of other nodes.
	void onRequest(const PeerProcess& _from, const RelayRequest& _request);
	void onToken(const RelayToken& _token);
	void onResult(const RelayResult& _result);

	/// Fails all calls that wait for an answer of the peer.
	void onPeerClosed(const std::string& _peer);

private:
	struct PendingCall
	{
		std::size_t thread = 0;
		std::string peer;
		std::string ticket;
		std::shared_ptr<AnswerSink> sink;
	};

	std::optional<PendingCall> takePending(std::uint64_t _relay);
	void fail(std::uint64_t _relay);

	IoPool& pool;
	Traffic& traffic;
	RelaySends sends;
	std::mutex lock;                                        ///< Guards pending and lastRelay.
	std::unordered_map<std::uint64_t, PendingCall> pending; ///< By relay id.
	std::uint64_t lastRelay;
	std::size_t nextThread = 0;
};

} // namespace roadferry

#endif // ROADFERRY_RELAY_H_HEADER_GUARD
