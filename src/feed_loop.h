/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Reads one topic of a feed again and again.

#ifndef ROADFERRY_FEED_LOOP_H_HEADER_GUARD
#define ROADFERRY_FEED_LOOP_H_HEADER_GUARD

#include "adapter.h"

#include <QTimer>

namespace roadferry
{

/// How often a topic is read.
struct FeedPollTiming
{
	Micros pollWait = 0; ///< How long one reading waits for something new.
	Micros pause = 0;    ///< Between two readings.
	bool operator==(const FeedPollTiming&) const = default;
};

/// One reading of a topic that went well.
struct FeedReadResult
{
	FeedPage page;
	bool isSnapshot = false; ///< Whether the page has all entries there are.
	Micros asOf = 0;         ///< All changes before this time are known with it.
};

/// What a loop tells. Called on the control thread.
struct FeedHandlers
{
	std::function<void(const FeedReadResult& _reading)> onRead;
	std::function<void()> onFailed; ///< A reading went wrong; it is tried again.
};

/// Keeps a topic up to date: the whole of it first, then what came after; the whole again when the platform does not
/// hold the changes any more. Pauses longer and longer while the platform does not answer.
class FeedLoop
{
public:
	FeedLoop(Feed& _feed, FeedTopic _topic, FeedPollTiming _timing, FeedHandlers _handlers);

	/// Begins to read, from the whole of the topic.
	void start();

	/// Reads no more until the next start.
	void stop();

	/// @param[in] _wait How long each reading from now on waits for something new.
	void setPollWait(Micros _wait);

	/// @returns Whether the whole topic was read at least once.
	[[nodiscard]] bool hasRead() const;

	/// @returns Whether the last reading failed.
	[[nodiscard]] bool lastReadFailed() const;

private:
	void read();
	[[nodiscard]] Micros nextPollWait() const;
	void onReadDone(const absl::StatusOr<FeedPage>& _page, bool _isSnapshot);
	void onReadError(const absl::Status& _status);

	Feed& feed;
	FeedTopic topic;
	FeedPollTiming timing;
	FeedHandlers handlers;
	QTimer timer;
	std::optional<std::uint64_t> position; ///< Nothing until the whole was read.
	std::uint64_t generation = 0;          ///< Counts starts and stops; answers to earlier ones are dropped.
	Micros backoff = 0;
	bool everRead = false;
	Micros readStartedAt = 0; ///< The reading under way.
	Micros requestedWait = 0; ///< That it was asked to wait for something new.
	Micros asOf = 0;          ///< Time point up to which everything was read, 0 for never.
};

} // namespace roadferry

#endif // ROADFERRY_FEED_LOOP_H_HEADER_GUARD
