/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Messages between nodes and their CBOR encoding.

#ifndef ROADFERRY_PEER_MESSAGES_H_HEADER_GUARD
#define ROADFERRY_PEER_MESSAGES_H_HEADER_GUARD

#include "call_messages.h"
#include "stream_ends.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

/// Operation of a relayed call.
enum class RelayKind
{
	Submit,
	Query,
	Cancel
};

/// Request of a caller, relayed to the incarnation that issued its ticket.
struct RelayRequest
{
	std::uint64_t relayId = 0; ///< Chosen by the sender and repeated in the replies.
	RelayKind kind = RelayKind::Submit;
	std::string ticket;
	std::string workspace;
	std::string pipeline;
	std::string body;
	std::string trace; ///< W3C traceparent.
	bool operator==(const RelayRequest&) const = default;
};

/// One token of a relayed request.
struct RelayToken
{
	std::uint64_t relayId = 0;
	std::int64_t position = 0;
	std::string text;
	bool operator==(const RelayToken&) const = default;
};

/// Result of a relayed call.
struct RelayResult
{
	std::uint64_t relayId = 0;
	std::int64_t status = 0;
	Micros retryAfter = 0;
	std::string json;
	bool operator==(const RelayResult&) const = default;
};

/// Requests the table from another node when the log cannot be read.
struct TableRequest
{
	std::uint64_t offset = 0; ///< Log offset up to which the sender has the table.
	bool operator==(const TableRequest&) const = default;
};

/// Table of a node whose log offset is at least the requested one.
struct TableResponse
{
	std::string snapshot; ///< TableSnapshot as JSON.
	bool operator==(const TableResponse&) const = default;
};

/// Reports endpoints that are leaving.
struct LeavingNotice
{
	std::vector<std::string> endpoints;
	bool operator==(const LeavingNotice&) const = default;
};

/// Requests the routes and endpoints of another node while the platform is unavailable.
struct RoutesRequest
{
	std::uint64_t version = 0;   ///< Version of the sender's routes, 0 for none.
	bool needsEndpoints = false; ///< Whether the sender has no endpoint list yet.
	bool operator==(const RoutesRequest&) const = default;
};

/// Routes and endpoints of a node, as far as the requesting node lacks them.
struct RoutesResponse
{
	std::string record; ///< Result of packRecord; empty if the requesting node has this version.
	std::vector<ListedEndpoint> endpoints;
	std::vector<std::string> leaving; ///< Ids of endpoints known to be leaving.
	bool operator==(const RoutesResponse&) const = default;
};

/// Reports crashes of endpoints.
struct CrashReport
{
	std::vector<EndpointCrash> crashes; ///< With the age of each crash in place of its time point.
	std::vector<std::string> forwardTo; ///< Nodes to which the receiver forwards the report.
	bool operator==(const CrashReport&) const = default;
};

/// Requests the crashes that another node knows.
struct CrashReportRequest
{
	bool operator==(const CrashReportRequest&) const = default;
};

/// Reports that the endpoints of a pool crash if one rejects more than some requests in a second.
struct RejectionLimitNotice
{
	std::string pool;
	std::int64_t perSecond = 0;
	std::vector<std::string> forwardTo; ///< Nodes to which the receiver forwards the notice.
	bool operator==(const RejectionLimitNotice&) const = default;
};

using PeerMessage =
	std::variant<RelayRequest, RelayToken, RelayResult, TableRequest, TableResponse, LeavingNotice, ShutdownReport,
				 Gossip, DemandReport, ShareGrant, RoutesRequest, RoutesResponse, FeedRequest, FeedResponse,
				 PieceSubmit, PieceUpdate, PieceCancel, PieceFree, CrashReport, CrashReportRequest, OriginRecords,
				 OriginQuery, OriginAnswer, PartQuery, PartAnswer, PartVerdicts, RejectionLimitNotice, StreamEndQuery,
				 StreamEndNotice, PoolEndsNotice, CallMessage>;

/// @returns Whether a message has a number that the receiver has chosen, so that it means nothing to another process.
bool isAnswer(const PeerMessage& _message);

/// @returns The message encoded as CBOR.
std::string encode(const PeerMessage& _message);

/// @returns The message, or InvalidArgument that names the invalid field.
absl::StatusOr<PeerMessage> decode(const std::string& _bytes);

} // namespace roadferry

#endif // ROADFERRY_PEER_MESSAGES_H_HEADER_GUARD
