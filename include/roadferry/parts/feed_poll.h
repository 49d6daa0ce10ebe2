/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: when one topic of the platform is read, and how long an answer is awaited.

#ifndef ROADFERRY_PARTS_FEED_POLL_H_HEADER_GUARD
#define ROADFERRY_PARTS_FEED_POLL_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace roadferry
{

/// Time limits of a FeedPoll, in microseconds.
struct FeedPollConfig
{
	Micros pollWait = 0; ///< Longest wait of a read for a change.
	Micros pause = 0;    ///< Between the end of a read and the start of the next.
	/// Time after the end of its wait until an answer counts as late, and the platform as unavailable. At that point,
	/// less than the lease under which requests are handled is left.
	Micros lateAfter = 800 * kMillisecond;
	/// Longest silence of the platform before a read is given up. A slow answer is worth more than none.
	Micros patience = 30 * kSecond;
	Micros repeatTimeout = 1'500 * kMillisecond; ///< Of a read that is sent beside one whose answer is late.
	Micros initialBackoff = 250 * kMillisecond;  ///< After a read that failed or is late.
	Micros maxBackoff = kSecond;                 ///< Bounds how late the platform's recovery is noticed.
	Micros maxAge = 1'500 * kMillisecond;        ///< Approximate maximum age of the data before the next answer.
	Micros minPollWait = 200 * kMillisecond;
	Micros minPause = 100 * kMillisecond; ///< Bounds the calls to a platform that answers slowly.
	bool operator==(const FeedPollConfig&) const = default;
};

/// Action: send a read to the platform.
struct StartFeedRead
{
	std::uint64_t id = 0;
	bool isSnapshot = false; ///< Reads the next page of the snapshot, otherwise the changes.
	Micros wait = 0;         ///< Longest wait for a change.
	Micros lateAfter = 0;    ///< Silence after which the read is reported as late.
	Micros timeout = 0;      ///< Silence after which the read fails.
	bool operator==(const StartFeedRead&) const = default;
};

/// Action: apply what an answer contains.
struct ApplyFeedAnswer
{
	Micros asOf = 0;         ///< All changes before this time are included.
	bool isSnapshot = false; ///< The answer is a page of the snapshot.
	bool isLast = true;      ///< No further page follows.
	bool isLate = false;     ///< It came so late that the platform still counts as unavailable.
	bool operator==(const ApplyFeedAnswer&) const = default;
};

/// Action: call FeedPoll::wake at this time; replaces an earlier one.
struct WakeFeedPoll
{
	Micros at = 0;
	bool operator==(const WakeFeedPoll&) const = default;
};

/// Action: the platform has stopped to answer in time.
struct FeedLost
{
	bool operator==(const FeedLost&) const = default;
};

/// Action: the platform answers in time again.
struct FeedRegained
{
	bool operator==(const FeedRegained&) const = default;
};

using FeedPollAction = std::variant<StartFeedRead, ApplyFeedAnswer, WakeFeedPoll, FeedLost, FeedRegained>;
using FeedPollActions = std::vector<FeedPollAction>;

/// What an answer says, as far as it decides on the next read.
struct FeedAnswerSummary
{
	bool hasMorePages = false; ///< Of the snapshot.
	bool isUnchanged = false;  ///< No change came during the wait.
	bool operator==(const FeedAnswerSummary&) const = default;
};

/// Decides when a topic is read: a snapshot, page by page, and then the changes after it.
///
/// A read whose answer is late is kept open, so that a slow platform is read at its own pace. Beside it, one short read
/// at a time is sent again and again: it notices that the platform answers in time again, and gets the answer if that
/// of the open read was lost. The first answer counts. A failed page is read again; the pages before it are kept.
class FeedPoll
{
public:
	explicit FeedPoll(FeedPollConfig _config);

	/// Starts with a snapshot of the topic.
	FeedPollActions start(Micros _now);

	/// Stops until the next start; answers to reads before it are dropped.
	void stop();

	/// @param[in] _wait Longest wait of each following read for a change.
	void setPollWait(Micros _wait);

	FeedPollActions wake(Micros _now);
	FeedPollActions onLate(std::uint64_t _read, Micros _now);
	FeedPollActions onFailed(std::uint64_t _read, Micros _now);

	/// @returns Nothing if the answer is to be dropped, otherwise ApplyFeedAnswer as the first action.
	FeedPollActions onAnswer(std::uint64_t _read, const FeedAnswerSummary& _answer, Micros _now);

	/// The platform does not keep the changes from this position on any more.
	FeedPollActions onChangesGone(std::uint64_t _read, Micros _now);

	/// The pages of the snapshot cannot be used: it is read from its first page on.
	FeedPollActions onSnapshotUnusable(std::uint64_t _read, Micros _now);

	/// @returns Whether the platform does not answer in time.
	[[nodiscard]] bool isLost() const;

private:
	/// A read in progress.
	struct Read
	{
		std::uint64_t id = 0;
		Micros startedAt = 0;
		Micros wait = 0;
		bool isLate = false;
	};

	[[nodiscard]] Read* find(std::uint64_t _read);
	[[nodiscard]] Micros nextPollWait(Micros _now) const;
	void startRead(Micros _now, FeedPollActions& _actions);
	void scheduleRepeat(Micros _now, FeedPollActions& _actions);
	void reportLost(FeedPollActions& _actions);
	void measure(const Read& _read, const FeedAnswerSummary& _answer, Micros _now);
	void scheduleNext(Micros _now, FeedPollActions& _actions);
	void clearReads();

	FeedPollConfig config;
	std::uint64_t lastRead = 0;
	std::optional<Read> openRead;     ///< Awaited for long.
	std::optional<Read> repeatedRead; ///< Sent beside it.
	std::optional<Micros> dueAt;      ///< When the next read starts.
	bool hasSnapshot = false;
	std::optional<Micros> snapshotStartedAt; ///< Start of the read that got its first page.
	bool isSnapshotLate = false;             ///< One of its pages was late.
	bool lost = false;
	Micros backoff = 0;
	Micros answerTime = 0; ///< Recent time from a read, or the end of its wait, to its answer.
	Micros asOf = 0;       ///< All changes before this time were read; 0 for never.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_FEED_POLL_H_HEADER_GUARD
