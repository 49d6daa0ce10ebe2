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

/// Result of one successful read of a topic.
struct FeedReadResult
{
	FeedPage page;
	bool isSnapshot = false; ///< Whether the page has all entries of the topic.
	Micros asOf = 0;         ///< All changes before this time are included.
	bool isLate = false;     ///< It came so late that the platform still counts as unavailable.
};

/// Callbacks of a FeedLoop, called on the control thread.
struct FeedHandlers
{
	std::function<void(const FeedReadResult& _result)> onRead;
	std::function<void(const FeedPage& _pages)> onPartOfSnapshot; ///< Pages so far; the following one is late.
	std::function<void()> onLost; ///< The platform does not answer in time; reads go on.
};

/// Keeps a topic up to date: performs the reads that a FeedPoll decides on.
class FeedLoop
{
public:
	FeedLoop(Feed& _feed, FeedTopic _topic, FeedPollConfig _config, FeedHandlers _handlers);

	/// Starts reading with a snapshot of the topic.
	void start();

	/// Stops reading until the next start.
	void stop();

	/// @param[in] _wait Longest wait of each following read for a change.
	void setPollWait(Micros _wait);

private:
	/// What is known of the read whose end is reported.
	struct SentRead
	{
		StartFeedRead read;
		Micros sentAt = 0;
	};

	void perform(const FeedPollActions& _actions);
	void send(const StartFeedRead& _read);
	void onEnd(const SentRead& _sent, const absl::StatusOr<FeedPage>& _page);
	void onFailed(const SentRead& _sent, const absl::Status& _status);
	void onPage(const SentRead& _sent, const FeedPage& _page);
	void discardSnapshot();
	void apply(const ApplyFeedAnswer& _answer, const FeedPage& _page);
	void logFailedRead(const SentRead& _sent, const std::string& _error);

	Feed& feed;
	FeedTopic topic;
	FeedPoll poll;
	FeedHandlers handlers;
	QTimer timer;
	FeedPage snapshot;          ///< Pages of the snapshot in progress.
	std::size_t pages = 0;      ///< Number of these.
	std::uint64_t position = 0; ///< Where the next read of changes starts.
	int failedReads = 0;        ///< Reads that failed or were late since the last one that was answered in time.
};

} // namespace roadferry

#endif // ROADFERRY_FEED_LOOP_H_HEADER_GUARD
