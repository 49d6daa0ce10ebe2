/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferry-standin: stand-in for one external system, for tests and the demo.

#include "standin.h"
#include "standin_balancer.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>

DEFINE_string(kind, "", "log, vmlist, balancer, engine, encoder, retriever, reranker or service");
DEFINE_string(id, "", "name of this endpoint");
DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on, 0 for any free port");
DEFINE_int64(service_ms, 5, "duration of a call, in ms; for an engine, the time to the first token");
DEFINE_int64(token_ms, 1, "time between two tokens of an engine, in ms");
DEFINE_int64(slots, 8, "maximum number of calls that an endpoint runs in parallel");
DEFINE_int64(retain, 0, "records that the log retains, 0 for all");
DEFINE_int64(rate, 100, "maximum number of appends per second to the log");
DEFINE_string(backends, "", "comma-separated IP:port of the balancer's backends");

namespace
{

constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

/// Waits for SIGTERM or SIGINT.
void waitForSignal()
{
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	int received = 0;
	sigwait(&signals, &received);
}

/// Blocks the signals that waitForSignal waits for. Must be called before any thread is started.
void blockSignals()
{
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Prints the listening address and waits for a signal, or prints the error of listening.
/// @returns Exit code.
int serveUntilSignal(const std::string& _error, std::uint16_t _port)
{
	if (!_error.empty())
	{
		std::cerr << "roadferry-standin: " << _error << std::endl;
		return 1;
	}
	std::cout << "listening " << FLAGS_ip << ":" << _port << std::endl;
	waitForSignal();
	return 0;
}

int runBalancer(roadferry::IoPool& _pool)
{
	const std::vector<std::string> backends = absl::StrSplit(FLAGS_backends, ',', absl::SkipEmpty());
	roadferry::StandinBalancer balancer(_pool, backends);
	const std::string error = balancer.listen(FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port));
	const int exitCode = serveUntilSignal(error, error.empty() ? balancer.port() : 0);
	_pool.stop();
	return exitCode;
}

std::unique_ptr<roadferry::Standin> makeStandin(roadferry::IoPool& _pool)
{
	roadferry::StandinSettings settings;
	settings.kind = FLAGS_kind;
	settings.id = FLAGS_id;
	settings.serviceMs = FLAGS_service_ms;
	settings.tokenMs = FLAGS_token_ms;
	settings.slots = FLAGS_slots;
	settings.maxRecords = FLAGS_retain;
	settings.appendsPerSecond = FLAGS_rate;
	if (FLAGS_kind == "log")
	{
		return roadferry::makeLogStandin(_pool, settings);
	}
	if (FLAGS_kind == "vmlist")
	{
		return roadferry::makeVmListStandin();
	}
	const std::vector<std::string> endpointKinds = {"engine", "encoder", "retriever", "reranker", "service"};
	if (std::find(endpointKinds.begin(), endpointKinds.end(), FLAGS_kind) == endpointKinds.end())
	{
		return nullptr;
	}
	return roadferry::makeEndpointStandin(_pool, settings);
}

} // namespace

int main(int _argc, char** _argv)
{
	gflags::SetUsageMessage("stand-in for one external system");
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	blockSignals();
	roadferry::IoPool pool(1);
	if (FLAGS_kind == "balancer")
	{
		return runBalancer(pool);
	}
	const auto standin = makeStandin(pool);
	if (standin == nullptr)
	{
		std::cerr << "roadferry-standin: kind: must be log, vmlist, balancer, engine, encoder, retriever, reranker or "
					 "service"
				  << std::endl;
		return 2;
	}
	roadferry::HttpServerLimits limits;
	limits.bodyBytes = kMaxBodyBytes;
	roadferry::HttpServer server(
		pool, limits, {},
		[&standin](const roadferry::HttpRequest& _request, const std::shared_ptr<roadferry::HttpReply>& _reply)
		{ standin->handle(_request, _reply); });
	const std::string error = server.listen(FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port));
	const int exitCode = serveUntilSignal(error, server.port());
	pool.stop();
	return exitCode;
}
