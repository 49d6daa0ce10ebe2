/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Functions on HTTP headers and statuses. Compiled as C++17.

#include "http_types.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <iterator>

namespace roadferry
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastFinalStatus = 599;

} // namespace

StatusKind kindOfStatus(unsigned _status)
{
	if (_status < kFirstInterimStatus || _status > kLastFinalStatus || _status == kSwitchingProtocols)
	{
		return StatusKind::Invalid;
	}
	return _status < kFirstFinalStatus ? StatusKind::Interim : StatusKind::Final;
}

std::string headerValue(const HttpHeaders& _headers, const std::string& _name)
{
	for (const auto& header : _headers)
	{
		if (beast::iequals(header.first, _name))
		{
			return header.second;
		}
	}
	return {};
}

std::size_t headerCount(const HttpHeaders& _headers, const std::string& _name)
{
	return static_cast<std::size_t>(std::count_if(
		_headers.begin(), _headers.end(), [&](const auto& _header) { return beast::iequals(_header.first, _name); }));
}

HttpHeaders endToEndHeaders(const HttpHeaders& _headers)
{
	std::vector<std::string> dropped = {"connection", "keep-alive",        "proxy-connection", "te",
										"trailer",    "transfer-encoding", "upgrade",          "content-length"};
	for (const auto& header : _headers)
	{
		if (!beast::iequals(header.first, "connection"))
		{
			continue;
		}
		for (const auto& listed : http::token_list(header.second))
		{
			dropped.emplace_back(listed);
		}
	}
	HttpHeaders result;
	std::copy_if(_headers.begin(), _headers.end(), std::back_inserter(result),
				 [&](const auto& _header)
				 {
					 return std::none_of(dropped.begin(), dropped.end(),
										 [&](const std::string& _name)
										 { return beast::iequals(_header.first, _name); });
				 });
	return result;
}

} // namespace roadferry
