/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Checks of how an HTTP message tells its length, shared by server and client. Compiled as C++17.

#ifndef ROADFERRY_HTTP_FRAMING_H_HEADER_GUARD
#define ROADFERRY_HTTP_FRAMING_H_HEADER_GUARD

#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

namespace roadferry
{

constexpr int kHttpVersion = 11;

/// @returns Whether the length of the message's body is not clear, or its transfer coding is not chunked alone. No
/// other coding is asked for or decoded (RFC 9112, 6.1).
template<class Message>
bool hasAmbiguousLength(const Message& _message)
{
	namespace http = boost::beast::http;
	if (_message.count(http::field::content_length) > 1)
	{
		return true;
	}
	const std::size_t encodings = _message.count(http::field::transfer_encoding);
	if (encodings == 0)
	{
		return false;
	}
	const bool plain = encodings == 1 && boost::beast::iequals(_message[http::field::transfer_encoding], "chunked");
	return !plain || _message.version() < kHttpVersion || _message.count(http::field::content_length) > 0;
}

} // namespace roadferry

#endif // ROADFERRY_HTTP_FRAMING_H_HEADER_GUARD
