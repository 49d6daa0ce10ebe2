/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Pool of I/O threads, each with its own event loop.

#ifndef ROADFERRY_IO_POOL_H_HEADER_GUARD
#define ROADFERRY_IO_POOL_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace roadferry
{

/// Fixed number of threads; each runs one event loop until the pool is stopped.
class IoPool
{
public:
	explicit IoPool(std::size_t _threads);
	~IoPool();
	IoPool(const IoPool&) = delete;
	IoPool& operator=(const IoPool&) = delete;

	[[nodiscard]] std::size_t size() const;
	[[nodiscard]] boost::asio::io_context& context(std::size_t _thread);

	/// Queues a function to run on a thread.
	void post(std::size_t _thread, std::function<void()> _function);

	/// Runs a function on a thread after a delay.
	/// @param[in] _delayUs Delay in microseconds.
	void runAfter(std::size_t _thread, std::int64_t _delayUs, std::function<void()> _function);

	/// Runs a function on a thread periodically until the pool is stopped.
	/// @param[in] _periodUs Time from the end of a run to the start of the next in microseconds.
	void runEvery(std::size_t _thread, std::int64_t _periodUs, std::function<void()> _function);

	/// Stops all event loops and joins the threads. Functions that are still queued do not run.
	void stop();

private:
	struct Impl;
	std::unique_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_IO_POOL_H_HEADER_GUARD
