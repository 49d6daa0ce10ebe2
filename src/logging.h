/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Structured logs through log4cxx, one JSON object per line. A background thread writes the lines from a bounded
/// queue, so that a slow or blocked reader of the output never blocks the threads that log.

#ifndef ROADFERRY_LOGGING_H_HEADER_GUARD
#define ROADFERRY_LOGGING_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace roadferry
{

/// Destination of the log lines.
enum class LogStream
{
	Output, ///< Standard output.
	Error   ///< Standard error.
};

/// Configures logging. Must be called once, before any other function of this file.
void startLogging(LogStream _stream);

/// @returns Number of lines that the rate limit has dropped since the start. Lines dropped because the queue was full
/// are not included.
std::uint64_t droppedLogLines();

/// Value of a log field.
using LogValue = std::variant<std::string, std::int64_t, bool>;

/// A named value of an event.
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

	/// Integers of any type.
	template<class Number, std::enable_if_t<std::is_integral_v<Number>, int> = 0>
	LogField(std::string _name, Number _value) : name(std::move(_name)), value(static_cast<std::int64_t>(_value))
	{
	}

	std::string name;
	LogValue value;
};

/// Logs an event at level info.
/// @param[in] _part Component that logs, for instance "control".
/// @param[in] _event Name of the event, in snake case.
/// @param[in] _fields Reasons for a decision and its outcome; never credentials or request bodies.
void logEvent(const std::string& _part, const std::string& _event, const std::vector<LogField>& _fields);

/// Logs a message as text.
/// @param[in] _part Component that logs, for instance "control".
/// @param[in] _message What happened; never contains credentials or request bodies.
void logInfo(const std::string& _part, const std::string& _message);
void logWarning(const std::string& _part, const std::string& _message);
void logError(const std::string& _part, const std::string& _message);

} // namespace roadferry

#endif // ROADFERRY_LOGGING_H_HEADER_GUARD
