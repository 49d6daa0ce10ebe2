/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the idle connections. Compiled as C++17.

#include "idle_sockets.h"

#include <poll.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace roadferry
{

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

/// Idle connections expire this long before the server's limit, so that a request rarely meets a close by the server.
constexpr std::chrono::milliseconds kIdleExpiryMargin{300};

} // namespace

std::int64_t microsNow()
{
	return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

Clock::duration idleLifetime(const std::string& _keepAlive)
{
	const std::size_t at = _keepAlive.find("timeout=");
	if (at == std::string::npos)
	{
		return kDefaultIdleLifetime;
	}
	const long seconds = std::strtol(_keepAlive.c_str() + at + std::strlen("timeout="), nullptr, 10);
	return std::max<Clock::duration>(Clock::duration::zero(), std::chrono::seconds(seconds) - kIdleExpiryMargin);
}

bool isReusable(Tcp::socket& _socket)
{
	char byte = 0;
	Error error;
	_socket.non_blocking(true, error);
	_socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
	return error == asio::error::would_block;
}

IdleSocket takeIdle(IdleSockets& _idle, const std::string& _address, std::int64_t _openedBefore)
{
	const auto found = _idle.find(_address);
	if (found == _idle.end())
	{
		return {};
	}
	std::vector<IdleSocket>& sockets = found->second;
	for (std::size_t index = sockets.size(); index > 0; --index)
	{
		if (sockets[index - 1].openedAt > _openedBefore)
		{
			continue;
		}
		IdleSocket kept = std::move(sockets[index - 1]);
		sockets.erase(sockets.begin() + static_cast<std::ptrdiff_t>(index - 1));
		if (Clock::now() < kept.expiresAt && isReusable(*kept.socket))
		{
			return kept;
		}
	}
	return {};
}

std::size_t countIdle(const IdleSockets& _idle)
{
	std::size_t count = 0;
	for (const auto& entry : _idle)
	{
		count += entry.second.size();
	}
	return count;
}

void closeUnusable(IdleSockets& _idle)
{
	std::vector<pollfd> polled;
	polled.reserve(countIdle(_idle));
	for (const auto& entry : _idle)
	{
		for (const IdleSocket& idle : entry.second)
		{
			polled.push_back(pollfd{idle.socket->native_handle(), POLLIN, 0});
		}
	}
	::poll(polled.data(), polled.size(), 0);
	const Clock::time_point now = Clock::now();
	auto next = polled.cbegin(); // In the order of the sockets.
	for (auto entry = _idle.begin(); entry != _idle.end();)
	{
		std::vector<IdleSocket> usable;
		for (IdleSocket& idle : entry->second)
		{
			const bool isUsable = next->revents == 0 && now < idle.expiresAt;
			++next;
			if (isUsable)
			{
				usable.push_back(std::move(idle));
			}
		}
		entry->second = std::move(usable);
		entry = entry->second.empty() ? _idle.erase(entry) : std::next(entry);
	}
}

} // namespace roadferry
