/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of ForwardControl.

#include "forward_control.h"

#include "clock.h"
#include "feed_record.h"
#include "logging.h"
#include "trace.h"

namespace roadferry
{

namespace
{

constexpr int kTickMs = 200;
constexpr Micros kLateTickLogThreshold = 300 * kMillisecond; ///< Lateness of a tick that is logged.
/// Between two queries to other nodes while the platform does not answer.
constexpr Micros kPeerQueryInterval = 400 * kMillisecond;
constexpr std::int64_t kNanosPerMicro = 1'000;
constexpr double kThousandths = 1'000;
constexpr std::size_t kMaxUnreadableLogged = 5; ///< Unreadable entries of one read that are logged individually.

} // namespace

ForwardControl::ForwardControl(Feed& _feed, ForwardTraffic& _traffic, ForwardControlSettings _settings,
							   std::function<void(const std::string&, const PeerMessage&)> _send,
							   std::function<void(const RoutePlan&)> _onPlan)
	: feed(_feed), traffic(_traffic), settings(std::move(_settings)), send(std::move(_send)),
	  onPlan(std::move(_onPlan)),
	  routeLoop(_feed, FeedTopic::Routes, FeedPollConfig{settings.relay.routesPollWait, 0},
				FeedHandlers{[this](const FeedReadResult& _result) { this->onRoutes(_result); },
							 [](const FeedPage&) {}, // The operator's other documents do not concern this system.
							 [this] { this->onLost(FeedTopic::Routes); }}),
	  endpointLoop(_feed, FeedTopic::Endpoints, settings.endpoints,
				   FeedHandlers{[this](const FeedReadResult& _result) { this->onEndpoints(_result); },
								[this](const FeedPage& _page) { this->onPartOfListing(_page); },
								[this] { this->onLost(FeedTopic::Endpoints); }}),
	  membership(settings.self, static_cast<std::uint64_t>(wallNanoseconds() / kNanosPerMicro), MembershipConfig{},
				 randomNumber()),
	  exchange(settings.self, settings.relay, settings.directory, randomNumber() >> 1) // Fits a signed CBOR integer.
{
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
}

void ForwardControl::start()
{
	this->membership.setSeeds(this->settings.seeds);
	this->membership.setProcessorPercent(this->settings.processorPercent);
	this->membership.setRelaysCalls(true);
	this->publishMembers();
	this->perform(this->exchange.tick(monotonicNow()));
	this->timer.start(kTickMs);
}

bool ForwardControl::ready() const
{
	return this->exchange.ready();
}

void ForwardControl::perform(const FeedActions& _actions)
{
	for (const FeedAction& action : _actions)
	{
		std::visit(Overloaded{[&](const StartReading&) { this->startReading(); },
							  [&](const StopReading&) { this->stopReading(); },
							  [&](const SendFeedRequest& _request) { this->send(_request.to, _request.message); },
							  [&](const SendFeedResponse& _response) { this->send(_response.to, _response.message); },
							  [&](const DecodeRoutes& _routes) { this->applyRecord(_routes.from, _routes.record); },
							  [&](const RequestNext&) { this->perform(this->exchange.requestNext(monotonicNow())); },
							  [&](const EndpointsChanged&) { this->publishEndpoints(); }},
				   action);
	}
}

/// Tells ForwardTraffic how current its routes and endpoints are; called after these were passed to it.
void ForwardControl::publishFreshness()
{
	this->traffic.setFreshness(this->exchange.freshness(monotonicNow()));
}

void ForwardControl::startReading()
{
	logEvent("feed", "reads_itself", {{"peer", this->exchange.source()}, {"members", this->members.size()}});
	this->routeLoop.start();
	this->endpointLoop.start();
}

void ForwardControl::stopReading()
{
	logEvent("feed", "reads_through_peer", {{"peer", this->exchange.source()}, {"members", this->members.size()}});
	this->routeLoop.stop();
	this->endpointLoop.stop();
}

void ForwardControl::onRoutes(const FeedReadResult& _result)
{
	for (const FeedChange& change : _result.page.changes)
	{
		if (const auto* read = std::get_if<RoutesUpdate>(&change))
		{
			this->applyPlan(*read, "platform");
		}
		else if (const auto* fault = std::get_if<UnreadableEntry>(&change))
		{
			logEvent("control", "routes_unreadable", {{"name", fault->name}, {"fault", fault->fault}});
		}
	}
	this->exchange.onRoutesRead(_result.asOf);
	if (_result.isLate)
	{
		this->exchange.onReadFailed(FeedTopic::Routes);
	}
	this->publishFreshness();
}

void ForwardControl::onLost(FeedTopic _topic)
{
	this->exchange.onReadFailed(_topic);
	this->publishFreshness();
}

/// Serves with the endpoints that are known while the rest of the listing is late.
void ForwardControl::onPartOfListing(const FeedPage& _page)
{
	std::vector<ListedEndpoint> listed;
	for (const FeedChange& change : _page.changes)
	{
		if (const auto* entry = std::get_if<ListedEndpoint>(&change))
		{
			listed.push_back(*entry);
		}
	}
	this->perform(this->exchange.addPartOfListing(listed, monotonicNow()));
	this->publishFreshness();
}

void ForwardControl::applyPlan(const RoutesUpdate& _read, const std::string& _source)
{
	const std::uint64_t version = _read.plan->data().version;
	if (this->plan != nullptr && version <= this->plan->data().version)
	{
		return; // A delayed copy; the version in force never decreases.
	}
	this->plan = _read.plan;
	this->membership.setTableOffset(version);
	this->traffic.setPlan(this->plan);
	this->perform(this->exchange.setRoutes(EncodedRoutes{version, packRecord(_read.record)}));
	this->onPlan(*this->plan);
	logEvent("control", "routes_in_force",
			 {{"version", version},
			  {"source", _source},
			  {"routes", this->plan->data().routes.size()},
			  {"pools", this->plan->data().pools.size()},
			  {"workspaces", this->plan->data().workspaces.size()}});
}

/// Logs an entry of the listing if it changes what is known.
void ForwardControl::logListed(const ListedEndpoint& _listed) const
{
	if (!this->exchange.endpoints().differs(_listed))
	{
		return;
	}
	logEvent("control", "endpoint_listed",
			 {{"endpoint", _listed.endpoint.id},
			  {"pool", _listed.endpoint.pool},
			  {"address", _listed.endpoint.address},
			  {"failure_domain", _listed.endpoint.failureDomain},
			  {"software", _listed.endpoint.softwareVersion},
			  {"leaving", _listed.endpoint.leaving}});
}

void ForwardControl::onEndpoints(const FeedReadResult& _result)
{
	ListingRead read{_result.page.next, _result.isSnapshot, _result.asOf, {}, _result.page.isTruncated};
	std::size_t unreadable = 0;
	for (const FeedChange& change : _result.page.changes)
	{
		std::visit(
			Overloaded{
				[](const RoutesUpdate&) {},
				[&](const ListedEndpoint& _listed)
				{
					read.changes.emplace_back(_listed);
					this->logListed(_listed);
				},
				[&](const UnlistedEndpoint& _gone)
				{
					read.changes.emplace_back(_gone);
					logEvent("control", "endpoint_unlisted", {{"endpoint", _gone.name}});
				},
				[&](const UnreadableEntry& _fault)
				{
					read.changes.emplace_back(UnusableEntry{_fault.name, _fault.position});
					unreadable += 1;
					if (unreadable <= kMaxUnreadableLogged)
					{
						logEvent("control", "endpoint_unreadable", {{"name", _fault.name}, {"fault", _fault.fault}});
					}
				},
			},
			change);
	}
	if (unreadable > kMaxUnreadableLogged)
	{
		logEvent("control", "more_endpoints_unreadable", {{"entries", unreadable - kMaxUnreadableLogged}});
	}
	this->perform(this->exchange.onEndpointsRead(read, monotonicNow()));
	if (_result.isLate)
	{
		this->exchange.onReadFailed(FeedTopic::Endpoints);
	}
	const std::vector<ProcessProof> proofs = this->exchange.takeProofs();
	if (!proofs.empty())
	{
		this->traffic.addProofs(proofs);
	}
	this->publishFreshness();
}

void ForwardControl::publishEndpoints()
{
	const EndpointDirectory& directory = this->exchange.endpoints();
	this->traffic.setEndpoints(directory.endpoints(), directory.position());
}

/// Tells ForwardTraffic which other nodes make calls for this one.
void ForwardControl::publishRelays(const std::vector<Member>& _alive)
{
	std::vector<RelayNode> nodes;
	for (const Member& member : _alive)
	{
		if (member.relaysCalls && member.address != this->settings.self)
		{
			nodes.push_back(RelayNode{member.address, member.processorPercent});
		}
	}
	if (nodes != this->relays)
	{
		this->relays = nodes;
		this->traffic.setRelays(nodes);
	}
}

void ForwardControl::publishMembers()
{
	const std::vector<Member> aliveMembers = this->membership.aliveMembers();
	this->publishRelays(aliveMembers);
	const std::vector<std::string> alive = this->membership.alive();
	const std::vector<std::string> batchingNodes = roadferry::batchingNodes(aliveMembers);
	if (alive == this->members && batchingNodes == this->batchingNodes)
	{
		return;
	}
	this->members = alive;
	this->batchingNodes = batchingNodes;
	this->exchange.setMembers(alive);
	const RetryBounds retries = nodeRetryBounds(this->settings.retries, alive.size());
	this->traffic.setMembers(alive, batchingNodes);
	this->traffic.setRetryBounds(retries);
	logEvent("control", "members",
			 {{"alive", alive.size()},
			  {"batching", batchingNodes.size()},
			  {"retry_burst_thousandths", std::llround(retries.burst * kThousandths)}});
}

/// Logs a late tick: this thread got no CPU time or is overloaded.
void ForwardControl::logLateTick(Micros _now)
{
	const Micros late = this->lastTickAt == 0 ? 0 : _now - this->lastTickAt - kTickMs * kMillisecond;
	this->lastTickAt = _now;
	if (late >= kLateTickLogThreshold)
	{
		logEvent("control", "thread_late", {{"late_ms", late / kMillisecond}});
	}
}

void ForwardControl::tick()
{
	const Micros now = monotonicNow();
	this->logLateTick(now);
	this->sendAll(this->membership.tick(now));
	this->publishMembers();
	this->perform(this->exchange.tick(now));
	this->publishFreshness();
	this->routeLoop.setPollWait(this->exchange.routesPollWait());
	this->queryPeers(now);
}

void ForwardControl::onFeedRequest(const std::string& _peer, const FeedRequest& _request)
{
	this->perform(this->exchange.onFeedRequest(_peer, _request, monotonicNow()));
}

/// Logs a feed response that carries changes: its age according to the sender, the time since the request, and the
/// versions that this node already holds.
void ForwardControl::logFeedResponse(const std::string& _peer, const FeedResponse& _response, Micros _now) const
{
	const DirectoryChanges& endpoints = _response.endpoints;
	if (_response.record.empty() && endpoints.listed.empty() && endpoints.unlisted.empty())
	{
		return;
	}
	logEvent("feed", "news",
			 {{"peer", _peer},
			  {"since_asked_ms", (_now - _response.requestSentAt) / kMillisecond},
			  {"read_ms_ago", _response.age ? *_response.age / kMillisecond : -1},
			  {"record_bytes", _response.record.size()},
			  {"version", _response.version},
			  {"version_held", this->plan == nullptr ? 0 : this->plan->data().version},
			  {"listing", endpoints.position},
			  {"listing_held", this->exchange.endpoints().position()}});
}

void ForwardControl::onFeedResponse(const std::string& _peer, const FeedResponse& _response)
{
	const Micros now = monotonicNow();
	this->logFeedResponse(_peer, _response, now);
	this->perform(this->exchange.onFeedResponse(_peer, _response, now));
	this->publishFreshness();
}

/// Asks one other node, in turn, for routes and endpoints while the platform does not answer.
void ForwardControl::queryPeers(Micros _now)
{
	if (!this->exchange.unavailable() || _now < this->nextPeerQueryAt)
	{
		return;
	}
	std::vector<std::string> peers = this->members;
	peers.insert(peers.end(), this->settings.seeds.begin(), this->settings.seeds.end());
	std::erase(peers, this->settings.self);
	if (peers.empty())
	{
		return;
	}
	this->nextPeerQueryAt = _now + kPeerQueryInterval;
	this->peerQueryCount += 1;
	RoutesRequest request;
	request.version = this->exchange.routes().version;
	request.needsEndpoints = !this->exchange.ready();
	this->send(peers[this->peerQueryCount % peers.size()], request);
}

void ForwardControl::onRoutesRequest(const std::string& _peer, const RoutesRequest& _request)
{
	const EncodedRoutes& routes = this->exchange.routes();
	const EndpointDirectory& directory = this->exchange.endpoints();
	RoutesResponse response;
	if (routes.version > _request.version)
	{
		response.record = routes.record;
	}
	if (_request.needsEndpoints)
	{
		response.endpoints = directory.changesSince(0).listed;
	}
	response.leaving.assign(directory.leaving().begin(), directory.leaving().end());
	if (!response.record.empty() || !response.endpoints.empty() || !response.leaving.empty())
	{
		this->send(_peer, response);
	}
}

/// Decodes and applies routes received from another node.
void ForwardControl::applyRecord(const std::string& _peer, const std::string& _record)
{
	const absl::StatusOr<std::string> text = unpackRecord(_record);
	const absl::StatusOr<RoutesUpdate> read =
		text.ok() ? this->feed.decodeRecord(*text) : absl::StatusOr<RoutesUpdate>(text.status());
	if (read.ok())
	{
		this->applyPlan(*read, _peer);
	}
	else
	{
		logEvent("control", "routes_unreadable", {{"name", _peer}, {"fault", std::string(read.status().message())}});
	}
}

void ForwardControl::onRoutesResponse(const std::string& _peer, const RoutesResponse& _response)
{
	if (!_response.record.empty())
	{
		this->applyRecord(_peer, _response.record);
	}
	this->perform(this->exchange.mergePeerEndpoints(_response.endpoints, _response.leaving, monotonicNow()));
}

void ForwardControl::sendAll(const std::vector<SendGossip>& _messages)
{
	for (const SendGossip& message : _messages)
	{
		this->send(message.to, message.message);
	}
}

void ForwardControl::onGossip(const std::string& _peer, const Gossip& _message)
{
	this->sendAll(this->membership.receive(_peer, _message, monotonicNow()));
	this->publishMembers();
}

void ForwardControl::leave()
{
	this->sendAll(this->membership.leave());
}

} // namespace roadferry
