/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP server with limits on the sizes of header and body, on connections and on the time to receive a request.

#ifndef ROADFERRY_HTTP_SERVER_H_HEADER_GUARD
#define ROADFERRY_HTTP_SERVER_H_HEADER_GUARD

#include "http_types.h"
#include "io_pool.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace roadferry
{

/// Limits of a server.
struct HttpServerLimits
{
	std::size_t headerBytes = 16 * 1024;
	std::size_t bodyBytes = 4 * 1024 * 1024;
	std::size_t connections = 4'096;
	/// Unsent data of a stream from which on it is congested, see HttpReply::isCongested().
	std::size_t congestedBytes = 64 * 1024;
	/// Maximum unsent data of a stream. The connection of a client that reads too slowly is closed.
	std::size_t unsentBytes = 4 * 1024 * 1024;
	std::int64_t headerTimeout = 10'000'000;  ///< Microseconds from the first byte of a request to the end of its head.
	std::int64_t requestTimeout = 10'000'000; ///< Microseconds from the end of the head of a request to its last byte.
	std::int64_t idleTimeout = 60'000'000;    ///< Microseconds that a connection may be idle between requests.
};

/// TLS files of a listener; TLS is off if both are empty.
struct TlsFiles
{
	std::string certificate; ///< Path of the certificate chain in PEM format.
	std::string key;         ///< Path of the private key in PEM format.
};

/// Response to one request. All functions may be called from any thread.
class HttpReply
{
public:
	virtual ~HttpReply() = default;

	/// Sends a complete response.
	virtual void send(HttpResponse _response) = 0;

	/// Starts a chunked response, whose length is unknown.
	virtual void startStream(unsigned _status, HttpHeaders _headers) = 0;
	virtual void write(std::string _data) = 0;
	virtual void endStream() = 0;

	/// Closes the connection without completing the response.
	virtual void abort() = 0;

	/// Sets a function to call when the connection closes before the response is complete. It runs on the thread of the
	/// connection, at once if the connection is closed already.
	virtual void onDisconnect(std::function<void()> _function) = 0;

	/// @returns Whether much of what was written is not sent yet, since the client reads slowly. Called on the thread
	/// of the connection.
	[[nodiscard]] virtual bool isCongested() const = 0;

	/// Sets a function to call, on the thread of the connection, whenever isCongested() ends.
	virtual void onDrained(std::function<void()> _function) = 0;

	/// @returns Index of the connection's thread in the pool.
	[[nodiscard]] virtual std::size_t thread() const = 0;
};

/// Called for each request, on the thread of its connection.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

/// Listens on one address and distributes the connections round robin over the threads of a pool.
class HttpServer
{
public:
	HttpServer(IoPool& _pool, HttpServerLimits _limits, TlsFiles _tls, HttpHandler _handler);
	~HttpServer();
	HttpServer(const HttpServer&) = delete;
	HttpServer& operator=(const HttpServer&) = delete;

	/// @param[in] _ip IP address to listen on.
	/// @param[in] _port Port, or 0 for any free port.
	/// @returns Empty on success, otherwise an error message.
	std::string listen(const std::string& _ip, std::uint16_t _port);

	/// @returns Port that the server listens on.
	[[nodiscard]] std::uint16_t port() const;

	/// Sets the limits, which apply from the next request of each connection on. May be called from any thread.
	void setLimits(const HttpServerLimits& _limits);

	/// Closes each connection after its next response, and idle connections after 1 s. New connections are still
	/// accepted.
	void closeAfterResponses();

	/// Stops accepting connections. Open connections close as after closeAfterResponses().
	void stopAccepting();

	/// @returns Number of connections that could not be accepted, for instance for lack of descriptors.
	[[nodiscard]] std::uint64_t acceptErrors() const;

	/// @returns Number of open connections.
	[[nodiscard]] std::size_t connections() const;

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_SERVER_H_HEADER_GUARD
