/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: what one node knows of the platform's topics, by its own readings and from other nodes.

#ifndef ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD
#define ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD

#include <roadferry/parts/feed_relay.h>

#include <variant>

namespace roadferry
{

/// The newest routes that a node holds.
struct EncodedRoutes
{
	std::uint64_t version = 0; ///< 0 for none.
	std::string record;        ///< As nodes pass them on.
	bool operator==(const EncodedRoutes&) const = default;
};

/// How current a node's knowledge of the platform's topics is.
struct FeedFreshness
{
	Micros routesAsOf = 0;    ///< Every change of the routes that was made before this time is known; 0 for never.
	Micros listingAsOf = 0;   ///< The same of the endpoints.
	Micros checkedAt = 0;     ///< When this was found.
	std::string source;       ///< Node that told, empty when they are read here.
	bool unavailable = false; ///< The platform does not answer here, or at the node that told.
	bool operator==(const FeedFreshness&) const = default;
};

/// Whether a request may be handled by what a node knows: a lease, which each reading and all news renew. While the
/// platform does not answer, it does not run out, as long as the node goes on to look for what is new.
/// @param[in] _lease How old routes and endpoints may be.
bool isFeedLeaseValid(const FeedFreshness& _freshness, Micros _now, Micros _lease);

/// Begin to read both topics.
struct StartReading
{
	bool operator==(const StartReading&) const = default;
};

/// Read no more.
struct StopReading
{
	bool operator==(const StopReading&) const = default;
};

/// Send a question to another node.
struct SendFeedRequest
{
	std::string to;
	FeedRequest message;
	bool operator==(const SendFeedRequest&) const = default;
};

/// Send an answer to another node.
struct SendFeedResponse
{
	std::string to;
	FeedResponse message;
	bool operator==(const SendFeedResponse&) const = default;
};

/// Decode routes that another node has passed on, and hand them to FeedExchange::setRoutes.
struct DecodeRoutes
{
	std::string record;
	std::string from;
	bool operator==(const DecodeRoutes&) const = default;
};

/// The news have been taken: call FeedExchange::requestNext.
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

/// Which of the platform's topics.
enum class FeedTopic
{
	Routes,
	Endpoints
};

/// Decides when a node reads the platform's topics itself, whom it asks otherwise, what it tells nodes that ask it,
/// and keeps what it knows. No I/O, no clock.
class FeedExchange
{
public:
	/// @param[in] _directoryId Random number that tells this process's revisions from those of others.
	FeedExchange(std::string _self, FeedRelayConfig _relay, DirectoryConfig _directory, std::uint64_t _directoryId);

	/// @param[in] _members Live nodes, this one among them.
	void setMembers(const std::vector<std::string>& _members);

	FeedActions tick(Micros _now);
	FeedActions onFeedRequest(const std::string& _from, const FeedRequest& _request, Micros _now);
	FeedActions onFeedResponse(const std::string& _from, const FeedResponse& _response, Micros _now);

	/// Asks for what comes after what is held here, if a question is due.
	FeedActions requestNext(Micros _now);

	/// Newer routes are in force here.
	FeedActions setRoutes(EncodedRoutes _routes);

	/// A reading of the routes went well; setRoutes was called with what it gave.
	/// @param[in] _asOf All changes before this time are known with it.
	void onRoutesRead(Micros _asOf);

	/// A reading of the endpoints went well.
	FeedActions onEndpointsRead(const ListingRead& _read, Micros _now);

	/// A reading went wrong.
	void onReadFailed(FeedTopic _topic);

	/// Another node has told what it knows while the platform is away.
	/// @param[in] _endpoints Taken only while none are known here.
	/// @param[in] _leaving Endpoints that it has seen leaving.
	FeedActions mergePeerEndpoints(const std::vector<ListedEndpoint>& _endpoints,
								   const std::vector<std::string>& _leaving, Micros _now);

	/// @returns How long one reading of the routes should wait for a change: no longer than may pass before a
	/// connection that went silent is noticed, or before the nodes that ask this one want to know.
	[[nodiscard]] Micros routesPollWait() const;

	/// @returns Whether routes and endpoints are known.
	[[nodiscard]] bool ready() const;

	/// @returns Whether a topic cannot be read, or is not known yet.
	[[nodiscard]] bool unavailable() const;

	[[nodiscard]] const EndpointDirectory& endpoints() const;
	[[nodiscard]] const EncodedRoutes& routes() const;

	/// @returns The node that this one asks, empty for none.
	[[nodiscard]] const std::string& source() const;

	/// @returns How current the knowledge of both topics is.
	[[nodiscard]] FeedFreshness freshness(Micros _now) const;

private:
	/// A node that has asked this one.
	struct Follower
	{
		FeedRequest request;
		Micros receivedAt = 0; ///< The question.
		bool waiting = false;  ///< For an answer.
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
	Micros latestRoutesAsOf = 0;               ///< By own readings and by news.
	std::map<std::string, Follower> followers; ///< By address.
	std::uint64_t sourceId = 0;                ///< Directory that was followed last,
	std::uint64_t sourceRevision = 0;          ///< and how far.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD
