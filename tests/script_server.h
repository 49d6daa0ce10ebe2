/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Server on the loopback interface that runs a script for each connection, one connection after the other.

#ifndef ROADFERRY_SCRIPT_SERVER_H_HEADER_GUARD
#define ROADFERRY_SCRIPT_SERVER_H_HEADER_GUARD

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace roadferry
{

/// Server that runs a script for each connection.
class ScriptServer
{
public:
	using Script = std::function<void(int _socket)>;

	explicit ScriptServer(Script _script) : script(std::move(_script)), listener(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in name{};
		name.sin_family = AF_INET;
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		cr_assert_eq(::bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof(name)), 0);
		cr_assert_eq(::listen(this->listener, 16), 0);
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

	/// Reads the head of a request.
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

	static void sendText(int _socket, const std::string& _text)
	{
		send(_socket, _text.data(), _text.size(), MSG_NOSIGNAL);
	}

	/// Makes the close of a connection a TCP reset.
	static void reset(int _socket)
	{
		const linger now{1, 0};
		setsockopt(_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}

	std::string address;
	std::atomic<int> connections{0};
	std::atomic<int> closedConnections{0}; ///< Connections whose script has ended.

private:
	void accept()
	{
		int accepted = ::accept(this->listener, nullptr, nullptr);
		while (accepted >= 0)
		{
			this->connections += 1;
			this->script(accepted);
			close(accepted);
			this->closedConnections += 1;
			accepted = ::accept(this->listener, nullptr, nullptr);
		}
	}

	Script script;
	int listener;
	std::thread thread;
};

} // namespace roadferry

#endif // ROADFERRY_SCRIPT_SERVER_H_HEADER_GUARD
