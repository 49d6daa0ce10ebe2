/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of PoolStreams.

#include "pool_streams.h"

namespace roadferry
{

void PoolStreams::noteUnmarkedEnd(const std::string& _pool, Micros _now)
{
	this->needsOverlapAt[_pool] = _now;
}

void PoolStreams::noteSparseIds(const std::string& _pool, Micros _now)
{
	this->needsOverlapAt[_pool] = _now;
}

bool PoolStreams::mustOverlap(const std::string& _pool, Micros _now) const
{
	const auto found = this->needsOverlapAt.find(_pool);
	return found != this->needsOverlapAt.end() && _now - found->second < kMemory;
}

} // namespace roadferry
