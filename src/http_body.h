/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Body of an HTTP message that is being read. Compiled as C++17.

#ifndef ROADFERRY_HTTP_BODY_H_HEADER_GUARD
#define ROADFERRY_HTTP_BODY_H_HEADER_GUARD

#include <boost/asio/buffer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace roadferry
{

/// A body in a string that grows with the bytes that arrive. Unlike Beast's string_body, it reserves nothing for the
/// length that the sender announces.
struct ReceivedBody
{
	using value_type = std::string; // Likewise.

	/// Appends the bytes of a body, see Beast's BodyReader.
	class reader // NOLINT(readability-identifier-naming): Beast looks for this name.
	{
	public:
		template<bool isRequest, class Fields>
		reader(boost::beast::http::header<isRequest, Fields>& /*_header*/, value_type& _body) : body(_body)
		{
		}

		void init(const boost::optional<std::uint64_t>& /*_announced*/, boost::system::error_code& _error)
		{
			_error = {};
		}

		template<class Buffers>
		std::size_t put(const Buffers& _buffers, boost::system::error_code& _error)
		{
			_error = {};
			std::size_t appended = 0;
			for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(_buffers))
			{
				this->body.append(static_cast<const char*>(buffer.data()), buffer.size());
				appended += buffer.size();
			}
			return appended;
		}

		void finish(boost::system::error_code& _error)
		{
			_error = {};
		}

	private:
		value_type& body;
	};
};

} // namespace roadferry

#endif // ROADFERRY_HTTP_BODY_H_HEADER_GUARD
