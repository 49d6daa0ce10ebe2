/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for encoders, retrievers, rerankers, plain services and engines.
///
/// - POST /v1/run with {"attempt", "request", "stage", "input", "max_tokens", "resume", "once"} executes one call. The
///   output contains the marker of the input, so that a test can match outputs with inputs. An engine streams one event
///   per token.
/// - GET /ledger lists the calls that were executed.
/// - GET /load returns the numbers of running and queued calls, and whether the endpoint leaves.
/// - POST /leave makes the endpoint report that it leaves.

#include "standin.h"

#include <deque>

namespace roadferry
{

namespace
{

constexpr std::int64_t kMicrosPerMillisecond = 1'000;
constexpr std::int64_t kMaxTokens = 100'000;
constexpr std::size_t kMaxTextLength = 200;

/// A received call.
struct Run
{
	std::string attempt;
	std::string request;
	std::string marker;
	std::string stage;
	std::int64_t tokens = 0;
	std::int64_t position = 0; ///< Index of the next token to send.
	FaultMode fault = FaultMode::None;
	std::shared_ptr<HttpReply> reply;
	bool clientDisconnected = false;
};

QString toQString(const std::string& _text)
{
	return QString::fromStdString(_text);
}

std::string formatEvent(const QJsonObject& _object)
{
	return "data: " + toText(_object) + "\n\n";
}

/// Runs on thread 0 of the pool only.
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
												   {"queued", static_cast<qint64>(this->queued.size())},
												   {"leaving", this->leaving}}));
	}

	void receive(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
	{
		const auto object = parseObject(_request.body);
		if (!object.ok())
		{
			_reply->send(jsonResponse(400, QJsonObject{{"error", toQString(std::string(object.status().message()))}}));
			return;
		}
		JsonReader reader(*object);
		auto run = std::make_shared<Run>();
		run->attempt = reader.text("attempt", kMaxTextLength);
		run->request = reader.textOr("request", kMaxTextLength, "");
		run->stage = reader.textOr("stage", kMaxTextLength, "");
		run->marker = object->value("input").toObject().value("marker").toString().toStdString();
		run->tokens = reader.integerOr("max_tokens", 0, kMaxTokens, 0);
		run->position = reader.integerOr("resume", 0, kMaxTokens, 0);
		run->reply = _reply;
		if (!reader.status().ok())
		{
			_reply->send(jsonResponse(400, QJsonObject{{"error", toQString(std::string(reader.status().message()))}}));
			return;
		}
		this->admit(run);
	}

	/// Starts a call, or queues it when all slots are in use, unless a fault rejects it.
	void admit(const std::shared_ptr<Run>& _run)
	{
		_run->fault = this->faults.takeFault();
		if (_run->fault == FaultMode::Unavailable)
		{
			_run->reply->abort();
			return;
		}
		if (_run->fault == FaultMode::Refuse)
		{
			_run->reply->send(jsonResponse(503, QJsonObject{{"not_begun", true}}));
			return;
		}
		_run->reply->onDisconnect([_run] { _run->clientDisconnected = true; });
		if (this->running >= this->settings.slots)
		{
			this->queued.push_back(_run);
			return;
		}
		this->start(_run);
	}

	void start(const std::shared_ptr<Run>& _run)
	{
		this->running += 1;
		this->ledger.append(QJsonObject{{"attempt", toQString(_run->attempt)},
										{"request", toQString(_run->request)},
										{"marker", toQString(_run->marker)},
										{"stage", toQString(_run->stage)},
										{"resumed", _run->position > 0}});
		if (_run->fault == FaultMode::Freeze)
		{
			this->frozen.push_back(_run);
			return;
		}
		std::int64_t delay = this->settings.serviceMs;
		if (_run->fault == FaultMode::Slow)
		{
			delay += this->faults.slowDelayMs();
		}
		this->pool.runAfter(0, delay * kMicrosPerMillisecond, [this, _run] { this->respond(_run); });
	}

	/// Responds to the calls that FaultMode::Freeze has held back.
	void releaseFrozen()
	{
		const auto runs = std::move(this->frozen);
		this->frozen.clear();
		for (const auto& run : runs)
		{
			this->respond(run);
		}
	}

	/// Sends the response after the service time has passed.
	void respond(const std::shared_ptr<Run>& _run)
	{
		if (_run->fault == FaultMode::DropResponse)
		{
			_run->reply->abort();
			this->finish();
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
		const QJsonObject output{{"marker", toQString(_run->marker)}, {"by", toQString(this->settings.kind)}};
		_run->reply->send(jsonResponse(200, QJsonObject{{"attempt", toQString(_run->attempt)}, {"output", output}}));
		this->finish();
	}

	/// Sends the next token, or the end of the stream after the last one.
	void stream(const std::shared_ptr<Run>& _run)
	{
		const bool isTruncated = _run->fault == FaultMode::TruncateStream && _run->position * 2 >= _run->tokens;
		if (_run->clientDisconnected || isTruncated)
		{
			_run->reply->abort();
			this->finish();
			return;
		}
		if (_run->position >= _run->tokens)
		{
			_run->reply->write(formatEvent(QJsonObject{
				{"attempt", toQString(_run->attempt)}, {"done", true}, {"tokens", static_cast<qint64>(_run->tokens)}}));
			_run->reply->endStream();
			this->finish();
			return;
		}
		const QString token = toQString(_run->marker + ":" + std::to_string(_run->position) + " ");
		_run->reply->write(formatEvent(QJsonObject{{"attempt", toQString(_run->attempt)},
												   {"position", static_cast<qint64>(_run->position)},
												   {"text", token}}));
		_run->position += 1;
		this->pool.runAfter(0, this->settings.tokenMs * kMicrosPerMillisecond, [this, _run] { this->stream(_run); });
	}

	/// Frees the slot of a call and starts queued calls.
	void finish()
	{
		this->running -= 1;
		while (!this->queued.empty() && this->running < this->settings.slots)
		{
			const auto run = this->queued.front();
			this->queued.pop_front();
			if (!run->clientDisconnected)
			{
				this->start(run);
			}
		}
	}

	IoPool& pool;
	StandinSettings settings;
	FaultInjector faults;
	QJsonArray ledger;
	std::deque<std::shared_ptr<Run>> queued;
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
