/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests that are forwarded byte for byte, independent of the platform's format. An adapter decodes them from HTTP.

#ifndef ROADFERRY_FORWARD_TYPES_H_HEADER_GUARD
#define ROADFERRY_FORWARD_TYPES_H_HEADER_GUARD

#include "http_types.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

/// A part of a prompt, which several requests may have in common.
struct PromptPart
{
	std::uint64_t id = 0;
	std::int64_t tokens = 0;
	bool operator==(const PromptPart&) const = default;
};

/// A request that continues a stream which an earlier submission of the request began.
struct ResumedStream
{
	std::string firstRequestId; ///< Id of the submission that brought the first event; empty if the client names none.
	std::string lastEventId;    ///< Of the last event that the client has, as sent.
	std::optional<std::uint64_t> lastEvent; ///< The same as a number, if it is one.
	bool operator==(const ResumedStream&) const = default;
};

/// A client's request.
struct ForwardRequest
{
	std::string id; ///< Chosen by the client, a new one for each submission.
	std::string method;
	std::string target; ///< Path with query, as sent.
	std::string host;
	HttpHeaders headers; ///< Passed on to the endpoint unchanged; without credentials and headers that roadferry sets.
	std::string body;
	std::string credential;                ///< Empty when none was sent.
	std::optional<Micros> clientTimeout;   ///< How long the client waits for the response.
	std::vector<std::int64_t> pieceCounts; ///< Number of pieces in each stage of its route.
	std::string pieceKey;           ///< Key of the request's own data, for stages that work on the request itself.
	std::vector<PromptPart> prompt; ///< In order; the last part belongs to this request only.
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	std::optional<ResumedStream> resumed; ///< Set if it continues a stream.
};

/// One attempt to run a request at an endpoint.
struct ForwardAttempt
{
	std::string endpoint; ///< Id of the endpoint instance that may run it; a restarted endpoint has a new id.
	std::string workspace;
	Micros timeLeft = 0;
	std::vector<std::string> inputs; ///< Handles of the stage results that the request needs.
	/// Id of the event after which the run goes on: the last one that the client has, or an earlier one.
	std::optional<std::uint64_t> lastEventId;
	bool beginsAnew = false; ///< The run begins with its first event, whatever the client has.
};

/// Status and headers of an endpoint's response.
struct ForwardHead
{
	unsigned status = 0;
	std::string requestId;       ///< Id of the request that it answers; empty when the header is missing.
	bool notRun = false;         ///< The endpoint did not run the request and never will.
	bool inputGone = false;      ///< The request was not run because a stage result no longer exists.
	bool hasSignature = false;   ///< Carries the endpoint's signature of the response.
	bool contentEncoded = false; ///< The body has a Content-Encoding, so it is not what the endpoint produced.
	std::optional<LoadReport> load;
	std::int64_t rejectionLimit = 0; ///< Requests that the endpoint may reject in a second without crashing; 0 for any.
	HttpHeaders headers;             ///< Headers to send to the client.
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_TYPES_H_HEADER_GUARD
