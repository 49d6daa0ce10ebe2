/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Runs property-based tests with rapidcheck. The seed is fixed, so that each run generates the same histories.

#ifndef ROADFERRY_PROPERTY_H_HEADER_GUARD
#define ROADFERRY_PROPERTY_H_HEADER_GUARD

#include <criterion/criterion.h>

#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace roadferry
{

/// @returns Number of histories that each property is checked against: 1000, unless the environment variable
/// ROADFERRY_HISTORIES gives another number.
inline std::string historyCount()
{
	const char* given = std::getenv("ROADFERRY_HISTORIES");
	return given == nullptr ? "1000" : given;
}

/// Checks a property against historyCount() random histories, that is sequences of operations and faults.
/// @param[in] _name Name of the property in failure messages.
template<class Property>
void checkHistories(const std::string& _name, Property _property)
{
	const std::string parameters = "seed=20261202 max_size=100 max_success=" + historyCount();
	setenv("RC_PARAMS", parameters.c_str(), 1);
	cr_assert(rc::check(_name, _property), "%s", _name.c_str());
}

} // namespace roadferry

#endif // ROADFERRY_PROPERTY_H_HEADER_GUARD
