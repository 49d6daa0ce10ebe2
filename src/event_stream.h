/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Cuts a stream of server-sent events into whole events (WHATWG HTML, 9.2).

#ifndef ROADFERRY_EVENT_STREAM_H_HEADER_GUARD
#define ROADFERRY_EVENT_STREAM_H_HEADER_GUARD

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roadferry
{

/// Collects the bytes of a stream and gives them back in whole events.
class EventSplitter
{
public:
	/// Takes bytes as they came.
	/// @returns The whole events among all bytes so far, each with the empty line at its end.
	std::vector<std::string> append(std::string_view _bytes);

	/// @returns Whether bytes of an event that is not whole are held.
	[[nodiscard]] bool hasPartialEvent() const;

	/// @returns Whether more than an event's limit was held without its end.
	[[nodiscard]] bool exceedsLimit() const;

private:
	std::string buffer;
};

} // namespace roadferry

#endif // ROADFERRY_EVENT_STREAM_H_HEADER_GUARD
