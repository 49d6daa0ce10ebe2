/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What one node knows of the platform's topics, by its own readings and from other nodes.

#include <roadferry/parts/feed_exchange.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

FeedExchange::FeedExchange(std::string _self, FeedRelayConfig _relay, DirectoryConfig _directory, std::uint64_t _id)
	: config(_relay), relay(std::move(_self), _relay), directory(_directory), id(_id)
{
}

void FeedExchange::setMembers(const std::vector<std::string>& _members)
{
	this->relay.setMembers(_members);
}

FeedActions FeedExchange::tick(Micros _now)
{
	FeedActions actions;
	const FeedRelayStep step = this->relay.tick(_now, this->away());
	if (step.readOwn != this->reading)
	{
		this->reading = step.readOwn;
		this->routesLost = false;
		this->listingLost = false;
		if (step.readOwn)
		{
			actions.emplace_back(StartReading{});
		}
		else
		{
			actions.emplace_back(StopReading{});
		}
	}
	if (!step.ask.empty())
	{
		this->sendAsk(step.ask, _now, actions);
	}
	if (!this->listingLost && this->directory.expire(_now))
	{
		this->endpointsChanged(actions);
	}
	this->answerHeld(_now, actions);
	return actions;
}

void FeedExchange::sendAsk(const std::string& _to, Micros _now, FeedActions& _actions) const
{
	_actions.emplace_back(SendFeedAsk{_to, FeedAsk{this->held.version, this->sourceId, this->sourceRevision, _now}});
}

FeedActions FeedExchange::ask(Micros _now)
{
	FeedActions actions;
	const std::string to = this->relay.dueAsk(_now);
	if (!to.empty())
	{
		this->sendAsk(to, _now, actions);
	}
	return actions;
}

FeedActions FeedExchange::onAsk(const std::string& _from, const FeedAsk& _ask, Micros _now)
{
	FeedActions actions;
	Follower& follower = this->followers[_from];
	follower = Follower{_ask, _now, true};
	if (this->hasNewsFor(follower))
	{
		this->answer(_from, follower, actions);
	}
	return actions;
}

bool FeedExchange::hasNewsFor(const Follower& _follower) const
{
	const bool knowsListing =
		_follower.asked.source == this->id && _follower.asked.revision == this->directory.latestRevision();
	return this->held.version > _follower.asked.version || (this->reads() && !knowsListing);
}

/// @returns Whether this node can say of what time its knowledge is.
bool FeedExchange::reads() const
{
	return this->reading && !this->routesLost && !this->listingLost && this->ready();
}

FeedNews FeedExchange::newsFor(const Follower& _follower) const
{
	FeedNews news;
	news.source = this->id;
	news.answers = _follower.asked.sentAt;
	news.version = this->held.version;
	if (this->held.version > _follower.asked.version)
	{
		news.record = this->held.record;
	}
	if (this->reads())
	{
		news.age = _follower.cameAt - std::min(this->routesReadAt, this->directory.readAt());
		news.endpoints =
			this->directory.changesSince(_follower.asked.source == this->id ? _follower.asked.revision : 0);
	}
	return news;
}

void FeedExchange::answer(const std::string& _to, Follower& _follower, FeedActions& _actions) const
{
	_follower.waiting = false;
	_actions.emplace_back(SendFeedNews{_to, this->newsFor(_follower)});
}

/// Passes on what is new as soon as it is known here, to nodes that have taken what they were told before: on a narrow
/// link they get the newest, not each one in turn.
void FeedExchange::tellFollowers(FeedActions& _actions)
{
	for (auto& entry : this->followers)
	{
		if (entry.second.waiting && this->hasNewsFor(entry.second))
		{
			this->answer(entry.first, entry.second, _actions);
		}
	}
}

/// Answers questions that have waited long enough, and forgets nodes that do not ask any more.
void FeedExchange::answerHeld(Micros _now, FeedActions& _actions)
{
	std::erase_if(this->followers,
				  [&](const auto& _entry) { return _now - _entry.second.cameAt > this->config.followerLife; });
	for (auto& entry : this->followers)
	{
		if (entry.second.waiting && _now - entry.second.cameAt >= this->config.holdAsk)
		{
			this->answer(entry.first, entry.second, _actions);
		}
	}
}

void FeedExchange::endpointsChanged(FeedActions& _actions)
{
	_actions.emplace_back(EndpointsChanged{});
	this->tellFollowers(_actions);
}

FeedActions FeedExchange::onNews(const std::string& _from, const FeedNews& _news, Micros _now)
{
	FeedActions actions;
	if (_from != this->relay.source())
	{
		return actions; // Of a node that was asked before; the one that is asked now tells all of it.
	}
	if (!_news.record.empty())
	{
		actions.emplace_back(DecodeRoutes{_news.record, _from});
	}
	// The sender's age was true after the question was sent: the way there and back counts as age, too.
	const Micros asked = std::min(_news.answers, _now);
	const std::optional<Micros> knownAt = _news.age ? std::optional(std::min(_now, asked - *_news.age)) : std::nullopt;
	this->relay.heard(_from, knownAt);
	if (knownAt)
	{
		this->routesKnownAt = std::max(this->routesKnownAt, *knownAt);
		this->takeEndpoints(_news, *knownAt, _now, actions);
	}
	actions.emplace_back(AskNext{});
	return actions;
}

void FeedExchange::takeEndpoints(const FeedNews& _news, Micros _knownAt, Micros _now, FeedActions& _actions)
{
	this->sourceId = _news.source;
	this->sourceRevision = _news.endpoints.revision;
	const std::uint64_t before = this->directory.latestRevision();
	this->directory.take(_news.endpoints, _knownAt, _now);
	const bool first = !std::exchange(this->listingKnown, true);
	if (first || this->directory.latestRevision() != before)
	{
		this->endpointsChanged(_actions);
	}
}

FeedActions FeedExchange::holdRoutes(HeldRoutes _routes)
{
	FeedActions actions;
	this->held = std::move(_routes);
	this->tellFollowers(actions);
	return actions;
}

void FeedExchange::routesRead(Micros _knownAt)
{
	this->routesLost = false;
	this->routesReadAt = _knownAt;
	this->routesKnownAt = std::max(this->routesKnownAt, _knownAt);
}

FeedActions FeedExchange::endpointsRead(const ListingRead& _read, Micros _now)
{
	FeedActions actions;
	this->listingLost = false;
	const bool changed = this->directory.read(_read, _now);
	const bool first = !std::exchange(this->listingKnown, true);
	if (first || changed)
	{
		this->endpointsChanged(actions);
	}
	return actions;
}

void FeedExchange::readingFailed(FeedTopic _topic)
{
	(_topic == FeedTopic::Routes ? this->routesLost : this->listingLost) = true;
}

FeedActions FeedExchange::learn(const std::vector<ListedEndpoint>& _endpoints, const std::vector<std::string>& _leaving,
								Micros _now)
{
	FeedActions actions;
	if (!this->listingKnown && !_endpoints.empty())
	{
		this->listingKnown = true;
		this->directory.take(DirectoryChanges{0, 0, false, _endpoints, {}}, 0, _now);
	}
	for (const std::string& endpoint : _leaving)
	{
		this->directory.markLeaving(endpoint);
	}
	this->endpointsChanged(actions);
	return actions;
}

Micros FeedExchange::routesWait() const
{
	return this->followers.empty() ? this->config.routesWait : this->config.routesWaitForOthers;
}

bool FeedExchange::ready() const
{
	return !this->held.record.empty() && this->listingKnown;
}

bool FeedExchange::away() const
{
	return this->routesLost || this->listingLost || !this->ready();
}

const EndpointDirectory& FeedExchange::endpoints() const
{
	return this->directory;
}

const HeldRoutes& FeedExchange::routes() const
{
	return this->held;
}

const std::string& FeedExchange::source() const
{
	return this->relay.source();
}

FeedKnowledge FeedExchange::knowledge(Micros _now) const
{
	const bool away = this->away() || this->relay.sourceAway();
	return FeedKnowledge{this->routesKnownAt, this->directory.knownUpTo(), _now, this->relay.source(), away};
}

bool mayHandle(const FeedKnowledge& _knowledge, Micros _now, Micros _lease)
{
	if (_knowledge.away)
	{
		return _now - _knowledge.checkedAt <= _lease; // What is known holds, while somebody looks for more.
	}
	const Micros knownAt = std::min(_knowledge.routesAt, _knowledge.listingAt);
	return knownAt > 0 && _now - knownAt <= _lease;
}

} // namespace roadferry
