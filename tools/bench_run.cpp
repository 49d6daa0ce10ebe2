/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the simulation in virtual time.

#include "bench_run.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace roadferry
{

namespace
{

constexpr Micros kNetworkDelay = 500; ///< One way between two VMs, for calls and their answers.
constexpr Micros kTickPeriod = 10 * kMillisecond;
constexpr Micros kReportPeriod = 1 * kSecond;
constexpr Micros kReportDelay = 1 * kSecond;
constexpr double kReportLossProbability = 0.1;
constexpr std::uint32_t kSeed = 20'261'202;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kLogNormalSigma = 0.3; ///< Of the log-normal factor on service times and token counts.

/// A simulated request.
struct BenchRequest
{
	RequestSpec spec;
	std::string workload;
	std::size_t node = 0;
	Micros arrivedAt = 0;
	Micros deadline = 0;
	double heldSeconds = 0; ///< Endpoint time used so far.
	double minEngineSeconds = 0;
};

/// An action at a point in time. Events of the same time run in the order in which they were scheduled.
struct Event
{
	Micros at = 0;
	std::uint64_t sequence = 0;
	std::function<void()> action;

	bool operator<(const Event& _other) const
	{
		return this->at != _other.at ? this->at > _other.at : this->sequence > _other.sequence;
	}
};

class Simulation
{
public:
	Simulation(const BenchCase& _case, const DispatcherConfig& _config) : benchCase(_case), rng(kSeed)
	{
		this->makeTable();
		this->makeEndpoints();
		for (std::size_t node = 0; node < _case.nodeCount; ++node)
		{
			DispatcherConfig config = _config;
			config.seed = node + 1;
			this->nodes.push_back(std::make_unique<Dispatcher>(config));
			this->nodes.back()->setNodeCount(_case.nodeCount);
			this->nodes.back()->setTable(this->table);
			const std::string name = "node-" + std::to_string(node);
			this->nodes.back()->setEndpoints(selectSubset(name, this->endpointList, _case.maxEndpointsPerPool));
		}
	}

	BenchResults run()
	{
		for (const BenchWorkload& workload : this->benchCase.workloads)
		{
			this->scheduleArrival(workload, 0);
		}
		this->scheduleTicks();
		this->scheduleReports();
		this->scheduleFaults();
		while (!this->events.empty())
		{
			std::pop_heap(this->events.begin(), this->events.end());
			const Event event = std::move(this->events.back());
			this->events.pop_back();
			this->now = event.at;
			event.action();
		}
		this->summarize();
		return std::move(this->results);
	}

private:
	void schedule(Micros _at, std::function<void()> _action)
	{
		this->events.push_back(Event{_at, ++this->sequence, std::move(_action)});
		std::push_heap(this->events.begin(), this->events.end());
	}

	void makeTable()
	{
		TableEdit edit;
		edit.id = "bench";
		const auto put = [&](const Row& _row) { edit.changes.push_back(RowChange{keyOf(_row), 0, _row}); };
		for (const auto& workspace : this->benchCase.workspaces)
		{
			put(WorkspaceRow{workspace.first, workspace.second, 0});
			for (const BenchWorkload& workload : this->benchCase.workloads)
			{
				put(PipelineRow{workload.name + "." + workspace.first, workspace.first, workload.stages,
								workload.timeout / kMillisecond, workload.isUrgent});
			}
		}
		for (const BenchPool& pool : this->benchCase.pools)
		{
			const auto expected = static_cast<std::int64_t>(std::max(1.0, pool.serviceTimeMs));
			put(StageRow{pool.name, pool.kind, pool.name, true, 3, expected});
		}
		auto newTable = std::make_shared<Table>();
		newTable->apply(1, edit);
		this->table = newTable;
	}

	void makeEndpoints()
	{
		for (const BenchPool& pool : this->benchCase.pools)
		{
			for (std::int64_t index = 0; index < pool.endpointCount; ++index)
			{
				Endpoint endpoint;
				endpoint.id = pool.name + "-" + std::to_string(index);
				endpoint.pool = pool.name;
				endpoint.slots = pool.slots;
				this->endpointList.push_back(endpoint);
				const bool isEngine = pool.kind == StageKind::Engine;
				BenchEngineModel engineModel;
				engineModel.maxBatchSize = static_cast<std::size_t>(pool.slots);
				this->endpoints.emplace(endpoint.id,
										BenchEndpoint(endpoint, isEngine ? std::optional(engineModel) : std::nullopt));
				this->serviceTimeMs[pool.name] = pool.serviceTimeMs;
			}
		}
	}

	[[nodiscard]] double arrivalRate(const BenchWorkload& _workload) const
	{
		const bool isBurst =
			_workload.scalesWithBurst && this->now >= this->benchCase.burstFrom && this->now < this->benchCase.burstTo;
		return _workload.requestsPerSecond * (isBurst ? this->benchCase.burstFactor : 1.0);
	}

	void scheduleArrival(const BenchWorkload& _workload, Micros _from)
	{
		std::exponential_distribution<double> interval(this->arrivalRate(_workload));
		const Micros at = _from + static_cast<Micros>(interval(this->rng) * kMicrosPerSecond);
		if (at >= this->benchCase.arrivalsEnd)
		{
			return;
		}
		this->schedule(at,
					   [this, &_workload, at]
					   {
						   this->arrive(_workload);
						   this->scheduleArrival(_workload, at);
					   });
	}

	std::string chooseWorkspace()
	{
		double draw = std::uniform_real_distribution<double>(0, 1)(this->rng);
		for (const auto& workspace : this->benchCase.workspaces)
		{
			draw -= workspace.second;
			if (draw <= 0)
			{
				return workspace.first;
			}
		}
		return this->benchCase.workspaces.back().first;
	}

	void arrive(const BenchWorkload& _workload)
	{
		BenchRequest request;
		request.workload = _workload.name;
		request.node = this->rng() % this->nodes.size();
		request.arrivedAt = this->now;
		request.deadline = this->now + _workload.timeout;
		request.spec.id = ++this->lastRequest;
		request.spec.workspace = this->chooseWorkspace();
		request.spec.pipeline = _workload.name + "." + request.spec.workspace;
		// The deadline of the node leaves time for the network in both directions, since late answers do not count.
		request.spec.deadline = request.deadline - 2 * kNetworkDelay;
		const double sizeFactor = std::lognormal_distribution<double>(0, kLogNormalSigma)(this->rng);
		request.spec.promptTokens = static_cast<std::int64_t>(static_cast<double>(_workload.promptTokens) * sizeFactor);
		request.spec.maxTokens = static_cast<std::int64_t>(static_cast<double>(_workload.maxTokens) * sizeFactor);
		if (_workload.prefixCount > 0)
		{
			request.spec.prefix = 1 + this->rng() % static_cast<std::uint64_t>(_workload.prefixCount);
		}
		request.minEngineSeconds = this->minEngineSecondsOf(request.spec, _workload);
		this->results.offered += 1;
		this->results.byWorkload[_workload.name].first += 1;
		this->results.byWorkspace[request.spec.workspace].first += 1;
		this->results.bySecond[this->now / kSecond].first += 1;
		this->offeredEngineSeconds[this->now / kSecond] += request.minEngineSeconds;
		const std::uint64_t id = request.spec.id;
		const std::size_t node = request.node;
		this->requests.emplace(id, std::move(request));
		this->applyActions(node, this->nodes[node]->submit(this->requests.at(id).spec, this->now));
	}

	[[nodiscard]] double minEngineSecondsOf(const RequestSpec& _spec, const BenchWorkload& _workload) const
	{
		BenchJob job;
		job.promptTokens = static_cast<double>(_spec.promptTokens);
		job.maxTokens = static_cast<double>(_spec.maxTokens);
		job.prefix = _spec.prefix;
		Micros budget = _workload.timeout;
		for (const std::string& stage : _workload.stages)
		{
			const bool isEngine = this->table->stage(stage)->kind == StageKind::Engine;
			budget -=
				2 * kNetworkDelay + (isEngine ? 0 : static_cast<Micros>(this->serviceTimeMs.at(stage)) * kMillisecond);
		}
		for (const std::string& stage : _workload.stages)
		{
			if (this->table->stage(stage)->kind == StageKind::Engine)
			{
				return this->endpoints.at(stage + "-0").minEngineSeconds(job, budget).value_or(0);
			}
		}
		return 0;
	}

	void applyActions(std::size_t _node, const Actions& _actions)
	{
		for (const Action& action : _actions)
		{
			std::visit(
				Overloaded{
					[&](const StartAttempt& _typed) { this->startAttempt(_node, _typed); },
					[&](const CancelAttempt& _typed) { this->cancelAttempt(_node, _typed); },
					[&](const FinishRequest& _typed) { this->finishRequest(_typed); },
				},
				action);
		}
	}

	void startAttempt(std::size_t _node, const StartAttempt& _action)
	{
		const RequestSpec& spec = this->requests.at(_action.request).spec;
		BenchJob job;
		job.node = _node;
		job.attempt = _action.attempt;
		job.request = _action.request;
		job.promptTokens = static_cast<double>(spec.promptTokens);
		job.maxTokens = static_cast<double>(spec.maxTokens);
		job.prefix = spec.prefix;
		const double sizeFactor = std::lognormal_distribution<double>(0, kLogNormalSigma)(this->rng);
		job.serviceTimeUs = this->serviceTimeMs.at(_action.stage) * static_cast<double>(kMillisecond) * sizeFactor;
		this->activeAttempts[{_node, _action.attempt}] = _action.endpoint;
		this->schedule(this->now + kNetworkDelay, [this, job, id = _action.endpoint] { this->deliverJob(id, job); });
	}

	void deliverJob(const std::string& _endpoint, const BenchJob& _job)
	{
		if (this->activeAttempts.count({_job.node, _job.attempt}) == 0)
		{
			return;
		}
		BenchEndpoint& endpoint = this->endpoints.at(_endpoint);
		this->advance(endpoint);
		if (endpoint.isFailing)
		{
			this->endJob(_endpoint, _job, AttemptInterrupted{});
			return;
		}
		endpoint.addJob(_job, this->now);
		this->scheduleNextChange(_endpoint);
	}

	void scheduleNextChange(const std::string& _endpoint)
	{
		BenchEndpoint& endpoint = this->endpoints.at(_endpoint);
		const auto next = endpoint.nextChangeAt();
		const std::uint64_t generation = ++this->changeGenerations[_endpoint];
		if (!next)
		{
			return;
		}
		this->schedule(*next,
					   [this, _endpoint, generation]
					   {
						   if (this->changeGenerations[_endpoint] == generation)
						   {
							   this->advance(this->endpoints.at(_endpoint));
							   this->scheduleNextChange(_endpoint);
						   }
					   });
	}

	void advance(BenchEndpoint& _endpoint)
	{
		for (const BenchJob& job : _endpoint.advance(this->now))
		{
			this->endJob(_endpoint.endpoint.id, job, AttemptAnswered{});
		}
	}

	void endJob(const std::string& _endpoint, const BenchJob& _job, const AttemptEnd& _end)
	{
		this->recordHeldTime(_endpoint, _job);
		if (_job.firstTokenAt > 0)
		{
			const BenchRequest& request = this->requests.at(_job.request);
			this->results.timesToFirstToken.push_back(_job.firstTokenAt - request.arrivedAt);
			const auto tokens = static_cast<Micros>(std::max(1.0, _job.maxTokens));
			this->results.timesBetweenTokens.push_back((this->now - _job.firstTokenAt) / tokens);
		}
		this->schedule(this->now + kNetworkDelay,
					   [this, _job, _end]
					   {
						   if (this->activeAttempts.erase({_job.node, _job.attempt}) > 0)
						   {
							   this->applyActions(_job.node,
												  this->nodes[_job.node]->attemptEnded(_job.attempt, _end, this->now));
						   }
					   });
	}

	/// Records the time for which a call held its endpoint, divided by the endpoint's slots.
	void recordHeldTime(const std::string& _endpoint, const BenchJob& _job)
	{
		const BenchEndpoint& endpoint = this->endpoints.at(_endpoint);
		const double seconds =
			_job.arrivedAt == 0 ? 0 : static_cast<double>(this->now - _job.arrivedAt) / kMicrosPerSecond;
		const double share = seconds / static_cast<double>(endpoint.endpoint.slots);
		this->requests.at(_job.request).heldSeconds += share;
		this->results.endpointSecondsByPool[endpoint.endpoint.pool] += share;
	}

	void cancelAttempt(std::size_t _node, const CancelAttempt& _action)
	{
		const auto found = this->activeAttempts.find({_node, _action.attempt});
		if (found == this->activeAttempts.end())
		{
			return;
		}
		const std::string id = found->second;
		this->activeAttempts.erase(found);
		BenchEndpoint& endpoint = this->endpoints.at(id);
		this->advance(endpoint);
		if (const auto job = endpoint.removeJob(_node, _action.attempt))
		{
			this->recordHeldTime(id, *job);
		}
		this->scheduleNextChange(id);
	}

	void finishRequest(const FinishRequest& _action)
	{
		const BenchRequest& request = this->requests.at(_action.request);
		const bool isInTime = this->now + kNetworkDelay <= request.deadline;
		this->results.usedEndpointSeconds += request.heldSeconds;
		if (_action.outcome.verdict == Verdict::Answered && isInTime)
		{
			this->results.answered += 1;
			this->results.byWorkload[request.workload].second += 1;
			this->results.byWorkspace[request.spec.workspace].second += 1;
			this->results.bySecond[request.arrivedAt / kSecond].second += 1;
			this->results.answeredEngineSeconds += request.minEngineSeconds;
			this->results.latencies.push_back(this->now - request.arrivedAt);
			return;
		}
		this->results.wastedEndpointSeconds += request.heldSeconds;
		this->results.refused += _action.outcome.verdict == Verdict::NotRun ? 1 : 0;
	}

	void scheduleTicks()
	{
		this->schedule(this->now + kTickPeriod,
					   [this]
					   {
						   for (std::size_t node = 0; node < this->nodes.size(); ++node)
						   {
							   this->applyActions(node, this->nodes[node]->tick(this->now));
						   }
						   if (this->now < this->benchCase.arrivalsEnd + 30 * kSecond)
						   {
							   this->scheduleTicks();
						   }
					   });
	}

	void scheduleReports()
	{
		this->schedule(this->now + kReportPeriod,
					   [this]
					   {
						   for (auto& entry : this->endpoints)
						   {
							   this->advance(entry.second);
							   this->sendLoadReport(entry.first, entry.second.loadReport());
						   }
						   if (this->now < this->benchCase.arrivalsEnd + 30 * kSecond)
						   {
							   this->scheduleReports();
						   }
					   });
	}

	void sendLoadReport(const std::string& _endpoint, const LoadReport& _report)
	{
		for (const auto& node : this->nodes)
		{
			if (std::uniform_real_distribution<double>(0, 1)(this->rng) < kReportLossProbability)
			{
				continue;
			}
			this->schedule(this->now + kReportDelay,
						   [receiver = node.get(), _endpoint, _report] { receiver->reportLoad(_endpoint, _report); });
		}
	}

	void scheduleFaults()
	{
		for (const BenchFault& fault : this->benchCase.faults)
		{
			this->schedule(fault.from, [this, &fault] { this->setFault(fault, fault.speedFactor, fault.isFailing); });
			this->schedule(fault.to, [this, &fault] { this->setFault(fault, 1, false); });
		}
	}

	void setFault(const BenchFault& _fault, double _speedFactor, bool _isFailing)
	{
		std::size_t index = 0;
		for (const Endpoint& listed : this->endpointList)
		{
			if (listed.pool != _fault.pool || index++ % _fault.stride != 0)
			{
				continue;
			}
			BenchEndpoint& endpoint = this->endpoints.at(listed.id);
			this->advance(endpoint);
			endpoint.speedFactor = _speedFactor;
			endpoint.isFailing = _isFailing;
			this->scheduleNextChange(listed.id);
		}
	}

	/// Sums the counters of all nodes and calculates the upper bound of the engine work that can be answered. Work
	/// arrives in steps of 1 s and is dropped after the longest timeout of an engine workload; each engine does one
	/// second of work per second, scaled by its speed at that time.
	void summarize()
	{
		Micros maxWaitSeconds = 0;
		for (const BenchWorkload& workload : this->benchCase.workloads)
		{
			maxWaitSeconds = std::max(maxWaitSeconds, workload.maxTokens > 0 ? workload.timeout / kSecond : 0);
		}
		std::deque<std::pair<Micros, double>> pending;
		const Micros lastSecond = this->benchCase.arrivalsEnd / kSecond + maxWaitSeconds;
		for (Micros second = 0; second <= lastSecond; ++second)
		{
			pending.emplace_back(second, this->offeredEngineSeconds[second]);
			while (!pending.empty() && pending.front().first + maxWaitSeconds < second)
			{
				pending.pop_front();
			}
			this->results.engineSecondsBound += this->consumePending(pending, this->engineCapacity(second * kSecond));
		}
		for (const auto& node : this->nodes)
		{
			this->results.attempts += node->counters().attempts;
			this->results.retries += node->counters().retries;
		}
	}

	static double consumePending(std::deque<std::pair<Micros, double>>& _pending, double _capacity)
	{
		double consumed = 0;
		for (auto& entry : _pending)
		{
			const double part = std::min(entry.second, _capacity - consumed);
			entry.second -= part;
			consumed += part;
		}
		return consumed;
	}

	[[nodiscard]] double engineCapacity(Micros _at) const
	{
		double seconds = 0;
		for (const BenchPool& pool : this->benchCase.pools)
		{
			if (pool.kind != StageKind::Engine)
			{
				continue;
			}
			for (std::int64_t index = 0; index < pool.endpointCount; ++index)
			{
				double speedFactor = 1;
				for (const BenchFault& fault : this->benchCase.faults)
				{
					const bool isAffected =
						fault.pool == pool.name && static_cast<std::size_t>(index) % fault.stride == 0;
					const bool isActive = _at >= fault.from && _at < fault.to;
					speedFactor = isAffected && isActive ? (fault.isFailing ? 0 : fault.speedFactor) : speedFactor;
				}
				seconds += speedFactor;
			}
		}
		return seconds;
	}

	const BenchCase& benchCase;
	std::mt19937 rng;
	std::shared_ptr<const Table> table;
	std::vector<Endpoint> endpointList;
	std::map<std::string, BenchEndpoint> endpoints;
	std::map<std::string, double> serviceTimeMs;
	std::map<std::string, std::uint64_t> changeGenerations; ///< By endpoint; invalidates events scheduled earlier.
	std::vector<std::unique_ptr<Dispatcher>> nodes;
	std::vector<Event> events; ///< Heap with the earliest event on top.
	std::map<std::uint64_t, BenchRequest> requests;
	std::map<std::pair<std::size_t, std::uint64_t>, std::string>
		activeAttempts;                            ///< Endpoint of each attempt in progress.
	std::map<Micros, double> offeredEngineSeconds; ///< By second of arrival.
	std::uint64_t sequence = 0;
	std::uint64_t lastRequest = 0;
	Micros now = 0;
	BenchResults results;
};

} // namespace

BenchResults runBench(const BenchCase& _case, const DispatcherConfig& _config)
{
	return Simulation(_case, _config).run();
}

double percent(double _part, double _whole)
{
	return _whole > 0 ? kPercent * _part / _whole : kPercent;
}

double attainmentPercent(const std::pair<std::uint64_t, std::uint64_t>& _counts)
{
	return percent(static_cast<double>(_counts.second), static_cast<double>(_counts.first));
}

double toMilliseconds(Micros _time)
{
	return static_cast<double>(_time) / static_cast<double>(kMillisecond);
}

Micros quantile(std::vector<Micros> _values, double _share)
{
	if (_values.empty())
	{
		return 0;
	}
	const auto index = static_cast<std::size_t>(_share * static_cast<double>(_values.size() - 1));
	std::nth_element(_values.begin(), _values.begin() + static_cast<std::ptrdiff_t>(index), _values.end());
	return _values[index];
}

} // namespace roadferry
