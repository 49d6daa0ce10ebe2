/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Settings of the daemon, from flags, environment variables and the settings file.

#ifndef ROADFERRY_SETTINGS_H_HEADER_GUARD
#define ROADFERRY_SETTINGS_H_HEADER_GUARD

#include "http_server.h"

#include <roadferry/roadferry.h>

#include <map>
#include <string>
#include <vector>

namespace roadferry
{

/// Validated settings of one daemon.
struct Settings
{
	std::string ip;
	std::uint16_t port = 0;
	std::uint16_t peerPort = 0;
	std::string peerAnnounce; ///< Address announced to other nodes; empty for the listening address.
	std::string failureDomain;
	std::string logAddress;
	std::string vmListAddress;
	std::map<std::string, std::string> callers;   ///< Credentials by workspace.
	std::map<std::string, std::string> operators; ///< Credentials by operator name.
	std::string peerSecret;
	TlsFiles tls;
	std::size_t threads = 2;
	std::string traceFile;
	std::int64_t drainSeconds = 30;
	std::size_t resultCacheBytes = 64 * 1024 * 1024; ///< Memory for results that are kept for later queries.
	HttpServerLimits http;
	std::size_t endpointsPerPool = 256; ///< Maximum number of endpoints per pool that this node uses.
	DispatcherConfig dispatcher;

	// Of a forwarding node.
	std::string adapter; ///< Name of the platform adapter; empty for a node that issues tickets.
	std::uint16_t readinessPort = 0;
	std::string feedAddress;                  ///< Address of the service that publishes routes and endpoints.
	std::int64_t processorPercent = 0;        ///< Share of a core that the VM provides; 0 if unknown.
	std::vector<std::string> seeds;           ///< Addresses of other nodes, used to join the cluster.
	Micros maxRouteUpdateDelay = 2 * kSecond; ///< Maximum time until a change of the routes takes effect.
	/// Maximum time until no more requests are sent to an endpoint that leaves.
	Micros maxEndpointLeaveDelay = 2 * kSecond;
	std::size_t maxResponseBytes = 4 * 1024 * 1024; ///< Maximum size of an endpoint's response that is not a stream.
	std::size_t responseMemory = 24 * 1024 * 1024;  ///< Bytes of all responses in progress, see ResponseBudget.
	/// How long a crash of an endpoint counts against the requests that ran on it; 0 for never.
	Micros crashMemory = 600 * kSecond;
	double retrySlack = 20; ///< Retries per window that all nodes together may make in addition to retry_share.
	Micros retryWindow = 10 * kSecond; ///< Duration of the window of retrySlack.
	bool sharedBatches = true;         ///< Whether a pool has one batching node, or each node batches its own pieces.
	std::string fileText;              ///< Contents of the settings file; empty when there is none.
};

/// Reads the settings. A value given as a flag, which gflags has parsed, takes precedence over the environment variable
/// of that flag (ROADFERRY_ and its name in capitals), and this over the settings file.
/// @returns The settings, or InvalidArgument with one line for each error.
absl::StatusOr<Settings> readSettings();

/// Reads the settings file again. Flags and environment variables keep their precedence over it.
/// @returns As readSettings.
absl::StatusOr<Settings> reloadSettings();

/// @returns Contents of the settings file; empty when none is given or it cannot be read.
std::string readSettingsFile();

/// @returns One line for each setting, with name, value, default and description separated by tabs. Credentials are
/// replaced by "(set)".
std::string describeSettings();

} // namespace roadferry

#endif // ROADFERRY_SETTINGS_H_HEADER_GUARD
