/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A port on the loopback interface that can be closed and opened again.

#ifndef ROADFERRY_LOOPBACK_PORT_H_HEADER_GUARD
#define ROADFERRY_LOOPBACK_PORT_H_HEADER_GUARD

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>

namespace roadferry
{

/// Accepts connections, as far as the system does it, and sends nothing on them.
class LoopbackPort
{
public:
	/// @param[in] _number Number of the port, 0 for any that is free.
	explicit LoopbackPort(std::uint16_t _number = 0) : number(_number)
	{
		this->open();
	}

	~LoopbackPort()
	{
		this->close();
	}

	LoopbackPort(const LoopbackPort&) = delete;
	LoopbackPort& operator=(const LoopbackPort&) = delete;

	void open()
	{
		this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		const int on = 1;
		::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		sockaddr_in name{};
		name.sin_family = AF_INET;
		name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		name.sin_port = htons(this->number);
		::bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof(name));
		::listen(this->listener, 16);
		socklen_t size = sizeof(name);
		::getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &size);
		this->number = ntohs(name.sin_port);
	}

	void close()
	{
		if (this->listener >= 0)
		{
			::close(std::exchange(this->listener, -1));
		}
	}

	[[nodiscard]] std::string address() const
	{
		return "127.0.0.1:" + std::to_string(this->number);
	}

private:
	int listener = -1;
	std::uint16_t number;
};

} // namespace roadferry

#endif // ROADFERRY_LOOPBACK_PORT_H_HEADER_GUARD
