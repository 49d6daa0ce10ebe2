/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of Node.

#include "node.h"

#include "logging.h"
#include "peer_end_log.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr int kReadyCheckPeriodMs = 20;
constexpr int kDrainCheckPeriodMs = 20;
/// Maximum time until the balancer detects the failed readiness check.
constexpr Micros kBalancerDetectionTime = 1500 * kMillisecond;
/// Time for the last messages to be sent.
constexpr Micros kReportFlushTime = 300 * kMillisecond;

} // namespace

Node::Node(Settings _settings) : settings(std::move(_settings)), pool(settings.threads), peerPool(1), client(pool)
{
}

Node::~Node()
{
	if (this->link != nullptr)
	{
		this->link->close();
	}
	this->peerPool.stop();
	this->pool.stop();
}

absl::Status Node::start(std::function<void()> _onStopped)
{
	this->onStopped = std::move(_onStopped);
	PeerHandlers handlers;
	handlers.onMessage = [this](const PeerProcess& _from, const std::string& _bytes)
	{ this->onPeerMessage(_from, _bytes); };
	handlers.onClosed = [this](const std::string& _peer) { this->relay->onPeerClosed(_peer); };
	handlers.onConnectionEnd = logConnectionEnd;
	this->link = std::make_unique<PeerLink>(this->peerPool, this->settings.peerSecret, randomNumber(), handlers);
	const std::string peerError =
		this->link->listen(this->settings.ip, this->settings.peerPort, this->settings.peerAnnounce);
	if (!peerError.empty())
	{
		return absl::UnavailableError(peerError);
	}
	const auto sendPeer = [this](const std::string& _peer, const PeerMessage& _message)
	{ this->link->send(_peer, encode(_message)); };
	this->traces = std::make_unique<TraceWriter>(this->settings.traceFile, this->link->self());
	TrafficSettings trafficSettings;
	trafficSettings.self = Incarnation{this->link->self(), randomNumber()};
	trafficSettings.dispatcher = this->settings.dispatcher;
	trafficSettings.dispatcher.seed = randomNumber();
	trafficSettings.resultCacheBytes = this->settings.resultCacheBytes;
	this->traffic =
		std::make_unique<Traffic>(this->pool, this->client, this->metrics, *this->traces, std::move(trafficSettings));
	const auto answerPeer = [this](const PeerProcess& _to, const PeerMessage& _message)
	{ this->link->answer(_to, encode(_message)); };
	// Leaves room to count up within a signed CBOR integer.
	this->relay =
		std::make_unique<Relay>(this->pool, *this->traffic, randomNumber() >> 2, RelaySends{sendPeer, answerPeer});
	this->platform = std::make_unique<Platform>(this->settings.logAddress, this->settings.vmListAddress);
	this->view = std::make_unique<ClusterView>(*this->traffic, this->link->self(), sendPeer);
	this->control = std::make_unique<Control>(*this->platform, *this->traffic, *this->view, this->link->self(),
											  this->settings.endpointsPerPool, sendPeer);
	this->callerApi = std::make_unique<CallerApi>(this->settings, *this->traffic, *this->relay);
	this->operatorApi = std::make_unique<OperatorApi>(this->settings, *this->control, *this->view, *this->traffic,
													  this->metrics, this->controlThread, [this] { this->drain(); });
	this->server =
		std::make_unique<HttpServer>(this->pool, this->settings.http, this->settings.tls,
									 [this](const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
									 { this->handle(_request, _reply); });
	const std::string error = this->server->listen(this->settings.ip, this->settings.port);
	if (!error.empty())
	{
		return absl::UnavailableError(error);
	}
	this->traffic->start();
	this->control->start();
	this->view->start();
	QObject::connect(&this->readyTimer, &QTimer::timeout, [this] { this->isReady = this->control->isReady(); });
	this->readyTimer.start(kReadyCheckPeriodMs);
	return absl::OkStatus();
}

void Node::handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
{
	if (_request.target == "/health" || _request.target == "/ready")
	{
		this->handleHealth(_request, _reply);
		return;
	}
	if (this->callerApi->handle(_request, _reply) || this->operatorApi->handle(_request, _reply))
	{
		return;
	}
	_reply->send(errorResponse(404, "not_found", "there is no such path"));
}

void Node::handleHealth(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
{
	const bool isHealthy = _request.target == "/health" || (this->isReady && !this->stopRequested);
	HttpResponse response;
	response.status = isHealthy ? 200 : 503;
	response.body = isHealthy ? "{\"ready\":true}" : "{\"ready\":false}";
	_reply->send(std::move(response));
}

void Node::onPeerMessage(const PeerProcess& _from, const std::string& _bytes)
{
	const std::string& peer = _from.address;
	auto message = decode(_bytes);
	if (!message.ok())
	{
		logWarning("peer", absl::StrCat(peer, ": ", std::string(message.status().message())));
		return;
	}
	const auto onControl = [this](std::function<void()> _function)
	{ QMetaObject::invokeMethod(&this->controlThread, std::move(_function), Qt::QueuedConnection); };
	std::visit(
		Overloaded{
			[&](const RelayRequest& _typed) { this->relay->onRequest(_from, _typed); },
			[&](const RelayToken& _typed) { this->relay->onToken(_typed); },
			[&](const RelayResult& _typed) { this->relay->onResult(_typed); },
			[&](const TableRequest& _typed)
			{ onControl([this, peer, _typed] { this->control->onTableRequest(peer, _typed); }); },
			[&](const TableResponse& _typed) { onControl([this, _typed] { this->control->onTableResponse(_typed); }); },
			[&](const LeavingNotice& _typed) { onControl([this, _typed] { this->control->onLeavingNotice(_typed); }); },
			[&](const ShutdownReport& _typed) { this->traffic->onShutdownReport(_typed); },
			[&](const Gossip& _typed) { onControl([this, peer, _typed] { this->view->onGossip(peer, _typed); }); },
			[&](const DemandReport& _typed)
			{ onControl([this, peer, _typed] { this->view->onDemand(peer, _typed); }); },
			[&](const ShareGrant& _typed) { onControl([this, peer, _typed] { this->view->onGrant(peer, _typed); }); },
			// Messages between forwarding nodes, which this kind of node ignores.
			[](const RoutesRequest&) {},
			[](const RoutesResponse&) {},
			[](const FeedRequest&) {},
			[](const FeedResponse&) {},
			[](const PieceSubmit&) {},
			[](const PieceUpdate&) {},
			[](const PieceCancel&) {},
			[](const PieceFree&) {},
			[](const CrashReport&) {},
			[](const CrashReportRequest&) {},
			[](const OriginRecords&) {},
			[](const OriginQuery&) {},
			[](const OriginAnswer&) {},
			[](const PartQuery&) {},
			[](const PartAnswer&) {},
			[](const PartVerdicts&) {},
			[](const RejectionLimitNotice&) {},
			[](const StreamEndQuery&) {},
			[](const StreamEndNotice&) {},
			[](const PoolEndsNotice&) {},
			[](const CallMessage&) {},
		},
		*message);
}

void Node::drain()
{
	if (this->stopRequested.exchange(true))
	{
		return;
	}
	logInfo("node", "planned stop started");
	this->drainStartedAt = monotonicNow();
	QObject::connect(&this->drainTimer, &QTimer::timeout, [this] { this->continueDrain(); });
	this->drainTimer.start(kDrainCheckPeriodMs);
}

void Node::reload()
{
	logInfo("node", "reload ignored: settings are read at start only");
}

void Node::continueDrain()
{
	const Micros waited = monotonicNow() - this->drainStartedAt;
	if (waited < kBalancerDetectionTime)
	{
		return;
	}
	// Requests that still arrive on open connections are served; each connection is closed after its response.
	this->server->stopAccepting();
	const bool idle = this->traffic->inFlight() == 0 && this->server->connections() == 0;
	if (!idle && waited < this->settings.drainSeconds * kSecond)
	{
		return;
	}
	if (this->shutdownReportSentAt == 0)
	{
		this->sendShutdownReport();
		return;
	}
	if (monotonicNow() - this->shutdownReportSentAt < kReportFlushTime)
	{
		return;
	}
	this->drainTimer.stop();
	logInfo("node", absl::StrCat("planned stop completed with ", this->traffic->inFlight(), " requests in flight"));
	if (this->onStopped)
	{
		this->onStopped();
	}
}

void Node::sendShutdownReport()
{
	this->shutdownReportSentAt = monotonicNow();
	this->traffic->drain();
	const ShutdownReport report = this->traffic->shutDown();
	for (const std::string& peer : this->control->peers())
	{
		this->link->send(peer, encode(report));
	}
	this->view->leave();
}

std::string Node::callerAddress() const
{
	return absl::StrCat(this->settings.ip, ":", this->server->port());
}

std::string Node::peerAddress() const
{
	return this->link->self();
}

} // namespace roadferry
