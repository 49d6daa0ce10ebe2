/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// One measurement of the decisions in virtual time: entry nodes that each run a dispatcher, endpoints they share, and
/// a seeded stream of requests. Gives the same figures on every run.

#ifndef ROADFERRY_BENCH_RUN_H_HEADER_GUARD
#define ROADFERRY_BENCH_RUN_H_HEADER_GUARD

#include "bench_endpoint.h"

namespace roadferry
{

/// A kind of request.
struct BenchWorkload
{
	std::string name;
	std::vector<std::string> stages;
	double requestsPerSecond = 0; ///< At the planned load, over all workspaces.
	Micros timeout = 0;
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	bool isUrgent = false;
	std::int64_t prefixCount = 0; ///< Different prompt prefixes in use, 0 for none shared.
	bool scalesWithBurst = true;  ///< Whether the burst multiplies it.
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

/// What goes wrong, and when.
struct BenchFault
{
	std::string pool;
	std::size_t stride = 1; ///< Each so manieth endpoint of the pool.
	Micros from = 0;
	Micros to = 0;
	double speedFactor = 1;
	bool isFailing = false;
};

/// A deployment with its load.
struct BenchCase
{
	std::string name;
	std::vector<BenchPool> pools;
	std::vector<BenchWorkload> workloads;
	std::vector<std::pair<std::string, double>> workspaces; ///< Name and share of the load; its weight is the same.
	std::vector<BenchFault> faults;
	double burstFactor = 1;
	Micros burstFrom = 20 * kSecond;
	Micros burstTo = 60 * kSecond;
	Micros arrivalsEnd = 90 * kSecond;
	std::size_t nodeCount = 7;
	std::size_t maxEndpointsPerPool = 10'000; ///< Most that one node uses.
};

/// Figures of one run.
struct BenchResults
{
	std::uint64_t offered = 0;
	std::uint64_t answered = 0; ///< Whole and within the deadline.
	std::uint64_t refused = 0;  ///< Not run.
	std::uint64_t attempts = 0;
	std::uint64_t retries = 0;
	std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> byWorkload;  ///< Offered and answered.
	std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> byWorkspace; ///< Offered and answered.
	std::map<std::string, double> endpointSecondsByPool;                        ///< Time that calls held endpoints.
	double usedEndpointSeconds = 0;
	double wastedEndpointSeconds = 0; ///< Of it, for requests that missed.
	double answeredEngineSeconds = 0; ///< Best seconds of engine time of the requests that were answered.
	double engineSecondsBound = 0;    ///< The most of it that any order could have answered.
	std::vector<Micros> timesToFirstToken;
	std::vector<Micros> timesBetweenTokens;
	std::vector<Micros> latencies;                                      ///< Of answered requests.
	std::map<Micros, std::pair<std::uint64_t, std::uint64_t>> bySecond; ///< Offered and answered, by arrival.
};

/// Runs a case under a dispatcher's settings.
BenchResults runBench(const BenchCase& _case, const DispatcherConfig& _config);

constexpr double kPercent = 100.0;

/// @returns A part of a whole in percent; all where there is nothing.
double percent(double _part, double _whole);

/// @param[in] _counts Offered and answered.
double attainmentPercent(const std::pair<std::uint64_t, std::uint64_t>& _counts);

double toMilliseconds(Micros _time);

/// @returns The value below which a share of the values lies.
Micros quantile(std::vector<Micros> _values, double _share);

} // namespace roadferry

#endif // ROADFERRY_BENCH_RUN_H_HEADER_GUARD
