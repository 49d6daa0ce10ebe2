/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of ResultStore.

#include "result_store.h"

namespace roadferry
{

namespace
{

/// Counts the JSON text twice, since the tokens together are about as large as the text in it.
std::size_t approximateBytes(const StoredResult& _result)
{
	return 2 * _result.json.size() + sizeof(StoredResult);
}

} // namespace

ResultStore::ResultStore(std::size_t _capacityBytes) : capacityBytes(_capacityBytes)
{
}

void ResultStore::put(std::uint64_t _serial, std::shared_ptr<const StoredResult> _result)
{
	this->usedBytes += approximateBytes(*_result);
	this->insertionOrder.push_back(_serial);
	this->results.emplace(_serial, std::move(_result));
	while (this->usedBytes > this->capacityBytes && this->insertionOrder.size() > 1)
	{
		const auto oldest = this->results.find(this->insertionOrder.front());
		this->usedBytes -= approximateBytes(*oldest->second);
		this->results.erase(oldest);
		this->insertionOrder.pop_front();
	}
}

std::shared_ptr<const StoredResult> ResultStore::find(std::uint64_t _serial) const
{
	const auto found = this->results.find(_serial);
	return found == this->results.end() ? nullptr : found->second;
}

} // namespace roadferry
