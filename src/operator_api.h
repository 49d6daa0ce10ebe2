/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP interface for operators.

#ifndef ROADFERRY_OPERATOR_API_H_HEADER_GUARD
#define ROADFERRY_OPERATOR_API_H_HEADER_GUARD

#include "control.h"
#include "http_server.h"
#include "settings.h"

#include <QObject>

namespace roadferry
{

/// Serves the requests of the command-line tool roadferry, and /metrics. Operators' requests are handled on the control
/// thread.
class OperatorApi
{
public:
	/// @param[in] _controlThread Object that lives on the control thread.
	/// @param[in] _drain Called on the control thread when an operator drains the node.
	OperatorApi(const Settings& _settings, Control& _control, ClusterView& _view, Traffic& _traffic, Metrics& _metrics,
				QObject& _controlThread, std::function<void()> _drain);

	/// @returns Whether the request belongs to this interface.
	bool handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);

private:
	void serve(const HttpRequest& _request, const std::string& _operator, const std::shared_ptr<HttpReply>& _reply);
	void submitEdit(const HttpRequest& _request, const std::string& _operator,
					const std::shared_ptr<HttpReply>& _reply);
	void sendEditOutcome(const std::string& _id, const std::shared_ptr<HttpReply>& _reply) const;
	void sendTrace(const std::string& _ticket, const std::shared_ptr<HttpReply>& _reply);
	[[nodiscard]] QJsonObject history() const;
	[[nodiscard]] QJsonObject status() const;
	[[nodiscard]] QJsonObject endpoints() const;

	const Settings& settings;
	Control& control;
	ClusterView& view;
	Traffic& traffic;
	Metrics& metrics;
	QObject& controlThread;
	std::function<void()> drain;
};

} // namespace roadferry

#endif // ROADFERRY_OPERATOR_API_H_HEADER_GUARD
