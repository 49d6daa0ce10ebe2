/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: outcomes and tickets: at most once without a store.

#ifndef ROADFERRY_PARTS_TICKETS_H_HEADER_GUARD
#define ROADFERRY_PARTS_TICKETS_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <absl/status/statusor.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

namespace roadferry
{

/// How a request ended.
enum class Verdict
{
	Answered, ///< The complete answer was received.
	NotRun,   ///< No byte of the request was sent to any endpoint.
	Unknown   ///< The request may have run, completely or in part.
};

/// Why a request ended as it did.
enum class Reason
{
	None,
	UnknownPipeline,
	UnknownStage,
	WrongWorkspace,
	WorkspaceLimit, ///< The workspace has reached its limit of requests in flight.
	WouldBeLate,    ///< Predicted to miss its deadline; refused on arrival or dropped while it waited.
	QueueFull,
	NoEndpoint, ///< A pool has no live endpoint.
	DeadlinePassed,
	AttemptsExhausted,
	RetryBudgetEmpty,
	CutWhileRunning, ///< The connection was lost after bytes of a non-repeatable call were sent.
	Cancelled,
	TicketSealed,   ///< The ticket was revoked before it was used; its request did not and will not run.
	TicketMismatch, ///< The ticket was already used for a different request.
	TicketExpired,
	IssuerUnreachable,
	Draining,
	RoutesStale,    ///< The node's routes and endpoint list are out of date.
	EndpointsEnded, ///< Endpoints crashed while they ran the request, so it is not sent to further ones.
	VersionGone,    ///< No endpoint of the software version that began the stream is left.
	PartBlocked,    ///< Endpoints crashed under a part of its prompt, in whichever requests.
	VersionUnknown  ///< The software version that began the stream is not known.
};

/// Final state of a request.
struct Outcome
{
	Verdict verdict = Verdict::Unknown;
	Reason reason = Reason::None;
	bool repeatSafe = false; ///< Whether the request can safely be run again.
	Micros retryAfter = 0;   ///< Suggested delay before a retry, 0 for no suggestion.
	std::string stage;       ///< Stage at which the request ended, empty if it was refused on arrival or answered.
	bool operator==(const Outcome&) const = default;
};

std::string_view nameOf(Verdict _verdict);
std::string_view nameOf(Reason _reason);

/// Identifies one run of a node's process. A restarted process is a new incarnation.
struct Incarnation
{
	std::string node;         ///< Identity of the VM, for instance its address.
	std::uint64_t number = 0; ///< Random, drawn when the process starts.
	auto operator<=>(const Incarnation&) const = default;
};

/// Permission to run one request once, on the incarnation that issued it.
struct Ticket
{
	Incarnation issuer;
	std::uint64_t serial = 0; ///< Counts up within the incarnation.
	std::uint64_t nonce = 0;  ///< Random, so that a ticket cannot be guessed.
	auto operator<=>(const Ticket&) const = default;
};

/// @returns Text of a ticket as callers hold it: node~incarnation~serial~nonce, the numbers in hexadecimal.
std::string toText(const Ticket& _ticket);

/// @returns The ticket, or InvalidArgument that says what is wrong with the text.
absl::StatusOr<Ticket> ticketFromText(std::string_view _text);

/// First copy of the request: run it now.
struct TicketRun
{
	bool operator==(const TicketRun&) const = default;
};

/// An earlier copy is running: wait for its outcome.
struct TicketAttach
{
	bool operator==(const TicketAttach&) const = default;
};

/// An earlier copy has ended: return its outcome again.
struct TicketReplay
{
	Outcome outcome;
	bool operator==(const TicketReplay&) const = default;
};

/// Another incarnation issued the ticket: only that one can decide.
struct TicketOtherIssuer
{
	Incarnation issuer;
	bool operator==(const TicketOtherIssuer&) const = default;
};

/// This incarnation never runs the request.
struct TicketRefused
{
	Outcome outcome;
	bool operator==(const TicketRefused&) const = default;
};

using TicketDecision = std::variant<TicketRun, TicketAttach, TicketReplay, TicketOtherIssuer, TicketRefused>;

/// State of a ticket, read without presenting a request under it.
enum class TicketState
{
	OtherIssuer,
	Unknown, ///< Expired or never issued: its outcome is not known.
	Unused,
	Running,
	Ended
};

/// Limits of a TicketRegistry.
struct TicketLimits
{
	Micros unusedTtl = 600 * kSecond;  ///< How long an unused ticket may be presented.
	Micros outcomeTtl = 600 * kSecond; ///< How long the outcome of an ended ticket is kept.
	std::size_t capacity = 500'000;    ///< Maximum number of tickets held; further ones are refused.
	bool operator==(const TicketLimits&) const = default;
};

/// Final report of an incarnation that stops as planned. The incarnation runs nothing after it.
struct ShutdownReport
{
	Incarnation issuer;
	/// Serials above this one that are not in `outcomes` never ran; nothing is known of the others.
	std::uint64_t expiredUpTo = 0;
	std::map<std::uint64_t, Outcome> outcomes; ///< By serial.
	bool operator==(const ShutdownReport&) const = default;
};

/// Answers for incarnations that have sent a shutdown report.
class ShutdownReportCache
{
public:
	/// @param[in] _ttl How long a report is kept; at least the TTL of tickets plus that of outcomes.
	explicit ShutdownReportCache(Micros _ttl);

	void add(const ShutdownReport& _report, Micros _now);

	/// @returns Outcome of the ticket, or nothing when no report of its issuer is held.
	[[nodiscard]] std::optional<Outcome> outcomeOf(const Ticket& _ticket, Micros _now) const;

private:
	Micros ttl;
	std::map<Incarnation, std::pair<Micros, ShutdownReport>> reports;
};

/// The tickets that one incarnation has issued. A ticket never moves to another node, so no lease can expire and no
/// two nodes can disagree about it.
class TicketRegistry
{
public:
	TicketRegistry(Incarnation _self, TicketLimits _limits);

	/// Issues a ticket.
	/// @param[in] _workspace Workspace that may use it.
	/// @param[in] _nonce Random number from the caller of this function.
	/// @param[in] _now Current time.
	/// @returns The ticket, or ResourceExhausted when the registry is full.
	absl::StatusOr<Ticket> issue(const std::string& _workspace, std::uint64_t _nonce, Micros _now);

	/// Presents a request under a ticket.
	/// @param[in] _ticket Ticket from the caller.
	/// @param[in] _workspace Workspace of the caller.
	/// @param[in] _digest Hash of the request, to refuse a different request under the same ticket.
	/// @param[in] _now Current time.
	TicketDecision present(const Ticket& _ticket, const std::string& _workspace, std::uint64_t _digest, Micros _now);

	/// Records the outcome of a running ticket. Later outcomes of the same ticket are ignored.
	void recordOutcome(const Ticket& _ticket, const Outcome& _outcome, Micros _now);

	/// Revokes an unused ticket, so that it never runs. Its outcome is Reason::TicketSealed.
	/// @returns TicketReplay if it has ended or is revoked, TicketAttach if it is running, TicketOtherIssuer if another
	/// incarnation issued it, TicketRefused otherwise.
	TicketDecision revoke(const Ticket& _ticket, const std::string& _workspace, Micros _now);

	/// @returns State of a ticket, and its outcome if it has ended.
	[[nodiscard]] std::pair<TicketState, Outcome> stateOf(const Ticket& _ticket, const std::string& _workspace) const;

	/// Removes tickets and outcomes whose TTL has passed.
	void expire(Micros _now);

	/// Revokes all unused tickets. Called at the end of a planned stop, with nothing running.
	/// @returns What other nodes need to answer for this incarnation after it has stopped.
	ShutdownReport shutDown(Micros _now);

	[[nodiscard]] std::size_t size() const;
	[[nodiscard]] const Incarnation& self() const;

private:
	struct Entry
	{
		std::string workspace;
		std::uint64_t nonce = 0;
		std::uint64_t digest = 0;
		TicketState state = TicketState::Unused;
		Micros issuedOrEndedAt = 0;
		Outcome outcome;
	};

	[[nodiscard]] const Entry* find(const Ticket& _ticket, const std::string& _workspace) const;

	Incarnation identity;
	TicketLimits limits;
	std::uint64_t lastSerial = 0;
	std::uint64_t expiredUpTo = 0; ///< Highest serial that was removed.
	std::unordered_map<std::uint64_t, Entry> entries;
	std::deque<std::pair<Micros, std::uint64_t>> expiry; ///< Next expiry check of each serial, oldest first.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_TICKETS_H_HEADER_GUARD
