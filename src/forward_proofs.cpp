/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Which process answers an attempt: streams begin and go on only at processes whose version is certain.

#include "clock.h"
#include "forward_active.h"
#include "logging.h"

namespace roadferry
{

namespace
{

constexpr Micros kIdentityCheckInterval = kSecond;    ///< Between two checks of one endpoint.
constexpr Micros kProvenLifetime = 20 * kMillisecond; ///< Age of proven endpoints that are only to be preferred.
constexpr Micros kOpenInterval = 500 * kMillisecond;  ///< Between two tries to open missing connections.
constexpr std::size_t kMaxIdentityChecks = 2;         ///< In progress at a time.
constexpr std::size_t kMaxKeptOpen = 32;              ///< Endpoints of a pool to which connections are kept open.
constexpr std::size_t kMaxUnprovenOrigins = 5'000;    ///< Kept; a stream beyond them cannot be taken up.

/// @param[in] _sinceFirstEvent Time from the first event of the stream until its version was certain.
/// @param[in] _isEnded Whether its answer has ended: a client that takes it up before now finds no record.
void logOriginProven(const std::string& _stream, const std::string& _version, Micros _sinceFirstEvent, bool _isEnded)
{
	logEvent("request", "stream_origin_proven",
			 {{"request", _stream},
			  {"software", _version},
			  {"after_ms", _sinceFirstEvent / kMillisecond},
			  {"ended", _isEnded}});
}

} // namespace

void ForwardTraffic::addProofs(const std::vector<ProcessProof>& _proofs)
{
	this->pool.post(0,
					[this, _proofs]
					{
						for (const ProcessProof& proof : _proofs)
						{
							this->proofs.add(proof);
						}
						this->bindProvenStreams();
					});
}

/// Whether the attempt of a request may run only at a process that certainly has the version that its stream needs. One
/// version listed is no proof: the next process under an id may be of another version, or of another pool.
bool ForwardTraffic::needsProof(const ActiveRequest& _active)
{
	return _active.streamVersion && !_active.endpointName.empty();
}

/// Sets which connections an attempt prefers or needs.
void ForwardTraffic::chooseConnection(CallSpec& _spec, const ActiveRequest& _active) const
{
	_spec.idleOpenedBefore = this->proofs.openedBefore(_active.endpoint);
	if (needsProof(_active))
	{
		_spec.needsIdleOpenedBefore = true;
		_spec.forceNewConnection = false;
	}
}

/// Whether the connection of the attempt that has just started leads to the listed process of its endpoint.
bool ForwardTraffic::isProcessProven(const ActiveRequest& _active) const
{
	return _active.endpointName.empty() || this->proofs.isProven(_active.endpoint, _active.call->connectionOpenedAt());
}

/// @returns The version of the process that began a stream, as far as it is certain. It may have started under the
/// entry of the endpoint to which the attempt was sent, and be listed by now.
std::optional<std::string> ForwardTraffic::provenVersion(const ActiveRequest& _active) const
{
	const bool isListed = this->proofs.instanceOf(_active.endpoint) == _active.instance;
	if (_active.processProven || (isListed && this->proofs.isProven(_active.endpoint, _active.connectionOpenedAt)))
	{
		return _active.endpointVersion;
	}
	const Endpoint* listed = this->proofs.findListed(_active.endpointName);
	const bool isLater = listed != nullptr && this->proofs.instanceOf(listed->id) != _active.instance &&
						 listed->pool == _active.pool && listed->address == _active.endpointAddress;
	// Its end may not have been read yet, although the next process is listed.
	const bool isOpen = isLater && _active.call != nullptr && _active.call->isConnectionOpen();
	return isOpen && this->proofs.isProven(listed->id, _active.connectionOpenedAt)
			   ? std::optional(listed->softwareVersion)
			   : std::nullopt;
}

/// Binds the streams whose version has become certain.
void ForwardTraffic::bindProvenStreams()
{
	const std::set<std::uint64_t> unbound = this->unboundStreams;
	for (const std::uint64_t id : unbound)
	{
		const ActiveRequestPtr active = this->findActive(id);
		const std::optional<std::string> version = this->provenVersion(*active);
		if (version)
		{
			this->unboundStreams.erase(id);
			logOriginProven(active->streamId, *version, monotonicNow() - active->answer.times().firstAt, false);
			this->bindStream(*active, *version);
		}
	}
	this->recordProvenOrigins();
}

/// Called when a request ends whose stream is not bound: its client may take it up.
void ForwardTraffic::keepUnprovenOrigin(const ActiveRequest& _active)
{
	if (this->unprovenOrigins.size() < kMaxUnprovenOrigins)
	{
		this->unprovenOrigins.push_back(UnprovenOrigin{recordOf(_active, _active.endpointVersion), _active.endpoint,
													   _active.instance, _active.answer.times().firstAt});
	}
}

/// Records the streams that have ended and whose process has been proven since: it was listed before the stream began
/// and has run after its first event, so it is the one that sent that event, although the connection is closed.
void ForwardTraffic::recordProvenOrigins()
{
	const Micros now = monotonicNow();
	const std::vector<UnprovenOrigin> kept = std::exchange(this->unprovenOrigins, {});
	for (const UnprovenOrigin& origin : kept)
	{
		const bool isListed = this->proofs.instanceOf(origin.endpoint) == origin.instance;
		if (isListed && this->proofs.isProven(origin.endpoint, origin.firstEventAt))
		{
			logOriginProven(origin.record.request, origin.record.origin.version, now - origin.firstEventAt, true);
			this->perform(this->origins.record(origin.record, now));
		}
		else if (origin.record.expiresAt > now)
		{
			this->unprovenOrigins.push_back(origin);
		}
	}
}

/// Decides on a stream that broke before it was certain which version had begun it. If its pool has only one, by a
/// listing from after the stream began, it goes on there: an older one does not show the process that began it.
/// @returns Whether the request was ended.
bool ForwardTraffic::endIfVersionUnknown(const ActiveRequestPtr& _active)
{
	if (this->unboundStreams.count(_active->id) == 0)
	{
		return false;
	}
	const Micros now = monotonicNow();
	const std::optional<std::string> version = this->origins.onlyVersion(_active->pool, 0, now);
	const bool isListedSince = this->freshness.listingAsOf >= _active->answer.times().firstAt;
	if (version && isListedSince)
	{
		this->unboundStreams.erase(_active->id);
		this->bindStream(*_active, *version);
		return false;
	}
	if (std::exchange(_active->submitted, false))
	{
		this->perform(this->dispatcher.cancel(_active->id, now));
	}
	this->giveUp(_active, Reason::VersionUnknown, 0);
	return true;
}

/// Tells the dispatcher to which endpoints of a pool there is a connection that leads to the listed process.
void ForwardTraffic::refreshProven(const std::string& _pool, Micros _now)
{
	if (!this->proofs.isNeededIn(_pool))
	{
		this->forgetProven(_pool);
		return;
	}
	this->provenSetAt[_pool] = _now;
	ProvenEndpoints proven{this->proofs.othersOf(_pool), true};
	for (const Endpoint& endpoint : this->proofs.endpointsOf(_pool))
	{
		const Micros openedBefore = this->proofs.openedBefore(endpoint.id);
		const bool isReached = openedBefore > 0 && !this->endpointCalls.isPathLost(endpoint.id);
		if (isReached && this->endpointCalls.hasIdle(endpoint.address, openedBefore))
		{
			proven.ids.insert(endpoint.id);
		}
	}
	this->dispatcher.setProven(_pool, proven);
}

void ForwardTraffic::forgetProven(const std::string& _pool)
{
	if (this->provenSetAt.erase(_pool) > 0)
	{
		this->dispatcher.setProven(_pool, {});
	}
}

/// Does so before a request is submitted. A stream that begins at a proven process can go on in any case, so these are
/// preferred while its pool has several versions.
void ForwardTraffic::refreshProvenFor(const ActiveRequest& _active, Micros _now)
{
	if (_active.streamVersion)
	{
		this->refreshProven(_active.pool, _now);
		return;
	}
	if (!_active.route.streaming)
	{
		return;
	}
	const bool matters = this->proofs.isNeededIn(_active.pool) && this->origins.isAmbiguous(_active.pool, _now);
	if (!matters)
	{
		this->forgetProven(_active.pool);
		return;
	}
	const auto setAt = this->provenSetAt.find(_active.pool);
	if (setAt == this->provenSetAt.end() || _now - setAt->second >= kProvenLifetime)
	{
		this->refreshProven(_active.pool, _now);
	}
}

/// While requests wait for a software version, looks for endpoints that certainly have it. While streams are not bound,
/// looks which processes began them.
void ForwardTraffic::refreshAwaited(Micros _now)
{
	std::set<std::string> pools;
	for (const PoolVersion& awaited : this->dispatcher.awaitedVersions())
	{
		if (pools.insert(awaited.first).second)
		{
			this->refreshProven(awaited.first, _now);
		}
		this->checkIdentities(awaited, _now);
	}
	for (const std::uint64_t id : this->unboundStreams)
	{
		const ActiveRequest& active = *this->activeRequests.at(id);
		const Endpoint* listed = this->proofs.findListed(active.endpointName);
		const bool isListed = listed != nullptr && listed->id == active.endpoint;
		if (isListed && this->origins.isAmbiguous(active.pool, _now))
		{
			this->checkIdentity(*listed, _now);
		}
	}
}

/// Keeps connections to endpoints on which streams may need a proven one, since it takes up to a write of the
/// endpoint's entry until a connection is proven.
void ForwardTraffic::openConnections(Micros _now)
{
	if (_now < this->nextOpenAt || this->plan == nullptr)
	{
		return;
	}
	this->nextOpenAt = _now + kOpenInterval;
	std::erase_if(this->tellingNoStart, [this](const std::string& _id) { return !this->proofs.isNeeded(_id); });
	std::set<std::string> pools;
	for (const Route& route : this->plan->data().routes)
	{
		for (const PoolShare& share : route.pools)
		{
			const bool isNew = route.streaming && pools.insert(share.pool).second;
			if (isNew && this->proofs.isNeededIn(share.pool) && this->origins.isAmbiguous(share.pool, _now))
			{
				this->openConnectionsIn(share.pool, _now);
			}
		}
	}
}

void ForwardTraffic::openConnectionsIn(const std::string& _pool, Micros _now)
{
	const std::size_t maxIdle = maxIdleConnections(this->plan->pool(_pool), this->liveNodes);
	if (maxIdle == 0)
	{
		return;
	}
	std::map<std::string, std::string> addresses; // By id.
	std::vector<std::string> ids;
	for (const Endpoint& endpoint : this->proofs.endpointsOf(_pool))
	{
		if (!endpoint.leaving)
		{
			addresses[endpoint.id] = endpoint.address;
			ids.push_back(endpoint.id);
		}
	}
	const bool areFew = ids.size() <= kMaxKeptOpen;
	for (const std::string& id : areFew ? ids : rendezvousNodes(this->self, ids, kMaxKeptOpen))
	{
		if (!this->endpointCalls.hasIdle(addresses[id], _now))
		{
			this->endpointCalls.openIdle(addresses[id], maxIdle);
		}
		if (!this->isReachedProven(id, addresses[id]) && this->tellingNoStart.count(id) == 0)
		{
			this->unaskedEndpoints.insert(this->proofs.sharedNameOf(id));
		}
	}
}

/// @returns Whether there is an idle connection that certainly leads to the listed process of an endpoint.
bool ForwardTraffic::isReachedProven(const std::string& _endpoint, const std::string& _address) const
{
	const Micros openedBefore = this->proofs.openedBefore(_endpoint);
	return openedBefore > 0 && this->endpointCalls.hasIdle(_address, openedBefore);
}

/// Asks the processes to which connections are kept open who they are, one at a time: until the next write of its entry
/// proves a connection, a process may have started and ended again, and streams that began there cannot be taken up.
void ForwardTraffic::askNextOpened(Micros _now)
{
	while (this->identityChecks == 0 && !this->unaskedEndpoints.empty())
	{
		const std::string name = *this->unaskedEndpoints.begin();
		this->unaskedEndpoints.erase(this->unaskedEndpoints.begin());
		const Endpoint* listed = this->proofs.findListed(name);
		const bool canTell = listed != nullptr && listed->tellsStart;
		if (canTell && this->endpointCalls.hasIdle(listed->address, _now) &&
			!this->isReachedProven(listed->id, listed->address))
		{
			this->startIdentityCheck(*listed);
		}
	}
}

/// Asks the processes of a version who they are to which no connection is known to lead. The proven ones may be those
/// that a waiting request avoids.
void ForwardTraffic::checkIdentities(const PoolVersion& _wanted, Micros _now)
{
	std::vector<Endpoint> unproven;
	for (const Endpoint& endpoint : this->proofs.endpointsOf(_wanted.first))
	{
		if (endpoint.softwareVersion != _wanted.second || endpoint.leaving)
		{
			continue;
		}
		if (!this->isReachedProven(endpoint.id, endpoint.address))
		{
			unproven.push_back(endpoint);
		}
	}
	for (const Endpoint& endpoint : unproven)
	{
		this->checkIdentity(endpoint, _now);
	}
}

/// Asks the process at an endpoint's address who it is, unless it was asked lately.
void ForwardTraffic::checkIdentity(const Endpoint& _endpoint, Micros _now)
{
	const auto checkedAt = this->identityCheckedAt.find(_endpoint.id);
	const bool isDue = checkedAt == this->identityCheckedAt.end() || _now - checkedAt->second >= kIdentityCheckInterval;
	if (!isDue || !_endpoint.tellsStart || this->identityChecks >= kMaxIdentityChecks)
	{
		return;
	}
	std::erase_if(this->identityCheckedAt,
				  [&](const auto& _entry) { return _now - _entry.second >= kIdentityCheckInterval; });
	this->identityCheckedAt[_endpoint.id] = _now;
	this->startIdentityCheck(_endpoint);
}

void ForwardTraffic::startIdentityCheck(const Endpoint& _endpoint)
{
	this->identityChecks += 1;
	this->identity.start(_endpoint.id, _endpoint.address,
						 [this, endpoint = _endpoint.id](ProcessIdentity _identity, Micros _openedAt)
						 {
							 this->identityChecks -= 1;
							 logEvent("endpoint", "identity_checked",
									  {{"endpoint", endpoint}, {"identity", std::string(nameOf(_identity))}});
							 this->addIdentity(endpoint, _identity, _openedAt);
						 });
}

/// Uses the answer of a process about itself as evidence.
/// @param[in] _openedAt Time point at which its connection was opened, 0 if another node made it.
void ForwardTraffic::addIdentity(const std::string& _endpoint, ProcessIdentity _identity, Micros _openedAt)
{
	if (_identity == ProcessIdentity::Unknown)
	{
		this->tellingNoStart.insert(_endpoint);
	}
	if (_identity == ProcessIdentity::Same && _openedAt > 0 && this->proofs.canIdentify(_endpoint))
	{
		this->proofs.add(ProcessProof{_endpoint, _openedAt});
		this->bindProvenStreams();
	}
}

} // namespace roadferry
