/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of an attempt: what is sent, and what counts as a whole answer.

#include "stage_call.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr std::size_t kEventLimit = 1024 * 1024;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

QString text(const std::string& _text)
{
	return QString::fromStdString(_text);
}

std::string bodyOf(const StageCallSpec& _spec)
{
	QJsonObject object{{"attempt", text(_spec.attemptText)},
					   {"request", text(_spec.requestText)},
					   {"stage", text(_spec.attempt.stage)},
					   {"once", _spec.attempt.atMostOnce},
					   {"input", _spec.input}};
	if (!_spec.previous.isUndefined())
	{
		object["previous"] = _spec.previous;
	}
	if (_spec.attempt.kind == StageKind::Engine)
	{
		object["max_tokens"] = static_cast<qint64>(_spec.maxTokens);
		object["resume"] = static_cast<qint64>(_spec.resume);
	}
	return toText(object);
}

/// Reads an engine's stream of events, and the answer of a stage that does not stream.
class AnswerReader
{
public:
	AnswerReader(std::string _attempt, std::int64_t _resume, StageCallHandlers _handlers)
		: attempt(std::move(_attempt)), handlers(std::move(_handlers)), position(_resume)
	{
	}

	/// Takes a piece of a stream.
	void data(const std::string& _piece)
	{
		this->buffer += _piece;
		std::size_t end = this->buffer.find("\n\n");
		while (end != std::string::npos)
		{
			this->event(this->buffer.substr(0, end));
			this->buffer.erase(0, end + 2);
			end = this->buffer.find("\n\n");
		}
		if (this->buffer.size() > kEventLimit)
		{
			this->spoil("event larger than 1 MB");
		}
	}

	/// Takes the end of the call.
	void end(const CallEnd& _end, bool _streams)
	{
		this->handlers.onEnd(this->resultOf(_end, _streams));
	}

private:
	void spoil(const std::string& _why)
	{
		if (this->fault.empty())
		{
			this->fault = _why;
		}
	}

	void event(const std::string& _event)
	{
		static const std::string s_prefix = "data: ";
		if (!this->fault.empty() || _event.compare(0, s_prefix.size(), s_prefix) != 0)
		{
			return;
		}
		const auto object = parseObject(_event.substr(s_prefix.size()));
		if (!object.ok())
		{
			this->spoil("event is not JSON");
			return;
		}
		if (object->value("attempt").toString() != text(this->attempt))
		{
			this->spoil("answer of another attempt");
			return;
		}
		if (object->value("done").toBool())
		{
			this->done = object->value("tokens").toInteger(-1) == this->position;
			return;
		}
		this->token(*object);
	}

	void token(const QJsonObject& _object)
	{
		if (_object.value("position").toInteger(-1) != this->position)
		{
			this->spoil("gap or overlap in the stream");
			return;
		}
		this->handlers.onToken(this->position, _object.value("text").toString().toStdString());
		this->position += 1;
	}

	StageResult resultOf(const CallEnd& _end, bool _streams)
	{
		StageResult result;
		result.error = this->fault.empty() ? _end.error : this->fault;
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
		if (_end.status == kStatusUnavailable && this->notBegun(_end.body))
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
			return this->streamed(std::move(result));
		}
		return this->whole(std::move(result), _end.body);
	}

	[[nodiscard]] bool notBegun(const std::string& _body) const
	{
		// A stream hands its body over piece by piece, so that it is in the buffer.
		const auto object = parseObject(_body.empty() ? this->buffer : _body);
		return object.ok() && object->value("not_begun").toBool();
	}

	StageResult streamed(StageResult _result) const
	{
		if (this->done && this->fault.empty())
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

	StageResult whole(StageResult _result, const std::string& _body) const
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
	std::string fault;
	std::int64_t position;
	bool done = false;
};

} // namespace

std::shared_ptr<HttpCall> startStageCall(HttpClient& _client, std::size_t _thread, const StageCallSpec& _spec,
										 StageCallHandlers _handlers)
{
	const bool streams = _spec.attempt.kind == StageKind::Engine;
	auto reader = std::make_shared<AnswerReader>(_spec.attemptText, _spec.resume, std::move(_handlers));
	CallSpec call;
	call.address = _spec.attempt.address;
	call.timeout = _spec.timeout;
	call.forceNewConnection = _spec.attempt.atMostOnce;
	call.request.method = "POST";
	call.request.target = "/v1/run";
	call.request.headers = {{"Content-Type", "application/json"}, {"traceparent", _spec.trace.toTraceparent()}};
	call.request.body = bodyOf(_spec);
	CallHandlers handlers;
	if (streams)
	{
		handlers.onData = [reader](const std::string& _piece) { reader->data(_piece); };
	}
	handlers.onEnd = [reader, streams](const CallEnd& _end) { reader->end(_end, streams); };
	return _client.call(_thread, std::move(call), std::move(handlers));
}

} // namespace roadferry
