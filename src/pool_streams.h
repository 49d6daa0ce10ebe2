/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What streams of a pool are like, as its endpoints send them.

#ifndef ROADFERRY_POOL_STREAMS_H_HEADER_GUARD
#define ROADFERRY_POOL_STREAMS_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <map>
#include <string>

namespace roadferry
{

/// Knows the pools in which a run that goes on must be asked for the client's last event again. With a mark of the end
/// and ids that rise by one, asking for the event after it is enough, and costs nothing more.
class PoolStreams
{
public:
	/// Tells that a stream of a pool ended with nothing but its connection.
	void noteUnmarkedEnd(const std::string& _pool, Micros _now);

	/// Tells that ids rise by more than one: nothing tells which event comes after one, but a run that sends both.
	void noteSparseIds(const std::string& _pool, Micros _now);

	/// @returns Whether only a run that sends the client's last event again shows that it goes on right after it.
	[[nodiscard]] bool mustOverlap(const std::string& _pool, Micros _now) const;

private:
	/// Endpoints of another software version may send other streams, so what was seen is forgotten at some point.
	static constexpr Micros kMemory = Micros{10} * 60 * kSecond;

	std::map<std::string, Micros> needsOverlapAt; ///< Time point at which that was last seen, by pool.
};

} // namespace roadferry

#endif // ROADFERRY_POOL_STREAMS_H_HEADER_GUARD
