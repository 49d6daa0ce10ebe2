/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Plain types of an HTTP request and response, shared by server and client. Free of C++20, since the files that
/// include Boost.Beast are compiled as C++17.

#ifndef ROADFERRY_HTTP_TYPES_H_HEADER_GUARD
#define ROADFERRY_HTTP_TYPES_H_HEADER_GUARD

#include <string>
#include <utility>
#include <vector>

namespace roadferry
{

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// @returns Value of the first header of that name, whatever its case; empty when there is none.
std::string headerValue(const HttpHeaders& _headers, const std::string& _name);

/// @returns How many headers have that name, whatever its case.
std::size_t headerCount(const HttpHeaders& _headers, const std::string& _name);

/// @returns The headers without those that concern one connection only (RFC 9110, 7.6.1): Connection and what it
/// lists, framing, and upgrades.
HttpHeaders endToEndHeaders(const HttpHeaders& _headers);

/// A request with its whole body.
struct HttpRequest
{
	std::string method = "GET";
	std::string target = "/"; ///< Path with query.
	std::string body;
	HttpHeaders headers;
};

/// A response with its whole body.
struct HttpResponse
{
	unsigned status = 200;
	std::string contentType = "application/json"; ///< Empty when the headers say it.
	std::string body;
	HttpHeaders headers;
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_TYPES_H_HEADER_GUARD
