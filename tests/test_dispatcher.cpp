/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Property test of the dispatcher under random histories: attempts that succeed, fail or are interrupted, leaving
/// endpoints, cancellations and workspace limits. A model records what was sent for each request and checks the
/// outcomes.

#include "property.h"
#include "retry_budget.h"
#include "retry_world.h"

#include <roadferry/roadferry.h>

namespace
{

using namespace roadferry;

std::shared_ptr<const Table> makeTable(std::int64_t _limit)
{
	auto table = std::make_shared<Table>();
	const auto put = [&](const Row& _row) { return RowChange{keyOf(_row), 0, _row}; };
	TableEdit edit;
	edit.id = "first";
	edit.changes = {put(WorkspaceRow{"hall", 4, _limit}),
					put(WorkspaceRow{"results", 1, 0}),
					put(StageRow{"encode", StageKind::Encoder, "encoders", true, 3, 20}),
					put(StageRow{"generate", StageKind::Engine, "engines", true, 3, 50}),
					put(StageRow{"pay", StageKind::Service, "services", false, 3, 10}),
					put(PipelineRow{"mark", "hall", {"encode", "generate"}, 3000, false}),
					put(PipelineRow{"checkin", "hall", {"pay"}, 1000, true}),
					put(PipelineRow{"report", "results", {"encode", "generate", "pay"}, 3000, false})};
	RC_ASSERT(std::holds_alternative<EditAccepted>(table->apply(1, edit)));
	return table;
}

Endpoint endpointOf(const std::string& _id, const std::string& _pool)
{
	Endpoint endpoint;
	endpoint.id = _id;
	endpoint.address = "127.0.0.1:1";
	endpoint.pool = _pool;
	endpoint.slots = 2;
	return endpoint;
}

/// What the model records about one request.
struct RequestRecord
{
	RequestSpec spec;
	std::map<std::string, int> atMostOnceSends; ///< Number of at-most-once attempts sent, by stage.
	bool anySent = false;
	bool anyAtMostOnceSent = false;
	std::size_t stagesAnswered = 0;
	std::optional<Outcome> outcome;
};

class DispatcherModel
{
public:
	explicit DispatcherModel(std::int64_t _limit) : limit(_limit), dispatcher(config())
	{
		this->dispatcher.setTable(makeTable(_limit));
		for (const char* pool : {"encoders", "engines", "services"})
		{
			for (int index = 0; index < 3; ++index)
			{
				this->endpoints.push_back(endpointOf(std::string(pool) + std::to_string(index), pool));
			}
		}
		this->dispatcher.setEndpoints(this->endpoints);
	}

	static DispatcherConfig config()
	{
		DispatcherConfig config;
		config.placement = *rc::gen::element<std::string>("least_finish", "power_of_two", "round_robin");
		config.ordering = *rc::gen::element(Ordering::Fifo, Ordering::DeadlineFair);
		config.retries.burst = 5;
		return config;
	}

	void submit()
	{
		RequestSpec spec;
		spec.id = ++this->lastId;
		spec.pipeline = *rc::gen::element<std::string>("mark", "checkin", "report");
		spec.workspace = spec.pipeline == "report" ? "results" : "hall";
		spec.deadline = this->now + *rc::gen::inRange<Micros>(1, 3000) * kMillisecond;
		spec.repeatable = *rc::gen::arbitrary<bool>();
		spec.maxTokens = *rc::gen::inRange(0, 200);
		this->records[spec.id].spec = spec;
		this->apply(this->dispatcher.submit(spec, this->now));
	}

	void endAttempt()
	{
		if (this->running.empty())
		{
			return;
		}
		std::vector<std::uint64_t> attempts;
		for (const auto& entry : this->running)
		{
			attempts.push_back(entry.first);
		}
		const std::uint64_t attempt = *rc::gen::elementOf(attempts);
		const StartAttempt action = this->running.at(attempt);
		this->running.erase(attempt);
		const AttemptEnd end = *rc::gen::weightedElement<AttemptEnd>(
			{{6, AttemptAnswered{}}, {1, AttemptNotSent{}}, {1, AttemptRefused{}}, {2, AttemptInterrupted{}}});
		this->recordEnd(action, end);
		this->apply(this->dispatcher.attemptEnded(attempt, end, this->now));
		// A duplicate answer has no effect.
		RC_ASSERT(this->dispatcher.attemptEnded(attempt, AttemptAnswered{}, this->now).empty());
	}

	void recordEnd(const StartAttempt& _action, const AttemptEnd& _end)
	{
		RequestRecord& request = this->records.at(_action.request);
		const bool answered = std::holds_alternative<AttemptAnswered>(_end);
		const bool sent = answered || std::holds_alternative<AttemptInterrupted>(_end);
		request.stagesAnswered += answered ? 1 : 0;
		this->recordSent(request, _action, sent);
	}

	void recordSent(RequestRecord& _request, const StartAttempt& _action, bool _sent)
	{
		if (!_sent)
		{
			return;
		}
		_request.anySent = true;
		if (_action.atMostOnce)
		{
			_request.anyAtMostOnceSent = true;
			_request.atMostOnceSends[_action.stage] += 1;
			RC_ASSERT(_request.atMostOnceSends[_action.stage] <= 1);
		}
	}

	void apply(const Actions& _actions)
	{
		for (const Action& action : _actions)
		{
			std::visit(
				Overloaded{
					[&](const StartAttempt& _typed) { this->onStart(_typed); },
					[&](const CancelAttempt& _typed) { this->onCancel(_typed); },
					[&](const FinishRequest& _typed) { this->onFinish(_typed); },
				},
				action);
		}
		this->check();
	}

	void onStart(const StartAttempt& _action)
	{
		const RequestRecord& request = this->records.at(_action.request);
		RC_ASSERT(!request.outcome.has_value());
		RC_ASSERT(_action.stageIndex == request.stagesAnswered);
		RC_ASSERT(this->leavingEndpoints.count(_action.endpoint) == 0);
		RC_ASSERT(this->running.emplace(_action.attempt, _action).second);
		for (const auto& entry : this->running)
		{
			RC_ASSERT(entry.first == _action.attempt || entry.second.request != _action.request);
		}
		const bool hasEffect = _action.kind == StageKind::Engine || _action.kind == StageKind::Service;
		RC_ASSERT(_action.atMostOnce == (_action.stage == "pay" || (hasEffect && !request.spec.repeatable)));
	}

	void onCancel(const CancelAttempt& _action)
	{
		const auto found = this->running.find(_action.attempt);
		RC_ASSERT(found != this->running.end());
		// How much of the call was sent is not known, so the model counts it as sent.
		this->recordSent(this->records.at(_action.request), found->second, true);
		this->running.erase(found);
	}

	void onFinish(const FinishRequest& _action)
	{
		RequestRecord& request = this->records.at(_action.request);
		RC_ASSERT(!request.outcome.has_value());
		request.outcome = _action.outcome;
		if (_action.outcome.verdict == Verdict::NotRun)
		{
			RC_ASSERT(!request.anySent);
		}
		if (_action.outcome.verdict == Verdict::Answered)
		{
			const std::size_t stages =
				request.spec.pipeline == "mark" ? 2 : (request.spec.pipeline == "report" ? 3 : 1);
			RC_ASSERT(request.stagesAnswered == stages);
		}
		if (_action.outcome.repeatSafe)
		{
			RC_ASSERT(!request.anyAtMostOnceSent);
		}
	}

	void markEndpointLeaving()
	{
		const std::string id = (*rc::gen::elementOf(this->endpoints)).id;
		this->leavingEndpoints.insert(id);
		this->dispatcher.markLeaving(id);
	}

	/// Passes the initial endpoint list again, which does not mark leaving endpoints.
	void resendEndpointList()
	{
		this->dispatcher.setEndpoints(this->endpoints);
	}

	void cancel()
	{
		if (this->lastId > 0)
		{
			this->apply(this->dispatcher.cancel(*rc::gen::inRange<std::uint64_t>(1, this->lastId + 1), this->now));
		}
	}

	void advanceTime()
	{
		this->now += *rc::gen::inRange<Micros>(1, 500) * kMillisecond;
		this->apply(this->dispatcher.tick(this->now));
	}

	void check() const
	{
		std::int64_t hallUnfinished = 0;
		std::size_t unfinishedCount = 0;
		for (const auto& entry : this->records)
		{
			const bool unfinished = !entry.second.outcome.has_value();
			unfinishedCount += unfinished ? 1 : 0;
			hallUnfinished += unfinished && entry.second.spec.workspace == "hall" ? 1 : 0;
		}
		RC_ASSERT(this->dispatcher.inFlight() <= unfinishedCount);
		RC_ASSERT(hallUnfinished <= this->limit + 1);
		const auto counted = this->dispatcher.inFlightByWorkspace();
		const auto found = counted.find("hall");
		const std::int64_t hallInFlight = found == counted.end() ? 0 : found->second;
		RC_ASSERT(hallInFlight <= this->limit);
	}

	/// Checks that at the end each request has exactly one outcome, and no call is in flight.
	void finishAll()
	{
		this->now += 10 * kSecond;
		this->apply(this->dispatcher.tick(this->now));
		RC_ASSERT(this->dispatcher.inFlight() == 0U);
		RC_ASSERT(this->running.empty());
		for (const auto& entry : this->records)
		{
			RC_ASSERT(entry.second.outcome.has_value());
		}
		for (const EndpointState& endpoint : this->dispatcher.endpoints())
		{
			RC_ASSERT(endpoint.ownInFlight == 0);
		}
	}

private:
	std::int64_t limit;
	Dispatcher dispatcher;
	std::vector<Endpoint> endpoints;
	std::map<std::uint64_t, RequestRecord> records;
	std::map<std::uint64_t, StartAttempt> running;
	std::set<std::string> leavingEndpoints;
	std::uint64_t lastId = 0;
	Micros now = kSecond;
};

void step(DispatcherModel& _model)
{
	switch (*rc::gen::inRange(0, 12))
	{
	case 0:
	case 1:
	case 2:
	case 3:
		_model.submit();
		break;
	case 4:
	case 5:
	case 6:
	case 7:
		_model.endAttempt();
		break;
	case 8:
		_model.cancel();
		break;
	case 9:
		_model.markEndpointLeaving();
		break;
	case 10:
		_model.resendEndpointList();
		break;
	default:
		_model.advanceTime();
		break;
	}
}

} // namespace

Test(dispatcher, outcomes_agree_with_what_was_sent)
{
	checkHistories("dispatcher",
				   []
				   {
					   DispatcherModel model(*rc::gen::inRange<std::int64_t>(1, 12));
					   const int steps = *rc::gen::inRange(1, 150);
					   for (int index = 0; index < steps; ++index)
					   {
						   step(model);
					   }
					   model.finishAll();
				   });
}

namespace
{

/// Ends each attempt of one request, and returns its outcome. Six endpoints of one slot each serve its only stage.
Outcome outcomeOfAttempts(const DispatcherConfig& _config, const std::vector<AttemptEnd>& _ends,
						  std::set<std::string>& _endpoints)
{
	Dispatcher dispatcher(_config);
	std::vector<Endpoint> endpoints;
	for (int index = 0; index < 6; ++index)
	{
		const std::string number = std::to_string(index);
		endpoints.push_back(Endpoint{"e-" + number, "10.0.0." + number + ":80", "pool", "north", 1});
	}
	dispatcher.setEndpoints(endpoints);
	PipelineRow pipeline;
	pipeline.name = "p";
	StageRow stage;
	stage.name = "p";
	stage.pool = "pool";
	stage.maxAttempts = 2;
	RequestSpec spec;
	spec.id = 1;
	spec.deadline = 10 * kSecond;
	Actions actions = dispatcher.submit(spec, pipeline, {stage}, kSecond);
	for (const AttemptEnd& end : _ends)
	{
		const auto* started = actions.empty() ? nullptr : std::get_if<StartAttempt>(&actions.front());
		cr_assert(started != nullptr, "no further attempt was started");
		_endpoints.insert(started->endpoint);
		actions = dispatcher.attemptEnded(started->attempt, end, kSecond);
	}
	const auto* finished = actions.empty() ? nullptr : std::get_if<FinishRequest>(&actions.front());
	cr_assert(finished != nullptr, "the request was not ended");
	return finished->outcome;
}

} // namespace

/// Guards against refusing a request because endpoints did not run it, while others would: such attempts go to other
/// endpoints and do not count, up to a limit.
Test(dispatcher, attempts_that_did_not_run_do_not_use_up_the_attempts_of_a_request)
{
	DispatcherConfig config;
	config.maxExtraConnects = 2;
	config.maxExtraRefusals = 2;
	std::set<std::string> endpoints;
	const Outcome answered = outcomeOfAttempts(config,
											   {AttemptRefused{}, AttemptNotSent{}, AttemptNotSent{}, AttemptRefused{},
												AttemptInterrupted{}, AttemptAnswered{}},
											   endpoints);
	cr_assert(answered.verdict == Verdict::Answered);
	cr_assert_eq(endpoints.size(), 6, "no endpoint is tried twice while others are left");
	const Outcome refused =
		outcomeOfAttempts(config, {AttemptRefused{}, AttemptRefused{}, AttemptRefused{}, AttemptRefused{}}, endpoints);
	cr_assert(refused.verdict == Verdict::NotRun && refused.reason == Reason::AttemptsExhausted);
	config.retries.burst = 1;
	config.retries.share = 0;
	const Outcome spent = outcomeOfAttempts(config, {AttemptRefused{}, AttemptRefused{}}, endpoints);
	cr_assert(spent.reason == Reason::RetryBudgetEmpty, "a refusal costs a retry");
}

/// Guards against sending requests to an endpoint that is known to have ended: each of them costs a failed connect, or
/// a refusal by the instance that took its address.
Test(dispatcher, endpoint_that_has_ended_gets_no_requests_although_many_others_have_ended)
{
	constexpr int kEndpoints = 6;
	constexpr int kEnded = 4;
	constexpr int kRequests = 12;
	Dispatcher dispatcher(DispatcherConfig{});
	std::vector<Endpoint> endpoints;
	for (int index = 0; index < kEndpoints; ++index)
	{
		const std::string number = std::to_string(index);
		endpoints.push_back(Endpoint{"e-" + number, "10.0.0." + number + ":80", "pool", "north", kRequests});
	}
	dispatcher.setEndpoints(endpoints);
	for (int index = 0; index < kEnded; ++index)
	{
		dispatcher.recordCrash(endpoints[static_cast<std::size_t>(index)].id, kSecond);
	}
	PipelineRow pipeline;
	pipeline.name = "p";
	StageRow stage;
	stage.name = "p";
	stage.pool = "pool";
	for (int index = 1; index <= kRequests; ++index)
	{
		RequestSpec spec;
		spec.id = static_cast<std::uint64_t>(index);
		spec.deadline = 10 * kSecond;
		const Actions actions = dispatcher.submit(spec, pipeline, {stage}, kSecond + index);
		cr_assert_eq(actions.size(), 1);
		const std::string endpoint = std::get<StartAttempt>(actions.front()).endpoint;
		cr_assert_geq(endpoint.back() - '0', kEnded, "%s has ended", endpoint.c_str());
	}
}

/// Guards against a false report that an endpoint has ended keeping requests from it after it has answered one.
Test(dispatcher, endpoint_reported_as_ended_is_used_again_once_it_answers)
{
	Dispatcher dispatcher(DispatcherConfig{});
	dispatcher.setEndpoints({Endpoint{"e-0", "10.0.0.1:80", "pool", "north", 4}});
	PipelineRow pipeline;
	pipeline.name = "p";
	StageRow stage;
	stage.name = "p";
	stage.pool = "pool";
	RequestSpec spec;
	spec.id = 1;
	spec.deadline = 10 * kSecond;
	const Actions first = dispatcher.submit(spec, pipeline, {stage}, kSecond);
	const std::uint64_t attempt = std::get<StartAttempt>(first.front()).attempt;
	dispatcher.recordCrash("e-0", kSecond + 1);
	spec.id = 2;
	cr_assert(dispatcher.submit(spec, pipeline, {stage}, kSecond + 2).empty());
	const Actions after = dispatcher.attemptEnded(attempt, AttemptAnswered{}, kSecond + 3);
	cr_assert(std::any_of(after.begin(), after.end(),
						  [](const Action& _action) { return std::holds_alternative<StartAttempt>(_action); }));
}

/// Guards against more retries than the platform allows when all nodes are killed again and again while endpoints
/// reject: the budget of a new process must not begin full. The figures are those of a day of the portal.
Test(dispatcher, retries_of_nodes_that_are_killed_in_series_stay_within_the_budget)
{
	constexpr int kNodes = 6;
	constexpr int kWindowSeconds = 10;
	constexpr int kSecondsBetweenKills = 3;
	constexpr int kRequestsPerSecond = 4; // To each node.
	constexpr int kWantedRetries = 3;     // Of each request.
	constexpr double kAllowedShare = 0.2;
	constexpr double kAllowedBurst = 52;
	constexpr double kSafetyFactor = 0.6;            // As in nodeRetryBounds().
	constexpr Micros kFirstBurstTime = 15 * kSecond; // As in nodeRetryBounds().
	int requests = 0;
	int retries = 0;
	std::vector<RetryBudget> budgets;
	for (int second = 0; second < kWindowSeconds; ++second)
	{
		const bool isKilled = second % kSecondsBetweenKills == 0;
		if (isKilled)
		{
			const RetryBounds bounds{kSafetyFactor * kAllowedShare, kSafetyFactor * kAllowedBurst / kNodes,
									 kFirstBurstTime};
			budgets.assign(kNodes, RetryBudget(bounds, second * kSecond));
		}
		for (RetryBudget& budget : budgets)
		{
			for (int index = 0; index < kRequestsPerSecond; ++index)
			{
				requests += 1;
				budget.recordFirstAttempt(second * kSecond);
				for (int retry = 0; retry < kWantedRetries; ++retry)
				{
					retries += budget.tryTakeRetry(second * kSecond) ? 1 : 0;
				}
			}
		}
	}
	const double allowed = kAllowedShare * requests + kAllowedBurst;
	cr_assert_leq(retries, allowed, "%d retries of %d requests, %.0f allowed", retries, requests, allowed);
}

namespace
{

Endpoint versionedEndpoint(const std::string& _id, const std::string& _version)
{
	Endpoint endpoint = endpointOf(_id, "engines");
	endpoint.softwareVersion = _version;
	return endpoint;
}

/// A dispatcher with two endpoints of version v1 and one of v2.
class VersionDispatcher
{
public:
	VersionDispatcher() : dispatcher(DispatcherConfig{})
	{
		this->dispatcher.setEndpoints(
			{versionedEndpoint("a", "v1"), versionedEndpoint("b", "v1"), versionedEndpoint("c", "v2")});
	}

	/// @param[in] _version Software version that the request needs, empty for none.
	Actions submit(std::uint64_t _id, const std::string& _version)
	{
		RequestSpec spec;
		spec.id = _id;
		spec.deadline = kSecond;
		if (!_version.empty())
		{
			spec.requiredVersion = _version;
		}
		const StageRow stage{"generate", StageKind::Engine, "engines", true, 3, 50};
		return this->dispatcher.submit(spec, PipelineRow{"p", "", {}, 0, false}, {stage}, 1);
	}

	Dispatcher dispatcher;
};

/// @returns The attempt that is the only action.
StartAttempt onlyAttempt(const Actions& _actions)
{
	cr_assert_eq(_actions.size(), 1);
	cr_assert(std::holds_alternative<StartAttempt>(_actions.front()));
	return std::get<StartAttempt>(_actions.front());
}

} // namespace

/// Guards against a request that needs a version and is sent to a process that may have another one.
Test(dispatcher, request_that_needs_a_version_waits_for_a_proven_endpoint)
{
	VersionDispatcher world;
	world.dispatcher.setProven("engines", ProvenEndpoints{{"c"}, true});
	cr_assert(world.submit(1, "v1").empty(), "no endpoint of its version is proven");
	cr_assert((world.dispatcher.awaitedVersions() == std::set<PoolVersion>{{"engines", "v1"}}));
	world.dispatcher.setProven("engines", ProvenEndpoints{{"b"}, true});
	const StartAttempt attempt = onlyAttempt(world.dispatcher.tick(2));
	cr_assert(attempt.endpoint == "b");
	cr_assert(world.dispatcher.awaitedVersions().empty());
}

/// Guards against waiting requests that keep those behind them from running.
Test(dispatcher, requests_that_wait_for_a_proven_endpoint_delay_no_others)
{
	VersionDispatcher world;
	world.dispatcher.setProven("engines", ProvenEndpoints{{}, true});
	constexpr std::uint64_t kWaiting = 40; // More than are looked at for a free slot.
	for (std::uint64_t id = 1; id <= kWaiting; ++id)
	{
		cr_assert(world.submit(id, "v1").empty());
	}
	onlyAttempt(world.submit(kWaiting + 1, ""));
}

/// Guards against an endpoint that is ejected, or a retry that is spent, since a connection was not old enough.
Test(dispatcher, attempt_without_a_proven_connection_costs_nothing)
{
	DispatcherConfig config;
	VersionDispatcher world;
	world.dispatcher.setProven("engines", ProvenEndpoints{{"a", "b"}, true});
	Actions actions = world.submit(1, "v1");
	for (std::int64_t round = 0; round <= 3 * config.ejectAfterFailures; ++round)
	{
		const StartAttempt first = onlyAttempt(actions);
		const StartAttempt second = onlyAttempt(world.dispatcher.attemptEnded(first.attempt, AttemptNoConnection{}, 2));
		cr_assert_neq(first.endpoint, second.endpoint);
		cr_assert(world.dispatcher.attemptEnded(second.attempt, AttemptNoConnection{}, 2).empty(), "none is left");
		world.dispatcher.setProven("engines", ProvenEndpoints{{"a", "b"}, true});
		actions = world.dispatcher.tick(2);
	}
	cr_assert_eq(world.dispatcher.counters().retries, 0);
}

/// Guards against streams that begin where their version is not certain, while it is elsewhere.
Test(dispatcher, proven_endpoints_are_preferred_for_requests_that_may_have_to_go_on)
{
	for (const char* proven : {"a", "b", "c"})
	{
		VersionDispatcher world;
		world.dispatcher.setProven("engines", ProvenEndpoints{{proven}, true});
		cr_assert(onlyAttempt(world.submit(1, "")).endpoint == proven);
	}
}

/// Guards against a second attempt at the endpoint that broke the first one, which is listed by then under its id as
/// the next process.
Test(dispatcher, endpoint_that_was_listed_anew_meanwhile_gets_no_second_attempt)
{
	const auto listed = [](const std::string& _id, const std::string& _name)
	{
		Endpoint endpoint = endpointOf(_id, "engines");
		endpoint.sharedName = _name;
		return endpoint;
	};
	Dispatcher dispatcher{DispatcherConfig{}};
	dispatcher.setEndpoints({listed("first@1", "first")});
	RequestSpec spec;
	spec.id = 1;
	spec.deadline = kSecond;
	spec.repeatable = true;
	const StageRow stage{"generate", StageKind::Engine, "engines", true, 2, 50};
	const StartAttempt begun = onlyAttempt(dispatcher.submit(spec, PipelineRow{"p", "", {}, 0, false}, {stage}, 1));
	dispatcher.setEndpoints({listed("first@2", "first"), listed("second@1", "second")});
	const StartAttempt next = onlyAttempt(dispatcher.attemptEnded(begun.attempt, AttemptInterrupted{}, 2));
	cr_assert(next.endpoint == "second@1", "%s", next.endpoint.c_str());
}

/// Guards against a stream that goes on at the endpoint that broke it, since no other one is proven yet.
Test(dispatcher, request_that_needs_a_version_waits_for_another_endpoint_than_the_one_that_failed)
{
	VersionDispatcher world;
	world.dispatcher.setProven("engines", ProvenEndpoints{{"a"}, true});
	const StartAttempt begun = onlyAttempt(world.submit(1, "v1"));
	cr_assert(world.dispatcher.attemptEnded(begun.attempt, AttemptInterrupted{}, 2).empty());
	world.dispatcher.setProven("engines", ProvenEndpoints{{"a", "b"}, true});
	cr_assert(onlyAttempt(world.dispatcher.tick(3)).endpoint == "b");
}

namespace
{

/// A dispatcher before endpoints "a", "b" and "c", with a request that may have some attempts.
class EndQuestions
{
public:
	explicit EndQuestions(std::int64_t _maxAttempts, double _burst = 20) : dispatcher(config(_burst))
	{
		this->dispatcher.setEndpoints(
			{endpointOf("a", "engines"), endpointOf("b", "engines"), endpointOf("c", "engines")});
		RequestSpec spec;
		spec.id = 1;
		spec.deadline = kSecond;
		spec.repeatable = true;
		const StageRow stage{"generate", StageKind::Engine, "engines", true, _maxAttempts, 50};
		this->note(this->dispatcher.submit(spec, PipelineRow{"p", "", {}, 0, false}, {stage}, 1));
	}

	static DispatcherConfig config(double _burst)
	{
		DispatcherConfig config;
		config.retries.burst = _burst;
		config.retries.share = 0;
		return config;
	}

	/// Ends the attempt in progress.
	/// @returns Whether there is another one.
	bool end(const AttemptEnd& _end)
	{
		return this->note(this->dispatcher.attemptEnded(this->attempt, _end, 2));
	}

	Dispatcher dispatcher;
	std::uint64_t attempt = 0;
	std::set<std::string> visited;
	std::optional<Outcome> outcome;

private:
	bool note(const Actions& _actions)
	{
		cr_assert_eq(_actions.size(), 1);
		if (const auto* finished = std::get_if<FinishRequest>(&_actions.front()))
		{
			this->outcome = finished->outcome;
			return false;
		}
		const auto& started = std::get<StartAttempt>(_actions.front());
		this->attempt = started.attempt;
		this->visited.insert(started.endpoint);
		return true;
	}
};

} // namespace

/// Guards against an end that nobody is asked about since no attempt is left, and against a request that is sent to
/// more endpoints than its route allows.
Test(dispatcher, question_about_an_end_goes_to_no_more_endpoints_than_there_are_attempts)
{
	for (std::size_t attempts = 1; attempts <= 3; ++attempts)
	{
		EndQuestions world(static_cast<std::int64_t>(attempts));
		for (int question = 0; question < 6; ++question)
		{
			cr_assert(world.end(AttemptEndUnproven{}));
		}
		cr_assert_eq(world.visited.size(), attempts);
		cr_assert_not(world.end(AttemptInterrupted{}), "no attempt is left for a failure");
		cr_assert(world.outcome->reason == Reason::AttemptsExhausted);
	}
}

/// Guards against a request that waits for an endpoint that has left, to ask it about an end.
Test(dispatcher, question_about_an_end_does_not_wait_for_an_endpoint_that_has_left)
{
	EndQuestions world(1);
	world.dispatcher.setEndpoints({endpointOf("d", "engines")});
	cr_assert_not(world.end(AttemptEndUnproven{}));
	cr_assert(world.outcome->reason == Reason::AttemptsExhausted);
}

/// Guards against questions about ends that use up the retries of failures, and against questions about trusted ends
/// that use up those of the others.
Test(dispatcher, questions_about_ends_leave_retries_to_others)
{
	EndQuestions trusted(9, 8);
	int questions = 0;
	while (trusted.end(AttemptEndUnproven{true}))
	{
		questions += 1;
	}
	cr_assert_eq(questions, 3, "while six of eight retries are there");
	EndQuestions others(9, 8);
	questions = 0;
	while (others.end(AttemptEndUnproven{}))
	{
		questions += 1;
	}
	cr_assert_eq(questions, 5, "while four of eight retries are there");
	cr_assert(others.outcome->reason == Reason::RetryBudgetEmpty);
}

/// Guards against a pool of one version whose streams cannot go on while no connection is old enough.
Test(dispatcher, proven_endpoints_are_only_preferred_unless_required)
{
	VersionDispatcher world;
	world.dispatcher.setProven("engines", ProvenEndpoints{{"b"}, false});
	cr_assert(onlyAttempt(world.submit(1, "v1")).endpoint == "b");
	world.dispatcher.setProven("engines", ProvenEndpoints{{}, false});
	onlyAttempt(world.submit(2, "v1"));
}

namespace
{

constexpr RetryAllowance kAllowance{0.2, 52, 10 * kSecond}; // Of a deployment with RetryWorld::kNodes nodes.
constexpr int kPhases = 10;                                 // The pattern of rejected attempts repeats after ten.

int refusedForBudget(const RetryWorld& _world, std::size_t _node, Micros _from, Micros _to)
{
	const auto isCounted = [&](const RetryWorld::Served& _request)
	{ return _request.node == _node && _request.at >= _from && _request.at < _to && _request.isRefusedForBudget; };
	return static_cast<int>(std::count_if(_world.requests().begin(), _world.requests().end(), isCounted));
}

int retriesOfNode(const RetryWorld& _world, std::size_t _node, Micros _from, Micros _to)
{
	return _world.retries(_from, _to, [&](const RetryWorld::Served& _request) { return _request.node == _node; });
}

} // namespace

/// Guards against more retries than the platform allows in any window, however often all nodes are killed while
/// endpoints reject, also if their budgets were full before the first kill.
Test(dispatcher, retries_stay_within_the_allowance_however_often_all_nodes_are_killed)
{
	for (const Micros interval : {1 * kSecond, 2 * kSecond, 3 * kSecond, 5 * kSecond, 9 * kSecond})
	{
		for (int phase = 0; phase < kPhases; ++phase)
		{
			RetryWorld world(kAllowance, phase);
			world.advance(30 * kSecond);
			world.reject(9, 10);
			world.advance(2 * kSecond);
			while (world.time() < 60 * kSecond)
			{
				world.restartAll();
				world.advance(interval);
			}
			cr_assert_leq(world.worstExcess(), 0, "%.0f retries too many, kills every %lld s", world.worstExcess(),
						  static_cast<long long>(interval / kSecond));
		}
	}
}

/// Guards against a restart that leaves requests without a further attempt where endpoints reject no more than all
/// nodes may retry for good: at most one request of the new process, and none from 2 s after its start.
Test(dispatcher, single_restart_leaves_at_most_one_rejected_request_without_a_retry)
{
	for (int phase = 0; phase < kPhases; ++phase)
	{
		RetryWorld world(kAllowance, phase);
		world.reject(1, 10);
		world.advance(30 * kSecond);
		const Micros start = world.time();
		world.restart(0);
		world.advance(30 * kSecond);
		cr_assert_leq(refusedForBudget(world, 0, start, start + 2 * kSecond), 1, "phase %d", phase);
		cr_assert_eq(refusedForBudget(world, 0, start + 2 * kSecond, world.time()), 0, "phase %d", phase);
	}
}

/// Guards against a new process that makes fewer retries than the one before it while endpoints reject most attempts:
/// the first within 2 s, and no fewer in 5 s and in a window.
Test(dispatcher, single_restart_beside_rejecting_endpoints_retries_no_less_than_before)
{
	for (int phase = 0; phase < kPhases; ++phase)
	{
		RetryWorld world(kAllowance, phase);
		world.reject(7, 10);
		world.advance(60 * kSecond);
		const Micros start = world.time();
		world.restart(0);
		world.advance(kAllowance.window);
		cr_assert_geq(retriesOfNode(world, 0, start, start + 2 * kSecond), 1, "phase %d", phase);
		for (const Micros span : {5 * kSecond, kAllowance.window})
		{
			const int made = retriesOfNode(world, 0, start, start + span);
			const int before = retriesOfNode(world, 0, start - span, start);
			cr_assert_geq(made, before, "%d retries in the first %lld s, %d in as long before", made,
						  static_cast<long long>(span / kSecond), before);
		}
	}
}

/// Guards against a planned restart of the nodes in turn that breaks the allowance, or leaves requests without a
/// further attempt: at most one for each new process where endpoints reject little, and no fewer retries in all where
/// they reject most attempts.
Test(dispatcher, rolling_restart_neither_starves_retries_nor_breaks_the_allowance)
{
	const auto roll = [](RetryWorld& _world)
	{
		for (std::size_t node = 0; node < RetryWorld::kNodes; ++node)
		{
			_world.restart(node);
			_world.advance(2 * kSecond);
		}
		_world.advance(10 * kSecond);
	};
	for (int phase = 0; phase < kPhases; ++phase)
	{
		RetryWorld mild(kAllowance, phase);
		mild.reject(1, 10);
		mild.advance(30 * kSecond);
		roll(mild);
		for (std::size_t node = 0; node < RetryWorld::kNodes; ++node)
		{
			cr_assert_leq(refusedForBudget(mild, node, 30 * kSecond, mild.time()), 1, "node %zu, phase %d", node,
						  phase);
		}
		cr_assert_leq(mild.worstExcess(), 0);
		RetryWorld severe(kAllowance, phase);
		severe.reject(7, 10);
		severe.advance(60 * kSecond);
		const Micros start = severe.time();
		roll(severe);
		const Micros span = severe.time() - start;
		cr_assert_geq(severe.retries(start, severe.time()), severe.retries(start - span, start), "phase %d", phase);
		cr_assert_leq(severe.worstExcess(), 0, "phase %d", phase);
	}
}

/// Guards against nodes that all start beside failing endpoints and try nothing again: each retries from 3 s after its
/// start at the latest, and all make the retries of their first bursts that are due in the first window.
Test(dispatcher, cold_start_beside_rejecting_endpoints_retries_within_the_allowance)
{
	for (int phase = 0; phase < kPhases; ++phase)
	{
		RetryWorld world(kAllowance, phase);
		world.reject(7, 10);
		world.advance(kAllowance.window);
		for (std::size_t node = 0; node < RetryWorld::kNodes; ++node)
		{
			cr_assert_geq(retriesOfNode(world, node, 0, 3 * kSecond), 1, "node %zu, phase %d", node, phase);
		}
		const auto nodes = static_cast<int>(RetryWorld::kNodes);
		const int dueOfBursts = static_cast<int>(kAllowance.slack * 0.4) - nodes;
		cr_assert_geq(world.retries(0, world.time()), dueOfBursts, "phase %d", phase);
		world.advance(30 * kSecond);
		cr_assert_leq(world.worstExcess(), 0, "phase %d", phase);
	}
}
