/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Which requests the dispatcher admits: what the table allows, and what can still be in time.

#include "dispatcher_state.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr Micros kRetryAfterMax = 30 * kSecond;
constexpr Micros kNoEndpointRetryAfter = 1 * kSecond;

Micros clampRetryAfter(double _waitUs)
{
	return std::clamp(static_cast<Micros>(_waitUs), kRetryAfterMin, kRetryAfterMax);
}

} // namespace

void Dispatcher::State::useTable(std::shared_ptr<const Table> _table)
{
	this->table = std::move(_table);
	this->urgentPools.clear();
	for (const auto& entry : this->table->snapshot().rows)
	{
		if (entry.first.kind != RowKind::Pipeline || !entry.second.row)
		{
			continue;
		}
		const auto& pipeline = std::get<PipelineRow>(*entry.second.row);
		if (!pipeline.urgent)
		{
			continue;
		}
		for (const std::string& name : pipeline.stages)
		{
			if (const StageRow* stage = this->table->stage(name))
			{
				this->urgentPools.insert(stage->pool);
			}
		}
	}
}

bool Dispatcher::State::resolveStages(DispatchedRequest& _active) const
{
	for (const std::string& name : _active.pipeline.stages)
	{
		const StageRow* row = this->table->stage(name);
		if (row == nullptr)
		{
			return false;
		}
		_active.stages.push_back(*row);
	}
	return true;
}

std::optional<Outcome> Dispatcher::State::checkWorkspaceLimit(const RequestSpec& _request) const
{
	const WorkspaceRow* workspace = this->table->workspace(_request.workspace);
	const auto share = this->shares.find(_request.workspace);
	std::int64_t limit = workspace != nullptr && workspace->maxInFlight > 0 ? workspace->maxInFlight : -1;
	if (share != this->shares.end() && limit >= 0)
	{
		limit = std::min(limit, share->second);
	}
	const auto found = this->inFlightByWorkspace.find(_request.workspace);
	const std::int64_t count = found == this->inFlightByWorkspace.end() ? 0 : found->second;
	if (limit >= 0 && count >= limit)
	{
		return Outcome{Verdict::NotRun, Reason::WorkspaceLimit, true, kRetryAfterMin, {}};
	}
	return std::nullopt;
}

double Dispatcher::State::queueWaitUs(const DispatchedRequest& _active, const std::string& _pool, Micros _now)
{
	const PoolCapacity capacity = this->registry.capacity(_pool, _now);
	if (capacity.slots <= 0)
	{
		return 0;
	}
	const bool urgent = _active.pipeline.urgent;
	const double aheadUs = this->queue(_pool).workAheadUs(_active.spec.workspace, _active.weight, urgent);
	return aheadUs / capacity.slots;
}

/// Predicts the service time of a stage and all later ones, in microseconds.
double Dispatcher::State::remainingServiceUs(const DispatchedRequest& _active, std::size_t _stage,
											 double _deviations) const
{
	double totalUs = 0;
	for (std::size_t index = _stage; index < _active.stages.size(); ++index)
	{
		const StageRow& stage = _active.stages[index];
		totalUs += this->predictor.serviceTimeUs(_active.pipeline.name, stage, _active.spec, _deviations);
	}
	return totalUs;
}

std::optional<Outcome> Dispatcher::State::checkFeasibility(const DispatchedRequest& _active, Micros _now)
{
	double waitUs = 0;
	for (const StageRow& stage : _active.stages)
	{
		if (!this->registry.hasLiveEndpoint(stage.pool, std::nullopt))
		{
			return Outcome{Verdict::NotRun, Reason::NoEndpoint, true, kNoEndpointRetryAfter, {}};
		}
		if (!this->registry.hasLiveEndpoint(stage.pool, _active.spec.requiredVersion))
		{
			return Outcome{Verdict::NotRun, Reason::VersionGone, true, 0, {}};
		}
		if (this->queue(stage.pool).size() >= this->config.queueLimit)
		{
			return Outcome{Verdict::NotRun, Reason::QueueFull, true, kNoEndpointRetryAfter, {}};
		}
		waitUs += this->queueWaitUs(_active, stage.pool, _now);
	}
	// With empty queues a request that may miss its deadline delays no other request.
	if (!this->config.admitByDeadline || waitUs <= 0)
	{
		return std::nullopt;
	}
	const double finishAt =
		static_cast<double>(_now) + waitUs + this->remainingServiceUs(_active, 0, this->config.marginDeviations);
	if (finishAt > static_cast<double>(_active.spec.deadline))
	{
		return Outcome{Verdict::NotRun, Reason::WouldBeLate, true, clampRetryAfter(waitUs), {}};
	}
	return std::nullopt;
}

std::optional<Outcome> Dispatcher::State::checkAdmission(const RequestSpec& _request, DispatchedRequest& _active,
														 Micros _now)
{
	const auto refuse = [](Reason _reason, Micros _retryAfter) {
		return Outcome{Verdict::NotRun, _reason, true, _retryAfter, {}};
	};
	if (this->draining)
	{
		return refuse(Reason::Draining, kRetryAfterMin);
	}
	const PipelineRow* pipeline = this->table->pipeline(_request.pipeline);
	if (pipeline == nullptr)
	{
		return refuse(Reason::UnknownPipeline, 0);
	}
	if (pipeline->workspace != _request.workspace)
	{
		return refuse(Reason::WrongWorkspace, 0);
	}
	if (_request.deadline <= _now)
	{
		return refuse(Reason::DeadlinePassed, 0);
	}
	_active.spec = _request;
	_active.pipeline = *pipeline;
	if (!this->resolveStages(_active))
	{
		return refuse(Reason::UnknownStage, 0);
	}
	if (const WorkspaceRow* workspace = this->table->workspace(_request.workspace))
	{
		_active.weight = workspace->weight;
	}
	if (auto refusal = this->checkWorkspaceLimit(_request))
	{
		return refusal;
	}
	return this->checkFeasibility(_active, _now);
}

void Dispatcher::State::admit(const RequestSpec& _request, DispatchedRequest _active, Micros _now, Actions& _actions)
{
	this->inFlightByWorkspace[_request.workspace] += 1;
	this->deadlines.emplace(_request.deadline, _request.id);
	if (_request.requiredVersion)
	{
		this->versionRequired.insert(_request.id);
	}
	DispatchedRequest& active = this->activeRequests.emplace(_request.id, std::move(_active)).first->second;
	const std::string pool = active.stages.front().pool;
	this->enqueue(active);
	this->startQueued(pool, _now, _actions);
}

} // namespace roadferry
