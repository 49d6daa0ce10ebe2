/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of PoolStreams.

#include "pool_streams.h"

#include <algorithm>
#include <utility>

namespace roadferry
{

namespace
{

/// Risk at which an end that cannot be asked about still counts as that of its stream: a caller loses far more by a
/// stream that passes for whole without its rest than by one that is broken off after its last event, which can be
/// taken up.
constexpr double kMaxRisk = 0.01;
/// Assumed of a pool of which nothing is known: one early end in 400, as if a hundred had been asked about.
constexpr double kAssumedEarlyEnds = 0.25;
constexpr double kAssumedAskedEnds = 100;
constexpr std::int64_t kFewEnds = 16;       ///< Of a pool, which do not tell yet where its streams end.
constexpr double kDoubtedEarlyShare = 0.02; ///< At least, where another node has found early ends.
/// Early ends are spread over the events of a stream: at most one in this many comes right after the same event.
constexpr double kEarlyEndSpread = 16;
constexpr std::int64_t kMinEndsThere = 2; ///< Streams that must have ended after an event to expect more of them there.
constexpr std::size_t kMaxToldEnds = 64;  ///< Of these, in a message to another node.
constexpr std::size_t kMaxEnds = 512;     ///< Different last events of a pool's streams that are counted.
/// A single run that agrees is a good witness where hardly any end is early.
constexpr std::int64_t kTrustedRuns = 2;
/// Two runs can end early at the same event: of streams of 4 to 50 events, about one in 100 that end early. Three
/// hardly ever.
constexpr std::int64_t kDoubtedRuns = 3;

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

/// Forgets half of the ends that were counted long ago.
void PoolStreams::renewCounts(Pool& _pool, Micros _now)
{
	const Micros age = _now - _pool.countsSince;
	if (age < kMemory)
	{
		return;
	}
	_pool.askedBefore = age < 2 * kMemory ? _pool.asked : AskedEnds{};
	_pool.asked = AskedEnds{};
	_pool.countsSince = _now;
	halveEnds(_pool);
}

void PoolStreams::halveEnds(Pool& _pool)
{
	std::map<std::uint64_t, EndsThere> halves;
	for (const auto& [event, there] : _pool.ends)
	{
		const EndsThere half{there.seen / 2, there.early / 2};
		if (half != EndsThere{})
		{
			halves[event] = half;
		}
	}
	setEnds(_pool, halves);
}

void PoolStreams::setEnds(Pool& _pool, const std::map<std::uint64_t, EndsThere>& _ends)
{
	_pool.ends = _ends;
	_pool.seen = 0;
	_pool.seenOnce = 0;
	for (const auto& entry : _ends)
	{
		_pool.seen += entry.second.seen;
		_pool.seenOnce += entry.second.seen == 1 ? 1 : 0;
	}
}

/// Counts a stream that ended after an event, or takes one back.
void PoolStreams::addSeen(Pool& _pool, std::uint64_t _lastEvent, std::int64_t _change)
{
	EndsThere& there = _pool.ends[_lastEvent];
	const std::int64_t before = there.seen;
	there.seen = std::max<std::int64_t>(0, before + _change);
	_pool.seen += there.seen - before;
	_pool.seenOnce += (there.seen == 1 ? 1 : 0) - (before == 1 ? 1 : 0);
}

void PoolStreams::noteEnd(const std::string& _pool, std::uint64_t _lastEvent, Micros _now)
{
	Pool& pool = this->pools[_pool];
	renewCounts(pool, _now);
	addSeen(pool, _lastEvent, 1);
	if (pool.ends.size() > kMaxEnds)
	{
		halveEnds(pool);
	}
}

void PoolStreams::noteConfirmedEnd(const std::string& _pool, Micros _now)
{
	Pool& pool = this->pools[_pool];
	renewCounts(pool, _now);
	pool.asked.confirmed += 1;
}

bool PoolStreams::noteEarlyEnd(const std::string& _pool, std::uint64_t _lastEvent, Micros _now)
{
	Pool& pool = this->pools[_pool];
	renewCounts(pool, _now);
	pool.asked.early += 1;
	addSeen(pool, _lastEvent, -1);
	pool.ends[_lastEvent].early += 1;
	return this->earlyShare(pool, _now) > kMaxRisk && this->doubtEnds(pool, kMemory, _now);
}

bool PoolStreams::doubtEnds(Pool& _pool, Micros _life, Micros _now)
{
	const bool wasTrusted = !this->isDoubted(_pool, _now);
	_pool.doubtedUntil = std::max(_pool.doubtedUntil, _now + std::min(_life, kMemory));
	return wasTrusted && this->isDoubted(_pool, _now);
}

bool PoolStreams::learn(const PoolEndsNotice& _notice, Micros _now)
{
	Pool& pool = this->pools[_notice.pool];
	pool.needsOverlapAt = _now;
	renewCounts(pool, _now);
	Pool told;
	setEnds(told, _notice.ends);
	if (told.seen > pool.seen)
	{
		setEnds(pool, _notice.ends);
		pool.asked = _notice.asked;
	}
	return this->doubtEnds(pool, _notice.doubtLife, _now);
}

PoolEndsNotice PoolStreams::tell(const std::string& _pool, Micros _now) const
{
	const Pool& pool = this->pools.at(_pool);
	std::vector<std::pair<std::uint64_t, EndsThere>> ends(pool.ends.begin(), pool.ends.end());
	const std::size_t count = std::min(kMaxToldEnds, ends.size());
	std::partial_sort(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(count), ends.end(),
					  [](const auto& _left, const auto& _right) { return _left.second.seen > _right.second.seen; });
	ends.resize(count);
	const AskedEnds asked{pool.asked.confirmed + pool.askedBefore.confirmed, pool.asked.early + pool.askedBefore.early};
	return PoolEndsNotice{_pool, std::max<Micros>(0, pool.doubtedUntil - _now), asked, {ends.begin(), ends.end()}, {}};
}

std::vector<PoolEndsNotice> PoolStreams::tellAll(Micros _now) const
{
	std::vector<PoolEndsNotice> notices;
	for (const auto& entry : this->pools)
	{
		if (this->mustOverlap(entry.first, _now))
		{
			notices.push_back(this->tell(entry.first, _now));
		}
	}
	return notices;
}

std::size_t PoolStreams::doubtedCount(Micros _now) const
{
	return static_cast<std::size_t>(std::count_if(this->pools.begin(), this->pools.end(),
												  [&](const auto& _entry)
												  { return this->isDoubted(_entry.second, _now); }));
}

bool PoolStreams::isDoubted(const Pool& _pool, Micros _now) const
{
	return _pool.doubtedUntil > _now;
}

/// @returns Share of a pool's ends that are early, as far as they were asked about.
double PoolStreams::earlyShare(const Pool& _pool, Micros _now) const
{
	const auto early = static_cast<double>(_pool.asked.early + _pool.askedBefore.early);
	const auto confirmed = static_cast<double>(_pool.asked.confirmed + _pool.askedBefore.confirmed);
	const double share = (early + kAssumedEarlyEnds) / (early + confirmed + kAssumedAskedEnds);
	return this->isDoubted(_pool, _now) ? std::max(share, kDoubtedEarlyShare) : share;
}

bool PoolStreams::isEndTrusted(const std::string& _pool, std::uint64_t _lastEvent, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return true;
	}
	const Pool& pool = found->second;
	const auto there = pool.ends.find(_lastEvent);
	const EndsThere ends = there == pool.ends.end() ? EndsThere{} : there->second;
	const auto seenThere = static_cast<double>(ends.seen);
	if (static_cast<double>(ends.early) > kMaxRisk * seenThere)
	{
		return false;
	}
	const std::int64_t minEarly = this->isDoubted(pool, _now) ? 1 : 0;
	const auto early = static_cast<double>(std::max(minEarly, pool.asked.early + pool.askedBefore.early));
	const bool isUsual = ends.seen >= kMinEndsThere && early / kEarlyEndSpread <= kMaxRisk * seenThere;
	if (isUsual)
	{
		return true;
	}
	// By the share of streams that end where no other one has, as Good and Turing estimate it.
	const double seen = static_cast<double>(std::max<std::int64_t>(1, pool.seen));
	const double newPlaces = pool.seen == 0 ? 1 : static_cast<double>(pool.seenOnce) / seen;
	const double share = this->earlyShare(pool, _now);
	return share <= kMaxRisk * (share + newPlaces);
}

bool PoolStreams::isUnclear(const std::string& _pool, std::uint64_t _lastEvent, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end())
	{
		return true;
	}
	const Pool& pool = found->second;
	const auto there = pool.ends.find(_lastEvent);
	const bool isUsual = there != pool.ends.end() && there->second.seen >= kMinEndsThere;
	const bool isOpen = pool.seen < kFewEnds || !this->isEndTrusted(_pool, _lastEvent, _now);
	return !isUsual && isOpen && this->earlyShare(pool, _now) <= kMaxRisk;
}

std::int64_t PoolStreams::agreeingRuns(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	const bool isDoubtful = found != this->pools.end() && this->earlyShare(found->second, _now) > kMaxRisk;
	return isDoubtful ? kDoubtedRuns : kTrustedRuns;
}

} // namespace roadferry
