/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Probes whether an endpoint's process listens, with the help of other nodes.

#ifndef ROADFERRY_ENDPOINT_PROBER_H_HEADER_GUARD
#define ROADFERRY_ENDPOINT_PROBER_H_HEADER_GUARD

#include "call_messages.h"

#include <roadferry/roadferry.h>

#include <functional>

namespace roadferry
{

/// What an EndpointProber needs of its node.
struct EndpointProberContext
{
	CallMessageSender send;
	std::function<std::vector<std::string>()> witnesses;          ///< Nodes to ask for their view.
	std::function<bool(const std::string& _endpoint)> isPathLost; ///< Whether this node has lost its path to it.
	std::function<bool()> hasLostPaths; ///< Whether this node has lost its path to any endpoint.
	std::function<void(const std::string& _endpoint)> onConnected;
	/// Called when another node reaches an endpoint that this node does not.
	std::function<void(const std::string& _endpoint, const std::string& _node)> onReachedThrough;
};

/// What a node and its witnesses have found out about an endpoint.
struct ProbeFinding
{
	ProbeResult result = ProbeResult::NoAnswer; ///< Refused only if no node that was asked reaches the endpoint.
	/// The node whose path was in question did not reach the endpoint: its connection was refused, or its path was lost
	/// before. If others reach it, the path may be cut there, or another process has begun to listen meanwhile.
	bool notReached = false;
	bool operator==(const ProbeFinding&) const = default;
};

/// Receives the result of a probe.
using ProbeHandler = std::function<void(const ProbeFinding&)>;

/// Probes endpoints. That a connection is refused at this node does not show that the endpoint has ended: the path may
/// be cut. So some other nodes are asked, and one that reaches the endpoint decides (the indirect probe of SWIM). All
/// functions run on thread 0 of the thread pool.
class EndpointProber
{
public:
	/// @param[in] _firstNumber Start of the numbers of the probes.
	EndpointProber(HttpClient& _client, std::uint64_t _firstNumber, EndpointProberContext _context);

	/// Probes from this node, and from others if it does not reach the endpoint.
	void probe(const std::string& _endpoint, const std::string& _address, const ProbeHandler& _done);

	/// Probes from another node, and like probe() if that one does not reach the endpoint.
	void probeThrough(const std::string& _node, const std::string& _endpoint, const std::string& _address,
					  const ProbeHandler& _done);

	void receive(const std::string& _from, const EndpointProbeAnswer& _answer);

	/// Ends the probes whose answers are late.
	void tick(Micros _now);

	/// @returns Number of probes that were refused at this node.
	[[nodiscard]] std::uint64_t refusals() const;

private:
	/// A probe that waits for other nodes.
	struct Round
	{
		std::string endpoint;
		bool refusedHere = false; ///< This node's own probe was refused; otherwise it made none.
		bool isPathLost = false;  ///< It made none since its path is lost.
		bool refusedThere = false;
		std::set<std::string> waitingFor = {}; ///< Nodes that have not answered.
		Micros deadline = 0;                   ///< Time point.
		ProbeHandler done = {};
	};

	void onProbedHere(const std::string& _endpoint, ProbeResult _result, const ProbeHandler& _done);
	void askWitnesses(Round _round);
	void ask(const std::vector<std::string>& _nodes, Round _round);
	[[nodiscard]] ProbeResult resultWithoutWitness(const Round& _round) const;
	void finish(std::uint64_t _probe, ProbeResult _result);

	HttpClient& client;
	EndpointProberContext context;
	std::map<std::uint64_t, Round> rounds; ///< By number of the probe; the earliest deadline first.
	std::uint64_t lastProbe;
	std::uint64_t refusalCount = 0;
};

} // namespace roadferry

#endif // ROADFERRY_ENDPOINT_PROBER_H_HEADER_GUARD
