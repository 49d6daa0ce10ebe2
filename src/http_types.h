/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP request and response types, shared by server and client. They use no C++20 features, since the files that
/// include Boost.Beast are compiled as C++17.

#ifndef ROADFERRY_HTTP_TYPES_H_HEADER_GUARD
#define ROADFERRY_HTTP_TYPES_H_HEADER_GUARD

#include <string>
#include <utility>
#include <vector>

namespace roadferry
{

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// What a response is by its status (RFC 9110, 15).
enum class StatusKind
{
	Interim, ///< Comes before the response.
	Final,
	Invalid ///< Not a status of HTTP, or one that nobody has asked for.
};

/// @returns Kind of a response to a request without an Upgrade header.
StatusKind kindOfStatus(unsigned _status);

/// @returns Value of the first header with that name, compared without case; empty if there is none.
std::string headerValue(const HttpHeaders& _headers, const std::string& _name);

/// @returns Number of headers with that name, compared without case.
std::size_t headerCount(const HttpHeaders& _headers, const std::string& _name);

/// @returns The headers without the hop-by-hop ones (RFC 9110, 7.6.1): Connection and the headers that it lists,
/// framing and upgrades.
HttpHeaders endToEndHeaders(const HttpHeaders& _headers);

/// HTTP request with its complete body.
struct HttpRequest
{
	std::string method = "GET";
	std::string target = "/"; ///< Path and query.
	std::string body;
	HttpHeaders headers;
};

/// HTTP response with its complete body.
struct HttpResponse
{
	unsigned status = 200;
	std::string contentType = "application/json"; ///< Empty if the headers contain it.
	std::string body;
	HttpHeaders headers;
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_TYPES_H_HEADER_GUARD
