/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of connections between nodes that are dead without a reset, or that carry messages in one direction only.

#include "clock.h"
#include "deployment.h"
#include "io_pool.h"
#include "peer_link.h"
#include "silent_proxy.h"

#include <criterion/criterion.h>

#include <mutex>

namespace
{

using namespace roadferry;

/// Link of one node and the messages it has received.
class Node
{
public:
	explicit Node(std::uint64_t _process = 1, std::uint16_t _port = 0, const std::string& _announced = {})
		: pool(1), link(this->pool, "secret", _process,
						PeerHandlers{[this](const PeerProcess& _from, const std::string& _message)
									 {
										 const std::lock_guard<std::mutex> lock(this->mutex);
										 this->messages.push_back(_message);
										 this->lastSender = _from;
									 },
									 [this](const std::string&) { this->closes += 1; },
									 {}})
	{
		cr_assert(this->link.listen("127.0.0.1", _port, _announced).empty());
	}

	~Node()
	{
		this->link.close();
		this->pool.stop();
	}

	Node(const Node&) = delete;
	Node& operator=(const Node&) = delete;

	bool hasReceived(const std::string& _message)
	{
		const std::lock_guard<std::mutex> lock(this->mutex);
		return std::find(this->messages.begin(), this->messages.end(), _message) != this->messages.end();
	}

	PeerProcess sender()
	{
		const std::lock_guard<std::mutex> lock(this->mutex);
		return this->lastSender;
	}

	[[nodiscard]] std::uint16_t port() const
	{
		const std::string& address = this->link.self();
		return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
	}

	std::mutex mutex;
	std::vector<std::string> messages;
	PeerProcess lastSender;
	std::atomic<int> closes{0};
	IoPool pool;
	PeerLink link;
};

} // namespace

/// Guards against losing all further messages on a connection that is dead without having been reset.
Test(peers, silent_connection_is_replaced)
{
	Node receiver;
	Node sender;
	SilentProxy proxy(receiver.port());
	sender.link.send(proxy.address(), "before");
	Deployment::await("the first message", [&] { return receiver.hasReceived("before"); });
	proxy.silenceOpenConnections();
	Deployment::await("a message on another connection",
					  [&]
					  {
						  sender.link.send(proxy.address(), "after");
						  return receiver.hasReceived("after");
					  });
	cr_assert_geq(proxy.accepted(), 2);
	cr_assert_geq(sender.closes, 1);
}

/// Guards against closing a connection to a node that is alive but has nothing to send.
Test(peers, one_way_traffic_keeps_the_connection_open)
{
	Node receiver;
	Node sender;
	SilentProxy proxy(receiver.port());
	const Micros until = monotonicNow() + 4 * kSecond;
	int sent = 0;
	Deployment::await("traffic for longer than the silence timeout",
					  [&]
					  {
						  sender.link.send(proxy.address(), std::to_string(++sent));
						  return monotonicNow() > until && receiver.hasReceived(std::to_string(sent - 1));
					  });
	cr_assert_eq(proxy.accepted(), 1);
	cr_assert_eq(sender.closes, 0);
}

/// Guards against an answer to a killed process that reaches the next process at its address.
Test(peers, answers_reach_only_the_process_that_asked)
{
	Node answering(1);
	auto asking = std::make_unique<Node>(2);
	asking->link.send(answering.link.self(), "question");
	Deployment::await("the question", [&] { return answering.hasReceived("question"); });
	const PeerProcess killed = answering.sender();
	cr_assert_eq(killed.number, 2);
	answering.link.answer(killed, "first answer");
	Deployment::await("the answer", [&] { return asking->hasReceived("first answer"); });

	const std::uint16_t port = asking->port();
	asking = nullptr;
	Node next(3, port);
	answering.link.answer(killed, "second answer");
	answering.link.send(next.link.self(), "message to any process");
	Deployment::await("a message", [&] { return next.hasReceived("message to any process"); });
	cr_assert(!next.hasReceived("second answer"));
	Deployment::await("the count of dropped answers", [&] { return answering.link.answersDropped() == 1; });
	cr_assert_geq(answering.closes, 1);
}

/// Guards against a node that goes on with the connection to a process that lost its power, and so was never closed,
/// while the next process at that address is connected.
Test(peers, connection_of_the_next_process_replaces_that_of_the_earlier_one)
{
	const std::string address = "127.0.0.1:9"; // Both processes announce it; nothing listens there.
	Node node(1);
	Node earlier(2, 0, address);
	earlier.link.send(node.link.self(), "from the earlier process");
	Deployment::await("its message", [&] { return node.hasReceived("from the earlier process"); });
	cr_assert_eq(node.closes, 0);
	Node next(3, 0, address);
	next.link.send(node.link.self(), "from the next process");
	Deployment::await("its message", [&] { return node.hasReceived("from the next process"); });
	cr_assert_eq(node.closes, 1);
	cr_assert_eq(node.sender().number, 3);
	node.link.answer(PeerProcess{address, 2}, "to the earlier process");
	node.link.answer(PeerProcess{address, 3}, "to the next process");
	Deployment::await("an answer", [&] { return next.hasReceived("to the next process"); });
	cr_assert(!next.hasReceived("to the earlier process"));
}
