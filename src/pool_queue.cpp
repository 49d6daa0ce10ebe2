/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the queue of one pool.

#include "pool_queue.h"

#include <algorithm>

namespace roadferry
{

PoolQueue::PoolQueue(Ordering _ordering) : ordering(_ordering)
{
}

std::string PoolQueue::groupOf(const Waiting& _waiting) const
{
	return this->ordering == Ordering::Fifo ? std::string() : _waiting.workspace;
}

PoolQueue::Key PoolQueue::keyOfWaiting(const Waiting& _waiting) const
{
	// Request numbers count up, so that they give the order of arrival.
	const Micros deadline = this->ordering == Ordering::Fifo ? 0 : _waiting.deadline;
	return {deadline, _waiting.request};
}

void PoolQueue::push(const Waiting& _waiting, double _weight)
{
	this->count += 1;
	const Key key = this->keyOfWaiting(_waiting);
	if (_waiting.urgent && this->ordering == Ordering::DeadlineFair)
	{
		this->urgent.waiting.emplace(key, _waiting);
		this->urgent.work += _waiting.work;
		return;
	}
	Group& group = this->groups[this->groupOf(_waiting)];
	if (group.waiting.empty())
	{
		group.virtualTime = std::max(group.virtualTime, this->virtualNow);
		group.weight = _weight;
		this->totalWeight += _weight;
	}
	group.waiting.emplace(key, _waiting);
	group.work += _waiting.work;
	this->totalWork += _waiting.work;
}

void PoolQueue::remove(const Waiting& _waiting)
{
	const Key key = this->keyOfWaiting(_waiting);
	if (this->urgent.waiting.erase(key) > 0)
	{
		this->urgent.work -= _waiting.work;
		this->count -= 1;
		return;
	}
	const auto found = this->groups.find(this->groupOf(_waiting));
	if (found == this->groups.end() || found->second.waiting.erase(key) == 0)
	{
		return;
	}
	this->count -= 1;
	this->totalWork -= _waiting.work;
	found->second.work -= _waiting.work;
	if (found->second.waiting.empty())
	{
		this->totalWeight -= found->second.weight;
		this->groups.erase(found);
	}
}

const PoolQueue::Group* PoolQueue::nextGroup() const
{
	if (!this->urgent.waiting.empty())
	{
		return &this->urgent;
	}
	const auto least = std::min_element(this->groups.begin(), this->groups.end(),
										[](const auto& _left, const auto& _right)
										{ return _left.second.virtualTime < _right.second.virtualTime; });
	return least == this->groups.end() ? nullptr : &least->second;
}

std::optional<Waiting> PoolQueue::front() const
{
	const Group* group = this->nextGroup();
	if (group == nullptr)
	{
		return std::nullopt;
	}
	return group->waiting.begin()->second;
}

void PoolQueue::popFront()
{
	const std::optional<Waiting> first = this->front();
	if (!first)
	{
		return;
	}
	const auto found = this->groups.find(this->groupOf(*first));
	const bool fair = this->urgent.waiting.empty() && found != this->groups.end();
	if (fair)
	{
		Group& group = found->second;
		this->virtualNow = std::max(this->virtualNow, group.virtualTime);
		group.virtualTime += first->work / group.weight;
	}
	this->remove(*first);
}

std::size_t PoolQueue::size() const
{
	return this->count;
}

double PoolQueue::workBefore(const std::string& _workspace, double _weight, bool _urgent) const
{
	if (_urgent)
	{
		return this->urgent.work;
	}
	const double all = this->urgent.work + this->totalWork;
	const auto found = this->groups.find(this->ordering == Ordering::Fifo ? std::string() : _workspace);
	if (this->ordering == Ordering::Fifo)
	{
		return all;
	}
	// Its own backlog drains at its share of the pool, which is the same as having all shares' work before it.
	const bool waits = found != this->groups.end();
	const double own = waits ? found->second.work : 0;
	const double weights = this->totalWeight + (waits ? 0 : _weight);
	const double byShare = this->urgent.work + own * weights / _weight;
	return std::min(all, byShare);
}

} // namespace roadferry
