/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the HTTP interface for operators.

#include "operator_api.h"

#include "caller_api.h"
#include "secret.h"
#include "table_json.h"

#include <absl/strings/match.h>
#include <absl/strings/strip.h>

#include <QUrl>

namespace roadferry
{

namespace
{

constexpr const char* kPrefix = "/operator/";

QString toQString(std::string_view _text)
{
	return QString::fromUtf8(_text.data(), static_cast<qsizetype>(_text.size()));
}

void sendJson(const std::shared_ptr<HttpReply>& _reply, unsigned _status, const QJsonObject& _object)
{
	HttpResponse response;
	response.status = _status;
	response.body = toText(_object);
	_reply->send(std::move(response));
}

unsigned statusOf(const EditOutcome& _outcome)
{
	return std::visit(
		Overloaded{
			[](const EditAccepted&) { return 200U; },
			[](const EditConflict&) { return 409U; },
			[](const EditInvalid&) { return 400U; },
			[](const EditAlreadyApplied&) { return 409U; },
		},
		_outcome);
}

} // namespace

OperatorApi::OperatorApi(const Settings& _settings, Control& _control, ClusterView& _view, Traffic& _traffic,
						 Metrics& _metrics, QObject& _controlThread, std::function<void()> _drain)
	: settings(_settings), control(_control), view(_view), traffic(_traffic), metrics(_metrics),
	  controlThread(_controlThread), drain(std::move(_drain))
{
}

bool OperatorApi::handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
{
	if (_request.target == "/metrics")
	{
		HttpResponse response;
		response.contentType = "text/plain; version=0.0.4";
		response.body = this->metrics.toPrometheus(this->traffic.counters(), this->traffic.inFlight());
		_reply->send(std::move(response));
		return true;
	}
	if (!absl::StartsWith(_request.target, kPrefix))
	{
		return false;
	}
	const std::string operatorName =
		authenticateBearer(this->settings.operators, headerValue(_request.headers, "Authorization"));
	if (operatorName.empty())
	{
		_reply->send(
			errorResponse(401, "unauthorized", "header Authorization: must be Bearer and an operator's credential"));
		return true;
	}
	QMetaObject::invokeMethod(
		&this->controlThread, [this, _request, operatorName, _reply] { this->serve(_request, operatorName, _reply); },
		Qt::QueuedConnection);
	return true;
}

void OperatorApi::serve(const HttpRequest& _request, const std::string& _operator,
						const std::shared_ptr<HttpReply>& _reply)
{
	const std::string path = _request.target.substr(std::string(kPrefix).size());
	absl::string_view rest = path;
	if (path == "table" && _request.method == "GET")
	{
		sendJson(_reply, 200, toJson(this->control.replica().table().snapshot()));
	}
	else if (path == "table/edits" && _request.method == "POST")
	{
		this->submitEdit(_request, _operator, _reply);
	}
	else if (path == "table/history")
	{
		sendJson(_reply, 200, this->history());
	}
	else if (absl::ConsumePrefix(&rest, "table/edits/"))
	{
		this->sendEditOutcome(std::string(rest), _reply);
	}
	else if (path == "status")
	{
		sendJson(_reply, 200, this->status());
	}
	else if (path == "endpoints")
	{
		sendJson(_reply, 200, this->endpoints());
	}
	else if (path == "drain" && _request.method == "POST")
	{
		sendJson(_reply, 202, QJsonObject{{"draining", true}});
		this->drain();
	}
	else if (absl::ConsumePrefix(&rest, "requests/"))
	{
		this->sendTrace(std::string(rest), _reply);
	}
	else
	{
		_reply->send(errorResponse(404, "not_found", "there is no such path in the operators' interface"));
	}
}

void OperatorApi::submitEdit(const HttpRequest& _request, const std::string& _operator,
							 const std::shared_ptr<HttpReply>& _reply)
{
	const auto object = parseObject(_request.body);
	auto parsed = object.ok() ? editFromJson(*object) : object.status();
	if (!parsed.ok())
	{
		_reply->send(errorResponse(400, "bad_request", std::string(parsed.status().message())));
		return;
	}
	parsed->author = _operator;
	this->control.edit(*parsed,
					   [_reply, id = parsed->id](const std::optional<EditOutcome>& _outcome)
					   {
						   if (_outcome)
						   {
							   sendJson(_reply, statusOf(*_outcome), toJson(*_outcome));
							   return;
						   }
						   sendJson(
							   _reply, 504,
							   QJsonObject{{"result", "unknown"},
										   {"id", toQString(id)},
										   {"message", "the log has not told in time; the edit may still take effect: "
													   "ask again with its id before sending another"}});
					   });
}

void OperatorApi::sendEditOutcome(const std::string& _id, const std::shared_ptr<HttpReply>& _reply) const
{
	const auto outcome = this->control.replica().outcomeOf(_id);
	if (!outcome)
	{
		_reply->send(errorResponse(404, "not_found", "no edit of that id was read from the log lately"));
		return;
	}
	sendJson(_reply, 200, toJson(*outcome));
}

void OperatorApi::sendTrace(const std::string& _ticket, const std::shared_ptr<HttpReply>& _reply)
{
	const auto ticket = ticketFromText(QUrl::fromPercentEncoding(QByteArray::fromStdString(_ticket)).toStdString());
	if (!ticket.ok())
	{
		_reply->send(errorResponse(400, "bad_request", std::string(ticket.status().message())));
		return;
	}
	if (ticket->issuer != this->traffic.self())
	{
		_reply->send(
			errorResponse(421, "elsewhere", "ask the node " + ticket->issuer.node + ", which issued the ticket"));
		return;
	}
	const auto found = this->traffic.explain(*ticket);
	if (!found)
	{
		_reply->send(errorResponse(404, "not_found", "nothing is kept of that request"));
		return;
	}
	HttpResponse response;
	response.body = *found;
	_reply->send(std::move(response));
}

QJsonObject OperatorApi::history() const
{
	QJsonArray edits;
	for (const EditHistoryEntry& entry : this->control.replica().history())
	{
		QJsonObject object = toJson(entry.edit);
		object["offset"] = static_cast<qint64>(entry.offset);
		object["outcome"] = toJson(entry.outcome);
		edits.append(object);
	}
	return QJsonObject{{"edits", edits}};
}

QJsonObject OperatorApi::status() const
{
	QJsonArray peers;
	for (const std::string& peer : this->control.peers())
	{
		peers.append(toQString(peer));
	}
	QJsonArray members;
	for (const auto& entry : this->view.members().members())
	{
		members.append(QJsonObject{{"node", toQString(entry.first)},
								   {"state", toQString(nameOf(entry.second.state))},
								   {"table_offset", static_cast<qint64>(entry.second.tableOffset)}});
	}
	QJsonObject shares;
	for (const auto& entry : this->view.shares())
	{
		shares[toQString(entry.first)] = static_cast<qint64>(entry.second);
	}
	const DispatcherCounters counters = this->traffic.counters();
	return QJsonObject{{"node", toQString(this->traffic.self().node)},
					   {"failure_domain", toQString(this->settings.failureDomain)},
					   {"ready", this->control.isReady()},
					   {"draining", this->traffic.isDraining()},
					   {"table_offset", static_cast<qint64>(this->control.replica().table().snapshot().offset)},
					   {"in_force_offset", static_cast<qint64>(this->view.lowestTableOffset())},
					   {"members", members},
					   {"shares", shares},
					   {"log_gap", this->control.replica().hasGap()},
					   {"in_flight", static_cast<qint64>(this->traffic.inFlight())},
					   {"submitted", static_cast<qint64>(counters.submitted)},
					   {"answered", static_cast<qint64>(counters.answered)},
					   {"not_run", static_cast<qint64>(counters.notRun)},
					   {"unknown", static_cast<qint64>(counters.unknown)},
					   {"retries", static_cast<qint64>(counters.retries)},
					   {"peers", peers}};
}

QJsonObject OperatorApi::endpoints() const
{
	QJsonArray list;
	for (const EndpointState& state : this->traffic.endpoints())
	{
		const bool isEjected = state.ejectedUntil > monotonicNow();
		const char* stateName = state.endpoint.leaving ? "leaving" : (isEjected ? "set_aside" : "live");
		list.append(QJsonObject{{"id", toQString(state.endpoint.id)},
								{"address", toQString(state.endpoint.address)},
								{"pool", toQString(state.endpoint.pool)},
								{"failure_domain", toQString(state.endpoint.failureDomain)},
								{"slots", static_cast<qint64>(state.endpoint.slots)},
								{"own", static_cast<qint64>(state.ownInFlight)},
								{"others", state.othersInFlight},
								{"slowness", state.slowness},
								{"state", stateName}});
	}
	return QJsonObject{{"endpoints", list}};
}

} // namespace roadferry
