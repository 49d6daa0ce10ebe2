/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Passes calls under a ticket of another node on to that node.

#ifndef ROADFERRY_RELAY_H_HEADER_GUARD
#define ROADFERRY_RELAY_H_HEADER_GUARD

#include "peer_link.h"
#include "peer_messages.h"
#include "traffic.h"

namespace roadferry
{

/// Both sides of relayed calls. Its functions may be called from any thread.
class Relay
{
public:
	Relay(IoPool& _pool, Traffic& _traffic, std::function<void(const std::string&, const PeerMessage&)> _send);

	/// Passes a call on.
	/// @param[in] _thread Thread on which the sink is called.
	/// @param[in] _issuer Incarnation that issued the ticket.
	/// @param[in] _request What to pass on; the number is set here.
	/// @param[in] _timeout When to stop waiting, from now.
	/// @param[in] _sink Where the answer goes: unknown when the issuer cannot be reached.
	void forward(std::size_t _thread, const Incarnation& _issuer, RelayRequest _request, Micros _timeout,
				 std::shared_ptr<AnswerSink> _sink);

	/// Takes a message of another node.
	void onRequest(const std::string& _peer, const RelayRequest& _request);
	void onToken(const RelayToken& _token);
	void onResult(const RelayResult& _result);

	/// Ends all calls that wait for that node.
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
	std::function<void(const std::string&, const PeerMessage&)> send;
	std::mutex lock; ///< Guards what follows.
	std::unordered_map<std::uint64_t, PendingCall> pending;
	std::uint64_t lastRelay = 0;
	std::size_t nextThread = 0;
};

} // namespace roadferry

#endif // ROADFERRY_RELAY_H_HEADER_GUARD
