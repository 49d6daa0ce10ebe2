/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of EndpointProber.

#include "endpoint_prober.h"

#include "clock.h"

namespace roadferry
{

namespace
{

/// A probe is answered within a few milliseconds unless the host is down. Requests wait for it before they are retried.
constexpr Micros kProbeTimeout = 100 * kMillisecond;

} // namespace

EndpointProber::EndpointProber(HttpClient& _client, std::uint64_t _firstNumber, EndpointProberContext _context)
	: client(_client), context(std::move(_context)), lastProbe(_firstNumber)
{
}

void EndpointProber::probe(const std::string& _endpoint, const std::string& _address, const ProbeHandler& _done)
{
	if (this->context.isPathLost(_endpoint))
	{
		this->askWitnesses(Round{.endpoint = _endpoint, .isPathLost = true, .done = _done});
		return;
	}
	this->client.probe(0, _address, kProbeTimeout,
					   [this, _endpoint, _done](ProbeResult _result)
					   { this->onProbedHere(_endpoint, _result, _done); });
}

void EndpointProber::probeThrough(const std::string& _node, const std::string& _endpoint, const std::string& _address,
								  const ProbeHandler& _done)
{
	const auto onAnswer = [this, _endpoint, _address, _done](const ProbeFinding& _finding)
	{
		if (_finding.result != ProbeResult::Refused)
		{
			_done(_finding);
			return;
		}
		this->probe(_endpoint, _address,
					[_done](const ProbeFinding& _other) {
						_done(ProbeFinding{_other.result, true});
					});
	};
	this->ask({_node}, Round{.endpoint = _endpoint, .done = onAnswer});
}

void EndpointProber::onProbedHere(const std::string& _endpoint, ProbeResult _result, const ProbeHandler& _done)
{
	switch (_result)
	{
	case ProbeResult::Accepted:
		this->context.onConnected(_endpoint);
		_done(ProbeFinding{_result, false});
		break;
	case ProbeResult::NoAnswer:
		_done(ProbeFinding{_result, false});
		break;
	case ProbeResult::Refused:
		this->refusalCount += 1;
		this->askWitnesses(Round{.endpoint = _endpoint, .refusedHere = true, .done = _done});
		break;
	}
}

void EndpointProber::askWitnesses(Round _round)
{
	const std::vector<std::string> witnesses = this->context.witnesses();
	if (witnesses.empty())
	{
		_round.done(ProbeFinding{this->resultWithoutWitness(_round), _round.refusedHere || _round.isPathLost});
		return;
	}
	this->ask(witnesses, std::move(_round));
}

void EndpointProber::ask(const std::vector<std::string>& _nodes, Round _round)
{
	const EndpointProbeRequest question{++this->lastProbe, _round.endpoint};
	_round.waitingFor = {_nodes.begin(), _nodes.end()};
	_round.deadline = monotonicNow() + kProbeTimeout;
	this->rounds.emplace(question.probe, std::move(_round));
	for (const std::string& node : _nodes)
	{
		this->context.send(node, question);
	}
}

/// @returns Result if no node that was asked reaches the endpoint or knows that it has ended.
ProbeResult EndpointProber::resultWithoutWitness(const Round& _round) const
{
	if (_round.refusedThere)
	{
		return ProbeResult::Refused;
	}
	// A node that has lost paths does not trust its own refusals.
	const bool trustsItself = _round.refusedHere && !this->context.hasLostPaths();
	return trustsItself ? ProbeResult::Refused : ProbeResult::NoAnswer;
}

void EndpointProber::receive(const std::string& _from, const EndpointProbeAnswer& _answer)
{
	const auto found = this->rounds.find(_answer.probe);
	if (found == this->rounds.end() || found->second.waitingFor.erase(_from) == 0)
	{
		return;
	}
	Round& round = found->second;
	if (_answer.result == ProbeResult::Accepted)
	{
		if (round.refusedHere || round.isPathLost)
		{
			this->context.onReachedThrough(round.endpoint, _from);
		}
		this->finish(_answer.probe, ProbeResult::Accepted);
		return;
	}
	round.refusedThere = round.refusedThere || _answer.result == ProbeResult::Refused;
	if (round.waitingFor.empty())
	{
		this->finish(_answer.probe, this->resultWithoutWitness(round));
	}
}

void EndpointProber::finish(std::uint64_t _probe, ProbeResult _result)
{
	const auto found = this->rounds.find(_probe);
	const Round round = std::move(found->second);
	this->rounds.erase(found);
	round.done(ProbeFinding{_result, round.refusedHere || round.isPathLost});
}

std::uint64_t EndpointProber::refusals() const
{
	return this->refusalCount;
}

void EndpointProber::tick(Micros _now)
{
	while (!this->rounds.empty() && this->rounds.begin()->second.deadline <= _now)
	{
		this->finish(this->rounds.begin()->first, this->resultWithoutWitness(this->rounds.begin()->second));
	}
}

} // namespace roadferry
