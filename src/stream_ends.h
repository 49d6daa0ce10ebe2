/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What is known of the ends of streams that nothing but the end of a connection tells.

#ifndef ROADFERRY_STREAM_ENDS_H_HEADER_GUARD
#define ROADFERRY_STREAM_ENDS_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace roadferry
{

/// Runs of a stream that ended with their connection right after the same event.
struct AgreeingRuns
{
	std::uint64_t lastEvent = 0; ///< Id of that event.
	std::int64_t runs = 0;
	bool operator==(const AgreeingRuns&) const = default;
};

/// Asks a node what it knows of a stream's end. There is no answer if it knows nothing.
struct StreamEndQuery
{
	std::string stream; ///< Id of the submission that brought its first event.
	bool operator==(const StreamEndQuery&) const = default;
};

/// Tells what a node knows of a stream's end.
struct StreamEndNotice
{
	std::string stream; ///< Id of the submission that brought its first event.
	AgreeingRuns end;
	Micros life = 0; ///< Time until it expires.
	bool operator==(const StreamEndNotice&) const = default;
};

/// Streams of a pool that ended right after one event.
struct EndsThere
{
	std::int64_t seen = 0;
	std::int64_t early = 0; ///< Not among those seen: there was more.
	bool operator==(const EndsThere&) const = default;
};

/// Ends of streams that were asked about.
struct AskedEnds
{
	std::int64_t confirmed = 0;
	std::int64_t early = 0;
	bool operator==(const AskedEnds&) const = default;
};

/// Tells another node where streams of a pool end.
struct PoolEndsNotice
{
	std::string pool;
	Micros doubtLife = 0; ///< Time for which their ends are doubted, 0 if they are not.
	AskedEnds asked;
	std::map<std::uint64_t, EndsThere> ends = {}; ///< The most frequent ones, by the id of the last event.
	std::vector<std::string> forwardTo = {};      ///< Nodes to which the receiver forwards the notice.
	bool operator==(const PoolEndsNotice&) const = default;
};

/// Remembers how far the runs of streams agree that were broken off before their end was proven, until the streams
/// expire. Soft state: without it a stream only takes more tries.
class StreamEnds
{
public:
	/// @param[in] _maxStreams Streams kept; those that expire first go first.
	explicit StreamEnds(std::size_t _maxStreams = kMaxStreams);

	/// Adds what is known of a stream: a later event replaces an earlier one, and more runs replace fewer.
	void add(const StreamEndNotice& _notice, Micros _now);

	[[nodiscard]] std::optional<AgreeingRuns> find(const std::string& _stream, Micros _now) const;

	/// @returns The answer to a query, if the stream is known.
	[[nodiscard]] std::optional<StreamEndNotice> answer(const StreamEndQuery& _query, Micros _now) const;

	/// Removes streams that have expired.
	void expire(Micros _now);

	[[nodiscard]] std::size_t size() const;

private:
	struct Entry
	{
		AgreeingRuns end;
		Micros expiresAt = 0; ///< Time point.
	};

	static constexpr std::size_t kMaxStreams = 20'000; ///< As many as origins of streams are kept.

	std::size_t maxStreams;
	std::map<std::string, Entry> entries;
	std::set<std::pair<Micros, std::string>> expiries; ///< Time point and stream.
};

} // namespace roadferry

#endif // ROADFERRY_STREAM_ENDS_H_HEADER_GUARD
