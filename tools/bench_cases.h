/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The deployments of both users, as cases of the measurement.

#ifndef ROADFERRY_BENCH_CASES_H_HEADER_GUARD
#define ROADFERRY_BENCH_CASES_H_HEADER_GUARD

#include "bench_run.h"

namespace roadferry
{

/// Pariksha Setu at the start of an exam.
/// @param[in] _burstFactor Multiple of the planned load; 1 for a quiet day.
BenchCase makeExamCase(double _burstFactor);

/// Maule in a storm, with the endpoints of one failure domain slowed down; 1 for a quiet day.
BenchCase makeStormCase(double _burstFactor);

/// The exam at four times its size, with twelve nodes that each use only a part of each pool.
BenchCase makeSubsetCase(std::size_t _maxEndpointsPerPool);

/// A pool of rerankers that is out for 20 s and comes back, at the planned load.
BenchCase makeOutageCase();

/// The settings of the baselines.
DispatcherConfig makeBaselineConfig(const std::string& _placement);

} // namespace roadferry

#endif // ROADFERRY_BENCH_CASES_H_HEADER_GUARD
