/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Calls to endpoints that other nodes make for this one.

#ifndef ROADFERRY_RELAYED_CALL_H_HEADER_GUARD
#define ROADFERRY_RELAYED_CALL_H_HEADER_GUARD

#include "call_messages.h"

#include <roadferry/roadferry.h>

#include <functional>

namespace roadferry
{

/// A call to an endpoint, by whichever node.
struct EndpointCall
{
	CallSpec spec;
	std::string endpoint; ///< Id of the endpoint.
	std::string subject;  ///< What it is for, such as the id of a request; for the log.
	/// The only node that may make the call, empty for this one. Without a value, any may.
	std::optional<std::string> onlyBy = {};
};

/// Callbacks of a call that another node makes.
struct RelayedCallHandlers
{
	std::function<void()> onConnected; ///< The other node has opened a connection to the endpoint.
	std::function<HeadVerdict(unsigned _status, const HttpHeaders& _headers)> onHead; ///< May be empty.
	std::function<void(const std::string&)> onData;     ///< If empty, the body is in CallEnd.
	std::function<void(std::size_t _bytes)> onBuffered; ///< The body that is kept has grown to this size; may be empty.
	/// @param[in] _cutOff Whether the other node has lost its own path to the endpoint.
	std::function<void(const CallEnd&, bool _cutOff)> onEnd;
};

/// The calls that other nodes make for this one. All functions run on thread 0 of the thread pool.
class RelayedCalls
{
public:
	/// @param[in] _firstId Number of the first call; differs from those of earlier processes at this address.
	RelayedCalls(std::uint64_t _firstId, CallMessageSender _send);

	/// Asks a node to make a call.
	/// @returns Number of the call.
	std::uint64_t start(const std::string& _node, const EndpointCall& _call, RelayedCallHandlers _handlers,
						Micros _now);

	/// Ends a call; its handlers are not called afterwards.
	void cancel(std::uint64_t _call);

	void receive(const std::string& _from, const RelayedCallConnected& _message);
	void receive(const std::string& _from, const RelayedCallHead& _message);
	void receive(const std::string& _from, const RelayedCallData& _message);
	void receive(const std::string& _from, const RelayedCallEnd& _message);

	/// Ends all calls that a node makes. Whether they run is unknown.
	void peerClosed(const std::string& _node);

	/// Ends the calls whose time is over.
	void tick(Micros _now);

private:
	struct Pending
	{
		std::string node;
		RelayedCallHandlers handlers;
		Micros deadline = 0; ///< Time point.
		std::size_t maxResponseBytes = 0;
		unsigned status = 0;
		HttpHeaders headers;
		std::uint64_t received = 0; ///< Bytes of the response's body.
		std::string body;           ///< Empty if the body is passed to a handler.
	};

	Pending* find(const std::string& _from, std::uint64_t _call);
	void interrupt(std::uint64_t _call, const std::string& _error);
	void finish(std::uint64_t _call, const CallEnd& _end, bool _cutOff);

	std::uint64_t lastCall;
	CallMessageSender send;
	std::map<std::uint64_t, Pending> pending;             ///< By number of the call.
	std::set<std::pair<Micros, std::uint64_t>> deadlines; ///< Time point and number of each call.
};

} // namespace roadferry

#endif // ROADFERRY_RELAYED_CALL_H_HEADER_GUARD
