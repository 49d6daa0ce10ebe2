/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// One entry VM's daemon, put together from its parts.

#ifndef ROADFERRY_NODE_H_HEADER_GUARD
#define ROADFERRY_NODE_H_HEADER_GUARD

#include "caller_api.h"
#include "control.h"
#include "daemon.h"
#include "operator_api.h"
#include "settings.h"

namespace roadferry
{

/// Owns all parts of the daemon. Made, started and stopped on the control thread.
class Node final : public Daemon
{
public:
	explicit Node(Settings _settings);
	~Node() override;
	Node(const Node&) = delete;
	Node& operator=(const Node&) = delete;

	/// Listens and begins to work.
	/// @param[in] _onStopped Called when a planned stop has ended.
	/// @returns Ok, or what went wrong.
	absl::Status start(std::function<void()> _onStopped) override;

	/// Begins a planned stop: fails the balancer's check, takes no new connections once the balancer has
	/// noticed, and ends when all requests are answered.
	void drain() override;

	/// Settings of this kind of node hold until the next start.
	void reload() override;

	[[nodiscard]] std::string callerAddress() const override;
	[[nodiscard]] std::string peerAddress() const override;

private:
	void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);
	void handleHealth(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);
	void onPeerMessage(const std::string& _peer, const std::string& _bytes);
	void continueDrain();
	void sendShutdownReport();

	Settings settings;
	QObject controlThread; ///< Receives what is to run on the control thread.
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
	Micros shutdownReportSentAt = 0;
	QTimer readyTimer;
	QTimer drainTimer;
};

} // namespace roadferry

#endif // ROADFERRY_NODE_H_HEADER_GUARD
