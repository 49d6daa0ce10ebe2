/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: limit of the memory that all responses in progress take together.

#ifndef ROADFERRY_PARTS_RESPONSE_BUDGET_H_HEADER_GUARD
#define ROADFERRY_PARTS_RESPONSE_BUDGET_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace roadferry
{

/// Knows how many bytes of each response in progress are kept until the rest arrives. When all of them together exceed
/// the limit, the longest one is cut off: that of an endpoint that answers without end, and not that of another one.
class ResponseBudget
{
public:
	/// @param[in] _limit Bytes of all responses together.
	explicit ResponseBudget(std::size_t _limit);

	/// Sets how much of the response to a request is kept.
	/// @returns The request whose response is to be cut off, if the limit is exceeded.
	[[nodiscard]] std::optional<std::uint64_t> set(std::uint64_t _request, std::size_t _bytes);

	/// The response to a request has ended.
	void release(std::uint64_t _request);

	/// @returns Bytes of all responses.
	[[nodiscard]] std::size_t total() const;

private:
	std::size_t limit;
	std::size_t totalBytes = 0;
	std::unordered_map<std::uint64_t, std::size_t> bytesByRequest;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_RESPONSE_BUDGET_H_HEADER_GUARD
