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
	Node()
		: pool(1), link(this->pool, "secret",
						PeerHandlers{[this](const std::string&, const std::string& _message)
									 {
										 const std::lock_guard<std::mutex> lock(this->mutex);
										 this->messages.push_back(_message);
									 },
									 [this](const std::string&) { this->closes += 1; }})
	{
		cr_assert(this->link.listen("127.0.0.1", 0).empty());
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

	[[nodiscard]] std::uint16_t port() const
	{
		const std::string& address = this->link.self();
		return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
	}

	std::mutex mutex;
	std::vector<std::string> messages;
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
