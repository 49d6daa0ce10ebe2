/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// TCP proxy on the loopback interface that can stop forwarding without closing its connections.

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

/// Forwards each connection to one port. Runs in its own thread.
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
		this->stopping = true;
		this->thread.join();
		for (const Pair& pair : this->pairs)
		{
			::close(pair.serverSocket);
			::close(pair.clientSocket);
		}
		::close(this->listener);
	}

	SilentProxy(const SilentProxy&) = delete;
	SilentProxy& operator=(const SilentProxy&) = delete;

	[[nodiscard]] std::string address() const
	{
		return "127.0.0.1:" + std::to_string(this->port);
	}

	/// Stops forwarding on the connections that are open. Later connections work.
	void silenceOpenConnections()
	{
		this->silenceRequested = true;
		while (this->silenceRequested)
		{
			std::this_thread::yield();
		}
	}

	/// Stops forwarding on all connections, including later ones.
	void silenceAll()
	{
		this->allSilent = true;
	}

	[[nodiscard]] std::size_t accepted() const
	{
		return this->acceptedCount;
	}

private:
	static constexpr int kPollMs = 5;

	/// Connection of a client and the connection to the target.
	struct Pair
	{
		int clientSocket = -1;
		int serverSocket = -1;
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
		pair.clientSocket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
		pair.serverSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sockaddr_in address = loopback(this->target);
		::connect(pair.serverSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
		this->pairs.push_back(pair);
		this->acceptedCount += 1;
	}

	/// @returns False if the connection has been closed.
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
		while (!this->stopping)
		{
			std::vector<pollfd> pollEntries = {{this->listener, POLLIN, 0}};
			for (const Pair& pair : this->pairs)
			{
				pollEntries.push_back({pair.clientSocket, POLLIN, 0});
				pollEntries.push_back({pair.serverSocket, POLLIN, 0});
			}
			::poll(pollEntries.data(), pollEntries.size(), kPollMs);
			if (this->silenceRequested || this->allSilent)
			{
				for (Pair& pair : this->pairs)
				{
					pair.silent = true;
				}
				this->silenceRequested = false;
			}
			if ((pollEntries[0].revents & POLLIN) != 0)
			{
				this->accept();
			}
			this->pairs.remove_if(
				[](const Pair& _pair)
				{
					const bool open = forward(_pair.clientSocket, _pair.serverSocket, _pair.silent) &&
									  forward(_pair.serverSocket, _pair.clientSocket, _pair.silent);
					if (!open)
					{
						::close(_pair.clientSocket);
						::close(_pair.serverSocket);
					}
					return !open;
				});
		}
	}

	std::uint16_t target;
	std::uint16_t port = 0;
	int listener = -1;
	std::list<Pair> pairs;
	std::atomic<bool> stopping{false};
	std::atomic<bool> silenceRequested{false};
	std::atomic<bool> allSilent{false}; ///< Set by silenceAll().
	std::atomic<std::size_t> acceptedCount{0};
	std::thread thread;
};

} // namespace roadferry

#endif // ROADFERRY_SILENT_PROXY_H_HEADER_GUARD
