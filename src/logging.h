/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Logs: one JSON object to a line, through log4cxx. Lines wait in a bounded queue that another thread empties, so that
/// a reader that does not read holds nobody up.

#ifndef ROADFERRY_LOGGING_H_HEADER_GUARD
#define ROADFERRY_LOGGING_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace roadferry
{

/// Where lines go.
enum class LogStream
{
	Output, ///< Standard output.
	Error   ///< Standard error.
};

/// Sets up the log. Call once, before any other function of this file.
void startLogging(LogStream _stream);

/// @returns Lines that were left out since the start, because too many came or nobody read them.
std::uint64_t droppedLogLines();

/// Value of a field of an event.
using LogValue = std::variant<std::string, std::int64_t, bool>;

/// A named value.
struct LogField
{
	LogField(std::string _name, std::string _value) : name(std::move(_name)), value(std::move(_value))
	{
	}

	LogField(std::string _name, const char* _value) : name(std::move(_name)), value(std::string(_value))
	{
	}

	LogField(std::string _name, bool _value) : name(std::move(_name)), value(_value)
	{
	}

	/// Whole numbers of any type.
	template<class Number, std::enable_if_t<std::is_integral_v<Number>, int> = 0>
	LogField(std::string _name, Number _value) : name(std::move(_name)), value(static_cast<std::int64_t>(_value))
	{
	}

	std::string name;
	LogValue value;
};

/// Logs one decision as a JSON object.
/// @param[in] _part Part of the program that speaks.
/// @param[in] _event What happened, in snake case.
/// @param[in] _fields What decided it, and the outcome; never credentials or bodies.
void logEvent(const std::string& _part, const std::string& _event, const std::vector<LogField>& _fields);

/// @param[in] _part Part of the program that speaks, for instance "control".
/// @param[in] _message What happened; never with credentials or bodies.
void logInfo(const std::string& _part, const std::string& _message);
void logWarning(const std::string& _part, const std::string& _message);
void logError(const std::string& _part, const std::string& _message);

} // namespace roadferry

#endif // ROADFERRY_LOGGING_H_HEADER_GUARD
