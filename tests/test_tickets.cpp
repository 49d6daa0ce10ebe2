/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// At-most-once execution: random histories of copies, freezes and restarts over several nodes, checked against a
/// count of runs.

#include "property.h"

#include <roadferry/roadferry.h>

namespace
{

using namespace roadferry;

constexpr std::size_t kNodes = 3;
constexpr std::uint64_t kRequests = 4;

/// A node that may be frozen. A frozen node processes nothing; when it resumes, it processes the copies that arrived.
struct ModelNode
{
	std::unique_ptr<TicketRegistry> registry;
	bool frozen = false;
	std::vector<std::pair<Ticket, std::uint64_t>> inbox; ///< Copies of requests that arrived while it was frozen.
};

/// Records what was run and what was reported to callers.
struct Oracle
{
	std::map<Ticket, int> runs;
	std::set<Ticket> reportedNotRun;
	std::map<Ticket, std::uint64_t> ranDigest;
};

class World
{
public:
	World()
	{
		for (std::size_t index = 0; index < kNodes; ++index)
		{
			this->restart(index);
		}
	}

	/// Starts a new process at the same address.
	void restart(std::size_t _node)
	{
		TicketLimits limits;
		limits.unusedTtl = 50 * kSecond;
		limits.outcomeTtl = 50 * kSecond;
		limits.capacity = 1'000;
		const Incarnation identity{"node-" + std::to_string(_node), ++this->lastIncarnation};
		this->nodes[_node].registry = std::make_unique<TicketRegistry>(identity, limits);
		this->nodes[_node].frozen = false;
		this->nodes[_node].inbox.clear();
	}

	void issue(std::size_t _node)
	{
		if (this->nodes[_node].frozen)
		{
			return;
		}
		const auto ticket = this->nodes[_node].registry->issue("hall", ++this->nonce, this->now);
		RC_ASSERT(ticket.ok());
		this->tickets.push_back(*ticket);
	}

	/// Presents a copy of a request at a node, which forwards it to the address of the issuer.
	void present(std::size_t _node, const Ticket& _ticket, std::uint64_t _digest)
	{
		if (this->nodes[_node].frozen)
		{
			return;
		}
		const TicketDecision decision = this->nodes[_node].registry->present(_ticket, "hall", _digest, this->now);
		if (const auto* elsewhere = std::get_if<TicketOtherIssuer>(&decision))
		{
			this->deliver(elsewhere->issuer.node.back() - '0', _ticket, _digest);
			return;
		}
		this->observe(_ticket, _digest, decision);
	}

	void deliver(std::size_t _node, const Ticket& _ticket, std::uint64_t _digest)
	{
		if (this->nodes[_node].frozen)
		{
			this->nodes[_node].inbox.emplace_back(_ticket, _digest);
			return;
		}
		this->observe(_ticket, _digest, this->nodes[_node].registry->present(_ticket, "hall", _digest, this->now));
	}

	void observe(const Ticket& _ticket, std::uint64_t _digest, const TicketDecision& _decision)
	{
		if (std::holds_alternative<TicketRun>(_decision))
		{
			this->oracle.runs[_ticket] += 1;
			this->oracle.ranDigest[_ticket] = _digest;
		}
		const Outcome* reported = nullptr;
		if (const auto* replay = std::get_if<TicketReplay>(&_decision))
		{
			reported = &replay->outcome;
		}
		if (const auto* refused = std::get_if<TicketRefused>(&_decision))
		{
			reported = &refused->outcome;
		}
		if (reported != nullptr && reported->verdict == Verdict::NotRun)
		{
			this->oracle.reportedNotRun.insert(_ticket);
		}
		if (std::holds_alternative<TicketAttach>(_decision) || std::holds_alternative<TicketReplay>(_decision))
		{
			const auto ran = this->oracle.ranDigest.find(_ticket);
			const bool same = ran == this->oracle.ranDigest.end() || ran->second == _digest;
			RC_ASSERT(same);
		}
		this->check();
	}

	void revoke(std::size_t _node, const Ticket& _ticket)
	{
		if (!this->nodes[_node].frozen)
		{
			this->observeRevocation(_ticket, this->nodes[_node].registry->revoke(_ticket, "hall", this->now));
		}
	}

	void observeRevocation(const Ticket& _ticket, const TicketDecision& _decision)
	{
		const auto* replay = std::get_if<TicketReplay>(&_decision);
		if (replay != nullptr && replay->outcome.verdict == Verdict::NotRun)
		{
			this->oracle.reportedNotRun.insert(_ticket);
		}
		this->check();
	}

	void end(std::size_t _node, const Ticket& _ticket)
	{
		const bool running = this->oracle.runs.count(_ticket) > 0;
		if (running && !this->nodes[_node].frozen)
		{
			this->nodes[_node].registry->recordOutcome(_ticket, Outcome{Verdict::Answered, Reason::None, false, 0, {}},
													   this->now);
		}
	}

	void freeze(std::size_t _node)
	{
		this->nodes[_node].frozen = true;
	}

	void wake(std::size_t _node)
	{
		this->nodes[_node].frozen = false;
		const auto inbox = std::move(this->nodes[_node].inbox);
		this->nodes[_node].inbox.clear();
		for (const auto& copy : inbox)
		{
			this->deliver(_node, copy.first, copy.second);
		}
	}

	void check() const
	{
		for (const auto& entry : this->oracle.runs)
		{
			RC_ASSERT(entry.second <= 1);
			RC_ASSERT(this->oracle.reportedNotRun.count(entry.first) == 0);
		}
	}

	std::vector<Ticket> tickets;
	Micros now = 0;

private:
	std::array<ModelNode, kNodes> nodes;
	Oracle oracle;
	std::uint64_t lastIncarnation = 0;
	std::uint64_t nonce = 0;
};

void step(World& _world)
{
	const int command = *rc::gen::inRange(0, 9);
	const std::size_t node = *rc::gen::inRange<std::size_t>(0, kNodes);
	if (command == 0 || _world.tickets.empty())
	{
		_world.issue(node);
		return;
	}
	const Ticket ticket = *rc::gen::elementOf(_world.tickets);
	const std::uint64_t digest = *rc::gen::weightedElement<std::uint64_t>({{6, 7}, {1, 8}});
	switch (command)
	{
	case 1:
	case 2:
	case 3:
		_world.present(node, ticket, digest);
		break;
	case 4:
		_world.revoke(node, ticket);
		break;
	case 5:
		_world.end(node, ticket);
		break;
	case 6:
		_world.freeze(node);
		break;
	case 7:
		_world.wake(node);
		break;
	default:
		_world.now += *rc::gen::inRange<Micros>(1, 30) * kSecond;
		if (*rc::gen::inRange(0, 4) == 0)
		{
			_world.restart(node);
		}
		break;
	}
}

} // namespace

Test(tickets, ticket_runs_at_most_once_and_never_after_not_run)
{
	checkHistories("tickets",
				   []
				   {
					   World world;
					   const int steps = *rc::gen::inRange(1, 120);
					   for (int index = 0; index < steps; ++index)
					   {
						   step(world);
					   }
				   });
}

Test(tickets, text_round_trips_and_malformed_text_is_rejected)
{
	checkHistories("ticket text",
				   []
				   {
					   const Ticket ticket{{"10.0.0.7:8500", *rc::gen::arbitrary<std::uint64_t>()},
										   *rc::gen::arbitrary<std::uint64_t>(),
										   *rc::gen::arbitrary<std::uint64_t>()};
					   RC_ASSERT(ticketFromText(toText(ticket)).value() == ticket);
					   const auto malformedText = *rc::gen::arbitrary<std::string>();
					   const auto parsed = ticketFromText(malformedText);
					   const bool named = parsed.ok() || parsed.status().message().find("ticket: ") == 0;
					   RC_ASSERT(named);
				   });
}

Test(tickets, full_registry_rejects_issue_until_tickets_expire)
{
	TicketLimits limits;
	limits.capacity = 2;
	limits.unusedTtl = kSecond;
	TicketRegistry registry(Incarnation{"n", 1}, limits);
	cr_assert(registry.issue("hall", 1, 0).ok());
	const auto second = registry.issue("hall", 2, 0);
	cr_assert(second.ok());
	cr_assert_not(registry.issue("hall", 3, 0).ok());
	cr_assert(registry.issue("hall", 4, 2 * kSecond).ok());
	const TicketDecision late = registry.present(*second, "hall", 5, 2 * kSecond);
	cr_assert(std::holds_alternative<TicketRefused>(late));
	cr_assert(std::get<TicketRefused>(late).outcome.verdict == Verdict::Unknown);
}
