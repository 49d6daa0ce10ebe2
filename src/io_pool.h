/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Traffic threads, each with an event loop of its own.

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

/// A fixed number of threads, each running one event loop until the pool is stopped.
class IoPool
{
public:
	explicit IoPool(std::size_t _threads);
	~IoPool();
	IoPool(const IoPool&) = delete;
	IoPool& operator=(const IoPool&) = delete;

	[[nodiscard]] std::size_t size() const;
	[[nodiscard]] boost::asio::io_context& context(std::size_t _thread);

	/// Runs a function on a thread.
	void post(std::size_t _thread, std::function<void()> _function);

	/// Runs a function on a thread after some time.
	/// @param[in] _delayUs Microseconds.
	void runAfter(std::size_t _thread, std::int64_t _delayUs, std::function<void()> _function);

	/// Runs a function on a thread again and again until the pool is stopped.
	/// @param[in] _periodUs Time between two runs in microseconds.
	void runEvery(std::size_t _thread, std::int64_t _periodUs, std::function<void()> _function);

	/// Ends all loops and joins the threads.
	void stop();

private:
	struct Impl;
	std::unique_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_IO_POOL_H_HEADER_GUARD
