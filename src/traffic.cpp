/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of Traffic.

#include "traffic.h"

#include "stage_call.h"
#include "table_json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace roadferry
{

namespace
{

constexpr Micros kTickPeriod = 5 * kMillisecond;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::int64_t kNanosPerMicro = 1'000;

QString text(std::string_view _text)
{
	return QString::fromUtf8(_text.data(), static_cast<qsizetype>(_text.size()));
}

/// Attempts and cost of one stage of a request; part of its result.
struct StageReport
{
	std::string stage;
	std::string endpoint;
	std::int64_t attempts = 0;
	Micros heldTime = 0; ///< Time that endpoints were occupied, summed over all attempts.
	std::int64_t tokens = 0;
	std::string error; ///< Error of the last attempt, empty if it succeeded.
};

QJsonObject toJson(const StageReport& _report)
{
	QJsonObject object{{"stage", text(_report.stage)},
					   {"endpoint", text(_report.endpoint)},
					   {"attempts", static_cast<qint64>(_report.attempts)},
					   {"held_ms", static_cast<double>(_report.heldTime) / static_cast<double>(kMillisecond)},
					   {"tokens", static_cast<qint64>(_report.tokens)}};
	if (!_report.error.empty())
	{
		object["error"] = text(_report.error);
	}
	return object;
}

} // namespace

/// A request in flight. Accessed on its own thread only, except for the fields that never change.
struct Traffic::ActiveRequest
{
	std::uint64_t id = 0;
	std::size_t thread = 0;
	Ticket ticket;
	std::string ticketText;
	Submission submission;
	RequestSpec spec;
	Micros arrivedAt = 0;
	Span span;

	std::vector<std::shared_ptr<AnswerSink>> sinks;
	std::vector<std::string> tokens;
	QJsonValue previousOutput = QJsonValue(QJsonValue::Undefined);
	std::vector<StageReport> stages;
	std::uint64_t currentAttempt = 0; ///< Attempt in progress, 0 for none. Responses of other attempts are ignored.
	Micros attemptStartedAt = 0;
	Span attemptSpan;
	std::shared_ptr<HttpCall> call;
};

Traffic::Traffic(IoPool& _pool, HttpClient& _client, Metrics& _metrics, TraceWriter& _traces, TrafficSettings _settings)
	: pool(_pool), client(_client), metrics(_metrics), traces(_traces), settings(std::move(_settings)),
	  dispatcher(settings.dispatcher), tickets(settings.self, settings.tickets), results(settings.resultCacheBytes),
	  shutdownReports(settings.tickets.unusedTtl + settings.tickets.outcomeTtl), table(std::make_shared<Table>())
{
}

Traffic::~Traffic() = default;

void Traffic::start()
{
	this->pool.runEvery(0, kTickPeriod, [this] { this->tick(); });
}

void Traffic::tick()
{
	Actions actions;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		actions = this->dispatcher.tick(monotonicNow());
		this->tickets.expire(monotonicNow());
	}
	this->perform(0, actions);
}

absl::StatusOr<Ticket> Traffic::issueTicket(const std::string& _workspace)
{
	const std::uint64_t nonce = randomNumber();
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->tickets.issue(_workspace, nonce, monotonicNow());
}

Micros Traffic::timeoutOf(const Submission& _submission) const
{
	const PipelineRow* pipeline = this->table->pipeline(_submission.pipeline);
	const Micros pipelineTimeout = pipeline == nullptr ? kSecond : pipeline->deadlineMs * kMillisecond;
	return std::min(pipelineTimeout, _submission.timeout.value_or(pipelineTimeout));
}

Micros Traffic::requestTimeout(const Submission& _submission) const
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->timeoutOf(_submission);
}

Traffic::ActivePointer Traffic::makeActiveRequest(std::size_t _thread, const Submission& _submission,
												  const Ticket& _ticket)
{
	auto active = std::make_shared<ActiveRequest>();
	active->id = ++this->lastRequest;
	active->thread = _thread;
	active->ticket = _ticket;
	active->ticketText = toText(_ticket);
	active->submission = _submission;
	active->arrivedAt = monotonicNow();
	active->spec = RequestSpec{active->id,
							   _submission.workspace,
							   _submission.pipeline,
							   active->arrivedAt + this->timeoutOf(_submission),
							   _submission.repeatable,
							   _submission.promptTokens,
							   _submission.maxTokens,
							   _submission.prefixHash};
	active->span.context = childOf(_submission.trace);
	active->span.parentSpanId = _submission.trace.spanId;
	active->span.name = absl::StrCat("request ", _submission.pipeline);
	active->span.beginNs = wallNanoseconds();
	return active;
}

void Traffic::startRequest(std::size_t _thread, const ActivePointer& _active, Actions& _actions)
{
	this->activeRequests.emplace(_active->id, _active);
	this->requestOfSerial.emplace(_active->ticket.serial, _active->id);
	_active->thread = _thread;
	_actions = this->dispatcher.submit(_active->spec, _active->arrivedAt);
}

std::optional<Incarnation> Traffic::submit(std::size_t _thread, const Submission& _submission,
										   const std::shared_ptr<AnswerSink>& _sink)
{
	const Micros now = monotonicNow();
	const Ticket& ticket = *_submission.ticket;
	TicketDecision decision = TicketRun{};
	Actions actions;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		decision = this->tickets.present(ticket, _submission.workspace, _submission.bodyDigest, now);
		if (std::holds_alternative<TicketRun>(decision))
		{
			const ActivePointer active = this->makeActiveRequest(_thread, _submission, ticket);
			active->sinks.push_back(_sink);
			this->startRequest(_thread, active, actions);
		}
	}
	if (std::holds_alternative<TicketRun>(decision))
	{
		this->perform(_thread, actions);
		return std::nullopt;
	}
	return this->applyDecision(ticket, decision, _sink);
}

std::optional<Incarnation> Traffic::applyDecision(const Ticket& _ticket, const TicketDecision& _decision,
												  const std::shared_ptr<AnswerSink>& _sink)
{
	const std::string ticketText = roadferry::toText(_ticket);
	std::optional<Incarnation> issuer;
	std::visit(
		Overloaded{
			[](const TicketRun&) {},
			[&](const TicketAttach&) { this->attachSink(_ticket.serial, ticketText, Outcome{}, _sink); },
			[&](const TicketReplay& _typed) { this->attachSink(_ticket.serial, ticketText, _typed.outcome, _sink); },
			[&](const TicketOtherIssuer&) { issuer = this->answerForOtherIssuer(_ticket, _sink); },
			[&](const TicketRefused& _typed) { this->sendStoredResult(0, ticketText, _typed.outcome, _sink); },
		},
		_decision);
	return issuer;
}

std::optional<Incarnation> Traffic::answerForOtherIssuer(const Ticket& _ticket,
														 const std::shared_ptr<AnswerSink>& _sink)
{
	std::optional<Outcome> outcome;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		outcome = this->shutdownReports.outcomeOf(_ticket, monotonicNow());
	}
	if (!outcome)
	{
		return _ticket.issuer;
	}
	this->sendStoredResult(0, roadferry::toText(_ticket), *outcome, _sink);
	return std::nullopt;
}

void Traffic::attachSink(std::uint64_t _serial, const std::string& _ticket, const Outcome& _outcome,
						 const std::shared_ptr<AnswerSink>& _sink)
{
	ActivePointer active;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		const auto request = this->requestOfSerial.find(_serial);
		if (request != this->requestOfSerial.end())
		{
			active = this->activeRequests.at(request->second);
		}
	}
	if (active == nullptr)
	{
		this->sendStoredResult(_serial, _ticket, _outcome, _sink);
		return;
	}
	this->pool.post(active->thread,
					[this, active, _serial, _ticket, _sink]
					{
						bool running = false;
						Outcome outcome;
						{
							const std::lock_guard<std::mutex> guard(this->lock);
							running = this->activeRequests.count(active->id) > 0;
							outcome = this->tickets.stateOf(active->ticket, active->submission.workspace).second;
						}
						if (!running)
						{
							this->sendStoredResult(_serial, _ticket, outcome, _sink);
							return;
						}
						for (std::size_t index = 0; index < active->tokens.size(); ++index)
						{
							_sink->writeToken(static_cast<std::int64_t>(index), active->tokens[index]);
						}
						active->sinks.push_back(_sink);
					});
}

void Traffic::sendStoredResult(std::uint64_t _serial, const std::string& _ticket, const Outcome& _outcome,
							   const std::shared_ptr<AnswerSink>& _sink)
{
	std::shared_ptr<const StoredResult> found;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		found = this->results.find(_serial);
	}
	if (found == nullptr)
	{
		// Outcomes are kept longer than answers, so the answer of an answered request may have been evicted.
		QJsonObject object = roadferry::toJson(_outcome);
		object["request"] = text(_ticket);
		if (_outcome.verdict == Verdict::Answered)
		{
			object["answer_expired"] = true;
		}
		_sink->writeResult(httpStatusOf(_outcome), _outcome.retryAfter, roadferry::toText(object));
		return;
	}
	for (std::size_t index = 0; index < found->tokens.size(); ++index)
	{
		_sink->writeToken(static_cast<std::int64_t>(index), found->tokens[index]);
	}
	_sink->writeResult(found->status, found->retryAfter, found->json);
}

void Traffic::runOnRequestThread(std::size_t _thread, const ActivePointer& _active, std::function<void()> _function)
{
	if (_thread == _active->thread)
	{
		_function();
		return;
	}
	this->pool.post(_active->thread, std::move(_function));
}

void Traffic::perform(std::size_t _thread, const Actions& _actions)
{
	std::vector<ActivePointer> owners;
	owners.reserve(_actions.size());
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		for (const Action& action : _actions)
		{
			const std::uint64_t request = std::visit([](const auto& _typed) { return _typed.request; }, action);
			const auto found = this->activeRequests.find(request);
			owners.push_back(found == this->activeRequests.end() ? nullptr : found->second);
		}
	}
	for (std::size_t index = 0; index < _actions.size(); ++index)
	{
		const ActivePointer& owner = owners[index];
		if (owner == nullptr)
		{
			continue;
		}
		this->runOnRequestThread(_thread, owner,
								 [this, owner, action = _actions[index]]
								 {
									 std::visit(
										 Overloaded{
											 [&](const StartAttempt& _typed) { this->startAttempt(owner, _typed); },
											 [&](const CancelAttempt& _typed) { this->cancelAttempt(owner, _typed); },
											 [&](const FinishRequest& _typed) { this->finish(owner, _typed.outcome); },
										 },
										 action);
								 });
	}
}

void Traffic::startAttempt(const ActivePointer& _active, const StartAttempt& _attempt)
{
	ActiveRequest& active = *_active;
	active.currentAttempt = _attempt.attempt;
	active.attemptStartedAt = monotonicNow();
	if (active.stages.size() <= _attempt.stageIndex)
	{
		active.stages.resize(_attempt.stageIndex + 1);
	}
	StageReport& report = active.stages[_attempt.stageIndex];
	report.stage = _attempt.stage;
	report.endpoint = _attempt.endpoint;
	report.attempts += 1;
	active.attemptSpan = Span{};
	active.attemptSpan.context = childOf(active.span.context);
	active.attemptSpan.parentSpanId = active.span.context.spanId;
	active.attemptSpan.name = absl::StrCat("stage ", _attempt.stage);
	active.attemptSpan.beginNs = wallNanoseconds();
	active.attemptSpan.attributes = {{"endpoint", _attempt.endpoint}};

	StageCallSpec spec;
	spec.attempt = _attempt;
	spec.attemptId = absl::StrCat(absl::Hex(this->settings.self.number), "-", _attempt.attempt);
	spec.requestId = active.ticketText;
	spec.input = active.submission.input;
	spec.previousOutput = active.previousOutput;
	spec.maxTokens = active.submission.maxTokens;
	spec.resumePosition = static_cast<std::int64_t>(active.tokens.size());
	spec.timeout = _attempt.deadline - active.attemptStartedAt;
	spec.trace = active.attemptSpan.context;

	StageCallHandlers handlers;
	handlers.onToken = [_active](std::int64_t _position, const std::string& _text)
	{
		_active->tokens.push_back(_text);
		for (const auto& sink : _active->sinks)
		{
			sink->writeToken(_position, _text);
		}
	};
	handlers.onEnd = [this, _active, number = _attempt.attempt, index = _attempt.stageIndex](const StageResult& _result)
	{
		if (_active->currentAttempt != number)
		{
			return;
		}
		StageReport& ended = _active->stages[index];
		ended.error = _result.error;
		if (std::holds_alternative<AttemptAnswered>(_result.end))
		{
			_active->previousOutput = _result.output;
		}
		_active->attemptSpan.failed = !_result.error.empty();
		this->onAttemptEnded(_active, number, _result.end);
	};
	active.call = startStageCall(this->client, active.thread, spec, std::move(handlers));
}

void Traffic::cancelAttempt(const ActivePointer& _active, const CancelAttempt& _attempt)
{
	if (_active->currentAttempt != _attempt.attempt)
	{
		return;
	}
	_active->currentAttempt = 0;
	if (_active->call != nullptr)
	{
		_active->call->cancel();
		_active->call = nullptr;
	}
	StageReport& report = _active->stages.back();
	report.heldTime += monotonicNow() - _active->attemptStartedAt;
	report.error = "cancelled";
}

void Traffic::onAttemptEnded(const ActivePointer& _active, std::uint64_t _attempt, const AttemptEnd& _end)
{
	const Micros now = monotonicNow();
	StageReport& report = _active->stages.back();
	const Micros held = now - _active->attemptStartedAt;
	report.heldTime += held;
	report.tokens = static_cast<std::int64_t>(_active->tokens.size());
	_active->currentAttempt = 0;
	_active->call = nullptr;
	_active->attemptSpan.endNs = wallNanoseconds();
	this->traces.write(_active->attemptSpan);
	this->metrics.recordStage(_active->submission.pipeline, report.stage, static_cast<double>(held) / kMicrosPerSecond,
							  report.tokens);
	Actions actions;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		actions = this->dispatcher.attemptEnded(_attempt, _end, now);
	}
	this->perform(_active->thread, actions);
}

void Traffic::finish(const ActivePointer& _active, const Outcome& _outcome)
{
	const Micros now = monotonicNow();
	const Micros elapsed = now - _active->arrivedAt;
	QJsonObject object = roadferry::toJson(_outcome);
	object["request"] = text(_active->ticketText);
	object["elapsed_ms"] = static_cast<double>(elapsed) / static_cast<double>(kMillisecond);
	QJsonArray stages;
	for (const StageReport& report : _active->stages)
	{
		stages.append(toJson(report));
	}
	object["stages"] = stages;
	if (_outcome.verdict == Verdict::Answered)
	{
		const bool generated = !_active->tokens.empty();
		object["answer"] = generated ? QJsonValue(QJsonObject{{"text", text(absl::StrJoin(_active->tokens, ""))},
															  {"tokens", static_cast<qint64>(_active->tokens.size())}})
									 : _active->previousOutput;
	}
	auto result = std::make_shared<StoredResult>();
	result->status = httpStatusOf(_outcome);
	result->retryAfter = _outcome.retryAfter;
	result->json = roadferry::toText(object);
	result->tokens = std::move(_active->tokens);
	_active->tokens.clear();
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		this->tickets.recordOutcome(_active->ticket, _outcome, now);
		if (_outcome.reason == Reason::WorkspaceLimit)
		{
			this->limitRefusals[_active->submission.workspace] += 1;
		}
		this->activeRequests.erase(_active->id);
		this->requestOfSerial.erase(_active->ticket.serial);
		this->results.put(_active->ticket.serial, result);
	}
	for (const auto& sink : _active->sinks)
	{
		sink->writeResult(result->status, result->retryAfter, result->json);
	}
	_active->sinks.clear();
	this->metrics.recordRequest(_active->submission.pipeline, _outcome,
								static_cast<double>(elapsed) / kMicrosPerSecond);
	_active->span.endNs = _active->span.beginNs + elapsed * kNanosPerMicro;
	_active->span.failed = _outcome.verdict != Verdict::Answered;
	_active->span.attributes = {{"outcome", std::string(nameOf(_outcome.verdict))},
								{"reason", std::string(nameOf(_outcome.reason))},
								{"request", _active->ticketText}};
	this->traces.write(_active->span);
}

std::optional<Incarnation> Traffic::query(const Ticket& _ticket, const std::string& _workspace,
										  const std::shared_ptr<AnswerSink>& _sink)
{
	std::pair<TicketState, Outcome> found;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		found = this->tickets.stateOf(_ticket, _workspace);
	}
	const std::string ticketText = roadferry::toText(_ticket);
	switch (found.first)
	{
	case TicketState::OtherIssuer:
		return this->answerForOtherIssuer(_ticket, _sink);
	case TicketState::Unused:
	case TicketState::Running:
	{
		const char* state = found.first == TicketState::Unused ? "unused" : "running";
		_sink->writeResult(202, 0, roadferry::toText(QJsonObject{{"request", text(ticketText)}, {"state", state}}));
		return std::nullopt;
	}
	case TicketState::Unknown:
		this->sendStoredResult(0, ticketText, found.second, _sink);
		return std::nullopt;
	case TicketState::Ended:
		this->sendStoredResult(_ticket.serial, ticketText, found.second, _sink);
		return std::nullopt;
	}
	return std::nullopt;
}

std::optional<Incarnation> Traffic::cancel(const Ticket& _ticket, const std::string& _workspace,
										   const std::shared_ptr<AnswerSink>& _sink)
{
	TicketDecision decision = TicketAttach{};
	Actions actions;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		decision = this->tickets.revoke(_ticket, _workspace, monotonicNow());
		const auto request = this->requestOfSerial.find(_ticket.serial);
		if (std::holds_alternative<TicketAttach>(decision) && request != this->requestOfSerial.end())
		{
			actions = this->dispatcher.cancel(request->second, monotonicNow());
		}
	}
	// The sink is attached first, so that it receives the result of the cancelled request.
	auto issuer = this->applyDecision(_ticket, decision, _sink);
	this->perform(this->pool.size(), actions);
	return issuer;
}

void Traffic::onCallerDisconnected(const Ticket& _ticket)
{
	Actions actions;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		const auto request = this->requestOfSerial.find(_ticket.serial);
		if (request != this->requestOfSerial.end())
		{
			actions = this->dispatcher.cancel(request->second, monotonicNow());
		}
	}
	this->perform(this->pool.size(), actions);
}

std::optional<std::string> Traffic::explain(const Ticket& _ticket)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	if (const auto found = this->results.find(_ticket.serial))
	{
		return found->json;
	}
	const auto request = this->requestOfSerial.find(_ticket.serial);
	if (request == this->requestOfSerial.end())
	{
		return std::nullopt;
	}
	const ActiveRequest& active = *this->activeRequests.at(request->second);
	const double elapsed = static_cast<double>(monotonicNow() - active.arrivedAt) / static_cast<double>(kMillisecond);
	return roadferry::toText(QJsonObject{{"request", text(active.ticketText)},
										 {"state", "running"},
										 {"pipeline", text(active.submission.pipeline)},
										 {"elapsed_ms", elapsed}});
}

void Traffic::setTable(const std::shared_ptr<const Table>& _table)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->table = _table;
	this->dispatcher.setTable(_table);
}

void Traffic::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->dispatcher.setEndpoints(_endpoints);
}

void Traffic::markLeaving(const std::string& _endpoint)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->dispatcher.markLeaving(_endpoint);
}

void Traffic::reportLoad(const std::string& _endpoint, const LoadReport& _report)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->dispatcher.reportLoad(_endpoint, _report);
}

void Traffic::setNodeCount(std::size_t _nodes)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->dispatcher.setNodeCount(_nodes);
}

void Traffic::setShare(const std::string& _workspace, std::int64_t _inFlight)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->dispatcher.setShare(_workspace, _inFlight);
}

void Traffic::drain()
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->drainStarted = true;
	this->dispatcher.drain();
}

bool Traffic::isDraining() const
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->drainStarted;
}

std::size_t Traffic::inFlight() const
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->activeRequests.size();
}

std::map<std::string, std::int64_t> Traffic::takeDemand()
{
	const std::lock_guard<std::mutex> guard(this->lock);
	std::map<std::string, std::int64_t> demand = this->dispatcher.inFlightByWorkspace();
	for (const auto& entry : this->limitRefusals)
	{
		demand[entry.first] += entry.second;
	}
	this->limitRefusals.clear();
	return demand;
}

ShutdownReport Traffic::shutDown()
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->tickets.shutDown(monotonicNow());
}

void Traffic::onShutdownReport(const ShutdownReport& _report)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	this->shutdownReports.add(_report, monotonicNow());
}

DispatcherCounters Traffic::counters() const
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->dispatcher.counters();
}

std::vector<EndpointState> Traffic::endpoints() const
{
	const std::lock_guard<std::mutex> guard(this->lock);
	return this->dispatcher.endpoints();
}

const Incarnation& Traffic::self() const
{
	return this->settings.self;
}

} // namespace roadferry
