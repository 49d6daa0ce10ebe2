/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the pool queue.

#include "pool_queue.h"

#include <algorithm>

namespace roadferry
{

PoolQueue::PoolQueue(Ordering _ordering) : ordering(_ordering)
{
}

std::string PoolQueue::groupOf(const QueuedRequest& _request) const
{
	return this->ordering == Ordering::Fifo ? std::string() : _request.workspace;
}

PoolQueue::Key PoolQueue::queueKey(const QueuedRequest& _request) const
{
	// Request ids are ascending and therefore give the order of arrival.
	const Micros deadline = this->ordering == Ordering::Fifo ? 0 : _request.deadline;
	return {deadline, _request.id};
}

void PoolQueue::push(const QueuedRequest& _request, double _weight)
{
	this->count += 1;
	const Key key = this->queueKey(_request);
	if (_request.urgent && this->ordering == Ordering::DeadlineFair)
	{
		this->urgent.requests.emplace(key, _request);
		this->urgent.workUs += _request.workUs;
		return;
	}
	Group& group = this->groups[this->groupOf(_request)];
	if (group.requests.empty())
	{
		group.virtualTime = std::max(group.virtualTime, this->virtualNow);
		group.weight = _weight;
		this->totalWeight += _weight;
	}
	group.requests.emplace(key, _request);
	group.workUs += _request.workUs;
	this->totalWorkUs += _request.workUs;
}

void PoolQueue::remove(const QueuedRequest& _request)
{
	const Key key = this->queueKey(_request);
	if (this->urgent.requests.erase(key) > 0)
	{
		this->urgent.workUs -= _request.workUs;
		this->count -= 1;
		return;
	}
	const auto found = this->groups.find(this->groupOf(_request));
	if (found == this->groups.end() || found->second.requests.erase(key) == 0)
	{
		return;
	}
	this->count -= 1;
	this->totalWorkUs -= _request.workUs;
	found->second.workUs -= _request.workUs;
	if (found->second.requests.empty())
	{
		this->totalWeight -= found->second.weight;
		this->groups.erase(found);
	}
}

std::vector<QueuedRequest> PoolQueue::nextRequests(std::size_t _maxCount) const
{
	std::vector<QueuedRequest> result;
	for (const auto& entry : this->urgent.requests)
	{
		if (result.size() == _maxCount)
		{
			return result;
		}
		result.push_back(entry.second);
	}
	// Simulates the order of departure on copies of the groups' virtual times.
	struct Cursor
	{
		double virtualTime;
		const Group* group;
		std::map<Key, QueuedRequest>::const_iterator next;
	};
	const auto later = [](const Cursor& _left, const Cursor& _right) { return _left.virtualTime > _right.virtualTime; };
	std::vector<Cursor> cursors;
	for (const auto& entry : this->groups)
	{
		cursors.push_back(Cursor{entry.second.virtualTime, &entry.second, entry.second.requests.begin()});
	}
	std::make_heap(cursors.begin(), cursors.end(), later);
	while (result.size() < _maxCount && !cursors.empty())
	{
		std::pop_heap(cursors.begin(), cursors.end(), later);
		Cursor& cursor = cursors.back();
		result.push_back(cursor.next->second);
		cursor.virtualTime += cursor.next->second.workUs / cursor.group->weight;
		++cursor.next;
		if (cursor.next == cursor.group->requests.end())
		{
			cursors.pop_back();
			continue;
		}
		std::push_heap(cursors.begin(), cursors.end(), later);
	}
	return result;
}

void PoolQueue::take(const QueuedRequest& _request)
{
	const auto found = this->groups.find(this->groupOf(_request));
	const bool inGroup = this->urgent.requests.count(this->queueKey(_request)) == 0 && found != this->groups.end();
	if (inGroup)
	{
		Group& group = found->second;
		this->virtualNow = std::max(this->virtualNow, group.virtualTime);
		group.virtualTime += _request.workUs / group.weight;
	}
	this->remove(_request);
}

std::size_t PoolQueue::size() const
{
	return this->count;
}

double PoolQueue::workAheadUs(const std::string& _workspace, double _weight, bool _urgent) const
{
	if (_urgent)
	{
		return this->urgent.workUs;
	}
	const double totalUs = this->urgent.workUs + this->totalWorkUs;
	const auto found = this->groups.find(this->ordering == Ordering::Fifo ? std::string() : _workspace);
	if (this->ordering == Ordering::Fifo)
	{
		return totalUs;
	}
	// The workspace's backlog drains at weight / activeWeight of the pool's rate, which takes as long as draining
	// ownUs * activeWeight / weight at the full rate.
	const bool hasBacklog = found != this->groups.end();
	const double ownUs = hasBacklog ? found->second.workUs : 0;
	const double activeWeight = this->totalWeight + (hasBacklog ? 0 : _weight);
	const double byShareUs = this->urgent.workUs + ownUs * activeWeight / _weight;
	return std::min(totalUs, byShareUs);
}

} // namespace roadferry
