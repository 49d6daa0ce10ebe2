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

std::vector<Waiting> PoolQueue::window(std::size_t _most) const
{
	std::vector<Waiting> result;
	for (const auto& entry : this->urgent.waiting)
	{
		if (result.size() == _most)
		{
			return result;
		}
		result.push_back(entry.second);
	}
	// What would leave next, worked out on copies of the workspaces' virtual times.
	struct Turn
	{
		double virtualTime;
		const Group* group;
		std::map<Key, Waiting>::const_iterator next;
	};
	const auto later = [](const Turn& _left, const Turn& _right) { return _left.virtualTime > _right.virtualTime; };
	std::vector<Turn> turns;
	for (const auto& entry : this->groups)
	{
		turns.push_back(Turn{entry.second.virtualTime, &entry.second, entry.second.waiting.begin()});
	}
	std::make_heap(turns.begin(), turns.end(), later);
	while (result.size() < _most && !turns.empty())
	{
		std::pop_heap(turns.begin(), turns.end(), later);
		Turn& turn = turns.back();
		result.push_back(turn.next->second);
		turn.virtualTime += turn.next->second.work / turn.group->weight;
		++turn.next;
		if (turn.next == turn.group->waiting.end())
		{
			turns.pop_back();
			continue;
		}
		std::push_heap(turns.begin(), turns.end(), later);
	}
	return result;
}

void PoolQueue::take(const Waiting& _waiting)
{
	const auto found = this->groups.find(this->groupOf(_waiting));
	const bool fair = this->urgent.waiting.count(this->keyOfWaiting(_waiting)) == 0 && found != this->groups.end();
	if (fair)
	{
		Group& group = found->second;
		this->virtualNow = std::max(this->virtualNow, group.virtualTime);
		group.virtualTime += _waiting.work / group.weight;
	}
	this->remove(_waiting);
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
