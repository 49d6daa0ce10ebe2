/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tickets: the text form, and the book of one incarnation.

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
constexpr std::size_t kTextLimit = 200;

Outcome refusal(Reason _reason, bool _repeatSafe)
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
	if (_text.size() > kTextLimit)
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

TicketBook::TicketBook(Incarnation _self, TicketLimits _limits) : identity(std::move(_self)), limits(_limits)
{
}

absl::StatusOr<Ticket> TicketBook::issue(const std::string& _workspace, std::uint64_t _nonce, Micros _now)
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
	entry.since = _now;
	this->entries.emplace(serial, std::move(entry));
	this->expiry.emplace_back(_now + this->limits.unusedLife, serial);
	return Ticket{this->identity, serial, _nonce};
}

const TicketBook::Entry* TicketBook::find(const Ticket& _ticket, const std::string& _workspace) const
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

TicketDecision TicketBook::present(const Ticket& _ticket, const std::string& _workspace, std::uint64_t _digest,
								   Micros _now)
{
	if (_ticket.issuer != this->identity)
	{
		return TicketElsewhere{_ticket.issuer};
	}
	this->expire(_now);
	const Entry* found = this->find(_ticket, _workspace);
	if (found == nullptr)
	{
		return TicketRefused{refusal(Reason::TicketExpired, false)};
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
		return TicketRefused{refusal(Reason::TicketMismatch, false)};
	}
	if (entry.state == TicketState::Running)
	{
		return TicketAttach{};
	}
	return TicketReplay{entry.outcome};
}

void TicketBook::end(const Ticket& _ticket, const Outcome& _outcome, Micros _now)
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
	entry.since = _now;
}

TicketDecision TicketBook::seal(const Ticket& _ticket, const std::string& _workspace, Micros _now)
{
	if (_ticket.issuer != this->identity)
	{
		return TicketElsewhere{_ticket.issuer};
	}
	this->expire(_now);
	if (this->find(_ticket, _workspace) == nullptr)
	{
		return TicketRefused{refusal(Reason::TicketExpired, false)};
	}
	Entry& entry = this->entries.at(_ticket.serial);
	if (entry.state == TicketState::Running)
	{
		return TicketAttach{};
	}
	if (entry.state == TicketState::Unused)
	{
		entry.state = TicketState::Ended;
		entry.outcome = refusal(Reason::TicketSealed, true);
		entry.since = _now;
	}
	return TicketReplay{entry.outcome};
}

std::pair<TicketState, Outcome> TicketBook::look(const Ticket& _ticket, const std::string& _workspace) const
{
	if (_ticket.issuer != this->identity)
	{
		return {TicketState::Elsewhere, Outcome{}};
	}
	const Entry* entry = this->find(_ticket, _workspace);
	if (entry == nullptr)
	{
		return {TicketState::Forgotten, refusal(Reason::TicketExpired, false)};
	}
	return {entry->state, entry->outcome};
}

void TicketBook::expire(Micros _now)
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
		const bool fresh = entry.state == TicketState::Ended && entry.since + this->limits.outcomeLife > _now;
		if (running || fresh)
		{
			this->expiry.emplace_back(_now + this->limits.outcomeLife, serial);
			continue;
		}
		this->forgottenUpTo = std::max(this->forgottenUpTo, serial);
		this->entries.erase(found);
	}
}

Farewell TicketBook::farewell(Micros _now)
{
	Farewell word;
	word.issuer = this->identity;
	word.forgottenUpTo = this->forgottenUpTo;
	for (auto& entry : this->entries)
	{
		if (entry.second.state == TicketState::Unused)
		{
			entry.second.state = TicketState::Ended;
			entry.second.outcome = refusal(Reason::TicketSealed, true);
			entry.second.since = _now;
		}
		// A request that is running has no outcome that others could give: it stays unknown.
		const bool running = entry.second.state == TicketState::Running;
		word.ended[entry.first] = running ? refusal(Reason::CutWhileRunning, false) : entry.second.outcome;
	}
	return word;
}

FarewellBook::FarewellBook(Micros _life) : life(_life)
{
}

void FarewellBook::add(const Farewell& _farewell, Micros _now)
{
	std::erase_if(this->farewells, [&](const auto& _entry) { return _entry.second.first + this->life <= _now; });
	this->farewells.emplace(_farewell.issuer, std::pair(_now, _farewell));
}

std::optional<Outcome> FarewellBook::look(const Ticket& _ticket, Micros _now) const
{
	const auto found = this->farewells.find(_ticket.issuer);
	if (found == this->farewells.end() || found->second.first + this->life <= _now)
	{
		return std::nullopt;
	}
	const Farewell& word = found->second.second;
	const auto ended = word.ended.find(_ticket.serial);
	if (ended != word.ended.end())
	{
		return ended->second;
	}
	return refusal(Reason::TicketExpired, _ticket.serial > word.forgottenUpTo);
}

std::size_t TicketBook::size() const
{
	return this->entries.size();
}

const Incarnation& TicketBook::self() const
{
	return this->identity;
}

} // namespace roadferry
