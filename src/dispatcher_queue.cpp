/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests that wait for an endpoint, and which of them starts next.

#include "dispatcher_state.h"

namespace roadferry
{

PoolQueue& Dispatcher::State::queue(const std::string& _pool)
{
	const auto found = this->queues.find(_pool);
	if (found != this->queues.end())
	{
		return found->second;
	}
	return this->queues.emplace(_pool, PoolQueue(this->config.ordering)).first->second;
}

void Dispatcher::State::enqueue(DispatchedRequest& _active)
{
	const StageRow& stage = _active.stages[_active.stageIndex];
	_active.phase = Phase::Waiting;
	_active.predictedUs = this->predictor.serviceTimeUs(_active.pipeline.name, stage, _active.spec, 0);
	_active.queued = QueuedRequest{_active.spec.id, _active.spec.workspace, _active.spec.deadline, _active.predictedUs,
								   _active.pipeline.urgent};
	this->queue(stage.pool).push(_active.queued, _active.weight);
	if (_active.spec.requiredVersion)
	{
		this->versionAwaited[stage.pool].insert(_active.spec.id);
	}
}

/// Called when a request leaves the queue of its stage's pool.
void Dispatcher::State::endWait(const DispatchedRequest& _active)
{
	const auto awaited = this->versionAwaited.find(_active.stages[_active.stageIndex].pool);
	if (awaited != this->versionAwaited.end() && awaited->second.erase(_active.spec.id) > 0 && awaited->second.empty())
	{
		this->versionAwaited.erase(awaited);
	}
}

EndpointQuery Dispatcher::State::makeQuery(const DispatchedRequest& _active) const
{
	const std::string& pool = _active.stages[_active.stageIndex].pool;
	const auto provenInPool = this->proven.find(pool);
	return EndpointQuery{pool,
						 _active.spec.prefix,
						 _active.avoid,
						 _active.spec.preferredDomain,
						 _active.spec.requiredVersion,
						 provenInPool == this->proven.end() ? nullptr : &provenInPool->second,
						 _active.staysAtVisited ? &_active.visited : nullptr};
}

bool Dispatcher::State::mayStart(const std::string& _pool, bool _urgent, Micros _now) const
{
	if (_urgent || this->urgentPools.count(_pool) == 0)
	{
		return true;
	}
	const PoolCapacity capacity = this->registry.capacity(_pool, _now);
	return capacity.inFlight < capacity.slots * (1.0 - this->config.urgentReserve);
}

bool Dispatcher::State::abortInfeasible(const std::vector<QueuedRequest>& _window, Micros _now, Actions& _actions)
{
	if (_window.size() < 2)
	{
		// No other request waits for the slot.
		return false;
	}
	for (const QueuedRequest& candidate : _window)
	{
		const DispatchedRequest& active = this->activeRequests.at(candidate.id);
		const auto remainingUs = static_cast<double>(active.spec.deadline - _now);
		if (this->config.dropInfeasible && this->remainingServiceUs(active, active.stageIndex, 0) > remainingUs)
		{
			this->abortRequest(candidate.id, Reason::WouldBeLate, _now, _actions);
			return true;
		}
	}
	return false;
}

bool Dispatcher::State::startNext(const std::string& _pool, Micros _now, Actions& _actions)
{
	PoolQueue& poolQueue = this->queue(_pool);
	// Requests that wait for an endpoint of a version must not keep others from being looked at.
	const auto awaited = this->versionAwaited.find(_pool);
	const std::size_t more = awaited == this->versionAwaited.end() ? 0 : awaited->second.size();
	const std::vector<QueuedRequest> window = poolQueue.nextRequests(this->config.lookahead + more);
	if (this->abortInfeasible(window, _now, _actions))
	{
		return true;
	}
	const QueuedRequest* fallback = nullptr;
	EndpointState* fallbackEndpoint = nullptr;
	for (const QueuedRequest& candidate : window)
	{
		if (!this->mayStart(_pool, candidate.urgent, _now))
		{
			break;
		}
		DispatchedRequest& active = this->activeRequests.at(candidate.id);
		const Placement placement = this->registry.choose(this->makeQuery(active), _now);
		if (const auto* placed = std::get_if<PlaceAt>(&placement))
		{
			poolQueue.take(candidate);
			this->start(active, *placed->endpoint, _now, _actions);
			return true;
		}
		const auto* placedFallback = std::get_if<PlaceFallback>(&placement);
		if (placedFallback != nullptr && fallback == nullptr)
		{
			fallback = &candidate;
			fallbackEndpoint = placedFallback->endpoint;
		}
	}
	if (fallback == nullptr)
	{
		return false;
	}
	poolQueue.take(*fallback);
	this->start(this->activeRequests.at(fallback->id), *fallbackEndpoint, _now, _actions);
	return true;
}

void Dispatcher::State::startQueued(const std::string& _pool, Micros _now, Actions& _actions)
{
	bool more = true;
	while (more)
	{
		more = this->startNext(_pool, _now, _actions);
	}
}

} // namespace roadferry
