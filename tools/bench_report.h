/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Lines of figures with bounds: name, figure, unit, bound and verdict, parted by tabs.

#ifndef ROADFERRY_BENCH_REPORT_H_HEADER_GUARD
#define ROADFERRY_BENCH_REPORT_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace roadferry
{

/// Prints figures, and keeps whether any broke its bound.
class BenchReport
{
public:
	void checkAtLeast(const std::string& _name, double _value, const char* _unit, double _bound);
	void checkAtMost(const std::string& _name, double _value, const char* _unit, double _bound);

	/// A figure that depends on the machine, and so has no bound.
	void printInfo(const std::string& _name, double _value, const char* _unit);

	[[nodiscard]] bool isWithinBounds() const;

private:
	void printLine(const std::string& _name, double _value, const char* _unit, const std::string& _bound,
				   const char* _verdict);

	bool withinBounds = true;
};

/// Allocations since the program began; see bench_allocations.cpp.
struct Allocations
{
	std::uint64_t count = 0;
	std::int64_t liveBytes = 0;
};

Allocations currentAllocations();

/// Figures of the decisions under load.
void reportDecisions(BenchReport& _report);

/// Figures of limits, membership and recovery at 7 to 520 nodes.
void reportScale(BenchReport& _report);

/// Slopes that docs/CAPACITY.md is worked out from.
void reportCapacity(BenchReport& _report);

} // namespace roadferry

#endif // ROADFERRY_BENCH_REPORT_H_HEADER_GUARD
