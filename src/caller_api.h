/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP interface for callers.

#ifndef ROADFERRY_CALLER_API_H_HEADER_GUARD
#define ROADFERRY_CALLER_API_H_HEADER_GUARD

#include "http_server.h"
#include "relay.h"
#include "settings.h"
#include "traffic.h"

namespace roadferry
{

/// Serves POST /v1/tickets, POST /v1/pipelines/NAME/requests, GET and DELETE /v1/requests/TICKET.
class CallerApi
{
public:
	CallerApi(const Settings& _settings, Traffic& _traffic, Relay& _relay);

	/// @returns False if the path or the method does not belong to this interface.
	bool handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);

private:
	void issueTicket(const std::string& _workspace, const std::shared_ptr<HttpReply>& _reply);
	void submit(const HttpRequest& _request, const std::string& _workspace, const std::string& _pipeline,
				const std::shared_ptr<HttpReply>& _reply);
	void queryOrCancel(const HttpRequest& _request, const std::string& _workspace, const std::string& _ticket,
					   const std::shared_ptr<HttpReply>& _reply);

	const Settings& settings;
	Traffic& traffic;
	Relay& relay;
};

/// @returns An error in the format of all interfaces: {"error": {"code", "message"}}.
HttpResponse errorResponse(unsigned _status, const std::string& _code, const std::string& _message);

} // namespace roadferry

#endif // ROADFERRY_CALLER_API_H_HEADER_GUARD
