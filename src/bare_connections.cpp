/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of connections without a request. Compiled as C++17.

#include "bare_connections.h"

#include "tcp_address.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>
#include <vector>

namespace roadferry
{

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

/// A connection that is opened only to see whether a process listens.
class Probe final : public std::enable_shared_from_this<Probe>
{
public:
	Probe(asio::io_context& _context, std::function<void(ProbeResult)> _done)
		: socket(_context), timer(_context), done(std::move(_done))
	{
	}

	void start(const Tcp::endpoint& _endpoint, std::chrono::microseconds _timeout)
	{
		this->timer.expires_after(_timeout);
		this->timer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (!_error)
				{
					self->finish(ProbeResult::NoAnswer);
				}
			});
		this->socket.async_connect(
			_endpoint,
			[self = this->shared_from_this()](const Error& _error)
			{
				const bool refused =
					_error == asio::error::connection_refused || _error == asio::error::connection_reset;
				self->finish(!_error ? ProbeResult::Accepted : refused ? ProbeResult::Refused : ProbeResult::NoAnswer);
			});
	}

private:
	void finish(ProbeResult _result)
	{
		const auto handler = std::exchange(this->done, nullptr);
		this->timer.cancel();
		Error ignored;
		this->socket.close(ignored);
		if (handler)
		{
			handler(_result);
		}
	}

	Tcp::socket socket;
	asio::steady_timer timer;
	std::function<void(ProbeResult)> done; ///< Empty once it was called.
};

/// A connection that is opened to be kept idle.
class Opener final : public std::enable_shared_from_this<Opener>
{
public:
	Opener(asio::io_context& _context, IdleSockets& _idle, std::string _address, std::size_t _maxIdleConnections)
		: idle(_idle), address(std::move(_address)), maxIdleConnections(_maxIdleConnections),
		  socket(std::make_unique<Tcp::socket>(_context)), timer(_context)
	{
	}

	void start(const Tcp::endpoint& _endpoint, std::chrono::microseconds _timeout)
	{
		this->timer.expires_after(_timeout);
		this->timer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (!_error && self->socket != nullptr)
				{
					Error ignored;
					self->socket->close(ignored);
				}
			});
		this->socket->async_connect(_endpoint, [self = this->shared_from_this()](const Error& _error)
									{ self->onConnected(_error); });
	}

private:
	void onConnected(const Error& _error)
	{
		this->timer.cancel();
		std::vector<IdleSocket>& sockets = this->idle[this->address];
		if (_error || sockets.size() >= this->maxIdleConnections)
		{
			return;
		}
		Error ignored;
		this->socket->set_option(Tcp::no_delay(true), ignored);
		sockets.push_back(IdleSocket{std::move(this->socket), Clock::now() + kDefaultIdleLifetime, microsNow()});
	}

	IdleSockets& idle;
	std::string address;
	std::size_t maxIdleConnections;
	std::unique_ptr<Tcp::socket> socket; ///< Null once it is kept idle.
	asio::steady_timer timer;
};

} // namespace

void probeAddress(asio::io_context& _context, const std::string& _address, std::chrono::microseconds _timeout,
				  std::function<void(ProbeResult)> _done)
{
	const std::optional<Tcp::endpoint> endpoint = parseTcpAddress(_address);
	if (!endpoint)
	{
		_done(ProbeResult::NoAnswer);
		return;
	}
	std::make_shared<Probe>(_context, std::move(_done))->start(*endpoint, _timeout);
}

void openIdleConnection(asio::io_context& _context, IdleSockets& _idle, const std::string& _address,
						std::chrono::microseconds _timeout, std::size_t _maxIdleConnections)
{
	const std::optional<Tcp::endpoint> endpoint = parseTcpAddress(_address);
	if (endpoint)
	{
		std::make_shared<Opener>(_context, _idle, _address, _maxIdleConnections)->start(*endpoint, _timeout);
	}
}

} // namespace roadferry
