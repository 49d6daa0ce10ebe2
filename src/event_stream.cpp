/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of EventSplitter.

#include "event_stream.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr std::size_t kEventLimit = 1024 * 1024; ///< Longest event in bytes; events of engines hold a few tokens.

constexpr std::size_t kMaxEndLength = 4; ///< Longest end of an event: two line ends of two bytes.

/// @returns Position after the first empty line at or after _from, npos when there is none.
std::size_t endOfEvent(const std::string& _text, std::size_t _from)
{
	const std::size_t plain = _text.find("\n\n", _from);
	const std::size_t withReturns = _text.find("\r\n\r\n", _from);
	if (plain == std::string::npos && withReturns == std::string::npos)
	{
		return std::string::npos;
	}
	return plain < withReturns ? plain + 2 : withReturns + 4;
}

} // namespace

bool hasData(std::string_view _event)
{
	constexpr std::string_view kField = "data";
	std::size_t begin = 0;
	while (begin < _event.size())
	{
		const std::size_t end = std::min(_event.find('\n', begin), _event.size());
		const std::string_view line = _event.substr(begin, end - begin);
		const std::string_view name = line.substr(0, line.find_first_of(":\r"));
		if (name == kField)
		{
			return true;
		}
		begin = end + 1;
	}
	return false;
}

std::vector<std::string> EventSplitter::append(std::string_view _bytes)
{
	this->buffer.append(_bytes);
	std::vector<std::string> events;
	std::size_t begin = 0;
	std::size_t end = endOfEvent(this->buffer, this->searchedUpTo);
	while (end != std::string::npos)
	{
		events.push_back(this->buffer.substr(begin, end - begin));
		begin = end;
		end = endOfEvent(this->buffer, begin);
	}
	this->buffer.erase(0, begin);
	// The end of an event may be split over two parts.
	this->searchedUpTo = this->buffer.size() < kMaxEndLength ? 0 : this->buffer.size() - kMaxEndLength + 1;
	return events;
}

bool EventSplitter::hasPartialEvent() const
{
	return !this->buffer.empty();
}

std::size_t EventSplitter::size() const
{
	return this->buffer.size();
}

bool EventSplitter::exceedsLimit() const
{
	return this->buffer.size() > kEventLimit;
}

} // namespace roadferry
