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
struct HeldRoutes
{
	std::uint64_t version = 0; ///< 0 for none.
	std::string record;        ///< As nodes pass them on.
	bool operator==(const HeldRoutes&) const = default;
};

/// How current a node's knowledge of the platform's topics is.
struct FeedKnowledge
{
	Micros routesAt = 0;  ///< Every change of the routes that was made before this time is known; 0 for never.
	Micros listingAt = 0; ///< The same of the endpoints.
	Micros checkedAt = 0; ///< When this was found.
	std::string source;   ///< Node that told, empty when they are read here.
	bool away = false;    ///< The platform does not answer here, or at the node that told.
	bool operator==(const FeedKnowledge&) const = default;
};

/// Whether a request may be handled by what a node knows: a lease, which each reading and all news renew. While the
/// platform does not answer, it does not run out, as long as the node goes on to look for what is new.
/// @param[in] _lease How old routes and endpoints may be.
bool mayHandle(const FeedKnowledge& _knowledge, Micros _now, Micros _lease);

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
struct SendFeedAsk
{
	std::string to;
	FeedAsk message;
	bool operator==(const SendFeedAsk&) const = default;
};

/// Send an answer to another node.
struct SendFeedNews
{
	std::string to;
	FeedNews message;
	bool operator==(const SendFeedNews&) const = default;
};

/// Decode routes that another node has passed on, and hand them to FeedExchange::holdRoutes.
struct DecodeRoutes
{
	std::string record;
	std::string from;
	bool operator==(const DecodeRoutes&) const = default;
};

/// The news have been taken: call FeedExchange::ask.
struct AskNext
{
	bool operator==(const AskNext&) const = default;
};

/// The endpoints have changed.
struct EndpointsChanged
{
	bool operator==(const EndpointsChanged&) const = default;
};

using FeedAction =
	std::variant<StartReading, StopReading, SendFeedAsk, SendFeedNews, DecodeRoutes, AskNext, EndpointsChanged>;
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
	/// @param[in] _id Random number that tells this process's revisions from those of others.
	FeedExchange(std::string _self, FeedRelayConfig _relay, DirectoryConfig _directory, std::uint64_t _id);

	/// @param[in] _members Live nodes, this one among them.
	void setMembers(const std::vector<std::string>& _members);

	FeedActions tick(Micros _now);
	FeedActions onAsk(const std::string& _from, const FeedAsk& _ask, Micros _now);
	FeedActions onNews(const std::string& _from, const FeedNews& _news, Micros _now);

	/// Asks for what comes after what is held here, if a question is due.
	FeedActions ask(Micros _now);

	/// Newer routes are in force here.
	FeedActions holdRoutes(HeldRoutes _routes);

	/// A reading of the routes went well; holdRoutes was called with what it gave.
	/// @param[in] _knownAt All changes before this time are known with it.
	void routesRead(Micros _knownAt);

	/// A reading of the endpoints went well.
	FeedActions endpointsRead(const ListingRead& _read, Micros _now);

	/// A reading went wrong.
	void readingFailed(FeedTopic _topic);

	/// Another node has told what it knows while the platform is away.
	/// @param[in] _endpoints Taken only while none are known here.
	/// @param[in] _leaving Endpoints that it has seen leaving.
	FeedActions learn(const std::vector<ListedEndpoint>& _endpoints, const std::vector<std::string>& _leaving,
					  Micros _now);

	/// @returns How long one reading of the routes should wait for a change: no longer than may pass before a
	/// connection that went silent is noticed, or before the nodes that ask this one want to know.
	[[nodiscard]] Micros routesWait() const;

	/// @returns Whether routes and endpoints are known.
	[[nodiscard]] bool ready() const;

	/// @returns Whether a topic cannot be read, or is not known yet.
	[[nodiscard]] bool away() const;

	[[nodiscard]] const EndpointDirectory& endpoints() const;
	[[nodiscard]] const HeldRoutes& routes() const;

	/// @returns The node that this one asks, empty for none.
	[[nodiscard]] const std::string& source() const;

	/// @returns How current the knowledge of both topics is.
	[[nodiscard]] FeedKnowledge knowledge(Micros _now) const;

private:
	/// A node that has asked this one.
	struct Follower
	{
		FeedAsk asked;
		Micros cameAt = 0;    ///< The question.
		bool waiting = false; ///< For an answer.
	};

	[[nodiscard]] bool reads() const;
	[[nodiscard]] bool hasNewsFor(const Follower& _follower) const;
	[[nodiscard]] FeedNews newsFor(const Follower& _follower) const;
	void answer(const std::string& _to, Follower& _follower, FeedActions& _actions) const;
	void tellFollowers(FeedActions& _actions);
	void answerHeld(Micros _now, FeedActions& _actions);
	void sendAsk(const std::string& _to, Micros _now, FeedActions& _actions) const;
	void takeEndpoints(const FeedNews& _news, Micros _knownAt, Micros _now, FeedActions& _actions);
	void endpointsChanged(FeedActions& _actions);

	FeedRelayConfig config;
	FeedRelay relay;
	EndpointDirectory directory;
	HeldRoutes held;
	std::uint64_t id;
	bool reading = false;
	bool listingKnown = false;
	bool routesLost = false;
	bool listingLost = false;
	Micros routesReadAt = 0;
	Micros routesKnownAt = 0;                  ///< By own readings and by news.
	std::map<std::string, Follower> followers; ///< By address.
	std::uint64_t sourceId = 0;                ///< Directory that was followed last,
	std::uint64_t sourceRevision = 0;          ///< and how far.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_FEED_EXCHANGE_H_HEADER_GUARD
