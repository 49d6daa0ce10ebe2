/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Metrics of a node, served as Prometheus text.

#ifndef ROADFERRY_METRICS_H_HEADER_GUARD
#define ROADFERRY_METRICS_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <mutex>

namespace roadferry
{

/// Counts outcomes and times of requests and stages. Safe to call from any thread.
class Metrics
{
public:
	Metrics();
	~Metrics();
	Metrics(const Metrics&) = delete;
	Metrics& operator=(const Metrics&) = delete;

	/// @param[in] _seconds From arrival to outcome.
	void recordRequest(const std::string& _pipeline, const Outcome& _outcome, double _seconds);

	/// @param[in] _seconds Time that the endpoint was held.
	/// @param[in] _tokens Tokens generated.
	void recordStage(const std::string& _pipeline, const std::string& _stage, double _seconds, std::int64_t _tokens);

	/// @returns All metrics as Prometheus text.
	[[nodiscard]] std::string toPrometheus(const DispatcherCounters& _counters, std::size_t _inFlight) const;

private:
	struct Impl;
	mutable std::mutex lock;
	std::unique_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_METRICS_H_HEADER_GUARD
