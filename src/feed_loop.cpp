/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the reads of a topic.

#include "feed_loop.h"

#include "clock.h"
#include "logging.h"

namespace roadferry
{

namespace
{

constexpr std::size_t kMaxPages = 1'000; ///< Of a snapshot, several hundred entries in each.

const char* nameOf(FeedTopic _topic)
{
	return _topic == FeedTopic::Routes ? "routes" : "endpoints";
}

} // namespace

FeedLoop::FeedLoop(Feed& _feed, FeedTopic _topic, FeedPollConfig _config, FeedHandlers _handlers)
	: feed(_feed), topic(_topic), poll(_config), handlers(std::move(_handlers))
{
	this->timer.setSingleShot(true);
	this->timer.setTimerType(Qt::PreciseTimer);
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->perform(this->poll.wake(monotonicNow())); });
}

void FeedLoop::start()
{
	this->stop();
	this->perform(this->poll.start(monotonicNow()));
}

void FeedLoop::stop()
{
	this->poll.stop();
	this->timer.stop();
	this->discardSnapshot();
}

void FeedLoop::setPollWait(Micros _wait)
{
	this->poll.setPollWait(_wait);
}

/// Performs the actions other than ApplyFeedAnswer, which comes with a page.
void FeedLoop::perform(const FeedPollActions& _actions)
{
	for (const FeedPollAction& action : _actions)
	{
		std::visit(
			Overloaded{
				[&](const StartFeedRead& _read) { this->send(_read); }, [](const ApplyFeedAnswer&) {},
				[&](const WakeFeedPoll& _wake)
				{
					// Rounded up: FeedPoll ignores a call that comes too early.
					const Micros delay = std::max<Micros>(0, _wake.at - monotonicNow());
					this->timer.start(static_cast<int>((delay + kMillisecond - 1) / kMillisecond));
				},
				[&](const FeedLost&) { this->handlers.onLost(); },
				[&](const FeedRegained&)
				{
					logEvent("feed", "regained", {{"topic", nameOf(this->topic)}, {"failed_reads", this->failedReads}});
					this->failedReads = 0;
				}},
			action);
	}
}

void FeedLoop::send(const StartFeedRead& _read)
{
	const SentRead sent{_read, monotonicNow()};
	const FeedReadLimits limits{_read.lateAfter, _read.timeout};
	FeedReadHandlers callbacks;
	callbacks.onLate = [this, sent]
	{
		const FeedPollActions actions = this->poll.onLate(sent.read.id, monotonicNow());
		if (actions.empty())
		{
			return;
		}
		this->logFailedRead(sent, "the answer is late");
		this->perform(actions);
		if (this->pages > 0)
		{
			this->handlers.onPartOfSnapshot(this->snapshot);
		}
	};
	callbacks.onEnd = [this, sent](const absl::StatusOr<FeedPage>& _page) { this->onEnd(sent, _page); };
	if (_read.isSnapshot)
	{
		this->feed.readSnapshot(this->topic, this->snapshot.nextPage, limits, std::move(callbacks));
	}
	else
	{
		this->feed.readChanges(this->topic, this->position, _read.wait, limits, std::move(callbacks));
	}
}

void FeedLoop::onEnd(const SentRead& _sent, const absl::StatusOr<FeedPage>& _page)
{
	const Micros now = monotonicNow();
	if (_page.ok())
	{
		this->onPage(_sent, *_page);
	}
	else if (absl::IsOutOfRange(_page.status()))
	{
		logEvent("feed", "changes_gone", {{"topic", nameOf(this->topic)}});
		this->perform(this->poll.onChangesGone(_sent.read.id, now));
	}
	else
	{
		this->onFailed(_sent, _page.status());
	}
}

void FeedLoop::onFailed(const SentRead& _sent, const absl::Status& _status)
{
	const bool isUnusable = absl::IsInternal(_status);
	const Micros now = monotonicNow();
	const FeedPollActions actions =
		isUnusable ? this->poll.onSnapshotUnusable(_sent.read.id, now) : this->poll.onFailed(_sent.read.id, now);
	if (actions.empty())
	{
		return; // Another read was answered before.
	}
	this->logFailedRead(_sent, std::string(_status.message()));
	if (isUnusable)
	{
		this->discardSnapshot();
	}
	this->perform(actions);
}

void FeedLoop::discardSnapshot()
{
	this->snapshot = FeedPage{};
	this->pages = 0;
}

void FeedLoop::onPage(const SentRead& _sent, const FeedPage& _page)
{
	if (_sent.read.isSnapshot && this->pages >= kMaxPages)
	{
		this->onFailed(_sent, absl::InternalError("the pages of the snapshot do not end"));
		return;
	}
	const bool isUnchanged = !_sent.read.isSnapshot && _page.next == this->position;
	const FeedAnswerSummary summary{!_page.nextPage.empty(), isUnchanged};
	const FeedPollActions actions = this->poll.onAnswer(_sent.read.id, summary, monotonicNow());
	if (actions.empty())
	{
		return; // Another read was answered before.
	}
	this->apply(std::get<ApplyFeedAnswer>(actions.front()), _page);
	this->perform(actions);
}

void FeedLoop::apply(const ApplyFeedAnswer& _answer, const FeedPage& _page)
{
	if (!_answer.isSnapshot)
	{
		this->position = _page.next;
		this->handlers.onRead(FeedReadResult{_page, false, _answer.asOf, _answer.isLate});
		return;
	}
	// Keep the position of the first page: changes made while later pages are read come after it.
	this->snapshot.next = this->pages == 0 ? _page.next : this->snapshot.next;
	this->snapshot.nextPage = _page.nextPage;
	this->snapshot.changes.insert(this->snapshot.changes.end(), _page.changes.begin(), _page.changes.end());
	this->pages += 1;
	if (!_answer.isLast)
	{
		if (_answer.isLate)
		{
			this->handlers.onPartOfSnapshot(this->snapshot);
		}
		return;
	}
	const FeedPage whole = std::exchange(this->snapshot, FeedPage{});
	this->pages = 0;
	this->position = whole.next;
	this->handlers.onRead(FeedReadResult{whole, true, _answer.asOf, _answer.isLate});
}

/// Logs a read that failed or is late. There is at most about one in a second, by the backoff of FeedPoll.
void FeedLoop::logFailedRead(const SentRead& _sent, const std::string& _error)
{
	this->failedReads += 1;
	logEvent("feed", this->failedReads == 1 ? "lost" : "still_lost",
			 {{"topic", nameOf(this->topic)},
			  {"error", _error},
			  {"after_ms", (monotonicNow() - _sent.sentAt) / kMillisecond},
			  {"failed_reads", this->failedReads},
			  {"is_snapshot", _sent.read.isSnapshot}});
}

} // namespace roadferry
