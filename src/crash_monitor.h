/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Connects a CrashLedger to the network: probes endpoints after broken calls, and exchanges crashes with other nodes.

#ifndef ROADFERRY_CRASH_MONITOR_H_HEADER_GUARD
#define ROADFERRY_CRASH_MONITOR_H_HEADER_GUARD

#include "endpoint_calls.h"
#include "identity_check.h"
#include "peer_messages.h"

#include <deque>
#include <functional>

namespace roadferry
{

/// A call whose connection the endpoint closed or reset before the end of its response.
struct BrokenCall
{
	std::string endpoint; ///< Id of the endpoint instance.
	std::string address;
	std::string pool;
	std::set<RequestDigest> requests; ///< Requests that ran in the call.
	std::set<PartKey> parts = {};     ///< Their shared parts, unless the endpoint had begun its response.
	std::string madeBy = {};          ///< CallEnd::madeBy.
};

/// Asks the process at an endpoint's address who it is, from the node that made a call to it.
using IdentityQuestion = std::function<void(const BrokenCall& _call, IdentityHandler)>;

/// Receives whether an endpoint's process still runs, and is no other one at its address.
using RunningHandler = std::function<void(bool _runs)>;

/// Message about crashes, exchanged between nodes.
using CrashMessage = std::variant<CrashReport, CrashReportRequest>;

/// Functions that a CrashMonitor calls.
struct CrashMonitorHandlers
{
	std::function<void(const std::string& _to, const CrashMessage&)> send; ///< Sends a message to a node.
	/// Called for each crash that is certain, and again when more requests turn out to have run there.
	/// @param[in] _from Node that reports it, empty if this node found it.
	std::function<void(const EndpointCrash& _crash, const std::string& _from)> onCrash;
	IdentityQuestion identify;
};

/// Keeps the crashes of endpoints known to all nodes. All functions run on thread 0 of the thread pool.
class CrashMonitor
{
public:
	CrashMonitor(EndpointCalls& _endpointCalls, CrashLedgerConfig _config, CrashMonitorHandlers _handlers);

	/// @param[in] _others Addresses of the other live nodes.
	void setPeers(const std::vector<std::string>& _others);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);
	void setMemory(Micros _memory);

	/// @param[in] _done Called when it is recorded whether the endpoint has ended, and the other nodes have been told.
	void onCallBroken(const BrokenCall& _call, Micros _now, std::function<void()> _done);

	/// Like onCallBroken(), for a call whose response nothing but the end of its connection completed. The endpoint is
	/// suspected only if nothing listens at its address.
	/// @param[in] _done Receives false unless the process that has the endpoint's id was found to run after the end of
	/// the connection, by the node whose connection it was: the response may lack its rest. That another node reaches
	/// the process does not tell whether the path of the connection was cut.
	void onConnectionEnded(const BrokenCall& _call, RunningHandler _done);
	void onAnswered(RequestDigest _request);
	void receive(const std::string& _from, const CrashMessage& _message, Micros _now);
	void tick(Micros _now);

	/// @returns Whether a request may be sent to an endpoint.
	[[nodiscard]] bool mayRun(RequestDigest _request) const;

	[[nodiscard]] const CrashLedger& ledger() const;

	/// @returns Metrics in the Prometheus text format.
	[[nodiscard]] std::string metricsText() const;

private:
	/// A response that waits until its endpoint was probed, and its process asked who it is.
	struct EndedConnection
	{
		BrokenCall call;
		RunningHandler done;
		bool isProbedAgain = false; ///< The process did not tell who it is.
		Micros identifyAt = 0;      ///< Time point.
	};

	void probe(const std::string& _endpoint, const std::string& _address);
	void onProbed(const std::string& _endpoint, const std::string& _address, ProbeResult _result);
	void onProbedAtEnd(EndedConnection _ended, const ProbeFinding& _finding);
	void probeAtEnd(const EndedConnection& _ended);
	void identifyDue(Micros _now);
	void onIdentified(EndedConnection _ended, ProcessIdentity _identity);
	void report(const std::vector<EndpointCrash>& _crashes);
	void onReport(const std::string& _from, const CrashReport& _report, Micros _now);
	void logFatalRequests(const EndpointCrash& _crash, const std::string& _source) const;

	/// A probe to be made later.
	struct SecondProbe
	{
		Micros at = 0; ///< Time point.
		std::string endpoint;
		std::string address;
	};

	EndpointCalls& endpointCalls;
	CrashLedger crashLedger;
	CrashMonitorHandlers handlers;
	std::vector<std::string> peers; ///< Addresses of the other live nodes.
	/// Functions to call after the probe of an endpoint, by its id.
	std::map<std::string, std::vector<std::function<void()>>> waiting;
	std::deque<SecondProbe> secondProbes;
	std::deque<EndedConnection> endedConnections; ///< Whose process is to be asked, soonest first.
	bool requested = false;                       ///< The crashes known to other nodes were requested.
	Micros nextExpiryAt = 0;                      ///< Time point.
	std::uint64_t crashCount = 0;                 ///< Crashes found by this node.
};

} // namespace roadferry

#endif // ROADFERRY_CRASH_MONITOR_H_HEADER_GUARD
