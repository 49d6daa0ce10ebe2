/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Calls to endpoints, made by this node or, where its path is lost, by another one.

#ifndef ROADFERRY_ENDPOINT_CALLS_H_HEADER_GUARD
#define ROADFERRY_ENDPOINT_CALLS_H_HEADER_GUARD

#include "endpoint_prober.h"
#include "relayed_call.h"
#include "relayed_call_server.h"

namespace roadferry
{

/// Makes calls to endpoints. A call whose connection cannot be opened here is given to another node before it counts
/// as not sent; no byte of it has left then. All functions run on thread 0 of the thread pool.
class EndpointCalls
{
public:
	/// @param[in] _firstNumber Start of the numbers of relayed calls and probes; differs from those of earlier
	/// processes at this address.
	EndpointCalls(IoPool& _pool, HttpClient& _client, std::uint64_t _firstNumber, const CallMessageSender& _send);

	/// Starts a call. CallHandlers::onConnected is not called.
	std::shared_ptr<HttpCall> call(EndpointCall _call, CallHandlers _handlers);

	/// Starts a call to an address whose endpoint may not be listed any more. Its result is ignored.
	void callAndForget(CallSpec _spec);

	/// Probes whether an endpoint's process listens, see EndpointProber.
	void probe(const std::string& _endpoint, const std::string& _address, const ProbeHandler& _done);

	/// Does so for a call that ended, from the node that made it.
	/// @param[in] _node CallEnd::madeBy.
	void probeBy(const std::string& _node, const std::string& _endpoint, const std::string& _address,
				 const ProbeHandler& _done);

	/// @returns Whether this node has an idle connection to an address that was opened at or before a time point.
	[[nodiscard]] bool hasIdle(const std::string& _address, Micros _openedBefore) const;

	/// Opens a connection to an address and keeps it idle, see HttpClient::openIdle().
	void openIdle(const std::string& _address, std::size_t _maxIdleConnections);

	void setEndpoints(const std::vector<Endpoint>& _endpoints);
	void setRelays(const std::vector<RelayNode>& _nodes);
	void receive(const std::string& _from, const CallMessage& _message);
	void peerClosed(const std::string& _peer);
	void tick(Micros _now);

	/// @returns Whether this node has lost its path to an endpoint that others reach.
	[[nodiscard]] bool isPathLost(const std::string& _endpoint) const;

	/// @returns Number of calls in progress that this node makes for others.
	[[nodiscard]] std::size_t callsForOthers() const;

	/// @returns Metrics in the Prometheus text format.
	[[nodiscard]] std::string metricsText() const;

private:
	class RoutedCall;

	[[nodiscard]] static CallPath pathBy(const std::string& _node);
	[[nodiscard]] std::optional<std::string> addressForOthers(const std::string& _endpoint) const;
	void probeLostPaths(Micros _now);
	void onConnected(const std::string& _endpoint);
	void onReachedThrough(const std::string& _endpoint, const std::string& _node);
	void logReach(ReachChange _change, const std::string& _endpoint, const std::string& _node) const;

	IoPool& pool;
	HttpClient& client;
	Reachability reach;
	std::map<std::string, std::string> addresses;   ///< Of the listed endpoints, by id.
	std::map<std::string, std::string> idByAddress; ///< Of the listed endpoints.
	std::set<std::string> leaving;                  ///< Ids of listed endpoints that leave.
	RelayedCalls relayed;
	RelayedCallServer server;
	EndpointProber prober;
	std::uint64_t relayedCount = 0; ///< Calls that other nodes made for this one.
};

} // namespace roadferry

#endif // ROADFERRY_ENDPOINT_CALLS_H_HEADER_GUARD
