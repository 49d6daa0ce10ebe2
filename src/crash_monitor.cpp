/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of CrashMonitor.

#include "crash_monitor.h"

#include "clock.h"
#include "logging.h"
#include "request_digest.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace roadferry
{

namespace
{

constexpr Micros kSecondProbeDelay = 200 * kMillisecond;  ///< For a process that ends to close its port.
constexpr Micros kConfirmationDelay = 100 * kMillisecond; ///< The same, while a response waits for the result.
constexpr Micros kExpiryPeriod = kSecond;
constexpr std::size_t kRequestedPeers = 3; ///< Nodes that a new process asks for the crashes that they know.

EndpointProbe endpointProbe(ProbeResult _result)
{
	switch (_result)
	{
	case ProbeResult::Accepted:
		return EndpointProbe::Listening;
	case ProbeResult::Refused:
		return EndpointProbe::Ended;
	case ProbeResult::NoAnswer:
		break;
	}
	return EndpointProbe::Unreachable;
}

std::string_view nameOf(EndpointProbe _probe)
{
	switch (_probe)
	{
	case EndpointProbe::Ended:
		return "ended";
	case EndpointProbe::Listening:
		return "running";
	case EndpointProbe::Unreachable:
		break;
	}
	return "unreachable";
}

std::string joinDigests(const std::set<RequestDigest>& _digests)
{
	return absl::StrJoin(_digests, " ", [](std::string* _out, RequestDigest _digest) { *_out += toText(_digest); });
}

std::string counterText(const char* _name, std::uint64_t _value)
{
	return absl::StrCat("# TYPE ", _name, " counter\n", _name, " ", _value, "\n");
}

} // namespace

CrashMonitor::CrashMonitor(EndpointCalls& _endpointCalls, CrashLedgerConfig _config, CrashMonitorHandlers _handlers)
	: endpointCalls(_endpointCalls), crashLedger(_config), handlers(std::move(_handlers))
{
}

void CrashMonitor::setPeers(const std::vector<std::string>& _others)
{
	this->peers = _others;
	if (_others.empty() || std::exchange(this->requested, true))
	{
		return;
	}
	for (std::size_t index = 0; index < std::min(kRequestedPeers, _others.size()); ++index)
	{
		this->handlers.send(_others[index], CrashReportRequest{});
	}
}

void CrashMonitor::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->report(this->crashLedger.setEndpoints(_endpoints));
}

void CrashMonitor::setMemory(Micros _memory)
{
	this->crashLedger.setMemory(_memory);
}

void CrashMonitor::onCallBroken(const BrokenCall& _call, Micros _now, std::function<void()> _done)
{
	const EndpointCrash broken{_call.endpoint, _call.address, _call.pool, _now, _call.requests, _call.parts};
	const BrokenCallStep step = this->crashLedger.recordBrokenCalls(broken);
	if (step == BrokenCallStep::Report)
	{
		this->report({broken});
	}
	const bool isProbed = step == BrokenCallStep::Probe || this->waiting.count(_call.endpoint) > 0;
	if (!isProbed)
	{
		_done();
		return;
	}
	this->waiting[_call.endpoint].push_back(std::move(_done));
	if (step == BrokenCallStep::Probe)
	{
		this->probe(_call.endpoint, _call.address);
	}
}

void CrashMonitor::onConnectionEnded(const BrokenCall& _call, RunningHandler _done)
{
	this->probeAtEnd(EndedConnection{_call, std::move(_done)});
}

void CrashMonitor::probeAtEnd(const EndedConnection& _ended)
{
	this->endpointCalls.probeBy(_ended.call.madeBy, _ended.call.endpoint, _ended.call.address,
								[this, _ended](const ProbeFinding& _finding)
								{ this->onProbedAtEnd(_ended, _finding); });
}

/// Handles a probe after the end of a connection. What the other nodes report meanwhile, and what this node has
/// recorded of the endpoint before, does not answer the question: it is asked for one response.
void CrashMonitor::onProbedAtEnd(EndedConnection _ended, const ProbeFinding& _finding)
{
	if (_finding.result == ProbeResult::Refused)
	{
		this->onCallBroken(_ended.call, monotonicNow(), [done = _ended.done] { done(false); });
		return;
	}
	if (_finding.notReached || _ended.isProbedAgain)
	{
		// The path may have been cut, or another node may have reached the next process at the address.
		logEvent("endpoint", "not_reached_after_end",
				 {{"endpoint", _ended.call.endpoint}, {"call_made_by", _ended.call.madeBy}});
		_ended.done(false);
		return;
	}
	// A process that ends may close its connections before its port.
	_ended.identifyAt = monotonicNow() + kConfirmationDelay;
	this->endedConnections.push_back(std::move(_ended));
}

/// Asks the processes of endpoints that ended a connection a while ago who they are.
void CrashMonitor::identifyDue(Micros _now)
{
	while (!this->endedConnections.empty() && this->endedConnections.front().identifyAt <= _now)
	{
		const EndedConnection ended = std::move(this->endedConnections.front());
		this->endedConnections.pop_front();
		this->handlers.identify(ended.call, [this, ended](ProcessIdentity _identity, Micros)
								{ this->onIdentified(ended, _identity); });
	}
}

/// Handles what the process at an endpoint's address told about itself after it had ended a connection.
void CrashMonitor::onIdentified(EndedConnection _ended, ProcessIdentity _identity)
{
	logEvent("endpoint", "identified_after_end",
			 {{"endpoint", _ended.call.endpoint},
			  {"process", std::string(nameOf(_identity))},
			  {"call_made_by", _ended.call.madeBy}});
	switch (_identity)
	{
	case ProcessIdentity::Same:
	case ProcessIdentity::Unknown: // It has the endpoint's id, and may have started again under it.
		_ended.done(true);
		break;
	case ProcessIdentity::Other:
		this->onCallBroken(_ended.call, monotonicNow(), [done = _ended.done] { done(false); });
		break;
	case ProcessIdentity::NoAnswer:
		_ended.isProbedAgain = true;
		this->probeAtEnd(_ended);
		break;
	}
}

void CrashMonitor::probe(const std::string& _endpoint, const std::string& _address)
{
	this->endpointCalls.probe(_endpoint, _address,
							  [this, _endpoint, _address](const ProbeFinding& _finding)
							  { this->onProbed(_endpoint, _address, _finding.result); });
}

void CrashMonitor::onProbed(const std::string& _endpoint, const std::string& _address, ProbeResult _result)
{
	const EndpointProbe probe = endpointProbe(_result);
	const auto [crash, probeAgain] = this->crashLedger.recordProbe(_endpoint, probe);
	if (probeAgain)
	{
		this->secondProbes.push_back(SecondProbe{monotonicNow() + kSecondProbeDelay, _endpoint, _address});
	}
	logEvent("endpoint", "probed_after_broken_call",
			 {{"endpoint", _endpoint},
			  {"process", std::string(nameOf(probe))},
			  {"contents", crash ? joinDigests(crash->requests) : std::string()},
			  {"part_keys", crash ? joinDigests(crash->parts) : std::string()}});
	if (crash)
	{
		this->crashCount += 1;
		this->report({*crash});
	}
	const auto found = this->waiting.find(_endpoint);
	if (found == this->waiting.end())
	{
		return; // A second probe, for which no request waits.
	}
	const std::vector<std::function<void()>> waitingHandlers = std::move(found->second);
	this->waiting.erase(found);
	for (const std::function<void()>& handler : waitingHandlers)
	{
		handler();
	}
}

/// Logs which of the requests of a crash are not sent to endpoints any more.
void CrashMonitor::logFatalRequests(const EndpointCrash& _crash, const std::string& _source) const
{
	for (const RequestDigest request : _crash.requests)
	{
		if (!this->mayRun(request))
		{
			logEvent("request", "content_blocked",
					 {{"content", toText(request)},
					  {"endpoint", _crash.endpoint},
					  {"crashes", this->crashLedger.crashesOf(request)},
					  {"source", _source}});
		}
	}
}

void CrashMonitor::report(const std::vector<EndpointCrash>& _crashes)
{
	if (_crashes.empty())
	{
		return;
	}
	CrashReport report;
	for (const EndpointCrash& crash : _crashes)
	{
		this->logFatalRequests(crash, "this node");
		this->handlers.onCrash(crash, {});
		report.crashes.push_back(crash);
		report.crashes.back().at = monotonicNow() - crash.at;
	}
	for (const BroadcastStep& step : planBroadcast(this->peers))
	{
		report.forwardTo = step.forwardTo;
		this->handlers.send(step.to, report);
	}
}

void CrashMonitor::onReport(const std::string& _from, const CrashReport& _report, Micros _now)
{
	for (const EndpointCrash& reported : _report.crashes)
	{
		EndpointCrash crash = reported;
		crash.at = _now - reported.at;
		logEvent("endpoint", "crash_reported",
				 {{"endpoint", crash.endpoint},
				  {"from", _from},
				  {"age_ms", reported.at / kMillisecond},
				  {"contents", joinDigests(crash.requests)},
				  {"part_keys", joinDigests(crash.parts)}});
		this->crashLedger.merge(crash);
		this->logFatalRequests(crash, _from);
		this->handlers.onCrash(crash, _from);
	}
	CrashReport copy = _report;
	copy.forwardTo.clear();
	for (const std::string& next : _report.forwardTo)
	{
		this->handlers.send(next, copy);
	}
}

void CrashMonitor::receive(const std::string& _from, const CrashMessage& _message, Micros _now)
{
	std::visit(Overloaded{[&](const CrashReport& _report) { this->onReport(_from, _report, _now); },
						  [&](const CrashReportRequest&)
						  {
							  CrashReport reply{this->crashLedger.crashes(), {}};
							  for (EndpointCrash& crash : reply.crashes)
							  {
								  crash.at = _now - crash.at;
							  }
							  if (!reply.crashes.empty())
							  {
								  this->handlers.send(_from, reply);
							  }
						  }},
			   _message);
}

void CrashMonitor::onAnswered(RequestDigest _request)
{
	this->crashLedger.recordAnswered(_request);
}

void CrashMonitor::tick(Micros _now)
{
	while (!this->secondProbes.empty() && this->secondProbes.front().at <= _now)
	{
		const SecondProbe due = this->secondProbes.front();
		this->secondProbes.pop_front();
		this->probe(due.endpoint, due.address);
	}
	this->identifyDue(_now);
	if (_now >= this->nextExpiryAt)
	{
		this->nextExpiryAt = _now + kExpiryPeriod;
		this->crashLedger.expire(_now);
	}
}

bool CrashMonitor::mayRun(RequestDigest _request) const
{
	return this->crashLedger.mayRun(_request);
}

const CrashLedger& CrashMonitor::ledger() const
{
	return this->crashLedger;
}

std::string CrashMonitor::metricsText() const
{
	return absl::StrCat(counterText("roadferry_endpoint_crashes_total", this->crashCount),
						counterText("roadferry_crash_records_dropped_total", this->crashLedger.droppedCrashes()),
						"# TYPE roadferry_crash_records gauge\nroadferry_crash_records ",
						this->crashLedger.crashes().size(), "\n",
						"# TYPE roadferry_blocked_contents gauge\nroadferry_blocked_contents ",
						this->crashLedger.blockedRequests().size(), "\n");
}

} // namespace roadferry
