/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: endpoints whose process ended while they ran requests, and the requests that are
/// therefore not sent to further endpoints.

#ifndef ROADFERRY_PARTS_CRASH_LEDGER_H_HEADER_GUARD
#define ROADFERRY_PARTS_CRASH_LEDGER_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace roadferry
{

/// Hash of a request's content; submissions of the same content have the same digest.
using RequestDigest = std::uint64_t;

/// Hash of a pool and of a part of the input that requests to it may share.
using PartKey = std::uint64_t;

/// The end of an endpoint's process while it ran requests.
struct EndpointCrash
{
	std::string endpoint; ///< Id of the endpoint instance.
	std::string address;
	std::string pool;
	Micros at = 0;                    ///< Time point at which its first call broke.
	std::set<RequestDigest> requests; ///< Requests that ran on it.
	std::set<PartKey> parts = {};     ///< Shared parts of those whose response it had not begun.
	bool operator==(const EndpointCrash&) const = default;
};

/// Result of probing an endpoint after a call to it broke.
enum class EndpointProbe
{
	Ended,      ///< No process listens at its address.
	Listening,  ///< A process listens; it may be a new instance.
	Unreachable ///< Its host does not answer, which no request causes.
};

/// What follows from a probe.
struct ProbeVerdict
{
	std::optional<EndpointCrash> crash; ///< To be reported to other nodes, if the endpoint has ended.
	bool probeAgain = false;            ///< The endpoint may be about to end: its connections closed before its port.
};

/// What to do after broken calls were recorded.
enum class BrokenCallStep
{
	None,
	Probe, ///< Probe the endpoint.
	Report ///< Report to other nodes that these requests too ran on an endpoint that crashed.
};

/// Settings of a CrashLedger.
struct CrashLedgerConfig
{
	std::int64_t maxCrashes = 3;               ///< Crashes under a request after which it is not sent again.
	Micros memory = 600 * kSecond;             ///< How long a crash counts; 0 turns the protection off.
	Micros probeMemory = 5 * kSecond;          ///< How long a listening endpoint may turn out to be a new instance.
	Micros massCrashSpan = 250 * kMillisecond; ///< Crashes within this time of each other may have one cause.
	/// Share of a pool that crashes at once if the cause is not a request but, for instance, a power failure.
	double massCrashShare = 0.5;
	std::size_t massCrashMinEndpoints = 2; ///< Minimum number of other endpoints in a mass crash.
	std::size_t maxRequests = 20'000;      ///< Maximum number of requests in all crashes; the oldest crashes go first.
	bool operator==(const CrashLedgerConfig&) const = default;
};

/// Recognises requests under which endpoints crash again and again (a "query of death"). Protection that is kept by
/// endpoint or by attempt spreads such a request; this one is kept by content, over the tries of all clients and over
/// all nodes.
///
/// A crash counts against all requests that ran on the endpoint. A request that is answered is cleared. In a mass
/// crash, in which half of the pool ends at the same time under other requests, a crash counts half.
class CrashLedger
{
public:
	explicit CrashLedger(CrashLedgerConfig _config);

	/// Sets how long a crash counts. With 0 the ledger forgets all crashes and records no others.
	void setMemory(Micros _memory);

	/// Sets the listed endpoints. A listening endpoint is found to have crashed if its address belongs to another
	/// instance now.
	/// @returns Crashes found in this way, to be reported to other nodes.
	std::vector<EndpointCrash> setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Records that calls to an endpoint broke. It counts as crashed until the result of a probe is known.
	BrokenCallStep recordBrokenCalls(const EndpointCrash& _broken);

	/// Records the result of a probe. An endpoint counts as crashed until a second probe finds it listening.
	ProbeVerdict recordProbe(const std::string& _endpoint, EndpointProbe _result);

	/// Merges a crash that another node reports.
	void merge(const EndpointCrash& _crash);

	/// Clears a request that an endpoint answered completely.
	void recordAnswered(RequestDigest _request);

	/// Forgets crashes that count no longer.
	void expire(Micros _now);

	/// @returns Whether a request may be sent to an endpoint.
	[[nodiscard]] bool mayRun(RequestDigest _request) const;

	/// @returns Number of endpoints that crashed under a request, including those whose probe has no result yet.
	[[nodiscard]] std::size_t crashesOf(RequestDigest _request) const;

	/// @returns Requests with at least that many crashes.
	[[nodiscard]] std::set<RequestDigest> requestsWithCrashes(std::size_t _count) const;

	/// @returns Requests that may not be sent to an endpoint.
	[[nodiscard]] std::set<RequestDigest> blockedRequests() const;

	/// @returns All crashes that are certain and still count.
	[[nodiscard]] std::vector<EndpointCrash> crashes() const;

	/// @returns Number that grows with each change of what mayRun() and requestsWithCrashes() return.
	[[nodiscard]] std::uint64_t revision() const;

	/// @returns Number of crashes that were forgotten early because of CrashLedgerConfig::maxRequests.
	[[nodiscard]] std::uint64_t droppedCrashes() const;

private:
	enum class Certainty
	{
		Pending,  ///< The result of the probe is not known; counts.
		Listened, ///< The first probe found it listening; counts.
		Certain,  ///< Counts.
		Uncertain ///< The endpoint listens; does not count unless it turns out to be a new instance.
	};

	struct Entry
	{
		EndpointCrash crash;
		Certainty certainty = Certainty::Pending;
	};

	void addRequests(Entry& _entry, const std::set<RequestDigest>& _requests);
	void erase(const std::string& _endpoint);
	void limitSize();
	[[nodiscard]] bool isMassCrash(const EndpointCrash& _crash, RequestDigest _request) const;

	CrashLedgerConfig config;
	std::map<std::string, Entry> entries;                                        ///< By endpoint id.
	std::unordered_map<RequestDigest, std::set<std::string>> endpointsByRequest; ///< Ids of the entries of a request.
	std::map<std::string, std::size_t> poolSizes;                                ///< Listed endpoints by pool.
	std::size_t requestCount = 0;                                                ///< Sum over all entries.
	std::uint64_t dropped = 0;
	std::uint64_t changes = 0;
};

/// One message of a broadcast: to a node, which forwards it to others.
struct BroadcastStep
{
	std::string to;
	std::vector<std::string> forwardTo;
	bool operator==(const BroadcastStep&) const = default;
};

/// Plans a broadcast. Few nodes get it directly. With many, the sender contacts about the square root of their number,
/// and each node gets it over two ways, so that one failed node keeps it from none.
/// @param[in] _targets Addresses of the nodes.
std::vector<BroadcastStep> planBroadcast(const std::vector<std::string>& _targets);

} // namespace roadferry

#endif // ROADFERRY_PARTS_CRASH_LEDGER_H_HEADER_GUARD
