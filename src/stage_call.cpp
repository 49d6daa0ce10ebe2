/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of an attempt: builds the request, and checks that the response is complete.

#include "stage_call.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr std::size_t kMaxEventBytes = 1024 * 1024;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

QString text(const std::string& _text)
{
	return QString::fromStdString(_text);
}

std::string makeBody(const StageCallSpec& _spec)
{
	QJsonObject object{{"attempt", text(_spec.attemptId)},
					   {"request", text(_spec.requestId)},
					   {"stage", text(_spec.attempt.stage)},
					   {"once", _spec.attempt.atMostOnce},
					   {"input", _spec.input}};
	if (!_spec.previousOutput.isUndefined())
	{
		object["previous"] = _spec.previousOutput;
	}
	if (_spec.attempt.kind == StageKind::Engine)
	{
		object["max_tokens"] = static_cast<qint64>(_spec.maxTokens);
		object["resume"] = static_cast<qint64>(_spec.resumePosition);
	}
	return toText(object);
}

/// Parses the event stream of an engine, or the single response of a stage that does not stream.
class ResponseReader
{
public:
	ResponseReader(std::string _attempt, std::int64_t _resumePosition, StageCallHandlers _handlers)
		: attempt(std::move(_attempt)), handlers(std::move(_handlers)), position(_resumePosition)
	{
	}

	/// Parses the next part of a stream.
	void append(const std::string& _piece)
	{
		if (!this->error.empty())
		{
			return;
		}
		this->buffer += _piece;
		std::size_t end = this->buffer.find("\n\n");
		while (end != std::string::npos)
		{
			this->parseEvent(this->buffer.substr(0, end));
			this->buffer.erase(0, end + 2);
			end = this->buffer.find("\n\n");
		}
		if (this->buffer.size() > kMaxEventBytes)
		{
			this->setError("event larger than 1 MB");
			this->buffer.clear();
		}
	}

	/// Reports the result of the attempt when the call has ended.
	void end(const CallEnd& _end, bool _streams)
	{
		this->handlers.onEnd(this->makeResult(_end, _streams));
	}

private:
	void setError(const std::string& _error)
	{
		if (this->error.empty())
		{
			this->error = _error;
		}
	}

	void parseEvent(const std::string& _event)
	{
		static const std::string s_prefix = "data: ";
		if (!this->error.empty() || _event.compare(0, s_prefix.size(), s_prefix) != 0)
		{
			return;
		}
		const auto object = parseObject(_event.substr(s_prefix.size()));
		if (!object.ok())
		{
			this->setError("event is not JSON");
			return;
		}
		if (object->value("attempt").toString() != text(this->attempt))
		{
			this->setError("answer of another attempt");
			return;
		}
		if (object->value("done").toBool())
		{
			this->isComplete = object->value("tokens").toInteger(-1) == this->position;
			return;
		}
		this->parseToken(*object);
	}

	void parseToken(const QJsonObject& _object)
	{
		if (_object.value("position").toInteger(-1) != this->position)
		{
			this->setError("gap or overlap in the stream");
			return;
		}
		this->handlers.onToken(this->position, _object.value("text").toString().toStdString());
		this->position += 1;
	}

	StageResult makeResult(const CallEnd& _end, bool _streams)
	{
		StageResult result;
		result.error = this->error.empty() ? _end.error : this->error;
		if (_end.result == CallResult::NotSent)
		{
			result.end = AttemptNotSent{};
			return result;
		}
		result.end = AttemptInterrupted{};
		if (_end.result == CallResult::Interrupted)
		{
			return result;
		}
		if (_end.status == kStatusUnavailable && this->isNotStarted(_end.body))
		{
			result.end = AttemptRefused{};
			result.error = "refused by the endpoint";
			return result;
		}
		if (_end.status != kStatusOk)
		{
			result.error = absl::StrCat("status ", _end.status);
			return result;
		}
		if (_streams)
		{
			return this->streamResult(std::move(result));
		}
		return this->bodyResult(std::move(result), _end.body);
	}

	[[nodiscard]] bool isNotStarted(const std::string& _body) const
	{
		// The body of a stream has arrived through append() and is in the buffer.
		const auto object = parseObject(_body.empty() ? this->buffer : _body);
		return object.ok() && object->value("not_begun").toBool();
	}

	StageResult streamResult(StageResult _result) const
	{
		if (this->isComplete && this->error.empty())
		{
			_result.end = AttemptAnswered{};
			return _result;
		}
		if (_result.error.empty())
		{
			_result.error = "stream ended before its last token";
		}
		return _result;
	}

	StageResult bodyResult(StageResult _result, const std::string& _body) const
	{
		const auto object = parseObject(_body);
		if (!object.ok())
		{
			_result.error = "answer is not JSON";
			return _result;
		}
		if (object->value("attempt").toString() != text(this->attempt))
		{
			_result.error = "answer of another attempt";
			return _result;
		}
		_result.output = object->value("output");
		_result.end = AttemptAnswered{};
		return _result;
	}

	std::string attempt;
	StageCallHandlers handlers;
	std::string buffer;
	std::string error;
	std::int64_t position;
	bool isComplete = false;
};

} // namespace

std::shared_ptr<HttpCall> startStageCall(HttpClient& _client, std::size_t _thread, const StageCallSpec& _spec,
										 StageCallHandlers _handlers)
{
	const bool streams = _spec.attempt.kind == StageKind::Engine;
	auto reader = std::make_shared<ResponseReader>(_spec.attemptId, _spec.resumePosition, std::move(_handlers));
	CallSpec call;
	call.address = _spec.attempt.address;
	call.timeout = _spec.timeout;
	call.forceNewConnection = _spec.attempt.atMostOnce;
	call.request.method = "POST";
	call.request.target = "/v1/run";
	call.request.headers = {{"Content-Type", "application/json"}, {"traceparent", _spec.trace.toTraceparent()}};
	call.request.body = makeBody(_spec);
	CallHandlers handlers;
	if (streams)
	{
		handlers.onData = [reader](const std::string& _piece) { reader->append(_piece); };
	}
	handlers.onEnd = [reader, streams](const CallEnd& _end) { reader->end(_end, streams); };
	return _client.call(_thread, std::move(call), std::move(handlers));
}

} // namespace roadferry
