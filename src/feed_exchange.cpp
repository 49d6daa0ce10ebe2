/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What one node knows of the platform's topics, by its own readings and from other nodes.

#include <roadferry/parts/feed_exchange.h>

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
	const FeedRelayStep step = this->relay.tick(_now);
	if (step.readOwn != this->reading)
	{
		this->reading = step.readOwn;
		this->routesLost = step.readOwn && this->relay.sourceLost();
		this->listingLost = this->routesLost;
		if (step.readOwn)
		{
			actions.emplace_back(StartReading{this->relay.sourceLost()});
		}
		else
		{
			actions.emplace_back(StopReading{});
		}
	}
	if (!step.ask.empty())
	{
		const std::uint64_t revision = this->sourceId == 0 ? 0 : this->sourceRevision;
		actions.emplace_back(SendFeedAsk{step.ask, FeedAsk{this->held.version, this->sourceId, revision, _now}});
	}
	if (this->directory.expire(_now))
	{
		this->endpointsChanged(_now, actions);
	}
	return actions;
}

FeedActions FeedExchange::onAsk(const std::string& _from, const FeedAsk& _ask, Micros _now)
{
	Follower& follower = this->followers[_from];
	follower.version = _ask.version;
	follower.revision = _ask.source == this->id ? _ask.revision : 0;
	follower.askedAt = _ask.sentAt;
	follower.until = _now + this->config.followerLife;
	return {SendFeedNews{_from, this->newsFor(follower, _now)}};
}

FeedNews FeedExchange::newsFor(Follower& _follower, Micros _now) const
{
	const bool reads = this->reading && !this->routesLost && !this->listingLost && this->ready();
	FeedNews news;
	news.source = this->id;
	news.answers = _follower.askedAt;
	news.version = this->held.version;
	if (this->held.version > _follower.version)
	{
		news.record = this->held.record;
		_follower.version = this->held.version;
	}
	if (reads)
	{
		news.age = _now - std::min(this->routesReadAt, this->directory.readAt());
		news.endpoints = this->directory.changesSince(_follower.revision);
		_follower.revision = news.endpoints.revision;
	}
	return news;
}

/// Passes on what is new as soon as it is known here.
void FeedExchange::tellFollowers(Micros _now, FeedActions& _actions)
{
	std::erase_if(this->followers, [_now](const auto& _entry) { return _entry.second.until < _now; });
	for (auto& entry : this->followers)
	{
		_actions.emplace_back(SendFeedNews{entry.first, this->newsFor(entry.second, _now)});
	}
}

void FeedExchange::endpointsChanged(Micros _now, FeedActions& _actions)
{
	_actions.emplace_back(EndpointsChanged{});
	this->tellFollowers(_now, _actions);
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
	this->relay.heard(_from, _news.age ? std::optional(asked - *_news.age) : std::nullopt);
	const bool isNew =
		_news.endpoints.whole || _news.source != this->sourceId || _news.endpoints.revision != this->sourceRevision;
	if (!_news.age || !isNew)
	{
		return actions;
	}
	this->sourceId = _news.source;
	this->sourceRevision = _news.endpoints.revision;
	this->directory.take(_news.endpoints, _now);
	this->listingKnown = true;
	this->endpointsChanged(_now, actions);
	return actions;
}

FeedActions FeedExchange::holdRoutes(HeldRoutes _routes, Micros _now)
{
	FeedActions actions;
	this->held = std::move(_routes);
	this->tellFollowers(_now, actions);
	return actions;
}

void FeedExchange::routesRead(Micros _begunAt)
{
	this->routesLost = false;
	this->routesReadAt = _begunAt;
}

FeedActions FeedExchange::endpointsRead(const ListingRead& _read, Micros _now)
{
	FeedActions actions;
	this->listingLost = false;
	const bool changed = this->directory.read(_read, _now);
	const bool first = !std::exchange(this->listingKnown, true);
	if (first || changed)
	{
		this->endpointsChanged(_now, actions);
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
		this->directory.take(DirectoryChanges{0, 0, false, _endpoints, {}}, _now);
	}
	for (const std::string& endpoint : _leaving)
	{
		this->directory.markLeaving(endpoint);
	}
	this->endpointsChanged(_now, actions);
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

bool FeedExchange::sourceLost() const
{
	return this->relay.sourceLost();
}

} // namespace roadferry
