/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What streams of a pool are like, as its endpoints send them.

#ifndef ROADFERRY_POOL_STREAMS_H_HEADER_GUARD
#define ROADFERRY_POOL_STREAMS_H_HEADER_GUARD

#include "stream_ends.h"

#include <map>
#include <string>

namespace roadferry
{

/// Knows the pools in which a run that goes on must be asked for the client's last event again, and where their streams
/// end. With a mark of the end and ids that rise by one, asking for the event after the last one is enough, and costs
/// nothing more.
class PoolStreams
{
public:
	/// Tells that a stream of a pool ended with nothing but its connection.
	void noteUnmarkedEnd(const std::string& _pool, Micros _now);

	/// Tells that ids rise by more than one: nothing tells which event comes after one, but a run that sends both.
	void noteSparseIds(const std::string& _pool, Micros _now);

	/// @returns Whether only a run that sends the client's last event again shows that it goes on right after it.
	[[nodiscard]] bool mustOverlap(const std::string& _pool, Micros _now) const;

	/// Tells that a stream ended right after an event, with a mark of its end or without one. Called once for each.
	void noteEnd(const std::string& _pool, std::uint64_t _lastEvent, Micros _now);

	/// Tells that another run ended right after the event at which one had ended with nothing but its connection.
	void noteConfirmedEnd(const std::string& _pool, Micros _now);

	/// Tells that a run had ended with nothing but its connection after an event, and there was more.
	/// @returns Whether the ends of the pool are doubted from now on, and were not before.
	bool noteEarlyEnd(const std::string& _pool, std::uint64_t _lastEvent, Micros _now);

	/// Takes what another node knows of a pool, if it has seen more of its streams end than this one.
	/// @returns Whether the ends of the pool are doubted from now on, and were not before.
	bool learn(const PoolEndsNotice& _notice, Micros _now);

	/// @returns Whether a stream whose end nothing speaks against counts as whole if it cannot be asked about further:
	/// as many others have ended there, or streams of the pool end anywhere and hardly any end was found to be early.
	[[nodiscard]] bool isEndTrusted(const std::string& _pool, std::uint64_t _lastEvent, Micros _now) const;

	/// @returns Whether streams that end soon may show whether others of a pool end right after this event, which
	/// decides whether an end there is trusted.
	[[nodiscard]] bool isUnclear(const std::string& _pool, std::uint64_t _lastEvent, Micros _now) const;

	/// @returns Runs that must have ended right after the same event to prove that it is the stream's last one.
	[[nodiscard]] std::int64_t agreeingRuns(const std::string& _pool, Micros _now) const;

	/// @returns What another node needs to know of a pool.
	[[nodiscard]] PoolEndsNotice tell(const std::string& _pool, Micros _now) const;

	/// @returns The pools of which streams without a mark were seen to end, for a node that has just started.
	[[nodiscard]] std::vector<PoolEndsNotice> tellAll(Micros _now) const;

	/// @returns Number of pools whose ends are doubted.
	[[nodiscard]] std::size_t doubtedCount(Micros _now) const;

private:
	/// Endpoints of another software version may send other streams, so what was seen is forgotten at some point.
	static constexpr Micros kMemory = Micros{10} * 60 * kSecond;

	struct Pool
	{
		std::optional<Micros> needsOverlapAt; ///< Time point at which that was last seen.
		Micros doubtedUntil = 0;              ///< Time point.
		Micros countsSince = 0;               ///< Time point at which the counts of now begin.
		AskedEnds asked;
		AskedEnds askedBefore;                   ///< In the time before these.
		std::map<std::uint64_t, EndsThere> ends; ///< By the id of the last event.
		std::int64_t seen = 0;                   ///< Sum of the seen ones.
		std::int64_t seenOnce = 0;               ///< Events after which one stream was seen to end.
	};

	bool doubtEnds(Pool& _pool, Micros _life, Micros _now);
	static void setEnds(Pool& _pool, const std::map<std::uint64_t, EndsThere>& _ends);
	static void renewCounts(Pool& _pool, Micros _now);
	static void halveEnds(Pool& _pool);
	static void addSeen(Pool& _pool, std::uint64_t _lastEvent, std::int64_t _change);
	[[nodiscard]] bool isDoubted(const Pool& _pool, Micros _now) const;
	[[nodiscard]] double earlyShare(const Pool& _pool, Micros _now) const;

	std::map<std::string, Pool> pools;
};

} // namespace roadferry

#endif // ROADFERRY_POOL_STREAMS_H_HEADER_GUARD
