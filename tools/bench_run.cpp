/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the measurement in virtual time.

#include "bench_run.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace roadferry
{

namespace
{

constexpr Micros kNetwork = 500; ///< One way between two VMs.
constexpr Micros kTick = 10 * kMillisecond;
constexpr Micros kReportPeriod = 1 * kSecond;
constexpr Micros kReportLag = 1 * kSecond;
constexpr double kReportsLost = 0.1;
constexpr std::uint32_t kSeed = 20'261'202;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kWorkSpread = 0.3; ///< Deviation of the logarithm of a plain call's work.

/// A request as the measurement sees it.
struct Offered
{
	RequestSpec spec;
	std::string kind;
	std::size_t node = 0;
	Micros arrived = 0;
	Micros deadline = 0;
	double held = 0; ///< Seconds of endpoints so far.
	double engineWork = 0;
};

/// What happens at a point of time; ties are broken by the order of planning.
struct Event
{
	Micros at = 0;
	std::uint64_t order = 0;
	std::function<void()> action;

	bool operator<(const Event& _other) const
	{
		return this->at != _other.at ? this->at > _other.at : this->order > _other.order;
	}
};

class Bench
{
public:
	Bench(const BenchCase& _case, const DispatcherConfig& _config) : given(_case), random(kSeed)
	{
		this->makeTable();
		this->makeEndpoints();
		for (std::size_t node = 0; node < _case.nodes; ++node)
		{
			DispatcherConfig config = _config;
			config.seed = node + 1;
			this->nodes.push_back(std::make_unique<Dispatcher>(config));
			this->nodes.back()->setNodeCount(_case.nodes);
			this->nodes.back()->setTable(this->table);
			const std::string name = "node-" + std::to_string(node);
			this->nodes.back()->setEndpoints(selectSubset(name, this->list, _case.endpointsPerPool));
		}
	}

	BenchFigures run()
	{
		for (const BenchKind& kind : this->given.kinds)
		{
			this->planArrival(kind, 0);
		}
		this->planTicks();
		this->planReports();
		this->planFaults();
		while (!this->events.empty())
		{
			std::pop_heap(this->events.begin(), this->events.end());
			const Event event = std::move(this->events.back());
			this->events.pop_back();
			this->now = event.at;
			event.action();
		}
		this->sum();
		return std::move(this->figures);
	}

private:
	void plan(Micros _at, std::function<void()> _action)
	{
		this->events.push_back(Event{_at, ++this->order, std::move(_action)});
		std::push_heap(this->events.begin(), this->events.end());
	}

	void makeTable()
	{
		TableEdit edit;
		edit.id = "bench";
		const auto put = [&](const Row& _row) { edit.changes.push_back(RowChange{keyOf(_row), 0, _row}); };
		for (const auto& workspace : this->given.workspaces)
		{
			put(WorkspaceRow{workspace.first, workspace.second, 0});
			for (const BenchKind& kind : this->given.kinds)
			{
				put(PipelineRow{kind.name + "." + workspace.first, workspace.first, kind.stages,
								kind.deadline / kMillisecond, kind.urgent});
			}
		}
		for (const BenchPool& pool : this->given.pools)
		{
			const auto expected = static_cast<std::int64_t>(std::max(1.0, pool.workMs));
			put(StageRow{pool.name, pool.kind, pool.name, true, 3, expected});
		}
		auto made = std::make_shared<Table>();
		made->apply(1, edit);
		this->table = made;
	}

	void makeEndpoints()
	{
		for (const BenchPool& pool : this->given.pools)
		{
			for (std::int64_t index = 0; index < pool.count; ++index)
			{
				Endpoint endpoint;
				endpoint.id = pool.name + "-" + std::to_string(index);
				endpoint.pool = pool.name;
				endpoint.slots = pool.slots;
				this->list.push_back(endpoint);
				const bool engine = pool.kind == StageKind::Engine;
				BenchEngine behaviour;
				behaviour.batch = static_cast<std::size_t>(pool.slots);
				this->endpoints.emplace(endpoint.id,
										BenchEndpoint(endpoint, engine ? std::optional(behaviour) : std::nullopt));
				this->workMs[pool.name] = pool.workMs;
			}
		}
	}

	[[nodiscard]] double rateOf(const BenchKind& _kind) const
	{
		const bool burst = _kind.bursts && this->now >= this->given.burstFrom && this->now < this->given.burstTo;
		return _kind.perSecond * (burst ? this->given.burst : 1.0);
	}

	void planArrival(const BenchKind& _kind, Micros _from)
	{
		std::exponential_distribution<double> gap(this->rateOf(_kind));
		const Micros at = _from + static_cast<Micros>(gap(this->random) * kMicrosPerSecond);
		if (at >= this->given.end)
		{
			return;
		}
		this->plan(at,
				   [this, &_kind, at]
				   {
					   this->arrive(_kind);
					   this->planArrival(_kind, at);
				   });
	}

	std::string drawWorkspace()
	{
		double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
		for (const auto& workspace : this->given.workspaces)
		{
			draw -= workspace.second;
			if (draw <= 0)
			{
				return workspace.first;
			}
		}
		return this->given.workspaces.back().first;
	}

	void arrive(const BenchKind& _kind)
	{
		Offered offered;
		offered.kind = _kind.name;
		offered.node = this->random() % this->nodes.size();
		offered.arrived = this->now;
		offered.deadline = this->now + _kind.deadline;
		offered.spec.id = ++this->lastRequest;
		offered.spec.workspace = this->drawWorkspace();
		offered.spec.pipeline = _kind.name + "." + offered.spec.workspace;
		// A call that would end on the way back to its caller is late.
		offered.spec.deadline = offered.deadline - 2 * kNetwork;
		const double spread = std::lognormal_distribution<double>(0, kWorkSpread)(this->random);
		offered.spec.promptTokens = static_cast<std::int64_t>(static_cast<double>(_kind.promptTokens) * spread);
		offered.spec.maxTokens = static_cast<std::int64_t>(static_cast<double>(_kind.maxTokens) * spread);
		if (_kind.prefixes > 0)
		{
			offered.spec.prefix = 1 + this->random() % static_cast<std::uint64_t>(_kind.prefixes);
		}
		offered.engineWork = this->engineWorkOf(offered.spec, _kind);
		this->figures.offered += 1;
		this->figures.byKind[_kind.name].first += 1;
		this->figures.byWorkspace[offered.spec.workspace].first += 1;
		this->figures.bySecond[this->now / kSecond].first += 1;
		this->offeredWork[this->now / kSecond] += offered.engineWork;
		const std::uint64_t id = offered.spec.id;
		const std::size_t node = offered.node;
		this->requests.emplace(id, std::move(offered));
		this->take(node, this->nodes[node]->submit(this->requests.at(id).spec, this->now));
	}

	[[nodiscard]] double engineWorkOf(const RequestSpec& _spec, const BenchKind& _kind) const
	{
		BenchJob job;
		job.promptTokens = static_cast<double>(_spec.promptTokens);
		job.maxTokens = static_cast<double>(_spec.maxTokens);
		job.prefix = _spec.prefix;
		Micros budget = _kind.deadline;
		for (const std::string& stage : _kind.stages)
		{
			const bool engine = this->table->stage(stage)->kind == StageKind::Engine;
			budget -= 2 * kNetwork + (engine ? 0 : static_cast<Micros>(this->workMs.at(stage)) * kMillisecond);
		}
		for (const std::string& stage : _kind.stages)
		{
			if (this->table->stage(stage)->kind == StageKind::Engine)
			{
				return this->endpoints.at(stage + "-0").bestSeconds(job, budget).value_or(0);
			}
		}
		return 0;
	}

	void take(std::size_t _node, const Actions& _actions)
	{
		for (const Action& action : _actions)
		{
			std::visit(
				Overloaded{
					[&](const StartAttempt& _typed) { this->start(_node, _typed); },
					[&](const CancelAttempt& _typed) { this->cancel(_node, _typed); },
					[&](const FinishRequest& _typed) { this->finish(_typed); },
				},
				action);
		}
	}

	void start(std::size_t _node, const StartAttempt& _action)
	{
		const RequestSpec& spec = this->requests.at(_action.request).spec;
		BenchJob job;
		job.node = _node;
		job.attempt = _action.attempt;
		job.request = _action.request;
		job.promptTokens = static_cast<double>(spec.promptTokens);
		job.maxTokens = static_cast<double>(spec.maxTokens);
		job.prefix = spec.prefix;
		const double spread = std::lognormal_distribution<double>(0, kWorkSpread)(this->random);
		job.work = this->workMs.at(_action.stage) * static_cast<double>(kMillisecond) * spread;
		this->where[{_node, _action.attempt}] = _action.endpoint;
		this->plan(this->now + kNetwork, [this, job, id = _action.endpoint] { this->reach(id, job); });
	}

	void reach(const std::string& _endpoint, const BenchJob& _job)
	{
		if (this->where.count({_job.node, _job.attempt}) == 0)
		{
			return;
		}
		BenchEndpoint& endpoint = this->endpoints.at(_endpoint);
		this->advance(endpoint);
		if (endpoint.failing)
		{
			this->answer(_endpoint, _job, AttemptInterrupted{});
			return;
		}
		endpoint.add(_job, this->now);
		this->planNext(_endpoint);
	}

	void planNext(const std::string& _endpoint)
	{
		BenchEndpoint& endpoint = this->endpoints.at(_endpoint);
		const auto next = endpoint.next();
		const std::uint64_t turn = ++this->turns[_endpoint];
		if (!next)
		{
			return;
		}
		this->plan(*next,
				   [this, _endpoint, turn]
				   {
					   if (this->turns[_endpoint] == turn)
					   {
						   this->advance(this->endpoints.at(_endpoint));
						   this->planNext(_endpoint);
					   }
				   });
	}

	void advance(BenchEndpoint& _endpoint)
	{
		for (const BenchJob& job : _endpoint.advance(this->now))
		{
			this->answer(_endpoint.endpoint.id, job, AttemptAnswered{});
		}
	}

	void answer(const std::string& _endpoint, const BenchJob& _job, const AttemptEnd& _end)
	{
		this->charge(_endpoint, _job);
		if (_job.firstToken > 0)
		{
			const Offered& offered = this->requests.at(_job.request);
			this->figures.firstToken.push_back(_job.firstToken - offered.arrived);
			const auto tokens = static_cast<Micros>(std::max(1.0, _job.maxTokens));
			this->figures.betweenTokens.push_back((this->now - _job.firstToken) / tokens);
		}
		this->plan(this->now + kNetwork,
				   [this, _job, _end]
				   {
					   if (this->where.erase({_job.node, _job.attempt}) > 0)
					   {
						   this->take(_job.node, this->nodes[_job.node]->attemptEnded(_job.attempt, _end, this->now));
					   }
				   });
	}

	/// Counts the time that a call has held its endpoint: a slot's share of it.
	void charge(const std::string& _endpoint, const BenchJob& _job)
	{
		const BenchEndpoint& endpoint = this->endpoints.at(_endpoint);
		const double seconds = _job.began == 0 ? 0 : static_cast<double>(this->now - _job.began) / kMicrosPerSecond;
		const double share = seconds / static_cast<double>(endpoint.endpoint.slots);
		this->requests.at(_job.request).held += share;
		this->figures.secondsByPool[endpoint.endpoint.pool] += share;
	}

	void cancel(std::size_t _node, const CancelAttempt& _action)
	{
		const auto found = this->where.find({_node, _action.attempt});
		if (found == this->where.end())
		{
			return;
		}
		const std::string id = found->second;
		this->where.erase(found);
		BenchEndpoint& endpoint = this->endpoints.at(id);
		this->advance(endpoint);
		if (const auto job = endpoint.remove(_node, _action.attempt))
		{
			this->charge(id, *job);
		}
		this->planNext(id);
	}

	void finish(const FinishRequest& _action)
	{
		const Offered& offered = this->requests.at(_action.request);
		const bool inTime = this->now + kNetwork <= offered.deadline;
		this->figures.usedSeconds += offered.held;
		if (_action.outcome.verdict == Verdict::Answered && inTime)
		{
			this->figures.answered += 1;
			this->figures.byKind[offered.kind].second += 1;
			this->figures.byWorkspace[offered.spec.workspace].second += 1;
			this->figures.bySecond[offered.arrived / kSecond].second += 1;
			this->figures.answeredWork += offered.engineWork;
			this->figures.elapsed.push_back(this->now - offered.arrived);
			return;
		}
		this->figures.wastedSeconds += offered.held;
		this->figures.refused += _action.outcome.verdict == Verdict::NotRun ? 1 : 0;
	}

	void planTicks()
	{
		this->plan(this->now + kTick,
				   [this]
				   {
					   for (std::size_t node = 0; node < this->nodes.size(); ++node)
					   {
						   this->take(node, this->nodes[node]->tick(this->now));
					   }
					   if (this->now < this->given.end + 30 * kSecond)
					   {
						   this->planTicks();
					   }
				   });
	}

	void planReports()
	{
		this->plan(this->now + kReportPeriod,
				   [this]
				   {
					   for (auto& entry : this->endpoints)
					   {
						   this->advance(entry.second);
						   this->report(entry.first, entry.second.report());
					   }
					   if (this->now < this->given.end + 30 * kSecond)
					   {
						   this->planReports();
					   }
				   });
	}

	void report(const std::string& _endpoint, const LoadReport& _report)
	{
		for (const auto& node : this->nodes)
		{
			if (std::uniform_real_distribution<double>(0, 1)(this->random) < kReportsLost)
			{
				continue;
			}
			this->plan(this->now + kReportLag,
					   [receiver = node.get(), _endpoint, _report] { receiver->reportLoad(_endpoint, _report); });
		}
	}

	void planFaults()
	{
		for (const BenchFault& fault : this->given.faults)
		{
			this->plan(fault.from, [this, &fault] { this->setFault(fault, fault.speed, fault.failing); });
			this->plan(fault.to, [this, &fault] { this->setFault(fault, 1, false); });
		}
	}

	void setFault(const BenchFault& _fault, double _speed, bool _failing)
	{
		std::size_t index = 0;
		for (const Endpoint& listed : this->list)
		{
			if (listed.pool != _fault.pool || index++ % _fault.every != 0)
			{
				continue;
			}
			BenchEndpoint& endpoint = this->endpoints.at(listed.id);
			this->advance(endpoint);
			endpoint.speed = _speed;
			endpoint.failing = _failing;
			this->planNext(listed.id);
		}
	}

	/// The most engine work that could have been answered: work arrives by seconds and may wait for the longest
	/// deadline; each second of an engine does one second of work, at its speed then.
	void sum()
	{
		Micros patience = 0;
		for (const BenchKind& kind : this->given.kinds)
		{
			patience = std::max(patience, kind.maxTokens > 0 ? kind.deadline / kSecond : 0);
		}
		std::deque<std::pair<Micros, double>> waiting;
		const Micros last = this->given.end / kSecond + patience;
		for (Micros second = 0; second <= last; ++second)
		{
			waiting.emplace_back(second, this->offeredWork[second]);
			while (!waiting.empty() && waiting.front().first + patience < second)
			{
				waiting.pop_front();
			}
			this->figures.boundWork += this->workOff(waiting, this->engineSeconds(second * kSecond));
		}
		for (const auto& node : this->nodes)
		{
			this->figures.attempts += node->counters().attempts;
			this->figures.retries += node->counters().retries;
		}
	}

	static double workOff(std::deque<std::pair<Micros, double>>& _waiting, double _capacity)
	{
		double done = 0;
		for (auto& entry : _waiting)
		{
			const double part = std::min(entry.second, _capacity - done);
			entry.second -= part;
			done += part;
		}
		return done;
	}

	[[nodiscard]] double engineSeconds(Micros _at) const
	{
		double seconds = 0;
		for (const BenchPool& pool : this->given.pools)
		{
			if (pool.kind != StageKind::Engine)
			{
				continue;
			}
			for (std::int64_t index = 0; index < pool.count; ++index)
			{
				double speed = 1;
				for (const BenchFault& fault : this->given.faults)
				{
					const bool hit = fault.pool == pool.name && static_cast<std::size_t>(index) % fault.every == 0;
					const bool inForce = _at >= fault.from && _at < fault.to;
					speed = hit && inForce ? (fault.failing ? 0 : fault.speed) : speed;
				}
				seconds += speed;
			}
		}
		return seconds;
	}

	const BenchCase& given;
	std::mt19937 random;
	std::shared_ptr<const Table> table;
	std::vector<Endpoint> list;
	std::map<std::string, BenchEndpoint> endpoints;
	std::map<std::string, double> workMs;
	std::map<std::string, std::uint64_t> turns;
	std::vector<std::unique_ptr<Dispatcher>> nodes;
	std::vector<Event> events; ///< A heap, the earliest first.
	std::map<std::uint64_t, Offered> requests;
	std::map<std::pair<std::size_t, std::uint64_t>, std::string> where; ///< Endpoint of each attempt under way.
	std::map<Micros, double> offeredWork;                               ///< By second of arrival.
	std::uint64_t order = 0;
	std::uint64_t lastRequest = 0;
	Micros now = 0;
	BenchFigures figures;
};

} // namespace

BenchFigures runBench(const BenchCase& _case, const DispatcherConfig& _config)
{
	return Bench(_case, _config).run();
}

double percent(double _part, double _whole)
{
	return _whole > 0 ? kPercent * _part / _whole : kPercent;
}

double attainment(const std::pair<std::uint64_t, std::uint64_t>& _counts)
{
	return percent(static_cast<double>(_counts.second), static_cast<double>(_counts.first));
}

double milliseconds(Micros _time)
{
	return static_cast<double>(_time) / static_cast<double>(kMillisecond);
}

Micros quantileOf(std::vector<Micros> _values, double _share)
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
