/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Continuous reads of one topic of a feed.

#ifndef ROADFERRY_FEED_LOOP_H_HEADER_GUARD
#define ROADFERRY_FEED_LOOP_H_HEADER_GUARD

#include "adapter.h"

#include <QTimer>

namespace roadferry
{

/// Time limits of the reads of a topic.
struct FeedPollTiming
{
	Micros pollWait = 0; ///< Longest wait of a read for a change.
	Micros pause = 0;    ///< Between the end of a read and the start of the next.
	bool operator==(const FeedPollTiming&) const = default;
};

/// Result of one successful read of a topic.
struct FeedReadResult
{
	FeedPage page;
	bool isSnapshot = false; ///< Whether the page has all entries of the topic.
	Micros asOf = 0;         ///< All changes before this time are included.
};

/// Callbacks of a FeedLoop, called on the control thread.
struct FeedHandlers
{
	std::function<void(const FeedReadResult& _result)> onRead;
	std::function<void()> onFailed; ///< A read failed and will be retried.
};

/// Keeps a topic up to date. Reads a snapshot first and then the changes after it, or another snapshot when the
/// platform does not keep those changes any more. Backs off exponentially while the platform does not answer.
class FeedLoop
{
public:
	FeedLoop(Feed& _feed, FeedTopic _topic, FeedPollTiming _timing, FeedHandlers _handlers);

	/// Starts reading with a snapshot of the topic.
	void start();

	/// Stops reading until the next start.
	void stop();

	/// @param[in] _wait Longest wait of each following read for a change.
	void setPollWait(Micros _wait);

	/// @returns Whether the topic was read at least once.
	[[nodiscard]] bool hasRead() const;

	/// @returns Whether the last read failed.
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
	std::optional<std::uint64_t> position; ///< Where the next read starts; not set until a snapshot was read.
	std::uint64_t generation = 0; ///< Counts starts and stops; answers to reads before the last one are dropped.
	Micros backoff = 0;
	int failedReads = 0; ///< Reads that failed since the last successful one.
	bool everRead = false;
	Micros readStartedAt = 0; ///< Start of the current read.
	Micros requestedWait = 0; ///< Longest wait of the current read for a change.
	Micros asOf = 0;          ///< All changes before this time were read; 0 for never.
};

} // namespace roadferry

#endif // ROADFERRY_FEED_LOOP_H_HEADER_GUARD
