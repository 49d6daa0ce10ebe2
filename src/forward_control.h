/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Control state of a forwarding node: routes, endpoints, members. Runs on the control thread, Qt's main loop.

#ifndef ROADFERRY_FORWARD_CONTROL_H_HEADER_GUARD
#define ROADFERRY_FORWARD_CONTROL_H_HEADER_GUARD

#include "feed_loop.h"
#include "forward_traffic.h"
#include "peer_messages.h"
#include "retry_budget.h"

namespace roadferry
{

/// Settings of ForwardControl.
struct ForwardControlSettings
{
	std::string self;                  ///< Address of this node as used by other nodes.
	std::int64_t processorPercent = 0; ///< Share of a core that the VM provides; 0 if unknown.
	std::vector<std::string> seeds;    ///< Addresses of some other nodes; they may be out of date.
	RetryAllowance retries;
	DirectoryConfig directory;
	FeedRelayConfig relay;
	FeedPollConfig endpoints{0, 600 * kMillisecond};
};

/// Keeps routes, endpoints and members up to date and passes immutable copies to ForwardTraffic.
class ForwardControl
{
public:
	/// @param[in] _send Sends a message to a node.
	/// @param[in] _onPlan Called when a newer version of the routes takes effect.
	ForwardControl(Feed& _feed, ForwardTraffic& _traffic, ForwardControlSettings _settings,
				   std::function<void(const std::string&, const PeerMessage&)> _send,
				   std::function<void(const RoutePlan&)> _onPlan);

	void start();

	/// Handlers for messages from other nodes.
	void onGossip(const std::string& _peer, const Gossip& _message);
	void onRoutesRequest(const std::string& _peer, const RoutesRequest& _request);
	void onRoutesResponse(const std::string& _peer, const RoutesResponse& _response);
	void onFeedRequest(const std::string& _peer, const FeedRequest& _request);
	void onFeedResponse(const std::string& _peer, const FeedResponse& _response);

	/// Announces to other nodes that this node leaves.
	void leave();

	/// @returns Whether routes and endpoints are known.
	[[nodiscard]] bool ready() const;

private:
	void perform(const FeedActions& _actions);
	void startReading();
	void stopReading();
	void onRoutes(const FeedReadResult& _result);
	void onEndpoints(const FeedReadResult& _result);
	void onPartOfListing(const FeedPage& _page);
	void onLost(FeedTopic _topic);
	void logListed(const ListedEndpoint& _listed) const;
	void logFeedResponse(const std::string& _peer, const FeedResponse& _response, Micros _now) const;
	void applyRecord(const std::string& _peer, const std::string& _record);
	void applyPlan(const RoutesUpdate& _read, const std::string& _source);
	void publishEndpoints();
	void publishMembers();
	void publishRelays(const std::vector<Member>& _alive);
	void publishFreshness();
	void logLateTick(Micros _now);
	void tick();
	void queryPeers(Micros _now);
	void sendAll(const std::vector<SendGossip>& _messages);

	Feed& feed;
	ForwardTraffic& traffic;
	ForwardControlSettings settings;
	std::function<void(const std::string&, const PeerMessage&)> send;
	std::function<void(const RoutePlan&)> onPlan;
	FeedLoop routeLoop;
	FeedLoop endpointLoop;
	Membership membership;
	FeedExchange exchange;
	QTimer timer;
	std::shared_ptr<const RoutePlan> plan;
	std::vector<std::string> members;
	std::vector<std::string> batchingNodes; ///< As published last.
	std::vector<RelayNode> relays;          ///< Other live nodes that make calls for this one.
	Micros lastTickAt = 0;                  ///< Time point, 0 before the first tick.
	Micros nextPeerQueryAt = 0;             ///< Time point.
	std::size_t peerQueryCount = 0;         ///< Selects the next node to query.
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_CONTROL_H_HEADER_GUARD
