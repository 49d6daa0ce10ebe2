/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the HTTP client: its idle connections, by thread. Compiled as C++17.

#include "http_client.h"

#include "bare_connections.h"
#include "client_call.h"
#include "idle_sockets.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <utility>
#include <vector>

namespace roadferry
{

namespace
{

constexpr std::int64_t kIdleCheckPeriodUs = 1'000'000; ///< Bounds how long a closed idle connection stays open here.

} // namespace

struct HttpClient::Impl
{
	explicit Impl(IoPool& _pool) : pool(_pool), idle(_pool.size()), idleCounts(_pool.size())
	{
	}

	void closeUnusable(std::size_t _thread)
	{
		roadferry::closeUnusable(this->idle[_thread]);
		this->idleCounts[_thread] = countIdle(this->idle[_thread]);
	}

	IoPool& pool;
	std::vector<IdleSockets> idle;                    ///< Idle connections, by thread.
	std::vector<std::atomic<std::size_t>> idleCounts; ///< As of the last look, by thread.
};

HttpClient::HttpClient(IoPool& _pool) : impl(std::make_shared<Impl>(_pool))
{
	for (std::size_t thread = 0; thread < _pool.size(); ++thread)
	{
		_pool.runEvery(thread, kIdleCheckPeriodUs,
					   [weak = std::weak_ptr<Impl>(this->impl), thread]
					   {
						   if (const std::shared_ptr<Impl> impl = weak.lock())
						   {
							   impl->closeUnusable(thread);
						   }
					   });
	}
}

void HttpClient::closeIdle(std::size_t _thread, const std::string& _address)
{
	this->impl->idle.at(_thread).erase(_address);
}

bool HttpClient::hasIdle(std::size_t _thread, const std::string& _address, std::int64_t _openedBefore) const
{
	const IdleSockets& idle = this->impl->idle.at(_thread);
	const auto found = idle.find(_address);
	return found != idle.end() && std::any_of(found->second.begin(), found->second.end(),
											  [&](const IdleSocket& _kept) {
												  return _kept.openedAt <= _openedBefore &&
														 Clock::now() < _kept.expiresAt && isReusable(*_kept.socket);
											  });
}

void HttpClient::openIdle(std::size_t _thread, const std::string& _address, std::int64_t _timeout,
						  std::size_t _maxIdleConnections)
{
	openIdleConnection(this->impl->pool.context(_thread), this->impl->idle.at(_thread), _address,
					   std::chrono::microseconds(_timeout), _maxIdleConnections);
}

std::size_t HttpClient::idleConnections() const
{
	std::size_t count = 0;
	for (const std::atomic<std::size_t>& idleCount : this->impl->idleCounts)
	{
		count += idleCount;
	}
	return count;
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::call(std::size_t _thread, CallSpec _spec, CallHandlers _handlers)
{
	return startClientCall(this->impl->pool.context(_thread), this->impl->idle.at(_thread), std::move(_spec),
						   std::move(_handlers));
}

void HttpClient::probe(std::size_t _thread, const std::string& _address, std::int64_t _timeout,
					   std::function<void(ProbeResult)> _done)
{
	probeAddress(this->impl->pool.context(_thread), _address, std::chrono::microseconds(_timeout), std::move(_done));
}

} // namespace roadferry
