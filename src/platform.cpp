/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the platform client.

#include "platform.h"

#include "table_json.h"

#include <absl/strings/str_cat.h>

#include <QNetworkReply>
#include <QNetworkRequest>

namespace roadferry
{

namespace
{

constexpr int kTimeoutMs = 2'000;
constexpr int kFirstSuccessStatus = 200;
constexpr int kLastSuccessStatus = 299;
constexpr std::size_t kMaxTextLength = 256;
constexpr std::size_t kMaxVms = 20'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr const char* kNodeRole = "roadferry";

QNetworkRequest requestTo(const std::string& _url)
{
	QNetworkRequest request{QUrl(QString::fromStdString(_url))};
	request.setTransferTimeout(kTimeoutMs);
	request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
	return request;
}

absl::StatusOr<LogPage> parseLogPage(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	LogPage page;
	page.oldestOffset = static_cast<std::uint64_t>(object->value("first").toInteger(1));
	page.nextOffset = static_cast<std::uint64_t>(object->value("next").toInteger(1));
	const QJsonArray records = object->value("records").toArray();
	for (const QJsonValue value : records)
	{
		LogEntry entry;
		entry.offset = static_cast<std::uint64_t>(value["offset"].toInteger());
		auto record = recordFromText(value["data"].toString().toStdString());
		if (record.ok())
		{
			entry.record = *std::move(record);
		}
		page.entries.push_back(std::move(entry));
	}
	return page;
}

absl::StatusOr<VmList> parseVmList(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	JsonReader reader(*object);
	VmList list;
	for (const QJsonObject& vm : reader.objects("vms", kMaxVms))
	{
		JsonReader fields(vm, "vms.");
		Endpoint endpoint;
		endpoint.id = fields.text("id", kMaxTextLength);
		endpoint.address = fields.text("address", kMaxTextLength);
		endpoint.pool = fields.textOr("pool", kMaxTextLength, "");
		endpoint.failureDomain = fields.textOr("failure_domain", kMaxTextLength, "");
		endpoint.slots = fields.integerOr("slots", 1, kMaxSlots, endpoint.slots);
		endpoint.leaving = fields.textOr("state", kMaxTextLength, "live") != "live";
		if (!fields.status().ok())
		{
			return fields.status();
		}
		if (vm.value("role").toString() == kNodeRole)
		{
			list.peers.push_back(endpoint.address);
			continue;
		}
		list.endpoints.push_back(std::move(endpoint));
	}
	if (!reader.status().ok())
	{
		return reader.status();
	}
	return list;
}

absl::StatusOr<LoadReport> parseLoadReport(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	JsonReader reader(*object);
	LoadReport report;
	report.running = reader.integerOr("running", 0, kMaxCount, 0);
	report.queued = reader.integerOr("queued", 0, kMaxCount, 0);
	report.leaving = reader.booleanOr("leaving", false);
	return reader.status().ok() ? absl::StatusOr<LoadReport>(report) : reader.status();
}

/// @returns A callback that parses the body of a response and passes the value, or the error, to _callback.
template<class Value>
std::function<void(absl::StatusOr<std::string>)> parseThenCall(absl::StatusOr<Value> (*_parse)(const std::string&),
															   std::function<void(absl::StatusOr<Value>)> _callback)
{
	return [_parse, callback = std::move(_callback)](absl::StatusOr<std::string> _body)
	{ callback(_body.ok() ? _parse(*_body) : absl::StatusOr<Value>(_body.status())); };
}

} // namespace

Platform::Platform(std::string _logAddress, std::string _vmListAddress)
	: logAddress(std::move(_logAddress)), vmListAddress(std::move(_vmListAddress))
{
}

void Platform::onFinished(QNetworkReply* _reply, Callback _callback)
{
	QObject::connect(_reply, &QNetworkReply::finished, _reply,
					 [_reply, callback = std::move(_callback)]
					 {
						 _reply->deleteLater();
						 if (_reply->error() != QNetworkReply::NoError)
						 {
							 callback(absl::UnavailableError(_reply->errorString().toStdString()));
							 return;
						 }
						 const int status = _reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
						 if (status < kFirstSuccessStatus || status > kLastSuccessStatus)
						 {
							 callback(absl::UnavailableError(absl::StrCat("status ", status)));
							 return;
						 }
						 callback(_reply->readAll().toStdString());
					 });
}

void Platform::get(const std::string& _url, Callback _callback)
{
	this->onFinished(this->network.get(requestTo(_url)), std::move(_callback));
}

void Platform::readLog(std::uint64_t _from, std::function<void(absl::StatusOr<LogPage>)> _callback)
{
	this->get(absl::StrCat("http://", this->logAddress, "/records?from=", _from),
			  parseThenCall(&parseLogPage, std::move(_callback)));
}

void Platform::append(const std::string& _record, std::function<void(absl::Status)> _callback)
{
	const QNetworkRequest request = requestTo(absl::StrCat("http://", this->logAddress, "/append"));
	this->onFinished(this->network.post(request, QByteArray::fromStdString(_record)),
					 [callback = std::move(_callback)](const absl::StatusOr<std::string>& _body)
					 { callback(_body.status()); });
}

void Platform::readVmList(std::function<void(absl::StatusOr<VmList>)> _callback)
{
	this->get(absl::StrCat("http://", this->vmListAddress, "/vms"), parseThenCall(&parseVmList, std::move(_callback)));
}

void Platform::readLoad(const std::string& _address, std::function<void(absl::StatusOr<LoadReport>)> _callback)
{
	this->get(absl::StrCat("http://", _address, "/load"), parseThenCall(&parseLoadReport, std::move(_callback)));
}

} // namespace roadferry
