/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: which endpoints a node reaches itself, and through which other nodes it calls the rest.

#ifndef ROADFERRY_PARTS_REACHABILITY_H_HEADER_GUARD
#define ROADFERRY_PARTS_REACHABILITY_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace roadferry
{

/// A node that makes calls for other nodes.
struct RelayNode
{
	std::string address;
	std::int64_t processorPercent = 0; ///< Share of a core that its VM provides; 0 if unknown.
	bool operator==(const RelayNode&) const = default;
};

/// Open the connection to the endpoint from this node.
struct CallDirectly
{
	bool operator==(const CallDirectly&) const = default;
};

/// Let another node make the call.
struct CallThrough
{
	std::string node;
	bool operator==(const CallThrough&) const = default;
};

/// Neither this node nor any other that can be asked reaches the endpoint.
struct CallNowhere
{
	bool operator==(const CallNowhere&) const = default;
};

using CallPath = std::variant<CallDirectly, CallThrough, CallNowhere>;

/// Change of what a node reaches, to be logged.
enum class ReachChange
{
	None,
	PathLost, ///< Another node reaches an endpoint that this node does not.
	CutOff,   ///< This node counts as cut off from all endpoints.
	Restored  ///< This node reaches the endpoints again.
};

/// Settings of a Reachability.
struct ReachabilityConfig
{
	/// Endpoints that only others reach, from which on a node that reaches none meanwhile counts as cut off from all.
	std::size_t cutOffEndpoints = 3;
	Micros probePeriod = kSecond;      ///< Time between two probes of endpoints whose path is lost.
	std::size_t lostProbes = 2;        ///< Endpoints with a lost path that are probed each time.
	std::size_t unreachableProbes = 8; ///< Endpoints that nobody reached that are probed each time.
	Micros relayAvoidTime = kSecond;   ///< How long a node that reached no endpoint is not asked.
	std::size_t relayFailureLimit = 2; ///< Endpoints that an asked node failed to reach one after another.
	bool operator==(const ReachabilityConfig&) const = default;
};

/// Tells a node whose own path to endpoints is lost from endpoints that are down: the path is lost if another node
/// opens a connection that this node could not open. Calls to such endpoints go through other nodes until a probe
/// succeeds.
class Reachability
{
public:
	explicit Reachability(ReachabilityConfig _config);

	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// @param[in] _nodes The other live nodes that make calls for this one.
	void setRelays(const std::vector<RelayNode>& _nodes);

	/// @returns How a call to an endpoint is made.
	[[nodiscard]] CallPath pathTo(const std::string& _endpoint, Micros _now) const;

	/// @param[in] _asked Nodes that were asked already.
	/// @returns The least busy node that can be asked to make a call, if there is one.
	[[nodiscard]] std::optional<std::string> chooseRelay(const std::set<std::string>& _asked, Micros _now) const;

	/// @returns Up to that many nodes that can be asked for their view of an endpoint.
	[[nodiscard]] std::vector<std::string> witnesses(std::size_t _count, Micros _now) const;

	/// Records that this node opened a connection to an endpoint.
	ReachChange recordConnected(const std::string& _endpoint, Micros _now);

	/// Records that a node that was asked opened a connection to an endpoint to which this node could not open one.
	ReachChange recordReachedThrough(const std::string& _endpoint, const std::string& _node, Micros _now);

	/// Records that a node that was asked did not reach an endpoint.
	/// @param[in] _cutOff Whether that node knows that its own path is lost.
	void recordNotReachedThrough(const std::string& _endpoint, const std::string& _node, bool _cutOff, Micros _now);

	/// Records that neither this node nor those that were asked reached an endpoint. It gets no calls until a probe
	/// reaches it, or until the next round of probes if this node has lost its own path.
	void recordUnreachable(const std::string& _endpoint);

	/// Records that the link to a node was lost.
	void recordRelayLost(const std::string& _node, Micros _now);

	/// Counts the calls that a node makes for this one.
	void recordRelayedCallStart(const std::string& _node);
	void recordRelayedCallEnd(const std::string& _node);

	/// @returns Endpoints to probe now.
	std::vector<std::string> tick(Micros _now);

	/// @returns Whether this node's own path to an endpoint is lost.
	[[nodiscard]] bool isPathLost(const std::string& _endpoint) const;

	/// @returns Whether this node counts as cut off from all endpoints.
	[[nodiscard]] bool isCutOff() const;

	/// @returns Number of endpoints whose path is known to be lost.
	[[nodiscard]] std::size_t lostPaths() const;

private:
	struct Relay
	{
		std::int64_t processorPercent = 0;
		std::int64_t calls = 0;                ///< Calls in progress that it makes for this node.
		std::int64_t totalCalls = 0;           ///< Calls that it has made for this node; decides between equals.
		Micros avoidUntil = 0;                 ///< Time point.
		std::set<std::string> notReached = {}; ///< Endpoints not reached since the last one that was.
	};

	[[nodiscard]] static bool canAsk(const Relay& _relay, Micros _now);
	[[nodiscard]] static bool isLessBusy(const Relay& _left, const Relay& _right);
	[[nodiscard]] std::vector<std::string> endpointsWithLostPath() const;

	ReachabilityConfig config;
	std::set<std::string> endpointIds;
	std::map<std::string, Relay> relays;     ///< By address.
	std::map<std::string, Micros> lostSince; ///< Time points, by endpoint whose path is lost.
	std::set<std::string> unreachable;       ///< Endpoints that nobody reached.
	Micros lastConnectedAt = 0;              ///< Time point of this node's last connection to an endpoint.
	bool cutOff = false;
	Micros nextProbeAt = 0;            ///< Time point.
	std::string lastLostProbed;        ///< Endpoint at which the last round of probes ended.
	std::string lastUnreachableProbed; ///< The same for endpoints that nobody reached.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_REACHABILITY_H_HEADER_GUARD
