/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Memory, time and message size per ticket, row, endpoint, request and member, from which docs/CAPACITY.md is derived.
/// Times depend on the machine and have no bounds; counts and sizes have bounds.

#include "bench_report.h"
#include "peer_messages.h"
#include "table_json.h"

#include <chrono>

namespace roadferry
{

namespace
{

constexpr std::size_t kTickets = 100'000;
constexpr std::size_t kRequests = 20'000;
constexpr std::size_t kWorkspaces = 1'300;
constexpr std::size_t kPipelines = 12;

double liveBytes(const Allocations& _before)
{
	return static_cast<double>(currentAllocations().liveBytes - _before.liveBytes);
}

/// Mean time and number of allocations per step.
struct Cost
{
	double nanoseconds = 0;
	double allocations = 0;
};

/// Runs a step the given number of times.
/// @returns Mean cost per run.
template<class Step>
Cost measureCost(std::size_t _count, Step _step)
{
	const Allocations before = currentAllocations();
	const auto begin = std::chrono::steady_clock::now();
	for (std::size_t index = 0; index < _count; ++index)
	{
		_step(index);
	}
	const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
	const auto allocations = static_cast<double>(currentAllocations().count - before.count);
	return Cost{took.count() / static_cast<double>(_count), allocations / static_cast<double>(_count)};
}

void reportTickets(BenchReport& _report)
{
	const Allocations before = currentAllocations();
	TicketRegistry registry(Incarnation{"10.0.0.1:8500", 1}, TicketLimits{});
	std::vector<Ticket> tickets;
	tickets.reserve(kTickets);
	const auto reserved = static_cast<double>(kTickets * sizeof(Ticket));
	const Cost issue = measureCost(kTickets, [&](std::size_t _index)
								   { tickets.push_back(*registry.issue("workspace-of-usual-length", _index, 0)); });
	_report.checkAtMost("ticket.bytes", (liveBytes(before) - reserved) / static_cast<double>(kTickets), "B", 400);
	const Cost present = measureCost(kTickets, [&](std::size_t _index)
									 { registry.present(tickets[_index], "workspace-of-usual-length", 1, 1); });
	_report.printInfo("ticket.issue", issue.nanoseconds, "ns");
	_report.printInfo("ticket.present", present.nanoseconds, "ns");
}

TableEdit makeTableEdit()
{
	TableEdit edit;
	edit.id = "all";
	const auto put = [&](const Row& _row) { edit.changes.push_back(RowChange{keyOf(_row), 0, _row}); };
	for (std::size_t index = 0; index < kWorkspaces; ++index)
	{
		put(WorkspaceRow{"workspace-" + std::to_string(index), 1, 10'000});
	}
	for (std::size_t index = 0; index < kPipelines; ++index)
	{
		put(PipelineRow{"pipeline-" + std::to_string(index), "workspace-0", {"stage-a", "stage-b"}, 3'000, false});
	}
	put(StageRow{"stage-a", StageKind::Encoder, "encoders", true, 3, 20});
	put(StageRow{"stage-b", StageKind::Engine, "engines", true, 3, 900});
	return edit;
}

void reportTable(BenchReport& _report)
{
	const TableEdit edit = makeTableEdit();
	const Allocations before = currentAllocations();
	Table table;
	table.apply(1, edit);
	const auto rows = static_cast<double>(table.snapshot().rows.size());
	_report.checkAtMost("table.bytes_per_row", liveBytes(before) / rows, "B", 600);
	const std::string snapshot = recordToText(table.snapshot());
	_report.checkAtMost("table.snapshot_bytes_per_row", static_cast<double>(snapshot.size()) / rows, "B", 300);
	std::uint64_t revision = 1;
	const RowKey key{RowKind::Workspace, "workspace-7"};
	const Cost applyEdit =
		measureCost(1'000,
					[&](std::size_t _index)
					{
						const TableEdit one{"e" + std::to_string(_index),
											"ana",
											{RowChange{key, revision, WorkspaceRow{"workspace-7", 2, 5}}}};
						revision += 1;
						table.apply(revision, one);
					});
	_report.printInfo("table.fold_one_edit", applyEdit.nanoseconds, "ns");
	const Cost copy =
		measureCost(100, [&](std::size_t) { const auto published = std::make_shared<const Table>(table); });
	_report.printInfo("table.publish_copy", copy.nanoseconds, "ns");
	const Cost parse = measureCost(20, [&](std::size_t) { (void)recordFromText(snapshot); });
	_report.printInfo("table.read_snapshot", parse.nanoseconds, "ns");
}

std::vector<Endpoint> makeEndpoints(std::size_t _count)
{
	std::vector<Endpoint> list;
	for (std::size_t index = 0; index < _count; ++index)
	{
		Endpoint endpoint;
		endpoint.id = "engine-" + std::to_string(index);
		endpoint.address = "10.1.0.1:8000";
		endpoint.pool = index % 4 == 0 ? "encoders" : "engines";
		endpoint.slots = 24;
		list.push_back(endpoint);
	}
	return list;
}

/// Measures the cost per endpoint, per complete request of two stages and per request in flight.
void reportDispatcher(BenchReport& _report, std::size_t _endpoints)
{
	auto table = std::make_shared<Table>();
	table->apply(1, makeTableEdit());
	const std::vector<Endpoint> list = makeEndpoints(_endpoints);
	const Allocations before = currentAllocations();
	Dispatcher dispatcher{DispatcherConfig{}};
	dispatcher.setTable(table);
	dispatcher.setEndpoints(list);
	const std::string suffix = "." + std::to_string(_endpoints);
	_report.checkAtMost("dispatcher.bytes_per_endpoint" + suffix, liveBytes(before) / static_cast<double>(_endpoints),
						"B", 900);
	Micros now = kSecond;
	const auto submit = [&](std::size_t _index)
	{
		RequestSpec spec;
		spec.id = _index + 1;
		spec.workspace = "workspace-0";
		spec.pipeline = "pipeline-" + std::to_string(_index % kPipelines);
		spec.deadline = now + 3 * kSecond;
		spec.maxTokens = 250;
		spec.prefix = 1 + _index % 500;
		return dispatcher.submit(spec, now);
	};
	const Cost perRequest =
		measureCost(kRequests,
					[&](std::size_t _index)
					{
						now += 10;
						Actions actions = submit(_index);
						while (!actions.empty() && std::holds_alternative<StartAttempt>(actions.front()))
						{
							const std::uint64_t attempt = std::get<StartAttempt>(actions.front()).attempt;
							actions = dispatcher.attemptEnded(attempt, AttemptAnswered{}, now);
						}
					});
	_report.printInfo("dispatcher.request_of_two_stages" + suffix, perRequest.nanoseconds, "ns");
	_report.checkAtMost("dispatcher.allocations_per_request" + suffix, perRequest.allocations, "count", 80);
	const Allocations idle = currentAllocations();
	constexpr std::size_t kRequestsInFlight = 1'000;
	for (std::size_t index = 0; index < kRequestsInFlight; ++index)
	{
		submit(kRequests + index);
	}
	_report.checkAtMost("dispatcher.bytes_per_request_in_flight" + suffix, liveBytes(idle) / kRequestsInFlight, "B",
						4'000);
}

void reportMemberCost(BenchReport& _report)
{
	constexpr std::size_t kMembers = 520;
	const Allocations before = currentAllocations();
	Membership membership("10.0.0.1:8500", 1, MembershipConfig{}, 1);
	for (std::size_t index = 0; index < kMembers; ++index)
	{
		Gossip gossip;
		gossip.updates.push_back(Member{"10.0.1." + std::to_string(index) + ":8500", 1, MemberState::Alive, 0});
		membership.receive(gossip.updates.front().address, gossip, 1);
	}
	_report.checkAtMost("membership.bytes_per_member", liveBytes(before) / kMembers, "B", 800);
	const Cost tick =
		measureCost(1'000, [&](std::size_t _index) { membership.tick(static_cast<Micros>(_index) * kSecond); });
	_report.printInfo("membership.tick.520", tick.nanoseconds, "ns");
}

std::vector<std::string> makeNodes(std::size_t _count)
{
	std::vector<std::string> nodes;
	for (std::size_t index = 0; index < _count; ++index)
	{
		nodes.push_back("10.0.1." + std::to_string(index) + ":8500");
	}
	return nodes;
}

/// Measures what a stream costs while two versions of its pool are listed.
void reportStreamOrigins(BenchReport& _report, std::size_t _nodes)
{
	constexpr std::size_t kStreams = 3'000; // Of one node within 20 s.
	const std::vector<std::string> nodes = makeNodes(_nodes);
	StreamOrigins origins(nodes[0], StreamOriginsConfig{});
	std::vector<Endpoint> endpoints = makeEndpoints(8);
	endpoints[1].softwareVersion = "v1.1";
	origins.setEndpoints(endpoints, true, 0);
	origins.setMembers(nodes, 0);
	const Allocations before = currentAllocations();
	std::size_t messages = 0;
	std::size_t bytes = 0;
	const auto record = [&](std::size_t _index)
	{
		const std::string id = "3e6e5d8904527" + std::to_string(100 + _index);
		const StreamRecord stream{id, StreamOrigin{"engines", "v1.1"}, 20 * kSecond};
		for (const OriginAction& action : origins.record(stream, 0))
		{
			const OriginMessage& message = std::get<SendOriginMessage>(action).message;
			messages += 1;
			bytes += encode(std::get<OriginRecords>(message)).size();
		}
	};
	const Cost cost = measureCost(kStreams, record);
	const std::string suffix = "." + std::to_string(_nodes);
	constexpr auto kCount = static_cast<double>(kStreams);
	_report.printInfo("streams.record_and_encode" + suffix, cost.nanoseconds, "ns");
	_report.checkAtMost("streams.messages" + suffix, static_cast<double>(messages) / kCount, "count", 2);
	_report.checkAtMost("streams.bytes_sent" + suffix, static_cast<double>(bytes) / kCount, "B", 300);
	_report.checkAtMost("streams.bytes_kept" + suffix, liveBytes(before) / kCount, "B", 600);
}

/// Measures the report of a crashed endpoint that ran 64 requests.
void reportCrashes(BenchReport& _report, std::size_t _nodes)
{
	CrashReport report;
	EndpointCrash crash{"i-0c9292a48a@1800000000000", "10.1.0.1:8000", "engines", kSecond, {}};
	for (RequestDigest request = 0; request < 64; ++request)
	{
		crash.requests.insert(request * 0x9e37'79b9'7f4a'7c15U);
	}
	report.crashes = {crash};
	std::size_t messages = 0;
	std::size_t bytes = 0;
	for (const BroadcastStep& step : planBroadcast(makeNodes(_nodes - 1)))
	{
		report.forwardTo = step.forwardTo;
		messages += 1;
		bytes += encode(report).size();
	}
	const std::string suffix = "." + std::to_string(_nodes);
	_report.checkAtMost("crash.messages_of_reporter" + suffix, static_cast<double>(messages), "count", 100);
	_report.printInfo("crash.bytes_of_reporter" + suffix, static_cast<double>(bytes), "B");
	CrashLedger ledger{CrashLedgerConfig{}};
	ledger.merge(crash);
	const Cost known = measureCost(100'000, [&](std::size_t) { (void)ledger.mayRun(0); });
	const Cost unknown = measureCost(100'000, [&](std::size_t) { (void)ledger.mayRun(1); });
	_report.printInfo("crash.check_of_suspect", known.nanoseconds, "ns");
	_report.printInfo("crash.check_of_other_request", unknown.nanoseconds, "ns");
}

/// Measures what an inquiry about one part of prompts costs, and the records of parts that each request makes.
void reportFatalParts(BenchReport& _report, std::size_t _nodes)
{
	constexpr PartKey kPart = 0x9e37'79b9'7f4a'7c15U;
	constexpr std::size_t kPartsOfPrompt = 3;
	FatalPartDetector detector("10.0.0.1:8500", FatalPartConfig{});
	detector.setPeers(makeNodes(_nodes - 1));
	detector.recordSent({kPart});
	for (int crash = 1; crash <= 3; ++crash)
	{
		const std::string endpoint = "e-" + std::to_string(crash);
		detector.recordCrash(EndpointCrash{endpoint, endpoint, "engines", crash * kSecond, {}, {kPart}}, {},
							 crash * kSecond);
	}
	PartActions actions = detector.tick(4 * kSecond);
	const PartActions verdict = detector.tick(5 * kSecond);
	actions.insert(actions.end(), verdict.begin(), verdict.end());
	std::size_t messages = 0;
	std::size_t bytes = 0;
	for (const PartAction& action : actions)
	{
		if (const auto* sent = std::get_if<SendPartMessage>(&action))
		{
			messages += 1;
			bytes += std::visit([](const auto& _typed) { return encode(PeerMessage(_typed)).size(); }, sent->message);
		}
	}
	const std::string suffix = "." + std::to_string(_nodes);
	_report.checkAtMost("fatal_part.messages_of_inquirer" + suffix, static_cast<double>(messages), "count", 200);
	_report.printInfo("fatal_part.bytes_of_inquirer" + suffix, static_cast<double>(bytes), "B");
	const std::size_t answerBytes = encode(PeerMessage(PartAnswer{{PartRecord{kPart, 1'000, kSecond}}})).size();
	_report.printInfo("fatal_part.bytes_of_answers" + suffix, static_cast<double>(answerBytes * (_nodes - 1)), "B");
	const Cost cost = measureCost(100'000,
								  [&](std::size_t _index)
								  {
									  const std::vector<PartKey> parts(kPartsOfPrompt, _index % 1'000);
									  (void)detector.findBlocked(parts);
									  detector.recordSent(parts);
									  detector.recordServed(parts, kSecond, kSecond);
								  });
	_report.printInfo("fatal_part.request_of_three_parts", cost.nanoseconds, "ns");
}

/// Measures what a streamed call costs that another node makes.
void reportRelayedCalls(BenchReport& _report)
{
	constexpr std::uint64_t kCall = 0x1234'5678'9abcU;
	const std::string event(120, 'x');
	const RelayedCallData data{kCall, 70'000, event};
	RelayedCallStart start{
		kCall, "9c41d07be2a35f68", "i-7f3a91c2@1800000000000", 20 * kSecond, false, "POST", "/puxa400/2f", {}, 0};
	for (int header = 0; header < 8; ++header)
	{
		start.headers.emplace_back("X-Header-" + std::to_string(header), std::string(30, 'v'));
	}
	const std::size_t startBytes = encode(CallMessage(start)).size();
	const std::size_t eventBytes = encode(CallMessage(data)).size();
	const Cost codec = measureCost(20'000, [&](std::size_t) { (void)decode(encode(CallMessage(data))); });
	_report.printInfo("relayed_call.bytes_of_start", static_cast<double>(startBytes), "B");
	_report.printInfo("relayed_call.bytes_over_event", static_cast<double>(eventBytes - event.size()), "B");
	_report.printInfo("relayed_call.encode_and_decode_event", codec.nanoseconds, "ns");
}

/// Measures the choice of the node that makes a call for another.
void reportRelayChoice(BenchReport& _report, std::size_t _nodes)
{
	Reachability reach{ReachabilityConfig{}};
	std::vector<RelayNode> relays;
	for (const std::string& node : makeNodes(_nodes - 1))
	{
		relays.push_back(RelayNode{node, 25});
	}
	reach.setRelays(relays);
	const Cost choice = measureCost(2'000, [&](std::size_t) { (void)reach.chooseRelay({}, kSecond); });
	_report.printInfo("relayed_call.choose_node." + std::to_string(_nodes), choice.nanoseconds, "ns");
}

/// Measures the division of the slots of a pool with a rejection limit, which each change of members repeats.
void reportRejectionLimit(BenchReport& _report, std::size_t _nodes)
{
	constexpr std::size_t kEndpoints = 256;
	std::vector<Endpoint> endpoints;
	for (std::size_t index = 0; index < kEndpoints; ++index)
	{
		endpoints.push_back(Endpoint{"e-" + std::to_string(index), "10.1.0.1:8000", "engines", "north", 64});
	}
	const std::vector<std::string> nodes = makeNodes(_nodes);
	Dispatcher dispatcher(DispatcherConfig{});
	dispatcher.setEndpoints(endpoints);
	dispatcher.setNodes(nodes.front(), nodes);
	dispatcher.recordRejectionLimit("engines", 3, kSecond);
	const Cost cost = measureCost(20, [&](std::size_t) { dispatcher.setNodes(nodes.front(), nodes); });
	_report.printInfo("rejection_limit.divide_256_endpoints." + std::to_string(_nodes), cost.nanoseconds / 1'000.0,
					  "us");
}

} // namespace

void reportCapacity(BenchReport& _report)
{
	reportTickets(_report);
	reportTable(_report);
	for (const std::size_t endpoints : {std::size_t{64}, std::size_t{520}, std::size_t{6'700}})
	{
		reportDispatcher(_report, endpoints);
	}
	reportMemberCost(_report);
	reportRelayedCalls(_report);
	for (const std::size_t nodes : {std::size_t{6}, std::size_t{87}, std::size_t{520}})
	{
		reportStreamOrigins(_report, nodes);
		reportCrashes(_report, nodes);
		reportFatalParts(_report, nodes);
		reportRelayChoice(_report, nodes);
		reportRejectionLimit(_report, nodes);
	}
}

} // namespace roadferry
