/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Endpoints in virtual time, for measurements of the decisions: an engine that batches continuously, and a plain stage
/// that runs so many calls at once.

#ifndef ROADFERRY_BENCH_ENDPOINT_H_HEADER_GUARD
#define ROADFERRY_BENCH_ENDPOINT_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <list>

namespace roadferry
{

/// One call on an endpoint.
struct BenchJob
{
	std::size_t node = 0; ///< Entry node that sent it.
	std::uint64_t attempt = 0;
	std::uint64_t request = 0;
	double promptTokens = 0;
	double maxTokens = 0;
	std::uint64_t prefix = 0;
	double serviceTimeUs = 0; ///< Of a plain stage: microseconds on an endpoint of usual speed.
	Micros arrivedAt = 0;
	Micros firstTokenAt = 0;
	double prefillTokensLeft = 0;
	double decodeTokensLeft = 0;
	double serviceTimeLeftUs = 0;
};

/// How an engine behaves. The slowing of decoding by prefill on the same engine is of the size that table B2 of
/// "Window 1 Results: B1' + B2 + B3" gives for prompts of some thousand tokens.
struct BenchEngineModel
{
	double prefillTokensPerSecond = 20'000;
	double stepBaseUs = 8'000;      ///< Microseconds of a decoding step with an empty batch.
	double stepPerSequenceUs = 350; ///< Added by each sequence of the batch.
	double prefillSlowdown = 1.9;   ///< Of decoding, while a prompt is being processed.
	std::size_t maxBatchSize = 24;
	std::size_t prefixCacheCapacity = 12;
	double cachedPromptShare = 0.8; ///< Of a prompt whose prefix is in the cache.
};

/// An endpoint; either an engine or a plain stage.
class BenchEndpoint
{
public:
	BenchEndpoint(Endpoint _endpoint, std::optional<BenchEngineModel> _engine);

	/// Lets time pass up to a point.
	/// @returns Jobs that ended on the way.
	std::vector<BenchJob> advance(Micros _now);

	void addJob(BenchJob _job, Micros _now);

	/// @returns Time that the job had been held, where it was there.
	std::optional<BenchJob> removeJob(std::size_t _node, std::uint64_t _attempt);

	/// @returns Time of the next change, or nothing when there is none.
	[[nodiscard]] std::optional<Micros> nextChangeAt() const;

	[[nodiscard]] LoadReport loadReport() const;

	/// @param[in] _timeBudget Time that the call may take.
	/// @returns Seconds of this endpoint that one such call takes when it is used best: with the largest batch at which
	/// the call alone, its prefix cached, ends within its time. Nothing where it cannot.
	[[nodiscard]] std::optional<double> minEngineSeconds(const BenchJob& _job, Micros _timeBudget) const;

	Endpoint endpoint;
	double speedFactor = 1; ///< Below one for a slow endpoint.
	bool isFailing = false; ///< Cuts every call short.
	Micros now = 0;

private:
	void advanceBy(double _micros);
	[[nodiscard]] double microsToNextChange() const;
	[[nodiscard]] double decodeRate() const;
	void startQueued();
	void removeFinished(std::vector<BenchJob>& _finished);
	double touchPrefix(std::uint64_t _prefix);

	std::optional<BenchEngineModel> engine;
	std::list<BenchJob> running;
	std::list<BenchJob> queued;
	std::list<std::uint64_t> cachedPrefixes; ///< Most recent first.
};

} // namespace roadferry

#endif // ROADFERRY_BENCH_ENDPOINT_H_HEADER_GUARD
