/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A node that forwards requests on a platform: its listeners, request handling, control state and planned stop.

#ifndef ROADFERRY_FORWARD_NODE_H_HEADER_GUARD
#define ROADFERRY_FORWARD_NODE_H_HEADER_GUARD

#include "daemon.h"
#include "forward_control.h"
#include "origin_store.h"
#include "peer_sender.h"
#include "settings.h"

namespace roadferry
{

/// Daemon that forwards requests.
class ForwardNode final : public Daemon
{
public:
	explicit ForwardNode(Settings _settings);
	~ForwardNode() override;

	absl::Status start(std::function<void()> _stopped) override;
	void drain() override;
	void reload() override;
	[[nodiscard]] std::string callerAddress() const override;
	[[nodiscard]] std::string peerAddress() const override;

private:
	absl::Status listenForPeers();
	absl::Status listenForClients();
	void makeTraffic();
	void makeOriginStore(const Adapter& _adapter);
	void makeControl(const Adapter& _adapter);
	void runOnControlThread(std::function<void()> _function);
	void onPeerMessage(const PeerProcess& _from, const std::string& _bytes);
	void onPeerClosed(const std::string& _peer);
	void noteProcess(const PeerProcess& _process);
	void handleReadiness(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);
	void applyLimits(const RoutePlan& _plan);
	void continueDrain();
	void watchSettings();
	void logPeerLink();
	void logAcceptErrors();

	Settings settings;
	IoPool pool;
	HttpClient client;
	Metrics metrics;
	QObject controlContext; ///< Context object of calls that are queued to the control thread.
	std::unique_ptr<WireFormat> wire;
	std::unique_ptr<Feed> feed;
	std::unique_ptr<PersistentMap> persistentMap;
	std::unique_ptr<OriginStore> originStore;
	std::unique_ptr<PeerLink> link;
	std::uint64_t process; ///< Number of this process, see PeerLink.
	/// Number of the process at each address from which messages have arrived since a connection was closed.
	std::map<std::string, std::uint64_t> heardProcesses;
	std::unique_ptr<PeerSender> trafficSender; ///< Used on thread 0 of the pool.
	std::unique_ptr<PeerSender> controlSender; ///< Used on the control thread.
	std::unique_ptr<ForwardTraffic> traffic;
	std::unique_ptr<ForwardControl> control;
	std::unique_ptr<HttpServer> server;
	std::unique_ptr<HttpServer> readinessServer;
	std::uint64_t loggedPeerBytes = 0;         ///< Bytes exchanged with other nodes, at the last call of logPeerLink().
	std::uint64_t loggedSilentConnections = 0; ///< Silent connections closed, as last logged.
	std::uint64_t loggedDroppedAnswers = 0;    ///< Answers to processes that are gone, as last logged.
	std::uint64_t loggedAcceptErrors = 0;      ///< Failed accepts of both servers, as last logged.
	QTimer readyTimer;
	QTimer drainTimer;
	QTimer settingsTimer;
	std::function<void()> onStopped;
	std::string settingsText;            ///< Text of the settings file as last read.
	std::atomic<bool> hasStarted{false}; ///< What handles messages of other nodes exists.
	std::atomic<bool> isReady{false};
	std::atomic<bool> draining{false};
	bool unsentRefused = false;
	Micros drainStartedAt = 0; ///< Time point, 0 before a planned stop.
	Micros flushStartedAt = 0; ///< Time point, 0 before the final flush of messages.
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_NODE_H_HEADER_GUARD
