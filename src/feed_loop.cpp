/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the reading of a topic.

#include "feed_loop.h"

#include "clock.h"
#include "logging.h"

namespace roadferry
{

namespace
{

constexpr Micros kFirstBackoff = 250 * kMillisecond;
constexpr Micros kOldest = 1'500 * kMillisecond; ///< What is known gets about so old at most before the next answer.
constexpr Micros kLeastWait = 200 * kMillisecond;
/// Beyond the wait, until a platform that has answered so far counts as lost: less than a request's lease is left then.
constexpr Micros kPromptLimit = 800 * kMillisecond;
constexpr Micros kPatientLimit = 1'500 * kMillisecond; ///< Of a platform that is lost: it may merely be slow.
constexpr Micros kLongestBackoff = kSecond;            ///< Bounds how late the platform's return is noticed.

const char* nameOf(FeedTopic _topic)
{
	return _topic == FeedTopic::Routes ? "routes" : "endpoints";
}

int toMs(Micros _time)
{
	return static_cast<int>(_time / kMillisecond);
}

} // namespace

FeedLoop::FeedLoop(Feed& _feed, FeedTopic _topic, FeedPace _pace, FeedHandlers _handlers)
	: feed(_feed), topic(_topic), pace(_pace), handlers(std::move(_handlers))
{
	this->timer.setSingleShot(true);
	this->timer.setTimerType(Qt::PreciseTimer);
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->read(); });
}

void FeedLoop::start()
{
	this->turn += 1;
	this->position.reset();
	this->backoff = 0;
	this->read();
}

void FeedLoop::stop()
{
	this->turn += 1;
	this->backoff = 0;
	this->timer.stop();
}

void FeedLoop::setWait(Micros _wait)
{
	this->pace.wait = _wait;
}

bool FeedLoop::known() const
{
	return this->everRead;
}

bool FeedLoop::lost() const
{
	return this->backoff > 0;
}

void FeedLoop::read()
{
	this->begunAt = monotonicNow();
	const auto whenDone = [this, began = this->turn](bool _whole)
	{
		return [this, began, _whole](const absl::StatusOr<FeedPage>& _page)
		{
			if (began == this->turn)
			{
				this->done(_page, _whole);
			}
		};
	};
	if (!this->position)
	{
		this->feed.readSnapshot(this->topic, whenDone(true));
		return;
	}
	this->wait = this->waitNow();
	const Micros limit = this->lost() ? kPatientLimit : kPromptLimit;
	this->feed.readChanges(this->topic, *this->position, this->wait, limit, whenDone(false));
}

Micros FeedLoop::waitNow() const
{
	if (this->lost())
	{
		return 0; // An answer at once says sooner that the platform is back.
	}
	const Micros left = kOldest - (this->begunAt - this->knownAt);
	return std::min(this->pace.wait, std::max(kLeastWait, left));
}

void FeedLoop::done(const absl::StatusOr<FeedPage>& _page, bool _whole)
{
	if (!_page.ok())
	{
		this->failed(_page.status());
		return;
	}
	if (this->lost())
	{
		logEvent("feed", "regained", {{"topic", nameOf(this->topic)}});
	}
	this->backoff = 0;
	this->everRead = true;
	// Without anything new the platform answers only after the wait, and knows by then that there was nothing.
	const bool nothingNew = !_whole && _page->next == this->position;
	this->knownAt = this->begunAt + (nothingNew ? this->wait : 0);
	this->position = _page->next;
	this->handlers.onRead(FeedReading{*_page, _whole, this->knownAt});
	this->timer.start(toMs(this->pace.pause));
}

void FeedLoop::failed(const absl::Status& _status)
{
	if (absl::IsOutOfRange(_status))
	{
		logEvent("feed", "changes_gone", {{"topic", nameOf(this->topic)}});
		this->position.reset();
		this->timer.start(0);
		return;
	}
	if (!this->lost())
	{
		logEvent("feed", "lost",
				 {{"topic", nameOf(this->topic)},
				  {"error", std::string(_status.message())},
				  {"after_ms", (monotonicNow() - this->begunAt) / kMillisecond}});
	}
	this->handlers.onFailed();
	this->backoff = this->lost() ? std::min(kLongestBackoff, this->backoff * 2) : kFirstBackoff;
	this->timer.start(toMs(this->backoff));
}

} // namespace roadferry
