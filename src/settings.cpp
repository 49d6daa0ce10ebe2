/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the settings.

#include "settings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <gflags/gflags.h>

#include <QHostAddress>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

DEFINE_string(ip, "127.0.0.1", "IP number to listen on and to announce to other nodes");
DEFINE_int32(port, 0, "port for callers and operators, 0 for one that is free (0 to 65535)");
DEFINE_int32(peer_port, 0, "port for other nodes, 0 for one that is free (0 to 65535)");
DEFINE_string(failure_domain, "", "failure domain that this VM is in");
DEFINE_string(log_address, "", "IP:port of the platform's log service");
DEFINE_string(vm_list_address, "", "IP:port of the platform's VM list");
DEFINE_string(callers, "", "workspace=credential pairs parted by commas");
DEFINE_string(operators, "", "name=credential pairs parted by commas");
DEFINE_string(peer_secret, "", "credential that all nodes share (16 characters or more)");
DEFINE_string(tls_certificate, "", "path of a PEM certificate chain; empty for no TLS");
DEFINE_string(tls_key, "", "path of the PEM key of the certificate");
DEFINE_int32(threads, 2, "traffic threads (1 to 64)");
DEFINE_string(trace_file, "", "file to which spans are appended as OTLP JSON lines; empty for none");
DEFINE_int32(drain_seconds, 30, "longest time that a planned stop waits for requests in flight (1 to 3600)");
DEFINE_int32(answer_mb, 64, "memory for answers kept for a later question, in MB (1 to 1024)");
DEFINE_int32(body_limit_kb, 4096, "largest body of a request in KB (1 to 65536)");
DEFINE_int32(connections, 4096, "most open connections of callers (16 to 65536)");
DEFINE_int32(request_timeout_ms, 10000, "time a caller has to send a request whole, in ms (100 to 600000)");
DEFINE_string(adapter, "", "platform to forward requests on; empty for a node that issues tickets");
DEFINE_string(settings, "", "file with further flags, one to a line; flags and environment win over it");
DEFINE_string(listen, "", "IP:port for clients, in place of ip and port");
DEFINE_string(peer_listen, "", "IP:port for other nodes, in place of ip and peer_port");
DEFINE_string(peer_announce, "",
			  "IP:port at which other nodes reach this one, where that is not the one it listens on");
DEFINE_string(readiness_listen, "", "IP:port for readiness and metrics, of a node that forwards");
DEFINE_string(feed_address, "", "IP:port of what tells of routes and endpoints, of a node that forwards");
DEFINE_string(seeds, "", "IP:port of some other nodes, parted by commas, of a node that forwards");
DEFINE_int32(changes_within_ms, 2000, "time in which a change of the routes has to be in force, in ms (500 to 60000)");
DEFINE_int32(leaving_within_ms, 2000, "time in which no request goes to an endpoint that leaves, in ms (500 to 60000)");
DEFINE_double(retry_slack, 20, "retries that all nodes together may make beyond retry_share (0 to 100000)");
DEFINE_bool(shared_batches, true, "form batches of pieces together with the other nodes");
DEFINE_string(placement, "affinity_gated", "placement policy");
DEFINE_double(urgent_reserve, 0.1, "share of a pool's slots kept for urgent pipelines (0 to 0.9)");
DEFINE_double(retry_share, 0.1, "retries earned by each first attempt (0 to 1)");
DEFINE_int32(endpoints_per_pool, 256, "most endpoints of one pool that this node uses (8 to 10000)");
DEFINE_bool(admit_by_deadline, true, "refuse requests that are predicted to miss their deadline");

namespace roadferry
{

namespace
{

constexpr std::size_t kSecretLeast = 16;
constexpr std::size_t kCredentialLeast = 8;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::int64_t kMostPort = 65'535;
/// Endpoints that may be found unreachable before a request gives up, beyond its attempts.
constexpr std::int64_t kSpareConnects = 3;

/// Flags of this file; gflags knows others too, which are none of the daemon's settings.
const std::vector<std::string>& flagNames()
{
	static const std::vector<std::string> s_names = {"ip",
													 "port",
													 "peer_port",
													 "failure_domain",
													 "log_address",
													 "vm_list_address",
													 "callers",
													 "operators",
													 "peer_secret",
													 "tls_certificate",
													 "tls_key",
													 "threads",
													 "trace_file",
													 "drain_seconds",
													 "answer_mb",
													 "body_limit_kb",
													 "connections",
													 "request_timeout_ms",
													 "placement",
													 "urgent_reserve",
													 "retry_share",
													 "admit_by_deadline",
													 "endpoints_per_pool",
													 "adapter",
													 "settings",
													 "listen",
													 "peer_listen",
													 "peer_announce",
													 "readiness_listen",
													 "feed_address",
													 "seeds",
													 "changes_within_ms",
													 "leaving_within_ms",
													 "retry_slack",
													 "shared_batches"};
	return s_names;
}

/// Flags whose value came from the settings file, which may change it again.
std::set<std::string>& fileFlags()
{
	static std::set<std::string> s_flags;
	return s_flags;
}

std::string environmentName(const std::string& _flag)
{
	return absl::StrCat("ROADFERRY_", absl::AsciiStrToUpper(_flag));
}

bool isSecretFlag(const std::string& _flag)
{
	return _flag == "callers" || _flag == "operators" || _flag == "peer_secret";
}

/// Collects the faults of all settings.
class Checker
{
public:
	void fault(const std::string& _flag, const std::string& _limit)
	{
		this->faults.push_back(absl::StrCat(_flag, ": must be ", _limit));
	}

	std::int64_t whole(const std::string& _flag, std::int64_t _value, std::int64_t _least, std::int64_t _most)
	{
		if (_value < _least || _value > _most)
		{
			this->fault(_flag, absl::StrCat("a whole number from ", _least, " to ", _most));
		}
		return _value;
	}

	double number(const std::string& _flag, double _value, double _least, double _most)
	{
		if (!(_value >= _least && _value <= _most))
		{
			this->fault(_flag, absl::StrCat("a number from ", _least, " to ", _most));
		}
		return _value;
	}

	std::string address(const std::string& _flag, const std::string& _value, int _leastPort = 1)
	{
		const std::vector<std::string> parts = absl::StrSplit(_value, ':');
		const bool shaped = parts.size() == 2 && !QHostAddress(QString::fromStdString(parts[0])).isNull();
		const int port = shaped ? std::atoi(parts[1].c_str()) : -1; // NOLINT(cert-err34-c): range is checked here
		if (port < _leastPort || port > kMostPort)
		{
			this->fault(_flag, "an IP number and a port, as in 10.0.0.7:8500");
		}
		return _value;
	}

	std::map<std::string, std::string> credentials(const std::string& _flag, const std::string& _value)
	{
		std::map<std::string, std::string> result;
		for (const auto part : absl::StrSplit(_value, ',', absl::SkipEmpty()))
		{
			const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
			if (pair.first.empty() || pair.second.size() < kCredentialLeast)
			{
				this->fault(_flag, "name=credential pairs, each credential of 8 characters or more");
				continue;
			}
			result.insert(pair);
		}
		return result;
	}

	void file(const std::string& _flag, const std::string& _path)
	{
		if (!_path.empty() && !std::filesystem::exists(_path))
		{
			this->fault(_flag, "the path of a file that is there");
		}
	}

	[[nodiscard]] absl::Status status() const
	{
		return this->faults.empty() ? absl::OkStatus() : absl::InvalidArgumentError(absl::StrJoin(this->faults, "\n"));
	}

	std::vector<std::string> faults;
};

/// Takes each flag of the settings file that was not given otherwise.
void takeFile(Checker& _checker, const std::string& _text)
{
	for (const auto line : absl::StrSplit(_text, '\n'))
	{
		const absl::string_view stripped = absl::StripAsciiWhitespace(line);
		if (stripped.empty() || stripped.front() == '#')
		{
			continue;
		}
		const std::pair<std::string, std::string> pair =
			absl::StrSplit(absl::StripPrefix(stripped, "--"), absl::MaxSplits('=', 1));
		const std::vector<std::string>& names = flagNames();
		if (std::find(names.begin(), names.end(), pair.first) == names.end())
		{
			continue; // Of a later version, or another program's.
		}
		gflags::CommandLineFlagInfo info;
		const bool fromFile = fileFlags().count(pair.first) > 0;
		if (!gflags::GetCommandLineFlagInfo(pair.first.c_str(), &info) || (!info.is_default && !fromFile))
		{
			continue;
		}
		fileFlags().insert(pair.first);
		if (gflags::SetCommandLineOption(pair.first.c_str(), pair.second.c_str()).empty())
		{
			_checker.fault(pair.first, absl::StrCat("of type ", info.type));
		}
	}
}

void takeEnvironment(Checker& _checker)
{
	for (const std::string& name : flagNames())
	{
		gflags::CommandLineFlagInfo info;
		const char* value = std::getenv(environmentName(name).c_str());
		if (value == nullptr || !gflags::GetCommandLineFlagInfo(name.c_str(), &info) || !info.is_default)
		{
			continue;
		}
		if (gflags::SetCommandLineOption(name.c_str(), value).empty())
		{
			_checker.fault(environmentName(name), absl::StrCat("of type ", info.type));
		}
	}
}

void readDispatcher(Checker& _checker, DispatcherConfig& _config)
{
	if (findPlacement(FLAGS_placement) == nullptr)
	{
		_checker.fault("placement", absl::StrCat("one of ", absl::StrJoin(placementNames(), ", ")));
	}
	_config.placement = FLAGS_placement;
	_config.urgentReserve = _checker.number("urgent_reserve", FLAGS_urgent_reserve, 0.0, 0.9);
	_config.retryShare = _checker.number("retry_share", FLAGS_retry_share, 0.0, 1.0);
	_config.admitByDeadline = FLAGS_admit_by_deadline;
}

/// Puts an address of IP and port in place of the two flags for them.
void readListen(Checker& _checker, const std::string& _flag, const std::string& _value, std::string& _ip,
				std::uint16_t& _port)
{
	if (_value.empty())
	{
		return;
	}
	_checker.address(_flag, _value, 0);
	const std::pair<std::string, std::string> parts = absl::StrSplit(_value, absl::MaxSplits(':', 1));
	int port = 0;
	if (absl::SimpleAtoi(parts.second, &port))
	{
		_ip = parts.first;
		_port = static_cast<std::uint16_t>(port);
	}
}

void readForwarding(Checker& _checker, Settings& _settings)
{
	_settings.adapter = FLAGS_adapter;
	readListen(_checker, "listen", FLAGS_listen, _settings.ip, _settings.port);
	readListen(_checker, "peer_listen", FLAGS_peer_listen, _settings.ip, _settings.peerPort);
	readListen(_checker, "readiness_listen", FLAGS_readiness_listen, _settings.ip, _settings.readinessPort);
	if (!FLAGS_peer_announce.empty())
	{
		_settings.peerAnnounce = _checker.address("peer_announce", FLAGS_peer_announce);
	}
	if (FLAGS_adapter.empty())
	{
		return;
	}
	_settings.feedAddress = _checker.address("feed_address", FLAGS_feed_address);
	for (const auto seed : absl::StrSplit(FLAGS_seeds, ',', absl::SkipEmpty()))
	{
		_settings.seeds.push_back(_checker.address("seeds", std::string(seed)));
	}
	_settings.changesWithin = _checker.whole("changes_within_ms", FLAGS_changes_within_ms, 500, 60'000) * kMillisecond;
	_settings.leavingWithin = _checker.whole("leaving_within_ms", FLAGS_leaving_within_ms, 500, 60'000) * kMillisecond;
	_settings.retrySlack = _checker.number("retry_slack", FLAGS_retry_slack, 0, 100'000);
	_settings.sharedBatches = FLAGS_shared_batches;
	_settings.dispatcher.maxExtraConnects = kSpareConnects;
}

void readHttp(Checker& _checker, HttpServerLimits& _limits)
{
	_limits.bodyBytes =
		static_cast<std::size_t>(_checker.whole("body_limit_kb", FLAGS_body_limit_kb, 1, 65'536)) * 1024;
	_limits.connections = static_cast<std::size_t>(_checker.whole("connections", FLAGS_connections, 16, 65'536));
	_limits.requestTimeout =
		_checker.whole("request_timeout_ms", FLAGS_request_timeout_ms, 100, 600'000) * kMillisecond;
	_limits.headerTimeout = _limits.requestTimeout;
}

} // namespace

std::string settingsFileText()
{
	std::ifstream file(FLAGS_settings);
	std::ostringstream text;
	text << file.rdbuf();
	return FLAGS_settings.empty() || !file ? std::string() : text.str();
}

absl::StatusOr<Settings> rereadSettings()
{
	return readSettings();
}

absl::StatusOr<Settings> readSettings()
{
	Checker checker;
	takeEnvironment(checker);
	Settings settings;
	settings.fileText = settingsFileText();
	if (!FLAGS_settings.empty() && settings.fileText.empty())
	{
		checker.fault("settings", "the path of a file that can be read");
	}
	takeFile(checker, settings.fileText);
	settings.ip = FLAGS_ip;
	if (QHostAddress(QString::fromStdString(FLAGS_ip)).isNull())
	{
		checker.fault("ip", "an IP number");
	}
	settings.port = static_cast<std::uint16_t>(checker.whole("port", FLAGS_port, 0, kMostPort));
	settings.peerPort = static_cast<std::uint16_t>(checker.whole("peer_port", FLAGS_peer_port, 0, kMostPort));
	settings.failureDomain = FLAGS_failure_domain;
	if (FLAGS_failure_domain.empty())
	{
		checker.fault("failure_domain", "the name of this VM's failure domain");
	}
	if (FLAGS_adapter.empty())
	{
		settings.logAddress = checker.address("log_address", FLAGS_log_address);
		settings.vmListAddress = checker.address("vm_list_address", FLAGS_vm_list_address);
	}
	settings.callers = checker.credentials("callers", FLAGS_callers);
	settings.operators = checker.credentials("operators", FLAGS_operators);
	settings.peerSecret = FLAGS_peer_secret;
	if (FLAGS_peer_secret.size() < kSecretLeast)
	{
		checker.fault("peer_secret", "16 characters or more");
	}
	settings.tls = TlsFiles{FLAGS_tls_certificate, FLAGS_tls_key};
	checker.file("tls_certificate", FLAGS_tls_certificate);
	checker.file("tls_key", FLAGS_tls_key);
	if (FLAGS_tls_certificate.empty() != FLAGS_tls_key.empty())
	{
		checker.fault("tls_key", "given together with tls_certificate, or neither");
	}
	settings.threads = static_cast<std::size_t>(checker.whole("threads", FLAGS_threads, 1, 64));
	settings.traceFile = FLAGS_trace_file;
	settings.drainSeconds = checker.whole("drain_seconds", FLAGS_drain_seconds, 1, 3'600);
	settings.endpointsPerPool =
		static_cast<std::size_t>(checker.whole("endpoints_per_pool", FLAGS_endpoints_per_pool, 8, 10'000));
	settings.answerBytes = static_cast<std::size_t>(checker.whole("answer_mb", FLAGS_answer_mb, 1, 1'024)) * kMegabyte;
	readHttp(checker, settings.http);
	readDispatcher(checker, settings.dispatcher);
	readForwarding(checker, settings);
	const absl::Status status = checker.status();
	return status.ok() ? absl::StatusOr<Settings>(settings) : status;
}

std::string describeSettings()
{
	std::string text;
	for (const std::string& name : flagNames())
	{
		gflags::CommandLineFlagInfo info;
		if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
		{
			continue;
		}
		const bool hidden = isSecretFlag(name) && !info.current_value.empty();
		const std::string value = hidden ? "(set)" : info.current_value;
		absl::StrAppend(&text, name, "\t", value, "\t", info.default_value, "\t", info.description, "\n");
	}
	return text;
}

} // namespace roadferry
