/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Messages about calls to endpoints that one node makes for another, and their CBOR encoding.

#ifndef ROADFERRY_CALL_MESSAGES_H_HEADER_GUARD
#define ROADFERRY_CALL_MESSAGES_H_HEADER_GUARD

#include "cbor_reader.h"
#include "http_client.h"

#include <functional>
#include <optional>
#include <variant>

namespace roadferry
{

/// Asks a node to call an endpoint.
struct RelayedCallStart
{
	std::uint64_t call = 0;   ///< Chosen by the sender and repeated in all messages about the call.
	std::string subject;      ///< What the call is for, such as the id of a request; for the log.
	std::string endpoint;     ///< Id of the endpoint. The receiver has its address from its own listing.
	std::int64_t timeout = 0; ///< Microseconds until the end of the response.
	bool detectDeadConnection = false;
	std::string method;
	std::string target;
	HttpHeaders headers;
	std::uint64_t bodyBytes = 0; ///< Length of the body, which follows in RelayedCallBody messages.
	bool operator==(const RelayedCallStart&) const = default;
};

/// Next part of a request's body.
struct RelayedCallBody
{
	std::uint64_t call = 0;
	std::string bytes;
	bool operator==(const RelayedCallBody&) const = default;
};

/// Ends a call whose response is not needed any more.
struct RelayedCallCancel
{
	std::uint64_t call = 0;
	bool operator==(const RelayedCallCancel&) const = default;
};

/// The connection to the endpoint is open.
struct RelayedCallConnected
{
	std::uint64_t call = 0;
	bool operator==(const RelayedCallConnected&) const = default;
};

/// Head of the response.
struct RelayedCallHead
{
	std::uint64_t call = 0;
	unsigned status = 0;
	HttpHeaders headers;
	bool operator==(const RelayedCallHead&) const = default;
};

/// Next part of the response's body.
struct RelayedCallData
{
	std::uint64_t call = 0;
	std::uint64_t offset = 0; ///< Of its first byte in the body. A gap shows that a message was lost.
	std::string bytes;
	bool operator==(const RelayedCallData&) const = default;
};

/// End of a call.
struct RelayedCallEnd
{
	std::uint64_t call = 0;
	CallResult result = CallResult::NotSent;
	bool cutOff = false; ///< Nothing was sent since the receiver has lost its path to the endpoint itself.
	std::uint64_t bodyBytes = 0;
	bool connectionLost = false;
	bool endsWithConnection = false;
	std::string error;
	bool operator==(const RelayedCallEnd&) const = default;
};

/// Asks whether a process listens at an endpoint's address, as seen from the receiver.
struct EndpointProbeRequest
{
	std::uint64_t probe = 0; ///< Repeated in the answer.
	std::string endpoint;
	bool operator==(const EndpointProbeRequest&) const = default;
};

struct EndpointProbeAnswer
{
	std::uint64_t probe = 0;
	ProbeResult result = ProbeResult::NoAnswer;
	bool operator==(const EndpointProbeAnswer&) const = default;
};

/// Messages about calls that one node makes for another.
using CallMessage =
	std::variant<RelayedCallStart, RelayedCallBody, RelayedCallCancel, RelayedCallConnected, RelayedCallHead,
				 RelayedCallData, RelayedCallEnd, EndpointProbeRequest, EndpointProbeAnswer>;

/// Sends a message to a node.
using CallMessageSender = std::function<void(const std::string& _to, const CallMessage&)>;

/// @returns Whether a message answers one of another node.
bool isAnswer(const CallMessage& _message);

QCborMap toCbor(const CallMessage& _message);

/// Reads a message. Errors are recorded in the reader.
/// @returns Nothing if the type is not that of a message about calls.
std::optional<CallMessage> readCallMessage(CborReader& _reader, const std::string& _type);

} // namespace roadferry

#endif // ROADFERRY_CALL_MESSAGES_H_HEADER_GUARD
