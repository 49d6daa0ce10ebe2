/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for the platform's VM list: GET /vms returns the list, PUT and DELETE /vms/ID change it.

#include "standin.h"

#include <map>

namespace roadferry
{

namespace
{

constexpr const char* kVmPathPrefix = "/vms/";

class VmListStandin final : public Standin
{
public:
	void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply) override
	{
		if (this->faults.handle(_request, _reply))
		{
			return;
		}
		if (_request.target == "/vms")
		{
			this->sendList(_reply);
			return;
		}
		if (_request.target.rfind(kVmPathPrefix, 0) != 0)
		{
			_reply->send(jsonResponse(404, {}));
			return;
		}
		this->change(_request, _request.target.substr(std::string(kVmPathPrefix).size()), _reply);
	}

private:
	void sendList(const std::shared_ptr<HttpReply>& _reply)
	{
		const FaultMode fault = this->faults.takeFault();
		if (fault == FaultMode::Unavailable || fault == FaultMode::DropResponse)
		{
			_reply->abort();
			return;
		}
		if (fault != FaultMode::Freeze)
		{
			this->published = this->current;
		}
		// With FaultMode::Freeze, the response contains the list from before the fault.
		QJsonArray array;
		for (const auto& entry : this->published)
		{
			array.append(entry.second);
		}
		_reply->send(jsonResponse(200, QJsonObject{{"vms", array}}));
	}

	void change(const HttpRequest& _request, const std::string& _id, const std::shared_ptr<HttpReply>& _reply)
	{
		if (_request.method == "DELETE")
		{
			this->current.erase(_id);
			_reply->send(jsonResponse(200, {}));
			return;
		}
		auto object = parseObject(_request.body);
		if (!object.ok())
		{
			const QString message = QString::fromStdString(std::string(object.status().message()));
			_reply->send(jsonResponse(400, QJsonObject{{"error", message}}));
			return;
		}
		object->insert("id", QString::fromStdString(_id));
		this->current[_id] = *object;
		_reply->send(jsonResponse(200, {}));
	}

	FaultInjector faults;
	std::map<std::string, QJsonObject> current;
	std::map<std::string, QJsonObject> published;
};

} // namespace

std::unique_ptr<Standin> makeVmListStandin()
{
	return std::make_unique<VmListStandin>();
}

} // namespace roadferry
