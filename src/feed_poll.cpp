/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of FeedPoll.

#include <roadferry/parts/feed_poll.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

FeedPoll::FeedPoll(FeedPollConfig _config) : config(_config)
{
}

FeedPollActions FeedPoll::start(Micros _now)
{
	this->stop();
	FeedPollActions actions;
	this->startRead(_now, actions);
	return actions;
}

void FeedPoll::stop()
{
	this->clearReads();
	this->hasSnapshot = false;
	this->snapshotStartedAt.reset();
	this->lost = false;
	this->backoff = 0;
}

void FeedPoll::setPollWait(Micros _wait)
{
	this->config.pollWait = _wait;
}

bool FeedPoll::isLost() const
{
	return this->lost;
}

FeedPoll::Read* FeedPoll::find(std::uint64_t _read)
{
	if (this->openRead && this->openRead->id == _read)
	{
		return &*this->openRead;
	}
	return this->repeatedRead && this->repeatedRead->id == _read ? &*this->repeatedRead : nullptr;
}

void FeedPoll::clearReads()
{
	this->openRead.reset();
	this->repeatedRead.reset();
	this->dueAt.reset();
}

Micros FeedPoll::nextPollWait(Micros _now) const
{
	if (!this->hasSnapshot || this->lost)
	{
		return 0; // An immediate answer shows the platform's recovery earlier.
	}
	const Micros remaining = this->config.maxAge - (_now - this->asOf) - this->answerTime;
	return std::min(this->config.pollWait, std::max(this->config.minPollWait, remaining));
}

void FeedPoll::startRead(Micros _now, FeedPollActions& _actions)
{
	const bool isRepeat = this->openRead.has_value();
	const Micros wait = isRepeat ? 0 : this->nextPollWait(_now);
	const Micros timeout = isRepeat ? this->config.repeatTimeout : wait + this->config.patience;
	const Read read{++this->lastRead, _now, wait, false};
	(isRepeat ? this->repeatedRead : this->openRead) = read;
	_actions.emplace_back(StartFeedRead{read.id, !this->hasSnapshot, wait, wait + this->config.lateAfter, timeout});
}

FeedPollActions FeedPoll::wake(Micros _now)
{
	FeedPollActions actions;
	if (this->dueAt && _now >= *this->dueAt)
	{
		this->dueAt.reset();
		this->startRead(_now, actions);
	}
	return actions;
}

void FeedPoll::reportLost(FeedPollActions& _actions)
{
	if (!this->lost)
	{
		this->lost = true;
		_actions.emplace_back(FeedLost{});
	}
}

void FeedPoll::scheduleRepeat(Micros _now, FeedPollActions& _actions)
{
	const bool isFirst = this->backoff == 0;
	this->backoff = isFirst ? this->config.initialBackoff : std::min(this->config.maxBackoff, 2 * this->backoff);
	this->dueAt = _now + this->backoff;
	_actions.emplace_back(WakeFeedPoll{*this->dueAt});
}

FeedPollActions FeedPoll::onLate(std::uint64_t _read, Micros _now)
{
	FeedPollActions actions;
	Read* const read = this->find(_read);
	if (read == nullptr)
	{
		return actions;
	}
	read->isLate = true;
	this->reportLost(actions);
	if (!this->repeatedRead && !this->dueAt)
	{
		this->scheduleRepeat(_now, actions);
	}
	return actions;
}

FeedPollActions FeedPoll::onFailed(std::uint64_t _read, Micros _now)
{
	FeedPollActions actions;
	if (this->find(_read) == nullptr)
	{
		return actions;
	}
	this->reportLost(actions);
	const bool isOpenRead = this->openRead && this->openRead->id == _read;
	(isOpenRead ? this->openRead : this->repeatedRead).reset();
	if (!this->repeatedRead && !this->dueAt)
	{
		this->scheduleRepeat(_now, actions);
	}
	return actions;
}

/// Records how long the platform took. An answer with a change may have come at any time of the wait.
void FeedPoll::measure(const Read& _read, const FeedAnswerSummary& _answer, Micros _now)
{
	if (_read.wait > 0 && !_answer.isUnchanged)
	{
		return;
	}
	const Micros measured = std::max<Micros>(0, _now - _read.startedAt - _read.wait);
	this->answerTime = std::max(measured, this->answerTime * 3 / 4);
}

FeedPollActions FeedPoll::onAnswer(std::uint64_t _read, const FeedAnswerSummary& _answer, Micros _now)
{
	FeedPollActions actions;
	const Read* const found = this->find(_read);
	if (found == nullptr)
	{
		return actions;
	}
	const Read read = *found;
	const bool isSnapshot = !this->hasSnapshot;
	this->measure(read, _answer, _now);
	this->clearReads();
	// The platform answers without changes only after the wait, and the answer covers that time, too.
	Micros answerAsOf = read.startedAt + (_answer.isUnchanged ? read.wait : 0);
	bool isLate = read.isLate;
	if (isSnapshot)
	{
		this->isSnapshotLate = read.isLate || (this->snapshotStartedAt && this->isSnapshotLate);
		this->snapshotStartedAt = this->snapshotStartedAt.value_or(read.startedAt);
		answerAsOf = *this->snapshotStartedAt;
		isLate = this->isSnapshotLate;
	}
	actions.emplace_back(ApplyFeedAnswer{answerAsOf, isSnapshot, !_answer.hasMorePages, isLate});
	if (_answer.hasMorePages)
	{
		this->startRead(_now, actions);
		return actions;
	}
	this->hasSnapshot = true;
	this->snapshotStartedAt.reset();
	this->asOf = answerAsOf;
	if (!isLate)
	{
		this->backoff = 0;
		if (std::exchange(this->lost, false))
		{
			actions.emplace_back(FeedRegained{});
		}
	}
	this->scheduleNext(_now, actions);
	return actions;
}

/// Schedules the read after an answer. The time that the platform takes to answer shortens the pause.
void FeedPoll::scheduleNext(Micros _now, FeedPollActions& _actions)
{
	const Micros shortest = std::min(this->config.pause, this->config.minPause);
	this->dueAt = _now + std::max(shortest, this->config.pause - this->answerTime);
	_actions.emplace_back(WakeFeedPoll{*this->dueAt});
}

FeedPollActions FeedPoll::onChangesGone(std::uint64_t _read, Micros _now)
{
	FeedPollActions actions;
	if (this->find(_read) != nullptr)
	{
		this->clearReads();
		this->hasSnapshot = false;
		this->startRead(_now, actions);
	}
	return actions;
}

FeedPollActions FeedPoll::onSnapshotUnusable(std::uint64_t _read, Micros _now)
{
	if (this->find(_read) != nullptr)
	{
		this->snapshotStartedAt.reset();
	}
	return this->onFailed(_read, _now);
}

} // namespace roadferry
