/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of CallerApi.

#include "caller_api.h"

#include "secret.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <QUrl>

namespace roadferry
{

namespace
{

constexpr Micros kMicrosPerSecond = kSecond;
/// Time after the deadline of a forwarded request in which the issuer's answer can still arrive.
constexpr Micros kRelayTimeoutMargin = 500 * kMillisecond;
constexpr Micros kQueryTimeout = 2 * kSecond;

/// Sends the result as one JSON response; ignores tokens.
class JsonResponseSink final : public AnswerSink
{
public:
	explicit JsonResponseSink(std::shared_ptr<HttpReply> _reply) : reply(std::move(_reply))
	{
	}

	void writeToken(std::int64_t, const std::string&) override
	{
	}

	void writeResult(unsigned _status, Micros _retryAfter, const std::string& _json) override
	{
		HttpResponse response;
		response.status = _status;
		response.body = _json;
		if (_retryAfter > 0)
		{
			const Micros seconds = (_retryAfter + kMicrosPerSecond - 1) / kMicrosPerSecond;
			response.headers.emplace_back("Retry-After", absl::StrCat(seconds));
		}
		this->reply->send(std::move(response));
	}

private:
	std::shared_ptr<HttpReply> reply;
};

/// Sends tokens and the result as server-sent events.
class EventStreamSink final : public AnswerSink
{
public:
	explicit EventStreamSink(std::shared_ptr<HttpReply> _reply) : reply(std::move(_reply))
	{
	}

	void writeToken(std::int64_t _position, const std::string& _text) override
	{
		this->startStream();
		const QJsonObject object{{"position", static_cast<qint64>(_position)}, {"text", QString::fromStdString(_text)}};
		this->reply->write(absl::StrCat("event: token\ndata: ", toText(object), "\n\n"));
	}

	void writeResult(unsigned, Micros, const std::string& _json) override
	{
		this->startStream();
		this->reply->write(absl::StrCat("event: outcome\ndata: ", _json, "\n\n"));
		this->reply->endStream();
	}

private:
	void startStream()
	{
		if (!this->streamStarted)
		{
			this->streamStarted = true;
			this->reply->startStream(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
		}
	}

	std::shared_ptr<HttpReply> reply;
	bool streamStarted = false;
};

std::shared_ptr<AnswerSink> makeSink(bool _stream, const std::shared_ptr<HttpReply>& _reply)
{
	if (_stream)
	{
		return std::make_shared<EventStreamSink>(_reply);
	}
	return std::make_shared<JsonResponseSink>(_reply);
}

/// @returns The decoded path segment between a prefix and a suffix; empty if the path does not match.
std::string extractPathSegment(const std::string& _path, absl::string_view _prefix, absl::string_view _suffix)
{
	absl::string_view rest = _path;
	if (!absl::ConsumePrefix(&rest, _prefix) || !absl::ConsumeSuffix(&rest, _suffix))
	{
		return {};
	}
	if (absl::StrContains(rest, "/"))
	{
		return {};
	}
	return QUrl::fromPercentEncoding(QByteArray(rest.data(), static_cast<qsizetype>(rest.size()))).toStdString();
}

} // namespace

HttpResponse errorResponse(unsigned _status, const std::string& _code, const std::string& _message)
{
	const QJsonObject error{{"code", QString::fromStdString(_code)}, {"message", QString::fromStdString(_message)}};
	HttpResponse response;
	response.status = _status;
	response.body = toText(QJsonObject{{"error", error}});
	return response;
}

CallerApi::CallerApi(const Settings& _settings, Traffic& _traffic, Relay& _relay)
	: settings(_settings), traffic(_traffic), relay(_relay)
{
}

bool CallerApi::handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
{
	const bool isTicketRequest = _request.target == "/v1/tickets" && _request.method == "POST";
	const std::string pipeline =
		_request.method == "POST" ? extractPathSegment(_request.target, "/v1/pipelines/", "/requests") : std::string();
	const bool isQueryOrCancel = _request.method == "GET" || _request.method == "DELETE";
	const std::string ticket =
		isQueryOrCancel ? extractPathSegment(_request.target, "/v1/requests/", "") : std::string();
	if (!isTicketRequest && pipeline.empty() && ticket.empty())
	{
		return false;
	}
	const std::string workspace =
		authenticateBearer(this->settings.callers, headerValue(_request.headers, "Authorization"));
	if (workspace.empty())
	{
		_reply->send(
			errorResponse(401, "unauthorized", "header Authorization: must be Bearer and a caller's credential"));
		return true;
	}
	if (isTicketRequest)
	{
		this->issueTicket(workspace, _reply);
	}
	else if (!pipeline.empty())
	{
		this->submit(_request, workspace, pipeline, _reply);
	}
	else
	{
		this->queryOrCancel(_request, workspace, ticket, _reply);
	}
	return true;
}

void CallerApi::issueTicket(const std::string& _workspace, const std::shared_ptr<HttpReply>& _reply)
{
	const auto ticket = this->traffic.issueTicket(_workspace);
	if (!ticket.ok())
	{
		_reply->send(errorResponse(503, "too_many_tickets", std::string(ticket.status().message())));
		return;
	}
	HttpResponse response;
	response.status = 201;
	response.body = toText(QJsonObject{{"ticket", QString::fromStdString(toText(*ticket))}});
	_reply->send(std::move(response));
}

void CallerApi::submit(const HttpRequest& _request, const std::string& _workspace, const std::string& _pipeline,
					   const std::shared_ptr<HttpReply>& _reply)
{
	auto submission = parseSubmission(_workspace, _pipeline, _request.body);
	if (!submission.ok())
	{
		_reply->send(errorResponse(400, "bad_request", std::string(submission.status().message())));
		return;
	}
	submission->trace = traceFromHeader(headerValue(_request.headers, "traceparent"));
	if (!submission->hasCallerTicket)
	{
		auto issued = this->traffic.issueTicket(_workspace);
		if (!issued.ok())
		{
			_reply->send(errorResponse(503, "too_many_tickets", std::string(issued.status().message())));
			return;
		}
		submission->ticket = *issued;
		// The caller does not know this ticket and cannot query the outcome later, so the request is cancelled when it
		// disconnects.
		_reply->onDisconnect([&traffic = this->traffic, ticket = *issued] { traffic.onCallerDisconnected(ticket); });
	}
	auto sink = makeSink(submission->stream, _reply);
	const auto issuer = this->traffic.submit(_reply->thread(), *submission, sink);
	if (!issuer)
	{
		return;
	}
	RelayRequest request;
	request.kind = RelayKind::Submit;
	request.ticket = toText(*submission->ticket);
	request.workspace = _workspace;
	request.pipeline = _pipeline;
	request.body = _request.body;
	request.trace = submission->trace.toTraceparent();
	const Micros timeout = this->traffic.requestTimeout(*submission) + kRelayTimeoutMargin;
	this->relay.forward(_reply->thread(), *issuer, std::move(request), timeout, std::move(sink));
}

void CallerApi::queryOrCancel(const HttpRequest& _request, const std::string& _workspace, const std::string& _ticket,
							  const std::shared_ptr<HttpReply>& _reply)
{
	const auto ticket = ticketFromText(_ticket);
	if (!ticket.ok())
	{
		_reply->send(errorResponse(400, "bad_request", std::string(ticket.status().message())));
		return;
	}
	const bool isCancel = _request.method == "DELETE";
	auto sink = makeSink(false, _reply);
	const auto issuer =
		isCancel ? this->traffic.cancel(*ticket, _workspace, sink) : this->traffic.query(*ticket, _workspace, sink);
	if (!issuer)
	{
		return;
	}
	RelayRequest request;
	request.kind = isCancel ? RelayKind::Cancel : RelayKind::Query;
	request.ticket = _ticket;
	request.workspace = _workspace;
	this->relay.forward(_reply->thread(), *issuer, std::move(request), kQueryTimeout, std::move(sink));
}

} // namespace roadferry
