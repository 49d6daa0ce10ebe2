/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of ForwardAnswer.

#include "forward_answer.h"

#include "clock.h"
#include "json.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace roadferry
{

namespace
{

/// Runs that must agree on the end of a stream, unless PoolStreams tells how many.
constexpr std::int64_t kAgreeingRuns = 3;
constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kFirstServerErrorStatus = 500;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kMaxRefusalBytes = 64 * 1024; ///< Of the body of a refusal, which is not used.
constexpr std::size_t kFirstOverlap = 3;            ///< Events that the first run to overlap is asked for again.
constexpr std::size_t kOverlapStep = 2;             ///< More of them for each run that has agreed on the end.
constexpr std::size_t kMaxRecentIds = 16;

/// @returns Whether a status tells the client that the request has not run.
bool impliesNotRun(unsigned _status)
{
	return _status == kTooManyRequests || _status == kUnavailable;
}

} // namespace

ForwardAnswer::ForwardAnswer(const WireFormat& _wire, std::shared_ptr<HttpReply> _reply, std::string _requestId,
							 bool _streaming, bool _repeatable, std::size_t _maxBytes)
	: wire(_wire), clientReply(std::move(_reply)), requestId(std::move(_requestId)), streaming(_streaming),
	  repeatable(_repeatable), maxBytes(_maxBytes), requiredRuns(kAgreeingRuns)
{
}

void ForwardAnswer::onStart(std::function<void()> _handler)
{
	this->startHandler = std::move(_handler);
}

void ForwardAnswer::resumeAfter(std::uint64_t _eventId)
{
	this->lastId = _eventId;
}

void ForwardAnswer::allowRepeats()
{
	this->repeatable = true;
}

void ForwardAnswer::addKnownEnd(const AgreeingRuns& _known)
{
	const bool tellsMore = _known.lastEvent != this->agreeing.lastEvent || _known.runs > this->agreeing.runs;
	const bool isEarlier = this->lastId && _known.lastEvent < *this->lastId;
	this->agreeing = tellsMore && !isEarlier ? _known : this->agreeing;
}

void ForwardAnswer::requireAgreeingRuns(std::int64_t _runs)
{
	this->requiredRuns = _runs;
}

void ForwardAnswer::beginAttempt(bool _resumes, bool _overlaps)
{
	this->sparseIds = false;
	this->resumes = _resumes;
	this->overlaps = _overlaps;
	this->hasEvents = false;
	this->currentHead.reset();
	this->splitter = EventSplitter();
	this->refusalBytes = 0;
	this->body = std::string(); // Also frees its memory.
	this->attemptLastId.reset();
	this->streamInvalid = false;
}

HeadVerdict ForwardAnswer::receiveHead(unsigned _status, const HttpHeaders& _headers)
{
	ForwardHead head = this->wire.parseHead(_status, _headers);
	// A rejection may lack the id. One with another id is a late copy for a request before this one, which may run.
	const bool isOfOther = !head.requestId.empty() && head.requestId != this->requestId;
	const bool isOfUnknown = head.requestId.empty() && !head.notRun;
	if (isOfOther || isOfUnknown)
	{
		return HeadVerdict::Skip;
	}
	this->currentHead = std::move(head);
	return HeadVerdict::Accept;
}

bool ForwardAnswer::isUsable() const
{
	return this->currentHead && this->currentHead->status < kFirstErrorStatus && this->currentHead->hasSignature &&
		   !this->currentHead->contentEncoded && !this->currentHead->notRun;
}

bool ForwardAnswer::receiveData(const std::string& _bytes)
{
	if (this->currentHead && this->currentHead->notRun)
	{
		this->refusalBytes += _bytes.size();
		return this->refusalBytes <= kMaxRefusalBytes;
	}
	if (!this->streaming || !this->isUsable())
	{
		this->body += _bytes;
		return this->body.size() <= this->maxBytes;
	}
	for (const std::string& event : this->splitter.append(_bytes))
	{
		this->sparseIds = this->sparseIds || this->isAfterGap(event);
		this->streamInvalid = this->streamInvalid || !this->follows(event);
		if (!this->streamInvalid)
		{
			this->forwardEvent(event);
		}
	}
	this->streamInvalid = this->streamInvalid || this->splitter.exceedsLimit();
	return !this->streamInvalid;
}

std::size_t ForwardAnswer::bufferedBytes() const
{
	return this->body.size() + this->splitter.size();
}

/// @returns Whether no event is missing before this one, as far as ids tell: within a run they rise, by any number. The
/// first event of a run may be one that the client has. Only by its id can it follow the client's last one directly.
bool ForwardAnswer::follows(const std::string& _event) const
{
	const auto number = this->wire.eventId(_event);
	if (!number)
	{
		return true;
	}
	if (!this->attemptLastId)
	{
		return !this->lastId || *number <= *this->lastId || *number - 1 == *this->lastId;
	}
	// A run that leaves out the client's last event is not one of the same events.
	const bool beganBefore = this->lastId && *this->lastId > *this->attemptLastId;
	const bool leavesOutLast = beganBefore && *number > this->lastId.value_or(0);
	return *number > *this->attemptLastId && !leavesOutLast;
}

/// @returns Whether the id of an event shows that ids rise by more than one.
bool ForwardAnswer::isAfterGap(const std::string& _event) const
{
	const auto number = this->wire.eventId(_event);
	const std::optional<std::uint64_t> before = this->attemptLastId ? this->attemptLastId : this->lastId;
	return number && before && *number > *before && *number - 1 > *before;
}

void ForwardAnswer::forwardEvent(const std::string& _event)
{
	const auto number = this->wire.eventId(_event);
	this->attemptLastId = number ? number : this->attemptLastId;
	if (number && this->lastId && *number <= *this->lastId)
	{
		return; // The client has this event from an earlier attempt or submission.
	}
	this->noteFurtherEvent(number || hasData(_event));
	this->startStream();
	const Micros now = monotonicNow();
	StreamTimes& times = this->streamTimes;
	times.longestPause = times.events == 0 ? 0 : std::max(times.longestPause, now - times.lastAt);
	times.firstAt = times.events == 0 ? now : times.firstAt;
	times.lastAt = now;
	times.events += 1;
	this->clientReply->write(_event);
	this->lastId = number ? number : this->lastId;
	this->rememberId(number);
	this->sentUnnumbered = this->sentUnnumbered || (!number && hasData(_event));
}

/// Notes an event that the client does not have. After an end that only a connection told, it shows that there is more.
void ForwardAnswer::noteFurtherEvent(bool _hasContent)
{
	if (!_hasContent)
	{
		return;
	}
	this->hasEvents = true;
	if (this->agreeingRuns().runs > 0)
	{
		this->endFinding = EarlyEnd{this->agreeing.lastEvent};
		this->agreeing = AgreeingRuns{};
	}
}

void ForwardAnswer::rememberId(std::optional<std::uint64_t> _number)
{
	if (!_number)
	{
		return;
	}
	this->recentIds.push_back(*_number);
	if (this->recentIds.size() > kMaxRecentIds)
	{
		this->recentIds.pop_front();
	}
}

void ForwardAnswer::startStream()
{
	if (!this->streamStarted)
	{
		this->streamStarted = true;
		if (this->startHandler)
		{
			this->startHandler();
		}
		this->clientReply->startStream(this->currentHead->status, this->currentHead->headers);
	}
}

AttemptEnd ForwardAnswer::endAttempt(const CallEnd& _end)
{
	if (_end.result == CallResult::NotSent)
	{
		return AttemptNotSent{};
	}
	if (this->currentHead && this->currentHead->notRun)
	{
		return AttemptRefused{}; // Also if the rest of the refusal is missing.
	}
	if (_end.result == CallResult::Interrupted || !this->currentHead)
	{
		return AttemptInterrupted{};
	}
	if (this->isUsable() && this->streaming)
	{
		if (this->streamInvalid || this->splitter.hasPartialEvent())
		{
			return AttemptInterrupted{};
		}
		if (_end.endsWithConnection)
		{
			return this->endWithoutMark();
		}
		if (this->endsBeforeLast())
		{
			return AttemptInterrupted{};
		}
		this->startStream();
		return AttemptAnswered{};
	}
	const unsigned status = this->currentHead->status;
	if (status < kFirstErrorStatus && !this->isUsable())
	{
		return AttemptInterrupted{};
	}
	if (this->streamStarted || (impliesNotRun(status) && !this->repeatable))
	{
		// An error response cannot follow a stream that has begun. A status that tells the client that the request has
		// not run must not be passed on either, since the endpoint did not state that.
		return AttemptInterrupted{};
	}
	this->keptHead = this->currentHead;
	this->keptBody = _end.body.empty() ? this->body : _end.body;
	const bool mayRetry = status >= kFirstServerErrorStatus && this->repeatable;
	return mayRetry ? AttemptEnd(AttemptInterrupted{}) : AttemptEnd(AttemptAnswered{});
}

/// Whether a run ended before an event that the client has, so that its end is not that of the stream.
bool ForwardAnswer::endsBeforeLast() const
{
	if (!this->attemptLastId)
	{
		return this->overlaps && !this->hasEvents;
	}
	return this->lastId && *this->attemptLastId < *this->lastId;
}

/// Ends an attempt whose stream is not cut inside an event, but has no mark of its end either.
AttemptEnd ForwardAnswer::endWithoutMark()
{
	const bool canAskOn = this->repeatable && this->lastId.has_value() && this->canContinue();
	if (canAskOn)
	{
		return this->endUnlessProven();
	}
	// A stream has events, unless the client has all of them already.
	const bool isWithoutEvents = !this->hasEvents && !(this->repeatable && this->resumes);
	if (isWithoutEvents)
	{
		return AttemptInterrupted{};
	}
	this->startStream();
	return AttemptAnswered{};
}

/// Ends an attempt of a stream whose end is proven by runs that agree on its last event.
AttemptEnd ForwardAnswer::endUnlessProven()
{
	const bool bringsNothing = !this->attemptLastId && !this->hasEvents;
	if (bringsNothing)
	{
		// The client has all events, or the run failed. One that was asked for an event that exists has failed.
		this->endFinding = this->overlaps ? EndFinding(EarlyEnd{}) : EndFinding();
		return this->overlaps ? AttemptEnd(AttemptInterrupted{}) : AttemptEnd(AttemptEndUnproven{});
	}
	const bool reachesLast = this->attemptLastId && *this->attemptLastId == *this->lastId;
	if (!reachesLast)
	{
		this->endFinding = EarlyEnd{this->attemptLastId.value_or(0)};
		return AttemptEndUnproven{}; // It tells nothing of what comes after the client's last event.
	}
	const std::int64_t runsBefore = this->agreeingRuns().runs;
	this->agreeing = AgreeingRuns{*this->lastId, runsBefore + 1};
	this->endedHead = this->currentHead;
	this->endFinding = runsBefore > 0 ? EndFinding(ConfirmedEnd{}) : EndFinding(PlausibleEnd{*this->lastId});
	if (this->agreeing.runs < this->requiredRuns)
	{
		return AttemptEndUnproven{};
	}
	this->startStream();
	return AttemptAnswered{};
}

void ForwardAnswer::deliver()
{
	if (this->streamStarted)
	{
		this->clientReply->endStream();
		return;
	}
	HttpResponse response;
	response.status = this->keptHead->status;
	response.contentType.clear();
	response.headers = this->keptHead->headers;
	response.body = std::move(this->keptBody);
	this->clientReply->send(std::move(response));
}

bool ForwardAnswer::hasPlausibleEnd() const
{
	return this->agreeingRuns().runs > 0 && (this->streamStarted || this->endedHead.has_value());
}

void ForwardAnswer::deliverUnproven()
{
	if (!this->streamStarted)
	{
		this->currentHead = this->endedHead;
		this->startStream();
	}
	this->clientReply->endStream();
}

EndFinding ForwardAnswer::takeEndFinding()
{
	return std::exchange(this->endFinding, EndFinding());
}

void ForwardAnswer::refuse(unsigned _status, Micros _retryAfter, const std::string& _code, const std::string& _message)
{
	HttpResponse response;
	response.status = _status;
	if (_retryAfter > 0)
	{
		const double seconds = static_cast<double>(_retryAfter) / static_cast<double>(kSecond);
		response.headers.emplace_back("Retry-After", absl::StrCat(seconds));
	}
	const QJsonObject error{{"code", QString::fromStdString(_code)}, {"message", QString::fromStdString(_message)}};
	response.body = toText(QJsonObject{{"error", error}});
	this->clientReply->send(std::move(response));
}

void ForwardAnswer::abort()
{
	this->clientReply->abort();
}

bool ForwardAnswer::hasErrorResponse() const
{
	return this->keptHead.has_value() && !this->streamStarted;
}

bool ForwardAnswer::canContinue() const
{
	return !this->sentUnnumbered;
}

bool ForwardAnswer::hasStarted() const
{
	return this->streamStarted;
}

std::optional<std::uint64_t> ForwardAnswer::lastEventId() const
{
	return this->lastId;
}

std::optional<std::uint64_t> ForwardAnswer::overlapStart() const
{
	const std::size_t events = kFirstOverlap + kOverlapStep * static_cast<std::size_t>(this->agreeingRuns().runs);
	if (this->recentIds.size() > events)
	{
		return this->recentIds[this->recentIds.size() - 1 - events];
	}
	const bool hasEarlierIds = this->lastId && *this->lastId > 0;
	return hasEarlierIds ? std::optional(*this->lastId - std::min<std::uint64_t>(events, *this->lastId)) : std::nullopt;
}

AgreeingRuns ForwardAnswer::agreeingRuns() const
{
	const bool isOfLast = this->lastId && this->agreeing.lastEvent == *this->lastId;
	return isOfLast ? this->agreeing : AgreeingRuns{};
}

bool ForwardAnswer::hasSparseIds() const
{
	return this->sparseIds;
}

const std::optional<ForwardHead>& ForwardAnswer::head() const
{
	return this->currentHead;
}

const ForwardAnswer::StreamTimes& ForwardAnswer::times() const
{
	return this->streamTimes;
}

const std::shared_ptr<HttpReply>& ForwardAnswer::reply() const
{
	return this->clientReply;
}

} // namespace roadferry
