/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Names of verdicts and reasons in answers to callers.

#include <roadferry/roadferry.h>

#include <array>

namespace roadferry
{

namespace
{

constexpr std::array<std::string_view, 3> kVerdictNames = {"answered", "not_run", "unknown"};

constexpr std::array<std::string_view, 23> kReasonNames = {"none",
														   "unknown_pipeline",
														   "unknown_stage",
														   "wrong_workspace",
														   "workspace_limit",
														   "would_be_late",
														   "queue_full",
														   "no_endpoint",
														   "deadline_passed",
														   "attempts_exhausted",
														   "retry_budget_empty",
														   "cut_while_running",
														   "cancelled",
														   "ticket_sealed",
														   "ticket_mismatch",
														   "ticket_expired",
														   "issuer_unreachable",
														   "draining",
														   "routes_stale",
														   "endpoints_ended",
														   "version_gone",
														   "part_blocked",
														   "version_unknown"};

} // namespace

std::string_view nameOf(Verdict _verdict)
{
	return kVerdictNames.at(static_cast<std::size_t>(_verdict));
}

std::string_view nameOf(Reason _reason)
{
	return kReasonNames.at(static_cast<std::size_t>(_reason));
}

} // namespace roadferry
