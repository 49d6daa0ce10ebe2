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

constexpr Micros kInitialBackoff = 250 * kMillisecond;
constexpr Micros kMaxAge = 1'500 * kMillisecond; ///< Approximate maximum age of the data before the next answer.
constexpr Micros kMinPollWait = 200 * kMillisecond;
/// Time after the end of the wait until a platform that has answered so far counts as unavailable. At that point, less
/// than the lease under which requests are handled is left.
constexpr Micros kResponseTimeout = 800 * kMillisecond;
/// The same while the platform counts as unavailable: it may merely be slow.
constexpr Micros kRecoveryTimeout = 1'500 * kMillisecond;
constexpr Micros kMaxBackoff = kSecond; ///< Bounds how late the platform's recovery is noticed.

const char* nameOf(FeedTopic _topic)
{
	return _topic == FeedTopic::Routes ? "routes" : "endpoints";
}

int toMs(Micros _time)
{
	return static_cast<int>(_time / kMillisecond);
}

} // namespace

FeedLoop::FeedLoop(Feed& _feed, FeedTopic _topic, FeedPollTiming _timing, FeedHandlers _handlers)
	: feed(_feed), topic(_topic), timing(_timing), handlers(std::move(_handlers))
{
	this->timer.setSingleShot(true);
	this->timer.setTimerType(Qt::PreciseTimer);
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->read(); });
}

void FeedLoop::start()
{
	this->generation += 1;
	this->position.reset();
	this->backoff = 0;
	this->read();
}

void FeedLoop::stop()
{
	this->generation += 1;
	this->backoff = 0;
	this->timer.stop();
}

void FeedLoop::setPollWait(Micros _wait)
{
	this->timing.pollWait = _wait;
}

bool FeedLoop::hasRead() const
{
	return this->everRead;
}

bool FeedLoop::lastReadFailed() const
{
	return this->backoff > 0;
}

void FeedLoop::read()
{
	this->readStartedAt = monotonicNow();
	const auto whenDone = [this, readGeneration = this->generation](bool _isSnapshot)
	{
		return [this, readGeneration, _isSnapshot](const absl::StatusOr<FeedPage>& _page)
		{
			if (readGeneration == this->generation)
			{
				this->onReadDone(_page, _isSnapshot);
			}
		};
	};
	if (!this->position)
	{
		this->feed.readSnapshot(this->topic, whenDone(true));
		return;
	}
	this->requestedWait = this->nextPollWait();
	const Micros limit = this->lastReadFailed() ? kRecoveryTimeout : kResponseTimeout;
	this->feed.readChanges(this->topic, *this->position, this->requestedWait, limit, whenDone(false));
}

Micros FeedLoop::nextPollWait() const
{
	if (this->lastReadFailed())
	{
		return 0; // An immediate answer shows the platform's recovery earlier.
	}
	const Micros remaining = kMaxAge - (this->readStartedAt - this->asOf);
	return std::min(this->timing.pollWait, std::max(kMinPollWait, remaining));
}

void FeedLoop::onReadDone(const absl::StatusOr<FeedPage>& _page, bool _isSnapshot)
{
	if (!_page.ok())
	{
		this->onReadError(_page.status());
		return;
	}
	if (this->lastReadFailed())
	{
		logEvent("feed", "regained", {{"topic", nameOf(this->topic)}, {"failed_reads", this->failedReads}});
	}
	this->failedReads = 0;
	this->backoff = 0;
	this->everRead = true;
	// The platform answers without changes only after the wait, and the answer covers that time, too.
	const bool isUnchanged = !_isSnapshot && _page->next == this->position;
	this->asOf = this->readStartedAt + (isUnchanged ? this->requestedWait : 0);
	this->position = _page->next;
	this->handlers.onRead(FeedReadResult{*_page, _isSnapshot, this->asOf});
	this->timer.start(toMs(this->timing.pause));
}

void FeedLoop::onReadError(const absl::Status& _status)
{
	if (absl::IsOutOfRange(_status))
	{
		logEvent("feed", "changes_gone", {{"topic", nameOf(this->topic)}});
		this->position.reset();
		this->timer.start(0);
		return;
	}
	this->failedReads += 1;
	logEvent("feed", this->lastReadFailed() ? "still_lost" : "lost",
			 {{"topic", nameOf(this->topic)},
			  {"error", std::string(_status.message())},
			  {"after_ms", (monotonicNow() - this->readStartedAt) / kMillisecond},
			  {"failed_reads", this->failedReads},
			  {"is_snapshot", !this->position.has_value()}});
	this->handlers.onFailed();
	this->backoff = this->lastReadFailed() ? std::min(kMaxBackoff, this->backoff * 2) : kInitialBackoff;
	this->timer.start(toMs(this->backoff));
}

} // namespace roadferry
