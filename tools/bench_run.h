/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Simulation of a deployment in virtual time: entry nodes that each run a dispatcher, the endpoints they share, and a
/// seeded stream of requests. Every run gives the same results.

#ifndef ROADFERRY_BENCH_RUN_H_HEADER_GUARD
#define ROADFERRY_BENCH_RUN_H_HEADER_GUARD

#include "bench_endpoint.h"

namespace roadferry
{

/// A workload: requests of one pipeline.
struct BenchWorkload
{
	std::string name;
	std::vector<std::string> stages;
	double requestsPerSecond = 0; ///< Planned load, summed over all workspaces.
	Micros timeout = 0;
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	bool isUrgent = false;
	std::int64_t prefixCount = 0; ///< Number of shared prompt prefixes; 0 for none.
	bool scalesWithBurst = true;  ///< Whether a burst multiplies its rate.
};

/// A pool of endpoints.
struct BenchPool
{
	std::string name;
	StageKind kind = StageKind::Service;
	std::int64_t endpointCount = 0;
	std::int64_t slots = 8;
	double serviceTimeMs = 10;
};

/// A fault of some endpoints of a pool during an interval.
struct BenchFault
{
	std::string pool;
	std::size_t stride = 1; ///< Affects every n-th endpoint of the pool.
	Micros from = 0;
	Micros to = 0;
	double speedFactor = 1;
	bool isFailing = false;
};

/// A deployment, its load and its faults.
struct BenchCase
{
	std::string name;
	std::vector<BenchPool> pools;
	std::vector<BenchWorkload> workloads;
	std::vector<std::pair<std::string, double>> workspaces; ///< Name, and share of the load, which is also its weight.
	std::vector<BenchFault> faults;
	double burstFactor = 1;
	Micros burstFrom = 20 * kSecond;
	Micros burstTo = 60 * kSecond;
	Micros arrivalsEnd = 90 * kSecond;
	std::size_t nodeCount = 7;
	std::size_t maxEndpointsPerPool = 10'000; ///< Maximum that one node uses.
};

/// Results of one run.
struct BenchResults
{
	std::uint64_t offered = 0;
	std::uint64_t answered = 0; ///< Complete and within the deadline.
	std::uint64_t refused = 0;  ///< Ended with Verdict::NotRun.
	std::uint64_t attempts = 0;
	std::uint64_t retries = 0;
	std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> byWorkload;  ///< Offered and answered.
	std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> byWorkspace; ///< Offered and answered.
	std::map<std::string, double> endpointSecondsByPool; ///< Time for which calls held endpoints.
	double usedEndpointSeconds = 0;
	double wastedEndpointSeconds = 0; ///< Part of usedEndpointSeconds spent on requests that failed or were late.
	double answeredEngineSeconds = 0; ///< Minimum engine time of the answered requests.
	double engineSecondsBound = 0;    ///< Upper bound of answeredEngineSeconds for any scheduling order.
	std::vector<Micros> timesToFirstToken;
	std::vector<Micros> timesBetweenTokens;
	std::vector<Micros> latencies;                                      ///< Latencies of answered requests.
	std::map<Micros, std::pair<std::uint64_t, std::uint64_t>> bySecond; ///< Offered and answered, by second of arrival.
};

/// Simulates a case with the given dispatcher settings.
BenchResults runBench(const BenchCase& _case, const DispatcherConfig& _config);

constexpr double kPercent = 100.0;

/// @returns A part of a whole in percent; 100 if the whole is 0.
double percent(double _part, double _whole);

/// @param[in] _counts Offered and answered.
double attainmentPercent(const std::pair<std::uint64_t, std::uint64_t>& _counts);

double toMilliseconds(Micros _time);

/// @returns The value at the given quantile, or 0 without values.
Micros quantile(std::vector<Micros> _values, double _share);

} // namespace roadferry

#endif // ROADFERRY_BENCH_RUN_H_HEADER_GUARD
