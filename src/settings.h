/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Settings of the daemon, from flags and environment variables.

#ifndef ROADFERRY_SETTINGS_H_HEADER_GUARD
#define ROADFERRY_SETTINGS_H_HEADER_GUARD

#include "http_server.h"

#include <roadferry/roadferry.h>

#include <map>
#include <string>
#include <vector>

namespace roadferry
{

/// Checked settings of one daemon.
struct Settings
{
	std::string ip;
	std::uint16_t port = 0;
	std::uint16_t peerPort = 0;
	std::string peerAnnounce; ///< Address at which other nodes reach this one; empty for the one it listens on.
	std::string failureDomain;
	std::string logAddress;
	std::string vmListAddress;
	std::map<std::string, std::string> callers;   ///< Credential by workspace.
	std::map<std::string, std::string> operators; ///< Credential by operator's name.
	std::string peerSecret;
	TlsFiles tls;
	std::size_t threads = 2;
	std::string traceFile;
	std::int64_t drainSeconds = 30;
	std::size_t resultCacheBytes = 64 * 1024 * 1024;
	HttpServerLimits http;
	std::size_t endpointsPerPool = 256;
	DispatcherConfig dispatcher;

	// Of a node that forwards.
	std::string adapter; ///< Name of the platform's adapter; empty for a node with tickets of its own.
	std::uint16_t readinessPort = 0;
	std::string feedAddress;                    ///< What tells of routes and endpoints.
	std::vector<std::string> seeds;             ///< Addresses of some other nodes.
	Micros maxRouteUpdateDelay = 2 * kSecond;   ///< In which a change of the routes has to be in force.
	Micros maxEndpointLeaveDelay = 2 * kSecond; ///< In which requests to an endpoint that leaves have to end.
	double retrySlack = 20;    ///< Retries that all nodes together may make beyond retry_share, in each window.
	bool sharedBatches = true; ///< Whether nodes form batches together.
	std::string fileText;      ///< Text of the settings file, empty when there is none.
};

/// Reads the settings file, if one is named, and the flags, which gflags has parsed, after taking each one that was not
/// given from the environment variable ROADFERRY_ with the flag's name in capitals.
/// @returns The settings, or InvalidArgument that names every fault, one to a line.
absl::StatusOr<Settings> readSettings();

/// Reads the settings file again, over the flags as they are.
absl::StatusOr<Settings> reloadSettings();

/// @returns Text of the settings file, empty when none is named or it cannot be read.
std::string readSettingsFile();

/// @returns One line for each setting: name, value, default, description. Credentials are not shown.
std::string describeSettings();

} // namespace roadferry

#endif // ROADFERRY_SETTINGS_H_HEADER_GUARD
