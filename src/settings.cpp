/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the daemon's settings.

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
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

DEFINE_string(ip, "127.0.0.1", "IP address to listen on and to announce to other nodes");
DEFINE_int32(port, 0, "port for callers and operators, 0 for any free port (0 to 65535)");
DEFINE_int32(peer_port, 0, "port for other nodes, 0 for any free port (0 to 65535)");
DEFINE_string(failure_domain, "", "failure domain of this VM");
DEFINE_string(log_address, "", "IP:port of the platform's log service");
DEFINE_string(vm_list_address, "", "IP:port of the platform's VM list");
DEFINE_string(callers, "", "comma-separated workspace=credential pairs");
DEFINE_string(operators, "", "comma-separated name=credential pairs");
DEFINE_string(peer_secret, "", "credential shared by all nodes (at least 16 characters)");
DEFINE_string(tls_certificate, "", "path of a PEM certificate chain; empty to disable TLS");
DEFINE_string(tls_key, "", "path of the certificate's private key in PEM format");
DEFINE_int32(threads, 2, "traffic threads (1 to 64)");
DEFINE_string(trace_file, "", "file to which spans are appended as OTLP JSON lines; empty for none");
DEFINE_int32(drain_seconds, 30,
			 "maximum time that a planned stop waits for requests in flight, in seconds (1 to 3600)");
DEFINE_int32(answer_mb, 64, "memory for results that are kept for later queries, in MB (1 to 1024)");
DEFINE_int32(body_limit_kb, 4096, "maximum size of a request body, in KB (1 to 65536)");
DEFINE_int32(connections, 4096, "maximum number of open caller connections (16 to 65536)");
DEFINE_int32(request_timeout_ms, 10000,
			 "time within which a caller must send a complete request, in ms (100 to 600000)");
DEFINE_string(adapter, "", "platform adapter of a forwarding node; empty for a node that issues tickets");
DEFINE_string(settings, "", "file with further flags, one per line; flags and environment variables take precedence");
DEFINE_string(listen, "", "IP:port for clients; replaces ip and port");
DEFINE_string(peer_listen, "", "IP:port for other nodes; replaces ip and peer_port");
DEFINE_string(peer_announce, "", "IP:port announced to other nodes, if it differs from the listening address");
DEFINE_string(readiness_listen, "", "IP:port for readiness and metrics of a forwarding node");
DEFINE_string(feed_address, "", "IP:port of the service that publishes routes and endpoints to a forwarding node");
DEFINE_string(seeds, "", "comma-separated IP:port of other nodes that a forwarding node joins");
DEFINE_int32(changes_within_ms, 2000, "maximum time until a change of the routes takes effect, in ms (500 to 60000)");
DEFINE_double(
	processor_share, 0,
	"processor time that this VM provides, in cores; VMs with more of it form batches (0 to 1000, 0: unknown)");
DEFINE_int32(leaving_within_ms, 2000,
			 "maximum time until no more requests are sent to an endpoint that leaves, in ms (500 to 60000)");
DEFINE_double(retry_slack, 20,
			  "retries per window that all nodes together may make in addition to retry_share (0 to 100000)");
DEFINE_double(retry_window_seconds, 10, "duration of the window of retry_slack, in seconds (0.01 to 3600)");
DEFINE_int32(response_limit_kb, 4096,
			 "maximum size of an endpoint's response that is not a stream of events, in KB (64 to 65536)");
DEFINE_int32(response_memory_mb, 24,
			 "memory for all endpoints' responses in progress, in MB (1 to 65536); beyond it the longest is cut off");
DEFINE_int32(crash_memory_seconds, 600,
			 "how long a crash of an endpoint counts against the requests that ran on it, 0 to send them on regardless "
			 "(0 to 3600); a reload with 0 forgets all crashes");
DEFINE_bool(shared_batches, true, "batch the pieces of all nodes on one node per pool");
DEFINE_string(placement, "affinity_gated", "placement policy");
DEFINE_double(urgent_reserve, 0.1, "share of a pool's slots reserved for urgent pipelines (0 to 0.9)");
DEFINE_double(retry_share, 0.1, "retries allowed per first attempt (0 to 1)");
DEFINE_int32(endpoints_per_pool, 256, "maximum number of endpoints per pool that this node uses (8 to 10000)");
DEFINE_bool(admit_by_deadline, true, "refuse requests that are predicted to miss their deadline");

namespace roadferry
{

namespace
{

constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMinCredentialLength = 8;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::int64_t kMaxPort = 65'535;
/// Failed connects per stage that do not count as attempts.
constexpr std::int64_t kMaxExtraConnects = 6;
constexpr std::int64_t kMaxExtraRefusals = 3;
constexpr double kPercent = 100;

/// Names of the daemon's settings. gflags also registers flags of its own, which are not settings.
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
													 "processor_share",
													 "retry_slack",
													 "retry_window_seconds",
													 "crash_memory_seconds",
													 "response_limit_kb",
													 "response_memory_mb",
													 "shared_batches"};
	return s_names;
}

/// Flags that were set from the settings file, which may set them again when it is read again.
std::set<std::string>& flagsFromFile()
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

/// Checks values against their limits and collects the errors of all settings.
class SettingsChecker
{
public:
	void addError(const std::string& _flag, const std::string& _requirement)
	{
		this->errors.push_back(absl::StrCat(_flag, ": must be ", _requirement));
	}

	std::int64_t integer(const std::string& _flag, std::int64_t _value, std::int64_t _min, std::int64_t _max)
	{
		if (_value < _min || _value > _max)
		{
			this->addError(_flag, absl::StrCat("a whole number from ", _min, " to ", _max));
		}
		return _value;
	}

	double number(const std::string& _flag, double _value, double _min, double _max)
	{
		if (!(_value >= _min && _value <= _max))
		{
			this->addError(_flag, absl::StrCat("a number from ", _min, " to ", _max));
		}
		return _value;
	}

	std::string address(const std::string& _flag, const std::string& _value, int _minPort = 1)
	{
		const std::vector<std::string> parts = absl::StrSplit(_value, ':');
		const bool isWellFormed = parts.size() == 2 && !QHostAddress(QString::fromStdString(parts[0])).isNull();
		const int port = isWellFormed ? std::atoi(parts[1].c_str()) : -1; // NOLINT(cert-err34-c): range is checked here
		if (port < _minPort || port > kMaxPort)
		{
			this->addError(_flag, "an IP address and a port, for example 10.0.0.7:8500");
		}
		return _value;
	}

	std::map<std::string, std::string> credentials(const std::string& _flag, const std::string& _value)
	{
		std::map<std::string, std::string> result;
		for (const auto part : absl::StrSplit(_value, ',', absl::SkipEmpty()))
		{
			const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
			if (pair.first.empty() || pair.second.size() < kMinCredentialLength)
			{
				this->addError(_flag, "name=credential pairs with credentials of at least 8 characters");
				continue;
			}
			result.insert(pair);
		}
		return result;
	}

	void requireFile(const std::string& _flag, const std::string& _path)
	{
		if (!_path.empty() && !std::filesystem::exists(_path))
		{
			this->addError(_flag, "the path of an existing file");
		}
	}

	[[nodiscard]] absl::Status status() const
	{
		return this->errors.empty() ? absl::OkStatus() : absl::InvalidArgumentError(absl::StrJoin(this->errors, "\n"));
	}

	std::vector<std::string> errors;
};

/// Applies the flags of the settings file that were not given as flags or environment variables.
void applyFile(SettingsChecker& _checker, const std::string& _text)
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
			continue; // A flag of a later version or of another program.
		}
		gflags::CommandLineFlagInfo info;
		const bool isFromFile = flagsFromFile().count(pair.first) > 0;
		if (!gflags::GetCommandLineFlagInfo(pair.first.c_str(), &info) || (!info.is_default && !isFromFile))
		{
			continue;
		}
		flagsFromFile().insert(pair.first);
		if (gflags::SetCommandLineOption(pair.first.c_str(), pair.second.c_str()).empty())
		{
			_checker.addError(pair.first, absl::StrCat("of type ", info.type));
		}
	}
}

/// Applies the environment variables of the flags that were not given.
void applyEnvironment(SettingsChecker& _checker)
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
			_checker.addError(environmentName(name), absl::StrCat("of type ", info.type));
		}
	}
}

void readDispatcher(SettingsChecker& _checker, DispatcherConfig& _config)
{
	if (findPlacement(FLAGS_placement) == nullptr)
	{
		_checker.addError("placement", absl::StrCat("one of ", absl::StrJoin(placementNames(), ", ")));
	}
	_config.placement = FLAGS_placement;
	_config.urgentReserve = _checker.number("urgent_reserve", FLAGS_urgent_reserve, 0.0, 0.9);
	_config.retries.share = _checker.number("retry_share", FLAGS_retry_share, 0.0, 1.0);
	_config.admitByDeadline = FLAGS_admit_by_deadline;
}

/// Overrides IP and port by a listening address, unless it is empty.
void readListenAddress(SettingsChecker& _checker, const std::string& _flag, const std::string& _value, std::string& _ip,
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

void readForwarding(SettingsChecker& _checker, Settings& _settings)
{
	_settings.adapter = FLAGS_adapter;
	readListenAddress(_checker, "listen", FLAGS_listen, _settings.ip, _settings.port);
	readListenAddress(_checker, "peer_listen", FLAGS_peer_listen, _settings.ip, _settings.peerPort);
	readListenAddress(_checker, "readiness_listen", FLAGS_readiness_listen, _settings.ip, _settings.readinessPort);
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
	_settings.maxRouteUpdateDelay =
		_checker.integer("changes_within_ms", FLAGS_changes_within_ms, 500, 60'000) * kMillisecond;
	_settings.maxEndpointLeaveDelay =
		_checker.integer("leaving_within_ms", FLAGS_leaving_within_ms, 500, 60'000) * kMillisecond;
	_settings.maxResponseBytes =
		static_cast<std::size_t>(_checker.integer("response_limit_kb", FLAGS_response_limit_kb, 64, 65'536)) *
		kBytesPerKilobyte;
	_settings.responseMemory =
		static_cast<std::size_t>(_checker.integer("response_memory_mb", FLAGS_response_memory_mb, 1, 65'536)) *
		kBytesPerKilobyte * kBytesPerKilobyte;
	_settings.crashMemory = _checker.integer("crash_memory_seconds", FLAGS_crash_memory_seconds, 0, 3'600) * kSecond;
	_settings.retrySlack = _checker.number("retry_slack", FLAGS_retry_slack, 0, 100'000);
	const double retryWindow = _checker.number("retry_window_seconds", FLAGS_retry_window_seconds, 0.01, 3'600);
	_settings.retryWindow = static_cast<Micros>(retryWindow * static_cast<double>(kSecond));
	_settings.sharedBatches = FLAGS_shared_batches;
	const double processorShare = _checker.number("processor_share", FLAGS_processor_share, 0, 1'000);
	_settings.processorPercent = std::llround(processorShare * kPercent);
	_settings.dispatcher.maxExtraConnects = kMaxExtraConnects;
	_settings.dispatcher.maxExtraRefusals = kMaxExtraRefusals;
}

void readHttp(SettingsChecker& _checker, HttpServerLimits& _limits)
{
	_limits.bodyBytes =
		static_cast<std::size_t>(_checker.integer("body_limit_kb", FLAGS_body_limit_kb, 1, 65'536)) * 1024;
	_limits.connections = static_cast<std::size_t>(_checker.integer("connections", FLAGS_connections, 16, 65'536));
	_limits.requestTimeout =
		_checker.integer("request_timeout_ms", FLAGS_request_timeout_ms, 100, 600'000) * kMillisecond;
	_limits.headerTimeout = _limits.requestTimeout;
}

} // namespace

std::string readSettingsFile()
{
	std::ifstream file(FLAGS_settings);
	std::ostringstream text;
	text << file.rdbuf();
	return FLAGS_settings.empty() || !file ? std::string() : text.str();
}

absl::StatusOr<Settings> reloadSettings()
{
	return readSettings();
}

absl::StatusOr<Settings> readSettings()
{
	SettingsChecker checker;
	applyEnvironment(checker);
	Settings settings;
	settings.fileText = readSettingsFile();
	if (!FLAGS_settings.empty() && settings.fileText.empty())
	{
		checker.addError("settings", "the path of a readable file that is not empty");
	}
	applyFile(checker, settings.fileText);
	settings.ip = FLAGS_ip;
	if (QHostAddress(QString::fromStdString(FLAGS_ip)).isNull())
	{
		checker.addError("ip", "an IP address");
	}
	settings.port = static_cast<std::uint16_t>(checker.integer("port", FLAGS_port, 0, kMaxPort));
	settings.peerPort = static_cast<std::uint16_t>(checker.integer("peer_port", FLAGS_peer_port, 0, kMaxPort));
	settings.failureDomain = FLAGS_failure_domain;
	if (FLAGS_failure_domain.empty())
	{
		checker.addError("failure_domain", "the name of this VM's failure domain");
	}
	if (FLAGS_adapter.empty())
	{
		settings.logAddress = checker.address("log_address", FLAGS_log_address);
		settings.vmListAddress = checker.address("vm_list_address", FLAGS_vm_list_address);
	}
	settings.callers = checker.credentials("callers", FLAGS_callers);
	settings.operators = checker.credentials("operators", FLAGS_operators);
	settings.peerSecret = FLAGS_peer_secret;
	if (FLAGS_peer_secret.size() < kMinSecretLength)
	{
		checker.addError("peer_secret", "at least 16 characters long");
	}
	settings.tls = TlsFiles{FLAGS_tls_certificate, FLAGS_tls_key};
	checker.requireFile("tls_certificate", FLAGS_tls_certificate);
	checker.requireFile("tls_key", FLAGS_tls_key);
	if (FLAGS_tls_certificate.empty() != FLAGS_tls_key.empty())
	{
		checker.addError("tls_key", "given if and only if tls_certificate is given");
	}
	settings.threads = static_cast<std::size_t>(checker.integer("threads", FLAGS_threads, 1, 64));
	settings.traceFile = FLAGS_trace_file;
	settings.drainSeconds = checker.integer("drain_seconds", FLAGS_drain_seconds, 1, 3'600);
	settings.endpointsPerPool =
		static_cast<std::size_t>(checker.integer("endpoints_per_pool", FLAGS_endpoints_per_pool, 8, 10'000));
	settings.resultCacheBytes =
		static_cast<std::size_t>(checker.integer("answer_mb", FLAGS_answer_mb, 1, 1'024)) * kBytesPerMegabyte;
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
		const bool isHidden = isSecretFlag(name) && !info.current_value.empty();
		const std::string value = isHidden ? "(set)" : info.current_value;
		absl::StrAppend(&text, name, "\t", value, "\t", info.default_value, "\t", info.description, "\n");
	}
	return text;
}

} // namespace roadferry
