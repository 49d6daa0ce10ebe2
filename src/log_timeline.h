/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Merges the log lines of several nodes into the timeline of one request.

#ifndef ROADFERRY_LOG_TIMELINE_H_HEADER_GUARD
#define ROADFERRY_LOG_TIMELINE_H_HEADER_GUARD

#include <istream>
#include <string>
#include <vector>

namespace roadferry
{

/// Builds the timeline of a request.
/// @param[in] _request Id of the request.
/// @param[in] _logs Log lines in JSON, each optionally preceded by a prefix that a log collector adds, such as the
/// node's name.
/// @returns One line for each event of the request, of the batches that contain its pieces, of other tries of the same
/// content, of endpoints that crashed under it and of verdicts on a part of its prompt, ordered by time.
std::vector<std::string> buildTimeline(const std::string& _request, std::istream& _logs);

} // namespace roadferry

#endif // ROADFERRY_LOG_TIMELINE_H_HEADER_GUARD
