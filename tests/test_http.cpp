/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of the HTTP client and server against peers that send scripted bytes.

#include "blocking_client.h"
#include "deployment.h"
#include "event_stream.h"
#include "forward_traffic.h"
#include "http_client.h"
#include "http_server.h"
#include "property.h"
#include "relayed_call.h"
#include "relayed_call_server.h"
#include "script_server.h"

#include <absl/strings/match.h>

#include <arpa/inet.h>
#include <condition_variable>
#include <ctime>
#include <filesystem>
#include <future>
#include <limits>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace roadferry;

std::string makeResponse(const std::string& _id, const std::string& _body, const std::string& _more = {})
{
	return "HTTP/1.1 200 OK\r\nX-Id: " + _id + "\r\n" + _more + "Content-Length: " + std::to_string(_body.size()) +
		   "\r\n\r\n" + _body;
}

/// Server that answers each request with its target.
class EchoServer
{
public:
	explicit EchoServer(const HttpServerLimits& _limits = {})
		: server(pool, _limits, {},
				 [this](const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
				 {
					 this->served += 1;
					 HttpResponse response;
					 response.body = _request.target;
					 _reply->send(std::move(response));
				 })
	{
		cr_assert(this->server.listen("127.0.0.1", 0).empty());
		this->address = "127.0.0.1:" + std::to_string(this->server.port());
	}

	~EchoServer()
	{
		this->server.stopAccepting();
		this->pool.stop();
	}

	IoPool pool{1};
	std::atomic<int> served{0};
	HttpServer server;
	std::string address;
};

} // namespace

Test(client, stream_data_is_delivered_as_it_arrives)
{
	std::mutex lock;
	std::condition_variable changed;
	std::string received;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
			std::unique_lock<std::mutex> guard(lock);
			// The second part is sent only after the first has been delivered.
			const bool seen = changed.wait_for(guard, std::chrono::seconds(10), [&] { return received == "one"; });
			guard.unlock();
			ScriptServer::sendText(_socket, seen ? "3\r\ntwo\r\n0\r\n\r\n" : "4\r\nlate\r\n0\r\n\r\n");
		});
	const CallEnd end = BlockingClient().call(server.address, {}, {},
											  [&](const std::string& _bytes)
											  {
												  const std::lock_guard<std::mutex> guard(lock);
												  received += _bytes;
												  changed.notify_all();
											  });
	cr_assert(end.result == CallResult::Complete);
	cr_assert(received == "onetwo", "%s", received.c_str());
}

Test(client, response_to_another_request_is_skipped)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, makeResponse("old", "stale") + makeResponse("new", "fresh"));
			ScriptServer::readHead(_socket);
		});
	const CallEnd end = BlockingClient().call(server.address, "new");
	cr_assert(end.result == CallResult::Complete);
	cr_assert(end.body == "fresh");
}

Test(client, connection_with_bytes_after_the_response_is_not_reused)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket,
								   makeResponse("a", "one") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
		});
	BlockingClient client;
	cr_assert(client.call(server.address).body == "one");
	cr_assert(client.call(server.address).body == "one");
	cr_assert_eq(server.connections, 2);
}

Test(client, idle_connections_are_limited)
{
	ScriptServer server(
		[](int _socket)
		{
			while (!ScriptServer::readHead(_socket).empty())
			{
				ScriptServer::sendText(_socket, makeResponse("a", "one"));
			}
		});
	BlockingClient client;
	client.call(server.address);
	client.call(server.address);
	cr_assert_eq(server.connections, 1);
	client.maxIdleConnections = 0;
	client.call(server.address); // Reuses the idle connection, which is closed afterwards.
	cr_assert_eq(server.connections, 1);
	client.call(server.address);
	client.call(server.address);
	cr_assert_eq(server.connections, 3);
}

/// Guards against a call that needs a connection of a certain age and is sent on a younger one.
Test(client, call_that_needs_an_older_connection_uses_no_younger_one)
{
	EchoServer server;
	BlockingClient client;
	const std::int64_t first = client.call(server.address).connectionOpenedAt;
	client.forceNewConnection = true;
	const std::int64_t second = client.call(server.address).connectionOpenedAt;
	cr_assert_gt(first, 0);
	cr_assert_gt(second, first);
	client.forceNewConnection = false;
	client.idleOpenedBefore = first;
	cr_assert_eq(client.call(server.address).connectionOpenedAt, first, "the younger one was used last");
	client.idleOpenedBefore = first - 1;
	cr_assert_geq(client.call(server.address).connectionOpenedAt, first, "a preference alone excludes none");
	client.needsIdleOpenedBefore = true;
	const int served = server.served;
	const CallEnd end = client.call(server.address);
	cr_assert(end.result == CallResult::NotSent);
	cr_assert(end.lacksIdleConnection);
	cr_assert_eq(server.served, served);
	cr_assert_not(client.hasIdle(server.address, first - 1));
	cr_assert(client.hasIdle(server.address, first));
	client.idleOpenedBefore = second;
	cr_assert(client.call(server.address).result == CallResult::Complete);
}

/// Guards against a connection that is opened in advance and not used.
Test(client, connection_opened_in_advance_is_used)
{
	EchoServer server;
	BlockingClient client;
	client.openIdle(server.address);
	client.idleOpenedBefore = std::numeric_limits<std::int64_t>::max();
	client.needsIdleOpenedBefore = true;
	cr_assert(client.call(server.address).result == CallResult::Complete);
}

/// Guards against a connection that counts as open although the remote host has ended it, since data before its end
/// was not read yet.
Test(client, connection_that_the_remote_host_has_ended_is_not_open)
{
	std::promise<void> received;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
			received.get_future().wait();
			ScriptServer::sendText(_socket, "3\r\ntwo\r\n");
		});
	IoPool pool{1};
	HttpClient client{pool};
	std::promise<bool> wasOpen;
	std::promise<void> ended;
	bool isFirst = true;
	std::shared_ptr<HttpCall> call;
	pool.post(0,
			  [&]
			  {
				  CallSpec spec;
				  spec.address = server.address;
				  spec.timeout = kTimeout;
				  spec.request.method = "GET";
				  CallHandlers handlers;
				  handlers.onData = [&](const std::string&)
				  {
					  if (!std::exchange(isFirst, false)) // The client calls a copy of this function.
					  {
						  return;
					  }
					  wasOpen.set_value(call->isConnectionOpen());
					  received.set_value();
					  while (call->isConnectionOpen()) // Nothing is read meanwhile.
					  {
						  sleepFor(std::chrono::milliseconds(1));
					  }
				  };
				  handlers.onEnd = [&](const CallEnd&) { ended.set_value(); };
				  call = client.call(0, spec, std::move(handlers));
			  });
	cr_assert(wasOpen.get_future().get());
	ended.get_future().wait();
}

Test(client, idle_connections_of_all_nodes_leave_capacity_for_requests)
{
	PoolSpec pool;
	cr_assert_eq(maxIdleConnections(nullptr, 80), CallSpec{}.maxIdleConnections);
	cr_assert_eq(maxIdleConnections(&pool, 80), CallSpec{}.maxIdleConnections);
	pool.maxConnections = 110;
	cr_assert_eq(maxIdleConnections(&pool, 80), 0); // One on each of 80 nodes would leave 30 of 110 for requests.
	cr_assert_eq(maxIdleConnections(&pool, 7), 7);
	pool.maxConnections = 100'000;
	cr_assert_eq(maxIdleConnections(&pool, 7), CallSpec{}.maxIdleConnections);
}

Test(client, connection_past_its_keep_alive_timeout_is_not_reused)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, makeResponse("a", "one", "Keep-Alive: timeout=0\r\n"));
		});
	BlockingClient client;
	cr_assert(client.call(server.address).result == CallResult::Complete);
	cr_assert(client.call(server.address).result == CallResult::Complete);
	cr_assert_eq(server.connections, 2);
}

Test(client, early_response_to_a_long_body_is_accepted_and_its_connection_closed)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, makeResponse("a", "early"));
			char byte = 0;
			while (recv(_socket, &byte, 1, MSG_PEEK) == 1 && recv(_socket, &byte, 1, 0) == 1)
			{
			}
		});
	BlockingClient client;
	const CallEnd end = client.call(server.address, {}, std::string(32 * 1024 * 1024, 'x'));
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
	cr_assert(end.body == "early");
	// The first request is only partly written, so the next one needs a new connection.
	cr_assert(client.call(server.address).body == "early");
	cr_assert_eq(server.connections, 2);
}

Test(client, response_without_length_is_complete_on_close_and_interrupted_on_reset)
{
	bool resetConnection = false;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
			if (resetConnection)
			{
				// The response precedes the reset, so the client reads it before the error.
				char byte = 0;
				recv(_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
				ScriptServer::reset(_socket);
			}
		});
	BlockingClient client;
	const CallEnd complete = client.call(server.address);
	cr_assert(complete.result == CallResult::Complete);
	cr_assert(complete.body == "to the end");
	resetConnection = true;
	cr_assert(client.call(server.address).result == CallResult::Interrupted);
}

namespace
{

constexpr std::size_t kLongBodyBytes = 400'000;

void sendLongResponse(int _socket)
{
	ScriptServer::readHead(_socket);
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongBodyBytes) + "\r\n\r\n";
	ScriptServer::sendText(_socket, head + std::string(kLongBodyBytes, 'x'));
}

} // namespace

/// Guards against a stall of the client's own process that counts as inactivity of the server. On an overloaded machine
/// the client would then repeat its requests again and again.
Test(client, stall_of_the_client_thread_is_not_a_timeout)
{
	ScriptServer server(sendLongResponse);
	BlockingClient client;
	client.timeout = 300'000;
	client.restartTimeoutOnData = true;
	client.pauseAfterSending = std::chrono::milliseconds(600);
	const CallEnd end = client.call(server.address);
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
	cr_assert_eq(end.body.size(), kLongBodyBytes);
}

/// Guards against a timeout that fires after a stall of the client's thread although data was read first.
Test(client, stall_of_the_client_thread_before_it_reads_data_is_not_a_timeout)
{
	ScriptServer server(sendLongResponse);
	BlockingClient client;
	client.timeout = 300'000;
	client.restartTimeoutOnData = true;
	client.onSending = [] { sleepFor(std::chrono::milliseconds(600)); };
	const CallEnd end = client.call(server.address);
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
}

/// Guards against a timeout on the whole response even while data arrives: over a slow link, a long response would
/// never complete.
Test(client, timeout_restarts_while_data_arrives)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
			for (int byte = 0; byte < 10; ++byte)
			{
				sleepFor(std::chrono::milliseconds(100));
				ScriptServer::sendText(_socket, "x");
			}
		});
	BlockingClient client;
	client.timeout = 400'000;
	client.restartTimeoutOnData = true;
	cr_assert(client.call(server.address).result == CallResult::Complete);
}

Test(client, malformed_response_is_interrupted)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "\x01\x02 no protocol at all\r\n\r\n");
		});
	cr_assert(BlockingClient().call(server.address).result == CallResult::Interrupted);
}

Test(client, refused_connection_is_not_sent)
{
	std::string address;
	{
		ScriptServer server([](int) {});
		address = server.address;
	}
	cr_assert(BlockingClient().call(address).result == CallResult::NotSent);
}

Test(server, ambiguous_framing_is_rejected_and_nothing_after_it_is_served)
{
	const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
	const std::vector<std::string> heads = {
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 9\r\n\r\n",
		"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	};
	EchoServer server;
	for (const std::string& head : heads)
	{
		const std::string reply = Deployment::sendRaw(server.address, head + hidden);
		cr_assert(reply.find("HTTP/1.1 400") == 0, "%s -> %s", head.c_str(), reply.c_str());
		cr_assert(reply.find("/hidden") == std::string::npos, "%s", head.c_str());
	}
	cr_assert_eq(server.served, 0);
}

Test(server, incomplete_head_is_answered_with_408_after_the_timeout)
{
	HttpServerLimits limits;
	limits.headerTimeout = 50'000;
	EchoServer server(limits);
	const std::string reply = Deployment::sendRaw(server.address, "GET / HTTP/1.1\r\nHost: a\r\n");
	cr_assert(reply.find("HTTP/1.1 408") == 0, "%s", reply.c_str());
}

Test(server, limits_can_change_at_run_time)
{
	EchoServer server;
	HttpServerLimits limits;
	limits.bodyBytes = 4;
	server.server.setLimits(limits);
	const std::string body = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 9\r\n\r\n123456789";
	cr_assert(Deployment::sendRaw(server.address, body).find("HTTP/1.1 413") == 0);
}

Test(events, events_do_not_depend_on_how_the_bytes_are_split)
{
	checkHistories("events",
				   []
				   {
					   std::string text;
					   std::vector<std::string> expected;
					   const int count = *rc::gen::inRange(0, 6);
					   for (int index = 0; index < count; ++index)
					   {
						   const std::string event = "id: " + std::to_string(index) + "\ndata: " +
													 std::string(*rc::gen::inRange<std::size_t>(0, 9), 'x') +
													 (*rc::gen::arbitrary<bool>() ? "\n\n" : "\r\n\r\n");
						   text += event;
						   expected.push_back(event);
					   }
					   const std::string part = *rc::gen::arbitrary<bool>() ? "id: 9\nda" : "";
					   text += part;
					   EventSplitter splitter;
					   std::vector<std::string> received;
					   while (!text.empty())
					   {
						   const std::size_t size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
						   const auto events = splitter.append(text.substr(0, size));
						   received.insert(received.end(), events.begin(), events.end());
						   text.erase(0, size);
					   }
					   RC_ASSERT(received == expected);
					   RC_ASSERT(splitter.hasPartialEvent() == !part.empty());
				   });
}

namespace
{

/// Options of the client's end of a connection within this process.
struct DeadConnectionOptions
{
	int keepalive = -1;
	int userTimeoutMs = -1;
	int silenceMs = -1; ///< Longest silence by the keepalive probes alone.
};

/// @param[in] _accepted The server's end of the connection.
DeadConnectionOptions optionsOfPeer(int _accepted)
{
	constexpr int kMaxDescriptors = 1'024;
	sockaddr_in peer{};
	socklen_t peerSize = sizeof(peer);
	getpeername(_accepted, reinterpret_cast<sockaddr*>(&peer), &peerSize);
	for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor)
	{
		sockaddr_in name{};
		socklen_t size = sizeof(name);
		const bool isSocket = getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size) == 0;
		if (!isSocket || name.sin_family != AF_INET || name.sin_port != peer.sin_port)
		{
			continue;
		}
		const auto read = [descriptor](int _level, int _option)
		{
			int value = -1;
			socklen_t length = sizeof(value);
			getsockopt(descriptor, _level, _option, &value, &length);
			return value;
		};
		const int seconds =
			read(IPPROTO_TCP, TCP_KEEPIDLE) + read(IPPROTO_TCP, TCP_KEEPINTVL) * read(IPPROTO_TCP, TCP_KEEPCNT);
		return {read(SOL_SOCKET, SO_KEEPALIVE), read(IPPROTO_TCP, TCP_USER_TIMEOUT), seconds * 1'000};
	}
	return {};
}

} // namespace

/// Guards against an endpoint that falls silent for a second losing its connections: a user timeout decides when
/// keepalive probes give up, whatever their count. A call that may run only once keeps its connection in any case, also
/// one that another call has used before.
Test(http, silence_of_a_second_ends_no_connection_and_longer_ones_only_repeatable_calls)
{
	constexpr int kLongestSilenceMs = 1'500; ///< Of an endpoint that goes on.
	constexpr int kContactMs = 3'000;        ///< By then a dead connection must be found.
	std::vector<DeadConnectionOptions> seen;
	ScriptServer server(
		[&](int _socket)
		{
			for (int request = 0; request < 2; ++request)
			{
				ScriptServer::readHead(_socket);
				seen.push_back(optionsOfPeer(_socket));
				ScriptServer::sendText(_socket, makeResponse("1", "a"));
			}
		});
	BlockingClient client;
	client.detectDeadConnection = true;
	cr_assert_eq(client.call(server.address).status, 200);
	client.detectDeadConnection = false;
	cr_assert_eq(client.call(server.address).status, 200);
	cr_assert_eq(seen.size(), 2);
	cr_assert_eq(seen[0].keepalive, 1);
	cr_assert_gt(seen[0].userTimeoutMs, kLongestSilenceMs);
	cr_assert_leq(seen[0].userTimeoutMs, kContactMs);
	cr_assert_gt(seen[0].silenceMs, kLongestSilenceMs);
	cr_assert_eq(seen[1].keepalive, 0);
	cr_assert_eq(seen[1].userTimeoutMs, 0);
}

namespace
{

/// A response and the length of its head.
struct WholeResponse
{
	std::string prefix; ///< Responses before it on the connection, which are skipped.
	std::string head;
	std::string body;
};

/// Responses with each kind of framing, first on a connection and after others.
std::vector<WholeResponse> responsesToCut()
{
	const std::string begin = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nX-Folded: one\r\n two\r\n";
	const std::vector<std::string> prefixes = {"", makeResponse("other", "late"), "HTTP/1.1 100 Continue\r\n\r\n"};
	std::vector<WholeResponse> responses;
	for (const std::string& prefix : prefixes)
	{
		responses.push_back({prefix, begin + "Content-Length: 4\r\n\r\n", "body"});
		responses.push_back(
			{prefix, begin + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\nX-Trailer: t\r\n\r\n"});
		responses.push_back({prefix, begin + "Connection: close\r\n\r\n", "body"});
	}
	return responses;
}

/// Makes calls for a node through another one, both in this process.
class RelayingClient
{
public:
	RelayingClient()
		: calls(1, [this](const std::string&, const CallMessage& _message) { this->deliver(_message, true); }),
		  server(this->client, this->makeContext())
	{
	}

	CallEnd call(const std::string& _address)
	{
		this->address = _address;
		std::promise<CallEnd> promise;
		EndpointCall call;
		call.spec.timeout = kTimeout;
		call.spec.request.target = "/";
		RelayedCallHandlers handlers;
		handlers.onConnected = [] {};
		handlers.onEnd = [&](const CallEnd& _end, bool) { promise.set_value(_end); };
		this->pool.post(0, [&] { this->calls.start("helper", call, handlers, 0); });
		return promise.get_future().get();
	}

private:
	RelayedCallContext makeContext()
	{
		return RelayedCallContext{[this](const std::string&, const CallMessage& _message)
								  { this->deliver(_message, false); },
								  [this](const std::string&) { return std::optional(this->address); },
								  [](const std::string&) { return false; }, [](const std::string&) {}};
	}

	void deliver(const CallMessage& _message, bool _toServer)
	{
		this->pool.post(0,
						[this, _message, _toServer]
						{
							std::visit(Overloaded{[&](const auto& _typed)
												  {
													  if constexpr (requires { this->server.receive("", _typed); })
													  {
														  cr_assert(_toServer);
														  this->server.receive("asking", _typed);
													  }
													  else if constexpr (requires { this->calls.receive("", _typed); })
													  {
														  this->calls.receive("helper", _typed);
													  }
												  }},
									   _message);
						});
	}

	std::string address;
	IoPool pool{1};
	HttpClient client{this->pool};
	RelayedCalls calls;
	RelayedCallServer server;
};

} // namespace

/// Guards against a response that is cut inside its head, at any byte, and passes as a whole one.
Test(client, response_cut_inside_its_head_is_never_complete, .timeout = 60)
{
	std::string sent;
	bool resetConnection = false;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, sent);
			if (resetConnection)
			{
				ScriptServer::reset(_socket);
			}
		});
	BlockingClient client;
	RelayingClient relaying;
	for (const WholeResponse& response : responsesToCut())
	{
		for (std::size_t length = 0; length < response.head.size(); ++length)
		{
			sent = response.prefix + response.head.substr(0, length);
			resetConnection = length % 2 == 1;
			std::string received;
			const auto onData = [&](const std::string& _bytes) { received += _bytes; };
			const CallEnd kept = client.call(server.address, "mine");
			const CallEnd streamed = client.call(server.address, "mine", {}, onData);
			cr_assert(kept.result == CallResult::Interrupted, "%zu bytes of: %s", length, response.head.c_str());
			cr_assert(streamed.result == CallResult::Interrupted, "%zu bytes of: %s", length, response.head.c_str());
			cr_assert_not(kept.endsWithConnection || streamed.endsWithConnection);
			cr_assert(kept.body.empty() && received.empty());
			if (response.prefix.empty())
			{
				const CallEnd relayed = relaying.call(server.address);
				cr_assert(relayed.result == CallResult::Interrupted);
				cr_assert_not(relayed.endsWithConnection);
			}
		}
		sent = response.prefix + response.head + response.body;
		resetConnection = false;
		const CallEnd whole = client.call(server.address, "mine");
		cr_assert(whole.result == CallResult::Complete && whole.body == "body");
	}
}

/// Guards against memory that is reserved for a length which is only announced: the process ended.
Test(client, announced_length_reserves_no_memory)
{
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket,
								   "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 900000000000\r\n\r\nbody");
		});
	BlockingClient client;
	std::string received;
	const auto onData = [&](const std::string& _bytes) { received += _bytes; };
	const CallEnd kept = client.call(server.address, "mine");
	cr_assert(kept.result == CallResult::Interrupted);
	cr_assert_eq(kept.error, "response is longer than the limit");
	const CallEnd streamed = client.call(server.address, "mine", {}, onData);
	cr_assert(streamed.result == CallResult::Interrupted);
	cr_assert_eq(received, "body");
}

/// Guards against a response with chunks that is cut inside its trailer and passes as a whole one.
Test(client, response_cut_inside_its_trailer_is_never_complete)
{
	const std::string whole = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
	const std::string trailer = "0\r\nX-Trailer: t\r\n\r\n";
	std::size_t length = 0;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, whole + trailer.substr(0, length));
		});
	BlockingClient client;
	for (; length < trailer.size(); ++length)
	{
		cr_assert(client.call(server.address, "mine").result == CallResult::Interrupted, "%zu bytes", length);
	}
}

namespace
{

std::size_t openDescriptors()
{
	const std::filesystem::directory_iterator entries("/proc/self/fd");
	return static_cast<std::size_t>(std::distance(entries, std::filesystem::directory_iterator()));
}

} // namespace

/// Guards against descriptors that are lost to connections whose remote host has closed them, and to which no call is
/// made any more.
Test(client, idle_connections_that_the_remote_host_closed_are_closed)
{
	constexpr int kServers = 8;
	BlockingClient client;
	client.call("127.0.0.1:1"); // Starts what the client needs.
	const std::size_t before = openDescriptors();
	for (int index = 0; index < kServers; ++index)
	{
		ScriptServer server(
			[](int _socket)
			{
				ScriptServer::readHead(_socket);
				ScriptServer::sendText(_socket, makeResponse("a", "one"));
			});
		cr_assert(client.call(server.address).body == "one");
	}
	Deployment::await("the descriptors are free", [&] { return openDescriptors() <= before; });
}

/// Guards against a server that spends all its processor time on accepting without descriptors, and never recovers.
Test(server, lack_of_descriptors_costs_no_processor_time_and_ends_with_its_cause)
{
	constexpr std::chrono::milliseconds kLackTime{400};
	EchoServer server;
	BlockingClient client;
	cr_assert(client.call(server.address).result == CallResult::Complete);
	const int waiting = ::socket(AF_INET, SOCK_STREAM, 0);
	rlimit limit{};
	getrlimit(RLIMIT_NOFILE, &limit);
	const rlimit none{3, limit.rlim_max};
	setrlimit(RLIMIT_NOFILE, &none);
	sockaddr_in name{};
	name.sin_family = AF_INET;
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(server.address.substr(server.address.rfind(':') + 1))));
	cr_assert_eq(::connect(waiting, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
	const std::clock_t began = std::clock();
	sleepFor(kLackTime);
	const double usedMs = 1'000.0 * static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
	setrlimit(RLIMIT_NOFILE, &limit);
	cr_assert_lt(usedMs, 0.5 * static_cast<double>(kLackTime.count()), "%.0f ms of processor time", usedMs);
	ScriptServer::sendText(waiting, "GET /served HTTP/1.1\r\nHost: a\r\n\r\n");
	cr_assert(absl::StrContains(ScriptServer::readHead(waiting), "200 OK"));
	::close(waiting);
}
