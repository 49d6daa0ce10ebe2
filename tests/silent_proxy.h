/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A TCP proxy on the loopback whose open connections can fall silent, while new ones work.

#ifndef ROADFERRY_SILENT_PROXY_H_HEADER_GUARD
#define ROADFERRY_SILENT_PROXY_H_HEADER_GUARD

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace roadferry
{

/// Forwards each connection to one port. Runs in a thread of its own.
class SilentProxy
{
public:
	explicit SilentProxy(std::uint16_t _target) : target(_target)
	{
		this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sockaddr_in address = loopback(0);
		::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
		::listen(this->listener, 64);
		socklen_t size = sizeof(address);
		::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
		this->port = ntohs(address.sin_port);
		this->thread = std::thread([this] { this->run(); });
	}

	~SilentProxy()
	{
		this->ended = true;
		this->thread.join();
		for (const Pair& pair : this->pairs)
		{
			::close(pair.inner);
			::close(pair.outer);
		}
		::close(this->listener);
	}

	SilentProxy(const SilentProxy&) = delete;
	SilentProxy& operator=(const SilentProxy&) = delete;

	[[nodiscard]] std::string address() const
	{
		return "127.0.0.1:" + std::to_string(this->port);
	}

	/// From now on nothing passes on the connections that are open.
	void silence()
	{
		this->silenceAsked = true;
		while (this->silenceAsked)
		{
			std::this_thread::yield();
		}
	}

	/// From now on nothing passes on any connection, new ones included.
	void silenceForGood()
	{
		this->silent = true;
	}

	[[nodiscard]] std::size_t accepted() const
	{
		return this->acceptedCount;
	}

private:
	static constexpr int kPollMs = 5;

	/// One connection and the one that it is forwarded on.
	struct Pair
	{
		int outer = -1;
		int inner = -1;
		bool silent = false;
	};

	static sockaddr_in loopback(std::uint16_t _port)
	{
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(_port);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		return address;
	}

	void accept()
	{
		Pair pair;
		pair.outer = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
		pair.inner = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sockaddr_in address = loopback(this->target);
		::connect(pair.inner, reinterpret_cast<sockaddr*>(&address), sizeof(address));
		this->pairs.push_back(pair);
		this->acceptedCount += 1;
	}

	/// @returns False when the connection has ended.
	static bool forward(int _from, int _to, bool _silent)
	{
		std::array<char, 16'384> bytes{};
		const ssize_t count = ::recv(_from, bytes.data(), bytes.size(), MSG_DONTWAIT);
		if (count > 0 && !_silent)
		{
			::send(_to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
		}
		return count != 0;
	}

	void run()
	{
		while (!this->ended)
		{
			std::vector<pollfd> waits = {{this->listener, POLLIN, 0}};
			for (const Pair& pair : this->pairs)
			{
				waits.push_back({pair.outer, POLLIN, 0});
				waits.push_back({pair.inner, POLLIN, 0});
			}
			::poll(waits.data(), waits.size(), kPollMs);
			if (this->silenceAsked || this->silent)
			{
				for (Pair& pair : this->pairs)
				{
					pair.silent = true;
				}
				this->silenceAsked = false;
			}
			if ((waits[0].revents & POLLIN) != 0)
			{
				this->accept();
			}
			this->pairs.remove_if(
				[](const Pair& _pair)
				{
					const bool open = forward(_pair.outer, _pair.inner, _pair.silent) &&
									  forward(_pair.inner, _pair.outer, _pair.silent);
					if (!open)
					{
						::close(_pair.outer);
						::close(_pair.inner);
					}
					return !open;
				});
		}
	}

	std::uint16_t target;
	std::uint16_t port = 0;
	int listener = -1;
	std::list<Pair> pairs;
	std::atomic<bool> ended{false};
	std::atomic<bool> silenceAsked{false};
	std::atomic<bool> silent{false}; ///< All connections, for good.
	std::atomic<std::size_t> acceptedCount{0};
	std::thread thread;
};

} // namespace roadferry

#endif // ROADFERRY_SILENT_PROXY_H_HEADER_GUARD
