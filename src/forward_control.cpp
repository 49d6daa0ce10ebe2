/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the control state of a node that forwards.

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
constexpr Micros kLateWorthALine = 300 * kMillisecond; ///< Of a tick of this thread.
constexpr Micros kAskEvery = 400 * kMillisecond; ///< Between two questions to other nodes while the platform is away.
constexpr std::int64_t kNanosPerMicro = 1'000;
/// Part of the retries that all nodes together are allowed: views of who is alive differ for seconds.
constexpr double kRetryCaution = 0.6;
constexpr std::size_t kUnreadableLogged = 5; ///< Entries of one reading that get a line each.
constexpr std::size_t kFewestNodes = 3;      ///< Assumed until the members are known.

} // namespace

ForwardControl::ForwardControl(Feed& _feed, ForwardTraffic& _traffic, ForwardControlSettings _settings,
							   std::function<void(const std::string&, const PeerMessage&)> _send,
							   std::function<void(const RoutePlan&)> _onPlan)
	: feed(_feed), traffic(_traffic), settings(std::move(_settings)), send(std::move(_send)),
	  onPlan(std::move(_onPlan)),
	  routeLoop(_feed, FeedTopic::Routes, FeedPollTiming{settings.relay.routesPollWait, 0},
				FeedHandlers{[this](const FeedReadResult& _reading) { this->onRoutes(_reading); },
							 [this] { this->exchange.onReadFailed(FeedTopic::Routes); }}),
	  endpointLoop(_feed, FeedTopic::Endpoints, settings.endpoints,
				   FeedHandlers{[this](const FeedReadResult& _reading) { this->onEndpoints(_reading); },
								[this] { this->exchange.onReadFailed(FeedTopic::Endpoints); }}),
	  membership(settings.self, static_cast<std::uint64_t>(wallNanoseconds() / kNanosPerMicro), MembershipConfig{},
				 randomNumber()),
	  exchange(settings.self, settings.relay, settings.directory, randomNumber() >> 1) // CBOR's numbers have a sign.
{
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
}

void ForwardControl::start()
{
	this->membership.setSeeds(this->settings.seeds);
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
							  [&](const SendFeedRequest& _ask) { this->send(_ask.to, _ask.message); },
							  [&](const SendFeedResponse& _news) { this->send(_news.to, _news.message); },
							  [&](const DecodeRoutes& _routes) { this->takeRecord(_routes.from, _routes.record); },
							  [&](const RequestNext&) { this->perform(this->exchange.requestNext(monotonicNow())); },
							  [&](const EndpointsChanged&) { this->publishEndpoints(); }},
				   action);
	}
}

/// Tells the traffic how current what it was handed is; called when all of it was handed over.
void ForwardControl::publishKnowledge()
{
	this->traffic.setKnowledge(this->exchange.freshness(monotonicNow()));
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

void ForwardControl::onRoutes(const FeedReadResult& _reading)
{
	for (const FeedChange& change : _reading.page.changes)
	{
		if (const auto* read = std::get_if<RoutesRead>(&change))
		{
			this->takePlan(*read, "platform");
		}
		else if (const auto* fault = std::get_if<UnreadableEntry>(&change))
		{
			logEvent("control", "routes_unreadable", {{"name", fault->name}, {"fault", fault->fault}});
		}
	}
	this->exchange.onRoutesRead(_reading.asOf);
	this->publishKnowledge();
}

void ForwardControl::takePlan(const RoutesRead& _read, const std::string& _source)
{
	const std::uint64_t version = _read.plan->data().version;
	if (this->plan != nullptr && version <= this->plan->data().version)
	{
		return; // A copy that took longer; versions in force never go back.
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

/// One line for an entry that says something new.
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
			  {"leaving", _listed.endpoint.leaving}});
}

void ForwardControl::onEndpoints(const FeedReadResult& _reading)
{
	ListingRead read{_reading.page.next, _reading.isSnapshot, _reading.asOf, {}};
	std::size_t unreadable = 0;
	for (const FeedChange& change : _reading.page.changes)
	{
		std::visit(
			Overloaded{
				[](const RoutesRead&) {},
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
					if (unreadable <= kUnreadableLogged)
					{
						logEvent("control", "endpoint_unreadable", {{"name", _fault.name}, {"fault", _fault.fault}});
					}
				},
			},
			change);
	}
	if (unreadable > kUnreadableLogged)
	{
		logEvent("control", "more_endpoints_unreadable", {{"entries", unreadable - kUnreadableLogged}});
	}
	this->perform(this->exchange.onEndpointsRead(read, monotonicNow()));
	this->publishKnowledge();
}

void ForwardControl::publishEndpoints()
{
	const EndpointDirectory& directory = this->exchange.endpoints();
	this->traffic.setEndpoints(directory.endpoints(), directory.position());
}

void ForwardControl::publishMembers()
{
	const std::vector<std::string> alive = this->membership.alive();
	if (alive == this->members)
	{
		return;
	}
	this->members = alive;
	this->exchange.setMembers(alive);
	const auto nodes = static_cast<double>(std::max(kFewestNodes, alive.size()));
	this->traffic.setMembers(alive);
	this->traffic.setRetryBounds(this->settings.retryShare * kRetryCaution,
								 this->settings.retrySlack * kRetryCaution / nodes);
	logEvent("control", "members", {{"alive", alive.size()}, {"retry_burst_of", static_cast<std::int64_t>(nodes)}});
}

/// Says so when this thread does not get a processor, or has too much to do.
void ForwardControl::noteLateness(Micros _now)
{
	const Micros late = this->tickedAt == 0 ? 0 : _now - this->tickedAt - kTickMs * kMillisecond;
	this->tickedAt = _now;
	if (late >= kLateWorthALine)
	{
		logEvent("control", "thread_late", {{"late_ms", late / kMillisecond}});
	}
}

void ForwardControl::tick()
{
	const Micros now = monotonicNow();
	this->noteLateness(now);
	this->carry(this->membership.tick(now));
	this->publishMembers();
	this->perform(this->exchange.tick(now));
	this->publishKnowledge();
	this->routeLoop.setPollWait(this->exchange.routesPollWait());
	this->askPeers(now);
}

void ForwardControl::onFeedAsk(const std::string& _peer, const FeedRequest& _ask)
{
	this->perform(this->exchange.onFeedRequest(_peer, _ask, monotonicNow()));
}

/// One line for all news that bring something: how old it is by its sender's word and by the way that it took, and
/// whether it was known here already.
void ForwardControl::logNews(const std::string& _peer, const FeedResponse& _news, Micros _now) const
{
	const DirectoryChanges& endpoints = _news.endpoints;
	if (_news.record.empty() && endpoints.listed.empty() && endpoints.unlisted.empty())
	{
		return;
	}
	logEvent("feed", "news",
			 {{"peer", _peer},
			  {"since_asked_ms", (_now - _news.requestSentAt) / kMillisecond},
			  {"read_ms_ago", _news.age ? *_news.age / kMillisecond : -1},
			  {"record_bytes", _news.record.size()},
			  {"version", _news.version},
			  {"version_held", this->plan == nullptr ? 0 : this->plan->data().version},
			  {"listing", endpoints.position},
			  {"listing_held", this->exchange.endpoints().position()}});
}

void ForwardControl::onFeedNews(const std::string& _peer, const FeedResponse& _news)
{
	const Micros now = monotonicNow();
	this->logNews(_peer, _news, now);
	this->perform(this->exchange.onFeedResponse(_peer, _news, now));
	this->publishKnowledge();
}

/// While the platform is away, or has not answered yet, other nodes may know more.
void ForwardControl::askPeers(Micros _now)
{
	if (!this->exchange.unavailable() || _now < this->askAt)
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
	this->askAt = _now + kAskEvery;
	this->askTurn += 1;
	RoutesRequest ask;
	ask.version = this->exchange.routes().version;
	ask.needsEndpoints = !this->exchange.ready();
	this->send(peers[this->askTurn % peers.size()], ask);
}

void ForwardControl::onRoutesAsk(const std::string& _peer, const RoutesRequest& _ask)
{
	const EncodedRoutes& routes = this->exchange.routes();
	const EndpointDirectory& directory = this->exchange.endpoints();
	RoutesResponse give;
	if (routes.version > _ask.version)
	{
		give.record = routes.record;
	}
	if (_ask.needsEndpoints)
	{
		give.endpoints = directory.changesSince(0).listed;
	}
	give.leaving.assign(directory.leaving().begin(), directory.leaving().end());
	if (!give.record.empty() || !give.endpoints.empty() || !give.leaving.empty())
	{
		this->send(_peer, give);
	}
}

/// Takes routes that another node has passed on.
void ForwardControl::takeRecord(const std::string& _peer, const std::string& _record)
{
	const absl::StatusOr<std::string> text = unpackRecord(_record);
	const absl::StatusOr<RoutesRead> read =
		text.ok() ? this->feed.readRecord(*text) : absl::StatusOr<RoutesRead>(text.status());
	if (read.ok())
	{
		this->takePlan(*read, _peer);
	}
	else
	{
		logEvent("control", "routes_unreadable", {{"name", _peer}, {"fault", std::string(read.status().message())}});
	}
}

void ForwardControl::onRoutesGive(const std::string& _peer, const RoutesResponse& _give)
{
	if (!_give.record.empty())
	{
		this->takeRecord(_peer, _give.record);
	}
	this->perform(this->exchange.mergePeerEndpoints(_give.endpoints, _give.leaving, monotonicNow()));
}

void ForwardControl::carry(const std::vector<SendGossip>& _messages)
{
	for (const SendGossip& message : _messages)
	{
		this->send(message.to, message.message);
	}
}

void ForwardControl::onGossip(const std::string& _peer, const Gossip& _message)
{
	this->carry(this->membership.receive(_peer, _message, monotonicNow()));
	this->publishMembers();
}

void ForwardControl::leave()
{
	this->carry(this->membership.leave());
}

} // namespace roadferry
