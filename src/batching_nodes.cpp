/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Selection of the nodes that may form batches.

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

/// Processes that start within this time of each other count as started together, in microseconds of the wall clock.
constexpr std::uint64_t kSameStartSpan = 10 * kSecond;
/// A VM with this part of the largest one's processor time is large enough.
constexpr std::int64_t kLargeEnoughDivisor = 2;

std::vector<Member> largestOf(const std::vector<Member>& _members)
{
	std::int64_t largest = 0;
	for (const Member& member : _members)
	{
		largest = std::max(largest, member.processorPercent);
	}
	std::vector<Member> result = _members;
	std::erase_if(result, [largest](const Member& _member)
				  { return _member.processorPercent * kLargeEnoughDivisor < largest; });
	return result;
}

std::vector<Member> longestRunningOf(const std::vector<Member>& _members)
{
	const auto earliest =
		std::min_element(_members.begin(), _members.end(),
						 [](const Member& _left, const Member& _right) { return _left.version < _right.version; });
	std::vector<Member> result = _members;
	std::erase_if(result, [&](const Member& _member) { return _member.version - earliest->version > kSameStartSpan; });
	return result;
}

} // namespace

std::vector<std::string> batchingNodes(const std::vector<Member>& _alive)
{
	std::vector<std::string> result;
	for (const Member& member : longestRunningOf(largestOf(_alive)))
	{
		result.push_back(member.address);
	}
	return result;
}

} // namespace roadferry
