/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the simulated endpoints.

#include "bench_endpoint.h"

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr double kEpsilon = 1e-6; ///< Remaining work up to this counts as finished.
constexpr double kMicrosPerSecond = 1e6;

} // namespace

BenchEndpoint::BenchEndpoint(Endpoint _endpoint, std::optional<BenchEngineModel> _engine)
	: endpoint(std::move(_endpoint)), engine(_engine)
{
}

double BenchEndpoint::decodeRate() const
{
	const auto decoding =
		static_cast<double>(std::count_if(this->running.begin(), this->running.end(),
										  [](const BenchJob& _job) { return _job.prefillTokensLeft <= kEpsilon; }));
	const bool isPrefilling = decoding < static_cast<double>(this->running.size());
	const double slowdown = isPrefilling ? this->engine->prefillSlowdown : 1.0;
	const double stepUs = (this->engine->stepBaseUs + this->engine->stepPerSequenceUs * decoding) * slowdown;
	return this->speedFactor / stepUs;
}

double BenchEndpoint::microsToNextChange() const
{
	double shortest = INFINITY;
	if (!this->engine)
	{
		for (const BenchJob& job : this->running)
		{
			shortest = std::min(shortest, job.serviceTimeLeftUs / this->speedFactor);
		}
		return shortest;
	}
	const double rate = this->decodeRate();
	bool isPrefilling = false;
	for (const BenchJob& job : this->running)
	{
		if (job.prefillTokensLeft <= kEpsilon)
		{
			shortest = std::min(shortest, job.decodeTokensLeft / rate);
		}
		else if (!isPrefilling)
		{
			isPrefilling = true;
			shortest = std::min(shortest, job.prefillTokensLeft * kMicrosPerSecond /
											  (this->engine->prefillTokensPerSecond * this->speedFactor));
		}
	}
	return shortest;
}

void BenchEndpoint::advanceBy(double _micros)
{
	if (!this->engine)
	{
		for (BenchJob& job : this->running)
		{
			job.serviceTimeLeftUs -= _micros * this->speedFactor;
		}
		return;
	}
	const double rate = this->decodeRate();
	bool isPrefilling = false;
	for (BenchJob& job : this->running)
	{
		if (job.prefillTokensLeft <= kEpsilon)
		{
			job.decodeTokensLeft -= rate * _micros;
		}
		else if (!isPrefilling)
		{
			// Prompts are prefilled one at a time, in order of arrival.
			isPrefilling = true;
			job.prefillTokensLeft -=
				this->engine->prefillTokensPerSecond * this->speedFactor * _micros / kMicrosPerSecond;
			if (job.prefillTokensLeft <= kEpsilon)
			{
				job.firstTokenAt = this->now + static_cast<Micros>(_micros);
			}
		}
	}
}

double BenchEndpoint::touchPrefix(std::uint64_t _prefix)
{
	if (_prefix == 0)
	{
		return 0;
	}
	const auto found = std::find(this->cachedPrefixes.begin(), this->cachedPrefixes.end(), _prefix);
	const bool isCached = found != this->cachedPrefixes.end();
	if (isCached)
	{
		this->cachedPrefixes.erase(found);
	}
	this->cachedPrefixes.push_front(_prefix);
	if (this->cachedPrefixes.size() > this->engine->prefixCacheCapacity)
	{
		this->cachedPrefixes.pop_back();
	}
	return isCached ? this->engine->cachedPromptShare : 0;
}

void BenchEndpoint::startQueued()
{
	const std::size_t maxRunning =
		this->engine ? this->engine->maxBatchSize : static_cast<std::size_t>(this->endpoint.slots);
	while (!this->queued.empty() && this->running.size() < maxRunning)
	{
		BenchJob& job = this->queued.front();
		if (this->engine)
		{
			job.prefillTokensLeft = std::max(1.0, job.promptTokens * (1 - this->touchPrefix(job.prefix)));
		}
		this->running.splice(this->running.end(), this->queued, this->queued.begin());
	}
}

void BenchEndpoint::removeFinished(std::vector<BenchJob>& _finished)
{
	for (auto job = this->running.begin(); job != this->running.end();)
	{
		const bool isFinished = this->engine ? job->prefillTokensLeft <= kEpsilon && job->decodeTokensLeft <= kEpsilon
											 : job->serviceTimeLeftUs <= kEpsilon;
		if (!isFinished)
		{
			++job;
			continue;
		}
		_finished.push_back(*job);
		job = this->running.erase(job);
	}
	this->startQueued();
}

std::vector<BenchJob> BenchEndpoint::advance(Micros _now)
{
	std::vector<BenchJob> finished;
	while (this->now < _now)
	{
		const double untilChange = this->microsToNextChange();
		const auto span = static_cast<double>(_now - this->now);
		const double micros = std::min(span, std::max(1.0, std::ceil(untilChange)));
		this->advanceBy(micros);
		this->now += static_cast<Micros>(micros);
		this->removeFinished(finished);
	}
	return finished;
}

void BenchEndpoint::addJob(BenchJob _job, Micros _now)
{
	_job.arrivedAt = _now;
	_job.decodeTokensLeft = _job.maxTokens;
	_job.serviceTimeLeftUs = _job.serviceTimeUs;
	this->queued.push_back(_job);
	this->startQueued();
}

std::optional<BenchJob> BenchEndpoint::removeJob(std::size_t _node, std::uint64_t _attempt)
{
	for (std::list<BenchJob>* list : {&this->running, &this->queued})
	{
		const auto found =
			std::find_if(list->begin(), list->end(),
						 [&](const BenchJob& _job) { return _job.node == _node && _job.attempt == _attempt; });
		if (found != list->end())
		{
			const BenchJob job = *found;
			list->erase(found);
			this->startQueued();
			return job;
		}
	}
	return std::nullopt;
}

std::optional<Micros> BenchEndpoint::nextChangeAt() const
{
	const double untilChange = this->microsToNextChange();
	if (!std::isfinite(untilChange))
	{
		return std::nullopt;
	}
	return this->now + std::max<Micros>(1, static_cast<Micros>(std::ceil(untilChange)));
}

LoadReport BenchEndpoint::loadReport() const
{
	return LoadReport{static_cast<std::int64_t>(this->running.size()), static_cast<std::int64_t>(this->queued.size()),
					  false};
}

std::optional<double> BenchEndpoint::minEngineSeconds(const BenchJob& _job, Micros _timeBudget) const
{
	const double cachedShare = _job.prefix == 0 ? 0 : this->engine->cachedPromptShare;
	const double prefillSeconds = _job.promptTokens * (1 - cachedShare) / this->engine->prefillTokensPerSecond;
	const double stepBudgetUs =
		(static_cast<double>(_timeBudget) - prefillSeconds * kMicrosPerSecond) / std::max(1.0, _job.maxTokens);
	const double maxSequences = std::floor((stepBudgetUs - this->engine->stepBaseUs) / this->engine->stepPerSequenceUs);
	const double batch = std::min(maxSequences, static_cast<double>(this->engine->maxBatchSize));
	if (batch < 1)
	{
		return std::nullopt;
	}
	const double microsPerToken = (this->engine->stepBaseUs + this->engine->stepPerSequenceUs * batch) / batch;
	// Prefill slows decoding down; the decoding time lost is the cost of the prompt.
	const double lostShare = 1 - 1 / this->engine->prefillSlowdown;
	return prefillSeconds * lostShare + _job.maxTokens * microsPerToken / kMicrosPerSecond;
}

} // namespace roadferry
