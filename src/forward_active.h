/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// State of a forwarded request in progress, shared by the source files of ForwardTraffic.

#ifndef ROADFERRY_FORWARD_ACTIVE_H_HEADER_GUARD
#define ROADFERRY_FORWARD_ACTIVE_H_HEADER_GUARD

#include "forward_traffic.h"

namespace roadferry
{

constexpr Micros kShortRetryAfter = 300 * kMillisecond; ///< Retry-After for conditions that pass quickly.
constexpr std::int64_t kMaxStageReruns = 2;             ///< Times that the stages of one request are run again.
/// Time for which an endpoint must have run on after it began a response, to show that the request does not crash it.
constexpr Micros kServedTime = 500 * kMillisecond;

/// A request in progress.
struct ForwardTraffic::ActiveRequest
{
	ActiveRequest(ForwardRequest _request, const WireFormat& _wire, const std::shared_ptr<HttpReply>& _reply,
				  const Route& _route, std::size_t _maxResponseBytes)
		: request(std::move(_request)), route(_route),
		  answer(_wire, _reply, request.id, _route.streaming, _route.repeatable, _maxResponseBytes),
		  graph(_route.stages, request.pieceCounts)
	{
	}

	std::uint64_t id = 0;
	ForwardRequest request;
	RequestDigest digest = 0;              ///< Of its content.
	std::vector<PartKey> parts;            ///< Shared parts of its prompt, in order.
	std::shared_ptr<const RoutePlan> plan; ///< Version of the routes under which it was admitted.
	const Route& route;
	std::string workspace;
	std::int64_t priority = 0;
	Micros arrivedAt = 0;      ///< Time point of its arrival.
	Micros deadline = 0;       ///< Time point by which the request must be answered.
	Micros stagesDeadline = 0; ///< Time point at which it is refused if its stages are not complete.
	ForwardAnswer answer;
	StageGraph graph;
	std::map<std::string, std::string> resultDomains; ///< Failure domain of each stage result, by handle.
	std::set<std::uint64_t> orders;                   ///< Piece orders that are not complete.
	std::string streamId;                             ///< Id of the submission that brought its first event.
	bool isResumable = false;  ///< Its stream may be taken up: by its route, or by that under which the stream began.
	bool isRepeatable = false; ///< It may run more than once, for the same reason or by its route.
	std::string pool;          ///< Pool that runs the request itself.
	std::uint64_t prefixHash = 0; ///< Hash of the shared parts of its prompt, 0 for none.
	std::string homeDomain;       ///< Failure domain of the endpoint that will most likely run it.
	bool inputsFreed = false;     ///< The stage results that it needs were freed.
	std::int64_t stageReruns = 0;
	bool admissionRequested = false;  ///< Its first pieces, which carry the admission request, were ordered.
	bool submitted = false;           ///< It was handed to the dispatcher.
	std::int64_t attempts = 0;        ///< Attempts started so far.
	std::uint64_t currentAttempt = 0; ///< Id of the attempt in progress, 0 for none.
	Micros attemptStartedAt = 0;      ///< Time point at which the latest attempt started.
	Micros attemptBegunAt = 0;        ///< Time point of the first bytes of its response body, 0 before.
	bool partsServed = false;         ///< The parts of its prompt were recorded as served.
	std::string endpoint;             ///< Endpoint of the latest attempt.
	std::string endpointAddress;      ///< Address of that endpoint.
	std::string endpointVersion;      ///< Software version of that endpoint.
	std::string endpointName;         ///< Endpoint::sharedName of that endpoint.
	std::uint64_t instance = 0;       ///< ProcessProofs::instanceOf() that endpoint.
	Micros endAskedAt = 0;            ///< Time point since which others are asked about the end of its stream.
	Micros attemptHeadAt = 0;         ///< Time point of the head of the latest attempt's response, 0 before.
	Micros connectionOpenedAt = 0;    ///< Latest time point at which the connection of its stream was opened.
	bool processProven = false;       ///< The connection of the latest attempt led to the listed process.
	/// Software version that began its stream; further attempts need an endpoint of this version.
	std::optional<std::string> streamVersion;
	std::shared_ptr<HttpCall> call;
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_ACTIVE_H_HEADER_GUARD
