/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the kept results.

#include "result_store.h"

namespace roadferry
{

namespace
{

/// The tokens are about as large as the text that they make up.
std::size_t sizeOf(const StoredResult& _result)
{
	return 2 * _result.json.size() + sizeof(StoredResult);
}

} // namespace

ResultStore::ResultStore(std::size_t _bytes) : limit(_bytes)
{
}

void ResultStore::put(std::uint64_t _serial, std::shared_ptr<const StoredResult> _result)
{
	this->bytes += sizeOf(*_result);
	this->order.push_back(_serial);
	this->results.emplace(_serial, std::move(_result));
	while (this->bytes > this->limit && this->order.size() > 1)
	{
		const auto oldest = this->results.find(this->order.front());
		this->bytes -= sizeOf(*oldest->second);
		this->results.erase(oldest);
		this->order.pop_front();
	}
}

std::shared_ptr<const StoredResult> ResultStore::find(std::uint64_t _serial) const
{
	const auto found = this->results.find(_serial);
	return found == this->results.end() ? nullptr : found->second;
}

} // namespace roadferry
