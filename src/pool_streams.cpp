/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of PoolStreams.

#include "pool_streams.h"

#include <algorithm>

namespace roadferry
{

namespace
{

/// Ends among which one early end is enough to doubt all of a pool: a caller loses far more by a stream that passes for
/// whole without its rest than by one that is broken off after its last event, which can be taken up.
constexpr std::int64_t kEndsPerEarlyEnd = 200;
/// Early ends are spread over the events of a stream: at most one in this many comes right after the same event.
constexpr std::int64_t kEarlyEndSpread = 16;
constexpr std::size_t kMaxSoundEnds = 512; ///< Different last events of a pool's streams that are counted.
/// A single run that agrees is a good witness where hardly any end is early.
constexpr std::int64_t kTrustedRuns = 2;
/// Two runs can end early at the same event: of streams of 4 to 50 events, about one in 100 that end early. Three
/// hardly ever.
constexpr std::int64_t kDoubtedRuns = 3;

/// Forgets half of what was counted, and what was seen once.
void halveCounts(std::map<std::uint64_t, std::int64_t>& _counts)
{
	for (auto& entry : _counts)
	{
		entry.second /= 2;
	}
	std::erase_if(_counts, [](const auto& _entry) { return _entry.second == 0; });
}

} // namespace

void PoolStreams::noteUnmarkedEnd(const std::string& _pool, Micros _now)
{
	this->pools[_pool].needsOverlapAt = _now;
}

void PoolStreams::noteSparseIds(const std::string& _pool, Micros _now)
{
	this->pools[_pool].needsOverlapAt = _now;
}

bool PoolStreams::mustOverlap(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	const bool isKnown = found != this->pools.end() && found->second.needsOverlapAt.has_value();
	return isKnown && _now - *found->second.needsOverlapAt < kMemory;
}

/// Forgets ends that were counted long ago.
void PoolStreams::renewCounts(Pool& _pool, Micros _now)
{
	const Micros age = _now - _pool.countsSince;
	if (age < kMemory)
	{
		return;
	}
	_pool.countsBefore = age < 2 * kMemory ? _pool.counts : EndCounts{};
	_pool.counts = EndCounts{};
	_pool.countsSince = _now;
	halveCounts(_pool.soundEnds);
}

void PoolStreams::noteSoundEnd(const std::string& _pool, std::uint64_t _lastEvent, Micros _now)
{
	Pool& pool = this->pools[_pool];
	renewCounts(pool, _now);
	pool.soundEnds[_lastEvent] += 1;
	while (pool.soundEnds.size() > kMaxSoundEnds)
	{
		halveCounts(pool.soundEnds);
	}
}

void PoolStreams::noteConfirmedEnd(const std::string& _pool, std::uint64_t _lastEvent, Micros _now)
{
	Pool& pool = this->pools[_pool];
	renewCounts(pool, _now);
	pool.counts.confirmed += 1;
	this->noteSoundEnd(_pool, _lastEvent, _now);
}

bool PoolStreams::noteEarlyEnd(const std::string& _pool, Micros _now)
{
	Pool& pool = this->pools[_pool];
	renewCounts(pool, _now);
	pool.counts.early += 1;
	const std::int64_t early = pool.counts.early + pool.countsBefore.early;
	const std::int64_t asked = early + pool.counts.confirmed + pool.countsBefore.confirmed;
	return early * kEndsPerEarlyEnd >= asked && this->doubtEnds(_pool, kMemory, _now);
}

bool PoolStreams::doubtEnds(const std::string& _pool, Micros _life, Micros _now)
{
	const bool wasTrusted = !this->isDoubted(_pool, _now);
	Pool& pool = this->pools[_pool];
	pool.doubtedUntil = std::max(pool.doubtedUntil, _now + std::min(_life, kMemory));
	return wasTrusted;
}

bool PoolStreams::isDoubted(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	return found != this->pools.end() && found->second.doubtedUntil > _now;
}

bool PoolStreams::isUsualEnd(const std::string& _pool, std::uint64_t _lastEvent) const
{
	const auto found = this->pools.find(_pool);
	return found != this->pools.end() && found->second.soundEnds.count(_lastEvent) > 0;
}

bool PoolStreams::isEndTrusted(const std::string& _pool, std::uint64_t _lastEvent, Micros _now) const
{
	if (!this->isDoubted(_pool, _now))
	{
		return true;
	}
	const Pool& pool = this->pools.at(_pool);
	const auto sound = pool.soundEnds.find(_lastEvent);
	const std::int64_t early = std::max<std::int64_t>(1, pool.counts.early + pool.countsBefore.early);
	return sound != pool.soundEnds.end() && sound->second * kEarlyEndSpread >= early * kEndsPerEarlyEnd;
}

std::int64_t PoolStreams::agreeingRuns(const std::string& _pool, Micros _now) const
{
	return this->isDoubted(_pool, _now) ? kDoubtedRuns : kTrustedRuns;
}

std::vector<EndDoubtNotice> PoolStreams::doubts(Micros _now) const
{
	std::vector<EndDoubtNotice> notices;
	for (const auto& [name, pool] : this->pools)
	{
		if (pool.doubtedUntil > _now)
		{
			notices.push_back(EndDoubtNotice{name, pool.doubtedUntil - _now, {}});
		}
	}
	return notices;
}

} // namespace roadferry
