/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Joins the log lines of several nodes into the timeline of one request.

#ifndef ROADFERRY_LOG_TIMELINE_H_HEADER_GUARD
#define ROADFERRY_LOG_TIMELINE_H_HEADER_GUARD

#include <istream>
#include <string>
#include <vector>

namespace roadferry
{

/// Reads log lines, with or without words of a log collector before the JSON object.
/// @param[in] _request Id of the request.
/// @returns One line for each event that concerns it, in order of time: its own, and those of batches with its pieces.
std::vector<std::string> buildTimeline(const std::string& _request, std::istream& _logs);

} // namespace roadferry

#endif // ROADFERRY_LOG_TIMELINE_H_HEADER_GUARD
