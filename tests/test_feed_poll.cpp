/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of when a topic is read and how long an answer is awaited, in virtual time.

#include "property.h"

#include <roadferry/roadferry.h>

#include <deque>
#include <list>

namespace
{

using namespace roadferry;

constexpr Micros kStep = 10 * kMillisecond;
constexpr Micros kListingPause = 600 * kMillisecond;
constexpr Micros kRecoveryBound = 12 * kSecond; ///< From the return of the nodes until requests are served.

/// A platform that answers late, or not at all, and a node that reads it.
class PollWorld
{
public:
	explicit PollWorld(FeedPollConfig _config, Micros _latency = 2 * kMillisecond) : poll(_config), latency(_latency)
	{
		this->perform(this->poll.start(this->now));
	}

	void runFor(Micros _duration)
	{
		const Micros end = this->now + _duration;
		while (this->now < end)
		{
			this->now += kStep;
			this->answerDue();
			if (this->wakeAt && *this->wakeAt <= this->now)
			{
				this->wakeAt.reset();
				this->perform(this->poll.wake(this->now));
			}
		}
	}

	/// @returns Age of the newest changes that are known for certain.
	[[nodiscard]] Micros age() const
	{
		return this->now - this->asOf;
	}

	FeedPoll poll;
	Micros now = 100 * kSecond;
	Micros latency;        ///< Of each answer after its wait.
	bool isSilent = false; ///< Answers to reads that are sent now are lost.
	int pages = 1;         ///< Of the snapshot.
	int pageRequested = 0;
	std::size_t sent = 0;
	std::size_t applied = 0; ///< Answers, other than pages before the last one.
	Micros asOf = 0;
	Micros oldestUnlost = 0; ///< Greatest age at an answer, or before it, while the platform did not count as lost.

private:
	/// A read at the platform.
	struct Sent
	{
		StartFeedRead read;
		Micros sentAt = 0;
		std::optional<Micros> answerAt; ///< Not set if the answer is lost.
		bool isReportedLate = false;
	};

	void perform(const FeedPollActions& _actions)
	{
		for (const FeedPollAction& action : _actions)
		{
			std::visit(Overloaded{[&](const StartFeedRead& _read)
								  {
									  this->sent += 1;
									  const Micros answerAt = this->now + _read.wait + this->latency;
									  this->reads.push_back(Sent{
										  _read, this->now, this->isSilent ? std::nullopt : std::optional(answerAt)});
								  },
								  [&](const ApplyFeedAnswer& _answer) { this->apply(_answer); },
								  [&](const WakeFeedPoll& _wake) { this->wakeAt = _wake.at; }, [](const FeedLost&) {},
								  [](const FeedRegained&) {}},
					   action);
		}
	}

	void apply(const ApplyFeedAnswer& _answer)
	{
		this->pageRequested = _answer.isLast ? 0 : this->pageRequested + 1;
		if (!_answer.isLast)
		{
			return;
		}
		if (this->applied > 0 && !this->wasLost)
		{
			this->oldestUnlost = std::max(this->oldestUnlost, this->age());
		}
		this->applied += 1;
		this->asOf = _answer.asOf;
		this->wasLost = _answer.isLate;
	}

	void answerDue()
	{
		std::deque<Sent> due;
		for (auto entry = this->reads.begin(); entry != this->reads.end();)
		{
			const Micros elapsed = this->now - entry->sentAt;
			const bool isAnswered = entry->answerAt && *entry->answerAt <= this->now;
			if (!isAnswered && elapsed >= entry->read.lateAfter && !std::exchange(entry->isReportedLate, true))
			{
				this->wasLost = true;
				this->perform(this->poll.onLate(entry->read.id, this->now));
			}
			if (!isAnswered && elapsed < entry->read.timeout)
			{
				++entry;
				continue;
			}
			due.push_back(*entry);
			entry = this->reads.erase(entry);
		}
		for (const Sent& entry : due)
		{
			const bool isAnswered = entry.answerAt && *entry.answerAt <= this->now;
			const bool hasMore = entry.read.isSnapshot && this->pageRequested + 1 < this->pages;
			const FeedAnswerSummary summary{hasMore, !entry.read.isSnapshot};
			this->perform(isAnswered ? this->poll.onAnswer(entry.read.id, summary, this->now)
									 : this->poll.onFailed(entry.read.id, this->now));
		}
	}

	std::list<Sent> reads;
	std::optional<Micros> wakeAt;
	bool wasLost = false;
};

FeedPollConfig listingConfig()
{
	return FeedPollConfig{0, kListingPause};
}

FeedPollConfig routesConfig()
{
	return FeedPollConfig{kSecond, 0};
}

} // namespace

/// Guards against reads that end before the platform's answer, whatever it takes: no node was ready (RECOVER).
Test(feed_poll, slow_answers_of_any_duration_are_used)
{
	for (const Micros latency : {kSecond, 2 * kSecond, 3 * kSecond, 10 * kSecond})
	{
		for (const FeedPollConfig& config : {listingConfig(), routesConfig()})
		{
			PollWorld world(config, latency);
			world.runFor(60 * kSecond);
			const std::size_t expected = static_cast<std::size_t>(60 * kSecond / (latency + 2 * kSecond));
			cr_assert_geq(world.applied, expected, "%zu answers of %lld ms in 60 s", world.applied,
						  static_cast<long long>(latency / kMillisecond));
		}
	}
}

/// Guards against a slow platform that gets more calls than a fast one.
Test(feed_poll, slow_platform_gets_at_most_one_call_per_second)
{
	PollWorld world(listingConfig(), 3 * kSecond);
	world.runFor(60 * kSecond);
	cr_assert_leq(world.sent, 60, "%zu calls in 60 s", world.sent);
}

/// Guards against a listing that is read from its first page on whenever one page fails or is late.
Test(feed_poll, pages_before_a_lost_one_are_kept)
{
	PollWorld world(listingConfig());
	world.pages = 6;
	world.runFor(kStep);
	const int pagesBefore = world.pageRequested;
	cr_assert_gt(pagesBefore, 0);
	world.isSilent = true; // From the page after those that are under way.
	world.runFor(5 * kSecond);
	cr_assert_geq(world.pageRequested, pagesBefore);
	world.isSilent = false;
	world.runFor(3 * kSecond);
	cr_assert_geq(world.applied, 1, "at page %d of %d", world.pageRequested, world.pages);
}

/// Guards against an open read that hides the return of the platform: a connection may fall silent for good.
Test(feed_poll, silence_ends_with_the_next_short_read)
{
	PollWorld world(routesConfig());
	world.runFor(3 * kSecond);
	world.isSilent = true;
	world.runFor(9 * kSecond);
	cr_assert(world.poll.isLost());
	world.isSilent = false;
	world.runFor(FeedPollConfig{}.repeatTimeout + FeedPollConfig{}.maxBackoff + kSecond / 10);
	cr_assert_not(world.poll.isLost());
	cr_assert_lt(world.age(), kSecond);
}

/// Guards against data that grows older than the lease although the platform answers in time: waves of refusals.
Test(feed_poll, data_is_renewed_within_the_lease_while_answers_are_in_time)
{
	constexpr Micros kLease = 2 * kSecond;
	for (Micros latency = 0; latency < FeedPollConfig{}.lateAfter; latency += 50 * kMillisecond)
	{
		for (const FeedPollConfig& config : {listingConfig(), routesConfig()})
		{
			PollWorld world(config, latency);
			world.runFor(30 * kSecond);
			cr_assert_lt(world.oldestUnlost, kLease, "%lld ms old with answers of %lld ms",
						 static_cast<long long>(world.oldestUnlost / kMillisecond),
						 static_cast<long long>(latency / kMillisecond));
		}
	}
}

/// Guards against an outage that outlasts the slowness of the platform.
Test(feed_poll, platform_counts_as_available_soon_after_it_is_fast_again)
{
	PollWorld world(listingConfig(), 5 * kSecond);
	world.runFor(kRecoveryBound);
	cr_assert(world.poll.isLost());
	world.latency = 2 * kMillisecond;
	world.runFor(3 * kSecond);
	cr_assert_not(world.poll.isLost());
}

/// Guards against answers to reads before a stop that are taken for answers to those after it.
Test(feed_poll, answers_from_before_a_restart_are_dropped)
{
	FeedPoll poll(listingConfig());
	const auto first = std::get<StartFeedRead>(poll.start(kSecond).front());
	poll.stop();
	const auto second = std::get<StartFeedRead>(poll.start(2 * kSecond).front());
	cr_assert(poll.onAnswer(first.id, FeedAnswerSummary{}, 3 * kSecond).empty());
	cr_assert_not(poll.onAnswer(second.id, FeedAnswerSummary{}, 3 * kSecond).empty());
}

/// Guards against a timeout that stays too short for a platform that has become slow, or too long once it is fast.
Test(response_timeout, follows_the_time_that_answers_take)
{
	ResponseTimeout timeout(kSecond, 20 * kSecond);
	timeout.onTimedOut(kSecond);
	timeout.onTimedOut(kSecond); // Another call with the same timeout.
	cr_assert_eq(timeout.current(), 2 * kSecond);
	for (int count = 0; count < 10; ++count)
	{
		timeout.onTimedOut(timeout.current());
	}
	cr_assert_eq(timeout.current(), 20 * kSecond);
	timeout.onAnswered(3 * kSecond);
	cr_assert_eq(timeout.current(), 6 * kSecond);
	timeout.onAnswered(5 * kMillisecond);
	cr_assert_eq(timeout.current(), kSecond);
}
