/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of all that reads HTTP responses, against servers that send broken ones. None passes for a whole one, and none
/// keeps its caller waiting. platform/tests/test_broken_answers.cpp has daemons between.

#include "blocking_client.h"
#include "cbor_reader.h"
#include "platform.h"
#include "relayed_call.h"
#include "script_server.h"

#include <QCoreApplication>
#include <QProcess>

#include <filesystem>

namespace
{

using namespace roadferry;

constexpr std::size_t kLongUpload = 32 * 1024 * 1024; ///< Bytes, more than the socket buffers of both ends hold.
constexpr std::size_t kShortUpload = 256 * 1024;      ///< Bytes that a socket buffer takes at once.
constexpr const char* kFields = " X\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\n";
constexpr const char* kChunkedBody = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
constexpr const char* kHeadWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Sends the same bytes in response to each request, and then leaves the connection open.
class RepeatingServer
{
public:
	explicit RepeatingServer(std::string _response) : response(std::move(_response))
	{
	}

	[[nodiscard]] const std::string& address() const
	{
		return this->server.address;
	}

private:
	std::string response;
	ScriptServer server{[this](int _socket)
						{
							while (!ScriptServer::readHead(_socket).empty())
							{
								ScriptServer::sendText(_socket, this->response);
							}
						}};
};

/// Checks that a response is an error that is known at once.
void checkBroken(const std::string& _response)
{
	const RepeatingServer server(_response);
	const CallEnd kept = BlockingClient().call(server.address());
	std::string received;
	const CallEnd streamed =
		BlockingClient().call(server.address(), {}, {}, [&](const std::string& _bytes) { received += _bytes; });
	for (const CallEnd& end : {kept, streamed})
	{
		cr_assert(end.result == CallResult::Interrupted, "complete with %u: %s", end.status, _response.c_str());
		cr_assert_not(end.timedOut, "%s: %s", end.error.c_str(), _response.c_str());
		cr_assert_not(end.endsWithConnection || end.connectionLost, "%s", _response.c_str());
	}
	cr_assert(received.empty(), "%s", received.c_str());
}

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

/// Guards against a response whose status is none of HTTP, and that passes for a whole one or keeps its caller waiting
/// for another response (RFC 9110, 15). Nobody asks for another protocol, which status 101 would begin.
Test(client, response_with_a_status_that_is_none_is_an_error_at_once, .timeout = 60)
{
	for (const char* status : {"000", "001", "099", "101", "600", "700", "999"})
	{
		checkBroken(std::string("HTTP/1.1 ") + status + kFields + "body");
		checkBroken(std::string("HTTP/1.1 ") + status +
					" X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
		checkBroken(std::string("HTTP/1.1 ") + status + " X\r\n\r\nHTTP/1.1 200" + kFields + "body");
	}
}

/// A server may send interim responses before the one to a request.
Test(client, response_after_interim_ones_is_complete)
{
	for (const char* status : {"100", "102", "103", "199"})
	{
		const std::string interim = std::string("HTTP/1.1 ") + status + " X\r\nLink: x\r\n\r\n";
		const RepeatingServer server(interim + interim + "HTTP/1.1 200" + kFields + "body");
		const CallEnd end = BlockingClient().call(server.address());
		cr_assert(end.result == CallResult::Complete, "%s: %s", status, end.error.c_str());
		cr_assert_eq(end.status, 200);
		cr_assert_eq(end.body, "body");
	}
}

/// Guards against an interim response that passes for the final one where nobody waits for the head: a call to the
/// store or for pieces failed, and the next one on its connection got its response.
Test(client, interim_response_does_not_end_a_call_that_has_no_handler_for_the_head)
{
	std::atomic<int> requests{0};
	ScriptServer server(
		[&](int _socket)
		{
			while (!ScriptServer::readHead(_socket).empty())
			{
				const std::string body = std::to_string(++requests);
				ScriptServer::sendText(_socket, "HTTP/1.1 103 X\r\n\r\n");
				sleepFor(std::chrono::milliseconds(5)); // Else both are read at once.
				ScriptServer::sendText(_socket, "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n" + body);
			}
		});
	BlockingClient client;
	client.handlesHead = false;
	for (const char* body : {"1", "2", "3"})
	{
		const CallEnd end = client.call(server.address);
		cr_assert(end.result == CallResult::Complete, "%s", end.error.c_str());
		cr_assert_eq(end.status, 200);
		cr_assert_eq(end.body, body);
	}
}

/// Guards against a head with a line that is none, and that is passed on or misread.
Test(client, response_with_a_broken_line_in_its_head_is_an_error_at_once, .timeout = 60)
{
	std::vector<std::string> lines = {": v", "no colon", "Content-Length: 5", "Transfer-Encoding: chunked"};
	for (const char byte : {' ', '\t', '\0', '\x01', '\x1f', '\x7f', '\x80', '('})
	{
		lines.push_back(std::string("X") + byte + "Y: v");
		lines.push_back(std::string("X") + byte + ": v");
	}
	for (const char byte : {'\0', '\x01', '\x0b', '\x1f', '\x7f', '\r', '\n'})
	{
		lines.push_back(std::string("X: a") + byte + "b");
	}
	for (const std::string& line : lines)
	{
		checkBroken("HTTP/1.1 200 X\r\nX-Id: mine\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody");
	}
	for (const char* version : {"HTTP/3.7", "HTTP/2.0", "http/1.1", "HTTP/1.1 "})
	{
		checkBroken(std::string(version) + " 200" + kFields + "body");
	}
	for (const char* status : {"20", "1000", "2x0", "+20"})
	{
		checkBroken(std::string("HTTP/1.1 ") + status + kFields + "body");
	}
}

/// Guards against a trailer with a line that is none.
Test(client, response_with_a_broken_line_in_its_trailer_is_an_error_at_once, .timeout = 60)
{
	for (const char* line : {"X Y: v", "X\x01: v", "no colon", "X: a\x01"})
	{
		const RepeatingServer server(std::string(kChunkedBody) + line + "\r\n\r\n");
		const CallEnd end = BlockingClient().call(server.address());
		cr_assert(end.result == CallResult::Interrupted && !end.timedOut, "%s", line);
	}
}

/// Guards against fields of a trailer that pass for fields of the head where both arrive at once (RFC 9110, 6.5.1).
Test(client, trailer_is_no_part_of_the_head)
{
	ScriptServer server(
		[](int _socket)
		{
			ScriptServer::readHead(_socket);
			ScriptServer::sendText(_socket, std::string(kChunkedBody) + "X-Id: mine\r\n\r\n");
		});
	const CallEnd ofAny = BlockingClient().call(server.address);
	cr_assert(ofAny.result == CallResult::Complete, "%s", ofAny.error.c_str());
	cr_assert_eq(ofAny.body, "body");
	cr_assert_eq(headerCount(ofAny.headers, "X-Id"), 0);
	const CallEnd ofMine = BlockingClient().call(server.address, "mine");
	cr_assert(ofMine.result == CallResult::Interrupted, "its head has no X-Id");
}

/// Guards against a transfer coding that nobody asked for and nobody decodes: the body passed for the response's own,
/// or its caller waited for the end of the connection (RFC 9112, 6.1).
Test(client, response_in_an_unknown_transfer_coding_is_an_error_at_once, .timeout = 60)
{
	for (const char* coding :
		 {"gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", ""})
	{
		const std::string head = std::string("HTTP/1.1 200 X\r\nTransfer-Encoding: ") + coding + "\r\n\r\n";
		checkBroken(head + "4\r\nbody\r\n0\r\n\r\n");
		checkBroken(head);
	}
	checkBroken("HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
	const RepeatingServer server("HTTP/1.1 200 X\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
	cr_assert(BlockingClient().call(server.address()).result == CallResult::Complete);
}

/// Guards against a status that is none of HTTP, that a node of another version passes on with the response it relays.
Test(relayed_calls, response_with_a_status_that_is_none_is_an_error_at_once)
{
	for (const unsigned status : {0U, 99U, 103U, 600U, 999U})
	{
		std::vector<CallEnd> ends;
		int heads = 0;
		std::uint64_t cancelled = 0;
		RelayedCalls calls(0,
						   [&](const std::string&, const CallMessage& _message)
						   {
							   const auto* cancel = std::get_if<RelayedCallCancel>(&_message);
							   cancelled = cancel != nullptr ? cancel->call : cancelled;
						   });
		RelayedCallHandlers handlers;
		handlers.onHead = [&](unsigned, const HttpHeaders&)
		{
			heads += 1;
			return HeadVerdict::Accept;
		};
		handlers.onEnd = [&](const CallEnd& _end, bool) { ends.push_back(_end); };
		const std::uint64_t call = calls.start("helper", EndpointCall{}, handlers, 0);
		calls.receive("helper", RelayedCallHead{call, status, {}});
		calls.receive("helper", RelayedCallEnd{call, CallResult::Complete, false, 0, false, false, {}});
		cr_assert_eq(ends.size(), 1);
		cr_assert(ends.front().result == CallResult::Interrupted, "complete with %u", ends.front().status);
		cr_assert_eq(heads, 0);
		cr_assert_eq(cancelled, call, "the other node still makes the call");
	}
}

/// Guards against a status that is valid only in its lowest bits.
Test(relayed_calls, status_out_of_range_is_not_cut_to_a_valid_one)
{
	for (const qint64 status : {qint64{200} + (qint64{1} << 32), qint64{-1}, qint64{1000}})
	{
		const QCborMap map{{"call", 1}, {"status", status}, {"headers", QCborArray{}}};
		CborReader reader(map);
		const std::optional<CallMessage> message = readCallMessage(reader, "call_head");
		cr_assert(message && reader.status.ok());
		cr_assert(kindOfStatus(std::get<RelayedCallHead>(*message).status) == StatusKind::Invalid);
	}
}

/// Guards against a list of VMs, or an answer of the log, whose status is none of HTTP or no success, and that is
/// taken.
Test(platform_client, response_with_a_status_that_is_no_success_is_an_error, .timeout = 60)
{
	int count = 1;
	char name[] = "test";
	char* arguments[] = {name, nullptr};
	const QCoreApplication application(count, arguments);
	for (const char* status : {"000", "099", "101", "304", "404", "503", "600", "999", "200"})
	{
		const RepeatingServer server(std::string("HTTP/1.1 ") + status +
									 " X\r\nContent-Length: 11\r\nConnection: close\r\n\r\n{\"vms\":[]}\n");
		Platform platform(server.address(), server.address());
		std::vector<bool> successes;
		platform.readVmList([&](const absl::StatusOr<VmList>& _list) { successes.push_back(_list.ok()); });
		platform.append("record", [&](const absl::Status& _status) { successes.push_back(_status.ok()); });
		while (successes.size() < 2)
		{
			QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
		}
		const bool isSuccess = std::string(status) == "200";
		cr_assert(successes == std::vector<bool>(2, isSuccess), "%s: %d %d", status, successes[0] ? 1 : 0,
				  successes[1] ? 1 : 0);
	}
}

/// Guards against a command that succeeds although the daemon's answer is cut, or its status is none of HTTP.
Test(command_line, broken_response_is_no_success, .timeout = 60)
{
	const std::string fields = " X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n";
	const auto exitCodeFor = [](const std::string& _response)
	{
		ScriptServer server(
			[&](int _socket)
			{
				ScriptServer::readHead(_socket);
				ScriptServer::sendText(_socket, _response);
			});
		const QString program =
			QString::fromStdString(std::filesystem::canonical("/proc/self/exe").parent_path() / "roadferry");
		return QProcess::execute(program, {QString::fromStdString("--node=" + server.address), "status"});
	};
	constexpr int kUnreachable = 3;
	cr_assert_eq(exitCodeFor("HTTP/1.1 200" + fields + "{}"), 0);
	cr_assert_eq(exitCodeFor("HTTP/1.1 200" + fields + "{"), kUnreachable);
	for (const char* status : {"000", "099", "600"})
	{
		cr_assert_eq(exitCodeFor(std::string("HTTP/1.1 ") + status + fields + "{}"), kUnreachable, "%s", status);
	}
}
