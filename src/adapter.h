/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Interface between the daemon and the platform that it runs on. Each platform has an adapter in its own folder, which
/// translates between the two and registers itself under a name.

#ifndef ROADFERRY_ADAPTER_H_HEADER_GUARD
#define ROADFERRY_ADAPTER_H_HEADER_GUARD

#include "forward_types.h"
#include "http_client.h"

#include <functional>
#include <memory>

namespace roadferry
{

/// A version of the routes read from the platform.
struct RoutesUpdate
{
	std::shared_ptr<const RoutePlan> plan;
	std::string record; ///< The routes as the platform stores them, for nodes that cannot reach the platform.
};

/// An entry that could not be decoded.
struct UnreadableEntry
{
	std::string name;
	std::string fault;
	std::uint64_t position = 0;
};

using FeedChange = std::variant<RoutesUpdate, ListedEndpoint, UnlistedEndpoint, UnreadableEntry>;

/// Changes read from a feed in one call.
struct FeedPage
{
	std::uint64_t next = 0; ///< Position after the last entry that was read.
	std::string nextPage;   ///< Of a snapshot: where its next page starts, empty if this is the last one.
	std::vector<FeedChange> changes;
	bool isTruncated = false; ///< Changes that were made before the read may be missing.
};

/// Time limits of one read, in microseconds without any data from the platform.
struct FeedReadLimits
{
	Micros lateAfter = 0; ///< Until the read is reported as late.
	Micros timeout = 0;   ///< Until it fails.
	bool operator==(const FeedReadLimits&) const = default;
};

/// Callbacks of one read.
struct FeedReadHandlers
{
	std::function<void()> onLate; ///< The answer is late, and still awaited.
	std::function<void(const absl::StatusOr<FeedPage>&)> onEnd;
};

/// Source of routes and endpoints on the platform. Called on the control thread; results are delivered on that thread
/// too.
class Feed
{
public:
	virtual ~Feed() = default;

	/// Reads a page of the newest entries for every name.
	/// @param[in] _page FeedPage::nextPage of the page before, empty for the first one.
	/// @param[in] _handlers Called with Internal when the pages cannot be used and have to be read from the first one.
	virtual void readSnapshot(FeedTopic _topic, const std::string& _page, const FeedReadLimits& _limits,
							  FeedReadHandlers _handlers) = 0;

	/// Reads the changes from a position on.
	/// @param[in] _position Position that an earlier page returned.
	/// @param[in] _wait Time to wait for new changes in microseconds, 0 to return at once.
	/// @param[in] _limits These include _wait.
	/// @param[in] _handlers Called with OutOfRange when the platform no longer holds these changes.
	virtual void readChanges(FeedTopic _topic, std::uint64_t _position, Micros _wait, const FeedReadLimits& _limits,
							 FeedReadHandlers _handlers) = 0;

	/// Decodes a record received from another node.
	[[nodiscard]] virtual absl::StatusOr<RoutesUpdate> decodeRecord(const std::string& _record) const = 0;
};

/// Entry of a PersistentMap.
struct PersistentEntry
{
	std::string key;
	std::string value;
	bool operator==(const PersistentEntry&) const = default;
};

/// Entries that the system itself keeps on the platform, so that they outlast all nodes. Called on the control thread;
/// results are delivered on that thread too.
class PersistentMap
{
public:
	virtual ~PersistentMap() = default;

	/// Reads the newest value of every key; the entries are in the order in which these were written.
	/// @param[in] _timeout Longest silence of the platform in microseconds; then it ends with DeadlineExceeded.
	virtual void readAll(Micros _timeout, std::function<void(absl::StatusOr<std::vector<PersistentEntry>>)> _done) = 0;

	/// Sets the value of a key. If it fails, the value may have been set, or may be set later.
	/// @param[in] _timeout As for readAll().
	virtual void write(const std::string& _key, const std::string& _value, Micros _timeout,
					   std::function<void(absl::Status)> _done) = 0;
};

/// What the answer to an identity request tells about the process at an endpoint's address.
enum class ProcessIdentity
{
	Same,    ///< The process that has the endpoint's id.
	Other,   ///< Another one.
	Unknown, ///< The process does not tell, and endpoints may start again under their id.
	NoAnswer ///< No process answered.
};

/// Converts requests, responses and batches of pieces to and from the platform's HTTP format.
class WireFormat
{
public:
	virtual ~WireFormat() = default;

	/// @returns Whether a request at the readiness address is the platform's readiness probe.
	[[nodiscard]] virtual bool isReadinessProbe(const HttpRequest& _request) const = 0;

	/// @returns The request, or InvalidArgument with a message that tells the client what to correct.
	[[nodiscard]] virtual absl::StatusOr<ForwardRequest> parseRequest(HttpRequest _request) const = 0;

	/// @returns The HTTP request to send to the endpoint.
	[[nodiscard]] virtual HttpRequest makeEndpointRequest(const ForwardRequest& _request,
														  const ForwardAttempt& _attempt) const = 0;

	[[nodiscard]] virtual ForwardHead parseHead(unsigned _status, const HttpHeaders& _headers) const = 0;

	/// Reads the numeric id of a stream event.
	/// @param[in] _event Text of the event.
	/// @returns The id, or nothing when the event has no numeric id.
	[[nodiscard]] virtual std::optional<std::uint64_t> eventId(std::string_view _event) const = 0;

	/// @returns The HTTP request that computes a batch of pieces at an endpoint.
	[[nodiscard]] virtual HttpRequest makeBatchRequest(const StartBatch& _batch, Micros _now) const = 0;

	/// @param[in] _pieces Number of pieces in the batch.
	/// @returns The results of the pieces, or BatchFailed for a response that cannot be used.
	[[nodiscard]] virtual BatchEnd parseBatchResponse(const CallEnd& _end, std::size_t _pieces) const = 0;

	/// @returns The HTTP request that tells an endpoint to free results.
	[[nodiscard]] virtual HttpRequest makeFreeRequest(const std::vector<std::string>& _handles) const = 0;

	/// @returns The HTTP request that asks the process at an endpoint's address who it is. It runs nothing there.
	[[nodiscard]] virtual HttpRequest makeIdentityRequest(const std::string& _endpoint) const = 0;

	/// @param[in] _end End of a call with makeIdentityRequest().
	/// @param[in] _endpoint Id of the endpoint that was asked.
	[[nodiscard]] virtual ProcessIdentity parseIdentity(const CallEnd& _end, const std::string& _endpoint) const = 0;

	/// @returns Address of the endpoint that stores a result, empty when the handle is malformed.
	[[nodiscard]] virtual std::string resultAddress(const std::string& _handle) const = 0;
};

/// A platform's adapter.
struct Adapter
{
	std::string_view name;
	std::unique_ptr<WireFormat> (*makeWireFormat)();

	/// @param[in] _client Client for calls to the platform.
	/// @param[in] _pool The client's thread pool.
	/// @param[in] _address IP address and port of the service that publishes routes and endpoints.
	std::unique_ptr<Feed> (*makeFeed)(HttpClient& _client, IoPool& _pool, const std::string& _address);

	/// The parameters are those of makeFeed.
	std::unique_ptr<PersistentMap> (*makePersistentMap)(HttpClient& _client, IoPool& _pool,
														const std::string& _address);
};

/// Registers an adapter under its name. Each adapter calls this before main, to initialise a static variable.
/// @returns Whether the name was free.
bool registerAdapter(const Adapter& _adapter);

/// @returns The adapter, or null when none is registered under the name.
const Adapter* findAdapter(std::string_view _name);

/// @returns The names of all registered adapters, sorted.
std::vector<std::string> adapterNames();

} // namespace roadferry

#endif // ROADFERRY_ADAPTER_H_HEADER_GUARD
