/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Control state of a node that forwards: routes, endpoints, members. Runs on the control thread, Qt's main loop.

#ifndef ROADFERRY_FORWARD_CONTROL_H_HEADER_GUARD
#define ROADFERRY_FORWARD_CONTROL_H_HEADER_GUARD

#include "feed_loop.h"
#include "forward_traffic.h"
#include "peer_messages.h"

namespace roadferry
{

/// Settings of ForwardControl.
struct ForwardControlSettings
{
	std::string self;               ///< Address of this node, as other nodes know it.
	std::vector<std::string> seeds; ///< Addresses of some other nodes, which may be out of date.
	double retryShare = 0.2;        ///< Retries that all nodes together may make for each request,
	double retrySlack = 20;         ///< and beyond that, in each window.
	DirectoryConfig directory;
	FeedRelayConfig relay;
	FeedPollTiming endpoints{0, 600 * kMillisecond};
};

/// Keeps routes, endpoints and members up to date, and hands immutable copies to the traffic.
class ForwardControl
{
public:
	/// @param[in] _onPlan Called when a newer version of the routes is in force.
	ForwardControl(Feed& _feed, ForwardTraffic& _traffic, ForwardControlSettings _settings,
				   std::function<void(const std::string&, const PeerMessage&)> _send,
				   std::function<void(const RoutePlan&)> _onPlan);

	void start();

	/// Takes a message of another node.
	void onGossip(const std::string& _peer, const Gossip& _message);
	void onRoutesAsk(const std::string& _peer, const RoutesRequest& _ask);
	void onRoutesGive(const std::string& _peer, const RoutesResponse& _give);
	void onFeedAsk(const std::string& _peer, const FeedRequest& _ask);
	void onFeedNews(const std::string& _peer, const FeedResponse& _news);

	/// Tells other nodes that this one leaves.
	void leave();

	/// @returns Whether routes and endpoints are known.
	[[nodiscard]] bool ready() const;

private:
	void perform(const FeedActions& _actions);
	void startReading();
	void stopReading();
	void onRoutes(const FeedReadResult& _reading);
	void onEndpoints(const FeedReadResult& _reading);
	void logListed(const ListedEndpoint& _listed) const;
	void logNews(const std::string& _peer, const FeedResponse& _news, Micros _now) const;
	void takeRecord(const std::string& _peer, const std::string& _record);
	void takePlan(const RoutesRead& _read, const std::string& _source);
	void publishEndpoints();
	void publishMembers();
	void publishKnowledge();
	void noteLateness(Micros _now);
	void tick();
	void askPeers(Micros _now);
	void carry(const std::vector<SendGossip>& _messages);

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
	Micros tickedAt = 0;
	Micros askAt = 0;
	std::size_t askTurn = 0;
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_CONTROL_H_HEADER_GUARD
