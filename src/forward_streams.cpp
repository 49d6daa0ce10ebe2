/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Streams that clients take up again: which software version began them, and what follows for the request.

#include "clock.h"
#include "forward_active.h"
#include "logging.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr unsigned kUnavailable = 503;
constexpr Micros kMinStreamAge = 20 * kSecond; ///< As StreamOriginsConfig::minStreamAge.

} // namespace

void ForwardTraffic::receive(const std::string& _from, const OriginMessage& _message)
{
	this->pool.post(0,
					[this, _from, _message] { this->perform(this->origins.receive(_from, _message, monotonicNow())); });
}

void ForwardTraffic::perform(const OriginActions& _actions)
{
	for (const OriginAction& action : _actions)
	{
		std::visit(Overloaded{[&](const SendOriginMessage& _send) { this->sendOrigin(_send.to, _send.message); },
							  [&](const OriginResolved& _resolved) { this->onOriginResolved(_resolved); },
							  [&](const SavedVersions& _versions) { this->saveVersions(_versions); },
							  [&](const SaveStreamRecords& _records) { this->saveRecords(_records); }},
				   action);
	}
}

void ForwardTraffic::setSaved(const SavedOrigins& _saved)
{
	this->pool.post(0, [this, _saved] { this->perform(this->origins.setSaved(_saved, monotonicNow())); });
}

void ForwardTraffic::onSaved(const SavedVersions& _saved, bool _succeeded)
{
	this->pool.post(0,
					[this, _saved, _succeeded] { this->origins.onVersionsSaved(_saved, _succeeded, monotonicNow()); });
}

void ForwardTraffic::onSaved(const SaveStreamRecords& _save, bool _succeeded)
{
	this->pool.post(0, [this, _save, _succeeded] { this->origins.onRecordsSaved(_save, _succeeded, monotonicNow()); });
}

/// The first event of a stream is about to be sent to the client: what two software versions write does not fit
/// together, so the stream may only continue at this one, here and at other nodes. While it is not certain which
/// version that is, nothing is recorded.
void ForwardTraffic::onStreamStarted(ActiveRequest& _active)
{
	logEvent("request", "stream_began",
			 {{"request", _active.request.id},
			  {"endpoint", _active.endpoint},
			  {"software", _active.endpointVersion},
			  connectionAgeField(_active, monotonicNow()),
			  {"process_proven", _active.processProven}});
	const Micros openedAt = _active.call == nullptr ? 0 : _active.call->connectionOpenedAt();
	_active.connectionOpenedAt = openedAt > 0 ? openedAt : _active.attemptHeadAt;
	const std::optional<std::string> version =
		_active.streamVersion ? _active.streamVersion : this->provenVersion(_active);
	if (!version)
	{
		this->unboundStreams.insert(_active.id);
		return;
	}
	this->bindStream(_active, *version);
}

/// Restricts a stream that has begun to the version that has begun it.
void ForwardTraffic::bindStream(ActiveRequest& _active, const std::string& _version)
{
	if (!_active.streamVersion)
	{
		_active.streamVersion = _version;
		this->dispatcher.requireVersion(_active.id, _version);
	}
	this->perform(this->origins.record(recordOf(_active, *_active.streamVersion), monotonicNow()));
}

/// @returns What other nodes need to know of a stream.
StreamRecord ForwardTraffic::recordOf(const ActiveRequest& _active, const std::string& _version)
{
	const Micros clientTime = _active.request.clientTimeout.value_or(0);
	const Micros expiresAt = _active.arrivedAt + std::max(clientTime, _active.route.timeLimit);
	return StreamRecord{_active.streamId, StreamOrigin{_active.pool, _version, _active.isResumable}, expiresAt};
}

/// Whether requests like this one ran in other pools within a time, so that the pool of now says nothing of the stream.
bool ForwardTraffic::hasMoved(const ActiveRequest& _active, Micros _within) const
{
	const Micros since = _active.arrivedAt - _within;
	const auto ranElsewhere = [&](const EarlierPlan& _earlier)
	{
		const Route* route =
			_earlier.until < since ? nullptr : _earlier.plan->match(_active.request.host, _active.request.target);
		return route != nullptr && route->pools != _active.route.pools;
	};
	return std::any_of(this->earlierPlans.begin(), this->earlierPlans.end(), ranElsewhere);
}

/// Looks up the version that began the stream of a request; the request continues in onOriginResolved(). The route of
/// now may differ from that under which the stream began: if it gives no right to take it up, the record must tell that
/// the earlier one did; if it leads to other pools, only the record tells which one began it.
void ForwardTraffic::findOrigin(const ActiveRequestPtr& _active)
{
	const Micros within = std::max(_active->request.clientTimeout.value_or(0), _active->route.timeLimit);
	const bool needsRecord = !_active->isResumable || this->hasMoved(*_active, std::max(within, kMinStreamAge));
	const OriginLookup lookup =
		this->origins.find(_active->streamId, _active->pool, within, _active->arrivedAt, needsRecord);
	this->originLookups.emplace(lookup.id, _active);
	this->perform(lookup.actions);
}

void ForwardTraffic::onOriginResolved(const OriginResolved& _resolved)
{
	const auto found = this->originLookups.find(_resolved.lookup);
	if (found == this->originLookups.end())
	{
		return; // It was refused at the end of a planned stop.
	}
	const ActiveRequestPtr active = found->second;
	this->originLookups.erase(found);
	const ForwardRequest& request = active->request;
	logEvent("request", "stream_resumed",
			 {{"request", request.id},
			  {"began_as", request.resumed->firstRequestId},
			  {"after_event", request.resumed->lastEventId},
			  {"software", _resolved.origin ? _resolved.origin->version : std::string()},
			  {"source", _resolved.source},
			  {"waited_ms", (monotonicNow() - active->arrivedAt) / kMillisecond}});
	if (!active->isResumable && !(_resolved.origin && _resolved.origin->isResumable))
	{
		this->onNotResumable(active);
		return;
	}
	if (!_resolved.origin)
	{
		this->refuse(request.id, request.target, active->answer.reply(), kUnavailable,
					 std::string(nameOf(Reason::VersionUnknown)),
					 "this node does not know which software version began the stream");
		return;
	}
	active->isResumable = true;
	active->isRepeatable = true;
	active->answer.allowRepeats();
	active->stagesDeadline = active->deadline; // Its client has no time to try another node.
	active->pool = _resolved.origin->pool;
	active->streamVersion = _resolved.origin->version;
	if (!this->dispatcher.servesVersion(active->pool, *active->streamVersion))
	{
		this->refuse(request.id, request.target, active->answer.reply(), kUnavailable,
					 std::string(nameOf(Reason::VersionGone)),
					 "no endpoint of the software version that began the stream is left");
		return;
	}
	this->beginRequest(active);
}

/// Decides on a request that takes up a stream which may not be taken up, as far as this node knows. One whose client
/// has no event begins anew. The others are refused: this node may be behind, so that another one can serve it.
void ForwardTraffic::onNotResumable(const ActiveRequestPtr& _active)
{
	const ForwardRequest& request = _active->request;
	if (request.resumed->lastEventId.empty())
	{
		_active->streamId = request.id;
		this->beginRequest(_active);
		return;
	}
	this->refuse(request.id, request.target, _active->answer.reply(), kUnavailable, "not_resumable",
				 "the stream may not be taken up by the routes of this node");
}

} // namespace roadferry
