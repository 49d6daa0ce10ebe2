/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Several dispatchers before endpoints that crash if they reject too many requests in a second, in virtual time.

#ifndef ROADFERRY_BRITTLE_WORLD_H_HEADER_GUARD
#define ROADFERRY_BRITTLE_WORLD_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace roadferry
{

/// Sizes and load of a BrittleWorld.
struct BrittleConfig
{
	std::size_t nodes = 6;
	std::size_t endpoints = 16;
	std::int64_t slots = 4;
	std::int64_t rejectionLimit = 3; ///< Rejections in a second that an endpoint survives; 0 for any number.
	double load = 0.86;              ///< Work that arrives, as a multiple of all slots.
	double unevenness = 0;           ///< Extra share of the requests that comes to the first node.
	Micros meanWork = 100 * kMillisecond;
	Micros deadline = 2 * kSecond; ///< From a request's arrival.
	std::uint64_t seed = 1;
};

/// Runs the world. The endpoints say that they are brittle from kBrittleAt on, and let none wait from 3 s later on.
class BrittleWorld
{
public:
	static constexpr Micros kBrittleAt = 5 * kSecond;
	static constexpr Micros kContactTime = 3 * kSecond;
	static constexpr Micros kDelay = kMillisecond; ///< Between a node and an endpoint, one way.
	static constexpr Micros kDownTime = 2'500 * kMillisecond;
	static constexpr Micros kListingDelay = 600 * kMillisecond;

	explicit BrittleWorld(const BrittleConfig& _config) : config(_config), random(_config.seed)
	{
		for (std::size_t index = 0; index < _config.endpoints; ++index)
		{
			this->servers.push_back(Server{});
		}
		DispatcherConfig dispatcher;
		dispatcher.maxExtraRefusals = 4;
		dispatcher.maxExtraConnects = 6;
		for (std::size_t index = 0; index < _config.nodes; ++index)
		{
			dispatcher.seed = _config.seed * 100 + index;
			this->nodes.push_back(std::make_unique<Dispatcher>(dispatcher));
			this->names.push_back("10.0.0." + std::to_string(index + 1) + ":8500");
		}
		this->list();
		this->scheduleArrival();
		this->scheduleTick();
	}

	/// Multiplies the arrivals from a time point on.
	void burst(Micros _from, Micros _to, double _factor)
	{
		this->at(_from, [this, _factor] { this->burstFactor = _factor; });
		this->at(_to, [this] { this->burstFactor = 1; });
	}

	/// Replaces the endpoints one after the other by new instances.
	void release(Micros _from, Micros _gap)
	{
		for (std::size_t index = 0; index < this->servers.size(); ++index)
		{
			this->at(_from + static_cast<Micros>(index) * _gap, [this, index] { this->restart(index); });
		}
	}

	/// Ends one endpoint, whose load goes to the others.
	void crash(Micros _when)
	{
		this->at(_when, [this] { this->end(0); });
	}

	void run(Micros _until)
	{
		while (!this->events.empty() && this->events.top().when <= _until)
		{
			const Event event = this->events.top();
			this->events.pop();
			this->now = event.when;
			event.run();
		}
	}

	std::size_t falls = 0; ///< Endpoints that ended since they rejected too many.
	std::size_t rejections = 0;
	std::size_t sent = 0;
	std::size_t served = 0;

private:
	struct Server
	{
		int instance = 0;
		bool down = false;
		std::int64_t running = 0;
		std::deque<std::function<void()>> waiting;
		std::deque<Micros> rejectedAt;                                  ///< In the last second.
		std::map<std::pair<std::size_t, std::uint64_t>, bool> attempts; ///< By node and attempt: whether it runs.
	};

	struct Event
	{
		Micros when = 0;
		std::uint64_t number = 0;
		std::function<void()> run;

		bool operator<(const Event& _other) const
		{
			return std::pair(this->when, this->number) > std::pair(_other.when, _other.number);
		}
	};

	void at(Micros _when, std::function<void()> _run)
	{
		this->events.push(Event{_when, ++this->eventCount, std::move(_run)});
	}

	[[nodiscard]] bool isBrittle() const
	{
		return this->config.rejectionLimit > 0 && this->now >= kBrittleAt;
	}

	[[nodiscard]] std::string idOf(std::size_t _server) const
	{
		return "e-" + std::to_string(_server) + "-" + std::to_string(this->servers[_server].instance);
	}

	void list()
	{
		std::vector<Endpoint> endpoints;
		for (std::size_t index = 0; index < this->servers.size(); ++index)
		{
			if (!this->servers[index].down)
			{
				endpoints.push_back(
					Endpoint{this->idOf(index), std::to_string(index), "pool", "north", this->config.slots});
			}
		}
		for (std::size_t index = 0; index < this->nodes.size(); ++index)
		{
			this->nodes[index]->setNodes(this->names[index], this->names);
			this->nodes[index]->setEndpoints(endpoints);
		}
	}

	void scheduleArrival()
	{
		const double perSecond = this->config.load * this->burstFactor * static_cast<double>(this->config.slots) *
								 static_cast<double>(this->config.endpoints) * static_cast<double>(kSecond) /
								 static_cast<double>(this->config.meanWork);
		const double gap = std::exponential_distribution<double>(perSecond)(this->random);
		this->at(this->now + static_cast<Micros>(gap * static_cast<double>(kSecond)) + 1,
				 [this]
				 {
					 this->arrive();
					 this->scheduleArrival();
				 });
	}

	void scheduleTick()
	{
		this->at(this->now + 20 * kMillisecond,
				 [this]
				 {
					 for (std::size_t index = 0; index < this->nodes.size(); ++index)
					 {
						 this->perform(index, this->nodes[index]->tick(this->now));
					 }
					 this->scheduleTick();
				 });
	}

	void arrive()
	{
		const bool isExtra = std::uniform_real_distribution<double>(0, 1)(this->random) < this->config.unevenness;
		const std::size_t any = std::uniform_int_distribution<std::size_t>(0, this->nodes.size() - 1)(this->random);
		const std::size_t node = isExtra ? 0 : any;
		PipelineRow pipeline;
		pipeline.name = "p";
		StageRow stage;
		stage.name = "p";
		stage.pool = "pool";
		stage.expectedMs = this->config.meanWork / kMillisecond;
		RequestSpec spec;
		spec.id = ++this->sent;
		spec.deadline = this->now + this->config.deadline;
		this->perform(node, this->nodes[node]->submit(spec, pipeline, {stage}, this->now));
	}

	void perform(std::size_t _node, const Actions& _actions)
	{
		for (const Action& action : _actions)
		{
			if (const auto* start = std::get_if<StartAttempt>(&action))
			{
				this->at(this->now + kDelay, [this, _node, start = *start] { this->receive(_node, start); });
			}
			else if (const auto* cancel = std::get_if<CancelAttempt>(&action))
			{
				this->at(this->now + kDelay, [this, _node, attempt = cancel->attempt] { this->drop(_node, attempt); });
			}
			else if (const auto* finish = std::get_if<FinishRequest>(&action))
			{
				this->served += finish->outcome.verdict == Verdict::Answered ? 1 : 0;
			}
		}
	}

	void receive(std::size_t _node, const StartAttempt& _start)
	{
		const auto index = static_cast<std::size_t>(std::stoi(_start.address));
		Server& server = this->servers[index];
		if (server.down || this->idOf(index) != _start.endpoint)
		{
			this->reply(_node, _start, AttemptNotSent{}, nullptr);
			return;
		}
		const bool shrunk = this->isBrittle() && this->now >= kBrittleAt + kContactTime;
		const std::size_t mayWait = shrunk ? 0 : static_cast<std::size_t>(this->config.slots);
		const auto work = static_cast<Micros>(
			std::exponential_distribution<double>(1.0 / static_cast<double>(this->config.meanWork))(this->random));
		const auto run = [this, _node, _start, index, work, instance = server.instance]
		{ this->runAttempt(_node, _start, index, instance, work); };
		if (server.running < this->config.slots)
		{
			server.attempts[{_node, _start.attempt}] = true;
			run();
		}
		else if (server.waiting.size() < mayWait)
		{
			server.attempts[{_node, _start.attempt}] = false;
			server.waiting.push_back(run);
		}
		else
		{
			this->reject(_node, _start, index);
		}
	}

	void runAttempt(std::size_t _node, const StartAttempt& _start, std::size_t _server, int _instance, Micros _work)
	{
		Server& started = this->servers[_server];
		const auto found = started.attempts.find({_node, _start.attempt});
		if (found == started.attempts.end())
		{
			startWaiting(started); // Dropped while it waited.
			return;
		}
		found->second = true;
		started.running += 1;
		this->at(this->now + _work,
				 [this, _node, _start, _server, _instance]
				 {
					 Server& server = this->servers[_server];
					 const bool isCurrent = server.instance == _instance && !server.down;
					 if (!isCurrent || server.attempts.erase({_node, _start.attempt}) == 0)
					 {
						 return; // Ended or dropped meanwhile.
					 }
					 server.running -= 1;
					 this->reply(_node, _start, AttemptAnswered{}, &server);
					 startWaiting(server);
				 });
	}

	/// Ends a call whose connection the node has closed.
	void drop(std::size_t _node, std::uint64_t _attempt)
	{
		for (Server& server : this->servers)
		{
			const auto found = server.attempts.find({_node, _attempt});
			const bool isRunning = found != server.attempts.end() && found->second;
			server.attempts.erase({_node, _attempt});
			if (isRunning)
			{
				server.running -= 1;
				startWaiting(server);
			}
		}
	}

	static void startWaiting(Server& _server)
	{
		if (!_server.waiting.empty())
		{
			const auto next = _server.waiting.front();
			_server.waiting.pop_front();
			next();
		}
	}

	void reject(std::size_t _node, const StartAttempt& _start, std::size_t _server)
	{
		Server& server = this->servers[_server];
		this->rejections += this->isBrittle() ? 1 : 0;
		server.rejectedAt.push_back(this->now);
		while (server.rejectedAt.front() <= this->now - kSecond)
		{
			server.rejectedAt.pop_front();
		}
		this->reply(_node, _start, AttemptRefused{}, &server);
		const bool shrunk = this->isBrittle() && this->now >= kBrittleAt + kContactTime;
		if (shrunk && static_cast<std::int64_t>(server.rejectedAt.size()) > this->config.rejectionLimit)
		{
			this->falls += 1;
			this->end(_server);
		}
	}

	/// Ends an endpoint: all nodes know it a moment later, and it starts again as a new instance.
	void end(std::size_t _server)
	{
		Server& server = this->servers[_server];
		const std::string id = this->idOf(_server);
		server.down = true;
		server.running = 0;
		server.waiting.clear();
		for (const auto& entry : server.attempts)
		{
			this->at(this->now + kDelay,
					 [this, node = entry.first.first, attempt = entry.first.second] {
						 this->perform(node, this->nodes[node]->attemptEnded(attempt, AttemptInterrupted{}, this->now));
					 });
		}
		server.attempts.clear();
		this->at(this->now + 10 * kMillisecond,
				 [this, id]
				 {
					 for (const auto& node : this->nodes)
					 {
						 node->recordCrash(id, this->now);
					 }
				 });
		this->at(this->now + kListingDelay, [this] { this->list(); });
		this->at(this->now + kDownTime, [this, _server] { this->restart(_server); });
	}

	void restart(std::size_t _server)
	{
		Server& server = this->servers[_server];
		for (const auto& entry : server.attempts)
		{
			this->at(this->now + kDelay,
					 [this, node = entry.first.first, attempt = entry.first.second] {
						 this->perform(node, this->nodes[node]->attemptEnded(attempt, AttemptInterrupted{}, this->now));
					 });
		}
		const int instance = server.instance + 1;
		server = Server{};
		server.instance = instance;
		this->at(this->now + kListingDelay, [this] { this->list(); });
	}

	void reply(std::size_t _node, const StartAttempt& _start, const AttemptEnd& _end, const Server* _server)
	{
		const bool hasHead = _server != nullptr;
		const LoadReport load{hasHead ? _server->running : 0,
							  hasHead ? static_cast<std::int64_t>(_server->waiting.size()) : 0, false};
		const bool saysBrittle = hasHead && this->isBrittle();
		this->at(this->now + kDelay,
				 [this, _node, _start, _end, hasHead, load, saysBrittle]
				 {
					 Dispatcher& node = *this->nodes[_node];
					 if (hasHead)
					 {
						 node.reportLoad(_start.endpoint, load);
					 }
					 if (saysBrittle && node.recordRejectionLimit("pool", this->config.rejectionLimit, this->now))
					 {
						 this->announce();
					 }
					 this->perform(_node, node.attemptEnded(_start.attempt, _end, this->now));
				 });
	}

	/// Tells the other nodes that the endpoints are brittle.
	void announce()
	{
		this->at(this->now + kDelay,
				 [this]
				 {
					 for (const auto& node : this->nodes)
					 {
						 node->recordRejectionLimit("pool", this->config.rejectionLimit, this->now);
					 }
				 });
	}

	BrittleConfig config;
	std::mt19937_64 random;
	std::vector<Server> servers;
	std::vector<std::unique_ptr<Dispatcher>> nodes;
	std::vector<std::string> names;
	std::priority_queue<Event> events;
	std::uint64_t eventCount = 0;
	double burstFactor = 1;
	Micros now = 0;
};

} // namespace roadferry

#endif // ROADFERRY_BRITTLE_WORLD_H_HEADER_GUARD
