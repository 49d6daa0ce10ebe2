/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of a node's copy of the platform's topics.

#include <roadferry/parts/feed_exchange.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

FeedExchange::FeedExchange(std::string _self, FeedRelayConfig _relay, DirectoryConfig _directory,
						   std::uint64_t _directoryId)
	: config(_relay), relay(std::move(_self), _relay), directory(_directory), directoryId(_directoryId)
{
}

void FeedExchange::setMembers(const std::vector<std::string>& _members)
{
	this->relay.setMembers(_members);
}

FeedActions FeedExchange::tick(Micros _now)
{
	FeedActions actions;
	const FeedRelayStep step = this->relay.tick(_now, this->unavailable());
	if (step.readsDirectly != this->reading)
	{
		this->reading = step.readsDirectly;
		this->routesReadFailed = false;
		this->listingReadFailed = false;
		if (step.readsDirectly)
		{
			actions.emplace_back(StartReading{});
		}
		else
		{
			actions.emplace_back(StopReading{});
		}
	}
	if (!step.requestFrom.empty())
	{
		this->sendRequest(step.requestFrom, _now, actions);
	}
	if (!this->listingReadFailed && this->directory.expire(_now))
	{
		this->addEndpointsChanged(actions);
	}
	this->answerOverdueRequests(_now, actions);
	return actions;
}

void FeedExchange::sendRequest(const std::string& _to, Micros _now, FeedActions& _actions) const
{
	_actions.emplace_back(
		SendFeedRequest{_to, FeedRequest{this->currentRoutes.version, this->sourceId, this->sourceRevision, _now}});
}

FeedActions FeedExchange::requestNext(Micros _now)
{
	FeedActions actions;
	const std::string to = this->relay.startDueRequest(_now);
	if (!to.empty())
	{
		this->sendRequest(to, _now, actions);
	}
	return actions;
}

FeedActions FeedExchange::onFeedRequest(const std::string& _from, const FeedRequest& _request, Micros _now)
{
	FeedActions actions;
	Follower& follower = this->followers[_from];
	follower = Follower{_request, _now, true};
	if (this->hasChangesFor(follower))
	{
		this->sendResponse(_from, follower, actions);
	}
	return actions;
}

bool FeedExchange::hasChangesFor(const Follower& _follower) const
{
	const bool isUpToDate = _follower.request.directoryId == this->directoryId &&
							_follower.request.revision == this->directory.latestRevision();
	return this->currentRoutes.version > _follower.request.version || (this->readsPlatform() && !isUpToDate);
}

/// @returns Whether this node reads both topics itself, and so can give the age of its data.
bool FeedExchange::readsPlatform() const
{
	return this->reading && !this->routesReadFailed && !this->listingReadFailed && this->ready();
}

FeedResponse FeedExchange::responseFor(const Follower& _follower) const
{
	FeedResponse response;
	response.directoryId = this->directoryId;
	response.requestSentAt = _follower.request.sentAt;
	response.version = this->currentRoutes.version;
	if (this->currentRoutes.version > _follower.request.version)
	{
		response.record = this->currentRoutes.record;
	}
	if (this->readsPlatform())
	{
		response.age = _follower.receivedAt - std::min(this->ownRoutesAsOf, this->directory.ownReadAsOf());
		response.endpoints = this->directory.changesSince(
			_follower.request.directoryId == this->directoryId ? _follower.request.revision : 0);
	}
	return response;
}

void FeedExchange::sendResponse(const std::string& _to, Follower& _follower, FeedActions& _actions) const
{
	_follower.waiting = false;
	_actions.emplace_back(SendFeedResponse{_to, this->responseFor(_follower)});
}

/// Sends changes at once to the followers that have a request waiting, which have received all earlier responses. Over
/// a slow link they get the newest version instead of every intermediate one.
void FeedExchange::notifyFollowers(FeedActions& _actions)
{
	for (auto& entry : this->followers)
	{
		if (entry.second.waiting && this->hasChangesFor(entry.second))
		{
			this->sendResponse(entry.first, entry.second, _actions);
		}
	}
}

/// Removes followers that send no more requests, and answers requests that have waited for maxRequestHold.
void FeedExchange::answerOverdueRequests(Micros _now, FeedActions& _actions)
{
	std::erase_if(this->followers,
				  [&](const auto& _entry) { return _now - _entry.second.receivedAt > this->config.followerTimeout; });
	for (auto& entry : this->followers)
	{
		if (entry.second.waiting && _now - entry.second.receivedAt >= this->config.maxRequestHold)
		{
			this->sendResponse(entry.first, entry.second, _actions);
		}
	}
}

void FeedExchange::addEndpointsChanged(FeedActions& _actions)
{
	_actions.emplace_back(EndpointsChanged{});
	this->notifyFollowers(_actions);
}

FeedActions FeedExchange::onFeedResponse(const std::string& _from, const FeedResponse& _response, Micros _now)
{
	FeedActions actions;
	if (_from != this->relay.source())
	{
		return actions; // A response of a previous source. The responses of the current one include its changes.
	}
	if (!_response.record.empty())
	{
		actions.emplace_back(DecodeRoutes{_response.record, _from});
	}
	// The age was measured when the request arrived. Counting from when it was sent adds the transit time of the
	// request and of the response to the age.
	const Micros sentAt = std::min(_response.requestSentAt, _now);
	const std::optional<Micros> asOf =
		_response.age ? std::optional(std::min(_now, sentAt - *_response.age)) : std::nullopt;
	this->relay.onResponse(_from, asOf);
	if (asOf)
	{
		this->latestRoutesAsOf = std::max(this->latestRoutesAsOf, *asOf);
		this->mergeEndpoints(_response, *asOf, _now, actions);
	}
	actions.emplace_back(RequestNext{});
	return actions;
}

void FeedExchange::mergeEndpoints(const FeedResponse& _response, Micros _asOf, Micros _now, FeedActions& _actions)
{
	this->sourceId = _response.directoryId;
	this->sourceRevision = _response.endpoints.revision;
	const std::uint64_t before = this->directory.latestRevision();
	this->directory.merge(_response.endpoints, _asOf, _now);
	const bool first = !std::exchange(this->listingKnown, true);
	if (first || this->directory.latestRevision() != before)
	{
		this->addEndpointsChanged(_actions);
	}
}

FeedActions FeedExchange::setRoutes(EncodedRoutes _routes)
{
	FeedActions actions;
	this->currentRoutes = std::move(_routes);
	this->notifyFollowers(actions);
	return actions;
}

void FeedExchange::onRoutesRead(Micros _asOf)
{
	this->routesReadFailed = false;
	this->ownRoutesAsOf = _asOf;
	this->latestRoutesAsOf = std::max(this->latestRoutesAsOf, _asOf);
}

FeedActions FeedExchange::onEndpointsRead(const ListingRead& _read, Micros _now)
{
	FeedActions actions;
	this->listingReadFailed = false;
	const bool changed = this->directory.applyRead(_read, _now);
	const bool first = !std::exchange(this->listingKnown, true);
	if (first || changed)
	{
		this->addEndpointsChanged(actions);
	}
	return actions;
}

FeedActions FeedExchange::addPartOfListing(const std::vector<ListedEndpoint>& _endpoints, Micros _now)
{
	FeedActions actions;
	if (this->directory.completeAsOf() > 0 || _endpoints.empty())
	{
		return actions;
	}
	this->listingKnown = true;
	this->directory.merge(DirectoryChanges{0, 0, false, _endpoints, {}}, 0, _now);
	this->addEndpointsChanged(actions);
	return actions;
}

void FeedExchange::onReadFailed(FeedTopic _topic)
{
	(_topic == FeedTopic::Routes ? this->routesReadFailed : this->listingReadFailed) = true;
}

FeedActions FeedExchange::mergePeerEndpoints(const std::vector<ListedEndpoint>& _endpoints,
											 const std::vector<std::string>& _leaving, Micros _now)
{
	FeedActions actions;
	if (!this->listingKnown && !_endpoints.empty())
	{
		this->listingKnown = true;
		this->directory.merge(DirectoryChanges{0, 0, false, _endpoints, {}}, 0, _now);
	}
	for (const std::string& endpoint : _leaving)
	{
		this->directory.markLeaving(endpoint);
	}
	this->addEndpointsChanged(actions);
	return actions;
}

Micros FeedExchange::routesPollWait() const
{
	return this->followers.empty() ? this->config.routesPollWait : this->config.routesPollWaitForFollowers;
}

bool FeedExchange::ready() const
{
	return !this->currentRoutes.record.empty() && this->listingKnown;
}

bool FeedExchange::unavailable() const
{
	return this->routesReadFailed || this->listingReadFailed || !this->ready();
}

const EndpointDirectory& FeedExchange::endpoints() const
{
	return this->directory;
}

std::vector<ProcessProof> FeedExchange::takeProofs()
{
	return this->directory.takeProofs();
}

const EncodedRoutes& FeedExchange::routes() const
{
	return this->currentRoutes;
}

const std::string& FeedExchange::source() const
{
	return this->relay.source();
}

FeedFreshness FeedExchange::freshness(Micros _now) const
{
	const bool unavailable = this->unavailable() || this->relay.sourceUnavailable();
	return FeedFreshness{this->latestRoutesAsOf, this->directory.completeAsOf(), _now, this->relay.source(),
						 unavailable};
}

bool isFeedLeaseValid(const FeedFreshness& _freshness, Micros _now, Micros _lease)
{
	if (_freshness.unavailable)
	{
		return _now - _freshness.checkedAt <= _lease; // The data stays valid while the node keeps checking.
	}
	const Micros asOf = std::min(_freshness.routesAsOf, _freshness.listingAsOf);
	return asOf > 0 && _now - asOf <= _lease;
}

} // namespace roadferry
