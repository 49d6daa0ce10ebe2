/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of ResponseBudget.

#include <roadferry/parts/response_budget.h>

#include <algorithm>

namespace roadferry
{

ResponseBudget::ResponseBudget(std::size_t _limit) : limit(_limit)
{
}

std::optional<std::uint64_t> ResponseBudget::set(std::uint64_t _request, std::size_t _bytes)
{
	std::size_t& bytes = this->bytesByRequest[_request];
	this->totalBytes = this->totalBytes - bytes + _bytes;
	bytes = _bytes;
	if (this->totalBytes <= this->limit)
	{
		return std::nullopt;
	}
	const auto longest =
		std::max_element(this->bytesByRequest.begin(), this->bytesByRequest.end(),
						 [](const auto& _left, const auto& _right) { return _left.second < _right.second; });
	return longest->first;
}

void ResponseBudget::release(std::uint64_t _request)
{
	const auto found = this->bytesByRequest.find(_request);
	if (found != this->bytesByRequest.end())
	{
		this->totalBytes -= found->second;
		this->bytesByRequest.erase(found);
	}
}

std::size_t ResponseBudget::total() const
{
	return this->totalBytes;
}

} // namespace roadferry
