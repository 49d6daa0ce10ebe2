/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the lines of figures.

#include "bench_report.h"

#include <cstdio>

namespace roadferry
{

void BenchReport::line(const std::string& _name, double _figure, const char* _unit, const std::string& _bound,
					   const char* _verdict)
{
	std::printf("%s\t%.3f\t%s\t%s\t%s\n", _name.c_str(), _figure, _unit, _bound.c_str(), _verdict);
}

void BenchReport::atLeast(const std::string& _name, double _figure, const char* _unit, double _bound)
{
	const bool fine = _figure >= _bound;
	this->allGood = this->allGood && fine;
	this->line(_name, _figure, _unit, ">=" + std::to_string(_bound), fine ? "ok" : "BROKEN");
}

void BenchReport::atMost(const std::string& _name, double _figure, const char* _unit, double _bound)
{
	const bool fine = _figure <= _bound;
	this->allGood = this->allGood && fine;
	this->line(_name, _figure, _unit, "<=" + std::to_string(_bound), fine ? "ok" : "BROKEN");
}

void BenchReport::noBound(const std::string& _name, double _figure, const char* _unit)
{
	this->line(_name, _figure, _unit, "-", "info");
}

bool BenchReport::good() const
{
	return this->allGood;
}

} // namespace roadferry
