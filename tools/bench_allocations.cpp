/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Replaces the global allocation functions to count the allocations of the program that links this file.

#include "bench_report.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::uint64_t> s_count{0};
std::atomic<std::int64_t> s_liveBytes{0};

void* allocate(std::size_t _size)
{
	void* block = std::malloc(_size == 0 ? 1 : _size);
	if (block == nullptr)
	{
		throw std::bad_alloc();
	}
	s_count += 1;
	s_liveBytes += static_cast<std::int64_t>(malloc_usable_size(block));
	return block;
}

void deallocate(void* _block)
{
	if (_block != nullptr)
	{
		s_liveBytes -= static_cast<std::int64_t>(malloc_usable_size(_block));
		std::free(_block);
	}
}

} // namespace

void* operator new(std::size_t _size)
{
	return allocate(_size);
}

void* operator new[](std::size_t _size)
{
	return allocate(_size);
}

void operator delete(void* _block) noexcept
{
	deallocate(_block);
}

void operator delete[](void* _block) noexcept
{
	deallocate(_block);
}

void operator delete(void* _block, std::size_t) noexcept
{
	deallocate(_block);
}

void operator delete[](void* _block, std::size_t) noexcept
{
	deallocate(_block);
}

namespace roadferry
{

Allocations currentAllocations()
{
	return Allocations{s_count, s_liveBytes};
}

} // namespace roadferry
