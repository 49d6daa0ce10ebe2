/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Parses the requests of callers, and maps outcomes to HTTP status codes.

#include "traffic.h"

#include <absl/strings/str_cat.h>

#include <xxhash.h>

namespace roadferry
{

namespace
{

constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::size_t kMaxTextLength = 256; ///< In characters.

} // namespace

absl::StatusOr<Submission> parseSubmission(const std::string& _workspace, const std::string& _pipeline,
										   const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	JsonReader reader(*object);
	reader.rejectUnknownFields({"workspace", "deadline_ms", "repeatable", "ticket", "stream", "prompt_tokens",
								"max_tokens", "prefix", "input"});
	Submission submission;
	submission.workspace = reader.textOr("workspace", kMaxTextLength, _workspace);
	if (submission.workspace != _workspace)
	{
		reader.setError("workspace", "the workspace of the credential");
	}
	submission.pipeline = _pipeline;
	const std::int64_t deadlineMs = reader.integerOr("deadline_ms", 1, kMaxDeadlineMs, 0);
	if (deadlineMs > 0)
	{
		submission.timeout = deadlineMs * kMillisecond;
	}
	submission.repeatable = reader.booleanOr("repeatable", true);
	submission.stream = reader.booleanOr("stream", false);
	submission.promptTokens = reader.integerOr("prompt_tokens", 0, kMaxTokens, 0);
	submission.maxTokens = reader.integerOr("max_tokens", 0, kMaxTokens, 0);
	const std::string prefix = reader.textOr("prefix", kMaxTextLength, "");
	submission.prefixHash = prefix.empty() ? 0 : XXH3_64bits(prefix.data(), prefix.size());
	const std::string ticket = reader.textOr("ticket", kMaxTextLength, "");
	submission.input = object->value("input");
	if (submission.input.isUndefined())
	{
		reader.setError("input", "given");
	}
	if (!submission.repeatable && ticket.empty())
	{
		reader.setError("ticket", "given when repeatable is false; get one from POST /v1/tickets");
	}
	if (!reader.status().ok())
	{
		return reader.status();
	}
	if (!ticket.empty())
	{
		auto parsed = ticketFromText(ticket);
		if (!parsed.ok())
		{
			return parsed.status();
		}
		submission.ticket = *std::move(parsed);
		submission.hasCallerTicket = true;
	}
	const std::string digestInput = absl::StrCat(_pipeline, "\n", _body);
	submission.bodyDigest = XXH3_64bits(digestInput.data(), digestInput.size());
	return submission;
}

unsigned httpStatusOf(const Outcome& _outcome)
{
	if (_outcome.verdict == Verdict::Answered)
	{
		return 200;
	}
	switch (_outcome.reason)
	{
	case Reason::UnknownPipeline:
		return 404;
	case Reason::WrongWorkspace:
		return 403;
	case Reason::WorkspaceLimit:
		return 429;
	case Reason::TicketMismatch:
	case Reason::TicketSealed:
	case Reason::Cancelled:
		return 409;
	case Reason::TicketExpired:
		return 410;
	case Reason::DeadlinePassed:
		return 504;
	case Reason::CutWhileRunning:
	case Reason::AttemptsExhausted:
	case Reason::IssuerUnreachable:
		return 502;
	default:
		return 503;
	}
}

} // namespace roadferry
