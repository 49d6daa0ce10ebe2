/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of tickets: their text form, the registry of one incarnation, and shutdown reports of others.

#include <roadferry/roadferry.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr char kSeparator = '~';
constexpr std::size_t kMaxTextLength = 200;

Outcome makeOutcome(Reason _reason, bool _repeatSafe)
{
	const Verdict verdict = _repeatSafe ? Verdict::NotRun : Verdict::Unknown;
	return Outcome{verdict, _reason, _repeatSafe, 0, {}};
}

} // namespace

std::string toText(const Ticket& _ticket)
{
	return absl::StrCat(_ticket.issuer.node, "~", absl::Hex(_ticket.issuer.number), "~", absl::Hex(_ticket.serial), "~",
						absl::Hex(_ticket.nonce));
}

absl::StatusOr<Ticket> ticketFromText(std::string_view _text)
{
	if (_text.size() > kMaxTextLength)
	{
		return absl::InvalidArgumentError("ticket: must be at most 200 characters");
	}
	const std::vector<std::string> parts =
		absl::StrSplit(absl::string_view(_text.data(), _text.size()), absl::ByChar(kSeparator));
	if (parts.size() != 4 || parts[0].empty())
	{
		return absl::InvalidArgumentError("ticket: must have four parts parted by '~', as it was issued");
	}
	Ticket ticket;
	ticket.issuer.node = parts[0];
	const bool numbers = absl::SimpleHexAtoi(parts[1], &ticket.issuer.number) &&
						 absl::SimpleHexAtoi(parts[2], &ticket.serial) && absl::SimpleHexAtoi(parts[3], &ticket.nonce);
	if (!numbers)
	{
		return absl::InvalidArgumentError("ticket: the last three parts must be hexadecimal numbers");
	}
	return ticket;
}

TicketRegistry::TicketRegistry(Incarnation _self, TicketLimits _limits) : identity(std::move(_self)), limits(_limits)
{
}

absl::StatusOr<Ticket> TicketRegistry::issue(const std::string& _workspace, std::uint64_t _nonce, Micros _now)
{
	this->expire(_now);
	if (this->entries.size() >= this->limits.capacity)
	{
		return absl::ResourceExhaustedError(
			absl::StrCat("tickets: this node holds its limit of ", this->limits.capacity));
	}
	const std::uint64_t serial = ++this->lastSerial;
	Entry entry;
	entry.workspace = _workspace;
	entry.nonce = _nonce;
	entry.issuedOrEndedAt = _now;
	this->entries.emplace(serial, std::move(entry));
	this->expiry.emplace_back(_now + this->limits.unusedTtl, serial);
	return Ticket{this->identity, serial, _nonce};
}

const TicketRegistry::Entry* TicketRegistry::find(const Ticket& _ticket, const std::string& _workspace) const
{
	const auto found = this->entries.find(_ticket.serial);
	if (found == this->entries.end())
	{
		return nullptr;
	}
	const Entry& entry = found->second;
	const bool match = entry.nonce == _ticket.nonce && entry.workspace == _workspace;
	return match ? &entry : nullptr;
}

TicketDecision TicketRegistry::present(const Ticket& _ticket, const std::string& _workspace, std::uint64_t _digest,
									   Micros _now)
{
	if (_ticket.issuer != this->identity)
	{
		return TicketOtherIssuer{_ticket.issuer};
	}
	this->expire(_now);
	const Entry* found = this->find(_ticket, _workspace);
	if (found == nullptr)
	{
		return TicketRefused{makeOutcome(Reason::TicketExpired, false)};
	}
	Entry& entry = this->entries.at(_ticket.serial);
	if (entry.state == TicketState::Unused)
	{
		entry.state = TicketState::Running;
		entry.digest = _digest;
		return TicketRun{};
	}
	if (entry.digest != 0 && entry.digest != _digest)
	{
		return TicketRefused{makeOutcome(Reason::TicketMismatch, false)};
	}
	if (entry.state == TicketState::Running)
	{
		return TicketAttach{};
	}
	return TicketReplay{entry.outcome};
}

void TicketRegistry::recordOutcome(const Ticket& _ticket, const Outcome& _outcome, Micros _now)
{
	const auto found = this->entries.find(_ticket.serial);
	if (_ticket.issuer != this->identity || found == this->entries.end())
	{
		return;
	}
	Entry& entry = found->second;
	if (entry.state != TicketState::Running)
	{
		return;
	}
	entry.state = TicketState::Ended;
	entry.outcome = _outcome;
	entry.issuedOrEndedAt = _now;
}

TicketDecision TicketRegistry::revoke(const Ticket& _ticket, const std::string& _workspace, Micros _now)
{
	if (_ticket.issuer != this->identity)
	{
		return TicketOtherIssuer{_ticket.issuer};
	}
	this->expire(_now);
	if (this->find(_ticket, _workspace) == nullptr)
	{
		return TicketRefused{makeOutcome(Reason::TicketExpired, false)};
	}
	Entry& entry = this->entries.at(_ticket.serial);
	if (entry.state == TicketState::Running)
	{
		return TicketAttach{};
	}
	if (entry.state == TicketState::Unused)
	{
		entry.state = TicketState::Ended;
		entry.outcome = makeOutcome(Reason::TicketSealed, true);
		entry.issuedOrEndedAt = _now;
	}
	return TicketReplay{entry.outcome};
}

std::pair<TicketState, Outcome> TicketRegistry::stateOf(const Ticket& _ticket, const std::string& _workspace) const
{
	if (_ticket.issuer != this->identity)
	{
		return {TicketState::OtherIssuer, Outcome{}};
	}
	const Entry* entry = this->find(_ticket, _workspace);
	if (entry == nullptr)
	{
		return {TicketState::Unknown, makeOutcome(Reason::TicketExpired, false)};
	}
	return {entry->state, entry->outcome};
}

void TicketRegistry::expire(Micros _now)
{
	while (!this->expiry.empty() && this->expiry.front().first <= _now)
	{
		const std::uint64_t serial = this->expiry.front().second;
		this->expiry.pop_front();
		const auto found = this->entries.find(serial);
		if (found == this->entries.end())
		{
			continue;
		}
		const Entry& entry = found->second;
		const bool running = entry.state == TicketState::Running;
		const bool outcomeRetained =
			entry.state == TicketState::Ended && entry.issuedOrEndedAt + this->limits.outcomeTtl > _now;
		if (running || outcomeRetained)
		{
			this->expiry.emplace_back(_now + this->limits.outcomeTtl, serial);
			continue;
		}
		this->expiredUpTo = std::max(this->expiredUpTo, serial);
		this->entries.erase(found);
	}
}

ShutdownReport TicketRegistry::shutDown(Micros _now)
{
	ShutdownReport report;
	report.issuer = this->identity;
	report.expiredUpTo = this->expiredUpTo;
	for (auto& entry : this->entries)
	{
		if (entry.second.state == TicketState::Unused)
		{
			entry.second.state = TicketState::Ended;
			entry.second.outcome = makeOutcome(Reason::TicketSealed, true);
			entry.second.issuedOrEndedAt = _now;
		}
		// A request that is still running has no final outcome: it is reported as unknown.
		const bool running = entry.second.state == TicketState::Running;
		report.outcomes[entry.first] = running ? makeOutcome(Reason::CutWhileRunning, false) : entry.second.outcome;
	}
	return report;
}

ShutdownReportCache::ShutdownReportCache(Micros _ttl) : ttl(_ttl)
{
}

void ShutdownReportCache::add(const ShutdownReport& _report, Micros _now)
{
	std::erase_if(this->reports, [&](const auto& _entry) { return _entry.second.first + this->ttl <= _now; });
	this->reports.emplace(_report.issuer, std::pair(_now, _report));
}

std::optional<Outcome> ShutdownReportCache::outcomeOf(const Ticket& _ticket, Micros _now) const
{
	const auto found = this->reports.find(_ticket.issuer);
	if (found == this->reports.end() || found->second.first + this->ttl <= _now)
	{
		return std::nullopt;
	}
	const ShutdownReport& report = found->second.second;
	const auto outcome = report.outcomes.find(_ticket.serial);
	if (outcome != report.outcomes.end())
	{
		return outcome->second;
	}
	return makeOutcome(Reason::TicketExpired, _ticket.serial > report.expiredUpTo);
}

std::size_t TicketRegistry::size() const
{
	return this->entries.size();
}

const Incarnation& TicketRegistry::self() const
{
	return this->identity;
}

} // namespace roadferry
