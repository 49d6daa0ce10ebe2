/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: which nodes read the platform's topics, and which receive them from another node.

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

/// Requests changes from a node that reads the platform's topics. The node responds as soon as there is a change, and
/// after FeedRelayConfig::maxRequestHold at the latest. The next request acknowledges what has arrived.
struct FeedRequest
{
	std::uint64_t version = 0;     ///< Version of the routes that the sender holds, 0 for none.
	std::uint64_t directoryId = 0; ///< FeedResponse::directoryId that the revision belongs to, 0 for none.
	std::uint64_t revision = 0;    ///< Revision of that directory that the sender holds.
	Micros sentAt = 0;             ///< On the sender's clock; returned as FeedResponse::requestSentAt.
	bool operator==(const FeedRequest&) const = default;
};

/// Changes that the sender holds and the requesting node lacks.
struct FeedResponse
{
	std::string record;            ///< Routes in the encoding between nodes; empty if the requesting node holds them.
	std::uint64_t directoryId = 0; ///< Random number that identifies the sender's directory.
	DirectoryChanges endpoints;
	/// Age of the sender's last own reads of both topics, the older one, when the request arrived. Negative if it read
	/// later than that; not set while it does not read both topics itself.
	std::optional<Micros> age;
	std::uint64_t version = 0; ///< Version of the routes that the sender holds.
	Micros requestSentAt = 0;  ///< When the request was sent, on the requesting node's clock.
	bool operator==(const FeedResponse&) const = default;
};

/// Time limits and counts of a FeedRelay.
struct FeedRelayConfig
{
	std::size_t maxNodesAllReading = 9;            ///< With at most this many nodes, all read directly.
	std::size_t minReaders = 3;                    ///< One is left when one is cut off and another fails.
	Micros maxRequestHold = 200 * kMillisecond;    ///< Longest wait of a request for a change; the keepalive period.
	Micros responseTimeout = 800 * kMillisecond;   ///< Until a request is repeated.
	Micros minRequestInterval = 50 * kMillisecond; ///< Shortest time between two requests.
	/// Age from which a source's data is stale: changes have to be in force within 2 s after the platform has them.
	Micros staleAfter = 1'500 * kMillisecond;
	Micros routesPollWait = kSecond; ///< Longest wait of a read of the routes for a change.
	/// The same at a node with followers, whose data is no newer than the last completed read of this node.
	Micros routesPollWaitForFollowers = 400 * kMillisecond;
	Micros avoidFor = 5 * kSecond;                 ///< How long a source with stale data is not chosen again.
	Micros followerTimeout = 2'000 * kMillisecond; ///< Until a node that sends no more requests is forgotten.
	bool operator==(const FeedRelayConfig&) const = default;
};

/// What the node has to do after a tick of the FeedRelay.
struct FeedRelayStep
{
	bool readsDirectly = true; ///< Whether this node reads the platform's topics itself.
	std::string requestFrom;   ///< Node to send a request to, empty for none.
	bool operator==(const FeedRelayStep&) const = default;
};

/// Lets a few nodes, the readers, read the platform's topics for all. Each other node requests changes from one reader,
/// its source. If the source's data is stale or the source stops responding, the node reads the topics itself until
/// another node's data is fresh. If nodes disagree on who the readers are, this costs some calls to the platform,
/// nothing else.
class FeedRelay
{
public:
	FeedRelay(std::string _self, FeedRelayConfig _config);

	/// @param[in] _members Live nodes, this one among them.
	void setMembers(const std::vector<std::string>& _members);

	/// Records a response to a request.
	/// @param[in] _asOf Time point up to which it includes all changes, not set if its sender cannot read the topics.
	void onResponse(const std::string& _from, const std::optional<Micros>& _asOf);

	/// @param[in] _cannotRead Whether this node cannot read the topics: then it sends requests even if it is a reader.
	FeedRelayStep tick(Micros _now, bool _cannotRead);

	/// Marks a request as sent if one is due.
	/// @returns Node to send it to, empty if none is due.
	std::string startDueRequest(Micros _now);

	/// @returns Whether the source has last responded that it cannot read the topics.
	[[nodiscard]] bool sourceUnavailable() const;

	/// @returns The node that this one sends requests to, empty while it is a reader that can read.
	[[nodiscard]] const std::string& source() const;

private:
	void chooseSource(Micros _now);

	std::string self;
	FeedRelayConfig config;
	std::vector<std::string> readers;         ///< Nodes that read for all.
	std::map<std::string, Micros> avoidUntil; ///< Sources whose data was stale.
	std::string currentSource;
	Micros sourceChosenAt = 0;
	std::optional<Micros> asOf; ///< Time point up to which other nodes' responses include all changes.
	std::optional<Micros> requestedAt;
	bool answered = false;     ///< Whether the last request was answered.
	bool sourceCanRead = true; ///< Whether the source's last response gave the age of its data.
};

/// @returns The nodes that read the platform's topics for all; equal on all nodes that see the same members.
std::vector<std::string> selectFeedReaders(const std::vector<std::string>& _members, const FeedRelayConfig& _config);

} // namespace roadferry

#endif // ROADFERRY_PARTS_FEED_RELAY_H_HEADER_GUARD
