/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP client and server against peers that send what a test scripts, byte for byte.

#include "deployment.h"
#include "event_stream.h"
#include "forward_traffic.h"
#include "http_client.h"
#include "http_server.h"
#include "property.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <future>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace roadferry;

constexpr std::int64_t kTimeout = 10'000'000;

/// Holds up the calling thread.
void passTime(std::chrono::milliseconds _time)
{
	std::promise<void> never;
	never.get_future().wait_for(_time);
}

/// A server that runs a script for each connection.
class ScriptServer
{
public:
	using Script = std::function<void(int _socket)>;

	explicit ScriptServer(Script _script) : script(std::move(_script)), listener(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in name{};
		name.sin_family = AF_INET;
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		cr_assert_eq(bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
		cr_assert_eq(listen(this->listener, 16), 0);
		socklen_t length = sizeof(name);
		getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &length);
		this->address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
		this->thread = std::thread([this] { this->accept(); });
	}

	~ScriptServer()
	{
		shutdown(this->listener, SHUT_RDWR);
		close(this->listener);
		this->thread.join();
	}

	/// Reads until the end of a request's head.
	static std::string readHead(int _socket)
	{
		std::string text;
		char byte = 0;
		while (text.find("\r\n\r\n") == std::string::npos && recv(_socket, &byte, 1, 0) == 1)
		{
			text += byte;
		}
		return text;
	}

	static void say(int _socket, const std::string& _text)
	{
		send(_socket, _text.data(), _text.size(), MSG_NOSIGNAL);
	}

	/// Closes a connection so that the other side sees a reset.
	static void reset(int _socket)
	{
		const linger now{1, 0};
		setsockopt(_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}

	std::string address;
	std::atomic<int> connections{0};

private:
	void accept()
	{
		int accepted = ::accept(this->listener, nullptr, nullptr);
		while (accepted >= 0)
		{
			this->connections += 1;
			this->script(accepted);
			close(accepted);
			accepted = ::accept(this->listener, nullptr, nullptr);
		}
	}

	Script script;
	int listener;
	std::thread thread;
};

/// A client whose calls are waited for.
class Caller
{
public:
	/// @param[in] _wanted Answers under another id are read past.
	CallEnd call(const std::string& _address, const std::string& _wanted = {}, const std::string& _body = {},
				 std::function<void(const std::string&)> _onData = {})
	{
		std::promise<CallEnd> promise;
		CallSpec spec;
		spec.address = _address;
		spec.timeout = this->timeout;
		spec.timeoutOnSilence = this->timeoutOnSilence;
		spec.keepAtMost = this->keepAtMost;
		spec.request.method = _body.empty() ? "GET" : "POST";
		spec.request.body = _body;
		this->pool.post(0,
						[&]
						{
							CallHandlers handlers;
							handlers.onHead = [_wanted](unsigned, const HttpHeaders& _headers)
							{
								const std::string id = headerValue(_headers, "X-Id");
								return _wanted.empty() || id == _wanted ? HeadVerdict::Take : HeadVerdict::Skip;
							};
							handlers.onData = _onData;
							handlers.onEnd = [&](const CallEnd& _end) { promise.set_value(_end); };
							this->client.call(0, spec, std::move(handlers));
						});
		this->pool.post(0, [pause = this->pauseAfterSending] { passTime(pause); });
		return promise.get_future().get();
	}

	std::size_t keepAtMost = CallSpec{}.keepAtMost;
	std::int64_t timeout = kTimeout; ///< Microseconds.
	bool timeoutOnSilence = false;
	std::chrono::milliseconds pauseAfterSending{0}; ///< In which the client's thread does not run.

private:
	IoPool pool{1};
	HttpClient client{pool};
};

std::string answer(const std::string& _id, const std::string& _body, const std::string& _more = {})
{
	return "HTTP/1.1 200 OK\r\nX-Id: " + _id + "\r\n" + _more + "Content-Length: " + std::to_string(_body.size()) +
		   "\r\n\r\n" + _body;
}

/// A server that answers each request with its target.
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

Test(client, events_of_a_stream_are_handed_on_as_they_come)
{
	std::mutex lock;
	std::condition_variable changed;
	std::string got;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
			std::unique_lock<std::mutex> guard(lock);
			// The second part is sent only when the first has been handed on.
			const bool seen = changed.wait_for(guard, std::chrono::seconds(10), [&] { return got == "one"; });
			guard.unlock();
			ScriptServer::say(_socket, seen ? "3\r\ntwo\r\n0\r\n\r\n" : "4\r\nlate\r\n0\r\n\r\n");
		});
	const CallEnd end = Caller().call(server.address, {}, {},
									  [&](const std::string& _bytes)
									  {
										  const std::lock_guard<std::mutex> guard(lock);
										  got += _bytes;
										  changed.notify_all();
									  });
	cr_assert(end.result == CallResult::Complete);
	cr_assert(got == "onetwo", "%s", got.c_str());
}

Test(client, answer_to_another_request_is_read_past)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, answer("old", "stale") + answer("new", "fresh"));
			ScriptServer::readHead(_socket);
		});
	const CallEnd end = Caller().call(server.address, "new");
	cr_assert(end.result == CallResult::Complete);
	cr_assert(end.body == "fresh");
}

Test(client, connection_with_bytes_behind_the_answer_is_not_used_again)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, answer("a", "one") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
		});
	Caller caller;
	cr_assert(caller.call(server.address).body == "one");
	cr_assert(caller.call(server.address).body == "one");
	cr_assert_eq(server.connections, 2);
}

Test(client, no_more_connections_are_kept_than_told)
{
	ScriptServer server(
		[](int _socket)
		{
			while (!ScriptServer::readHead(_socket).empty())
			{
				ScriptServer::say(_socket, answer("a", "one"));
			}
		});
	Caller caller;
	caller.call(server.address);
	caller.call(server.address);
	cr_assert_eq(server.connections, 1);
	caller.keepAtMost = 0;
	caller.call(server.address); // Over the one that is kept, which is closed behind it.
	cr_assert_eq(server.connections, 1);
	caller.call(server.address);
	caller.call(server.address);
	cr_assert_eq(server.connections, 3);
}

Test(client, idle_connections_of_all_nodes_leave_room_for_new_ones)
{
	PoolSpec pool;
	cr_assert_eq(maxIdleConnections(nullptr, 80), CallSpec{}.keepAtMost);
	cr_assert_eq(maxIdleConnections(&pool, 80), CallSpec{}.keepAtMost);
	pool.maxConnections = 110;
	cr_assert_eq(maxIdleConnections(&pool, 80), 0); // 80 nodes with one each would leave 30 of 110 for requests.
	cr_assert_eq(maxIdleConnections(&pool, 7), 7);
	pool.maxConnections = 100'000;
	cr_assert_eq(maxIdleConnections(&pool, 7), CallSpec{}.keepAtMost);
}

Test(client, connection_that_the_server_is_about_to_close_is_not_used_again)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, answer("a", "one", "Keep-Alive: timeout=0\r\n"));
		});
	Caller caller;
	cr_assert(caller.call(server.address).result == CallResult::Complete);
	cr_assert(caller.call(server.address).result == CallResult::Complete);
	cr_assert_eq(server.connections, 2);
}

Test(client, early_answer_to_a_long_body_is_taken_and_the_connection_left)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, answer("a", "early"));
			char byte = 0;
			while (recv(_socket, &byte, 1, MSG_PEEK) == 1 && recv(_socket, &byte, 1, 0) == 1)
			{
			}
		});
	Caller caller;
	const CallEnd end = caller.call(server.address, {}, std::string(32 * 1024 * 1024, 'x'));
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
	cr_assert(end.body == "early");
	// The connection is in the middle of the first request: the next one needs another.
	cr_assert(caller.call(server.address).body == "early");
	cr_assert_eq(server.connections, 2);
}

Test(client, answer_without_length_is_whole_when_closed_and_cut_when_reset)
{
	bool broken = false;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
			if (broken)
			{
				// The bytes are there before the reset: the client reads them, and then its error.
				char byte = 0;
				recv(_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
				ScriptServer::reset(_socket);
			}
		});
	Caller caller;
	const CallEnd whole = caller.call(server.address);
	cr_assert(whole.result == CallResult::Complete);
	cr_assert(whole.body == "to the end");
	broken = true;
	cr_assert(caller.call(server.address).result == CallResult::Cut);
}

/// Guards against a process that did not run and takes that for the silence of the other side: it would ask for
/// everything anew, and again, on a machine that has too much to do.
Test(client, own_pause_is_not_taken_for_silence)
{
	constexpr std::size_t kBodyBytes = 400'000;
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
			ScriptServer::say(_socket, head + std::string(kBodyBytes, 'x'));
		});
	Caller caller;
	caller.timeout = 300'000;
	caller.timeoutOnSilence = true;
	caller.pauseAfterSending = std::chrono::milliseconds(600);
	const CallEnd end = caller.call(server.address);
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
	cr_assert_eq(end.body.size(), kBodyBytes);
}

/// Guards against a limit on a whole answer, however much of it has come: over a narrow link it would never come whole.
Test(client, long_answer_that_goes_on_coming_is_awaited)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
			for (int byte = 0; byte < 10; ++byte)
			{
				passTime(std::chrono::milliseconds(100));
				ScriptServer::say(_socket, "x");
			}
		});
	Caller caller;
	caller.timeout = 400'000;
	caller.timeoutOnSilence = true;
	cr_assert(caller.call(server.address).result == CallResult::Complete);
}

Test(client, rubbish_instead_of_an_answer_is_a_cut)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::say(_socket, "\x01\x02 no protocol at all\r\n\r\n");
		});
	cr_assert(Caller().call(server.address).result == CallResult::Cut);
}

Test(client, dead_port_means_that_nothing_was_sent)
{
	std::string address;
	{
		ScriptServer server([](int) {});
		address = server.address;
	}
	cr_assert(Caller().call(address).result == CallResult::NotSent);
}

Test(server, doubtful_framing_is_refused_and_nothing_behind_it_is_served)
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

Test(server, head_that_does_not_end_in_time_is_answered_with_408)
{
	HttpServerLimits limits;
	limits.headerTimeout = 50'000;
	EchoServer server(limits);
	const std::string reply = Deployment::sendRaw(server.address, "GET / HTTP/1.1\r\nHost: a\r\n");
	cr_assert(reply.find("HTTP/1.1 408") == 0, "%s", reply.c_str());
}

Test(server, limits_can_change_while_it_runs)
{
	EchoServer server;
	HttpServerLimits limits;
	limits.bodyBytes = 4;
	server.server.setLimits(limits);
	const std::string body = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 9\r\n\r\n123456789";
	cr_assert(Deployment::sendRaw(server.address, body).find("HTTP/1.1 413") == 0);
}

Test(events, cutting_does_not_depend_on_how_the_bytes_came)
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
					   EventSplitter cutter;
					   std::vector<std::string> got;
					   while (!text.empty())
					   {
						   const std::size_t size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
						   const auto events = cutter.append(text.substr(0, size));
						   got.insert(got.end(), events.begin(), events.end());
						   text.erase(0, size);
					   }
					   RC_ASSERT(got == expected);
					   RC_ASSERT(cutter.hasPartialEvent() == !part.empty());
				   });
}
