/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Metrics of a node in the Prometheus text format.

#ifndef ROADFERRY_METRICS_H_HEADER_GUARD
#define ROADFERRY_METRICS_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <mutex>

namespace roadferry
{

/// Records outcomes and durations of requests and stages. Thread-safe.
class Metrics
{
public:
	Metrics();
	~Metrics();
	Metrics(const Metrics&) = delete;
	Metrics& operator=(const Metrics&) = delete;

	/// Records the outcome of a request.
	/// @param[in] _seconds Time from arrival to outcome, in seconds.
	void recordRequest(const std::string& _pipeline, const Outcome& _outcome, double _seconds);

	/// Records a completed stage.
	/// @param[in] _seconds Time that the stage occupied its endpoint, in seconds.
	/// @param[in] _tokens Number of generated tokens.
	void recordStage(const std::string& _pipeline, const std::string& _stage, double _seconds, std::int64_t _tokens);

	/// @param[in] _counters Counters of the dispatcher, exported with the metrics recorded here.
	/// @param[in] _inFlight Number of requests in flight.
	/// @returns All metrics in the Prometheus text format.
	[[nodiscard]] std::string toPrometheus(const DispatcherCounters& _counters, std::size_t _inFlight) const;

private:
	struct Impl;
	mutable std::mutex lock;
	std::unique_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_METRICS_H_HEADER_GUARD
