/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Calls to endpoints that this node makes for others.

#ifndef ROADFERRY_RELAYED_CALL_SERVER_H_HEADER_GUARD
#define ROADFERRY_RELAYED_CALL_SERVER_H_HEADER_GUARD

#include "call_messages.h"

#include <roadferry/roadferry.h>

#include <functional>

namespace roadferry
{

/// What a RelayedCallServer needs of its node.
struct RelayedCallContext
{
	CallMessageSender send;
	/// @returns Address of a listed endpoint, nothing if it is not listed.
	std::function<std::optional<std::string>(const std::string& _endpoint)> addressOf;
	std::function<bool(const std::string& _endpoint)> isPathLost; ///< Whether this node has lost its path to it.
	std::function<void(const std::string& _endpoint)> onConnected;
};

/// Makes calls for other nodes, each on a new connection that this node opens itself: a call is never passed on again.
/// All functions run on thread 0 of the thread pool.
class RelayedCallServer
{
public:
	RelayedCallServer(HttpClient& _client, RelayedCallContext _context);

	void receive(const std::string& _from, const RelayedCallStart& _message);
	void receive(const std::string& _from, const RelayedCallBody& _message);
	void receive(const std::string& _from, const RelayedCallCancel& _message);
	void receive(const std::string& _from, const EndpointProbeRequest& _message);

	/// Ends all calls for a node.
	void peerClosed(const std::string& _node);

	/// @returns Number of calls in progress.
	[[nodiscard]] std::size_t callsInProgress() const;

	/// @returns Number of calls so far.
	[[nodiscard]] std::uint64_t totalCalls() const;

private:
	using Key = std::pair<std::string, std::uint64_t>; ///< Node that asked, and its number of the call.

	struct ServedCall
	{
		RelayedCallStart start;
		std::string body;               ///< As far as it has arrived.
		std::shared_ptr<HttpCall> call; ///< Null until the body is complete.
		std::uint64_t sentBytes = 0;    ///< Of the response's body.
	};

	void startWhenComplete(const Key& _key);
	void refuse(const Key& _key, bool _cutOff, const std::string& _error);
	CallHandlers makeHandlers(const Key& _key);
	void sendData(const Key& _key, const std::string& _bytes);
	void onEnd(const Key& _key, const CallEnd& _end);
	void onProbed(const Key& _key, ProbeResult _result);

	HttpClient& client;
	RelayedCallContext context;
	std::map<Key, ServedCall> calls;
	std::set<Key> probes; ///< In progress, by node that asked and its number of the probe.
	std::uint64_t total = 0;
};

} // namespace roadferry

#endif // ROADFERRY_RELAYED_CALL_SERVER_H_HEADER_GUARD
