/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of ForwardNode.

#include "forward_node.h"

#include "clock.h"
#include "logging.h"
#include "peer_end_log.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr int kReadyPeriodMs = 20;
constexpr int kDrainPeriodMs = 20;
constexpr int kSettingsPeriodMs = 1'000;
constexpr std::uint64_t kQueuedBytesLogThreshold = 64 * 1024; ///< Bytes queued for one node: about 0.1 s at 5 Mbit/s.
/// Load balancers probe once per second and stop sending after two negative answers. Requests that arrive until then
/// are served.
constexpr Micros kBalancerNoticeTime = 2'600 * kMillisecond;
constexpr Micros kFlushTime = 100 * kMillisecond;       ///< For the last messages to be sent.
constexpr Micros kAnswerFlushTime = 400 * kMillisecond; ///< For clients to read the last answers.
/// Part of the time for a planned stop that is reserved for its end.
constexpr Micros kStopMargin = 800 * kMillisecond;
/// Time before the end of a planned stop at which unsent requests are refused, so that the refusals reach the clients.
constexpr Micros kRefuseMargin = 1'200 * kMillisecond;
constexpr Micros kLeaseMargin = 50 * kMillisecond; ///< For a request to reach its endpoint.
constexpr Micros kBodyTimeout = 30 * kSecond;      ///< For a client to send a request body.

} // namespace

ForwardNode::ForwardNode(Settings _settings)
	: settings(std::move(_settings)), pool(1), client(pool), process(randomNumber()), settingsText(settings.fileText)
{
}

ForwardNode::~ForwardNode()
{
	if (this->link != nullptr)
	{
		this->link->close();
	}
	this->pool.stop();
}

absl::Status ForwardNode::listenForPeers()
{
	PeerHandlers handlers;
	handlers.onMessage = [this](const PeerProcess& _from, const std::string& _bytes)
	{ this->onPeerMessage(_from, _bytes); };
	handlers.onClosed = [this](const std::string& _peer) { this->onPeerClosed(_peer); };
	handlers.onConnected = [](const PeerProcess& _peer) {
		logEvent("peer", "connected", {{"node", _peer.address}, {"process", _peer.number}});
	};
	handlers.onConnectionEnd = logConnectionEnd;
	this->link = std::make_unique<PeerLink>(this->pool, this->settings.peerSecret, this->process, handlers);
	this->trafficSender = std::make_unique<PeerSender>(*this->link);
	this->controlSender = std::make_unique<PeerSender>(*this->link);
	const std::string fault =
		this->link->listen(this->settings.ip, this->settings.peerPort, this->settings.peerAnnounce);
	return fault.empty() ? absl::OkStatus() : absl::UnavailableError(fault);
}

void ForwardNode::makeTraffic()
{
	ForwardSettings forward;
	forward.self = this->link->self();
	forward.firstNumber = randomNumber() >> 2; // Leaves room to count up within a signed CBOR integer.
	forward.dispatcher = this->settings.dispatcher;
	forward.dispatcher.seed = randomNumber();
	forward.pieces.sharedBatches = this->settings.sharedBatches;
	forward.lease = std::min(this->settings.maxRouteUpdateDelay, this->settings.maxEndpointLeaveDelay) - kLeaseMargin;
	forward.maxResponseBytes = this->settings.maxResponseBytes;
	forward.responseMemory = this->settings.responseMemory;
	forward.crashes.memory = this->settings.crashMemory;
	forward.parts.memory = this->settings.crashMemory;
	const auto sendTyped = [this](const std::string& _to, const auto& _message)
	{
		const PeerMessage message = std::visit([](const auto& _typed) { return PeerMessage(_typed); }, _message);
		this->trafficSender->send(_to, message);
	};
	const auto sendRejectionLimit = [this](const std::string& _to, const RejectionLimitNotice& _notice)
	{ this->trafficSender->send(_to, _notice); };
	const auto sendOne = [this](const std::string& _to, const auto& _message)
	{ this->trafficSender->send(_to, _message); };
	const auto sendCall = [this](const std::string& _to, const CallMessage& _message)
	{ this->trafficSender->send(_to, _message); };
	const auto save = [this](const auto& _typed)
	{ this->runOnControlThread([this, _typed] { this->originStore->save(_typed); }); };
	this->traffic =
		std::make_unique<ForwardTraffic>(this->pool, this->client, *this->wire, this->metrics, forward,
										 ForwardSends{sendTyped, sendTyped, sendTyped, sendTyped, sendCall,
													  sendRejectionLimit, save, save, sendOne, sendOne, sendOne});
}

void ForwardNode::makeOriginStore(const Adapter& _adapter)
{
	this->persistentMap = _adapter.makePersistentMap(this->client, this->pool, this->settings.feedAddress);
	OriginStoreHandlers handlers;
	handlers.onLoaded = [this](const SavedOrigins& _saved) { this->traffic->setSaved(_saved); };
	handlers.onVersionsSaved = [this](const SavedVersions& _saved, bool _succeeded)
	{ this->traffic->onSaved(_saved, _succeeded); };
	handlers.onRecordsSaved = [this](const SaveStreamRecords& _save, bool _succeeded)
	{ this->traffic->onSaved(_save, _succeeded); };
	this->originStore = std::make_unique<OriginStore>(*this->persistentMap, std::move(handlers));
}

void ForwardNode::makeControl(const Adapter& _adapter)
{
	this->feed = _adapter.makeFeed(this->client, this->pool, this->settings.feedAddress);
	ForwardControlSettings control;
	control.self = this->link->self();
	control.seeds = this->settings.seeds;
	control.processorPercent = this->settings.processorPercent;
	control.retries =
		RetryAllowance{this->settings.dispatcher.retries.share, this->settings.retrySlack, this->settings.retryWindow};
	this->control = std::make_unique<ForwardControl>(
		*this->feed, *this->traffic, std::move(control),
		[this](const std::string& _peer, const PeerMessage& _message) { this->controlSender->send(_peer, _message); },
		[this](const RoutePlan& _plan) { this->applyLimits(_plan); });
}

absl::Status ForwardNode::listenForClients()
{
	this->server = std::make_unique<HttpServer>(this->pool, this->settings.http, this->settings.tls,
												[this](HttpRequest _request, const std::shared_ptr<HttpReply>& _reply)
												{ this->traffic->handle(std::move(_request), _reply); });
	const std::string fault = this->server->listen(this->settings.ip, this->settings.port);
	if (!fault.empty())
	{
		return absl::UnavailableError(fault);
	}
	this->readinessServer =
		std::make_unique<HttpServer>(this->pool, HttpServerLimits{}, TlsFiles{},
									 [this](const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
									 { this->handleReadiness(_request, _reply); });
	const std::string readinessFault = this->readinessServer->listen(this->settings.ip, this->settings.readinessPort);
	return readinessFault.empty() ? absl::OkStatus() : absl::UnavailableError(readinessFault);
}

absl::Status ForwardNode::start(std::function<void()> _stopped)
{
	this->onStopped = std::move(_stopped);
	const Adapter* adapter = findAdapter(this->settings.adapter);
	if (adapter == nullptr)
	{
		return absl::InvalidArgumentError(absl::StrCat("unknown adapter: ", this->settings.adapter));
	}
	this->wire = adapter->makeWireFormat();
	absl::Status status = this->listenForPeers();
	if (!status.ok())
	{
		return status;
	}
	this->makeTraffic();
	this->makeOriginStore(*adapter);
	this->makeControl(*adapter);
	status = this->listenForClients();
	if (!status.ok())
	{
		return status;
	}
	logEvent("node", "started",
			 {{"clients", this->callerAddress()},
			  {"peers", this->peerAddress()},
			  {"process", this->process},
			  {"readiness", absl::StrCat(this->settings.ip, ":", this->readinessServer->port())},
			  {"failure_domain", this->settings.failureDomain},
			  {"feed", this->settings.feedAddress}});
	this->hasStarted = true;
	this->traffic->start();
	this->control->start();
	this->originStore->load();
	QObject::connect(&this->readyTimer, &QTimer::timeout, [this] { this->isReady = this->control->ready(); });
	this->readyTimer.start(kReadyPeriodMs);
	QObject::connect(&this->settingsTimer, &QTimer::timeout,
					 [this]
					 {
						 this->watchSettings();
						 this->logPeerLink();
						 this->logAcceptErrors();
					 });
	this->settingsTimer.start(kSettingsPeriodMs);
	return absl::OkStatus();
}

void ForwardNode::applyLimits(const RoutePlan& _plan)
{
	const ClientLimits& limits = _plan.data().limits;
	HttpServerLimits http = this->settings.http;
	http.headerBytes = static_cast<std::size_t>(limits.headerBytes);
	http.bodyBytes = static_cast<std::size_t>(limits.bodyBytes);
	http.headerTimeout = limits.headerTimeout;
	http.requestTimeout = kBodyTimeout;
	http.idleTimeout = limits.idleTimeout;
	this->server->setLimits(http);
}

void ForwardNode::handleReadiness(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
{
	HttpResponse response;
	response.contentType = "text/plain";
	if (this->wire->isReadinessProbe(_request))
	{
		response.status = this->isReady && !this->draining && this->traffic->mayHandleNow() ? 200 : 503;
	}
	else if (_request.target == "/metrics")
	{
		response.body = this->traffic->metricsText();
	}
	else
	{
		response.status = 404;
	}
	_reply->send(std::move(response));
}

void ForwardNode::runOnControlThread(std::function<void()> _function)
{
	QMetaObject::invokeMethod(&this->controlContext, std::move(_function), Qt::QueuedConnection);
}

void ForwardNode::onPeerClosed(const std::string& _peer)
{
	if (!this->hasStarted)
	{
		return;
	}
	this->heardProcesses.erase(_peer);
	this->pool.post(0, [this, _peer] { this->trafficSender->onClosed(_peer); });
	this->traffic->peerClosed(_peer);
	this->runOnControlThread([this, _peer] { this->controlSender->onClosed(_peer); });
}

/// Tells both threads from which process the messages of a node are, in the order of these messages.
void ForwardNode::noteProcess(const PeerProcess& _process)
{
	const auto [heard, isNew] = this->heardProcesses.try_emplace(_process.address, _process.number);
	if (!isNew && heard->second == _process.number)
	{
		return;
	}
	heard->second = _process.number;
	this->pool.post(0, [this, _process] { this->trafficSender->onProcess(_process); });
	this->runOnControlThread([this, _process] { this->controlSender->onProcess(_process); });
}

void ForwardNode::onPeerMessage(const PeerProcess& _from, const std::string& _bytes)
{
	if (!this->hasStarted)
	{
		return; // A message may be lost.
	}
	const std::string& peer = _from.address;
	auto message = decode(_bytes);
	if (!message.ok())
	{
		logWarning("peer", absl::StrCat(peer, ": ", std::string(message.status().message())));
		return;
	}
	this->noteProcess(_from);
	std::visit(
		Overloaded{
			[&](const Gossip& _typed)
			{ this->runOnControlThread([this, peer, _typed] { this->control->onGossip(peer, _typed); }); },
			[&](const RoutesRequest& _typed)
			{ this->runOnControlThread([this, peer, _typed] { this->control->onRoutesRequest(peer, _typed); }); },
			[&](const RoutesResponse& _typed)
			{ this->runOnControlThread([this, peer, _typed] { this->control->onRoutesResponse(peer, _typed); }); },
			[&](const FeedRequest& _typed)
			{ this->runOnControlThread([this, peer, _typed] { this->control->onFeedRequest(peer, _typed); }); },
			[&](const FeedResponse& _typed)
			{ this->runOnControlThread([this, peer, _typed] { this->control->onFeedResponse(peer, _typed); }); },
			[&](const PieceSubmit& _typed) { this->traffic->receive(peer, _typed); },
			[&](const PieceUpdate& _typed) { this->traffic->receive(peer, _typed); },
			[&](const PieceCancel& _typed) { this->traffic->receive(peer, _typed); },
			[&](const PieceFree& _typed) { this->traffic->receive(peer, _typed); },
			[&](const CrashReport& _typed) { this->traffic->receive(peer, _typed); },
			[&](const CrashReportRequest& _typed) { this->traffic->receive(peer, _typed); },
			[&](const OriginRecords& _typed) { this->traffic->receive(peer, OriginMessage(_typed)); },
			[&](const OriginQuery& _typed) { this->traffic->receive(peer, OriginMessage(_typed)); },
			[&](const OriginAnswer& _typed) { this->traffic->receive(peer, OriginMessage(_typed)); },
			[&](const PartQuery& _typed) { this->traffic->receive(peer, PartMessage(_typed)); },
			[&](const PartAnswer& _typed) { this->traffic->receive(peer, PartMessage(_typed)); },
			[&](const PartVerdicts& _typed) { this->traffic->receive(peer, PartMessage(_typed)); },
			[&](const RejectionLimitNotice& _typed) { this->traffic->receive(peer, _typed); },
			[&](const StreamEndQuery& _typed) { this->traffic->receive(peer, _typed); },
			[&](const StreamEndNotice& _typed) { this->traffic->receive(peer, _typed); },
			[&](const PoolEndsNotice& _typed) { this->traffic->receive(peer, _typed); },
			[&](const CallMessage& _typed) { this->traffic->receive(peer, _typed); },
			[&](const auto&)
			{ logWarning("peer", absl::StrCat(peer, ": message type is not handled by a forwarding node")); },
		},
		*message);
}

void ForwardNode::reload()
{
	const absl::StatusOr<Settings> read = reloadSettings();
	if (!read.ok())
	{
		logEvent("node", "reload_refused", {{"fault", std::string(read.status().message())}});
		return;
	}
	this->settingsText = read->fileText;
	const bool needsRestart = read->port != this->settings.port || read->peerPort != this->settings.peerPort ||
							  read->feedAddress != this->settings.feedAddress;
	this->settings.drainSeconds = read->drainSeconds;
	this->traffic->setCrashMemory(read->crashMemory);
	// New addresses take effect at the next start.
	logEvent("node", "reloaded", {{"needs_restart", needsRestart}});
}

/// Reloads the settings when their file has changed, also without a signal.
void ForwardNode::watchSettings()
{
	const std::string text = readSettingsFile();
	if (!text.empty() && text != this->settingsText)
	{
		this->reload();
	}
}

/// Logs long queues of messages to other nodes, and connections that were closed because they were silent. Called once
/// per second.
void ForwardNode::logPeerLink()
{
	const std::uint64_t queued = this->link->takeMaxQueuedBytes();
	const std::uint64_t bytes = this->link->transferredBytes();
	if (queued >= kQueuedBytesLogThreshold)
	{
		logEvent("peer", "queued",
				 {{"bytes_for_one_node", queued}, {"bytes_in_and_out", bytes - this->loggedPeerBytes}});
	}
	this->loggedPeerBytes = bytes;
	const std::uint64_t silent = this->link->silentConnectionsClosed();
	if (silent > this->loggedSilentConnections)
	{
		logEvent("peer", "silent_connections_closed", {{"connections", silent - this->loggedSilentConnections}});
		this->loggedSilentConnections = silent;
	}
	const std::uint64_t dropped = this->link->answersDropped();
	if (dropped > this->loggedDroppedAnswers)
	{
		logEvent("peer", "answers_to_earlier_processes_dropped", {{"answers", dropped - this->loggedDroppedAnswers}});
		this->loggedDroppedAnswers = dropped;
	}
}

/// Logs connections that could not be accepted. Called once per second.
void ForwardNode::logAcceptErrors()
{
	const std::uint64_t errors = this->server->acceptErrors() + this->readinessServer->acceptErrors();
	if (errors > this->loggedAcceptErrors)
	{
		logEvent("node", "accept_failed",
				 {{"times", errors - this->loggedAcceptErrors}, {"idle_connections", this->client.idleConnections()}});
		this->loggedAcceptErrors = errors;
	}
}

void ForwardNode::drain()
{
	if (this->draining.exchange(true))
	{
		return;
	}
	logEvent("node", "stop_begins", {{"in_flight", this->traffic->inFlight()}});
	this->drainStartedAt = monotonicNow();
	this->traffic->stopAt(this->drainStartedAt + kBalancerNoticeTime,
						  this->drainStartedAt + this->settings.drainSeconds * kSecond - kStopMargin);
	this->control->leave();
	QObject::connect(&this->drainTimer, &QTimer::timeout, [this] { this->continueDrain(); });
	this->drainTimer.start(kDrainPeriodMs);
}

void ForwardNode::continueDrain()
{
	const Micros waited = monotonicNow() - this->drainStartedAt;
	if (waited < kBalancerNoticeTime)
	{
		return;
	}
	// Requests that still arrive on open connections are served; each connection is closed after its response.
	this->server->closeAfterResponses();
	if (waited >= this->settings.drainSeconds * kSecond - kRefuseMargin && !std::exchange(this->unsentRefused, true))
	{
		this->traffic->refuseUnsent();
	}
	const bool idle = this->traffic->inFlight() == 0 && this->server->connections() == 0;
	if (!idle && waited < this->settings.drainSeconds * kSecond - kStopMargin)
	{
		return;
	}
	if (this->flushStartedAt == 0)
	{
		this->flushStartedAt = monotonicNow();
		this->traffic->endAll();
		this->server->stopAccepting();
		return;
	}
	const Micros flushed = monotonicNow() - this->flushStartedAt;
	const bool hasClients = this->server->connections() > 0;
	if (flushed < kFlushTime || (hasClients && flushed < kAnswerFlushTime))
	{
		return;
	}
	this->drainTimer.stop();
	logEvent("node", "stopped", {{"in_flight", this->traffic->inFlight()}, {"after_ms", waited / kMillisecond}});
	if (this->onStopped)
	{
		this->onStopped();
	}
}

std::string ForwardNode::callerAddress() const
{
	return absl::StrCat(this->settings.ip, ":", this->server->port());
}

std::string ForwardNode::peerAddress() const
{
	return this->link->self();
}

} // namespace roadferry
