/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Figures of the decisions under the bursts of both users, with bounds.

#include "bench_cases.h"
#include "bench_report.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr double kFullGoodput = 99.0; ///< Percent of a second's requests.

void reportByKindAndPool(BenchReport& _report, const std::string& _name, const BenchFigures& _figures)
{
	for (const auto& entry : _figures.byKind)
	{
		_report.noBound(_name + ".attainment." + entry.first, attainment(entry.second), "%");
	}
	for (const auto& entry : _figures.byWorkspace)
	{
		_report.noBound(_name + ".attainment.workspace." + entry.first, attainment(entry.second), "%");
	}
	for (const auto& entry : _figures.secondsByPool)
	{
		_report.noBound(_name + ".cost." + entry.first, entry.second, "endpoint_s");
	}
	_report.noBound(_name + ".first_token_p95", milliseconds(quantileOf(_figures.firstToken, 0.95)), "ms");
	_report.noBound(_name + ".between_tokens_p95", milliseconds(quantileOf(_figures.betweenTokens, 0.95)), "ms");
}

/// Bounds of one burst.
struct BurstBounds
{
	double attainment;
	double boundShare;
	double wasted;
};

void reportBurst(BenchReport& _report, const BenchCase& _case, const BurstBounds& _bounds,
				 const std::vector<std::string>& _urgent)
{
	const BenchFigures figures = runBench(_case, DispatcherConfig{});
	const auto offered = static_cast<double>(figures.offered);
	_report.atLeast(_case.name + ".attainment", percent(static_cast<double>(figures.answered), offered), "%",
					_bounds.attainment);
	_report.atLeast(_case.name + ".goodput_of_bound", percent(figures.answeredWork, figures.boundWork), "%",
					_bounds.boundShare);
	_report.atMost(_case.name + ".wasted", percent(figures.wastedSeconds, figures.usedSeconds), "%", _bounds.wasted);
	for (const std::string& kind : _urgent)
	{
		_report.atLeast(_case.name + ".urgent." + kind, attainment(figures.byKind.at(kind)), "%", 99.9);
	}
	double worst = kPercent;
	for (const auto& entry : figures.byWorkspace)
	{
		worst = std::min(worst, attainment(entry.second));
	}
	_report.atLeast(_case.name + ".worst_workspace", worst, "%", _bounds.attainment - 2);
	reportByKindAndPool(_report, _case.name, figures);
	for (const char* baseline : {"round_robin", "least_in_flight"})
	{
		const BenchFigures other = runBench(_case, baselineConfig(baseline));
		_report.noBound(_case.name + ".baseline." + baseline + ".attainment",
						percent(static_cast<double>(other.answered), static_cast<double>(other.offered)), "%");
		_report.noBound(_case.name + ".baseline." + baseline + ".goodput_of_bound",
						percent(other.answeredWork, other.boundWork), "%");
	}
}

/// @param[in] _refused Bound for regressions. The target is none.
void reportQuiet(BenchReport& _report, const BenchCase& _case, double _refused)
{
	const BenchFigures figures = runBench(_case, DispatcherConfig{});
	const BenchFigures other = runBench(_case, baselineConfig("least_in_flight"));
	_report.atMost(_case.name + ".refused", static_cast<double>(figures.refused), "requests", _refused);
	_report.atMost(_case.name + ".p95", milliseconds(quantileOf(figures.elapsed, 0.95)), "ms",
				   milliseconds(quantileOf(other.elapsed, 0.95)));
	_report.atLeast(_case.name + ".attainment",
					percent(static_cast<double>(figures.answered), static_cast<double>(figures.offered)), "%", 99.9);
}

/// A pool is out for 20 s: retries stay within the budget, and full goodput is back soon.
void reportOutage(BenchReport& _report)
{
	const BenchCase benchCase = outageCase();
	const BenchFigures figures = runBench(benchCase, DispatcherConfig{});
	const double first = static_cast<double>(figures.attempts - figures.retries);
	_report.atMost("outage.retries_per_first_attempt", static_cast<double>(figures.retries) / first, "ratio",
				   0.1 + 0.02);
	const Micros back = benchCase.faults.front().to / kSecond;
	Micros lastBad = back;
	for (const auto& entry : figures.bySecond)
	{
		if (entry.first >= back && attainment(entry.second) < kFullGoodput)
		{
			lastBad = entry.first + 1;
		}
	}
	_report.atMost("outage.seconds_to_full_goodput", static_cast<double>(lastBad - back), "s", 5);
}

/// What it costs that a node uses a part of each pool, and how many links move when one of 520 nodes' engines goes.
void reportSubsets(BenchReport& _report)
{
	for (const std::size_t perPool : {std::size_t{9}, std::size_t{18}, std::size_t{36}})
	{
		const BenchFigures figures = runBench(subsetCase(perPool), DispatcherConfig{});
		const std::string name = subsetCase(perPool).name;
		_report.noBound(name + ".attainment",
						percent(static_cast<double>(figures.answered), static_cast<double>(figures.offered)), "%");
		_report.noBound(name + ".goodput_of_bound", percent(figures.answeredWork, figures.boundWork), "%");
	}
	constexpr std::size_t kEngines = 6'700;
	constexpr std::size_t kNodes = 520;
	constexpr std::size_t kPerPool = 256;
	std::vector<Endpoint> engines(kEngines);
	for (std::size_t index = 0; index < kEngines; ++index)
	{
		engines[index].id = "engine-" + std::to_string(index);
		engines[index].pool = "engines";
	}
	std::vector<Endpoint> fewer(engines.begin() + 1, engines.end());
	std::map<std::string, std::size_t> users;
	std::size_t moved = 0;
	for (std::size_t node = 0; node < kNodes; ++node)
	{
		const std::string name = "node-" + std::to_string(node);
		std::set<std::string> before;
		for (const Endpoint& endpoint : selectSubset(name, engines, kPerPool))
		{
			before.insert(endpoint.id);
			users[endpoint.id] += 1;
		}
		for (const Endpoint& endpoint : selectSubset(name, fewer, kPerPool))
		{
			moved += before.count(endpoint.id) == 0 ? 1 : 0;
		}
	}
	std::size_t most = 0;
	for (const auto& entry : users)
	{
		most = std::max(most, entry.second);
	}
	const double mean = static_cast<double>(kNodes * kPerPool) / static_cast<double>(kEngines);
	_report.atMost("subset.links_moved_by_one_engine", percent(static_cast<double>(moved), kNodes * kPerPool), "%",
				   0.05);
	_report.atMost("subset.most_nodes_per_engine_over_mean", static_cast<double>(most) / mean, "ratio", 2.0);
	_report.atLeast("subset.engines_used", static_cast<double>(users.size()), "engines", kEngines);
}

} // namespace

void reportDecisions(BenchReport& _report)
{
	reportBurst(_report, examCase(3), BurstBounds{98.5, 80, 4.5}, {"checkin", "save"});
	reportBurst(_report, stormCase(4), BurstBounds{81, 73.5, 21.5}, {"clinic"});
	reportQuiet(_report, examCase(1), 0);
	reportQuiet(_report, stormCase(1), 0);
	reportOutage(_report);
	reportSubsets(_report);
}

} // namespace roadferry
