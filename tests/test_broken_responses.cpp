/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of the HTTP client against servers that send broken responses. None passes for a whole one, and none keeps its
/// caller waiting. platform/tests/test_broken_answers.cpp has daemons between.

#include "blocking_client.h"
#include "script_server.h"

namespace
{

using namespace roadferry;

constexpr std::size_t kLongUpload = 32 * 1024 * 1024; ///< Bytes, more than the socket buffers of both ends hold.
constexpr std::size_t kShortUpload = 256 * 1024;      ///< Bytes that a socket buffer takes at once.
constexpr const char* kHeadWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

} // namespace

/// Guards against a part of a response that passes for all of it: the connection, whose end is its only end, is reset
/// while the request is being written.
Test(client, response_without_a_length_that_a_reset_cuts_during_the_upload_is_not_complete, .timeout = 60)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, std::string(kHeadWithoutLength) + "a part");
			ScriptServer::reset(_socket);
		});
	BlockingClient client;
	std::string received;
	const auto onData = [&](const std::string& _bytes) { received += _bytes; };
	const std::string upload(kLongUpload, 'x');
	const CallEnd kept = client.call(server.address, {}, upload);
	const CallEnd streamed = client.call(server.address, {}, upload, onData);
	for (const CallEnd& end : {kept, streamed})
	{
		cr_assert(end.result == CallResult::Interrupted, "complete after: %s%s", end.body.c_str(), received.c_str());
		cr_assert(end.connectionLost, "%s", end.error.c_str());
	}
}

/// Guards against the same where the reset follows the end of the connection: the sender had read nothing more of the
/// request, and takes none of the rest.
Test(client, response_without_a_length_that_a_reset_follows_before_the_request_arrived_is_not_complete, .timeout = 60)
{
	for (const std::size_t uploadBytes : {kShortUpload, kLongUpload})
	{
		ScriptServer server(
			[](int _socket)
			{
				ScriptServer::readHead(_socket);
				ScriptServer::sendText(_socket, std::string(kHeadWithoutLength) + "a part");
				shutdown(_socket, SHUT_WR);
				ScriptServer::reset(_socket);
			});
		BlockingClient client;
		client.onSending = [&]
		{
			while (server.closedConnections == 0)
			{
				sleepFor(std::chrono::milliseconds(1));
			}
		};
		const CallEnd end = client.call(server.address, {}, std::string(uploadBytes, 'x'));
		cr_assert(end.result == CallResult::Interrupted, "complete after: %s", end.body.c_str());
	}
}

/// Guards against the same where the end was read before the reset came.
Test(client, response_without_a_length_that_a_reset_follows_shortly_is_not_complete, .timeout = 60)
{
	constexpr int kTries = 10; // The reset comes too late for some if the machine is busy.
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, std::string(kHeadWithoutLength) + "a part");
			shutdown(_socket, SHUT_WR);
			sleepFor(std::chrono::milliseconds(5));
			ScriptServer::reset(_socket);
		});
	for (const std::size_t uploadBytes : {kShortUpload, kLongUpload})
	{
		int interrupted = 0;
		for (int index = 0; index < kTries; ++index)
		{
			const CallEnd end = BlockingClient().call(server.address, {}, std::string(uploadBytes, 'x'));
			interrupted += end.result == CallResult::Interrupted ? 1 : 0;
		}
		cr_assert_gt(interrupted, 0, "all of %d are complete", kTries);
	}
}

/// A server may refuse a request before it has read it, and then end its sending only.
Test(client, refusal_without_a_length_that_ends_during_the_upload_is_complete, .timeout = 60)
{
	std::promise<void> answered;
	ScriptServer server(
		[&](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n\r\nfull");
			shutdown(_socket, SHUT_WR);
			answered.get_future().wait();
		});
	const CallEnd end = BlockingClient().call(server.address, {}, std::string(kLongUpload, 'x'));
	answered.set_value();
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
	cr_assert_eq(end.status, 413);
	cr_assert_eq(end.body, "full");
}

/// A response with a length is whole although its connection is reset behind it.
Test(client, refusal_with_a_length_before_a_reset_during_the_upload_is_complete, .timeout = 60)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nfull");
			ScriptServer::reset(_socket);
		});
	const CallEnd end = BlockingClient().call(server.address, {}, std::string(kLongUpload, 'x'));
	cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
	cr_assert_eq(end.body, "full");
}
