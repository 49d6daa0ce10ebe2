/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Which requests are let in to the pools of their stages, and how they are refused over nodes.

#include "property.h"
#include "stage_times.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace
{

using namespace roadferry;

constexpr Micros kCall = 240 * kMillisecond;
constexpr Micros kPiece = 10 * kMillisecond;
constexpr std::int64_t kBatch = 10;

PoolSpec pool(const std::string& _name)
{
	PoolSpec spec;
	spec.name = _name;
	spec.batches = BatchLimits{1, kBatch, kCall, kPiece, 4 * kSecond, 0};
	return spec;
}

Endpoint endpoint(const std::string& _pool, int _index, bool _leaving = false)
{
	return Endpoint{
		_pool + "-" + std::to_string(_index), "10.0.0." + std::to_string(_index) + ":80", _pool, "north", 1, _leaving};
}

/// An admission before two pools of two endpoints each; at its whole rate a pool makes 20 pieces in 340 ms.
StageAdmission twoPools()
{
	StageAdmission admission(AdmissionConfig{1.0});
	admission.setPools({pool("first"), pool("second")});
	admission.setEndpoints({endpoint("first", 1), endpoint("first", 2), endpoint("second", 3), endpoint("second", 4)});
	return admission;
}

AdmissionTerms terms(Micros _waitMost, bool _refusable = true)
{
	return AdmissionTerms{_waitMost, _refusable, {PoolDemand{"first", 1}, PoolDemand{"second", 5}}};
}

PieceOrder order(std::uint64_t _number, Micros _now)
{
	PieceOrder result;
	result.orderId = _number;
	result.request = "r-" + std::to_string(_number);
	result.deadline = _now + 15 * kSecond;
	result.due = _now + 2 * kSecond;
	return result;
}

std::vector<PieceFault> faultsOf(const PieceActions& _actions)
{
	std::vector<PieceFault> faults;
	for (const PieceAction& action : _actions)
	{
		if (const auto* failed = std::get_if<PieceFailed>(&action))
		{
			faults.push_back(failed->fault);
		}
	}
	return faults;
}

} // namespace

Test(admission, later_stages_of_a_burst_are_foreseen_when_it_comes)
{
	// No piece has reached the second pool yet; its backlog alone must turn the burst's later requests away.
	StageAdmission admission = twoPools();
	int admitted = 0;
	while (admitted < 1'000 && admission.admit(terms(500 * kMillisecond), {}, kSecond).admitted)
	{
		admitted += 1;
	}
	// 500 ms of the second pool are 29 pieces, and of the first 29 as well: 5 pieces and one count 102 ms together.
	cr_assert_eq(admitted, 5);
	cr_assert(admission.admit(terms(500 * kMillisecond), {}, kSecond + 400 * kMillisecond).admitted);
}

Test(admission, request_that_was_refused_before_is_let_in_and_counted)
{
	StageAdmission admission = twoPools();
	for (int index = 0; index < 50; ++index)
	{
		cr_assert(admission.admit(terms(0, false), {}, kSecond).admitted);
	}
	cr_assert_gt(admission.backlogTime("second", kSecond), 4 * kSecond);
	cr_assert_not(admission.admit(terms(2 * kSecond), {}, kSecond).admitted);
}

Test(admission, known_wait_counts_where_it_is_longer_than_the_backlog)
{
	StageAdmission admission = twoPools();
	const AdmissionVerdict verdict =
		admission.admit(terms(300 * kMillisecond), {{"second", 400 * kMillisecond}}, kSecond);
	cr_assert_not(verdict.admitted);
	cr_assert_eq(verdict.waits.at("second"), 400 * kMillisecond);
	cr_assert_eq(admission.backlogTime("second", kSecond), 0); // What is refused is not counted.
}

Test(admission, pool_without_endpoints_turns_nobody_away)
{
	StageAdmission admission(AdmissionConfig{});
	admission.setPools({pool("first"), pool("second")});
	admission.setEndpoints({endpoint("first", 1, true)});
	for (int index = 0; index < 50; ++index)
	{
		cr_assert(admission.admit(terms(0), {}, kSecond).admitted);
	}
}

Test(admission, what_is_let_in_is_bounded_by_the_rate)
{
	checkHistories("admission",
				   []
				   {
					   StageAdmission admission = twoPools();
					   Micros now = kSecond;
					   std::int64_t pieces = 0;
					   const int steps = *rc::gen::inRange(1, 200);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, 100 * kMillisecond);
						   pieces += admission.admit(terms(500 * kMillisecond), {}, now).admitted ? 5 : 0;
					   }
					   // 20 pieces each 340 ms, 500 ms ahead, and the one request that reaches beyond.
					   const double most = static_cast<double>(now - kSecond + 500 * kMillisecond) * 20 / 340'000 + 5;
					   RC_ASSERT(static_cast<double>(pieces) <= most);
				   });
}

Test(admission, node_of_the_first_pool_refuses_for_all_nodes)
{
	const std::vector<std::string> members = {"10.0.1.1:1", "10.0.1.2:1"};
	const std::string deciding = batchNodeOf("first", members);
	const std::string other = deciding == members[0] ? members[1] : members[0];
	std::map<std::string, PieceScheduler> nodes;
	for (const std::string& name : members)
	{
		PieceScheduler& node = nodes.try_emplace(name, name, PieceSchedulerConfig{}).first->second;
		node.setPools({pool("first"), pool("second")});
		node.setEndpoints({endpoint("first", 1), endpoint("second", 2)});
		node.setMembers(members, 0);
	}
	const PieceActions asked = nodes.at(other).submit("first", {order(7, kSecond)}, terms(-1), kSecond);
	cr_assert_eq(asked.size(), 1);
	const auto ask = std::get<SendPieceMessage>(asked.front());
	cr_assert(ask.to == deciding);
	const PieceActions decided = nodes.at(deciding).receive(other, ask.message, kSecond);
	cr_assert_eq(decided.size(), 2); // The reason, for the log, and the refusal.
	cr_assert(std::get<RequestNotAdmitted>(decided.front()).request == "r-7");
	const auto refusal = std::get<SendPieceMessage>(decided.back());
	cr_assert(faultsOf(nodes.at(other).receive(deciding, refusal.message, kSecond)) ==
			  std::vector<PieceFault>{PieceFault::NotAdmitted});
	cr_assert(faultsOf(nodes.at(deciding).submit("first", {order(8, kSecond)}, terms(-1), kSecond)) ==
			  std::vector<PieceFault>{PieceFault::NotAdmitted});
	// Later pieces of a request that was let in come without terms, and are made.
	cr_assert(faultsOf(nodes.at(deciding).submit("first", {order(9, kSecond)}, std::nullopt, kSecond)).empty());
}

Test(admission, results_of_a_node_that_has_left_are_freed_by_those_who_hold_them)
{
	const std::vector<std::string> members = {"10.0.1.1:1", "10.0.1.2:1"};
	const std::string maker = batchNodeOf("first", members);
	const std::string holder = maker == members[0] ? members[1] : members[0];
	PieceScheduler node(holder, PieceSchedulerConfig{});
	node.setPools({pool("first")});
	node.setMembers(members, 0);
	node.submit("first", {order(1, kSecond), order(2, kSecond)}, std::nullopt, kSecond);
	node.receive(maker, PieceUpdate{{}, {PieceCompleted{1, "h-1", "north"}, PieceCompleted{2, "h-2", "north"}}, {}, {}},
				 kSecond);
	const PieceActions told = node.free({"h-1"}, kSecond);
	cr_assert(std::get<SendPieceMessage>(told.front()).to == maker);
	node.setMembers({holder}, kSecond);
	const PieceActions freed = node.free({"h-2"}, kSecond);
	cr_assert(std::get<FreeResult>(freed.front()) == FreeResult{"h-2"});
}

Test(admission, stages_that_are_left_out_take_no_time)
{
	RoutePlanData data;
	data.pools = {pool("first"), pool("second")};
	Route route;
	route.stages = {{"first", {}, 10}, {"first", {}, 10}, {"second", {1}, 10}};
	const RoutePlan plan(data);
	const Micros one = kCall + kPiece * kBatch / 2;
	const std::vector<std::int64_t> all = {2, 1, 4};
	const std::vector<std::int64_t> some = {2, 0, 0};
	const StagedRoute whole{plan, route, all};
	cr_assert_eq(whole.totalTime(), 2 * one);
	cr_assert_eq(whole.timeAfter(1), one);
	cr_assert(whole.demand() == (std::vector<PoolDemand>{{"first", 3}, {"second", 4}}));
	const StagedRoute part{plan, route, some};
	cr_assert_eq(part.totalTime(), one);
	cr_assert(part.demand() == (std::vector<PoolDemand>{{"first", 2}}));
}
