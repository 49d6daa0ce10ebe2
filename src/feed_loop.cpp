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
constexpr Micros kLongestBackoff = kSecond; ///< Bounds how late the platform's return is noticed.

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
		this->feed.readWhole(this->topic, whenDone(true));
		return;
	}
	// After a failure an answer at once says sooner that the platform is back.
	const Micros wait = this->lost() ? 0 : this->pace.wait;
	this->feed.readFrom(this->topic, *this->position, wait, whenDone(false));
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
	this->position = _page->next;
	this->handlers.onRead(FeedReading{*_page, _whole, this->begunAt});
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
