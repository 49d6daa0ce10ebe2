/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP server with limits on header, body, connections and time to send a request.

#ifndef ROADFERRY_HTTP_SERVER_H_HEADER_GUARD
#define ROADFERRY_HTTP_SERVER_H_HEADER_GUARD

#include "http_types.h"
#include "io_pool.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace roadferry
{

/// What a server accepts.
struct HttpServerLimits
{
	std::size_t headerBytes = 16 * 1024;
	std::size_t bodyBytes = 4 * 1024 * 1024;
	std::size_t connections = 4'096;
	std::size_t unsentBytes = 4 * 1024 * 1024; ///< Of a stream; a caller that reads more slowly is cut off.
	std::int64_t headerTimeout = 10'000'000;  ///< Microseconds from the first byte of a request to the end of its head.
	std::int64_t requestTimeout = 10'000'000; ///< Microseconds from the first byte of a request to its last.
	std::int64_t idleTimeout = 60'000'000;    ///< Microseconds a kept connection may be silent.
};

/// Certificate of a listener; no TLS where both are empty.
struct TlsFiles
{
	std::string certificate; ///< Path of a PEM file.
	std::string key;         ///< Path of a PEM file.
};

/// Where the answer to one request goes. Its functions may be called from any thread.
class HttpReply
{
public:
	virtual ~HttpReply() = default;

	/// Sends a whole response.
	virtual void send(HttpResponse _response) = 0;

	/// Begins a response of unknown length.
	virtual void startStream(unsigned _status, HttpHeaders _headers) = 0;
	virtual void write(std::string _data) = 0;
	virtual void endStream() = 0;

	/// Ends the connection without an answer.
	virtual void abort() = 0;

	/// Calls a function, on the connection's thread, when the caller closes before it has its answer.
	virtual void onDisconnect(std::function<void()> _function) = 0;

	/// @returns Index of the connection's thread in the pool.
	[[nodiscard]] virtual std::size_t thread() const = 0;
};

/// Called on the connection's thread for each request.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

/// Listens on one address and spreads its connections over the threads of a pool.
class HttpServer
{
public:
	HttpServer(IoPool& _pool, HttpServerLimits _limits, TlsFiles _tls, HttpHandler _handler);
	~HttpServer();
	HttpServer(const HttpServer&) = delete;
	HttpServer& operator=(const HttpServer&) = delete;

	/// @param[in] _ip IP number to listen on.
	/// @param[in] _port Port, or 0 for one that is free.
	/// @returns Empty on success, otherwise what went wrong.
	std::string listen(const std::string& _ip, std::uint16_t _port);

	/// @returns Port that the server listens on.
	[[nodiscard]] std::uint16_t port() const;

	/// Uses other limits from the next request of each connection on. May be called from any thread.
	void setLimits(const HttpServerLimits& _limits);

	/// Closes each connection after its next answer, and those that stay silent; new ones are still taken.
	void closeAfterResponses();

	/// Refuses new connections; those that are open go on, and close after their answer.
	void stopAccepting();

	[[nodiscard]] std::size_t connections() const;

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_SERVER_H_HEADER_GUARD
