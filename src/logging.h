/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Logs: one JSON object to a line on standard error, through log4cxx.

#ifndef ROADFERRY_LOGGING_H_HEADER_GUARD
#define ROADFERRY_LOGGING_H_HEADER_GUARD

#include <string>

namespace roadferry
{

/// Sets up the log. Call once, before any other function of this file.
void startLogging();

/// @param[in] _part Part of the program that speaks, for instance "control".
/// @param[in] _message What happened; never with credentials or bodies.
void logInfo(const std::string& _part, const std::string& _message);
void logWarning(const std::string& _part, const std::string& _message);
void logError(const std::string& _part, const std::string& _message);

} // namespace roadferry

#endif // ROADFERRY_LOGGING_H_HEADER_GUARD
