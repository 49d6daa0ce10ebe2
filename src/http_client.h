/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP client that never resends a request by itself and reports whether any byte of it may have been sent.

#ifndef ROADFERRY_HTTP_CLIENT_H_HEADER_GUARD
#define ROADFERRY_HTTP_CLIENT_H_HEADER_GUARD

#include "http_types.h"
#include "io_pool.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace roadferry
{

/// Result of a call.
enum class CallResult
{
	Complete,   ///< The whole response arrived.
	NotSent,    ///< No byte of the request was sent.
	Interrupted ///< Bytes may have been sent, and the response is incomplete.
};

/// Outcome of a call, with the response if there is one.
struct CallEnd
{
	CallResult result = CallResult::NotSent;
	unsigned status = 0;
	HttpHeaders headers;
	std::string body; ///< Empty when the body was passed to CallHandlers::onData.
	std::string error;
	bool timedOut = false;       ///< CallSpec::timeout has passed.
	bool connectionLost = false; ///< The remote host closed or reset the connection before the end of the response.
	/// The response has neither a length nor chunks, so the end of the connection is its only end.
	bool endsWithConnection = false;
	bool lacksIdleConnection = false;    ///< Nothing was sent, see CallSpec::needsIdleOpenedBefore.
	std::int64_t connectionOpenedAt = 0; ///< Time point at which its connection was opened, 0 if none was.
	std::string madeBy = {};             ///< Address of the node that made the call, empty if this one did.
};

/// Result of opening a connection without sending anything.
enum class ProbeResult
{
	Accepted, ///< A process listens at the address.
	Refused,  ///< The host is up, and no process listens at the address.
	NoAnswer  ///< The host is down or cannot be reached.
};

/// Decision on a response whose head has arrived.
enum class HeadVerdict
{
	Accept, ///< The response belongs to this request.
	Skip    ///< The response belongs to an earlier request on the connection and is discarded.
};

/// Parameters of one call.
struct CallSpec
{
	std::string address; ///< IP address and port.
	HttpRequest request;
	std::int64_t timeout = 0;        ///< Microseconds from the start of the call to the end of the response.
	std::int64_t connectTimeout = 0; ///< Microseconds to open a connection; 0 for no separate limit.
	/// Microseconds without data after which CallHandlers::onLate is called and the call goes on; 0 for never. Less
	/// than the timeout.
	std::int64_t lateAfter = 0;
	/// Ends the call within about 3 s when the remote host is down or the connection is dead. Only for calls that may
	/// be repeated, since a host that is unreachable for a short time would still respond.
	bool detectDeadConnection = false;
	/// Restarts the timeout whenever data arrives, so that it limits inactivity and not the whole call. The timeout
	/// also restarts when its timer fires late, since this process was then not running.
	bool restartTimeoutOnData = false;
	/// Opens a new connection, so that a stale idle one cannot interrupt the call.
	bool forceNewConnection = false;
	/// Time point; idle connections that were opened at or before it are preferred. 0 for no preference.
	std::int64_t idleOpenedBefore = 0;
	/// Uses only such a connection. Without one the call ends as not sent.
	bool needsIdleOpenedBefore = false;
	/// Maximum idle connections kept to this address, including the connection of this call.
	std::size_t maxIdleConnections = 64;
	/// Maximum size of a response body that is kept for CallEnd. A body that is passed to CallHandlers::onData is
	/// limited by its receiver.
	std::size_t maxResponseBytes = 64 * 1024 * 1024;
};

/// Callbacks of a call, invoked on the thread of the call.
struct CallHandlers
{
	/// Called when a new connection is open; not for a call on an idle one.
	std::function<void()> onConnected;

	/// Receives the head of a final response. If not set, every response is accepted.
	std::function<HeadVerdict(unsigned _status, const HttpHeaders& _headers)> onHead;

	/// Receives the body in parts as it arrives. If not set, the body is in CallEnd.
	std::function<void(const std::string&)> onData;

	/// Called when the part of the body that is kept for CallEnd has grown to this size.
	std::function<void(std::size_t _bytes)> onBuffered;

	/// Called once when the response is late, see CallSpec::lateAfter.
	std::function<void()> onLate;
	std::function<void(const CallEnd&)> onEnd;
};

/// A call in progress. Releasing it does not end the call.
class HttpCall
{
public:
	virtual ~HttpCall() = default;

	/// Closes the connection; onEnd is not called afterwards. Must be called on the thread of the call.
	virtual void cancel() = 0;

	/// Stops reading the response, so that its sender waits, or goes on. Has no effect on a call that another node
	/// makes. Must be called on the thread of the call.
	virtual void setReading(bool _on) = 0;

	/// @returns Time point at which its connection was opened, 0 while there is none or if another node opened it.
	[[nodiscard]] virtual std::int64_t connectionOpenedAt() const = 0;

	/// @returns Whether its connection is open, and the remote host has not ended it even if that was not read yet.
	[[nodiscard]] virtual bool isConnectionOpen() const = 0;
};

/// Sends requests from the threads of a pool and keeps idle connections for each thread.
class HttpClient
{
public:
	explicit HttpClient(IoPool& _pool);
	~HttpClient();
	HttpClient(const HttpClient&) = delete;
	HttpClient& operator=(const HttpClient&) = delete;

	/// Starts a call.
	/// @param[in] _thread Index of the thread of the call, which must be the calling thread.
	/// @param[in] _spec Parameters of the call.
	/// @param[in] _handlers Callbacks.
	/// @returns The call in progress.
	std::shared_ptr<HttpCall> call(std::size_t _thread, CallSpec _spec, CallHandlers _handlers);

	/// Opens a connection to an address and closes it at once.
	/// @param[in] _thread Index of the thread of the probe, which must be the calling thread.
	/// @param[in] _timeout Time for the connection to open, in microseconds.
	/// @param[in] _done Called on that thread.
	void probe(std::size_t _thread, const std::string& _address, std::int64_t _timeout,
			   std::function<void(ProbeResult)> _done);

	/// @param[in] _thread Index of the thread that opened it, which must be the calling thread.
	/// @param[in] _openedBefore Time point.
	/// @returns Whether there is an idle connection to an address that was opened at or before that time.
	[[nodiscard]] bool hasIdle(std::size_t _thread, const std::string& _address, std::int64_t _openedBefore) const;

	/// Opens a connection to an address and keeps it idle. Nothing is reported if that fails.
	/// @param[in] _thread Index of the thread that uses it, which must be the calling thread.
	/// @param[in] _timeout Time for the connection to open, in microseconds.
	/// @param[in] _maxIdleConnections Maximum idle connections kept to this address.
	void openIdle(std::size_t _thread, const std::string& _address, std::int64_t _timeout,
				  std::size_t _maxIdleConnections);

	/// Closes the idle connections to an address.
	/// @param[in] _thread Index of the thread that opened them, which must be the calling thread.
	void closeIdle(std::size_t _thread, const std::string& _address);

	/// @returns Number of idle connections, as of the last second. May be called from any thread.
	[[nodiscard]] std::size_t idleConnections() const;

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_CLIENT_H_HEADER_GUARD
