/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: which nodes read the platform's topics, and which hear of them from another node.

#ifndef ROADFERRY_PARTS_FEED_RELAY_H_HEADER_GUARD
#define ROADFERRY_PARTS_FEED_RELAY_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace roadferry
{

/// Asks a node that reads the platform's topics for what is new there. It answers as soon as there is something, or
/// after a while that there is nothing; the next question tells it what has arrived.
struct FeedRequest
{
	std::uint64_t version = 0;     ///< Version of the routes that the sender holds, 0 for none.
	std::uint64_t directoryId = 0; ///< Directory whose revision the sender holds, 0 for none.
	std::uint64_t revision = 0;    ///< Of that directory.
	Micros sentAt = 0;             ///< On the sender's clock; comes back with the answer.
	bool operator==(const FeedRequest&) const = default;
};

/// What a node that reads the platform's topics holds beyond what was asked with.
struct FeedResponse
{
	std::string record;            ///< The routes as nodes pass them on; empty when the asker holds them.
	std::uint64_t directoryId = 0; ///< Random number of the sender's directory.
	DirectoryChanges endpoints;
	/// From when the sender began its last reading of both topics until the question came, negative when it read later;
	/// nothing while it cannot read.
	std::optional<Micros> age;
	std::uint64_t version = 0; ///< Of the routes that the sender holds.
	Micros requestSentAt = 0;  ///< When the question was sent, on the asker's clock.
	bool operator==(const FeedResponse&) const = default;
};

/// Times and counts of a FeedRelay.
struct FeedRelayConfig
{
	std::size_t maxNodesAllReading = 9;            ///< Up to so many nodes each one reads for itself.
	std::size_t minReaders = 3;                    ///< One can be cut off and one die, and one is left.
	Micros maxRequestHold = 200 * kMillisecond;    ///< How long a question waits for something new: the keepalive.
	Micros responseTimeout = 800 * kMillisecond;   ///< Without an answer.
	Micros minRequestInterval = 50 * kMillisecond; ///< At least, between two questions.
	Micros staleAfter = 1'500 * kMillisecond;      ///< Changes have to be in force 2 s after the platform has them.
	Micros routesPollWait = kSecond;               ///< How long one reading of the routes waits for a change,
	Micros routesPollWaitForFollowers =
		400 * kMillisecond;                        ///< and at a node that tells others: their news are no newer.
	Micros avoidFor = 5 * kSecond;                 ///< A node whose news were stale is not asked.
	Micros followerTimeout = 2'000 * kMillisecond; ///< A node that does not ask any more gets no news.
	bool operator==(const FeedRelayConfig&) const = default;
};

/// What a FeedRelay wants done.
struct FeedRelayStep
{
	bool readsDirectly = true; ///< Whether this node reads the platform's topics itself.
	std::string requestFrom;   ///< Node to ask for news, empty for none now.
	bool operator==(const FeedRelayStep&) const = default;
};

/// Lets few nodes read the platform's topics for all. Each node that does not read asks one that does; as soon as its
/// news are stale or stop, it reads for itself until another node's are fresh. Nodes that differ on who reads cost some
/// calls to the platform, nothing else.
class FeedRelay
{
public:
	FeedRelay(std::string _self, FeedRelayConfig _config);

	/// @param[in] _members Live nodes, this one among them.
	void setMembers(const std::vector<std::string>& _members);

	/// News have come.
	/// @param[in] _asOf Time point of which they tell all, nothing when their sender cannot read the topics.
	void onResponse(const std::string& _from, const std::optional<Micros>& _asOf);

	/// @param[in] _cannotRead Whether this node cannot read the topics: then it asks, too, if it reads by its turn.
	FeedRelayStep tick(Micros _now, bool _cannotRead);

	/// @returns Node to ask now, empty while an answer is due.
	std::string startDueRequest(Micros _now);

	/// @returns Whether the node that this one hears from said last that it cannot read the topics.
	[[nodiscard]] bool sourceUnavailable() const;

	/// @returns The node that this one hears from, empty while it reads by its own turn.
	[[nodiscard]] const std::string& source() const;

private:
	void chooseSource(Micros _now);

	std::string self;
	FeedRelayConfig config;
	std::vector<std::string> readers;         ///< Nodes that read by turn.
	std::map<std::string, Micros> avoidUntil; ///< Nodes whose news were stale.
	std::string currentSource;
	Micros sourceChosenAt = 0;  ///< When the source was chosen.
	std::optional<Micros> asOf; ///< Time point up to which all is known from other nodes.
	std::optional<Micros> requestedAt;
	bool answered = false;     ///< The last question.
	bool sourceCanRead = true; ///< The source's last answer said of what time its knowledge is.
};

/// @returns The nodes that read the platform's topics for all: the same on all nodes that see the same members.
std::vector<std::string> selectFeedReaders(const std::vector<std::string>& _members, const FeedRelayConfig& _config);

} // namespace roadferry

#endif // ROADFERRY_PARTS_FEED_RELAY_H_HEADER_GUARD
