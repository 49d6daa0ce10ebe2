/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: one node's copy of the platform's topics, from its own reads and from other nodes.

#ifndef ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD
#define ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD

#include <roadferry/parts/feed_relay.h>

#include <variant>

namespace roadferry
{

/// A version of the routes in the encoding between nodes.
struct EncodedRoutes
{
	std::uint64_t version = 0; ///< 0 for none.
	std::string record;        ///< Result of packRecord.
	bool operator==(const EncodedRoutes&) const = default;
};

/// How current a node's copy of the platform's topics is.
struct FeedFreshness
{
	Micros routesAsOf = 0;    ///< All changes of the routes before this time are included; 0 for never.
	Micros listingAsOf = 0;   ///< All changes of the endpoints before this time are included; 0 for never.
	Micros checkedAt = 0;     ///< When this state was taken.
	std::string source;       ///< Node that the changes come from, empty if this node reads them.
	bool unavailable = false; ///< Whether this node, or its source, cannot read the topics.
	bool operator==(const FeedFreshness&) const = default;
};

/// Checks the lease under which a node handles requests. Each read and each response of the source renews it. While the
/// platform is unavailable, it does not expire as long as the node keeps checking for changes.
/// @param[in] _lease Maximum age of routes and endpoints.
/// @returns Whether requests may be handled.
bool isFeedLeaseValid(const FeedFreshness& _freshness, Micros _now, Micros _lease);

/// Start reading both topics.
struct StartReading
{
	bool operator==(const StartReading&) const = default;
};

/// Stop reading both topics.
struct StopReading
{
	bool operator==(const StopReading&) const = default;
};

/// Send a request to another node.
struct SendFeedRequest
{
	std::string to;
	FeedRequest message;
	bool operator==(const SendFeedRequest&) const = default;
};

/// Send a response to another node.
struct SendFeedResponse
{
	std::string to;
	FeedResponse message;
	bool operator==(const SendFeedResponse&) const = default;
};

/// Decode routes that another node has sent, and pass them to FeedExchange::setRoutes.
struct DecodeRoutes
{
	std::string record;
	std::string from;
	bool operator==(const DecodeRoutes&) const = default;
};

/// A response has been processed: call FeedExchange::requestNext.
struct RequestNext
{
	bool operator==(const RequestNext&) const = default;
};

/// The endpoints have changed.
struct EndpointsChanged
{
	bool operator==(const EndpointsChanged&) const = default;
};

using FeedAction = std::variant<StartReading, StopReading, SendFeedRequest, SendFeedResponse, DecodeRoutes, RequestNext,
								EndpointsChanged>;
using FeedActions = std::vector<FeedAction>;

/// The platform's topics.
enum class FeedTopic
{
	Routes,
	Endpoints
};

/// Holds a node's copy of the platform's topics. Decides when the node reads them itself, which node it requests
/// changes from otherwise, and what it sends to its followers. No I/O, no clock.
class FeedExchange
{
public:
	/// @param[in] _directoryId Random number that distinguishes the revisions of this process from those of others.
	FeedExchange(std::string _self, FeedRelayConfig _relay, DirectoryConfig _directory, std::uint64_t _directoryId);

	/// @param[in] _members Live nodes, this one among them.
	void setMembers(const std::vector<std::string>& _members);

	FeedActions tick(Micros _now);
	FeedActions onFeedRequest(const std::string& _from, const FeedRequest& _request, Micros _now);
	FeedActions onFeedResponse(const std::string& _from, const FeedResponse& _response, Micros _now);

	/// Requests the changes after those that are held, if a request is due.
	FeedActions requestNext(Micros _now);

	/// Sets the routes that are in force at this node.
	FeedActions setRoutes(EncodedRoutes _routes);

	/// Records a successful read of the routes, whose result was already passed to setRoutes.
	/// @param[in] _asOf All changes before this time are included.
	void onRoutesRead(Micros _asOf);

	/// Applies a successful read of the endpoints.
	FeedActions onEndpointsRead(const ListingRead& _read, Micros _now);

	/// Adds endpoints of a listing that is still being read, unless a whole one is known.
	FeedActions addPartOfListing(const std::vector<ListedEndpoint>& _endpoints, Micros _now);

	/// Records that a topic cannot be read, or not in time.
	void onReadFailed(FeedTopic _topic);

	/// Merges the endpoints of another node while the platform is unavailable.
	/// @param[in] _endpoints Used only while no endpoints are known.
	/// @param[in] _leaving Ids of endpoints that the other node has seen leaving.
	FeedActions mergePeerEndpoints(const std::vector<ListedEndpoint>& _endpoints,
								   const std::vector<std::string>& _leaving, Micros _now);

	/// @returns How long a read of the routes should wait for a change. The wait bounds how late a silent connection is
	/// noticed, and how old the data is that followers get.
	[[nodiscard]] Micros routesPollWait() const;

	/// @returns Whether routes and endpoints are known.
	[[nodiscard]] bool ready() const;

	/// @returns Whether a topic cannot be read, or has not been received yet.
	[[nodiscard]] bool unavailable() const;

	[[nodiscard]] const EndpointDirectory& endpoints() const;

	/// @returns See EndpointDirectory::takeProofs().
	[[nodiscard]] std::vector<ProcessProof> takeProofs();
	[[nodiscard]] const EncodedRoutes& routes() const;

	/// @returns The node that this one sends requests to, empty for none.
	[[nodiscard]] const std::string& source() const;

	/// @returns How current both topics are.
	[[nodiscard]] FeedFreshness freshness(Micros _now) const;

private:
	/// A node that requests changes from this one.
	struct Follower
	{
		FeedRequest request;   ///< The last one.
		Micros receivedAt = 0; ///< When the request arrived.
		bool waiting = false;  ///< Whether the request is still unanswered.
	};

	[[nodiscard]] bool readsPlatform() const;
	[[nodiscard]] bool hasChangesFor(const Follower& _follower) const;
	[[nodiscard]] FeedResponse responseFor(const Follower& _follower) const;
	void sendResponse(const std::string& _to, Follower& _follower, FeedActions& _actions) const;
	void notifyFollowers(FeedActions& _actions);
	void answerOverdueRequests(Micros _now, FeedActions& _actions);
	void sendRequest(const std::string& _to, Micros _now, FeedActions& _actions) const;
	void mergeEndpoints(const FeedResponse& _response, Micros _asOf, Micros _now, FeedActions& _actions);
	void addEndpointsChanged(FeedActions& _actions);

	FeedRelayConfig config;
	FeedRelay relay;
	EndpointDirectory directory;
	EncodedRoutes currentRoutes;
	std::uint64_t directoryId;
	bool reading = false;
	bool listingKnown = false;
	bool routesReadFailed = false;
	bool listingReadFailed = false;
	Micros ownRoutesAsOf = 0;
	Micros latestRoutesAsOf = 0;               ///< By own reads and by responses.
	std::map<std::string, Follower> followers; ///< Keyed by address.
	std::uint64_t sourceId = 0;                ///< Directory id of the last merged response.
	std::uint64_t sourceRevision = 0;          ///< Directory revision of the last merged response.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD
