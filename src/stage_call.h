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

/// What to send to the endpoint.
struct StageCallSpec
{
	StartAttempt attempt;
	std::string attemptId; ///< Id that the endpoint has to echo; never used twice by any node.
	std::string requestId;
	QJsonValue input;          ///< The caller's input.
	QJsonValue previousOutput; ///< Output of the stage before, undefined for the first.
	std::int64_t maxTokens = 0;
	std::int64_t resumePosition = 0; ///< Tokens that the caller has already.
	Micros timeout = 0;
	TraceContext trace;
};

/// How the attempt ended.
struct StageResult
{
	AttemptEnd end = AttemptNotSent{};
	QJsonValue output; ///< Of a stage that does not stream.
	std::string error; ///< For logs and spans.
};

/// Called on the call's thread.
struct StageCallHandlers
{
	/// A token of an engine, in order, without gap or overlap.
	std::function<void(std::int64_t _position, const std::string& _text)> onToken;
	std::function<void(const StageResult&)> onEnd;
};

/// Begins the attempt. Must be called on the thread that is named.
std::shared_ptr<HttpCall> startStageCall(HttpClient& _client, std::size_t _thread, const StageCallSpec& _spec,
										 StageCallHandlers _handlers);

} // namespace roadferry

#endif // ROADFERRY_STAGE_CALL_H_HEADER_GUARD
