/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Messages between nodes, and their CBOR form.

#ifndef ROADFERRY_PEER_MESSAGES_H_HEADER_GUARD
#define ROADFERRY_PEER_MESSAGES_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// What a relayed call is to do.
enum class RelayKind
{
	Submit,
	Look,
	Cancel
};

/// A caller's call, passed on to the incarnation that issued its ticket.
struct RelayRequest
{
	std::uint64_t relay = 0; ///< Chosen by the sender; echoed in answers.
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
	std::uint64_t relay = 0;
	std::int64_t position = 0;
	std::string text;
	bool operator==(const RelayToken&) const = default;
};

/// End of a relayed call.
struct RelayResult
{
	std::uint64_t relay = 0;
	std::int64_t status = 0;
	Micros retryAfter = 0;
	std::string json;
	bool operator==(const RelayResult&) const = default;
};

/// Asks for the table, when the log cannot be read.
struct TableAsk
{
	std::uint64_t offset = 0; ///< What the sender holds already.
	bool operator==(const TableAsk&) const = default;
};

/// The table of a node that holds more than was asked with.
struct TableGive
{
	std::string snapshot; ///< JSON form of a TableSnapshot.
	bool operator==(const TableGive&) const = default;
};

/// Endpoints that are known to be leaving.
struct LeavingWord
{
	std::vector<std::string> endpoints;
	bool operator==(const LeavingWord&) const = default;
};

/// Asks for what another node knows of routes and endpoints, while the platform is away.
struct RoutesAsk
{
	std::uint64_t version = 0; ///< Version of the routes that the sender holds, 0 for none.
	bool endpoints = false;    ///< Whether the sender knows no endpoints yet.
	bool operator==(const RoutesAsk&) const = default;
};

/// What a node knows beyond what was asked with.
struct RoutesGive
{
	std::string record; ///< The routes as the platform keeps them; empty when the asker holds them.
	std::vector<ListedEndpoint> endpoints;
	std::vector<std::string> leaving; ///< Endpoints that were seen leaving.
	bool operator==(const RoutesGive&) const = default;
};

using PeerMessage = std::variant<RelayRequest, RelayToken, RelayResult, TableAsk, TableGive, LeavingWord,
								 ShutdownReport, Gossip, DemandReport, ShareGrant, RoutesAsk, RoutesGive, FeedRequest,
								 FeedResponse, PieceSubmit, PieceUpdate, PieceCancel, PieceFree>;

/// @returns The message as CBOR.
std::string encode(const PeerMessage& _message);

/// @returns The message, or InvalidArgument that names the field at fault.
absl::StatusOr<PeerMessage> decode(const std::string& _bytes);

} // namespace roadferry

#endif // ROADFERRY_PEER_MESSAGES_H_HEADER_GUARD
