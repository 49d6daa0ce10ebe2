/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The dispatcher: takes a request through its stages, one attempt at a time.

#include "endpoint_book.h"
#include "pool_queue.h"
#include "predictor.h"
#include "retry_budget.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr Micros kRetryAfterMin = 200 * kMillisecond;
constexpr Micros kRetryAfterMax = 30 * kSecond;
constexpr Micros kNoEndpointRetry = 1 * kSecond;

/// Where a request is between two events.
enum class Phase
{
	Waiting,
	Running
};

/// A request in flight.
struct Flight
{
	RequestSpec spec;
	PipelineRow pipeline;
	std::vector<StageRow> stages; ///< Rows as they stood when the request was admitted.
	double weight = 1;
	std::size_t stageIndex = 0;
	std::int64_t attemptsMade = 0;
	std::int64_t connectsFailed = 0; ///< Attempts of the stage that did not reach an endpoint.
	Phase phase = Phase::Waiting;
	Waiting waiting;
	std::uint64_t attempt = 0;
	std::string endpoint;
	std::string avoid; ///< Endpoint that failed the stage last.
	Micros startedAt = 0;
	double predicted = 0;
	bool begun = false;     ///< Bytes of some stage were sent.
	bool onceBegun = false; ///< Bytes of a stage that may not be repeated were sent.
};

Micros clampRetryAfter(double _wait)
{
	return std::clamp(static_cast<Micros>(_wait), kRetryAfterMin, kRetryAfterMax);
}

} // namespace

/// Everything the dispatcher knows, and the steps it takes.
struct Dispatcher::State
{
	explicit State(const DispatcherConfig& _config) : config(_config), book(_config)
	{
	}

	DispatcherConfig config;
	std::shared_ptr<const Table> table = std::make_shared<Table>();
	EndpointBook book;
	Predictor predictor;
	std::map<std::string, RetryBudget> budgets; ///< By pool.
	DispatcherCounters counters;
	std::unordered_map<std::uint64_t, Flight> flights;
	std::unordered_map<std::uint64_t, std::uint64_t> requestOfAttempt;
	std::set<std::pair<Micros, std::uint64_t>> deadlines;
	std::unordered_map<std::string, PoolQueue> queues;
	std::set<std::string> urgentPools; ///< Pools that urgent pipelines use.
	std::map<std::string, std::int64_t> workspaceFlights;
	std::map<std::string, std::int64_t> shares;
	std::uint64_t lastAttempt = 0;
	bool draining = false;

	void useTable(std::shared_ptr<const Table> _table);
	std::optional<Outcome> refusalOf(const RequestSpec& _request, Flight& _flight, Micros _now);
	std::optional<Outcome> limitRefusal(const RequestSpec& _request) const;
	std::optional<Outcome> feasibilityRefusal(const Flight& _flight, Micros _now);
	bool resolveStages(Flight& _flight) const;
	PoolQueue& queue(const std::string& _pool);
	RetryBudget& budget(const std::string& _pool);
	void admit(const RequestSpec& _request, Flight _flight, Micros _now, Actions& _actions);
	double queueWait(const Flight& _flight, const std::string& _pool, Micros _now);
	double serviceFrom(const Flight& _flight, std::size_t _stage, double _deviations) const;
	bool isOnce(const Flight& _flight) const;
	bool mayUse(const std::string& _pool, bool _urgent, Micros _now) const;

	void enqueue(Flight& _flight);
	void pump(const std::string& _pool, Micros _now, Actions& _actions);
	bool stopDoomed(const std::vector<Waiting>& _window, Micros _now, Actions& _actions);
	bool startNext(const std::string& _pool, Micros _now, Actions& _actions);
	void start(Flight& _flight, EndpointState& _endpoint, Micros _now, Actions& _actions);
	void finish(std::uint64_t _request, Outcome _outcome, Actions& _actions);
	Outcome givenUp(const Flight& _flight, Reason _reason) const;
	void stopFlight(std::uint64_t _request, Reason _reason, Micros _now, Actions& _actions);
	void releaseAttempt(Flight& _flight);
	void answered(Flight& _flight, Micros _now, Actions& _actions);
	void retryOrGiveUp(Flight& _flight, bool _sent, Micros _now, Actions& _actions);
	void reconnectOrGiveUp(Flight& _flight, Micros _now, Actions& _actions);
};

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

PoolQueue& Dispatcher::State::queue(const std::string& _pool)
{
	const auto found = this->queues.find(_pool);
	if (found != this->queues.end())
	{
		return found->second;
	}
	return this->queues.emplace(_pool, PoolQueue(this->config.ordering)).first->second;
}

RetryBudget& Dispatcher::State::budget(const std::string& _pool)
{
	return this->budgets.try_emplace(_pool, this->config.retryShare, this->config.retryBurst).first->second;
}

bool Dispatcher::State::resolveStages(Flight& _flight) const
{
	for (const std::string& name : _flight.pipeline.stages)
	{
		const StageRow* row = this->table->stage(name);
		if (row == nullptr)
		{
			return false;
		}
		_flight.stages.push_back(*row);
	}
	return true;
}

std::optional<Outcome> Dispatcher::State::limitRefusal(const RequestSpec& _request) const
{
	const WorkspaceRow* workspace = this->table->workspace(_request.workspace);
	const auto share = this->shares.find(_request.workspace);
	std::int64_t limit = workspace != nullptr && workspace->inFlight > 0 ? workspace->inFlight : -1;
	if (share != this->shares.end() && limit >= 0)
	{
		limit = std::min(limit, share->second);
	}
	const auto flying = this->workspaceFlights.find(_request.workspace);
	const std::int64_t count = flying == this->workspaceFlights.end() ? 0 : flying->second;
	if (limit >= 0 && count >= limit)
	{
		return Outcome{Verdict::NotRun, Reason::WorkspaceLimit, true, kRetryAfterMin, {}};
	}
	return std::nullopt;
}

double Dispatcher::State::queueWait(const Flight& _flight, const std::string& _pool, Micros _now)
{
	const PoolRoom room = this->book.room(_pool, _now);
	if (room.slots <= 0)
	{
		return 0;
	}
	const bool urgent = _flight.pipeline.urgent;
	const double before = this->queue(_pool).workBefore(_flight.spec.workspace, _flight.weight, urgent);
	return before / room.slots;
}

/// Predicted service time of a stage and all after it.
double Dispatcher::State::serviceFrom(const Flight& _flight, std::size_t _stage, double _deviations) const
{
	double total = 0;
	for (std::size_t index = _stage; index < _flight.stages.size(); ++index)
	{
		const StageRow& stage = _flight.stages[index];
		total += this->predictor.serviceTime(_flight.pipeline.name, stage, _flight.spec, _deviations);
	}
	return total;
}

std::optional<Outcome> Dispatcher::State::feasibilityRefusal(const Flight& _flight, Micros _now)
{
	double wait = 0;
	for (const StageRow& stage : _flight.stages)
	{
		if (!this->book.anyLive(stage.pool))
		{
			return Outcome{Verdict::NotRun, Reason::NoEndpoint, true, kNoEndpointRetry, {}};
		}
		if (this->queue(stage.pool).size() >= this->config.queueLimit)
		{
			return Outcome{Verdict::NotRun, Reason::QueueFull, true, kNoEndpointRetry, {}};
		}
		wait += this->queueWait(_flight, stage.pool, _now);
	}
	// Where nobody waits, a call that may be late costs nobody else its place.
	if (!this->config.admitByDeadline || wait <= 0)
	{
		return std::nullopt;
	}
	const double finish = static_cast<double>(_now) + wait + this->serviceFrom(_flight, 0, this->config.lateMargin);
	if (finish > static_cast<double>(_flight.spec.deadline))
	{
		return Outcome{Verdict::NotRun, Reason::WouldBeLate, true, clampRetryAfter(wait), {}};
	}
	return std::nullopt;
}

std::optional<Outcome> Dispatcher::State::refusalOf(const RequestSpec& _request, Flight& _flight, Micros _now)
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
	_flight.spec = _request;
	_flight.pipeline = *pipeline;
	if (!this->resolveStages(_flight))
	{
		return refuse(Reason::UnknownStage, 0);
	}
	if (const WorkspaceRow* workspace = this->table->workspace(_request.workspace))
	{
		_flight.weight = workspace->weight;
	}
	if (auto refusal = this->limitRefusal(_request))
	{
		return refusal;
	}
	return this->feasibilityRefusal(_flight, _now);
}

bool Dispatcher::State::isOnce(const Flight& _flight) const
{
	const StageRow& stage = _flight.stages[_flight.stageIndex];
	const bool effect = stage.kind == StageKind::Engine || stage.kind == StageKind::Service;
	return !stage.repeatable || (effect && !_flight.spec.repeatable);
}

void Dispatcher::State::enqueue(Flight& _flight)
{
	const StageRow& stage = _flight.stages[_flight.stageIndex];
	_flight.phase = Phase::Waiting;
	_flight.predicted = this->predictor.serviceTime(_flight.pipeline.name, stage, _flight.spec, 0);
	_flight.waiting = Waiting{_flight.spec.id, _flight.spec.workspace, _flight.spec.deadline, _flight.predicted,
							  _flight.pipeline.urgent};
	this->queue(stage.pool).push(_flight.waiting, _flight.weight);
}

bool Dispatcher::State::mayUse(const std::string& _pool, bool _urgent, Micros _now) const
{
	if (_urgent || this->urgentPools.count(_pool) == 0)
	{
		return true;
	}
	const PoolRoom room = this->book.room(_pool, _now);
	return room.used < room.slots * (1.0 - this->config.urgentReserve);
}

bool Dispatcher::State::stopDoomed(const std::vector<Waiting>& _window, Micros _now, Actions& _actions)
{
	if (_window.size() < 2)
	{
		// Nobody else waits for the place.
		return false;
	}
	for (const Waiting& waiting : _window)
	{
		const Flight& flight = this->flights.at(waiting.request);
		const auto left = static_cast<double>(flight.spec.deadline - _now);
		if (this->config.dropDoomed && this->serviceFrom(flight, flight.stageIndex, 0) > left)
		{
			this->stopFlight(waiting.request, Reason::WouldBeLate, _now, _actions);
			return true;
		}
	}
	return false;
}

bool Dispatcher::State::startNext(const std::string& _pool, Micros _now, Actions& _actions)
{
	PoolQueue& queued = this->queue(_pool);
	const std::vector<Waiting> window = queued.window(this->config.window);
	if (this->stopDoomed(window, _now, _actions))
	{
		return true;
	}
	const Waiting* second = nullptr;
	EndpointState* secondPlace = nullptr;
	for (const Waiting& waiting : window)
	{
		if (!this->mayUse(_pool, waiting.urgent, _now))
		{
			break;
		}
		Flight& flight = this->flights.at(waiting.request);
		const Placement placement =
			this->book.choose(_pool, flight.spec.prefix, flight.avoid, flight.spec.nearDomain, _now);
		if (const auto* good = std::get_if<PlaceAt>(&placement))
		{
			queued.take(waiting);
			this->start(flight, *good->endpoint, _now, _actions);
			return true;
		}
		const auto* reluctant = std::get_if<PlaceReluctantly>(&placement);
		if (reluctant != nullptr && second == nullptr)
		{
			second = &waiting;
			secondPlace = reluctant->endpoint;
		}
	}
	if (second == nullptr)
	{
		return false;
	}
	queued.take(*second);
	this->start(this->flights.at(second->request), *secondPlace, _now, _actions);
	return true;
}

void Dispatcher::State::pump(const std::string& _pool, Micros _now, Actions& _actions)
{
	bool more = true;
	while (more)
	{
		more = this->startNext(_pool, _now, _actions);
	}
}

void Dispatcher::State::start(Flight& _flight, EndpointState& _endpoint, Micros _now, Actions& _actions)
{
	const StageRow& stage = _flight.stages[_flight.stageIndex];
	_flight.phase = Phase::Running;
	_flight.attempt = ++this->lastAttempt;
	_flight.endpoint = _endpoint.endpoint.id;
	_flight.startedAt = _now;
	_flight.attemptsMade += 1;
	this->counters.attempts += 1;
	if (_flight.attemptsMade == 1 && _flight.connectsFailed == 0 && !_flight.spec.repeat)
	{
		this->budget(stage.pool).firstAttempt();
	}
	this->requestOfAttempt.emplace(_flight.attempt, _flight.spec.id);
	this->book.began(_endpoint, _flight.predicted, _now);
	StartAttempt action;
	action.request = _flight.spec.id;
	action.attempt = _flight.attempt;
	action.stageIndex = _flight.stageIndex;
	action.stage = stage.name;
	action.kind = stage.kind;
	action.endpoint = _endpoint.endpoint.id;
	action.address = _endpoint.endpoint.address;
	action.giveUpAt = _flight.spec.deadline;
	action.once = this->isOnce(_flight);
	_actions.emplace_back(std::move(action));
}

void Dispatcher::State::releaseAttempt(Flight& _flight)
{
	this->requestOfAttempt.erase(_flight.attempt);
	this->book.ended(_flight.endpoint, _flight.predicted);
}

void Dispatcher::State::finish(std::uint64_t _request, Outcome _outcome, Actions& _actions)
{
	const auto found = this->flights.find(_request);
	const Flight& flight = found->second;
	this->deadlines.erase({flight.spec.deadline, _request});
	const auto count = this->workspaceFlights.find(flight.spec.workspace);
	count->second -= 1;
	if (count->second == 0)
	{
		this->workspaceFlights.erase(count);
	}
	this->flights.erase(found);
	switch (_outcome.verdict)
	{
	case Verdict::Answered:
		this->counters.answered += 1;
		break;
	case Verdict::NotRun:
		this->counters.notRun += 1;
		break;
	case Verdict::Unknown:
		this->counters.unknown += 1;
		break;
	}
	_actions.emplace_back(FinishRequest{_request, std::move(_outcome)});
}

Outcome Dispatcher::State::givenUp(const Flight& _flight, Reason _reason) const
{
	Outcome outcome;
	outcome.verdict = _flight.begun ? Verdict::Unknown : Verdict::NotRun;
	outcome.reason = _reason;
	outcome.repeatSafe = !_flight.onceBegun;
	outcome.retryAfter = kRetryAfterMin;
	outcome.stage = _flight.stages[_flight.stageIndex].name;
	return outcome;
}

void Dispatcher::State::stopFlight(std::uint64_t _request, Reason _reason, Micros _now, Actions& _actions)
{
	Flight& flight = this->flights.at(_request);
	const std::string pool = flight.stages[flight.stageIndex].pool;
	if (flight.phase == Phase::Waiting)
	{
		this->queue(pool).remove(flight.waiting);
		this->finish(_request, this->givenUp(flight, _reason), _actions);
		return;
	}
	// The call is under way; how far it has come is not known here.
	flight.begun = true;
	flight.onceBegun = flight.onceBegun || this->isOnce(flight);
	_actions.emplace_back(CancelAttempt{_request, flight.attempt});
	this->releaseAttempt(flight);
	this->finish(_request, this->givenUp(flight, _reason), _actions);
	this->pump(pool, _now, _actions);
}

void Dispatcher::State::answered(Flight& _flight, Micros _now, Actions& _actions)
{
	const StageRow& stage = _flight.stages[_flight.stageIndex];
	const std::string pool = stage.pool;
	const auto measured = static_cast<double>(_now - _flight.startedAt);
	this->releaseAttempt(_flight);
	this->book.succeeded(_flight.endpoint, measured / std::max(1.0, _flight.predicted), _now);
	this->predictor.measured(_flight.pipeline.name, stage, _flight.spec, measured);
	_flight.begun = true;
	_flight.onceBegun = _flight.onceBegun || this->isOnce(_flight);
	_flight.stageIndex += 1;
	_flight.attemptsMade = 0;
	_flight.connectsFailed = 0;
	_flight.avoid.clear();
	if (_flight.stageIndex == _flight.stages.size())
	{
		this->finish(_flight.spec.id, Outcome{Verdict::Answered, Reason::None, false, 0, {}}, _actions);
		this->pump(pool, _now, _actions);
		return;
	}
	this->enqueue(_flight);
	const std::string next = _flight.stages[_flight.stageIndex].pool;
	this->pump(pool, _now, _actions);
	if (next != pool)
	{
		this->pump(next, _now, _actions);
	}
}

void Dispatcher::State::retryOrGiveUp(Flight& _flight, bool _sent, Micros _now, Actions& _actions)
{
	const StageRow& stage = _flight.stages[_flight.stageIndex];
	const std::string pool = stage.pool;
	const std::uint64_t request = _flight.spec.id;
	const bool once = this->isOnce(_flight);
	this->releaseAttempt(_flight);
	this->book.failed(_flight.endpoint, _now);
	_flight.begun = _flight.begun || _sent;
	_flight.onceBegun = _flight.onceBegun || (_sent && once);
	_flight.avoid = _flight.endpoint;
	if (_sent && once)
	{
		this->finish(request, this->givenUp(_flight, Reason::CutWhileRunning), _actions);
	}
	else if (_flight.attemptsMade >= stage.attempts)
	{
		this->finish(request, this->givenUp(_flight, Reason::AttemptsExhausted), _actions);
	}
	else if (!this->budget(stage.pool).takeRetry())
	{
		this->finish(request, this->givenUp(_flight, Reason::RetryBudgetEmpty), _actions);
	}
	else
	{
		this->counters.retries += 1;
		this->enqueue(_flight);
	}
	this->pump(pool, _now, _actions);
}

/// No endpoint has seen the attempt: where the settings allow it, it counts neither as an attempt nor as a retry.
void Dispatcher::State::reconnectOrGiveUp(Flight& _flight, Micros _now, Actions& _actions)
{
	if (_flight.connectsFailed >= this->config.spareConnects)
	{
		this->retryOrGiveUp(_flight, false, _now, _actions);
		return;
	}
	_flight.connectsFailed += 1;
	_flight.attemptsMade -= 1;
	_flight.avoid = _flight.endpoint;
	const std::string pool = _flight.stages[_flight.stageIndex].pool;
	this->releaseAttempt(_flight);
	this->book.failed(_flight.endpoint, _now);
	this->enqueue(_flight);
	this->pump(pool, _now, _actions);
}

Dispatcher::Dispatcher(const DispatcherConfig& _config) : state(std::make_unique<State>(_config))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setTable(std::shared_ptr<const Table> _table)
{
	this->state->useTable(std::move(_table));
}

void Dispatcher::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->state->book.setEndpoints(_endpoints);
}

void Dispatcher::setNodes(std::size_t _nodes)
{
	this->state->book.setNodes(_nodes);
}

void Dispatcher::markLeaving(const std::string& _endpoint)
{
	this->state->book.markLeaving(_endpoint);
}

void Dispatcher::reportLoad(const std::string& _endpoint, const LoadReport& _report)
{
	this->state->book.reportLoad(_endpoint, _report);
}

void Dispatcher::setShare(const std::string& _workspace, std::int64_t _inFlight)
{
	if (_inFlight < 0)
	{
		this->state->shares.erase(_workspace);
		return;
	}
	this->state->shares[_workspace] = _inFlight;
}

void Dispatcher::drain()
{
	this->state->draining = true;
}

void Dispatcher::setRetryBounds(double _share, double _burst)
{
	this->state->config.retryShare = _share;
	this->state->config.retryBurst = _burst;
	for (auto& entry : this->state->budgets)
	{
		entry.second.setBounds(_share, _burst);
	}
}

void Dispatcher::State::admit(const RequestSpec& _request, Flight _flight, Micros _now, Actions& _actions)
{
	this->workspaceFlights[_request.workspace] += 1;
	this->deadlines.emplace(_request.deadline, _request.id);
	Flight& kept = this->flights.emplace(_request.id, std::move(_flight)).first->second;
	const std::string pool = kept.stages.front().pool;
	this->enqueue(kept);
	this->pump(pool, _now, _actions);
}

Actions Dispatcher::submit(const RequestSpec& _request, Micros _now)
{
	State& self = *this->state;
	Actions actions;
	self.counters.submitted += 1;
	Flight flight;
	if (auto refusal = self.refusalOf(_request, flight, _now))
	{
		self.counters.notRun += 1;
		actions.emplace_back(FinishRequest{_request.id, *refusal});
		return actions;
	}
	self.admit(_request, std::move(flight), _now, actions);
	return actions;
}

Actions Dispatcher::submit(const RequestSpec& _request, const PipelineRow& _pipeline,
						   const std::vector<StageRow>& _stages, Micros _now)
{
	State& self = *this->state;
	Actions actions;
	self.counters.submitted += 1;
	Flight flight;
	flight.spec = _request;
	flight.pipeline = _pipeline;
	flight.stages = _stages;
	std::optional<Outcome> refusal = self.feasibilityRefusal(flight, _now);
	if (!refusal && _request.repeat && !self.budget(_stages.front().pool).takeRetry())
	{
		refusal = Outcome{Verdict::NotRun, Reason::RetryBudgetEmpty, true, kRetryAfterMin, {}};
	}
	if (refusal)
	{
		self.counters.notRun += 1;
		actions.emplace_back(FinishRequest{_request.id, *refusal});
		return actions;
	}
	self.admit(_request, std::move(flight), _now, actions);
	return actions;
}

Actions Dispatcher::attemptEnded(std::uint64_t _attempt, const AttemptEnd& _end, Micros _now)
{
	State& self = *this->state;
	Actions actions;
	const auto found = self.requestOfAttempt.find(_attempt);
	if (found == self.requestOfAttempt.end())
	{
		self.counters.lateAnswers += 1;
		return actions;
	}
	Flight& flight = self.flights.at(found->second);
	std::visit(
		Overloaded{
			[&](const AttemptAnswered&) { self.answered(flight, _now, actions); },
			[&](const AttemptNotSent&) { self.reconnectOrGiveUp(flight, _now, actions); },
			[&](const AttemptRefused&) { self.retryOrGiveUp(flight, false, _now, actions); },
			[&](const AttemptCut&) { self.retryOrGiveUp(flight, true, _now, actions); },
		},
		_end);
	return actions;
}

Actions Dispatcher::cancel(std::uint64_t _request, Micros _now)
{
	Actions actions;
	if (this->state->flights.count(_request) > 0)
	{
		this->state->stopFlight(_request, Reason::Cancelled, _now, actions);
	}
	return actions;
}

Actions Dispatcher::tick(Micros _now)
{
	State& self = *this->state;
	Actions actions;
	while (!self.deadlines.empty() && self.deadlines.begin()->first <= _now)
	{
		self.stopFlight(self.deadlines.begin()->second, Reason::DeadlinePassed, _now, actions);
	}
	for (auto& entry : self.queues)
	{
		self.pump(entry.first, _now, actions);
	}
	return actions;
}

std::string Dispatcher::homeDomain(const std::string& _pool, std::uint64_t _prefix, Micros _now) const
{
	return this->state->book.homeDomain(_pool, _prefix, _now);
}

std::size_t Dispatcher::inFlight() const
{
	return this->state->flights.size();
}

std::map<std::string, std::int64_t> Dispatcher::inFlightByWorkspace() const
{
	return this->state->workspaceFlights;
}

const DispatcherCounters& Dispatcher::counters() const
{
	return this->state->counters;
}

std::vector<EndpointState> Dispatcher::endpoints() const
{
	return this->state->book.all();
}

} // namespace roadferry
