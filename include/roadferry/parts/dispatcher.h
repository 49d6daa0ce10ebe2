/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: dispatcher: admission, ordering, placement, retries.

#ifndef ROADFERRY_PARTS_DISPATCHER_H_HEADER_GUARD
#define ROADFERRY_PARTS_DISPATCHER_H_HEADER_GUARD

#include <roadferry/parts/endpoint_state.h>
#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/table.h>
#include <roadferry/parts/tickets.h>
#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace roadferry
{

/// A request, as submitted to the dispatcher.
struct RequestSpec
{
	std::uint64_t id = 0;
	std::string workspace;
	std::string pipeline;
	Micros deadline = 0;    ///< Time point.
	bool repeatable = true; ///< Whether the caller allows repeats; a stage's row can only be stricter.
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	std::uint64_t prefix = 0;         ///< Hash of the prompt's prefix, 0 for none.
	bool isRetry = false;             ///< The request repeats earlier work; its first attempt is charged as a retry.
	std::string preferredDomain = {}; ///< Failure domain to prefer for its endpoints, empty for no preference.
	/// Software version that its endpoints must have, if set: it continues a stream that this version began.
	std::optional<std::string> requiredVersion = {};
	bool operator==(const RequestSpec&) const = default;
};

/// Send one attempt of a stage to an endpoint.
struct StartAttempt
{
	std::uint64_t request = 0;
	std::uint64_t attempt = 0; ///< Unique within the dispatcher; echoed by the endpoint.
	std::size_t stageIndex = 0;
	std::string stage;
	StageKind kind = StageKind::Service;
	std::string endpoint;
	std::string address;
	std::string softwareVersion; ///< Of the endpoint, empty if unknown.
	Micros deadline = 0;         ///< Time point at which the attempt is given up.
	bool atMostOnce = false;     ///< No layer may send the call a second time.
	bool operator==(const StartAttempt&) const = default;
};

/// Cancel an attempt whose answer is no longer needed.
struct CancelAttempt
{
	std::uint64_t request = 0;
	std::uint64_t attempt = 0;
	bool operator==(const CancelAttempt&) const = default;
};

/// Report the outcome of a request to its caller.
struct FinishRequest
{
	std::uint64_t request = 0;
	Outcome outcome;
	bool operator==(const FinishRequest&) const = default;
};

using Action = std::variant<StartAttempt, CancelAttempt, FinishRequest>;
using Actions = std::vector<Action>;

/// The complete answer of the stage was received.
struct AttemptAnswered
{
	bool operator==(const AttemptAnswered&) const = default;
};

/// No byte of the call was sent.
struct AttemptNotSent
{
	bool operator==(const AttemptNotSent&) const = default;
};

/// The endpoint reported that it did not start the call.
struct AttemptRefused
{
	bool operator==(const AttemptRefused&) const = default;
};

/// Bytes of the call were sent, and no complete answer was received.
struct AttemptInterrupted
{
	bool operator==(const AttemptInterrupted&) const = default;
};

/// The call needs a connection that leads to a process of a known version, and there is none. The endpoint has not
/// failed.
struct AttemptNoConnection
{
	bool operator==(const AttemptNoConnection&) const = default;
};

/// The endpoint answered, and nothing tells whether the answer is complete. Only the end of a request that may run more
/// than once.
struct AttemptEndUnproven
{
	bool isTrusted = false; ///< It counts as complete if nobody can be asked, so that others need the retries more.
	bool operator==(const AttemptEndUnproven&) const = default;
};

using AttemptEnd = std::variant<AttemptAnswered, AttemptNotSent, AttemptRefused, AttemptInterrupted,
								AttemptNoConnection, AttemptEndUnproven>;

/// The endpoints of a pool to which there is a connection that leads to the listed process.
struct ProvenEndpoints
{
	std::set<std::string> ids;
	bool isRequired = false; ///< Requests that need a software version are sent to no others; else these are preferred.
	bool operator==(const ProvenEndpoints&) const = default;
};

/// A pool and the software version that a request needs there.
using PoolVersion = std::pair<std::string, std::string>;

/// Order of the requests that wait for a pool.
enum class Ordering
{
	Fifo,
	DeadlineFair ///< Urgent requests first; then workspaces by weight, earliest deadline first within each.
};

/// Limits of the retries to each pool.
struct RetryBounds
{
	double share = 0.1;        ///< Retries earned by one first attempt.
	double burst = 20;         ///< Maximum number of accumulated retries.
	Micros firstBurstTime = 0; ///< Duration over which a new process is given its first burst; 0: at once.
	bool operator==(const RetryBounds&) const = default;
};

/// Settings of a dispatcher.
struct DispatcherConfig
{
	std::string placement = "affinity_gated";
	Ordering ordering = Ordering::DeadlineFair;
	bool admitByDeadline = true;       ///< Refuse requests that are predicted to miss their deadline.
	bool dropInfeasible = true;        ///< Drop waiting requests that are predicted to miss their deadline.
	bool ejectOutliers = true;         ///< Eject failing and slow endpoints for a time.
	double urgentReserve = 0.1;        ///< Fraction of a pool's slots that only urgent pipelines may use.
	RetryBounds retries;               ///< Until Dispatcher::setRetryBounds() is called.
	std::int64_t maxExtraConnects = 0; ///< Failed connects per stage that do not count as attempts.
	std::int64_t maxExtraRefusals = 0; ///< Refusals by endpoints per stage that do not count as attempts.
	double slotsFactor = 1.0;          ///< Maximum calls in flight on an endpoint, as a multiple of its slots.
	double marginDeviations =
		1.5;                    ///< Number of mean absolute deviations added to a predicted service time at admission.
	std::size_t lookahead = 24; ///< Number of waiting requests examined for one that has a preferred endpoint.
	std::size_t queueLimit = 20'000;     ///< Maximum number of requests waiting per pool.
	std::int64_t ejectAfterFailures = 3; ///< Consecutive failures that eject an endpoint.
	Micros ejectionDuration = 2 * kSecond;
	double maxEjectedShare = 0.34; ///< Maximum fraction of a pool's endpoints that may be ejected at a time.
	std::uint64_t seed = 1;
	bool operator==(const DispatcherConfig&) const = default;
};

/// Counters of a dispatcher since its construction.
struct DispatcherCounters
{
	std::uint64_t submitted = 0;
	std::uint64_t answered = 0;
	std::uint64_t notRun = 0;
	std::uint64_t unknown = 0;
	std::uint64_t attempts = 0;
	std::uint64_t retries = 0;
	std::uint64_t lateAnswers = 0; ///< Attempts that ended after they were given up.
	bool operator==(const DispatcherCounters&) const = default;
};

/// Admits or refuses requests, and decides in which order and on which endpoints their stages run.
class Dispatcher
{
public:
	explicit Dispatcher(const DispatcherConfig& _config);
	~Dispatcher();
	Dispatcher(const Dispatcher&) = delete;
	Dispatcher& operator=(const Dispatcher&) = delete;

	/// Replaces the table. Requests in flight keep the rows with which they were admitted.
	void setTable(std::shared_ptr<const Table> _table);

	/// Replaces the list of endpoints. An endpoint that is no longer listed receives no new calls.
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Marks an endpoint as leaving. The mark is permanent: a later list does not clear it.
	void markLeaving(const std::string& _endpoint);

	/// Ejects an endpoint whose process has ended, for DispatcherConfig::ejectionDuration and until a call to it
	/// succeeds.
	void recordCrash(const std::string& _endpoint, Micros _now);

	/// Processes an endpoint's load report. Calls beyond this node's own are attributed to other nodes.
	void reportLoad(const std::string& _endpoint, const LoadReport& _report);

	/// Sets the number of nodes that use each endpoint, including this one; initially 1.
	void setNodeCount(std::size_t _nodes);

	/// Sets the live nodes that use each endpoint, in place of their number alone.
	/// @param[in] _self Address of this node, one of them.
	void setNodes(const std::string& _self, const std::vector<std::string>& _nodes);

	/// Records that the endpoints of a pool crash if one rejects more than some requests in a second. It holds as long
	/// as they say so, see EndpointRegistry.
	/// @param[in] _perSecond Rejections that an endpoint survives in a second; 0 if the endpoint names no limit.
	/// @returns Whether this was not known before.
	bool recordRejectionLimit(const std::string& _pool, std::int64_t _perSecond, Micros _now);

	/// @returns Number of pools whose endpoints have a rejection limit.
	[[nodiscard]] std::size_t limitedPools(Micros _now) const;

	/// Sets this node's share of a workspace's limit.
	/// @param[in] _inFlight Maximum requests in flight on this node; negative removes the share.
	void setShare(const std::string& _workspace, std::int64_t _inFlight);

	/// Refuses new requests from the table from now on. Requests in flight run to their end.
	void drain();

	/// Sets the limits of each pool's retry budget. Accumulated retries above the new maximum are discarded at once.
	/// The first call counts as the start of the process, from which RetryBounds::firstBurstTime is measured.
	void setRetryBounds(const RetryBounds& _bounds, Micros _now);

	/// Submits a request for a pipeline of the table.
	/// @returns Actions to perform; a refusal is a FinishRequest.
	Actions submit(const RequestSpec& _request, Micros _now);

	/// Submits a request with its own pipeline, instead of one from the table. Neither drain() nor the limits of the
	/// workspace apply to it.
	/// @param[in] _pipeline The pipeline; its workspace is not compared with the request's.
	/// @param[in] _stages Its stages, at least one.
	/// @returns Actions to perform; a refusal is a FinishRequest.
	Actions submit(const RequestSpec& _request, const PipelineRow& _pipeline, const std::vector<StageRow>& _stages,
				   Micros _now);

	/// Processes the end of an attempt. An attempt that is not in flight is ignored, apart from being counted.
	Actions attemptEnded(std::uint64_t _attempt, const AttemptEnd& _end, Micros _now);

	/// Restricts the further attempts of a request to endpoints of a software version, since its stream has begun at
	/// one. A request that is not in flight is ignored.
	void requireVersion(std::uint64_t _request, const std::string& _version);

	/// Sets the endpoints of a pool whose processes are known to have the listed version; before the first call these
	/// are all. Only requests that need a software version depend on it.
	void setProven(const std::string& _pool, const ProvenEndpoints& _proven);

	/// @returns What the waiting requests need that need a software version.
	[[nodiscard]] std::set<PoolVersion> awaitedVersions() const;

	/// @returns Whether a pool has an endpoint of a software version that may receive new calls.
	[[nodiscard]] bool servesVersion(const std::string& _pool, const std::string& _version) const;

	/// @returns Whether there is a retry for an attempt that only asks whether an answer was complete.
	/// @param[in] _isTrusted AttemptEndUnproven::isTrusted.
	bool mayAskOfEnd(const std::string& _pool, bool _isTrusted, Micros _now);

	/// Cancels a request; one that is not in flight is ignored.
	Actions cancel(std::uint64_t _request, Micros _now);

	/// Ends requests whose deadline has passed, and starts waiting requests where endpoints have free slots.
	Actions tick(Micros _now);

	/// @returns Failure domain of a prompt prefix's home endpoint, see prefixHome(); empty if the pool has none.
	[[nodiscard]] std::string homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const;

	[[nodiscard]] std::size_t inFlight() const;
	[[nodiscard]] std::map<std::string, std::int64_t> inFlightByWorkspace() const;
	[[nodiscard]] const DispatcherCounters& counters() const;
	[[nodiscard]] std::vector<EndpointState> endpoints() const;

private:
	struct State;
	std::unique_ptr<State> state;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_DISPATCHER_H_HEADER_GUARD
