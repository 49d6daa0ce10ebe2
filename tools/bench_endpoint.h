/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Simulated endpoints in virtual time: an engine with continuous batching, and a plain stage that runs a fixed number
/// of calls in parallel.

#ifndef ROADFERRY_BENCH_ENDPOINT_H_HEADER_GUARD
#define ROADFERRY_BENCH_ENDPOINT_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <list>

namespace roadferry
{

/// One call on an endpoint.
struct BenchJob
{
	std::size_t node = 0; ///< Entry node that sent the call.
	std::uint64_t attempt = 0;
	std::uint64_t request = 0;
	double promptTokens = 0;
	double maxTokens = 0;
	std::uint64_t prefix = 0;
	double serviceTimeUs = 0; ///< Plain stage only: service time in microseconds at normal speed.
	Micros arrivedAt = 0;     ///< 0 before the call reaches the endpoint.
	Micros firstTokenAt = 0;  ///< 0 before the first token, and on plain stages.
	double prefillTokensLeft = 0;
	double decodeTokensLeft = 0;
	double serviceTimeLeftUs = 0;
};

/// Performance model of an engine. The slowdown of decoding by prefill on the same engine matches measurements with
/// prompts of several thousand tokens.
struct BenchEngineModel
{
	double prefillTokensPerSecond = 20'000;
	double stepBaseUs = 8'000;      ///< Duration of a decoding step with an empty batch.
	double stepPerSequenceUs = 350; ///< Added to the step by each sequence of the batch.
	double prefillSlowdown = 1.9;   ///< Factor on the decoding step while a prompt is prefilled.
	std::size_t maxBatchSize = 24;
	std::size_t prefixCacheCapacity = 12; ///< Prefixes.
	double cachedPromptShare = 0.8;       ///< Share of a prompt that needs no prefill when its prefix is cached.
};

/// A simulated endpoint: an engine, or a plain stage.
class BenchEndpoint
{
public:
	/// @param[in] _engine Performance model of an engine; std::nullopt for a plain stage.
	BenchEndpoint(Endpoint _endpoint, std::optional<BenchEngineModel> _engine);

	/// Advances the simulation to a point in time.
	/// @returns Calls that finished by then.
	std::vector<BenchJob> advance(Micros _now);

	/// Starts a call, or queues it when all slots are in use.
	void addJob(BenchJob _job, Micros _now);

	/// Removes a running or queued call.
	/// @returns The call, or std::nullopt if the endpoint does not have it.
	std::optional<BenchJob> removeJob(std::size_t _node, std::uint64_t _attempt);

	/// @returns Time at which the next call or prefill finishes, or std::nullopt when no call is running.
	[[nodiscard]] std::optional<Micros> nextChangeAt() const;

	[[nodiscard]] LoadReport loadReport() const;

	/// Calculates the engine time of a call at best utilization: with its prefix cached, in the largest batch that
	/// still lets it finish in time.
	/// @param[in] _timeBudget Time that the call may take.
	/// @returns Seconds of engine time, or std::nullopt if the call cannot finish in time.
	[[nodiscard]] std::optional<double> minEngineSeconds(const BenchJob& _job, Micros _timeBudget) const;

	Endpoint endpoint;
	double speedFactor = 1; ///< Below 1 for a slow endpoint.
	bool isFailing = false; ///< Whether new calls are interrupted.
	Micros now = 0;

private:
	/// Reduces the remaining work of all running calls by the given time.
	void advanceBy(double _micros);
	[[nodiscard]] double microsToNextChange() const;
	/// @returns Tokens per microsecond and sequence.
	[[nodiscard]] double decodeRate() const;
	void startQueued();
	void removeFinished(std::vector<BenchJob>& _finished);
	/// Makes a prefix the most recently used one of the cache.
	/// @returns Share of the prompt that was already cached.
	double touchPrefix(std::uint64_t _prefix);

	std::optional<BenchEngineModel> engine;
	std::list<BenchJob> running;
	std::list<BenchJob> queued;
	std::list<std::uint64_t> cachedPrefixes; ///< Most recent first.
};

} // namespace roadferry

#endif // ROADFERRY_BENCH_ENDPOINT_H_HEADER_GUARD
