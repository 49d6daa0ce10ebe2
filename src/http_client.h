/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP client that never sends a request twice, and says whether any byte of it may have left.

#ifndef ROADFERRY_HTTP_CLIENT_H_HEADER_GUARD
#define ROADFERRY_HTTP_CLIENT_H_HEADER_GUARD

#include "http_types.h"
#include "io_pool.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace roadferry
{

/// How a call ended.
enum class CallResult
{
	Complete,   ///< The whole response arrived.
	NotSent,    ///< No byte of the request left.
	Interrupted ///< Bytes may have left, and the response did not arrive whole.
};

/// End of a call.
struct CallEnd
{
	CallResult result = CallResult::NotSent;
	unsigned status = 0;
	HttpHeaders headers;
	std::string body; ///< Empty when the body was handed over piece by piece.
	std::string error;
};

/// What to do with a response whose head has arrived.
enum class HeadVerdict
{
	Accept, ///< It answers this request.
	Skip    ///< It answers another request, which used the connection before: read past it.
};

/// One call to make.
struct CallSpec
{
	std::string address; ///< IP number and port.
	HttpRequest request;
	std::int64_t timeout = 0;        ///< Microseconds from now to the end of the response.
	std::int64_t connectTimeout = 0; ///< Microseconds for opening a connection, 0 for no limit of its own.
	/// End the call within about 3 s when the other machine is gone or the connection has fallen silent. For calls that
	/// may be made again: what is merely cut off for a while would still answer.
	bool detectDeadConnection = false;
	/// The timeout bounds how long nothing comes while this process runs: bytes that come begin it anew, and so does
	/// its end when it is noticed late, since then the process itself did not run.
	bool restartTimeoutOnData = false;
	bool forceNewConnection =
		false; ///< Use a connection of its own, so that a kept one that has gone stale cannot cut it.
	std::size_t maxIdleConnections = 64; ///< Idle connections to this address, this call's own included, that are kept.
	std::size_t maxResponseBytes = 64 * 1024 * 1024;
};

/// Called on the call's thread.
struct CallHandlers
{
	/// Head of a final response; where it is not set, every response is taken.
	std::function<HeadVerdict(unsigned _status, const HttpHeaders& _headers)> onHead;

	/// Piece of the body; where it is not set, the body is given with the end.
	std::function<void(const std::string&)> onData;
	std::function<void(const CallEnd&)> onEnd;
};

/// A call under way. Letting go of it does not end it.
class HttpCall
{
public:
	virtual ~HttpCall() = default;

	/// Closes the connection; onEnd is not called any more. On the call's thread only.
	virtual void cancel() = 0;
};

/// Calls endpoints from the threads of a pool, and keeps idle connections of each thread.
class HttpClient
{
public:
	explicit HttpClient(IoPool& _pool);
	~HttpClient();
	HttpClient(const HttpClient&) = delete;
	HttpClient& operator=(const HttpClient&) = delete;

	/// Begins a call. Must be called on the thread that is named.
	std::shared_ptr<HttpCall> call(std::size_t _thread, CallSpec _spec, CallHandlers _handlers);

private:
	struct Impl;
	std::unique_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_CLIENT_H_HEADER_GUARD
