/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferry-bench: measures the decisions in virtual time, and prints tab-separated lines: name, figure, unit, bound,
/// verdict. Figures are the same on every run. Exits with 1 when a bound is broken.

#include "bench_cases.h"
#include "bench_report.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

DEFINE_string(part, "", "only decisions, scale or capacity; empty for all");
DEFINE_uint64(nodes, 7, "entry nodes of the cases that --rounds runs");
DEFINE_string(only, "", "the one policy that --rounds runs; empty for all");
DEFINE_bool(rounds, false, "print a table of policies on all cases instead of the product's figures with bounds");

namespace
{

using namespace roadferry;

struct NamedConfig
{
	const char* name;
	DispatcherConfig config;
};

/// Each round adds one change to the one before it.
std::vector<NamedConfig> rounds()
{
	std::vector<NamedConfig> list;
	list.push_back({"round_robin", baselineConfig("round_robin")});
	list.push_back({"power_of_two", baselineConfig("power_of_two")});
	list.push_back({"least_in_flight", baselineConfig("least_in_flight")});
	DispatcherConfig config = baselineConfig("least_finish");
	list.push_back({"least_finish", config});
	config.dropInfeasible = true;
	list.push_back({"+drop_doomed", config});
	config.admitByDeadline = true;
	list.push_back({"+admit_by_deadline", config});
	config.ordering = Ordering::DeadlineFair;
	list.push_back({"+deadline_fair", config});
	config.urgentReserve = 0.1;
	list.push_back({"+urgent_reserve", config});
	config.ejectOutliers = true;
	list.push_back({"+set_aside", config});
	config.placement = "affinity";
	list.push_back({"+affinity", config});
	config.placement = "affinity_gated";
	list.push_back({"+affinity_gated", config});
	for (const double margin : {0.0, 1.5, 2.0})
	{
		DispatcherConfig other = config;
		other.marginDeviations = margin;
		list.push_back({margin == 0.0 ? "margin 0" : (margin == 1.5 ? "margin 1.5" : "margin 2"), other});
	}
	list.push_back({"product", DispatcherConfig{}});
	return list;
}

void printRound(const BenchCase& _case, const NamedConfig& _named)
{
	const BenchFigures figures = runBench(_case, _named.config);
	double worst = kPercent;
	for (const auto& entry : figures.byWorkspace)
	{
		worst = std::min(worst, attainment(entry.second));
	}
	std::printf("%-12s %-20s %6.2f %6.2f %6.2f %6.2f %7.2f %8.0f %8.0f %7.1f\n", _case.name.c_str(), _named.name,
				percent(static_cast<double>(figures.answered), static_cast<double>(figures.offered)), worst,
				percent(figures.answeredWork, figures.boundWork), percent(figures.wastedSeconds, figures.usedSeconds),
				figures.usedSeconds, milliseconds(quantileOf(figures.elapsed, 0.95)),
				milliseconds(quantileOf(figures.firstToken, 0.95)),
				milliseconds(quantileOf(figures.betweenTokens, 0.95)));
}

void printRounds()
{
	std::printf("%-12s %-20s %6s %6s %6s %6s %7s %8s %8s %7s\n", "case", "policy", "att%", "worst%", "bound%", "waste%",
				"used_s", "p95_ms", "ttft95", "tbt95");
	for (BenchCase benchCase : {examCase(3), stormCase(4), examCase(1), stormCase(1)})
	{
		benchCase.nodes = FLAGS_nodes;
		for (const NamedConfig& named : rounds())
		{
			if (FLAGS_only.empty() || FLAGS_only == named.name)
			{
				printRound(benchCase, named);
			}
		}
	}
}

} // namespace

int main(int _argc, char** _argv)
{
	gflags::SetUsageMessage("measures the decisions in virtual time");
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	if (FLAGS_rounds)
	{
		printRounds();
		return 0;
	}
	// A long run shows what it has so far.
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
	return report.good() ? 0 : 1;
}
