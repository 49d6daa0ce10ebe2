/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the answer to a forwarded request.

#include "forward_answer.h"

#include "clock.h"
#include "json.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr unsigned kFirstFailure = 400;
constexpr unsigned kFirstServerFailure = 500;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

/// Statuses by which a server promises that the request has not run.
bool promisesNotRun(unsigned _status)
{
	return _status == kTooManyRequests || _status == kUnavailable;
}

} // namespace

ForwardAnswer::ForwardAnswer(const Wire& _wire, std::shared_ptr<HttpReply> _reply, std::string _requestId,
							 bool _streaming, bool _repeatable)
	: wire(_wire), client(std::move(_reply)), requestId(std::move(_requestId)), streaming(_streaming),
	  repeatable(_repeatable)
{
}

void ForwardAnswer::beginAttempt()
{
	this->current.reset();
	this->cutter = EventSplitter();
	this->body.clear();
	this->spoiled = false;
}

HeadVerdict ForwardAnswer::takeHead(unsigned _status, const HttpHeaders& _headers)
{
	ForwardHead head = this->wire.readHead(_status, _headers);
	if (head.requestId != this->requestId && !head.notRun)
	{
		return HeadVerdict::Skip;
	}
	this->current = std::move(head);
	return HeadVerdict::Accept;
}

bool ForwardAnswer::isGood() const
{
	return this->current && this->current->status < kFirstFailure && this->current->authentic &&
		   !this->current->encoded && !this->current->notRun;
}

void ForwardAnswer::takeData(const std::string& _bytes)
{
	if (!this->streaming || !this->isGood())
	{
		this->body += _bytes;
		return;
	}
	for (const std::string& event : this->cutter.take(_bytes))
	{
		this->passEvent(event);
	}
	this->spoiled = this->spoiled || this->cutter.overflown();
}

void ForwardAnswer::passEvent(const std::string& _event)
{
	const auto number = this->wire.eventNumber(_event);
	if (number && this->last && *number <= *this->last)
	{
		return; // The client has it from an earlier attempt.
	}
	this->startStream();
	const Micros now = monotonicNow();
	StreamTimes& times = this->streamTimes;
	times.longestPause = times.events == 0 ? 0 : std::max(times.longestPause, now - times.lastAt);
	times.firstAt = times.events == 0 ? now : times.firstAt;
	times.lastAt = now;
	times.events += 1;
	this->client->write(_event);
	if (number)
	{
		this->last = number;
	}
}

void ForwardAnswer::startStream()
{
	if (!this->streamStarted)
	{
		this->streamStarted = true;
		this->client->startStream(this->current->status, this->current->headers);
	}
}

AttemptEnd ForwardAnswer::endAttempt(const CallEnd& _end)
{
	if (_end.result == CallResult::NotSent)
	{
		return AttemptNotSent{};
	}
	if (_end.result == CallResult::Interrupted || !this->current)
	{
		return AttemptInterrupted{};
	}
	if (this->current->notRun)
	{
		return AttemptRefused{};
	}
	if (this->isGood() && this->streaming)
	{
		if (this->spoiled || this->cutter.hasPart())
		{
			return AttemptInterrupted{};
		}
		this->startStream();
		return AttemptAnswered{};
	}
	const unsigned status = this->current->status;
	if (status < kFirstFailure && !this->isGood())
	{
		return AttemptInterrupted{};
	}
	if (this->streamStarted || (promisesNotRun(status) && !this->repeatable))
	{
		// A failure has no place inside a stream; and this status would promise what the endpoint did not.
		return AttemptInterrupted{};
	}
	this->keptHead = this->current;
	this->keptBody = _end.body.empty() ? this->body : _end.body;
	const bool tryAgain = status >= kFirstServerFailure && this->repeatable;
	return tryAgain ? AttemptEnd(AttemptInterrupted{}) : AttemptEnd(AttemptAnswered{});
}

void ForwardAnswer::deliver()
{
	if (this->streamStarted)
	{
		this->client->endStream();
		return;
	}
	HttpResponse response;
	response.status = this->keptHead->status;
	response.contentType.clear();
	response.headers = this->keptHead->headers;
	response.body = std::move(this->keptBody);
	this->client->send(std::move(response));
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
	this->client->send(std::move(response));
}

void ForwardAnswer::abort()
{
	this->client->abort();
}

bool ForwardAnswer::hasFailure() const
{
	return this->keptHead.has_value() && !this->streamStarted;
}

bool ForwardAnswer::started() const
{
	return this->streamStarted;
}

std::optional<std::uint64_t> ForwardAnswer::lastEvent() const
{
	return this->last;
}

const std::optional<ForwardHead>& ForwardAnswer::head() const
{
	return this->current;
}

const ForwardAnswer::StreamTimes& ForwardAnswer::times() const
{
	return this->streamTimes;
}

const std::shared_ptr<HttpReply>& ForwardAnswer::reply() const
{
	return this->client;
}

} // namespace roadferry
