/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The daemon of an entry VM: creates and connects its components.

#ifndef ROADFERRY_NODE_H_HEADER_GUARD
#define ROADFERRY_NODE_H_HEADER_GUARD

#include "caller_api.h"
#include "control.h"
#include "daemon.h"
#include "operator_api.h"
#include "settings.h"

namespace roadferry
{

/// Owns all components of the daemon. Created, started and stopped on the control thread.
class Node final : public Daemon
{
public:
	explicit Node(Settings _settings);
	~Node() override;
	Node(const Node&) = delete;
	Node& operator=(const Node&) = delete;

	/// Opens the ports and starts all components.
	/// @param[in] _onStopped Called when a planned stop has completed.
	/// @returns Ok, or Unavailable if a port cannot be opened.
	absl::Status start(std::function<void()> _onStopped) override;

	/// Starts a planned stop: fails the readiness check of the balancer, stops accepting connections once the balancer
	/// has detected that, and completes when all requests are answered or `drain_seconds` have passed.
	void drain() override;

	/// Only logs that this kind of node reads its settings at start.
	void reload() override;

	[[nodiscard]] std::string callerAddress() const override;
	[[nodiscard]] std::string peerAddress() const override;

private:
	void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);
	void handleHealth(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);
	void onPeerMessage(const PeerProcess& _from, const std::string& _bytes);
	void continueDrain();
	void sendShutdownReport();

	Settings settings;
	QObject controlThread; ///< Context object for functions queued to the control thread.
	IoPool pool;
	IoPool peerPool;
	HttpClient client;
	Metrics metrics;
	std::unique_ptr<TraceWriter> traces;
	std::unique_ptr<PeerLink> link;
	std::unique_ptr<Traffic> traffic;
	std::unique_ptr<Relay> relay;
	std::unique_ptr<Platform> platform;
	std::unique_ptr<ClusterView> view;
	std::unique_ptr<Control> control;
	std::unique_ptr<CallerApi> callerApi;
	std::unique_ptr<OperatorApi> operatorApi;
	std::unique_ptr<HttpServer> server;
	std::atomic<bool> isReady{false};
	std::atomic<bool> stopRequested{false};
	std::function<void()> onStopped;
	Micros drainStartedAt = 0;
	Micros shutdownReportSentAt = 0; ///< 0 until it has been sent.
	QTimer readyTimer;
	QTimer drainTimer;
};

} // namespace roadferry

#endif // ROADFERRY_NODE_H_HEADER_GUARD
