/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Which endpoints a node reaches, and which nodes it asks for the rest, in virtual time.

#include "property.h"

#include <roadferry/roadferry.h>

#include <criterion/criterion.h>

namespace
{

using namespace roadferry;

constexpr Micros kStart = 100 * kSecond;

std::string endpointName(int _index)
{
	return "e-" + std::to_string(_index);
}

/// A node with some endpoints and other nodes.
Reachability makeReach(int _endpoints, int _relays)
{
	Reachability reach(ReachabilityConfig{});
	std::vector<Endpoint> endpoints;
	for (int index = 0; index < _endpoints; ++index)
	{
		endpoints.push_back(Endpoint{endpointName(index), "10.0.0.9:" + std::to_string(index + 1), "pool", "north"});
	}
	reach.setEndpoints(endpoints);
	std::vector<RelayNode> relays;
	for (int index = 0; index < _relays; ++index)
	{
		relays.push_back(RelayNode{"10.0.0." + std::to_string(index + 1) + ":8500", 25});
	}
	reach.setRelays(relays);
	return reach;
}

bool isDirect(const Reachability& _reach, const std::string& _endpoint, Micros _now)
{
	return std::holds_alternative<CallDirectly>(_reach.pathTo(_endpoint, _now));
}

bool isNowhere(const Reachability& _reach, const std::string& _endpoint, Micros _now)
{
	return std::holds_alternative<CallNowhere>(_reach.pathTo(_endpoint, _now));
}

} // namespace

/// Guards against a path that is cut being taken for an endpoint that is down: what others reach goes through them.
Test(reachability, endpoint_that_only_others_reach_is_called_through_them)
{
	Reachability reach = makeReach(8, 2);
	cr_assert(reach.recordReachedThrough("e-0", "10.0.0.1:8500", kStart) == ReachChange::PathLost);
	cr_assert(std::holds_alternative<CallThrough>(reach.pathTo("e-0", kStart)));
	cr_assert(isDirect(reach, "e-1", kStart));
}

/// Guards against each request of a cut node finding the cut anew.
Test(reachability, three_lost_paths_without_a_connection_cut_the_node_off)
{
	Reachability reach = makeReach(8, 2);
	reach.recordReachedThrough("e-0", "10.0.0.1:8500", kStart);
	reach.recordReachedThrough("e-1", "10.0.0.2:8500", kStart + 1);
	cr_assert(!reach.isCutOff());
	cr_assert(reach.recordReachedThrough("e-2", "10.0.0.1:8500", kStart + 2) == ReachChange::CutOff);
	cr_assert(std::holds_alternative<CallThrough>(reach.pathTo("e-7", kStart + 3)));
}

/// Guards against a node that reaches some endpoints counting as cut off from all.
Test(reachability, connections_in_between_keep_a_node_from_being_cut_off)
{
	Reachability reach = makeReach(8, 2);
	for (int index = 0; index < 4; ++index)
	{
		reach.recordReachedThrough(endpointName(index), "10.0.0.1:8500", kStart + 2 * index);
		reach.recordConnected("e-7", kStart + 2 * index + 1);
	}
	cr_assert(!reach.isCutOff());
	cr_assert(isDirect(reach, "e-7", kStart + 10));
}

/// Guards against a dead pool being taken for a cut: nobody reaches it, so requests end at once and nothing is lost.
Test(reachability, endpoint_that_nobody_reaches_gets_no_call_until_a_probe_reaches_it)
{
	Reachability reach = makeReach(3, 2);
	for (int index = 0; index < 3; ++index)
	{
		reach.recordNotReachedThrough(endpointName(index), "10.0.0.1:8500", false, kStart);
		reach.recordUnreachable(endpointName(index));
	}
	cr_assert(!reach.isCutOff());
	cr_assert(isNowhere(reach, "e-0", kStart + 60 * kSecond));
	cr_assert_eq(reach.tick(kStart + kSecond).size(), 3);
	reach.recordConnected("e-1", kStart + kSecond);
	cr_assert(isDirect(reach, "e-0", kStart + kSecond));
}

/// Guards against a cut node keeping calls from an endpoint for good: its own probes cannot find the endpoint back.
Test(reachability, cut_node_asks_again_for_an_endpoint_that_was_not_reached)
{
	Reachability reach = makeReach(8, 2);
	for (int index = 0; index < 3; ++index)
	{
		reach.recordReachedThrough(endpointName(index), "10.0.0.1:8500", kStart);
	}
	reach.recordUnreachable("e-5");
	cr_assert(isNowhere(reach, "e-5", kStart));
	reach.tick(kStart + kSecond);
	cr_assert(std::holds_alternative<CallThrough>(reach.pathTo("e-5", kStart + kSecond)));
}

Test(reachability, one_connection_restores_all_paths)
{
	Reachability reach = makeReach(8, 2);
	for (int index = 0; index < 3; ++index)
	{
		reach.recordReachedThrough(endpointName(index), "10.0.0.1:8500", kStart);
	}
	cr_assert(reach.isCutOff());
	cr_assert(reach.recordConnected("e-5", kStart + kSecond) == ReachChange::Restored);
	cr_assert(isDirect(reach, "e-0", kStart + kSecond));
	cr_assert(reach.tick(kStart + kSecond).empty());
}

/// Guards against requests of callers being spent on finding out that a cut has ended.
Test(reachability, cut_node_probes_a_few_endpoints_a_second_in_turn)
{
	Reachability reach = makeReach(5, 2);
	for (int index = 0; index < 3; ++index)
	{
		reach.recordReachedThrough(endpointName(index), "10.0.0.1:8500", kStart);
	}
	std::set<std::string> probed;
	for (Micros now = kStart; now < kStart + 3 * kSecond; now += 20 * kMillisecond)
	{
		const std::vector<std::string> some = reach.tick(now);
		cr_assert_leq(some.size(), 2);
		probed.insert(some.begin(), some.end());
	}
	cr_assert_eq(probed.size(), 5);
}

/// Guards against a cut node being stuck when the endpoints that showed the cut are gone.
Test(reachability, cut_node_probes_other_endpoints_when_the_lost_ones_are_gone)
{
	Reachability reach = makeReach(3, 1);
	for (int index = 0; index < 3; ++index)
	{
		reach.recordReachedThrough(endpointName(index), "10.0.0.1:8500", kStart);
	}
	reach.setEndpoints({Endpoint{"new", "10.0.0.9:99", "pool", "north"}});
	cr_assert(reach.tick(kStart + 2 * kSecond) == std::vector<std::string>{"new"});
}

/// Guards against the calls of a cut node all going through one other node.
Test(reachability, calls_spread_over_the_other_nodes)
{
	Reachability reach = makeReach(3, 3);
	std::map<std::string, int> calls;
	for (int index = 0; index < 30; ++index)
	{
		const std::string node = reach.chooseRelay({}, kStart).value();
		reach.recordRelayedCallStart(node);
		calls[node] += 1;
		if (index % 2 == 0)
		{
			reach.recordRelayedCallEnd(node);
		}
	}
	for (const auto& entry : calls)
	{
		cr_assert_geq(entry.second, 8);
	}
}

/// Guards against a cut node asking others that are cut off too for longer than it takes to find out.
Test(reachability, node_that_is_cut_off_too_is_not_asked_for_a_second)
{
	Reachability reach = makeReach(8, 2);
	reach.recordReachedThrough("e-0", "10.0.0.2:8500", kStart);
	reach.recordNotReachedThrough("e-0", "10.0.0.1:8500", true, kStart);
	for (int index = 0; index < 5; ++index)
	{
		cr_assert(reach.chooseRelay({}, kStart).value() == "10.0.0.2:8500");
	}
	reach.recordRelayLost("10.0.0.2:8500", kStart);
	cr_assert(isNowhere(reach, "e-0", kStart));
	cr_assert(!isNowhere(reach, "e-0", kStart + kSecond));
}

/// Guards a fleet of mixed versions and a single node: with nobody to ask, calls are made directly as before.
Test(reachability, without_other_nodes_all_calls_are_direct)
{
	Reachability reach = makeReach(3, 0);
	reach.recordUnreachable("e-0");
	cr_assert(isDirect(reach, "e-0", kStart));
	cr_assert(!reach.chooseRelay({}, kStart).has_value());
}

/// Guards against a call that ends after its endpoint was unlisted leaving a probe without an address behind.
Test(reachability, endpoint_that_is_not_listed_any_more_is_not_probed)
{
	Reachability reach = makeReach(2, 1);
	reach.setEndpoints({Endpoint{"e-1", "10.0.0.9:2", "pool", "north"}});
	cr_assert(reach.recordReachedThrough("e-0", "10.0.0.1:8500", kStart) == ReachChange::None);
	reach.recordUnreachable("e-0");
	cr_assert(reach.tick(kStart + kSecond).empty());
}

/// Whatever happens: calls go only to known nodes that may be asked, and one connection leaves no path lost.
Test(reachability, any_history_keeps_the_invariants)
{
	checkHistories("reachability",
				   []
				   {
					   Reachability reach = makeReach(4, 3);
					   Micros now = kStart;
					   const int steps = *rc::gen::inRange(1, 60);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, 600 * kMillisecond);
						   const std::string endpoint = endpointName(*rc::gen::inRange(0, 4));
						   const std::string node = "10.0.0." + std::to_string(*rc::gen::inRange(1, 5)) + ":8500";
						   switch (*rc::gen::inRange(0, 6))
						   {
						   case 0:
							   reach.recordReachedThrough(endpoint, node, now);
							   RC_ASSERT(reach.isPathLost(endpoint));
							   break;
						   case 1:
							   reach.recordNotReachedThrough(endpoint, node, *rc::gen::arbitrary<bool>(), now);
							   break;
						   case 2:
							   reach.recordUnreachable(endpoint);
							   break;
						   case 3:
							   reach.recordRelayLost(node, now);
							   break;
						   case 4:
							   reach.recordRelayedCallStart(node);
							   break;
						   default:
							   reach.recordConnected(endpoint, now);
							   RC_ASSERT(!reach.isPathLost(endpoint));
							   break;
						   }
						   RC_ASSERT(reach.tick(now).size() <= 2 + 4);
						   const auto asked = reach.chooseRelay({node}, now);
						   RC_ASSERT(asked != node);
						   RC_ASSERT(reach.witnesses(5, now).size() <= 3);
					   }
				   });
}
