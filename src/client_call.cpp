/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of a call of the HTTP client on Boost.Beast. Compiled as C++17.
///
/// QNetworkAccessManager is not used for calls to endpoints, since it resends a POST by itself when a reused connection
/// is closed during the request (docs/design/at-most-once.md).

#include "client_call.h"

#include "http_body.h"
#include "http_framing.h"
#include "tcp_address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

namespace roadferry
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kReadSize = 16 * 1024;

/// A timer that fires at least this late shows that the process was not running.
constexpr std::chrono::milliseconds kLateTimerThreshold{100};
constexpr int kMaxLateTimeouts = 3;   ///< Maximum restarts of the timeout of one call.
constexpr int kKeepaliveSeconds = 1;  ///< Idle time before the first TCP keepalive probe, and between two probes.
constexpr int kKeepaliveProbes = 2;   ///< Unanswered probes until the connection is closed.
constexpr int kUserTimeoutMs = 2'500; ///< Time that sent data may stay unacknowledged.
/// Time after the end of a connection within which its reset arrives if the remote host has closed it and takes no more
/// of the request. Longer than a round trip.
constexpr std::chrono::milliseconds kResetAfterEndTime{50};
constexpr std::uint64_t kNoBodyLimit = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kMaxSkippedBytes = 1024 * 1024; ///< Maximum bytes of a response that is skipped.
constexpr const char* kTooLong = "response is longer than the limit";
constexpr int kMaxSkippedResponses = 4; ///< Maximum responses that one call discards, interim ones included.

/// @returns Whether a connection is open at both ends, whatever has not been read from it yet.
bool isEstablished(Tcp::socket& _socket)
{
	tcp_info info{};
	socklen_t size = sizeof(info);
	return ::getsockopt(_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
		   info.tcpi_state == TCP_ESTABLISHED;
}

/// @returns Whether a connection has failed. The error is not reported again.
bool takeError(Tcp::socket& _socket)
{
	int error = 0;
	socklen_t size = sizeof(error);
	return ::getsockopt(_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

/// @returns Whether the remote host has not acknowledged all bytes that were sent to it.
bool hasUnacknowledgedBytes(Tcp::socket& _socket)
{
	int bytes = 0;
	return ::ioctl(_socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/// @returns Whether an error of a read shows that the remote host ended the connection.
bool isConnectionLoss(const Error& _error)
{
	return _error == asio::error::connection_reset || _error == asio::error::connection_aborted ||
		   _error == asio::error::broken_pipe || _error == asio::error::eof || _error == http::error::end_of_stream ||
		   _error == http::error::partial_message;
}

/// Enables or disables TCP keepalive and the TCP user timeout, which detect a remote host that is down whether or not
/// data is being sent.
void setKeepalive(Tcp::socket& _socket, bool _on)
{
	const int socket = _socket.native_handle();
	const auto set = [socket](int _level, int _option, int _value)
	{ ::setsockopt(socket, _level, _option, &_value, sizeof(_value)); };
	set(SOL_SOCKET, SO_KEEPALIVE, _on ? 1 : 0);
	set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveSeconds);
	set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveSeconds);
	set(IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
	set(IPPROTO_TCP, TCP_USER_TIMEOUT, _on ? kUserTimeoutMs : 0);
}

class Call final : public HttpCall, public std::enable_shared_from_this<Call>
{
public:
	Call(asio::io_context& _context, IdleSockets& _idle, CallSpec _spec, CallHandlers _handlers)
		: context(_context), idle(_idle), spec(std::move(_spec)), handlers(std::move(_handlers)), timer(_context),
		  connectTimer(_context), resetTimer(_context)
	{
	}

	void start()
	{
		this->prepare();
		this->armTimer();
		this->takeIdleConnection();
		if (this->socket != nullptr)
		{
			this->write();
			return;
		}
		if (this->spec.needsIdleOpenedBefore)
		{
			this->lacksIdleConnection = true;
			// Posted, since onEnd must not be called from start(), before the caller has the call.
			asio::post(this->context,
					   [self = this->shared_from_this()] { self->fail("no idle connection is old enough"); });
			return;
		}
		this->connect();
	}

	void cancel() override
	{
		this->done = true;
		this->handlers = CallHandlers{};
		this->closeSocket();
	}

	void setReading(bool _on) override
	{
		this->isReading = _on;
		if (_on && !this->done && std::exchange(this->readIsDue, false))
		{
			this->read();
		}
	}

	[[nodiscard]] std::int64_t connectionOpenedAt() const override
	{
		return this->openedAt;
	}

	[[nodiscard]] bool isConnectionOpen() const override
	{
		return !this->done && this->openedAt > 0 && isEstablished(*this->socket);
	}

private:
	void takeIdleConnection()
	{
		IdleSocket kept;
		if (!this->spec.forceNewConnection && this->spec.idleOpenedBefore > 0)
		{
			kept = takeIdle(this->idle, this->spec.address, this->spec.idleOpenedBefore);
		}
		if (!this->spec.forceNewConnection && !this->spec.needsIdleOpenedBefore && kept.socket == nullptr)
		{
			kept = takeIdle(this->idle, this->spec.address, std::numeric_limits<std::int64_t>::max());
		}
		this->openedAt = kept.openedAt;
		this->socket = std::move(kept.socket);
	}

	void prepare()
	{
		this->request.method_string(this->spec.request.method);
		this->request.target(this->spec.request.target);
		this->request.version(kHttpVersion);
		this->request.set(http::field::host, this->spec.address);
		for (const auto& header : this->spec.request.headers)
		{
			if (beast::iequals(header.first, "host"))
			{
				this->request.set(http::field::host, header.second);
				continue;
			}
			this->request.insert(header.first, header.second);
		}
		this->request.keep_alive(true);
		this->request.body() = std::move(this->spec.request.body);
		this->request.prepare_payload();
		this->resetParser();
	}

	void resetParser()
	{
		this->parser.emplace();
		this->parser->body_limit(this->handlers.onData ? kNoBodyLimit : this->spec.maxResponseBytes);
	}

	void armTimer()
	{
		const std::int64_t limit = this->awaitsLate() ? this->spec.lateAfter : this->spec.timeout - this->reportedAfter;
		this->timer.expires_after(std::chrono::microseconds(std::max<std::int64_t>(0, limit)));
		this->timer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (!_error)
				{
					self->onTimeout();
				}
			});
	}

	/// @returns Whether the next expiry of the timer reports the response as late.
	[[nodiscard]] bool awaitsLate() const
	{
		return this->spec.lateAfter > 0 && this->reportedAfter == 0;
	}

	/// Ends the call or reports it as late, or restarts the timeout if this process was not running when it expired.
	/// The error tells a slow response from a stalled process.
	void onTimeout()
	{
		const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->timer.expiry());
		if (this->spec.restartTimeoutOnData && delay >= kLateTimerThreshold && this->lateTimeouts < kMaxLateTimeouts &&
			!this->done)
		{
			this->lateTimeouts += 1;
			this->armTimer();
			return;
		}
		if (this->awaitsLate() && !this->done)
		{
			this->reportedAfter = this->spec.lateAfter;
			this->armTimer();
			const auto handler = this->handlers.onLate;
			if (handler)
			{
				handler();
			}
			return;
		}
		this->timedOut = true;
		this->fail("timed out after " + std::to_string(this->receivedBytes) + " bytes, noticed " +
				   std::to_string(delay.count()) + " ms late");
	}

	void connect()
	{
		const std::optional<Tcp::endpoint> endpoint = parseTcpAddress(this->spec.address);
		if (!endpoint)
		{
			// Posted, since onEnd must not be called from start(), before the caller has the call.
			asio::post(this->context, [self = this->shared_from_this()] { self->fail("address is not IP:port"); });
			return;
		}
		this->socket = std::make_unique<Tcp::socket>(this->context);
		this->armConnectTimer();
		this->socket->async_connect(*endpoint,
									[self = this->shared_from_this()](const Error& _error)
									{
										self->connectTimer.cancel();
										if (self->done)
										{
											return;
										}
										if (_error)
										{
											self->fail(_error.message());
											return;
										}
										self->openedAt = microsNow();
										Error ignored;
										self->socket->set_option(Tcp::no_delay(true), ignored);
										if (self->handlers.onConnected)
										{
											self->handlers.onConnected();
										}
										self->write();
									});
	}

	void armConnectTimer()
	{
		if (this->spec.connectTimeout <= 0)
		{
			return;
		}
		this->connectTimer.expires_after(std::chrono::microseconds(this->spec.connectTimeout));
		this->connectTimer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (!_error)
				{
					self->fail("connecting timed out");
				}
			});
	}

	/// Writes the request and reads in parallel, since a server may respond before it has read a long body.
	void write()
	{
		this->maybeSent = true;
		setKeepalive(*this->socket, this->spec.detectDeadConnection);
		http::async_write(*this->socket, this->request,
						  [self = this->shared_from_this()](const Error& _error, std::size_t _bytes)
						  { self->onWritten(_error, _bytes); });
		this->read();
	}

	void onWritten(const Error& _error, std::size_t _bytes)
	{
		this->writing = false;
		if (this->done || !_error)
		{
			return;
		}
		this->writeFailed = true;
		if (_bytes == 0 && !this->parser->got_some())
		{
			this->maybeSent = false;
			this->fail(_error.message());
		}
		// Otherwise a response may still arrive; the read reports it or fails.
	}

	void read()
	{
		if (!this->isReading)
		{
			this->readIsDue = true;
			return;
		}
		http::async_read_some(*this->socket, this->buffer, *this->parser,
							  [self = this->shared_from_this()](const Error& _error, std::size_t _bytes)
							  {
								  self->receivedBytes += _bytes;
								  if (_bytes > 0 && self->spec.restartTimeoutOnData && !self->done)
								  {
									  self->armTimer();
								  }
								  self->onRead(_error);
							  });
	}

	void onRead(const Error& _error)
	{
		if (this->done)
		{
			return;
		}
		if (_error)
		{
			this->connectionLost = isConnectionLoss(_error);
			this->fail(_error == http::error::body_limit ? kTooLong : _error.message());
			return;
		}
		if (this->parser->is_header_done() && !this->headHandled)
		{
			this->handleHead();
		}
		if (this->done)
		{
			return;
		}
		if (this->headHandled && this->exceedsLimit())
		{
			this->fail(kTooLong);
			return;
		}
		if (this->headHandled && this->skipping)
		{
			this->discardData();
		}
		else if (this->headHandled && this->handlers.onData)
		{
			this->deliverData();
		}
		else if (this->headHandled && this->handlers.onBuffered)
		{
			const auto handler = this->handlers.onBuffered;
			handler(this->parser->get().body().size());
		}
		if (this->done)
		{
			return;
		}
		if (!this->parser->is_done())
		{
			this->read();
			return;
		}
		if (this->skipping)
		{
			this->readNextResponse();
			return;
		}
		if (this->parser->need_eof())
		{
			this->endWithConnection();
			return;
		}
		this->complete();
	}

	/// Ends a call whose response ends with the connection. It is whole only if the connection was not reset. The read
	/// does not tell that if a pending write got the error, or if the reset comes after the end.
	void endWithConnection()
	{
		const bool isReset = takeError(*this->socket) || this->writeFailed;
		if (isReset)
		{
			this->connectionLost = true;
			this->fail("connection was reset before all of the request was received");
			return;
		}
		const bool mayBeReset = this->writing || hasUnacknowledgedBytes(*this->socket);
		if (mayBeReset && !this->awaitsReset)
		{
			this->awaitReset();
			return;
		}
		this->complete();
	}

	void awaitReset()
	{
		this->awaitsReset = true;
		this->resetTimer.expires_after(kResetAfterEndTime);
		this->resetTimer.async_wait(
			[self = this->shared_from_this()](const Error& _error)
			{
				if (!_error && !self->done)
				{
					self->endWithConnection();
				}
			});
	}

	/// Checks the head of a response, and decides whether it is the one to this request.
	void handleHead()
	{
		const unsigned status = this->parser->get().result_int();
		const StatusKind kind = kindOfStatus(status);
		if (kind == StatusKind::Invalid)
		{
			this->fail("status " + std::to_string(status) + " is not valid");
			return;
		}
		if (hasAmbiguousLength(this->parser->get()))
		{
			this->fail("length or transfer coding of the response is not clear");
			return;
		}
		this->headHandled = true;
		// An eager parser reads until the end of the message and would delay the data of a stream. None is before the
		// head is handled, since it adds the fields of a trailer to those of the head.
		this->parser->eager(!this->handlers.onData);
		this->fields = this->headers();
		if (kind == StatusKind::Interim)
		{
			this->skipping = true;
			return;
		}
		const auto handler = this->handlers.onHead;
		this->skipping = handler && handler(status, this->fields) == HeadVerdict::Skip;
	}

	/// @returns Whether a body that is kept is, or is announced to be, longer than allowed. The parser checks
	/// the same, but an eager one of Beast 1.74 passes over its limit at times.
	[[nodiscard]] bool exceedsLimit()
	{
		if (this->skipping || this->handlers.onData)
		{
			return false;
		}
		const std::uint64_t announced = this->parser->content_length().value_or(0);
		return std::max<std::uint64_t>(announced, this->parser->get().body().size()) > this->spec.maxResponseBytes;
	}

	/// Reads the next response after one that was skipped.
	void readNextResponse()
	{
		this->skippedResponses += 1;
		if (this->skippedResponses > kMaxSkippedResponses || !this->parser->get().keep_alive())
		{
			this->fail("no answer to this request on its connection");
			return;
		}
		this->resetParser();
		this->headHandled = false;
		this->skipping = false;
		this->read();
	}

	[[nodiscard]] HttpHeaders headers()
	{
		HttpHeaders result;
		for (const auto& field : this->parser->get())
		{
			result.emplace_back(std::string(field.name_string()), std::string(field.value()));
		}
		return result;
	}

	/// Drops the body of a response that is skipped, and ends the call if it is too long.
	void discardData()
	{
		std::string& body = this->parser->get().body();
		this->skippedBytes += body.size();
		body.clear();
		if (this->skippedBytes > kMaxSkippedBytes)
		{
			this->fail("response to another request does not end");
		}
	}

	void deliverData()
	{
		std::string& body = this->parser->get().body();
		if (body.empty())
		{
			return;
		}
		const std::string piece = std::exchange(body, std::string());
		const auto handler = this->handlers.onData;
		handler(piece);
	}

	void complete()
	{
		CallEnd end;
		end.result = CallResult::Complete;
		end.status = this->parser->get().result_int();
		end.headers = std::move(this->fields);
		end.body = std::move(this->parser->get().body());
		end.endsWithConnection = this->parser->need_eof();
		end.connectionOpenedAt = this->openedAt;
		// A connection on which the request is only partly written cannot be reused.
		const bool requestWritten = !this->writing && !this->writeFailed;
		const bool keep = requestWritten && this->parser->get().keep_alive() && this->buffer.size() == 0;
		auto& sockets = this->idle[this->spec.address];
		if (keep && sockets.size() < this->spec.maxIdleConnections)
		{
			const auto lifetime = idleLifetime(std::string(this->parser->get()[http::field::keep_alive]));
			sockets.push_back(IdleSocket{std::move(this->socket), Clock::now() + lifetime, this->openedAt});
		}
		this->finish(end);
	}

	void fail(const std::string& _error)
	{
		if (this->done)
		{
			return;
		}
		CallEnd end;
		end.result = this->maybeSent ? CallResult::Interrupted : CallResult::NotSent;
		end.error = _error;
		end.timedOut = this->timedOut;
		end.connectionLost = this->connectionLost;
		end.endsWithConnection = this->headHandled && this->parser->need_eof();
		end.lacksIdleConnection = this->lacksIdleConnection;
		end.connectionOpenedAt = this->openedAt;
		this->finish(end);
	}

	void finish(const CallEnd& _end)
	{
		this->done = true;
		this->closeSocket();
		const auto handler = std::exchange(this->handlers, CallHandlers{}).onEnd;
		if (handler)
		{
			handler(_end);
		}
	}

	void closeSocket()
	{
		this->timer.cancel();
		this->connectTimer.cancel();
		this->resetTimer.cancel();
		if (this->socket != nullptr)
		{
			Error ignored;
			this->socket->close(ignored);
		}
	}

	asio::io_context& context;
	IdleSockets& idle;
	CallSpec spec;
	CallHandlers handlers;
	asio::steady_timer timer;
	asio::steady_timer connectTimer;
	asio::steady_timer resetTimer;
	std::unique_ptr<Tcp::socket> socket;
	http::request<http::string_body> request;
	boost::optional<http::response_parser<ReceivedBody>> parser;
	beast::flat_buffer buffer{kReadSize * 4};
	HttpHeaders fields;        ///< Of the head of the current response.
	std::int64_t openedAt = 0; ///< When the connection was opened, in microseconds of the monotonic clock.
	int skippedResponses = 0;
	std::size_t skippedBytes = 0;
	std::size_t receivedBytes = 0; ///< Bytes of responses, including skipped ones.
	int lateTimeouts = 0;          ///< Timeouts that fired late and were restarted.
	bool maybeSent = false;        ///< Bytes of the request may have been sent.
	bool writing = true;           ///< The request is not completely written yet.
	bool writeFailed = false;
	bool headHandled = false; ///< The head of the current response was processed.
	bool skipping = false;    ///< The current response is an interim one or belongs to another request.
	bool awaitsReset = false; ///< The connection has ended and may be reset, see endWithConnection().
	bool connectionLost = false;
	bool timedOut = false;
	bool isReading = true;
	bool readIsDue = false;           ///< The next read waits until it is allowed.
	std::int64_t reportedAfter = 0;   ///< Time after which the response was reported as late, 0 if it was not.
	bool lacksIdleConnection = false; ///< There is no idle connection that the call may use.
	bool done = false;
};

} // namespace

std::shared_ptr<HttpCall> startClientCall(asio::io_context& _context, IdleSockets& _idle, CallSpec _spec,
										  CallHandlers _handlers)
{
	auto call = std::make_shared<Call>(_context, _idle, std::move(_spec), std::move(_handlers));
	call->start();
	return call;
}

} // namespace roadferry
