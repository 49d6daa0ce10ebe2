/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of stages computed in batches: the dependency graph of one request, batches at endpoints, and batches across
/// nodes that fail.

#include "property.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace
{

using namespace roadferry;

constexpr std::int64_t kResultCapacityBytes = 10'000;
constexpr std::int64_t kBatchSize = 5;

PoolSpec pool()
{
	PoolSpec spec;
	spec.name = "pool";
	spec.batches = BatchLimits{1, kBatchSize, 240 * kMillisecond, 20 * kMillisecond, 4 * kSecond, kResultCapacityBytes};
	return spec;
}

Endpoint endpoint(int _index, bool _leaving = false)
{
	const std::string id = "e-" + std::to_string(_index);
	return Endpoint{id,      "10.0.0." + std::to_string(_index) + ":80", "pool", _index % 2 == 0 ? "north" : "south", 1,
					_leaving};
}

PieceOrder order(std::uint64_t _number, Micros _now, std::int64_t _bytes = 100)
{
	PieceOrder result;
	result.orderId = _number;
	result.request = "r-" + std::to_string(_number);
	result.deadline = _now + 15 * kSecond;
	result.due = _now + 2 * kSecond;
	result.resultBytes = _bytes;
	return result;
}

/// Endpoints that compute the pieces of a batch and check the batches that they get.
class SimulatedEndpoints
{
public:
	void apply(const BatchActions& _actions, Micros _now)
	{
		for (const BatchAction& action : _actions)
		{
			std::visit(
				Overloaded{
					[&](const StartBatch& _start)
					{
						this->activeCalls[_start.endpoint.id] += 1;
						RC_ASSERT(this->activeCalls[_start.endpoint.id] <= 1);
						RC_ASSERT(_start.orders.size() <= static_cast<std::size_t>(kBatchSize));
						RC_ASSERT(this->leaving.count(_start.endpoint.id) == 0);
						this->running.emplace(_start.batch, _start);
						this->endsAt.emplace(_start.batch, _now + 300 * kMillisecond);
					},
					[&](const CancelBatch& _cancel) { this->stop(_cancel.batch); },
					[](const PieceStarted&) {},
					[&](const PieceCompleted& _completed) { this->finishOrder(_completed.orderId); },
					[&](const PieceFailed& _failed) { this->finishOrder(_failed.orderId); },
				},
				action);
		}
	}

	void finishOrder(std::uint64_t _order)
	{
		RC_ASSERT(this->openOrders.erase(_order) == 1); // Each order ends once.
	}

	StartBatch stop(std::uint64_t _batch)
	{
		const StartBatch start = this->running.at(_batch);
		this->running.erase(_batch);
		this->endsAt.erase(_batch);
		this->activeCalls[start.endpoint.id] -= 1;
		return start;
	}

	BatchEnd answer(const StartBatch& _start)
	{
		BatchAnswered answered;
		for (const PieceOrder& piece : _start.orders)
		{
			answered.results.emplace_back(_start.endpoint.address + "/" + std::to_string(piece.orderId));
		}
		return answered;
	}

	std::map<std::string, int> activeCalls;
	std::map<std::uint64_t, StartBatch> running;
	std::map<std::uint64_t, Micros> endsAt;
	std::set<std::string> leaving;
	std::set<std::uint64_t> openOrders;
};

} // namespace

Test(stages, pieces_become_ready_when_all_their_input_stages_are_complete)
{
	const std::vector<RouteStage> stages = {{"a", {}, 10}, {"b", {}, 10}, {"c", {0, 1}, 10}, {"d", {2}, 10}};
	checkHistories("stages",
				   [&]
				   {
					   std::vector<std::int64_t> counts;
					   for (std::size_t stage = 0; stage < stages.size(); ++stage)
					   {
						   counts.push_back(*rc::gen::inRange<std::int64_t>(1, 4));
					   }
					   StageGraph graph(stages, counts);
					   std::vector<PieceIndex> ready = graph.takeReady();
					   std::vector<std::size_t> made(stages.size(), 0);
					   std::set<std::string> handles;
					   std::set<std::string> spent;
					   while (!ready.empty())
					   {
						   const std::size_t at = *rc::gen::inRange<std::size_t>(0, ready.size());
						   const PieceIndex piece = ready[at];
						   ready.erase(ready.begin() + static_cast<std::ptrdiff_t>(at));
						   std::size_t inputs = 0;
						   for (const std::size_t before : stages[piece.stage].after)
						   {
							   RC_ASSERT(made[before] == static_cast<std::size_t>(counts[before]));
							   inputs += static_cast<std::size_t>(counts[before]);
						   }
						   RC_ASSERT(graph.inputsOf(piece.stage).size() == inputs);
						   for (const std::string& input : graph.inputsOf(piece.stage))
						   {
							   RC_ASSERT(spent.count(input) == 0); // Not freed before it was used.
						   }
						   graph.markStarted(piece);
						   const std::string handle = std::to_string(piece.stage) + "/" + std::to_string(piece.piece);
						   graph.markCompleted(piece, handle);
						   made[piece.stage] += 1;
						   handles.insert(handle);
						   for (const std::string& free : graph.takeUnneeded())
						   {
							   RC_ASSERT(spent.insert(free).second);
						   }
						   const auto more = graph.takeReady();
						   ready.insert(ready.end(), more.begin(), more.end());
					   }
					   RC_ASSERT(graph.isComplete());
					   RC_ASSERT(graph.results().size() == static_cast<std::size_t>(counts[3]));
					   for (const std::string& free : graph.takeRemaining())
					   {
						   RC_ASSERT(spent.insert(free).second);
					   }
					   RC_ASSERT(spent == handles);
				   });
}

Test(stages, stage_without_pieces_does_not_block_the_request)
{
	StageGraph graph({{"a", {}, 10}, {"b", {}, 10}}, {0, 1});
	cr_assert_eq(graph.takeReady().size(), 1);
	cr_assert_not(graph.isComplete());
	graph.markCompleted(PieceIndex{1, 0}, "h");
	cr_assert(graph.isComplete());
	cr_assert(StageGraph({{"a", {}, 10}}, {}).isComplete());
}

Test(batches, each_order_ends_once_and_each_endpoint_gets_one_call_at_a_time)
{
	checkHistories("batches",
				   []
				   {
					   Batcher batcher(BatchConfig{});
					   SimulatedEndpoints world;
					   batcher.setPools({pool()});
					   std::vector<Endpoint> endpoints = {endpoint(1), endpoint(2), endpoint(3)};
					   batcher.setEndpoints(endpoints);
					   Micros now = kSecond;
					   std::uint64_t next = 0;
					   const int steps = *rc::gen::inRange(1, 80);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, 200 * kMillisecond);
						   const int action = *rc::gen::inRange(0, 10);
						   if (action < 5)
						   {
							   const std::uint64_t number = ++next;
							   world.openOrders.insert(number);
							   batcher.add("pool", order(number, now, *rc::gen::inRange<std::int64_t>(0, 4'000)), now);
						   }
						   else if (action < 8 && !world.running.empty())
						   {
							   const std::uint64_t batch = world.running.begin()->first;
							   const StartBatch start = world.stop(batch);
							   const BatchEnd end = action == 5   ? BatchEnd(BatchFailed{})
													: action == 6 ? BatchEnd(BatchRefused{})
																  : world.answer(start);
							   world.apply(batcher.batchEnded(batch, end, now), now);
						   }
						   else if (action == 8 && !world.openOrders.empty() &&
									batcher.cancel(*world.openOrders.rbegin()))
						   {
							   world.openOrders.erase(*world.openOrders.rbegin());
						   }
						   else if (action == 9 && endpoints.size() > 1)
						   {
							   endpoints.back().leaving = true;
							   world.leaving.insert(endpoints.back().id);
							   batcher.setEndpoints(endpoints);
							   endpoints.pop_back();
						   }
						   world.apply(batcher.tick(now), now);
					   }
					   // Endpoints answer every call from here on, so that every order ends.
					   for (int step = 0; step < 2'000 && !world.openOrders.empty(); ++step)
					   {
						   now += 20 * kMillisecond;
						   const auto done = std::find_if(world.endsAt.begin(), world.endsAt.end(),
														  [now](const auto& _entry) { return _entry.second <= now; });
						   if (done != world.endsAt.end())
						   {
							   const std::uint64_t batch = done->first;
							   const StartBatch start = world.stop(batch);
							   world.apply(batcher.batchEnded(batch, world.answer(start), now), now);
						   }
						   world.apply(batcher.tick(now), now);
					   }
					   RC_ASSERT(world.openOrders.empty());
				   });
}

Test(batches, batch_is_limited_by_the_free_result_space_of_the_endpoint)
{
	Batcher batcher(BatchConfig{});
	batcher.setPools({pool()});
	batcher.setEndpoints({endpoint(1)});
	for (std::uint64_t number = 1; number <= 5; ++number)
	{
		batcher.add("pool", order(number, 0, 4'000), 0);
	}
	const BatchActions first = batcher.tick(0);
	cr_assert_eq(first.size(), 1);
	cr_assert_eq(std::get<StartBatch>(first[0]).orders.size(), 2);
	const BatchActions made = batcher.batchEnded(1, BatchAnswered{{std::string("h1"), std::string("h2")}}, kSecond);
	cr_assert_eq(std::count_if(made.begin(), made.end(),
							   [](const BatchAction& _action) { return std::holds_alternative<StartBatch>(_action); }),
				 0);
	batcher.freeResult("h1");
	const BatchActions next = batcher.tick(kSecond);
	cr_assert_eq(std::get<StartBatch>(next.at(0)).orders.size(), 1);
}

Test(batches, late_pieces_take_only_their_share_of_a_batch)
{
	Batcher batcher(BatchConfig{});
	batcher.setPools({pool()});
	batcher.setEndpoints({endpoint(1)});
	for (std::uint64_t number = 1; number <= 10; ++number)
	{
		PieceOrder piece = order(number, 0);
		piece.due = number <= 5 ? 0 : 2 * kSecond;
		batcher.add("pool", piece, 0);
	}
	const BatchActions actions = batcher.tick(0);
	const auto& orders = std::get<StartBatch>(actions.at(0)).orders;
	cr_assert_eq(orders.size(), static_cast<std::size_t>(kBatchSize));
	cr_assert_eq(std::count_if(orders.begin(), orders.end(), [](const PieceOrder& _order) { return _order.due > 0; }),
				 4, "one piece of five is late");
}

/// Guards against streams that clients take up again and that wait behind all new ones in a burst, until they are late.
Test(batches, pieces_of_resumed_streams_come_before_those_of_new_ones)
{
	Batcher batcher(BatchConfig{});
	batcher.setPools({pool()});
	batcher.setEndpoints({endpoint(1)});
	for (std::uint64_t number = 1; number <= 20; ++number)
	{
		batcher.add("pool", order(number, 0, 1), 0);
	}
	PieceOrder resumed = order(21, 0, 1);
	resumed.resumesStream = true;
	resumed.due = resumed.deadline;
	batcher.add("pool", resumed, 0);
	const BatchActions actions = batcher.tick(0);
	cr_assert_eq(std::get<StartBatch>(actions.at(0)).orders.front().orderId, 21);
}

Test(batches, inputs_do_not_count_as_fetched_while_other_nodes_may_use_the_endpoint)
{
	Batcher batcher(BatchConfig{});
	batcher.setPools({pool()});
	batcher.setEndpoints({endpoint(1)});
	PieceOrder piece = order(1, 0);
	piece.inputs = {"10.0.0.9:80/1"};
	batcher.add("pool", piece, 0);
	batcher.expectOtherBatchersUntil(150 * kMillisecond);
	cr_assert_eq(batcher.tick(0).size(), 1);
	cr_assert(batcher.tick(120 * kMillisecond).empty(), "the call may wait behind another node's");
	const BatchActions started = batcher.tick(160 * kMillisecond);
	cr_assert(std::get<PieceStarted>(started.at(0)) == PieceStarted{1});
	cr_assert(batcher.tick(180 * kMillisecond).empty(), "reported once");
}

/// Guards against a piece that ends endpoints and takes the pieces beside it along, so that their requests look guilty.
Test(batches, pieces_of_suspect_requests_are_computed_alone_and_those_of_blocked_ones_not_at_all)
{
	Batcher batcher(BatchConfig{});
	batcher.setPools({pool()});
	batcher.setCrashedRequests(CrashedRequests{{7, 8}, {9}});
	for (std::uint64_t id = 1; id <= 6; ++id)
	{
		PieceOrder piece = order(id, 0);
		piece.content = id == 1 || id == 4 ? 7 : id == 2 ? 8 : id == 3 ? 9 : id;
		batcher.add("pool", piece, 0);
	}
	batcher.setEndpoints({endpoint(1), endpoint(2), endpoint(3), endpoint(4), endpoint(5)});
	std::set<std::uint64_t> failed;
	std::multiset<std::size_t> sizes;
	for (const BatchAction& action : batcher.tick(0))
	{
		if (const auto* start = std::get_if<StartBatch>(&action))
		{
			const bool hasSuspect =
				std::any_of(start->orders.begin(), start->orders.end(),
							[](const PieceOrder& _order) { return _order.content == 7 || _order.content == 8; });
			cr_assert(!hasSuspect || start->orders.size() == 1);
			sizes.insert(start->orders.size());
		}
		else if (const auto* failure = std::get_if<PieceFailed>(&action))
		{
			failed.insert(failure->orderId);
		}
	}
	cr_assert(failed == std::set<std::uint64_t>{3});
	cr_assert(sizes == (std::multiset<std::size_t>{1, 1, 1, 2}), "three suspects alone, and the others together");
}

Test(batches, pieces_of_a_call_that_times_out_are_retried_on_another_endpoint)
{
	Batcher batcher(BatchConfig{});
	batcher.setPools({pool()});
	batcher.setEndpoints({endpoint(1)});
	batcher.add("pool", order(1, 0), 0);
	cr_assert_eq(batcher.tick(0).size(), 1);
	batcher.setEndpoints({endpoint(1), endpoint(2)});
	const BatchActions actions = batcher.tick(2 * kSecond);
	cr_assert(std::holds_alternative<CancelBatch>(actions.at(0)));
	cr_assert(std::get<StartBatch>(actions.at(1)).endpoint.id == "e-2");
}

namespace
{

/// Nodes that share batches over links that lose messages, and endpoints that answer after 300 ms.
class SimulatedCluster
{
public:
	explicit SimulatedCluster(std::size_t _nodes)
	{
		for (std::size_t node = 0; node < _nodes; ++node)
		{
			this->names.push_back("10.0.1." + std::to_string(node) + ":1");
		}
		for (const std::string& name : this->names)
		{
			this->start(name);
		}
	}

	void start(const std::string& _name)
	{
		PieceScheduler scheduler(_name, PieceSchedulerConfig{});
		scheduler.setPools({pool()});
		scheduler.setEndpoints({endpoint(1), endpoint(2), endpoint(3)});
		scheduler.setMembers(this->names, this->names, this->now);
		this->schedulers.insert_or_assign(_name, std::move(scheduler));
		this->openOrders[_name].clear();
	}

	void apply(const std::string& _node, const PieceActions& _actions)
	{
		for (const PieceAction& action : _actions)
		{
			std::visit(
				Overloaded{
					[&](const StartBatch& _start) {
						this->calls.push_back({_node, _start, this->now + 300 * kMillisecond});
					},
					[](const CancelBatch&) {},
					[](const PieceStarted&) {},
					[&](const PieceCompleted& _completed)
					{ RC_ASSERT(this->openOrders[_node].erase(_completed.orderId) == 1); },
					[&](const PieceFailed& _failed) { RC_ASSERT(this->openOrders[_node].erase(_failed.orderId) == 1); },
					[&](const SendPieceMessage& _send) {
						this->messages.push_back({_node, _send.to, _send.message});
					},
					[](const FreeResult&) {},
					[](const RequestNotAdmitted&) { RC_FAIL("orders without admission terms are not refused"); },
				},
				action);
		}
	}

	void deliver(double _loss)
	{
		const auto batch = std::exchange(this->messages, {});
		for (const auto& message : batch)
		{
			const bool lost = *rc::gen::inRange(0, 100) < static_cast<int>(_loss * 100);
			if (!lost && this->schedulers.count(message.to) > 0)
			{
				this->apply(message.to,
							this->schedulers.at(message.to).receive(message.from, message.content, this->now));
			}
		}
	}

	void step(double _loss)
	{
		this->now += 50 * kMillisecond;
		this->deliver(_loss);
		const auto running = std::exchange(this->calls, {});
		for (const Call& call : running)
		{
			if (call.endsAt > this->now)
			{
				this->calls.push_back(call);
				continue;
			}
			if (this->schedulers.count(call.node) == 0)
			{
				continue;
			}
			BatchAnswered answer;
			for (const PieceOrder& piece : call.start.orders)
			{
				answer.results.emplace_back(call.start.endpoint.address + "/" + std::to_string(++this->lastHandle) +
											piece.request);
			}
			this->apply(call.node, this->schedulers.at(call.node).batchEnded(call.start.batch, answer, this->now));
		}
		for (auto& entry : this->schedulers)
		{
			this->apply(entry.first, entry.second.tick(this->now));
		}
	}

	struct Message
	{
		std::string from;
		std::string to;
		PieceMessage content;
	};

	struct Call
	{
		std::string node;
		StartBatch start;
		Micros endsAt = 0;
	};

	std::vector<std::string> names;
	std::map<std::string, PieceScheduler> schedulers;
	std::map<std::string, std::set<std::uint64_t>> openOrders;
	std::vector<Message> messages;
	std::vector<Call> calls;
	Micros now = kSecond;
	std::uint64_t lastOrder = 0;
	std::uint64_t lastHandle = 0;
};

} // namespace

Test(schedulers, each_order_ends_once_despite_node_failures_and_lost_messages)
{
	checkHistories("schedulers",
				   []
				   {
					   SimulatedCluster world(4);
					   const double loss = *rc::gen::elementOf(std::vector<double>{0.0, 0.2});
					   const int steps = *rc::gen::inRange(1, 40);
					   for (int step = 0; step < steps; ++step)
					   {
						   const std::string node = *rc::gen::elementOf(world.names);
						   const int action = *rc::gen::inRange(0, 12);
						   if (action == 0 && world.schedulers.size() > 1)
						   {
							   world.schedulers.erase(node); // A killed node sends nothing.
							   world.openOrders[node].clear();
						   }
						   else if (action == 1 && world.schedulers.count(node) == 0)
						   {
							   world.start(node);
						   }
						   else if (action < 8 && world.schedulers.count(node) > 0)
						   {
							   const std::uint64_t number = ++world.lastOrder;
							   world.openOrders[node].insert(number);
							   world.apply(node, world.schedulers.at(node).submit("pool", {order(number, world.now)},
																				  std::nullopt, world.now));
						   }
						   world.step(loss);
					   }
					   for (int step = 0; step < 600; ++step)
					   {
						   world.step(0.0);
					   }
					   for (const auto& entry : world.openOrders)
					   {
						   RC_ASSERT(entry.second.empty());
					   }
				   });
}

namespace
{

/// A batching node with one batch in progress and one queued piece, both of the node "origin".
class BatchingNode
{
public:
	BatchingNode() : scheduler("self", PieceSchedulerConfig{})
	{
		this->scheduler.setPools({pool()});
		this->scheduler.setEndpoints({endpoint(1)});
		this->scheduler.setMembers({"self", "origin"}, {"self"}, 0);
		const PieceActions actions = this->submit(1, "old request");
		for (const PieceAction& action : actions)
		{
			if (const auto* start = std::get_if<StartBatch>(&action))
			{
				this->batch = start->batch;
			}
		}
		this->submit(2, "old request");
	}

	PieceActions submit(std::uint64_t _order, const std::string& _request)
	{
		PieceOrder piece = order(_order, 0);
		piece.request = _request;
		return this->scheduler.receive("origin", PieceSubmit{"pool", {piece}, std::nullopt}, 0);
	}

	PieceScheduler scheduler;
	std::uint64_t batch = 0;
};

} // namespace

/// Guards against results for a killed process that reach the requests of the next process of its node: both count
/// their orders from the same number.
Test(schedulers, results_for_a_killed_process_reach_no_order_of_the_next_one)
{
	BatchingNode node;
	node.scheduler.peerClosed("origin", kSecond);
	node.submit(1, "new request");
	const PieceActions actions = node.scheduler.batchEnded(node.batch, BatchAnswered{{"old result"}}, kSecond);
	std::vector<std::string> freed;
	std::vector<std::string> requestsRun;
	for (const PieceAction& action : actions)
	{
		std::visit(Overloaded{[](const SendPieceMessage&) { cr_assert_fail("a result was sent"); },
							  [&](const FreeResult& _free) { freed.push_back(_free.handle); },
							  [&](const StartBatch& _start)
							  {
								  for (const PieceOrder& piece : _start.orders)
								  {
									  requestsRun.push_back(piece.request);
								  }
							  },
							  [](const auto&) {}},
				   action);
	}
	cr_assert(freed == std::vector<std::string>{"old result"});
	cr_assert(requestsRun == std::vector<std::string>{"new request"}); // And no work for the process that is gone.
}

/// Guards against pieces that no node makes: the batching node forgets the pieces of a lost connection, and the node
/// that waits for them must not take its other messages for progress.
Test(schedulers, messages_of_a_node_that_forgot_the_pieces_do_not_keep_them_waiting)
{
	PieceScheduler scheduler("self", PieceSchedulerConfig{});
	scheduler.setPools({pool()});
	scheduler.setEndpoints({endpoint(1)});
	scheduler.setMembers({"self", "other"}, {"other"}, 0);
	scheduler.submit("pool", {order(1, 0)}, std::nullopt, 0);
	bool started = false;
	for (Micros now = 0; now < 2 * kSecond; now += 100 * kMillisecond)
	{
		scheduler.receive("other", PieceFree{{"some result"}}, now);
		for (const PieceAction& action : scheduler.tick(now))
		{
			started = started || std::holds_alternative<StartBatch>(action);
		}
	}
	cr_assert(started);
}

Test(schedulers, nodes_with_the_same_members_choose_the_same_batching_node)
{
	const std::vector<std::string> members = {"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"};
	std::vector<std::string> reversed(members.rbegin(), members.rend());
	std::set<std::string> chosen;
	for (int index = 0; index < 40; ++index)
	{
		const std::string name = "pool-" + std::to_string(index);
		cr_assert(batchNodeOf(name, members) == batchNodeOf(name, reversed));
		chosen.insert(batchNodeOf(name, members));
	}
	cr_assert_eq(chosen.size(), members.size());
}
