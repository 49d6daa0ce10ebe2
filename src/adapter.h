/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What the daemon needs of the platform that it runs on. Each platform has an adapter in a folder of its own, which
/// only translates and registers itself under a name.

#ifndef ROADFERRY_ADAPTER_H_HEADER_GUARD
#define ROADFERRY_ADAPTER_H_HEADER_GUARD

#include "forward_types.h"
#include "http_client.h"

#include <functional>
#include <memory>

namespace roadferry
{

/// A new version of the routes.
struct RoutesUpdate
{
	std::shared_ptr<const RoutePlan> plan;
	std::string record; ///< As the platform keeps it, for nodes that cannot reach the platform.
};

/// An entry that could not be read.
struct UnreadableEntry
{
	std::string name;
	std::string fault;
	std::uint64_t position = 0;
};

using FeedChange = std::variant<RoutesUpdate, ListedEndpoint, UnlistedEndpoint, UnreadableEntry>;

/// Part of a feed.
struct FeedPage
{
	std::uint64_t next = 0; ///< Position behind what was read.
	std::vector<FeedChange> changes;
};

using FeedCallback = std::function<void(absl::StatusOr<FeedPage>)>;

/// What the platform tells of routes and endpoints. Called on the control thread, which the answers come back to.
class Feed
{
public:
	virtual ~Feed() = default;

	/// Reads the newest entry of every name.
	virtual void readSnapshot(FeedTopic _topic, FeedCallback _done) = 0;

	/// Reads what came after a position.
	/// @param[in] _position Position that an earlier page gave.
	/// @param[in] _wait How long to wait for something new, 0 for not at all.
	/// @param[in] _limit How much later than that the answer may come.
	/// @param[in] _done Called with OutOfRange when the platform does not hold these changes any more.
	virtual void readChanges(FeedTopic _topic, std::uint64_t _position, Micros _wait, Micros _limit,
							 FeedCallback _done) = 0;

	/// Reads a record that another node has passed on.
	[[nodiscard]] virtual absl::StatusOr<RoutesUpdate> decodeRecord(const std::string& _record) const = 0;
};

/// The platform's forms of requests, answers and pieces.
class WireFormat
{
public:
	virtual ~WireFormat() = default;

	/// @returns Whether a request at the readiness address asks if this node takes requests.
	[[nodiscard]] virtual bool isReadinessProbe(const HttpRequest& _request) const = 0;

	/// @returns The request, or InvalidArgument that says what a client has to mend.
	[[nodiscard]] virtual absl::StatusOr<ForwardRequest> parseRequest(HttpRequest _request) const = 0;

	/// @returns What to send to the endpoint.
	[[nodiscard]] virtual HttpRequest makeEndpointRequest(const ForwardRequest& _request,
														  const ForwardAttempt& _attempt) const = 0;

	[[nodiscard]] virtual ForwardHead parseHead(unsigned _status, const HttpHeaders& _headers) const = 0;

	/// Number of an event of a stream, from its text without the empty line at its end.
	/// @returns Nothing when the event has none.
	[[nodiscard]] virtual std::optional<std::uint64_t> eventId(std::string_view _event) const = 0;

	/// @returns The call that makes pieces at an endpoint.
	[[nodiscard]] virtual HttpRequest makeBatchRequest(const StartBatch& _batch, Micros _now) const = 0;

	/// @returns What became of the pieces; BatchCut for an answer that cannot be used.
	[[nodiscard]] virtual BatchEnd parseBatchResponse(const CallEnd& _end, std::size_t _pieces) const = 0;

	/// @returns The call that lets an endpoint drop results.
	[[nodiscard]] virtual HttpRequest makeFreeRequest(const std::vector<std::string>& _handles) const = 0;

	/// @returns Address of the endpoint that keeps a result, empty when the handle is malformed.
	[[nodiscard]] virtual std::string resultAddress(const std::string& _handle) const = 0;
};

/// A platform's adapter.
struct Adapter
{
	std::string_view name;
	std::unique_ptr<WireFormat> (*makeWireFormat)();

	/// @param[in] _client Client for calls to the platform.
	/// @param[in] _thread Thread of the client's pool.
	/// @param[in] _address IP number and port of what tells of routes and endpoints.
	std::unique_ptr<Feed> (*makeFeed)(HttpClient& _client, IoPool& _pool, const std::string& _address);
};

/// Adds an adapter under its name; called by the adapters' own files before main.
/// @returns True, so that it can initialise a static.
bool registerAdapter(const Adapter& _adapter);

/// @returns The adapter, or null when no such name was registered.
const Adapter* findAdapter(std::string_view _name);

/// @returns The names of all registered adapters, sorted.
std::vector<std::string> adapterNames();

} // namespace roadferry

#endif // ROADFERRY_ADAPTER_H_HEADER_GUARD
