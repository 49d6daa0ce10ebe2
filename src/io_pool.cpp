/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of IoPool.

#include "io_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <thread>
#include <vector>

namespace roadferry
{

namespace
{

using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

struct Loop
{
	boost::asio::io_context context{1};
	WorkGuard workGuard = boost::asio::make_work_guard(context);
	std::thread thread;
};

/// Timer that restarts itself after each run.
struct PeriodicTimer : std::enable_shared_from_this<PeriodicTimer>
{
	PeriodicTimer(boost::asio::io_context& _context, std::int64_t _periodUs, std::function<void()> _function)
		: timer(_context), period(_periodUs), function(std::move(_function))
	{
	}

	void start()
	{
		this->timer.expires_after(this->period);
		this->timer.async_wait(
			[self = this->shared_from_this()](const boost::system::error_code& _error)
			{
				if (!_error)
				{
					self->function();
					self->start();
				}
			});
	}

	boost::asio::steady_timer timer;
	std::chrono::microseconds period;
	std::function<void()> function;
};

} // namespace

struct IoPool::Impl
{
	std::vector<std::unique_ptr<Loop>> loops;
};

IoPool::IoPool(std::size_t _threads) : impl(std::make_unique<Impl>())
{
	for (std::size_t index = 0; index < _threads; ++index)
	{
		auto loop = std::make_unique<Loop>();
		loop->thread = std::thread([context = &loop->context] { context->run(); });
		this->impl->loops.push_back(std::move(loop));
	}
}

IoPool::~IoPool()
{
	this->stop();
}

std::size_t IoPool::size() const
{
	return this->impl->loops.size();
}

boost::asio::io_context& IoPool::context(std::size_t _thread)
{
	return this->impl->loops.at(_thread)->context;
}

void IoPool::post(std::size_t _thread, std::function<void()> _function)
{
	boost::asio::post(this->context(_thread), std::move(_function));
}

void IoPool::runAfter(std::size_t _thread, std::int64_t _delayUs, std::function<void()> _function)
{
	auto timer =
		std::make_shared<boost::asio::steady_timer>(this->context(_thread), std::chrono::microseconds(_delayUs));
	timer->async_wait(
		[timer, function = std::move(_function)](const boost::system::error_code& _error)
		{
			if (!_error)
			{
				function();
			}
		});
}

void IoPool::runEvery(std::size_t _thread, std::int64_t _periodUs, std::function<void()> _function)
{
	auto periodic = std::make_shared<PeriodicTimer>(this->context(_thread), _periodUs, std::move(_function));
	this->post(_thread, [periodic] { periodic->start(); });
}

void IoPool::stop()
{
	for (auto& loop : this->impl->loops)
	{
		loop->context.stop();
	}
	for (auto& loop : this->impl->loops)
	{
		if (loop->thread.joinable())
		{
			loop->thread.join();
		}
	}
}

} // namespace roadferry
