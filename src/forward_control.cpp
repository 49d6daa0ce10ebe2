/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the control state of a node that forwards.

#include "forward_control.h"

#include "clock.h"
#include "logging.h"
#include "trace.h"

namespace roadferry
{

namespace
{

constexpr int kTickMs = 200;
constexpr Micros kAskEvery = 400 * kMillisecond; ///< Between two questions to other nodes while the platform is away.
constexpr std::int64_t kNanosPerMicro = 1'000;
/// Part of the retries that all nodes together are allowed: views of who is alive differ for seconds.
constexpr double kRetryCaution = 0.6;
constexpr std::size_t kFewestNodes = 3; ///< Assumed until the members are known.

} // namespace

ForwardControl::ForwardControl(Feed& _feed, ForwardTraffic& _traffic, ForwardControlSettings _settings,
							   std::function<void(const std::string&, const PeerMessage&)> _send,
							   std::function<void(const RoutePlan&)> _onPlan)
	: feed(_feed), traffic(_traffic), settings(std::move(_settings)), send(std::move(_send)),
	  onPlan(std::move(_onPlan)), routeLoop(_feed, FeedTopic::Routes, settings.routes,
											[this](const FeedReading& _reading) { this->onRoutes(_reading); }),
	  endpointLoop(_feed, FeedTopic::Endpoints, settings.endpoints,
				   [this](const FeedReading& _reading) { this->onEndpoints(_reading); }),
	  directory(settings.directory),
	  membership(settings.self, static_cast<std::uint64_t>(wallNanoseconds() / kNanosPerMicro), MembershipConfig{},
				 randomNumber()),
	  relay(settings.self, settings.relay), directoryId(randomNumber() >> 1) // CBOR's numbers have a sign.
{
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
}

void ForwardControl::start()
{
	this->membership.setSeeds(this->settings.seeds);
	this->publishMembers();
	this->relayFeed(monotonicNow());
	this->timer.start(kTickMs);
}

bool ForwardControl::ready() const
{
	return this->plan != nullptr && this->endpointsKnown;
}

void ForwardControl::onRoutes(const FeedReading& _reading)
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
}

void ForwardControl::takePlan(const RoutesRead& _read, const std::string& _source)
{
	const std::uint64_t version = _read.plan->data().version;
	if (this->plan != nullptr && version <= this->plan->data().version)
	{
		return; // A copy that took longer; versions in force never go back.
	}
	this->plan = _read.plan;
	this->planRecord = _read.record;
	this->membership.setTableOffset(version);
	this->traffic.setPlan(this->plan);
	this->tellFollowers(monotonicNow());
	this->onPlan(*this->plan);
	logEvent("control", "routes_in_force",
			 {{"version", version},
			  {"source", _source},
			  {"routes", this->plan->data().routes.size()},
			  {"pools", this->plan->data().pools.size()},
			  {"workspaces", this->plan->data().workspaces.size()}});
}

void ForwardControl::onEndpoints(const FeedReading& _reading)
{
	const Micros now = monotonicNow();
	std::vector<Endpoint> all;
	this->directory.readWell(_reading.page.next, now, _reading.wasLost);
	for (const FeedChange& change : _reading.page.changes)
	{
		std::visit(
			Overloaded{
				[](const RoutesRead&) {},
				[&](const EndpointListed& _listed)
				{
					all.push_back(_listed.endpoint);
					this->directory.listed(_listed.endpoint, now);
					logEvent("control", "endpoint_listed",
							 {{"endpoint", _listed.endpoint.id},
							  {"pool", _listed.endpoint.pool},
							  {"address", _listed.endpoint.address},
							  {"failure_domain", _listed.endpoint.failureDomain},
							  {"leaving", _listed.endpoint.leaving}});
				},
				[&](const EndpointUnlisted& _gone)
				{
					this->directory.unlisted(_gone.id, now);
					logEvent("control", "endpoint_unlisted", {{"endpoint", _gone.id}});
				},
				[](const UnreadableEntry& _fault) {
					logEvent("control", "endpoint_unreadable", {{"name", _fault.name}, {"fault", _fault.fault}});
				},
			},
			change);
	}
	if (_reading.whole)
	{
		this->directory.relisted(all, now);
	}
	const bool dropped = this->directory.expire(now);
	const bool first = !std::exchange(this->endpointsKnown, true);
	if (first || dropped || _reading.whole || !_reading.page.changes.empty())
	{
		this->publishEndpoints();
	}
}

void ForwardControl::publishEndpoints()
{
	this->traffic.setEndpoints(this->directory.endpoints(), this->directory.position());
	this->tellFollowers(monotonicNow());
}

void ForwardControl::publishMembers()
{
	const std::vector<std::string> alive = this->membership.alive();
	if (alive == this->members)
	{
		return;
	}
	this->members = alive;
	this->relay.setMembers(alive);
	const auto nodes = static_cast<double>(std::max(kFewestNodes, alive.size()));
	this->traffic.setMembers(alive);
	this->traffic.setRetryBounds(this->settings.retryShare * kRetryCaution,
								 this->settings.retrySlack * kRetryCaution / nodes);
	logEvent("control", "members", {{"alive", alive.size()}, {"retry_burst_of", static_cast<std::int64_t>(nodes)}});
}

void ForwardControl::tick()
{
	const Micros now = monotonicNow();
	this->carry(this->membership.tick(now));
	this->publishMembers();
	this->relayFeed(now);
	if (this->directory.expire(now))
	{
		this->publishEndpoints();
	}
	this->askPeers(now);
}

/// Reads the platform's topics, or asks a node that does.
void ForwardControl::relayFeed(Micros _now)
{
	const FeedRelayStep step = this->relay.tick(_now);
	if (step.readOwn != this->reading)
	{
		this->reading = step.readOwn;
		logEvent("feed", step.readOwn ? "reads_itself" : "reads_through_peer",
				 {{"peer", this->relay.source()},
				  {"peer_lost_it", this->relay.sourceLost()},
				  {"members", this->members.size()}});
		if (step.readOwn)
		{
			this->sourceId = 0; // What is read meanwhile is not in the source's revisions.
			this->routeLoop.start(this->relay.sourceLost());
			this->endpointLoop.start(this->relay.sourceLost());
		}
		else
		{
			this->routeLoop.stop();
			this->endpointLoop.stop();
		}
	}
	if (!step.ask.empty())
	{
		const std::uint64_t version = this->plan == nullptr ? 0 : this->plan->data().version;
		this->send(step.ask, FeedAsk{version, this->sourceId, this->sourceId == 0 ? 0 : this->sourceRevision, _now});
	}
}

void ForwardControl::onFeedAsk(const std::string& _peer, const FeedAsk& _ask)
{
	const Micros now = monotonicNow();
	Follower& follower = this->followers[_peer];
	follower.version = _ask.version;
	follower.revision = _ask.source == this->directoryId ? _ask.revision : 0;
	follower.askedAt = _ask.sentAt;
	follower.until = now + this->settings.relay.followerLife;
	this->tell(_peer, follower, now);
}

void ForwardControl::tell(const std::string& _peer, Follower& _follower, Micros _now)
{
	const bool reads = this->reading && !this->routeLoop.lost() && !this->endpointLoop.lost() && this->ready();
	FeedNews news;
	news.source = this->directoryId;
	news.answers = _follower.askedAt;
	news.version = this->plan == nullptr ? 0 : this->plan->data().version;
	news.routesAge = _now - this->routeLoop.readAt();
	if (this->plan != nullptr && this->plan->data().version > _follower.version)
	{
		news.record = this->planRecord;
		_follower.version = this->plan->data().version;
	}
	if (reads)
	{
		news.readAge = _now - this->directory.readAt();
		news.endpoints = this->directory.changesSince(_follower.revision);
		_follower.revision = news.endpoints.revision;
	}
	this->send(_peer, news);
}

/// Passes on what is new as soon as it is known here.
void ForwardControl::tellFollowers(Micros _now)
{
	std::erase_if(this->followers, [_now](const auto& _entry) { return _entry.second.until < _now; });
	for (auto& entry : this->followers)
	{
		this->tell(entry.first, entry.second, _now);
	}
}

/// One line for all news that bring something: how old it is by its sender's word and by the way that it took, and
/// whether it was known here already.
void ForwardControl::logNews(const std::string& _peer, const FeedNews& _news, Micros _now) const
{
	const DirectoryChanges& endpoints = _news.endpoints;
	if (_news.record.empty() && endpoints.listed.empty() && endpoints.unlisted.empty())
	{
		return;
	}
	logEvent("feed", "news",
			 {{"peer", _peer},
			  {"since_asked_ms", (_now - _news.answers) / kMillisecond},
			  {"listing_read_ms_ago", _news.readAge ? *_news.readAge / kMillisecond : -1},
			  {"routes_read_ms_ago", _news.routesAge / kMillisecond},
			  {"record_bytes", _news.record.size()},
			  {"version", _news.version},
			  {"version_held", this->plan == nullptr ? 0 : this->plan->data().version},
			  {"listing", endpoints.position},
			  {"listing_held", this->directory.position()}});
}

void ForwardControl::onFeedNews(const std::string& _peer, const FeedNews& _news)
{
	if (_peer != this->relay.source())
	{
		return; // Of a node that was asked before; the one that is asked now tells all of it.
	}
	const Micros now = monotonicNow();
	this->logNews(_peer, _news, now);
	if (!_news.record.empty())
	{
		this->takeRecord(_peer, _news.record);
	}
	this->relay.heard(_peer, _news.readAge, now);
	const bool isNew =
		_news.endpoints.whole || _news.source != this->sourceId || _news.endpoints.revision != this->sourceRevision;
	if (!_news.readAge || !isNew)
	{
		return;
	}
	this->sourceId = _news.source;
	this->sourceRevision = _news.endpoints.revision;
	this->directory.take(_news.endpoints, now);
	this->endpointsKnown = true;
	logEvent("control", "endpoints_from_peer",
			 {{"peer", _peer},
			  {"whole", _news.endpoints.whole},
			  {"listed", _news.endpoints.listed.size()},
			  {"unlisted", _news.endpoints.unlisted.size()},
			  {"read_ms_ago", *_news.readAge / kMillisecond}});
	this->publishEndpoints();
}

/// While the platform is away, or has not answered yet, other nodes may know more.
void ForwardControl::askPeers(Micros _now)
{
	const bool away = this->routeLoop.lost() || this->endpointLoop.lost() || !this->ready();
	if (!away || _now < this->askAt)
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
	RoutesAsk ask;
	ask.version = this->plan == nullptr ? 0 : this->plan->data().version;
	ask.endpoints = !this->endpointsKnown;
	this->send(peers[this->askTurn % peers.size()], ask);
}

void ForwardControl::onRoutesAsk(const std::string& _peer, const RoutesAsk& _ask)
{
	RoutesGive give;
	if (this->plan != nullptr && this->plan->data().version > _ask.version)
	{
		give.record = this->planRecord;
	}
	if (_ask.endpoints && this->endpointsKnown)
	{
		give.endpoints = this->directory.endpoints();
	}
	give.leaving.assign(this->directory.leaving().begin(), this->directory.leaving().end());
	if (!give.record.empty() || !give.endpoints.empty() || !give.leaving.empty())
	{
		this->send(_peer, give);
	}
}

/// Takes routes that another node has passed on.
void ForwardControl::takeRecord(const std::string& _peer, const std::string& _record)
{
	const absl::StatusOr<RoutesRead> read = this->feed.readRecord(_record);
	if (read.ok())
	{
		this->takePlan(*read, _peer);
	}
	else
	{
		logEvent("control", "routes_unreadable", {{"name", _peer}, {"fault", std::string(read.status().message())}});
	}
}

void ForwardControl::onRoutesGive(const std::string& _peer, const RoutesGive& _give)
{
	if (!_give.record.empty())
	{
		this->takeRecord(_peer, _give.record);
	}
	if (!this->endpointsKnown && !_give.endpoints.empty())
	{
		this->endpointsKnown = true;
		for (const Endpoint& endpoint : _give.endpoints)
		{
			this->directory.listed(endpoint, monotonicNow());
		}
		logEvent("control", "endpoints_from_peer", {{"peer", _peer}, {"endpoints", _give.endpoints.size()}});
	}
	for (const std::string& endpoint : _give.leaving)
	{
		this->directory.markLeaving(endpoint);
	}
	this->publishEndpoints();
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
