/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Admission of requests to the pools of their stages, and refusal across nodes.

#include "property.h"
#include "stage_times.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace
{

using namespace roadferry;

constexpr Micros kCallTime = 240 * kMillisecond;
constexpr Micros kPieceTime = 10 * kMillisecond;
constexpr std::int64_t kBatchSize = 10;

PoolSpec pool(const std::string& _name)
{
	PoolSpec spec;
	spec.name = _name;
	spec.batches = BatchLimits{1, kBatchSize, kCallTime, kPieceTime, 4 * kSecond, 0};
	return spec;
}

Endpoint endpoint(const std::string& _pool, int _index, bool _leaving = false)
{
	return Endpoint{
		_pool + "-" + std::to_string(_index), "10.0.0." + std::to_string(_index) + ":80", _pool, "north", 1, _leaving};
}

constexpr Micros kFirstStageTime = kCallTime + kPieceTime * kBatchSize / 2;

/// Admission for two pools of two endpoints each; at its full rate a pool computes 20 pieces in 340 ms.
StageAdmission admissionOfTwoPools()
{
	StageAdmission admission;
	admission.setPools({pool("first"), pool("second")});
	admission.setEndpoints({endpoint("first", 1), endpoint("first", 2), endpoint("second", 3), endpoint("second", 4)});
	return admission;
}

AdmissionTerms terms(Micros _maxWait, bool _refusable = true)
{
	return AdmissionTerms{_maxWait, _refusable, {PoolDemand{"first", 1, 0}, PoolDemand{"second", 5, kFirstStageTime}}};
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

Test(admission, burst_is_refused_by_the_predicted_backlog_of_later_stages)
{
	// No piece has reached the second pool yet: its predicted backlog alone must refuse the burst's later requests.
	StageAdmission admission = admissionOfTwoPools();
	int admitted = 0;
	while (admitted < 1'000 && admission.admit(terms(500 * kMillisecond), {}, kSecond).admitted)
	{
		admitted += 1;
	}
	// The second pool computes 29 pieces in 500 ms: the sixth request still finds 25 before it, the seventh finds 30.
	cr_assert_eq(admitted, 6);
	cr_assert(admission.admit(terms(500 * kMillisecond), {}, kSecond + 400 * kMillisecond).admitted);
}

Test(admission, backlog_drains_at_the_measured_rate)
{
	StageAdmission admission = admissionOfTwoPools();
	const std::map<std::string, PoolForecast> slow = {{"second", PoolForecast{0, 10}}};
	cr_assert(admission.admit(terms(500 * kMillisecond), slow, kSecond).admitted);
	cr_assert(admission.admit(terms(500 * kMillisecond), slow, kSecond).admitted);
	const AdmissionVerdict verdict = admission.admit(terms(500 * kMillisecond), slow, kSecond);
	cr_assert_not(verdict.admitted);
	cr_assert_float_eq(static_cast<double>(verdict.waits.at("second")), kSecond, 1); // 10 pieces at 10 a second.
	cr_assert_float_eq(admission.backlog("second", kSecond + 500 * kMillisecond), 5, 1e-6);
}

Test(admission, non_refusable_request_is_admitted_and_counted)
{
	StageAdmission admission = admissionOfTwoPools();
	for (int index = 0; index < 50; ++index)
	{
		cr_assert(admission.admit(terms(0, false), {}, kSecond).admitted);
	}
	cr_assert_float_eq(admission.backlog("second", kSecond), 250, 1e-6);
	cr_assert_not(admission.admit(terms(2 * kSecond), {}, kSecond).admitted);
}

Test(admission, queue_wait_counts_and_refused_requests_are_not_added)
{
	StageAdmission admission = admissionOfTwoPools();
	const AdmissionVerdict verdict =
		admission.admit(terms(300 * kMillisecond), {{"first", PoolForecast{400 * kMillisecond, 0}}}, kSecond);
	cr_assert_not(verdict.admitted);
	cr_assert_eq(verdict.waits.at("first"), 400 * kMillisecond);
	cr_assert_float_eq(admission.backlog("second", kSecond), 0, 1e-6);
}

Test(admission, queue_of_a_later_pool_counts_when_it_exceeds_the_backlog)
{
	StageAdmission admission = admissionOfTwoPools();
	const AdmissionVerdict verdict =
		admission.admit(terms(kSecond), {{"second", PoolForecast{400 * kMillisecond, 0}}}, kSecond);
	cr_assert_eq(verdict.waits.at("second"), 400 * kMillisecond);
}

Test(admission, pool_without_endpoints_admits_every_request)
{
	StageAdmission admission;
	admission.setPools({pool("first"), pool("second")});
	admission.setEndpoints({endpoint("first", 1, true)});
	for (int index = 0; index < 50; ++index)
	{
		cr_assert(admission.admit(terms(0), {}, kSecond).admitted);
	}
}

Test(admission, backlog_returns_to_zero)
{
	StageAdmission admission = admissionOfTwoPools();
	for (int index = 0; index < 20; ++index)
	{
		admission.admit(terms(0, false), {}, kSecond);
	}
	cr_assert_float_eq(admission.backlog("second", kSecond), 100, 1e-6);
	cr_assert_float_eq(admission.backlog("second", 3 * kSecond), 0, 1e-6);
}

Test(admission, admitted_pieces_are_bounded_by_the_pool_rate)
{
	checkHistories("admission",
				   []
				   {
					   StageAdmission admission = admissionOfTwoPools();
					   Micros now = kSecond;
					   std::int64_t pieces = 0;
					   const int steps = *rc::gen::inRange(1, 200);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, 100 * kMillisecond);
						   pieces += admission.admit(terms(500 * kMillisecond), {}, now).admitted ? 5 : 0;
					   }
					   // 20 pieces per 340 ms, 500 ms ahead, plus the one request that goes beyond.
					   const double maxPieces =
						   static_cast<double>(now - kSecond + 500 * kMillisecond) * 20 / 340'000 + 5;
					   RC_ASSERT(static_cast<double>(pieces) <= maxPieces);
				   });
}

Test(admission, efficiency_follows_a_pool_while_pieces_wait)
{
	PoolEfficiency efficiency;
	Micros now = kSecond;
	for (int step = 0; step < 100; ++step)
	{
		now += 100 * kMillisecond;
		efficiency.update(true, 4, 100, now); // 40 of 100 pieces per second.
	}
	cr_assert_float_eq(efficiency.share(), 0.4, 0.02);
	for (int step = 0; step < 100; ++step)
	{
		now += 100 * kMillisecond;
		efficiency.update(false, 2, 100, now); // Less work than it could do tells nothing.
	}
	cr_assert_float_eq(efficiency.share(), 0.4, 0.02);
	for (int step = 0; step < 100; ++step)
	{
		now += 100 * kMillisecond;
		efficiency.update(false, 9, 100, now); // More than assumed, without waits, does.
	}
	cr_assert_float_eq(efficiency.share(), 0.9, 0.02);
}

Test(admission, batching_node_of_the_first_pool_refuses_for_all_nodes)
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
		node.setMembers(members, members, 0);
	}
	const PieceActions asked = nodes.at(other).submit("first", {order(7, kSecond)}, terms(-1), kSecond);
	cr_assert_eq(asked.size(), 1);
	const auto ask = std::get<SendPieceMessage>(asked.front());
	cr_assert(ask.to == deciding);
	const PieceActions decided = nodes.at(deciding).receive(other, ask.message, kSecond);
	cr_assert_eq(decided.size(), 2); // The reason for the log, and the refusal.
	cr_assert(std::get<RequestNotAdmitted>(decided.front()).request == "r-7");
	const auto refusal = std::get<SendPieceMessage>(decided.back());
	cr_assert(faultsOf(nodes.at(other).receive(deciding, refusal.message, kSecond)) ==
			  std::vector<PieceFault>{PieceFault::NotAdmitted});
	cr_assert(faultsOf(nodes.at(deciding).submit("first", {order(8, kSecond)}, terms(-1), kSecond)) ==
			  std::vector<PieceFault>{PieceFault::NotAdmitted});
	// Later pieces of an admitted request come without terms and are computed.
	cr_assert(faultsOf(nodes.at(deciding).submit("first", {order(9, kSecond)}, std::nullopt, kSecond)).empty());
}

Test(admission, results_of_a_node_that_has_left_are_freed_by_their_holder)
{
	const std::vector<std::string> members = {"10.0.1.1:1", "10.0.1.2:1"};
	const std::string batchingNode = batchNodeOf("first", members);
	const std::string holder = batchingNode == members[0] ? members[1] : members[0];
	PieceScheduler node(holder, PieceSchedulerConfig{});
	node.setPools({pool("first")});
	node.setMembers(members, members, 0);
	node.submit("first", {order(1, kSecond), order(2, kSecond)}, std::nullopt, kSecond);
	node.receive(batchingNode,
				 PieceUpdate{{}, {PieceCompleted{1, "h-1", "north"}, PieceCompleted{2, "h-2", "north"}}, {}, {}, {}},
				 kSecond);
	const PieceActions forwarded = node.free({"h-1"}, kSecond);
	cr_assert(std::get<SendPieceMessage>(forwarded.front()).to == batchingNode);
	node.setMembers({holder}, {holder}, kSecond);
	const PieceActions freed = node.free({"h-2"}, kSecond);
	cr_assert(std::get<FreeResult>(freed.front()) == FreeResult{"h-2"});
}

Test(admission, skipped_stages_take_no_time)
{
	RoutePlanData data;
	data.pools = {pool("first"), pool("second")};
	Route route;
	route.stages = {{"first", {}, 10}, {"first", {}, 10}, {"second", {1}, 10}};
	const RoutePlan plan(data);
	const Micros stageTime = kCallTime + kPieceTime * kBatchSize / 2;
	const std::vector<std::int64_t> allCounts = {2, 1, 4};
	const std::vector<std::int64_t> someCounts = {2, 0, 0};
	const StagedRoute allStages{plan, route, allCounts};
	cr_assert_eq(allStages.totalTime(), 2 * stageTime);
	cr_assert_eq(allStages.timeAfter(1), stageTime);
	cr_assert(allStages.demand() == (std::vector<PoolDemand>{{"first", 3, 0}, {"second", 4, stageTime}}));
	const StagedRoute someStages{plan, route, someCounts};
	cr_assert_eq(someStages.totalTime(), stageTime);
	cr_assert(someStages.demand() == (std::vector<PoolDemand>{{"first", 2, 0}}));
}
