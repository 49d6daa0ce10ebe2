/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the benchmark report.

#include "bench_report.h"

#include <cstdio>

namespace roadferry
{

void BenchReport::printLine(const std::string& _name, double _value, const char* _unit, const std::string& _bound,
							const char* _verdict)
{
	std::printf("%s\t%.3f\t%s\t%s\t%s\n", _name.c_str(), _value, _unit, _bound.c_str(), _verdict);
}

void BenchReport::checkAtLeast(const std::string& _name, double _value, const char* _unit, double _bound)
{
	const bool isWithin = _value >= _bound;
	this->withinBounds = this->withinBounds && isWithin;
	this->printLine(_name, _value, _unit, ">=" + std::to_string(_bound), isWithin ? "ok" : "BROKEN");
}

void BenchReport::checkAtMost(const std::string& _name, double _value, const char* _unit, double _bound)
{
	const bool isWithin = _value <= _bound;
	this->withinBounds = this->withinBounds && isWithin;
	this->printLine(_name, _value, _unit, "<=" + std::to_string(_bound), isWithin ? "ok" : "BROKEN");
}

void BenchReport::printInfo(const std::string& _name, double _value, const char* _unit)
{
	this->printLine(_name, _value, _unit, "-", "info");
}

bool BenchReport::isWithinBounds() const
{
	return this->withinBounds;
}

} // namespace roadferry
