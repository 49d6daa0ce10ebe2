/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of probes of endpoints that close their port and open it again, with the views of this node and of another
/// one.

#include "clock.h"
#include "deployment.h"
#include "endpoint_calls.h"
#include "loopback_port.h"
#include "script_server.h"

#include <criterion/criterion.h>

#include <atomic>
#include <future>

namespace
{

using namespace roadferry;

constexpr const char* kEndpoint = "endpoint-1";
constexpr const char* kWitness = "10.0.0.2:8500";

/// A node that probes an endpoint and asks one other node for its view.
class ProbingNode
{
public:
	/// Probes an endpoint. Returns when the other node is asked.
	std::future<ProbeFinding> probe(const std::string& _address)
	{
		this->pool.post(0, [this, _address] { this->prober.probe(kEndpoint, _address, this->handler()); });
		return this->awaitQuestion();
	}

	/// Probes an endpoint from the other node. Returns when that one is asked.
	std::future<ProbeFinding> probeThroughWitness(const std::string& _address)
	{
		this->pool.post(0, [this, _address]
						{ this->prober.probeThrough(kWitness, kEndpoint, _address, this->handler()); });
		return this->awaitQuestion();
	}

	/// The other node answers.
	void receive(ProbeResult _view)
	{
		this->pool.post(0,
						[this, _view] {
							this->prober.receive(kWitness, EndpointProbeAnswer{this->question, _view});
						});
	}

	std::atomic<bool> isPathLost{false}; ///< The other node reaches what this one does not.

private:
	ProbeHandler handler()
	{
		return [this](const ProbeFinding& _finding) { this->result.set_value(_finding); };
	}

	std::future<ProbeFinding> awaitQuestion()
	{
		this->asked.get_future().wait();
		return this->result.get_future();
	}

	EndpointProberContext makeContext()
	{
		EndpointProberContext context;
		context.send = [this](const std::string&, const CallMessage& _message)
		{
			this->question = std::get<EndpointProbeRequest>(_message).probe;
			this->asked.set_value();
		};
		context.witnesses = [] { return std::vector<std::string>{kWitness}; };
		context.isPathLost = [this](const std::string&) { return this->isPathLost.load(); };
		context.hasLostPaths = [] { return false; };
		context.onConnected = [](const std::string&) {};
		context.onReachedThrough = [this](const std::string&, const std::string&) { this->isPathLost = true; };
		return context;
	}

	std::promise<void> asked;
	std::promise<ProbeFinding> result;
	std::uint64_t question = 0;
	IoPool pool{1};
	HttpClient client{this->pool};
	EndpointProber prober{this->client, 1, this->makeContext()};
};

} // namespace

/// Guards against a response without a length that passes for a whole one: whoever listens at the address when another
/// node looks need not be the process that closed the connection, if it refused one here.
Test(probes, refusal_here_is_told_although_another_node_reaches_the_endpoint)
{
	LoopbackPort port;
	port.close();
	ProbingNode node;
	std::future<ProbeFinding> finding = node.probe(port.address());
	port.open();
	node.receive(ProbeResult::Accepted);
	cr_assert(finding.get() == (ProbeFinding{ProbeResult::Accepted, true}));
	cr_assert(node.isPathLost);
}

/// Guards against a response without a length that passes for a whole one although its connection was cut: a node that
/// has lost its path meanwhile must not take the view of another one for its own.
Test(probes, lost_path_is_told_although_another_node_reaches_the_endpoint)
{
	const LoopbackPort port;
	ProbingNode node;
	node.isPathLost = true;
	std::future<ProbeFinding> finding = node.probe(port.address());
	node.receive(ProbeResult::Accepted);
	cr_assert(finding.get() == (ProbeFinding{ProbeResult::Accepted, true}));
}

/// Guards against the same where another node made the call: its refusal counts, although this node reaches the
/// endpoint.
Test(probes, refusal_at_the_node_that_made_a_call_is_told_although_this_node_reaches_the_endpoint)
{
	const LoopbackPort port;
	ProbingNode node;
	std::future<ProbeFinding> finding = node.probeThroughWitness(port.address());
	node.receive(ProbeResult::Refused);
	cr_assert(finding.get() == (ProbeFinding{ProbeResult::Accepted, true}));
}

/// Guards against a node that takes its own path for lost because it asked the node that made a call, without a try of
/// its own.
Test(probes, answer_of_the_node_that_made_a_call_tells_nothing_of_the_own_path)
{
	const LoopbackPort port;
	ProbingNode node;
	std::future<ProbeFinding> finding = node.probeThroughWitness(port.address());
	node.receive(ProbeResult::Accepted);
	cr_assert(finding.get() == (ProbeFinding{ProbeResult::Accepted, false}));
	cr_assert_not(node.isPathLost);
}

/// Guards against descriptors that are kept for endpoints which are gone without closing their connections: no call is
/// made to them any more.
Test(endpoint_calls, idle_connections_to_an_endpoint_that_is_not_listed_any_more_are_closed)
{
	std::promise<void> closed;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			ScriptServer::readHead(_socket); // Returns at the close.
			closed.set_value();
		});
	IoPool pool(1);
	HttpClient client(pool);
	EndpointCalls calls(pool, client, 1, [](const std::string&, const CallMessage&) {});
	std::promise<CallEnd> answered;
	pool.post(0,
			  [&]
			  {
				  calls.setEndpoints({Endpoint{kEndpoint, server.address, "pool", "north"}});
				  EndpointCall call;
				  call.endpoint = kEndpoint;
				  call.spec.address = server.address;
				  call.spec.timeout = kSecond;
				  CallHandlers handlers;
				  handlers.onEnd = [&](const CallEnd& _end) { answered.set_value(_end); };
				  calls.call(std::move(call), std::move(handlers));
			  });
	cr_assert(answered.get_future().get().result == CallResult::Complete);
	pool.post(0, [&] { calls.setEndpoints({}); });
	constexpr std::chrono::seconds kPatience{5}; // An idle connection would be kept for 30 s.
	cr_assert(closed.get_future().wait_for(kPatience) == std::future_status::ready, "the connection is still open");
}

/// Guards against a limit that cuts off the responses of sound endpoints beside an endless one.
Test(response_budget, longest_response_is_cut_off)
{
	ResponseBudget budget(100);
	cr_assert_not(budget.set(1, 30));
	cr_assert_not(budget.set(2, 60));
	cr_assert(budget.set(3, 20) == std::optional<std::uint64_t>(2));
	budget.release(2);
	cr_assert_eq(budget.total(), 50);
	cr_assert_not(budget.set(3, 70));
	cr_assert_not(budget.set(3, 10));
	budget.release(4); // Unknown.
	cr_assert_eq(budget.total(), 40);
}
