/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// One attempt of one stage on one endpoint, over HTTP.

#ifndef ROADFERRY_STAGE_CALL_H_HEADER_GUARD
#define ROADFERRY_STAGE_CALL_H_HEADER_GUARD

#include "http_client.h"
#include "json.h"
#include "trace.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

/// The attempt to make and the data that the endpoint needs for it.
struct StageCallSpec
{
	StartAttempt attempt;
	std::string attemptId;     ///< Echoed by the endpoint; unique across all nodes.
	std::string requestId;     ///< Text of the ticket.
	QJsonValue input;          ///< The caller's input.
	QJsonValue previousOutput; ///< Output of the previous stage; undefined for the first stage.
	std::int64_t maxTokens = 0;
	std::int64_t resumePosition = 0; ///< Number of tokens that have been delivered to the caller.
	Micros timeout = 0;              ///< From now to the end of the response.
	TraceContext trace;
};

/// Result of an attempt.
struct StageResult
{
	AttemptEnd end = AttemptNotSent{};
	QJsonValue output; ///< Set for stages that do not stream.
	std::string error; ///< For logs and spans.
};

/// Callbacks of an attempt; run on the thread of the call.
struct StageCallHandlers
{
	/// Called for each token of an engine, in order, without gap or overlap.
	std::function<void(std::int64_t _position, const std::string& _text)> onToken;
	std::function<void(const StageResult&)> onEnd;
};

/// Starts the attempt. Must be called on the given thread.
std::shared_ptr<HttpCall> startStageCall(HttpClient& _client, std::size_t _thread, const StageCallSpec& _spec,
										 StageCallHandlers _handlers);

} // namespace roadferry

#endif // ROADFERRY_STAGE_CALL_H_HEADER_GUARD
