/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A client's connection to an HttpServer: reads one request after another and writes the responses. Compiled as C++17.

#ifndef ROADFERRY_HTTP_CONNECTION_H_HEADER_GUARD
#define ROADFERRY_HTTP_CONNECTION_H_HEADER_GUARD

#include "http_body.h"
#include "http_framing.h"
#include "http_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <boost/optional.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <sstream>

namespace roadferry
{

namespace http_connection
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::int64_t kLingerTimeUs = 1'000'000;
constexpr std::size_t kDiscardSize = 64 * 1024;
constexpr std::chrono::milliseconds kIdleCheckPeriod{250};
constexpr std::chrono::milliseconds kIdleTimeoutWhileClosing{1'000};

/// Adds headers to a message. A name that is given twice yields two header lines.
template<class Message>
void addHeaders(Message& _message, const HttpHeaders& _headers)
{
	for (const auto& header : _headers)
	{
		_message.insert(header.first, header.second);
	}
}

/// @returns Whether other servers may interpret the framing of the message differently. Such framing allows request
/// smuggling, where a second request is hidden behind the first (RFC 9112, 11.2).
template<class Message>
bool hasAmbiguousFraming(const Message& _message)
{
	return _message.count(http::field::host) > 1 || hasAmbiguousLength(_message);
}

inline HttpResponse errorResponse(unsigned _status, const std::string& _code, const std::string& _message)
{
	HttpResponse response;
	response.status = _status;
	response.body = "{\"error\":{\"code\":\"" + _code + "\",\"message\":\"" + _message + "\"}}";
	return response;
}

/// State shared by all connections of a server.
struct HttpServerState
{
	std::mutex lock; ///< Guards the limits.
	HttpServerLimits limits;
	HttpHandler handler;
	std::atomic<std::size_t> connections{0};
	std::atomic<bool> closing{false};

	[[nodiscard]] HttpServerLimits currentLimits()
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		return this->limits;
	}
};

/// Serves one connection, on the thread that it was given to.
template<class Stream>
class HttpConnection final : public HttpReply, public std::enable_shared_from_this<HttpConnection<Stream>>
{
public:
	HttpConnection(Stream _stream, std::shared_ptr<HttpServerState> _shared, std::size_t _thread)
		: stream(std::move(_stream)), shared(std::move(_shared)), limits(shared->currentLimits()),
		  timer(stream.get_executor()), threadIndex(_thread)
	{
		this->shared->connections += 1;
	}

	~HttpConnection() override
	{
		this->shared->connections -= 1;
	}

	void start()
	{
		if constexpr (std::is_same_v<Stream, beast::ssl_stream<beast::tcp_stream>>)
		{
			this->armTimer(this->limits.headerTimeout);
			this->stream.async_handshake(asio::ssl::stream_base::server,
										 [self = this->shared_from_this()](const Error& _error)
										 {
											 if (!_error)
											 {
												 self->awaitRequest();
											 }
										 });
		}
		else
		{
			this->awaitRequest();
		}
	}

	void send(HttpResponse _response) override
	{
		this->runOnThread([this, response = std::move(_response)]() mutable
						  { this->writeResponse(std::move(response)); });
	}

	void startStream(unsigned _status, HttpHeaders _headers) override
	{
		this->runOnThread(
			[this, _status, headers = std::move(_headers)]
			{
				http::response<http::empty_body> head(static_cast<http::status>(_status), kHttpVersion);
				addHeaders(head, headers);
				head.keep_alive(this->keepAlive());
				head.chunked(true);
				std::ostringstream text;
				text << head.base();
				this->enqueue(text.str(), false);
			});
	}

	void write(std::string _data) override
	{
		this->runOnThread(
			[this, data = std::move(_data)]
			{
				if (!data.empty())
				{
					this->enqueue(beast::buffers_to_string(http::make_chunk(asio::buffer(data))), false);
				}
			});
	}

	void endStream() override
	{
		this->runOnThread([this] { this->enqueue(beast::buffers_to_string(http::make_chunk_last()), true); });
	}

	void abort() override
	{
		this->runOnThread([this] { this->close(); });
	}

	void onDisconnect(std::function<void()> _function) override
	{
		this->runOnThread(
			[this, function = std::move(_function)]() mutable
			{
				if (this->isClosed)
				{
					function();
					return;
				}
				this->disconnectHandler = std::move(function);
			});
	}

	[[nodiscard]] bool isCongested() const override
	{
		return this->unsentBytes > this->limits.congestedBytes;
	}

	void onDrained(std::function<void()> _function) override
	{
		this->runOnThread([this, function = std::move(_function)]() mutable
						  { this->drainedHandler = std::move(function); });
	}

	[[nodiscard]] std::size_t thread() const override
	{
		return this->threadIndex;
	}

private:
	template<class Function>
	void runOnThread(Function _function)
	{
		asio::dispatch(this->stream.get_executor(),
					   [self = this->shared_from_this(), function = std::move(_function)]() mutable { function(); });
	}

	Tcp::socket& socket()
	{
		return beast::get_lowest_layer(this->stream).socket();
	}

	[[nodiscard]] bool keepAlive() const
	{
		return this->requestKeepAlive && !this->shared->closing;
	}

	void armTimer(std::int64_t _microseconds)
	{
		this->timer.expires_after(std::chrono::microseconds(_microseconds));
		this->timer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (!_error)
				{
					self->timedOut = true;
					Error ignored;
					self->socket().cancel(ignored);
				}
			});
	}

	/// Waits for the first byte of a request until the idle timeout.
	void awaitRequest()
	{
		this->limits = this->shared->currentLimits();
		this->parser.emplace();
		this->parser->header_limit(static_cast<std::uint32_t>(this->limits.headerBytes));
		this->parser->body_limit(this->limits.bodyBytes);
		if (this->buffer.size() > 0)
		{
			this->readRequest();
			return;
		}
		this->idleSince = std::chrono::steady_clock::now();
		this->checkIdle();
		this->stream.async_read_some(this->buffer.prepare(this->limits.headerBytes),
									 [self = this->shared_from_this()](const Error& _error, std::size_t _bytes)
									 {
										 self->timer.cancel();
										 if (_error)
										 {
											 self->close();
											 return;
										 }
										 self->buffer.commit(_bytes);
										 self->readRequest();
									 });
	}

	/// Closes the connection at its idle timeout, which is shorter while the server is closing.
	void checkIdle()
	{
		this->timer.expires_after(kIdleCheckPeriod);
		this->timer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (_error)
				{
					return;
				}
				const auto limit = self->shared->closing ? kIdleTimeoutWhileClosing : self->idleTimeout();
				if (std::chrono::steady_clock::now() - self->idleSince < limit)
				{
					self->checkIdle();
					return;
				}
				Error ignored;
				self->socket().cancel(ignored);
			});
	}

	[[nodiscard]] std::chrono::microseconds idleTimeout() const
	{
		return std::chrono::microseconds(this->limits.idleTimeout);
	}

	void readRequest()
	{
		this->armTimer(this->limits.headerTimeout);
		http::async_read_header(this->stream, this->buffer, *this->parser,
								[self = this->shared_from_this()](const Error& _error, std::size_t)
								{
									self->timer.cancel();
									if (_error)
									{
										self->rejectRequest(_error);
										return;
									}
									self->readBody();
								});
	}

	void readBody()
	{
		if (hasAmbiguousFraming(this->parser->get()))
		{
			this->requestKeepAlive = false;
			this->writeResponse(errorResponse(400, "bad_request", "the request's framing is not clear"));
			return;
		}
		if (this->parser->is_done())
		{
			this->handle();
			return;
		}
		this->armTimer(this->limits.requestTimeout);
		http::async_read(this->stream, this->buffer, *this->parser,
						 [self = this->shared_from_this()](const Error& _error, std::size_t)
						 {
							 self->timer.cancel();
							 if (_error)
							 {
								 self->rejectRequest(_error);
								 return;
							 }
							 self->handle();
						 });
	}

	void rejectRequest(const Error& _error)
	{
		this->requestKeepAlive = false;
		const std::string bodyLimit = std::to_string(this->limits.bodyBytes);
		const std::string headerLimit = std::to_string(this->limits.headerBytes);
		if (this->timedOut)
		{
			this->writeResponse(errorResponse(408, "request_timeout", "the request was not sent whole in time"));
		}
		else if (_error == http::error::body_limit)
		{
			this->writeResponse(errorResponse(413, "body_too_large", "body: must be at most " + bodyLimit + " bytes"));
		}
		else if (_error == http::error::header_limit)
		{
			this->writeResponse(
				errorResponse(431, "header_too_large", "header: must be at most " + headerLimit + " bytes"));
		}
		else if (_error.category() == http::make_error_code(http::error::bad_method).category() &&
				 _error != http::error::end_of_stream && _error != http::error::partial_message)
		{
			this->writeResponse(errorResponse(400, "bad_request", "the request is not valid HTTP"));
		}
		else
		{
			this->close();
		}
	}

	void handle()
	{
		auto message = this->parser->release();
		HttpRequest request;
		request.method = std::string(message.method_string());
		request.target = std::string(message.target());
		for (const auto& field : message)
		{
			request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
		}
		request.body = std::move(message.body());
		this->requestKeepAlive = message.keep_alive();
		this->answering = true;
		this->watchForDisconnect();
		this->shared->handler(std::move(request), this->shared_from_this());
	}

	/// Detects that the client closes the connection while its request is processed.
	void watchForDisconnect()
	{
		this->socket().async_wait(
			Tcp::socket::wait_read,
			[weak = this->weak_from_this(), requestNumber = this->requestNumber](const Error& _error)
			{
				const auto self = weak.lock();
				if (_error || self == nullptr || !self->answering || self->requestNumber != requestNumber)
				{
					return;
				}
				char byte = 0;
				Error error;
				self->socket().non_blocking(true, error);
				const std::size_t bytes =
					self->socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
				if (bytes == 0 && error != asio::error::would_block)
				{
					self->close();
				}
			});
	}

	void writeResponse(HttpResponse _response)
	{
		if (this->isClosed)
		{
			return;
		}
		http::response<http::string_body> message(static_cast<http::status>(_response.status), kHttpVersion);
		if (!_response.contentType.empty())
		{
			message.set(http::field::content_type, _response.contentType);
		}
		addHeaders(message, _response.headers);
		message.keep_alive(this->keepAlive());
		message.body() = std::move(_response.body);
		message.prepare_payload();
		this->response.emplace(std::move(message));
		http::async_write(this->stream, *this->response,
						  [self = this->shared_from_this()](const Error& _error, std::size_t)
						  { self->onResponseWritten(_error); });
	}

	void enqueue(std::string _data, bool _last)
	{
		if (this->isClosed)
		{
			return;
		}
		this->unsentBytes += _data.size();
		if (this->unsentBytes > this->limits.unsentBytes)
		{
			this->close();
			return;
		}
		this->chunks.emplace_back(std::move(_data), _last);
		if (this->chunks.size() == 1)
		{
			this->writeChunk();
		}
	}

	void writeChunk()
	{
		asio::async_write(this->stream, asio::buffer(this->chunks.front().first),
						  [self = this->shared_from_this()](const Error& _error, std::size_t)
						  { self->onChunkWritten(_error); });
	}

	void onChunkWritten(const Error& _error)
	{
		if (_error || this->isClosed)
		{
			this->close();
			return;
		}
		const bool last = this->chunks.front().second;
		const bool wasCongested = this->isCongested();
		this->unsentBytes -= this->chunks.front().first.size();
		this->chunks.pop_front();
		if (last)
		{
			this->onResponseWritten(_error);
			return;
		}
		if (!this->chunks.empty())
		{
			this->writeChunk();
		}
		if (wasCongested && !this->isCongested() && this->drainedHandler)
		{
			const auto handler = this->drainedHandler;
			handler();
		}
	}

	void onResponseWritten(const Error& _error)
	{
		this->answering = false;
		this->requestNumber += 1;
		this->disconnectHandler = nullptr;
		this->drainedHandler = nullptr;
		this->response.reset();
		if (_error || this->isClosed)
		{
			this->close();
			return;
		}
		if (!this->keepAlive())
		{
			this->linger();
			return;
		}
		this->awaitRequest();
	}

	/// Reads and discards data for up to kLingerTimeUs before closing. Closing a socket with unread data would reset
	/// the connection, and the client could lose the response.
	void linger()
	{
		Error ignored;
		this->socket().shutdown(Tcp::socket::shutdown_send, ignored);
		this->buffer.clear();
		this->armTimer(kLingerTimeUs);
		this->discard();
	}

	void discard()
	{
		this->socket().async_read_some(this->buffer.prepare(kDiscardSize),
									   [self = this->shared_from_this()](const Error& _error, std::size_t)
									   {
										   if (_error)
										   {
											   self->close();
											   return;
										   }
										   self->discard();
									   });
	}

	void close()
	{
		if (this->isClosed)
		{
			return;
		}
		this->isClosed = true;
		this->drainedHandler = nullptr;
		this->timer.cancel();
		Error ignored;
		this->socket().shutdown(Tcp::socket::shutdown_send, ignored);
		this->socket().close(ignored);
		if (auto function = std::exchange(this->disconnectHandler, nullptr))
		{
			function();
		}
	}

	Stream stream;
	std::shared_ptr<HttpServerState> shared;
	HttpServerLimits limits; ///< Limits that apply to the current request.
	asio::steady_timer timer;
	std::size_t threadIndex;
	beast::flat_buffer buffer;
	boost::optional<http::request_parser<ReceivedBody>> parser;
	boost::optional<http::response<http::string_body>> response;
	std::deque<std::pair<std::string, bool>> chunks;
	std::size_t unsentBytes = 0;
	std::function<void()> disconnectHandler;
	std::function<void()> drainedHandler;
	std::chrono::steady_clock::time_point idleSince;
	std::uint64_t requestNumber = 0;
	bool requestKeepAlive = false;
	bool answering = false;
	bool timedOut = false;
	bool isClosed = false;
};

} // namespace http_connection

} // namespace roadferry

#endif // ROADFERRY_HTTP_CONNECTION_H_HEADER_GUARD
