/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Splits a stream of server-sent events into complete events (WHATWG HTML, 9.2).

#ifndef ROADFERRY_EVENT_STREAM_H_HEADER_GUARD
#define ROADFERRY_EVENT_STREAM_H_HEADER_GUARD

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roadferry
{

/// @returns Whether an event has a data field. Without one, as in a comment, it brings nothing of the answer.
bool hasData(std::string_view _event);

/// Buffers the bytes of a stream and returns them as complete events.
class EventSplitter
{
public:
	/// Appends received bytes.
	/// @returns The events that are now complete, each with the empty line at its end.
	std::vector<std::string> append(std::string_view _bytes);

	/// @returns Whether the buffer holds bytes of an incomplete event.
	[[nodiscard]] bool hasPartialEvent() const;

	/// @returns Bytes of the incomplete event.
	[[nodiscard]] std::size_t size() const;

	/// @returns Whether the incomplete event is longer than an event may be.
	[[nodiscard]] bool exceedsLimit() const;

private:
	std::string buffer;
	std::size_t searchedUpTo = 0; ///< No event ends before this position of the buffer.
};

} // namespace roadferry

#endif // ROADFERRY_EVENT_STREAM_H_HEADER_GUARD
