/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for encoders, retrievers, rerankers, plain services and engines.
///
/// POST /v1/run with {"attempt", "request", "stage", "input", "max_tokens", "resume", "once"} runs one call. The output
/// carries the marker of the input, so that a caller can tell whose answer it holds. An engine streams one event for
/// each token. GET /ledger lists each effect that took place, GET /load the calls under way, POST /leave begins a
/// leave.

#include "standin.h"

#include <deque>

namespace roadferry
{

namespace
{

constexpr std::int64_t kMillisecondUs = 1'000;
constexpr std::int64_t kTokensMost = 100'000;
constexpr std::size_t kTextLimit = 200;

/// One call as it was received.
struct Run
{
	std::string attempt;
	std::string request;
	std::string marker;
	std::string stage;
	std::int64_t tokens = 0;
	std::int64_t position = 0; ///< Next token to send.
	FaultMode fault = FaultMode::None;
	std::shared_ptr<HttpReply> reply;
	bool gone = false;
};

QString text(const std::string& _text)
{
	return QString::fromStdString(_text);
}

std::string eventOf(const QJsonObject& _object)
{
	return "data: " + toText(_object) + "\n\n";
}

/// All state is touched on thread 0 of the pool only.
class EndpointStandin final : public Standin
{
public:
	EndpointStandin(IoPool& _pool, StandinSettings _settings) : pool(_pool), settings(std::move(_settings))
	{
	}

	void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply) override
	{
		if (_request.target == "/v1/run")
		{
			this->receive(_request, _reply);
		}
		else if (_request.target == "/load")
		{
			this->sendLoad(_reply);
		}
		else if (_request.target == "/ledger")
		{
			_reply->send(jsonResponse(200, QJsonObject{{"effects", this->ledger}}));
		}
		else if (_request.target == "/leave")
		{
			this->leaving = true;
			_reply->send(jsonResponse(200, {}));
		}
		else if (_request.target == "/fault")
		{
			this->faults.handle(_request, _reply);
			this->releaseFrozen();
		}
		else
		{
			_reply->send(jsonResponse(404, {}));
		}
	}

private:
	void sendLoad(const std::shared_ptr<HttpReply>& _reply) const
	{
		_reply->send(jsonResponse(200, QJsonObject{{"running", this->running},
												   {"queued", static_cast<qint64>(this->waiting.size())},
												   {"leaving", this->leaving}}));
	}

	void receive(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
	{
		const auto object = parseObject(_request.body);
		if (!object.ok())
		{
			_reply->send(jsonResponse(400, QJsonObject{{"error", text(std::string(object.status().message()))}}));
			return;
		}
		JsonReader reader(*object);
		auto run = std::make_shared<Run>();
		run->attempt = reader.text("attempt", kTextLimit);
		run->request = reader.textOr("request", kTextLimit, "");
		run->stage = reader.textOr("stage", kTextLimit, "");
		run->marker = object->value("input").toObject().value("marker").toString().toStdString();
		run->tokens = reader.integerOr("max_tokens", 0, kTokensMost, 0);
		run->position = reader.integerOr("resume", 0, kTokensMost, 0);
		run->reply = _reply;
		if (!reader.status().ok())
		{
			_reply->send(jsonResponse(400, QJsonObject{{"error", text(std::string(reader.status().message()))}}));
			return;
		}
		this->admit(run);
	}

	void admit(const std::shared_ptr<Run>& _run)
	{
		_run->fault = this->faults.next();
		if (_run->fault == FaultMode::Out)
		{
			_run->reply->abort();
			return;
		}
		if (_run->fault == FaultMode::Refuse)
		{
			_run->reply->send(jsonResponse(503, QJsonObject{{"not_begun", true}}));
			return;
		}
		_run->reply->onGone([_run] { _run->gone = true; });
		if (this->running >= this->settings.slots)
		{
			this->waiting.push_back(_run);
			return;
		}
		this->begin(_run);
	}

	void begin(const std::shared_ptr<Run>& _run)
	{
		this->running += 1;
		this->ledger.append(QJsonObject{{"attempt", text(_run->attempt)},
										{"request", text(_run->request)},
										{"marker", text(_run->marker)},
										{"stage", text(_run->stage)},
										{"resumed", _run->position > 0}});
		if (_run->fault == FaultMode::Freeze)
		{
			this->frozen.push_back(_run);
			return;
		}
		std::int64_t delay = this->settings.serviceMs;
		if (_run->fault == FaultMode::Slow)
		{
			delay += this->faults.milliseconds();
		}
		this->pool.runAfter(0, delay * kMillisecondUs, [this, _run] { this->served(_run); });
	}

	void releaseFrozen()
	{
		const auto runs = std::move(this->frozen);
		this->frozen.clear();
		for (const auto& run : runs)
		{
			this->served(run);
		}
	}

	void served(const std::shared_ptr<Run>& _run)
	{
		if (_run->fault == FaultMode::Drop)
		{
			_run->reply->abort();
			this->end();
			return;
		}
		if (_run->fault == FaultMode::WrongAttempt)
		{
			_run->attempt += "-other";
		}
		if (this->settings.kind == "engine")
		{
			_run->reply->startStream(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
			this->stream(_run);
			return;
		}
		const QJsonObject output{{"marker", text(_run->marker)}, {"by", text(this->settings.kind)}};
		_run->reply->send(jsonResponse(200, QJsonObject{{"attempt", text(_run->attempt)}, {"output", output}}));
		this->end();
	}

	void stream(const std::shared_ptr<Run>& _run)
	{
		const bool cut = _run->fault == FaultMode::Cut && _run->position * 2 >= _run->tokens;
		if (_run->gone || cut)
		{
			_run->reply->abort();
			this->end();
			return;
		}
		if (_run->position >= _run->tokens)
		{
			_run->reply->write(eventOf(QJsonObject{
				{"attempt", text(_run->attempt)}, {"done", true}, {"tokens", static_cast<qint64>(_run->tokens)}}));
			_run->reply->endStream();
			this->end();
			return;
		}
		const QString token = text(_run->marker + ":" + std::to_string(_run->position) + " ");
		_run->reply->write(eventOf(QJsonObject{
			{"attempt", text(_run->attempt)}, {"position", static_cast<qint64>(_run->position)}, {"text", token}}));
		_run->position += 1;
		this->pool.runAfter(0, this->settings.tokenMs * kMillisecondUs, [this, _run] { this->stream(_run); });
	}

	void end()
	{
		this->running -= 1;
		while (!this->waiting.empty() && this->running < this->settings.slots)
		{
			const auto run = this->waiting.front();
			this->waiting.pop_front();
			if (!run->gone)
			{
				this->begin(run);
			}
		}
	}

	IoPool& pool;
	StandinSettings settings;
	FaultSwitch faults;
	QJsonArray ledger;
	std::deque<std::shared_ptr<Run>> waiting;
	std::vector<std::shared_ptr<Run>> frozen;
	qint64 running = 0;
	bool leaving = false;
};

} // namespace

std::unique_ptr<Standin> makeEndpointStandin(IoPool& _pool, const StandinSettings& _settings)
{
	return std::make_unique<EndpointStandin>(_pool, _settings);
}

} // namespace roadferry
