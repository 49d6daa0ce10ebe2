/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Bounded store for the results of finished requests.

#ifndef ROADFERRY_RESULT_STORE_H_HEADER_GUARD
#define ROADFERRY_RESULT_STORE_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// Result that was sent for one request.
struct StoredResult
{
	unsigned status = 0; ///< HTTP status.
	Micros retryAfter = 0;
	std::string json;
	std::vector<std::string> tokens; ///< For duplicates that request a stream.
	bool operator==(const StoredResult&) const = default;
};

/// Results by ticket serial. Evicts the oldest results when the capacity is exceeded.
class ResultStore
{
public:
	/// @param[in] _capacityBytes Memory for all results. The newest result is kept even if it alone exceeds it.
	explicit ResultStore(std::size_t _capacityBytes);

	void put(std::uint64_t _serial, std::shared_ptr<const StoredResult> _result);

	/// @returns The result, or null if it has been evicted or was never stored.
	[[nodiscard]] std::shared_ptr<const StoredResult> find(std::uint64_t _serial) const;

private:
	std::size_t capacityBytes;
	std::size_t usedBytes = 0;
	std::unordered_map<std::uint64_t, std::shared_ptr<const StoredResult>> results;
	std::deque<std::uint64_t> insertionOrder;
};

} // namespace roadferry

#endif // ROADFERRY_RESULT_STORE_H_HEADER_GUARD
