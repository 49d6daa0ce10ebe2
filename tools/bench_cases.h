/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Benchmark cases that model the deployments of both users.

#ifndef ROADFERRY_BENCH_CASES_H_HEADER_GUARD
#define ROADFERRY_BENCH_CASES_H_HEADER_GUARD

#include "bench_run.h"

namespace roadferry
{

/// The Pariksha Setu deployment at the start of an exam.
/// @param[in] _burstFactor Load during the burst as a multiple of the planned load; 1 for no burst.
BenchCase makeExamCase(double _burstFactor);

/// The Maule deployment during a storm, with the engines and retrievers of one failure domain slowed down.
/// @param[in] _burstFactor Load during the burst as a multiple of the planned load; 1 for neither burst nor slowdown.
BenchCase makeStormCase(double _burstFactor);

/// The exam case at four times its size, with 12 nodes that each use a subset of each pool.
/// @param[in] _maxEndpointsPerPool Maximum endpoints of a pool that one node uses.
BenchCase makeSubsetCase(std::size_t _maxEndpointsPerPool);

/// The exam case at the planned load, with every reranker failing for 20 s.
BenchCase makeOutageCase();

/// Dispatcher settings of a baseline: FIFO order, no admission control, no ejection and no reserve for urgent requests.
/// @param[in] _placement Name of the placement policy.
DispatcherConfig makeBaselineConfig(const std::string& _placement);

} // namespace roadferry

#endif // ROADFERRY_BENCH_CASES_H_HEADER_GUARD
