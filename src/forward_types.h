/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests that are forwarded byte for byte, in the product's own terms. An adapter decodes them from the wire.

#ifndef ROADFERRY_FORWARD_TYPES_H_HEADER_GUARD
#define ROADFERRY_FORWARD_TYPES_H_HEADER_GUARD

#include "http_types.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

/// A part of a prompt that other requests may share.
struct PromptPart
{
	std::uint64_t id = 0;
	std::int64_t tokens = 0;
	bool operator==(const PromptPart&) const = default;
};

/// A client's request.
struct ForwardRequest
{
	std::string id; ///< Chosen by the client, one for each time that it asks.
	std::string method;
	std::string target; ///< Path with query, as sent.
	std::string host;
	HttpHeaders headers; ///< What goes on to the endpoint unchanged; neither credentials nor what this system sets.
	std::string body;
	std::string credential;                ///< Empty when none was sent.
	std::optional<Micros> clientTimeout;   ///< How long the client waits for the answer.
	std::vector<std::int64_t> pieceCounts; ///< Pieces of each stage of its route.
	std::string pieceKey;
	std::vector<PromptPart> prompt; ///< In order; the last one is the request's own.
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
};

/// One attempt of a request at an endpoint.
struct ForwardAttempt
{
	std::string endpoint; ///< Id of the one start of the endpoint that may run it.
	std::string workspace;
	Micros timeLeft = 0;
	std::vector<std::string> inputs;          ///< Results of the stages.
	std::optional<std::uint64_t> lastEventId; ///< Number of the stream's last event that the client has.
};

/// What the head of an endpoint's response says.
struct ForwardHead
{
	unsigned status = 0;
	std::string requestId;       ///< Which request it answers; empty when it does not say.
	bool notRun = false;         ///< The endpoint did not run the request, and never will.
	bool inputGone = false;      ///< It did not, since a result of a stage is gone.
	bool hasSignature = false;   ///< Carries the endpoint's mark under its answer.
	bool contentEncoded = false; ///< The body is not what the endpoint made.
	std::optional<LoadReport> load;
	HttpHeaders headers; ///< What goes back to the client.
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_TYPES_H_HEADER_GUARD
