/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Deployments and loads of both users. Endpoint counts are the users' own; request rates are set so that the planned
/// load uses about half of the engine capacity.

#include "bench_cases.h"

namespace roadferry
{

namespace
{

const std::vector<std::pair<std::string, double>> kWorkspaces = {
	{"large", 0.4}, {"second", 0.3}, {"middle", 0.15}, {"small", 0.1}, {"least", 0.05}};

constexpr std::size_t kFailureDomains = 3;

} // namespace

BenchCase makeExamCase(double _burstFactor)
{
	BenchCase result;
	result.name = _burstFactor > 1 ? "exam" : "exam_quiet";
	result.workspaces = kWorkspaces;
	result.burstFactor = _burstFactor;
	result.pools = {{"encode", StageKind::Encoder, 4, 8, 12},
					{"retrieve", StageKind::Retriever, 4, 8, 15},
					{"rerank", StageKind::Reranker, 4, 8, 20},
					{"generate", StageKind::Engine, 9, 24, 1500},
					{"hall", StageKind::Service, 5, 8, 10}};
	result.workloads = {
		{"marking", {"encode", "retrieve", "rerank", "generate"}, 16, 10 * kSecond, 5'000, 260, false, 24, true},
		{"viva", {"retrieve", "generate"}, 20, 3 * kSecond, 600, 40, false, 40, true},
		{"tagging", {"encode", "rerank"}, 60, 2 * kSecond, 0, 0, false, 0, true},
		{"checkin", {"hall"}, 150, 1 * kSecond, 0, 0, true, 0, true},
		{"save", {"hall"}, 250, 1 * kSecond, 0, 0, true, 0, true}};
	return result;
}

BenchCase makeStormCase(double _burstFactor)
{
	BenchCase result;
	result.name = _burstFactor > 1 ? "storm" : "storm_quiet";
	result.workspaces = kWorkspaces;
	result.burstFactor = _burstFactor;
	result.pools = {{"encode", StageKind::Encoder, 5, 8, 12},
					{"retrieve", StageKind::Retriever, 8, 8, 30},
					{"rerank", StageKind::Reranker, 5, 8, 20},
					{"generate", StageKind::Engine, 18, 24, 900},
					{"ventanilla", StageKind::Service, 4, 8, 15}};
	result.workloads = {
		{"explain", {"encode", "retrieve", "rerank", "generate"}, 50, 3 * kSecond, 1'500, 90, false, 60, true},
		{"outage", {"encode", "retrieve", "generate"}, 40, 3 * kSecond, 800, 50, false, 30, true},
		{"history", {"ventanilla"}, 80, 2 * kSecond, 0, 0, false, 0, false},
		{"clinic", {"ventanilla"}, 20, 1 * kSecond, 0, 0, true, 0, false}};
	if (_burstFactor > 1)
	{
		result.faults = {{"generate", kFailureDomains, 25 * kSecond, 55 * kSecond, 0.4, false},
						 {"retrieve", kFailureDomains, 25 * kSecond, 55 * kSecond, 0.4, false}};
	}
	return result;
}

BenchCase makeSubsetCase(std::size_t _maxEndpointsPerPool)
{
	constexpr std::int64_t kScale = 4;
	BenchCase result = makeExamCase(3);
	result.name = "subset." + std::to_string(_maxEndpointsPerPool);
	result.nodeCount = 12;
	result.maxEndpointsPerPool = _maxEndpointsPerPool;
	result.arrivalsEnd = 50 * kSecond;
	for (BenchPool& pool : result.pools)
	{
		pool.endpointCount *= kScale;
	}
	for (BenchWorkload& workload : result.workloads)
	{
		workload.requestsPerSecond *= kScale;
		workload.prefixCount *= kScale;
	}
	return result;
}

BenchCase makeOutageCase()
{
	BenchCase result = makeExamCase(1);
	result.name = "outage";
	result.faults = {{"rerank", 1, 30 * kSecond, 50 * kSecond, 1, true}};
	return result;
}

DispatcherConfig makeBaselineConfig(const std::string& _placement)
{
	DispatcherConfig config;
	config.placement = _placement;
	config.ordering = Ordering::Fifo;
	config.admitByDeadline = false;
	config.dropInfeasible = false;
	config.ejectOutliers = false;
	config.urgentReserve = 0;
	return config;
}

} // namespace roadferry
