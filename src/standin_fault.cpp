/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Fault injection for the stand-ins.

#include "standin.h"

#include <map>

namespace roadferry
{

namespace
{

const std::map<std::string, FaultMode>& faultModes()
{
	static const std::map<std::string, FaultMode> s_modes = {{"none", FaultMode::None},
															 {"slow", FaultMode::Slow},
															 {"drop", FaultMode::DropResponse},
															 {"cut", FaultMode::TruncateStream},
															 {"freeze", FaultMode::Freeze},
															 {"refuse", FaultMode::Refuse},
															 {"wrong_attempt", FaultMode::WrongAttempt},
															 {"out", FaultMode::Unavailable}};
	return s_modes;
}

constexpr std::int64_t kMaxInteger = 1'000'000'000;

} // namespace

bool FaultInjector::handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply)
{
	if (_request.target != "/fault")
	{
		return false;
	}
	const std::string error = this->set(_request.body);
	_reply->send(jsonResponse(error.empty() ? 200 : 400, QJsonObject{{"error", QString::fromStdString(error)}}));
	return true;
}

std::string FaultInjector::set(const std::string& _body)
{
	const auto object = parseObject(_body);
	if (!object.ok())
	{
		return std::string(object.status().message());
	}
	JsonReader reader(*object);
	const std::string name = reader.text("mode", 20);
	const std::int64_t delayMs = reader.integerOr("ms", 0, kMaxInteger, 0);
	const std::int64_t count = reader.integerOr("count", 0, kMaxInteger, 0);
	const auto found = faultModes().find(name);
	if (found == faultModes().end())
	{
		reader.setError("mode", "one of none, slow, drop, cut, freeze, refuse, wrong_attempt, out");
	}
	if (!reader.status().ok())
	{
		return std::string(reader.status().message());
	}
	const std::lock_guard<std::mutex> guard(this->lock);
	this->mode = found->second;
	this->slowMs = delayMs;
	this->remaining = count == 0 ? -1 : count; // Without a count, the fault affects all requests.
	return {};
}

FaultMode FaultInjector::takeFault()
{
	const std::lock_guard<std::mutex> guard(this->lock);
	if (this->remaining == 0)
	{
		return FaultMode::None;
	}
	if (this->remaining > 0)
	{
		this->remaining -= 1;
	}
	return this->mode;
}

std::int64_t FaultInjector::slowDelayMs() const
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->slowMs;
}

HttpResponse jsonResponse(unsigned _status, const QJsonObject& _body)
{
	HttpResponse response;
	response.status = _status;
	response.body = toText(_body);
	return response;
}

} // namespace roadferry
