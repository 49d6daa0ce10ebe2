/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Benchmark results as tab-separated lines: name, value, unit, bound and verdict.

#ifndef ROADFERRY_BENCH_REPORT_H_HEADER_GUARD
#define ROADFERRY_BENCH_REPORT_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace roadferry
{

/// Prints results and records whether all of them are within their bounds.
class BenchReport
{
public:
	void checkAtLeast(const std::string& _name, double _value, const char* _unit, double _bound);
	void checkAtMost(const std::string& _name, double _value, const char* _unit, double _bound);

	/// Prints a result without a bound.
	void printInfo(const std::string& _name, double _value, const char* _unit);

	[[nodiscard]] bool isWithinBounds() const;

private:
	void printLine(const std::string& _name, double _value, const char* _unit, const std::string& _bound,
				   const char* _verdict);

	bool withinBounds = true;
};

/// Allocations since the start of the program; see bench_allocations.cpp.
struct Allocations
{
	std::uint64_t count = 0;
	std::int64_t liveBytes = 0; ///< Allocated and not yet freed.
};

Allocations currentAllocations();

/// Reports the dispatcher's decisions under load.
void reportDecisions(BenchReport& _report);

/// Reports limits, membership and recovery at 7 to 520 nodes.
void reportScale(BenchReport& _report);

/// Reports the costs from which docs/CAPACITY.md is derived.
void reportCapacity(BenchReport& _report);

} // namespace roadferry

#endif // ROADFERRY_BENCH_REPORT_H_HEADER_GUARD
