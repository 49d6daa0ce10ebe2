/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Forwarded requests from arrival to response; forward_stages.cpp has the handling of their stages.

#include "clock.h"
#include "forward_active.h"
#include "logging.h"
#include "request_digest.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <xxhash.h>

namespace roadferry
{

namespace
{

constexpr Micros kTickPeriod = 20 * kMillisecond;
/// Retry-After of a node that cannot serve the request; another node can.
constexpr Micros kOtherNodeRetryAfter = 300 * kMillisecond;
constexpr std::size_t kMaxEarlierPlans = 16; ///< The routes change every ten seconds at the size that decides.
constexpr Micros kDefaultClientTimeout = 60 * kSecond;       ///< Used when the client gives no timeout.
constexpr Micros kLateTickLogThreshold = 300 * kMillisecond; ///< Lateness of a tick that is logged.
constexpr double kMicrosPerSecond = 1e6;
/// Share of the client's timeout after which a request with incomplete stages is refused: the rest must be enough for
/// another attempt, and a client that waits longer could have used another node.
constexpr double kStagesTimeShare = 0.45;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

/// @returns Hash of the prompt parts that other requests may share, 0 when there are none.
std::uint64_t hashSharedPrefix(const std::vector<PromptPart>& _prompt)
{
	std::uint64_t hash = 0;
	for (std::size_t index = 0; index + 1 < _prompt.size(); ++index)
	{
		hash = XXH3_64bits_withSeed(&_prompt[index].id, sizeof(_prompt[index].id), hash);
	}
	return hash;
}

/// @returns A gauge in Prometheus text format, empty while the age is unknown.
std::string ageGauge(const char* _name, Micros _knownAt, Micros _now)
{
	if (_knownAt == 0)
	{
		return {};
	}
	const double seconds = static_cast<double>(_now - _knownAt) / kMicrosPerSecond;
	return absl::StrCat("# TYPE ", _name, " gauge\n", _name, " ", seconds, "\n");
}

/// @returns The pools of the routes whose streams may be taken up again.
std::set<std::string> resumablePools(const RoutePlan& _plan)
{
	std::set<std::string> pools;
	for (const Route& route : _plan.data().routes)
	{
		if (route.resumable)
		{
			for (const PoolShare& share : route.pools)
			{
				pools.insert(share.pool);
			}
		}
	}
	return pools;
}

StreamOriginsConfig originsConfig(const ForwardSettings& _settings)
{
	StreamOriginsConfig config;
	config.firstLookup = _settings.firstNumber;
	config.saver.firstSlot = _settings.firstNumber;
	return config;
}

} // namespace

ForwardTraffic::ForwardTraffic(IoPool& _pool, HttpClient& _client, const WireFormat& _wire, Metrics& _metrics,
							   const ForwardSettings& _settings, const ForwardSends& _sends)
	: pool(_pool), endpointCalls(_pool, _client, _settings.firstNumber, _sends.call), wire(_wire), metrics(_metrics),
	  dispatcher(_settings.dispatcher), maxResponseBytes(_settings.maxResponseBytes),
	  responseBudget(_settings.responseMemory), self(_settings.self), lease(_settings.lease),
	  crashes(this->endpointCalls, _settings.crashes,
			  CrashMonitorHandlers{_sends.crash,
								   [this](const EndpointCrash& _crash, const std::string& _from)
								   { this->onEndpointCrash(_crash, _from); },
								   [this](const BrokenCall& _ended, IdentityHandler _done)
								   { this->identifyAtEnd(_ended, std::move(_done)); }}),
	  parts(_settings.self, _settings.parts), sendPart(_sends.part), sendRejectionLimit(_sends.rejectionLimit),
	  origins(_settings.self, originsConfig(_settings)), sendOrigin(_sends.origin), saveVersions(_sends.saveVersions),
	  saveRecords(_sends.saveRecords), sendStreamEndQuery(_sends.streamEndQuery), sendStreamEnd(_sends.streamEnd),
	  sendPoolEnds(_sends.poolEnds), identity(_client, _wire),
	  pieces(this->endpointCalls, _wire, crashes, PieceScheduler(_settings.self, _settings.pieces),
			 PieceHandlers{[this](const PieceStarted& _started) { this->onPieceStarted(_started); },
						   [this](const PieceCompleted& _completed) { this->onPieceCompleted(_completed); },
						   [this](const PieceFailed& _failed) { this->onPieceFailed(_failed); }, _sends.piece}),
	  lastOrder(_settings.firstNumber)
{
}

ForwardTraffic::~ForwardTraffic() = default;

void ForwardTraffic::start()
{
	this->pool.runEvery(0, kTickPeriod, [this] { this->tick(); });
}

void ForwardTraffic::setPlan(const std::shared_ptr<const RoutePlan>& _plan)
{
	this->pool.post(0,
					[this, _plan]
					{
						if (this->plan != nullptr)
						{
							this->earlierPlans.push_back(EarlierPlan{this->plan, monotonicNow()});
						}
						if (this->earlierPlans.size() > kMaxEarlierPlans)
						{
							this->earlierPlans.pop_front();
						}
						this->plan = _plan;
						this->pieces.setPlan(*_plan);
						this->perform(this->origins.setResumablePools(resumablePools(*_plan), monotonicNow()));
					});
}

void ForwardTraffic::setEndpoints(const std::vector<Endpoint>& _endpoints, std::uint64_t _position)
{
	this->pool.post(0,
					[this, _endpoints, _position]
					{
						this->listingPosition = _position;
						this->proofs.setEndpoints(_endpoints);
						this->dispatcher.setEndpoints(_endpoints);
						this->pieces.setEndpoints(_endpoints, _position);
						this->endpointCalls.setEndpoints(_endpoints);
						this->crashes.setEndpoints(_endpoints);
						this->perform(this->origins.setEndpoints(_endpoints, _position > 0, monotonicNow()));
						this->bindProvenStreams();
					});
}

void ForwardTraffic::setFreshness(const FeedFreshness& _freshness)
{
	this->pool.post(
		0,
		[this, _freshness]
		{
			const bool isGap =
				this->freshness.listingAsOf > 0 && _freshness.listingAsOf - this->freshness.listingAsOf > this->lease;
			if (isGap)
			{
				this->origins.onListingGap(monotonicNow());
			}
			this->freshness = _freshness;
			this->perform(this->origins.setListedUpTo(_freshness.listingAsOf, !_freshness.unavailable, monotonicNow()));
			this->proofs.setFollowedListing(_freshness.source.empty() ? 0 : _freshness.listingAsOf);
			this->bindProvenStreams();
		});
}

void ForwardTraffic::setMembers(const std::vector<std::string>& _members,
								const std::vector<std::string>& _batchingNodes)
{
	this->pool.post(0,
					[this, _members, _batchingNodes]
					{
						this->liveNodes = std::max<std::size_t>(1, _members.size());
						this->dispatcher.setNodes(this->self, _members);
						this->pieces.setMembers(_members, _batchingNodes);
						std::vector<std::string> others = _members;
						std::erase(others, this->self);
						this->peers = others;
						this->parts.setPeers(others);
						this->crashes.setPeers(others);
						this->perform(this->origins.setMembers(_members, monotonicNow()));
					});
}

void ForwardTraffic::setRetryBounds(const RetryBounds& _bounds)
{
	this->pool.post(0, [this, _bounds] { this->dispatcher.setRetryBounds(_bounds, monotonicNow()); });
}

void ForwardTraffic::setRelays(const std::vector<RelayNode>& _nodes)
{
	this->pool.post(0, [this, _nodes] { this->endpointCalls.setRelays(_nodes); });
}

void ForwardTraffic::receive(const std::string& _from, const CallMessage& _message)
{
	this->pool.post(0, [this, _from, _message] { this->endpointCalls.receive(_from, _message); });
}

void ForwardTraffic::receive(const std::string& _from, const RejectionLimitNotice& _notice)
{
	this->pool.post(0,
					[this, _from, _notice]
					{
						RejectionLimitNotice copy = _notice;
						copy.forwardTo.clear();
						for (const std::string& next : _notice.forwardTo)
						{
							this->sendRejectionLimit(next, copy);
						}
						if (this->dispatcher.recordRejectionLimit(_notice.pool, _notice.perSecond, monotonicNow()))
						{
							logEvent("endpoint", "rejection_limit",
									 {{"pool", _notice.pool}, {"per_second", _notice.perSecond}, {"from", _from}});
						}
					});
}

void ForwardTraffic::receive(const std::string& _from, const PieceMessage& _message)
{
	this->pool.post(0, [this, _from, _message] { this->pieces.receive(_from, _message); });
}

void ForwardTraffic::receive(const std::string& _from, const CrashMessage& _message)
{
	this->pool.post(0,
					[this, _from, _message]
					{
						this->crashes.receive(_from, _message, monotonicNow());
						if (std::holds_alternative<CrashReportRequest>(_message))
						{
							this->perform(this->parts.tellVerdicts(_from, monotonicNow()));
							this->sendAllPoolEnds(_from, monotonicNow());
						}
					});
}

void ForwardTraffic::setCrashMemory(Micros _memory)
{
	this->pool.post(0,
					[this, _memory]
					{
						this->crashes.setMemory(_memory);
						this->parts.setMemory(_memory);
					});
}

void ForwardTraffic::peerClosed(const std::string& _peer)
{
	this->pool.post(0,
					[this, _peer]
					{
						this->endpointCalls.peerClosed(_peer);
						this->pieces.peerClosed(_peer);
						this->perform(this->origins.peerClosed(_peer, monotonicNow()));
					});
}

std::size_t ForwardTraffic::inFlight() const
{
	return this->activeCount + this->callsForOthers;
}

std::string ForwardTraffic::metricsText() const
{
	DispatcherCounters counters;
	counters.attempts = this->attemptCount;
	counters.retries = this->retryCount;
	const Micros now = monotonicNow();
	return absl::StrCat(
		this->metrics.toPrometheus(counters, this->activeCount), this->crashes.metricsText(),
		this->endpointCalls.metricsText(), "# TYPE roadferry_limited_pools gauge\nroadferry_limited_pools ",
		this->dispatcher.limitedPools(now), "\n",
		"# TYPE roadferry_unproven_ends_total counter\nroadferry_unproven_ends_total ", this->unprovenEndCount, "\n",
		"# TYPE roadferry_doubted_pools gauge\nroadferry_doubted_pools ", this->poolStreams.doubtedCount(now), "\n",
		"# TYPE roadferry_blocked_parts gauge\nroadferry_blocked_parts ", this->parts.blockedCount(), "\n",
		"# TYPE roadferry_live_nodes gauge\nroadferry_live_nodes ", this->liveNodes,
		"\n# TYPE roadferry_response_bytes gauge\nroadferry_response_bytes ", this->responseBudget.total(), "\n",
		ageGauge("roadferry_routes_age_seconds", this->freshness.routesAsOf, now),
		ageGauge("roadferry_listing_age_seconds", this->freshness.listingAsOf, now));
}

/// Returns the age of the routes in use, -1 while unknown.
LogField ForwardTraffic::routesAgeField(Micros _now) const
{
	return {"routes_age_ms", this->freshness.routesAsOf == 0 ? -1 : (_now - this->freshness.routesAsOf) / kMillisecond};
}

/// Returns the age of the endpoint listing in use, -1 while unknown.
LogField ForwardTraffic::listingAgeField(Micros _now) const
{
	return {"listing_age_ms",
			this->freshness.listingAsOf == 0 ? -1 : (_now - this->freshness.listingAsOf) / kMillisecond};
}

/// Returns how long the connection of the attempt in progress is open, -1 if it is new or opened by another node.
LogField ForwardTraffic::connectionAgeField(const ActiveRequest& _active, Micros _now)
{
	const Micros openedAt = _active.call == nullptr ? 0 : _active.call->connectionOpenedAt();
	return {"connection_ms", openedAt == 0 ? -1 : (_now - openedAt) / kMillisecond};
}

void ForwardTraffic::refuse(const std::string& _id, const std::string& _target,
							const std::shared_ptr<HttpReply>& _reply, unsigned _status, const std::string& _code,
							const std::string& _message)
{
	logEvent("request", "refused",
			 {{"request", _id},
			  {"status", _status},
			  {"reason", _code},
			  {"target", _target},
			  {"routes_version", this->plan == nullptr ? 0 : this->plan->data().version},
			  this->routesAgeField(monotonicNow())});
	ForwardAnswer(this->wire, _reply, {}, false, false, 0)
		.refuse(_status, _status == kUnavailable ? kOtherNodeRetryAfter : 0, _code, _message);
}

bool ForwardTraffic::mayHandleNow() const
{
	return isFeedLeaseValid(this->freshness, monotonicNow(), this->lease);
}

void ForwardTraffic::handle(HttpRequest _request, const std::shared_ptr<HttpReply>& _reply)
{
	if (this->plan == nullptr)
	{
		this->refuse({}, _request.target, _reply, kUnavailable, "not_ready", "the routes are not known yet");
		return;
	}
	const std::string target = _request.target;
	absl::StatusOr<ForwardRequest> decoded = this->wire.parseRequest(std::move(_request));
	if (!decoded.ok())
	{
		this->refuse({}, target, _reply, kBadRequest, "bad_request", std::string(decoded.status().message()));
		return;
	}
	if (!this->mayHandleNow())
	{
		this->refuse(decoded->id, target, _reply, kUnavailable, std::string(nameOf(Reason::RoutesStale)),
					 "this node does not know of the newest routes");
		return;
	}
	const Route* route = this->plan->match(decoded->host, decoded->target);
	if (route == nullptr)
	{
		this->refuse(decoded->id, target, _reply, kNotFound, "not_found", "there is no such route");
		return;
	}
	const bool needsCredential = !route->anonymous && !this->plan->data().workspaces.empty();
	const WorkspaceAccess* workspace = needsCredential ? this->plan->workspaceOf(decoded->credential) : nullptr;
	if (needsCredential && workspace == nullptr)
	{
		this->refuse(decoded->id, target, _reply, kUnauthorized, "unauthorized", "the credential is not known");
		return;
	}
	const RequestDigest digest = digestOf(*decoded);
	if (!this->crashes.mayRun(digest))
	{
		// Not 503: this submission has not run, but an earlier one has, and a later one will not be served either.
		this->refuse(decoded->id, target, _reply, kBadGateway, std::string(nameOf(Reason::EndpointsEnded)),
					 "endpoints ended while they ran this request; it is not sent to others");
		return;
	}
	const Micros now = monotonicNow();
	const Micros limit = std::min(decoded->clientTimeout.value_or(kDefaultClientTimeout), route->timeLimit);
	if (this->mayOutlastStop(*route, limit, now))
	{
		this->refuse(decoded->id, target, _reply, kUnavailable, std::string(nameOf(Reason::Draining)),
					 "this node is about to end");
		return;
	}
	auto active =
		std::make_shared<ActiveRequest>(std::move(*decoded), this->wire, _reply, *route, this->maxResponseBytes);
	active->id = ++this->lastRequest;
	active->digest = digest;
	active->plan = this->plan;
	active->workspace = workspace == nullptr ? std::string() : workspace->name;
	active->priority = workspace != nullptr ? workspace->priority.value_or(route->priority) : route->priority;
	active->arrivedAt = now;
	active->deadline = now + limit;
	const Micros waitLimit = route->eventTimeout > 0 ? std::min(limit, route->eventTimeout) : limit;
	active->stagesDeadline = now + static_cast<Micros>(kStagesTimeShare * static_cast<double>(waitLimit));
	active->isResumable = route->resumable;
	active->isRepeatable = route->repeatable;
	// Whatever its route says here and now: the stream may have begun under another state of it.
	const bool resumes = route->streaming && active->request.resumed.has_value();
	const bool namesFirst = resumes && !active->request.resumed->firstRequestId.empty();
	active->streamId = namesFirst ? active->request.resumed->firstRequestId : active->request.id;
	active->pool = choosePool(active->route, XXH3_64bits(active->streamId.data(), active->streamId.size()));
	if (resumes && active->request.resumed->lastEvent)
	{
		active->answer.resumeAfter(*active->request.resumed->lastEvent);
	}
	if (resumes)
	{
		this->findOrigin(active);
		return;
	}
	this->beginRequest(active);
}

void ForwardTraffic::beginRequest(const ActiveRequestPtr& _active)
{
	this->activeRequests.emplace(_active->id, _active);
	this->activeCount = this->activeRequests.size();
	this->deadlines.emplace(_active->stagesDeadline, _active->id);
	logEvent("request", "admitted",
			 {{"request", _active->request.id},
			  {"content", toText(_active->digest)},
			  {"prompt_parts", sharedPartsText(_active->request.prompt)},
			  {"route", _active->route.name},
			  {"workspace", _active->workspace},
			  {"routes_version", _active->plan->data().version},
			  this->routesAgeField(_active->arrivedAt),
			  {"patience_ms", (_active->deadline - _active->arrivedAt) / kMillisecond}});
	_active->parts = sharedPartKeys(_active->pool, _active->request.prompt);
	if (this->refuseIfBlocked(_active))
	{
		return;
	}
	_active->prefixHash = hashSharedPrefix(_active->request.prompt);
	if (_active->prefixHash != 0)
	{
		_active->homeDomain = this->dispatcher.homeDomain(_active->pool, _active->prefixHash, _active->arrivedAt);
	}
	_active->answer.onStart([this, active = _active.get()] { this->onStreamStarted(*active); });
	_active->answer.reply()->onDisconnect([this, id = _active->id] { this->onClientGone(id); });
	if (this->findActive(_active->id) == nullptr)
	{
		return; // The client had already disconnected.
	}
	_active->answer.reply()->onDrained([this, id = _active->id] { this->onClientDrained(id); });
	if (_active->graph.isComplete())
	{
		this->submit(_active);
		return;
	}
	this->orderPieces(_active);
}

ForwardTraffic::ActiveRequestPtr ForwardTraffic::findActive(std::uint64_t _id)
{
	const auto found = this->activeRequests.find(_id);
	return found == this->activeRequests.end() ? nullptr : found->second;
}

void ForwardTraffic::submit(const ActiveRequestPtr& _active)
{
	if (!this->mayHandleNow())
	{
		this->giveUp(_active, Reason::RoutesStale, kOtherNodeRetryAfter);
		return;
	}
	_active->submitted = true;
	this->deadlines.erase({_active->stagesDeadline, _active->id});
	const Route& route = _active->route;
	RequestSpec spec{_active->id,
					 _active->workspace,
					 route.name,
					 _active->deadline,
					 _active->isRepeatable,
					 _active->request.promptTokens,
					 _active->request.maxTokens,
					 _active->prefixHash};
	spec.isRetry = _active->attempts > 0;
	spec.requiredVersion = _active->streamVersion;
	this->refreshProvenFor(*_active, monotonicNow());
	spec.preferredDomain = _active->prefixHash == 0 ? this->resultsDomain(*_active) : std::string();
	PipelineRow pipeline;
	pipeline.name = route.name;
	pipeline.workspace = _active->workspace;
	pipeline.urgent = _active->priority == 0;
	StageRow stage;
	stage.name = route.name;
	stage.kind = route.streaming ? StageKind::Engine : StageKind::Service;
	stage.pool = _active->pool;
	stage.repeatable = _active->isRepeatable;
	stage.maxAttempts = route.maxAttempts - _active->attempts;
	stage.expectedMs = std::max<std::int64_t>(1, route.latencyTarget / kMillisecond / 2);
	this->perform(this->dispatcher.submit(spec, pipeline, {stage}, monotonicNow()));
}

void ForwardTraffic::perform(const Actions& _actions)
{
	for (const Action& action : _actions)
	{
		std::visit(
			Overloaded{
				[&](const StartAttempt& _start) { this->startAttempt(_start); },
				[&](const CancelAttempt& _cancel) { this->cancelAttempt(_cancel); },
				[&](const FinishRequest& _finish)
				{
					const ActiveRequestPtr active = this->findActive(_finish.request);
					if (active != nullptr && active->submitted)
					{
						this->finish(active, _finish.outcome);
					}
				},
			},
			action);
	}
}

void ForwardTraffic::finish(const ActiveRequestPtr& _active, const Outcome& _outcome)
{
	if (_outcome.verdict == Verdict::Answered)
	{
		this->recordFirstEventTime(*_active);
		this->crashes.onAnswered(_active->digest);
		this->recordServedParts(*_active);
		_active->answer.deliver();
		this->endRequest(_active, _outcome, "answered");
		return;
	}
	if (this->holdEnd(_active, _outcome.reason))
	{
		return;
	}
	if (this->mayEndUnproven(*_active))
	{
		this->endUnproven(_active, _outcome.reason);
		return;
	}
	if (_active->answer.hasStarted())
	{
		this->endRequest(_active, _outcome, "stream_broken_off");
		_active->answer.abort();
		return;
	}
	if (_active->answer.hasErrorResponse() && _outcome.reason != Reason::Cancelled)
	{
		_active->answer.deliver();
		this->endRequest(_active, _outcome, "failure_passed_on");
		return;
	}
	const std::string code(nameOf(_outcome.reason));
	if (_outcome.verdict == Verdict::NotRun)
	{
		_active->answer.refuse(kUnavailable, std::max(kShortRetryAfter, _outcome.retryAfter), code,
							   "the request has not run");
		this->endRequest(_active, _outcome, "refused");
		return;
	}
	const bool late = _outcome.reason == Reason::DeadlinePassed;
	_active->answer.refuse(late ? kGatewayTimeout : kBadGateway, 0, code, "the request may have run");
	this->endRequest(_active, _outcome, "unknown");
}

/// Ends a request that is not at an endpoint. The verdict is Unknown if an earlier attempt was sent, else NotRun.
void ForwardTraffic::giveUp(const ActiveRequestPtr& _active, Reason _reason, Micros _retryAfter)
{
	const bool sent = _active->attempts > 0;
	Outcome outcome{sent ? Verdict::Unknown : Verdict::NotRun, _reason, true, _retryAfter, {}};
	this->finish(_active, outcome);
}

void ForwardTraffic::endRequest(const ActiveRequestPtr& _active, const Outcome& _outcome, const std::string& _event)
{
	const Micros took = monotonicNow() - _active->arrivedAt;
	const std::vector<std::uint64_t> orders(_active->orders.begin(), _active->orders.end());
	for (const std::uint64_t order : orders)
	{
		this->pieceOrders.erase(order);
	}
	_active->orders.clear();
	this->deadlines.erase({_active->stagesDeadline, _active->id});
	if (this->unboundStreams.erase(_active->id) > 0)
	{
		this->keepUnprovenOrigin(*_active);
	}
	if (_outcome.verdict != Verdict::Answered)
	{
		this->keepStreamEnd(*_active);
	}
	this->responseBudget.release(_active->id);
	this->activeRequests.erase(_active->id);
	this->activeCount = this->activeRequests.size();
	if (!orders.empty())
	{
		this->pieces.cancel(orders);
	}
	this->pieces.free(_active->graph.takeRemaining());
	if (_outcome.verdict == Verdict::Answered || _outcome.reason == Reason::DeadlinePassed)
	{
		this->durations.record(_active->route.name, took, _active->arrivedAt + took);
	}
	this->metrics.recordRequest(_active->route.streaming ? "streaming" : "plain", _outcome,
								static_cast<double>(took) / kMicrosPerSecond);
	const ForwardAnswer::StreamTimes& times = _active->answer.times();
	logEvent("request", _event,
			 {{"request", _active->request.id},
			  {"route", _active->route.name},
			  {"verdict", std::string(nameOf(_outcome.verdict))},
			  {"reason", std::string(nameOf(_outcome.reason))},
			  {"attempts", _active->attempts},
			  {"retry_after_ms", _outcome.retryAfter / kMillisecond},
			  {"took_ms", took / kMillisecond},
			  {"events", times.events},
			  {"first_event_ms", times.events == 0 ? -1 : (times.firstAt - _active->arrivedAt) / kMillisecond},
			  {"longest_pause_ms", times.longestPause / kMillisecond}});
}

/// The client of a stream has read what was kept for it.
void ForwardTraffic::onClientDrained(std::uint64_t _id)
{
	const ActiveRequestPtr active = this->findActive(_id);
	if (active != nullptr && active->call != nullptr)
	{
		active->call->setReading(true);
	}
}

void ForwardTraffic::onClientGone(std::uint64_t _id)
{
	const ActiveRequestPtr active = this->findActive(_id);
	if (active == nullptr)
	{
		return;
	}
	const bool submitted = std::exchange(active->submitted, false);
	if (submitted)
	{
		this->perform(this->dispatcher.cancel(_id, monotonicNow()));
	}
	this->endRequest(active, Outcome{Verdict::Unknown, Reason::Cancelled, false, 0, {}}, "client_left");
}

/// Logs a late tick: this thread got no CPU time or is overloaded.
void ForwardTraffic::logLateTick(Micros _now)
{
	const Micros late = this->lastTickAt == 0 ? 0 : _now - this->lastTickAt - kTickPeriod;
	this->lastTickAt = _now;
	if (late >= kLateTickLogThreshold)
	{
		logEvent("request", "thread_late", {{"late_ms", late / kMillisecond}});
	}
}

void ForwardTraffic::tick()
{
	const Micros now = monotonicNow();
	this->logLateTick(now);
	this->endpointCalls.tick(now);
	this->callsForOthers = this->endpointCalls.callsForOthers();
	this->crashes.tick(now);
	this->perform(this->parts.tick(now));
	this->perform(this->origins.tick(now));
	this->streamEnds.expire(now);
	this->endUnanswered(now);
	this->endHeld(now);
	this->pieces.tick();
	while (!this->deadlines.empty() && this->deadlines.begin()->first <= now)
	{
		const ActiveRequestPtr active = this->findActive(this->deadlines.begin()->second);
		this->giveUp(active, Reason::DeadlinePassed, kShortRetryAfter);
	}
	this->refreshAwaited(now);
	this->openConnections(now);
	this->askNextOpened(now);
	this->perform(this->dispatcher.tick(now));
}

} // namespace roadferry
