/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Benchmarks of the dispatcher's decisions under the load bursts of both users, with bounds.

#include "bench_cases.h"
#include "bench_report.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr double kFullGoodputPercent = 99.0; ///< Minimum attainment of one second at full goodput.

void reportByWorkloadAndPool(BenchReport& _report, const std::string& _name, const BenchResults& _results)
{
	for (const auto& entry : _results.byWorkload)
	{
		_report.printInfo(_name + ".attainment." + entry.first, attainmentPercent(entry.second), "%");
	}
	for (const auto& entry : _results.byWorkspace)
	{
		_report.printInfo(_name + ".attainment.workspace." + entry.first, attainmentPercent(entry.second), "%");
	}
	for (const auto& entry : _results.endpointSecondsByPool)
	{
		_report.printInfo(_name + ".cost." + entry.first, entry.second, "endpoint_s");
	}
	_report.printInfo(_name + ".first_token_p95", toMilliseconds(quantile(_results.timesToFirstToken, 0.95)), "ms");
	_report.printInfo(_name + ".between_tokens_p95", toMilliseconds(quantile(_results.timesBetweenTokens, 0.95)), "ms");
}

/// Bounds of one burst case in percent.
struct BurstBounds
{
	double minAttainment;
	double minGoodputOfBound;
	double maxWasted;
};

void reportBurst(BenchReport& _report, const BenchCase& _case, const BurstBounds& _bounds,
				 const std::vector<std::string>& _urgentWorkloads)
{
	const BenchResults results = runBench(_case, DispatcherConfig{});
	const auto offered = static_cast<double>(results.offered);
	_report.checkAtLeast(_case.name + ".attainment", percent(static_cast<double>(results.answered), offered), "%",
						 _bounds.minAttainment);
	_report.checkAtLeast(_case.name + ".goodput_of_bound",
						 percent(results.answeredEngineSeconds, results.engineSecondsBound), "%",
						 _bounds.minGoodputOfBound);
	_report.checkAtMost(_case.name + ".wasted", percent(results.wastedEndpointSeconds, results.usedEndpointSeconds),
						"%", _bounds.maxWasted);
	for (const std::string& workload : _urgentWorkloads)
	{
		_report.checkAtLeast(_case.name + ".urgent." + workload, attainmentPercent(results.byWorkload.at(workload)),
							 "%", 99.9);
	}
	double worst = kPercent;
	for (const auto& entry : results.byWorkspace)
	{
		worst = std::min(worst, attainmentPercent(entry.second));
	}
	_report.checkAtLeast(_case.name + ".worst_workspace", worst, "%", _bounds.minAttainment - 2);
	reportByWorkloadAndPool(_report, _case.name, results);
	for (const char* baseline : {"round_robin", "least_in_flight"})
	{
		const BenchResults baselineResults = runBench(_case, makeBaselineConfig(baseline));
		_report.printInfo(
			_case.name + ".baseline." + baseline + ".attainment",
			percent(static_cast<double>(baselineResults.answered), static_cast<double>(baselineResults.offered)), "%");
		_report.printInfo(_case.name + ".baseline." + baseline + ".goodput_of_bound",
						  percent(baselineResults.answeredEngineSeconds, baselineResults.engineSecondsBound), "%");
	}
}

/// Checks a case without a burst, with the latency of the least-in-flight baseline as a bound.
/// @param[in] _maxRefused Maximum refused requests, as a guard against regressions. The target is 0.
void reportQuiet(BenchReport& _report, const BenchCase& _case, double _maxRefused)
{
	const BenchResults results = runBench(_case, DispatcherConfig{});
	const BenchResults baselineResults = runBench(_case, makeBaselineConfig("least_in_flight"));
	_report.checkAtMost(_case.name + ".refused", static_cast<double>(results.refused), "requests", _maxRefused);
	_report.checkAtMost(_case.name + ".p95", toMilliseconds(quantile(results.latencies, 0.95)), "ms",
						toMilliseconds(quantile(baselineResults.latencies, 0.95)));
	_report.checkAtLeast(_case.name + ".attainment",
						 percent(static_cast<double>(results.answered), static_cast<double>(results.offered)), "%",
						 99.9);
}

/// Checks that retries stay within their budget while a pool fails for 20 s, and that full goodput returns within 5 s.
void reportOutage(BenchReport& _report)
{
	const BenchCase benchCase = makeOutageCase();
	const BenchResults results = runBench(benchCase, DispatcherConfig{});
	const double firstAttempts = static_cast<double>(results.attempts - results.retries);
	_report.checkAtMost("outage.retries_per_first_attempt", static_cast<double>(results.retries) / firstAttempts,
						"ratio", 0.1 + 0.02);
	const Micros faultEndSecond = benchCase.faults.front().to / kSecond;
	Micros recoveredSecond = faultEndSecond;
	for (const auto& entry : results.bySecond)
	{
		if (entry.first >= faultEndSecond && attainmentPercent(entry.second) < kFullGoodputPercent)
		{
			recoveredSecond = entry.first + 1;
		}
	}
	_report.checkAtMost("outage.seconds_to_full_goodput", static_cast<double>(recoveredSecond - faultEndSecond), "s",
						5);
}

/// Measures the goodput when each node uses a subset of each pool, and the share of links between 520 nodes and their
/// engines that move when one engine leaves.
void reportSubsets(BenchReport& _report)
{
	for (const std::size_t endpointsPerPool : {std::size_t{9}, std::size_t{18}, std::size_t{36}})
	{
		const BenchResults results = runBench(makeSubsetCase(endpointsPerPool), DispatcherConfig{});
		const std::string name = makeSubsetCase(endpointsPerPool).name;
		_report.printInfo(name + ".attainment",
						  percent(static_cast<double>(results.answered), static_cast<double>(results.offered)), "%");
		_report.printInfo(name + ".goodput_of_bound",
						  percent(results.answeredEngineSeconds, results.engineSecondsBound), "%");
	}
	constexpr std::size_t kEngines = 6'700;
	constexpr std::size_t kNodes = 520;
	constexpr std::size_t kEndpointsPerPool = 256;
	std::vector<Endpoint> engines(kEngines);
	for (std::size_t index = 0; index < kEngines; ++index)
	{
		engines[index].id = "engine-" + std::to_string(index);
		engines[index].pool = "engines";
	}
	std::vector<Endpoint> remainingEngines(engines.begin() + 1, engines.end());
	std::map<std::string, std::size_t> nodesPerEngine;
	std::size_t movedLinks = 0;
	for (std::size_t node = 0; node < kNodes; ++node)
	{
		const std::string name = "node-" + std::to_string(node);
		std::set<std::string> before;
		for (const Endpoint& endpoint : selectSubset(name, engines, kEndpointsPerPool))
		{
			before.insert(endpoint.id);
			nodesPerEngine[endpoint.id] += 1;
		}
		for (const Endpoint& endpoint : selectSubset(name, remainingEngines, kEndpointsPerPool))
		{
			movedLinks += before.count(endpoint.id) == 0 ? 1 : 0;
		}
	}
	std::size_t maxNodes = 0;
	for (const auto& entry : nodesPerEngine)
	{
		maxNodes = std::max(maxNodes, entry.second);
	}
	const double meanNodes = static_cast<double>(kNodes * kEndpointsPerPool) / static_cast<double>(kEngines);
	_report.checkAtMost("subset.links_moved_by_one_engine",
						percent(static_cast<double>(movedLinks), kNodes * kEndpointsPerPool), "%", 0.05);
	_report.checkAtMost("subset.most_nodes_per_engine_over_mean", static_cast<double>(maxNodes) / meanNodes, "ratio",
						2.0);
	_report.checkAtLeast("subset.engines_used", static_cast<double>(nodesPerEngine.size()), "engines", kEngines);
}

} // namespace

void reportDecisions(BenchReport& _report)
{
	reportBurst(_report, makeExamCase(3), BurstBounds{98.5, 80, 4.5}, {"checkin", "save"});
	reportBurst(_report, makeStormCase(4), BurstBounds{81, 73.5, 21.5}, {"clinic"});
	reportQuiet(_report, makeExamCase(1), 0);
	reportQuiet(_report, makeStormCase(1), 0);
	reportOutage(_report);
	reportSubsets(_report);
}

} // namespace roadferry
