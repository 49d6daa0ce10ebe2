/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferry-bench: benchmarks the dispatcher, the control protocols and their memory use, and prints tab-separated
/// lines: name, value, unit, bound, verdict. Results in virtual time are the same on every run; measured times depend
/// on the machine. Exits with 1 when a result exceeds its bound.

#include "bench_cases.h"
#include "bench_report.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

DEFINE_string(part, "", "part to run: decisions, scale or capacity; empty for all");
DEFINE_uint64(nodes, 7, "number of entry nodes in the cases of --rounds");
DEFINE_string(only, "", "the only policy to run with --rounds; empty for all");
DEFINE_bool(rounds, false,
			"compare policies on all cases in a table instead of checking the default policy against its bounds");

namespace
{

using namespace roadferry;

struct Policy
{
	const char* name;
	DispatcherConfig config;
};

/// @returns Policies to compare. From least_finish on, each policy changes one setting of the one before it; the
/// margins are variants of the last of these.
std::vector<Policy> makePolicies()
{
	std::vector<Policy> policies;
	policies.push_back({"round_robin", makeBaselineConfig("round_robin")});
	policies.push_back({"power_of_two", makeBaselineConfig("power_of_two")});
	policies.push_back({"least_in_flight", makeBaselineConfig("least_in_flight")});
	DispatcherConfig config = makeBaselineConfig("least_finish");
	policies.push_back({"least_finish", config});
	config.dropInfeasible = true;
	policies.push_back({"+drop_doomed", config});
	config.admitByDeadline = true;
	policies.push_back({"+admit_by_deadline", config});
	config.ordering = Ordering::DeadlineFair;
	policies.push_back({"+deadline_fair", config});
	config.urgentReserve = 0.1;
	policies.push_back({"+urgent_reserve", config});
	config.ejectOutliers = true;
	policies.push_back({"+set_aside", config});
	config.placement = "affinity";
	policies.push_back({"+affinity", config});
	config.placement = "affinity_gated";
	policies.push_back({"+affinity_gated", config});
	for (const double margin : {0.0, 1.5, 2.0})
	{
		DispatcherConfig adjusted = config;
		adjusted.marginDeviations = margin;
		policies.push_back({margin == 0.0 ? "margin 0" : (margin == 1.5 ? "margin 1.5" : "margin 2"), adjusted});
	}
	policies.push_back({"product", DispatcherConfig{}});
	return policies;
}

void printPolicyRow(const BenchCase& _case, const Policy& _policy)
{
	const BenchResults results = runBench(_case, _policy.config);
	double worst = kPercent;
	for (const auto& entry : results.byWorkspace)
	{
		worst = std::min(worst, attainmentPercent(entry.second));
	}
	std::printf("%-12s %-20s %6.2f %6.2f %6.2f %6.2f %7.2f %8.0f %8.0f %7.1f\n", _case.name.c_str(), _policy.name,
				percent(static_cast<double>(results.answered), static_cast<double>(results.offered)), worst,
				percent(results.answeredEngineSeconds, results.engineSecondsBound),
				percent(results.wastedEndpointSeconds, results.usedEndpointSeconds), results.usedEndpointSeconds,
				toMilliseconds(quantile(results.latencies, 0.95)),
				toMilliseconds(quantile(results.timesToFirstToken, 0.95)),
				toMilliseconds(quantile(results.timesBetweenTokens, 0.95)));
}

void printPolicyTable()
{
	std::printf("%-12s %-20s %6s %6s %6s %6s %7s %8s %8s %7s\n", "case", "policy", "att%", "worst%", "bound%", "waste%",
				"used_s", "p95_ms", "ttft95", "tbt95");
	for (BenchCase benchCase : {makeExamCase(3), makeStormCase(4), makeExamCase(1), makeStormCase(1)})
	{
		benchCase.nodeCount = FLAGS_nodes;
		for (const Policy& policy : makePolicies())
		{
			if (FLAGS_only.empty() || FLAGS_only == policy.name)
			{
				printPolicyRow(benchCase, policy);
			}
		}
	}
}

} // namespace

int main(int _argc, char** _argv)
{
	gflags::SetUsageMessage("benchmarks the dispatcher, the control protocols and their memory use");
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	if (FLAGS_rounds)
	{
		printPolicyTable();
		return 0;
	}
	// Line buffering shows the results of a long run as they come.
	std::setvbuf(stdout, nullptr, _IOLBF, 0);
	BenchReport report;
	if (FLAGS_part.empty() || FLAGS_part == "decisions")
	{
		reportDecisions(report);
	}
	if (FLAGS_part.empty() || FLAGS_part == "scale")
	{
		reportScale(report);
	}
	if (FLAGS_part.empty() || FLAGS_part == "capacity")
	{
		reportCapacity(report);
	}
	return report.isWithinBounds() ? 0 : 1;
}
