/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the load balancer's stand-in.

#include "standin_balancer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace roadferry
{

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::int64_t kCheckPeriodUs = 100'000;
constexpr std::int64_t kCheckTimeoutUs = 500'000;
constexpr std::size_t kBufferSize = 32 * 1024;

struct Backend
{
	std::string address;
	Tcp::endpoint endpoint;
	bool healthy = false;
	bool checkPending = false; ///< Whether a readiness probe is in progress.
};

/// Copies bytes in both directions between a caller and a backend until one of them closes its connection.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
	ProxiedConnection(Tcp::socket _caller, asio::io_context& _context)
		: sides{std::move(_caller), Tcp::socket(_context)}
	{
	}

	void start(const Tcp::endpoint& _backend)
	{
		this->sides[1].async_connect(_backend,
									 [self = this->shared_from_this()](const Error& _error)
									 {
										 if (!_error)
										 {
											 self->receive(0);
											 self->receive(1);
										 }
									 });
	}

private:
	void receive(std::size_t _from)
	{
		this->sides.at(_from).async_read_some(
			asio::buffer(this->buffers.at(_from)),
			[self = this->shared_from_this(), _from](const Error& _error, std::size_t _bytes)
			{
				if (_error)
				{
					self->close();
					return;
				}
				self->forward(_from, _bytes);
			});
	}

	void forward(std::size_t _from, std::size_t _bytes)
	{
		asio::async_write(this->sides.at(1 - _from), asio::buffer(this->buffers.at(_from).data(), _bytes),
						  [self = this->shared_from_this(), _from](const Error& _error, std::size_t)
						  {
							  if (_error)
							  {
								  self->close();
								  return;
							  }
							  self->receive(_from);
						  });
	}

	void close()
	{
		Error ignored;
		this->sides[0].close(ignored);
		this->sides[1].close(ignored);
	}

	std::array<Tcp::socket, 2> sides;
	std::array<std::array<char, kBufferSize>, 2> buffers{};
};

Tcp::endpoint endpointOf(const std::string& _address)
{
	const std::size_t colon = _address.rfind(':');
	Error error;
	const auto ip = asio::ip::make_address(_address.substr(0, colon), error);
	const int port = colon == std::string::npos ? 0 : std::stoi(_address.substr(colon + 1));
	return {ip, static_cast<std::uint16_t>(port)};
}

} // namespace

struct StandinBalancer::Impl : std::enable_shared_from_this<StandinBalancer::Impl>
{
	explicit Impl(IoPool& _pool) : pool(_pool), client(_pool), acceptor(_pool.context(0))
	{
	}

	void checkBackends()
	{
		for (std::size_t index = 0; index < this->backends.size(); ++index)
		{
			this->checkBackend(index);
		}
	}

	void checkBackend(std::size_t _index)
	{
		Backend& backend = this->backends[_index];
		if (backend.checkPending)
		{
			return;
		}
		backend.checkPending = true;
		CallSpec spec;
		spec.address = backend.address;
		spec.request.target = "/ready";
		spec.timeout = kCheckTimeoutUs;
		spec.forceNewConnection = true;
		CallHandlers handlers;
		handlers.onEnd = [self = this->shared_from_this(), _index](const CallEnd& _end)
		{
			Backend& checked = self->backends[_index];
			checked.checkPending = false;
			checked.healthy = _end.result == CallResult::Complete && _end.status == 200;
		};
		this->client.call(0, std::move(spec), std::move(handlers));
	}

	void accept()
	{
		this->acceptor.async_accept(
			[self = this->shared_from_this()](const Error& _error, Tcp::socket _socket)
			{
				if (!_error)
				{
					self->proxy(std::move(_socket));
				}
				self->accept();
			});
	}

	/// Connects a caller to the next healthy backend, or closes its connection when there is none.
	void proxy(Tcp::socket _socket)
	{
		for (std::size_t attempt = 0; attempt < this->backends.size(); ++attempt)
		{
			const Backend& backend = this->backends[this->nextBackend];
			this->nextBackend = (this->nextBackend + 1) % this->backends.size();
			if (backend.healthy)
			{
				std::make_shared<ProxiedConnection>(std::move(_socket), this->pool.context(0))->start(backend.endpoint);
				return;
			}
		}
	}

	IoPool& pool;
	HttpClient client;
	Tcp::acceptor acceptor;
	std::vector<Backend> backends;
	std::size_t nextBackend = 0;
};

StandinBalancer::StandinBalancer(IoPool& _pool, std::vector<std::string> _backends)
	: impl(std::make_shared<Impl>(_pool))
{
	for (std::string& address : _backends)
	{
		Backend backend;
		backend.endpoint = endpointOf(address);
		backend.address = std::move(address);
		this->impl->backends.push_back(std::move(backend));
	}
}

StandinBalancer::~StandinBalancer() = default;

std::string StandinBalancer::listen(const std::string& _ip, std::uint16_t _port)
{
	Error error;
	const Tcp::endpoint endpoint(asio::ip::make_address(_ip, error), _port);
	Tcp::acceptor& acceptor = this->impl->acceptor;
	acceptor.open(endpoint.protocol(), error);
	acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
	acceptor.bind(endpoint, error);
	if (!error)
	{
		acceptor.listen(asio::socket_base::max_listen_connections, error);
	}
	if (error)
	{
		return error.message();
	}
	this->impl->accept();
	this->impl->pool.runEvery(0, kCheckPeriodUs, [impl = this->impl] { impl->checkBackends(); });
	return {};
}

std::uint16_t StandinBalancer::port() const
{
	return this->impl->acceptor.local_endpoint().port();
}

} // namespace roadferry
