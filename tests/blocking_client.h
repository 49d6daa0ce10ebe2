/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP client for tests whose calls block until they end.

#ifndef ROADFERRY_BLOCKING_CLIENT_H_HEADER_GUARD
#define ROADFERRY_BLOCKING_CLIENT_H_HEADER_GUARD

#include "http_client.h"

#include <chrono>
#include <future>
#include <limits>

namespace roadferry
{

inline constexpr std::int64_t kTimeout = 10'000'000; ///< Microseconds.

/// Blocks the calling thread.
inline void sleepFor(std::chrono::milliseconds _time)
{
	std::promise<void> never;
	never.get_future().wait_for(_time);
}

/// Client whose calls block until they end.
class BlockingClient
{
public:
	/// @param[in] _expectedId Responses with another X-Id are skipped; empty to accept all.
	CallEnd call(const std::string& _address, const std::string& _expectedId = {}, const std::string& _body = {},
				 std::function<void(const std::string&)> _onData = {})
	{
		std::promise<CallEnd> promise;
		CallSpec spec;
		spec.address = _address;
		spec.timeout = this->timeout;
		spec.restartTimeoutOnData = this->restartTimeoutOnData;
		spec.maxIdleConnections = this->maxIdleConnections;
		spec.detectDeadConnection = this->detectDeadConnection;
		spec.forceNewConnection = this->forceNewConnection;
		spec.idleOpenedBefore = this->idleOpenedBefore;
		spec.needsIdleOpenedBefore = this->needsIdleOpenedBefore;
		spec.request.method = _body.empty() ? "GET" : "POST";
		spec.request.body = _body;
		this->pool.post(0,
						[&]
						{
							CallHandlers handlers;
							// Posted, so that the request is being sent when it runs.
							handlers.onConnected = [&] { this->pool.post(0, this->onSending); };
							if (this->handlesHead)
							{
								handlers.onHead = [_expectedId](unsigned, const HttpHeaders& _headers)
								{
									const std::string id = headerValue(_headers, "X-Id");
									return _expectedId.empty() || id == _expectedId ? HeadVerdict::Accept
																					: HeadVerdict::Skip;
								};
							}
							handlers.onData = _onData;
							handlers.onEnd = [&](const CallEnd& _end) { promise.set_value(_end); };
							this->client.call(0, spec, std::move(handlers));
						});
		this->pool.post(0, [pause = this->pauseAfterSending] { sleepFor(pause); });
		return promise.get_future().get();
	}

	/// Opens an idle connection and waits for it.
	void openIdle(const std::string& _address)
	{
		this->pool.post(0, [&] { this->client.openIdle(0, _address, kTimeout, 1); });
		while (!this->hasIdle(_address, std::numeric_limits<std::int64_t>::max()))
		{
			sleepFor(std::chrono::milliseconds(1));
		}
	}

	bool hasIdle(const std::string& _address, std::int64_t _openedBefore)
	{
		std::promise<bool> promise;
		this->pool.post(0, [&] { promise.set_value(this->client.hasIdle(0, _address, _openedBefore)); });
		return promise.get_future().get();
	}

	bool handlesHead = true;
	bool forceNewConnection = false;
	std::int64_t idleOpenedBefore = 0;
	bool needsIdleOpenedBefore = false;
	std::size_t maxIdleConnections = CallSpec{}.maxIdleConnections;
	std::int64_t timeout = kTimeout; ///< Microseconds.
	bool restartTimeoutOnData = false;
	bool detectDeadConnection = false;
	std::chrono::milliseconds pauseAfterSending{0}; ///< How long the client's thread is blocked.
	/// Runs on the client's thread, which it may block, when a request is being sent on a new connection.
	std::function<void()> onSending = [] {};

private:
	IoPool pool{1};
	HttpClient client{pool};
};

} // namespace roadferry

#endif // ROADFERRY_BLOCKING_CLIENT_H_HEADER_GUARD
