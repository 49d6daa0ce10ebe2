/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A forwarded request under way, as the files of ForwardTraffic share it.

#ifndef ROADFERRY_FORWARD_ACTIVE_H_HEADER_GUARD
#define ROADFERRY_FORWARD_ACTIVE_H_HEADER_GUARD

#include "forward_traffic.h"

namespace roadferry
{

constexpr Micros kShortRetryAfter = 300 * kMillisecond; ///< Advice when trouble is over in a moment.
constexpr std::int64_t kMaxStageReruns = 2;             ///< Times that one request's pieces are made again.

/// A request under way.
struct ForwardTraffic::ActiveRequest
{
	ActiveRequest(ForwardRequest _request, const WireFormat& _wire, const std::shared_ptr<HttpReply>& _reply,
				  const Route& _route)
		: request(std::move(_request)), route(_route),
		  answer(_wire, _reply, request.id, _route.streaming, _route.repeatable),
		  graph(_route.stages, request.pieceCounts)
	{
	}

	std::uint64_t id = 0;
	ForwardRequest request;
	std::shared_ptr<const RoutePlan> plan; ///< Version under which it was admitted.
	const Route& route;
	std::string workspace;
	std::int64_t priority = 0;
	Micros arrivedAt = 0;
	Micros deadline = 0;
	Micros stagesDeadline = 0; ///< Given up if its stages are not done by then.
	ForwardAnswer answer;
	StageGraph graph;
	std::map<std::string, std::string> resultDomains; ///< Failure domain of each result.
	std::set<std::uint64_t> orders;                   ///< Pieces that are being made.
	std::string pool;                                 ///< Where the request itself goes.
	std::uint64_t prefixHash = 0;                     ///< Hash of what its prompt shares with others.
	std::string homeDomain;   ///< Failure domain of the endpoint that it will most likely go to.
	bool inputsFreed = false; ///< Results that it needs were given back.
	std::int64_t stageReruns = 0;
	bool admissionRequested = false; ///< Its first pieces were ordered.
	bool submitted = false;          ///< The dispatcher has it.
	std::int64_t attempts = 0;
	std::uint64_t currentAttempt = 0; ///< The one under way, 0 for none.
	Micros attemptStartedAt = 0;
	std::string endpoint;
	std::shared_ptr<HttpCall> call;
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_ACTIVE_H_HEADER_GUARD
