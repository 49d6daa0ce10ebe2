/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the calls to the platform.

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
constexpr std::size_t kTextLimit = 256;
constexpr std::size_t kVmsLimit = 20'000;
constexpr std::int64_t kSlotsMost = 100'000;
constexpr std::int64_t kCountMost = 1'000'000;
constexpr const char* kNodeRole = "roadferry";

QNetworkRequest requestTo(const std::string& _url)
{
	QNetworkRequest request{QUrl(QString::fromStdString(_url))};
	request.setTransferTimeout(kTimeoutMs);
	request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
	return request;
}

absl::StatusOr<LogPage> logPageOf(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	LogPage page;
	page.first = static_cast<std::uint64_t>(object->value("first").toInteger(1));
	page.next = static_cast<std::uint64_t>(object->value("next").toInteger(1));
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

absl::StatusOr<VmList> vmListOf(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	JsonReader reader(*object);
	VmList list;
	for (const QJsonObject& vm : reader.objects("vms", kVmsLimit))
	{
		JsonReader fields(vm, "vms.");
		Endpoint endpoint;
		endpoint.id = fields.text("id", kTextLimit);
		endpoint.address = fields.text("address", kTextLimit);
		endpoint.pool = fields.textOr("pool", kTextLimit, "");
		endpoint.failureDomain = fields.textOr("failure_domain", kTextLimit, "");
		endpoint.slots = fields.integerOr("slots", 1, kSlotsMost, endpoint.slots);
		endpoint.leaving = fields.textOr("state", kTextLimit, "live") != "live";
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

absl::StatusOr<LoadReport> loadOf(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return object.status();
	}
	JsonReader reader(*object);
	LoadReport report;
	report.running = reader.integerOr("running", 0, kCountMost, 0);
	report.queued = reader.integerOr("queued", 0, kCountMost, 0);
	report.leaving = reader.booleanOr("leaving", false);
	return reader.status().ok() ? absl::StatusOr<LoadReport>(report) : reader.status();
}

/// Turns the text of an answer into a value, and hands on errors.
template<class Value>
std::function<void(absl::StatusOr<std::string>)> parsed(absl::StatusOr<Value> (*_parse)(const std::string&),
														std::function<void(absl::StatusOr<Value>)> _done)
{
	return [_parse, done = std::move(_done)](absl::StatusOr<std::string> _body)
	{ done(_body.ok() ? _parse(*_body) : absl::StatusOr<Value>(_body.status())); };
}

} // namespace

Platform::Platform(std::string _logAddress, std::string _vmListAddress)
	: logAddress(std::move(_logAddress)), vmListAddress(std::move(_vmListAddress))
{
}

void Platform::watch(QNetworkReply* _reply, Done _done)
{
	QObject::connect(_reply, &QNetworkReply::finished, _reply,
					 [_reply, done = std::move(_done)]
					 {
						 _reply->deleteLater();
						 if (_reply->error() != QNetworkReply::NoError)
						 {
							 done(absl::UnavailableError(_reply->errorString().toStdString()));
							 return;
						 }
						 done(_reply->readAll().toStdString());
					 });
}

void Platform::get(const std::string& _url, Done _done)
{
	this->watch(this->network.get(requestTo(_url)), std::move(_done));
}

void Platform::readLog(std::uint64_t _from, std::function<void(absl::StatusOr<LogPage>)> _done)
{
	this->get(absl::StrCat("http://", this->logAddress, "/records?from=", _from), parsed(&logPageOf, std::move(_done)));
}

void Platform::append(const std::string& _record, std::function<void(absl::Status)> _done)
{
	const QNetworkRequest request = requestTo(absl::StrCat("http://", this->logAddress, "/append"));
	this->watch(this->network.post(request, QByteArray::fromStdString(_record)),
				[done = std::move(_done)](const absl::StatusOr<std::string>& _body) { done(_body.status()); });
}

void Platform::readVmList(std::function<void(absl::StatusOr<VmList>)> _done)
{
	this->get(absl::StrCat("http://", this->vmListAddress, "/vms"), parsed(&vmListOf, std::move(_done)));
}

void Platform::readLoad(const std::string& _address, std::function<void(absl::StatusOr<LoadReport>)> _done)
{
	this->get(absl::StrCat("http://", _address, "/load"), parsed(&loadOf, std::move(_done)));
}

} // namespace roadferry
