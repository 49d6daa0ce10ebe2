/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP server on Boost.Beast. Compiled as C++17.

#include "http_connection.h"

#include <boost/asio/ssl/context.hpp>

namespace roadferry
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::int64_t kAcceptPauseUs = 50'000; ///< After a failed accept.

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
	Impl(IoPool& _pool, HttpServerLimits _limits, TlsFiles _tls, HttpHandler _handler)
		: pool(_pool), shared(std::make_shared<http_connection::HttpServerState>()), tls(std::move(_tls)),
		  acceptor(_pool.context(0))
	{
		this->shared->limits = _limits;
		this->shared->handler = std::move(_handler);
	}

	void accept()
	{
		const std::size_t thread = this->nextThread;
		this->nextThread = (this->nextThread + 1) % this->pool.size();
		this->acceptor.async_accept(this->pool.context(thread),
									[self = this->shared_from_this(), thread](const Error& _error, Tcp::socket _socket)
									{
										if (!self->acceptor.is_open())
										{
											return;
										}
										if (!_error)
										{
											self->startConnection(std::move(_socket), thread);
											self->accept();
											return;
										}
										self->acceptErrors += 1;
										self->acceptLater();
									});
	}

	/// Accepts again after a pause: an error such as a lack of descriptors lasts, and trying at once would leave no
	/// processor time for the requests whose end gives descriptors back.
	void acceptLater()
	{
		this->pool.runAfter(0, kAcceptPauseUs,
							[self = this->shared_from_this()]
							{
								if (self->acceptor.is_open())
								{
									self->accept();
								}
							});
	}

	void startConnection(Tcp::socket _socket, std::size_t _thread)
	{
		if (this->shared->connections >= this->shared->currentLimits().connections)
		{
			return;
		}
		Error ignored;
		_socket.set_option(Tcp::no_delay(true), ignored);
		beast::tcp_stream plain(std::move(_socket));
		if (this->context == nullptr)
		{
			this->launch(std::make_shared<http_connection::HttpConnection<beast::tcp_stream>>(std::move(plain),
																							  this->shared, _thread),
						 _thread);
			return;
		}
		using TlsStream = beast::ssl_stream<beast::tcp_stream>;
		TlsStream secure(std::move(plain), *this->context);
		this->launch(
			std::make_shared<http_connection::HttpConnection<TlsStream>>(std::move(secure), this->shared, _thread),
			_thread);
	}

	template<class Pointer>
	void launch(Pointer _connection, std::size_t _thread)
	{
		this->pool.post(_thread, [connection = std::move(_connection)] { connection->start(); });
	}

	std::string loadCertificate()
	{
		if (this->tls.certificate.empty() && this->tls.key.empty())
		{
			return {};
		}
		this->context = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
		Error error;
		this->context->use_certificate_chain_file(this->tls.certificate, error);
		if (error)
		{
			return "certificate " + this->tls.certificate + ": " + error.message();
		}
		this->context->use_private_key_file(this->tls.key, asio::ssl::context::pem, error);
		return error ? "key " + this->tls.key + ": " + error.message() : std::string();
	}

	IoPool& pool;
	std::shared_ptr<http_connection::HttpServerState> shared;
	TlsFiles tls;
	std::unique_ptr<asio::ssl::context> context;
	Tcp::acceptor acceptor;
	std::atomic<std::uint64_t> acceptErrors{0};
	std::size_t nextThread = 0;
	std::uint16_t boundPort = 0;
};

HttpServer::HttpServer(IoPool& _pool, HttpServerLimits _limits, TlsFiles _tls, HttpHandler _handler)
	: impl(std::make_shared<Impl>(_pool, _limits, std::move(_tls), std::move(_handler)))
{
}

HttpServer::~HttpServer()
{
	this->stopAccepting();
}

std::string HttpServer::listen(const std::string& _ip, std::uint16_t _port)
{
	std::string tlsError = this->impl->loadCertificate();
	if (!tlsError.empty())
	{
		return tlsError;
	}
	Error error;
	const auto ip = asio::ip::make_address(_ip, error);
	if (error)
	{
		return "listen address " + _ip + ": must be an IP address";
	}
	Tcp::acceptor& acceptor = this->impl->acceptor;
	acceptor.open(ip.is_v6() ? Tcp::v6() : Tcp::v4(), error);
	acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
	acceptor.bind(Tcp::endpoint(ip, _port), error);
	if (error)
	{
		return "listen on " + _ip + ":" + std::to_string(_port) + ": " + error.message();
	}
	acceptor.listen(asio::socket_base::max_listen_connections, error);
	if (error)
	{
		return "listen on " + _ip + ":" + std::to_string(_port) + ": " + error.message();
	}
	this->impl->boundPort = acceptor.local_endpoint().port();
	this->impl->accept();
	return {};
}

std::uint16_t HttpServer::port() const
{
	return this->impl->boundPort;
}

void HttpServer::setLimits(const HttpServerLimits& _limits)
{
	const std::lock_guard<std::mutex> guard(this->impl->shared->lock);
	this->impl->shared->limits = _limits;
}

void HttpServer::closeAfterResponses()
{
	this->impl->shared->closing = true;
}

void HttpServer::stopAccepting()
{
	this->impl->shared->closing = true;
	this->impl->pool.post(0,
						  [impl = this->impl]
						  {
							  Error ignored;
							  impl->acceptor.close(ignored);
						  });
}

std::uint64_t HttpServer::acceptErrors() const
{
	return this->impl->acceptErrors;
}

std::size_t HttpServer::connections() const
{
	return this->impl->shared->connections;
}

} // namespace roadferry
