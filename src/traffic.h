/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests in flight on one node: carries out what the dispatcher decides.

#ifndef ROADFERRY_TRAFFIC_H_HEADER_GUARD
#define ROADFERRY_TRAFFIC_H_HEADER_GUARD

#include "clock.h"
#include "http_client.h"
#include "json.h"
#include "metrics.h"
#include "result_store.h"
#include "trace.h"

#include <roadferry/roadferry.h>

#include <atomic>
#include <mutex>

namespace roadferry
{

/// Where tokens and the result of one request go. Called on the request's thread.
class AnswerSink
{
public:
	virtual ~AnswerSink() = default;
	virtual void writeToken(std::int64_t _position, const std::string& _text) = 0;

	/// @param[in] _status HTTP status.
	/// @param[in] _retryAfter Advice for a repeat in microseconds, 0 for none.
	/// @param[in] _json The result as an object.
	virtual void writeResult(unsigned _status, Micros _retryAfter, const std::string& _json) = 0;
};

/// A caller's request, checked.
struct Submission
{
	std::string workspace;
	std::string pipeline;
	std::optional<Ticket> ticket;  ///< The caller's, or one that was issued for it.
	bool hasCallerTicket = false;  ///< Whether the caller brought it, and so can ask for the outcome later.
	std::optional<Micros> timeout; ///< From now; missing for the pipeline's own.
	bool repeatable = true;
	bool stream = false;
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	std::uint64_t prefixHash = 0;
	std::uint64_t bodyDigest = 0; ///< Hash of the body, to tell a copy from another request.
	QJsonValue input;
	TraceContext trace;
};

/// Reads the body of a request to a pipeline.
/// @returns The submission, or InvalidArgument that names the field and the limit.
absl::StatusOr<Submission> parseSubmission(const std::string& _workspace, const std::string& _pipeline,
										   const std::string& _body);

/// Settings of Traffic.
struct TrafficSettings
{
	Incarnation self;
	DispatcherConfig dispatcher;
	TicketLimits tickets;
	std::size_t resultCacheBytes = 0; ///< Memory for results kept for later questions.
};

/// All requests that this incarnation runs. Its functions may be called from any thread.
class Traffic
{
public:
	Traffic(IoPool& _pool, HttpClient& _client, Metrics& _metrics, TraceWriter& _traces, TrafficSettings _settings);
	~Traffic();
	Traffic(const Traffic&) = delete;
	Traffic& operator=(const Traffic&) = delete;

	/// Begins to look at deadlines. Call once.
	void start();

	absl::StatusOr<Ticket> issueTicket(const std::string& _workspace);

	/// Runs a request, or joins the copy of it that runs or has ended.
	/// @param[in] _thread Thread that is to serve it.
	/// @param[in] _submission The request, with a ticket.
	/// @param[in] _sink Where its answer goes.
	/// @returns Nothing, or the incarnation that has to be asked instead.
	std::optional<Incarnation> submit(std::size_t _thread, const Submission& _submission,
									  const std::shared_ptr<AnswerSink>& _sink);

	/// @returns How long a request may take: the pipeline's deadline, or the caller's where that is shorter.
	[[nodiscard]] Micros requestTimeout(const Submission& _submission) const;

	/// Says what is known of a ticket.
	/// @returns Nothing, or the incarnation that has to be asked instead.
	std::optional<Incarnation> query(const Ticket& _ticket, const std::string& _workspace,
									 const std::shared_ptr<AnswerSink>& _sink);

	/// Stops a request, and makes sure that an unused ticket never runs.
	/// @returns Nothing, or the incarnation that has to be asked instead.
	std::optional<Incarnation> cancel(const Ticket& _ticket, const std::string& _workspace,
									  const std::shared_ptr<AnswerSink>& _sink);

	/// Tells what happened to a request, for operators.
	[[nodiscard]] std::optional<std::string> explain(const Ticket& _ticket);

	/// Forgets a caller that has gone; its request is stopped when nobody else can ask for it.
	void onCallerDisconnected(const Ticket& _ticket);

	void setTable(const std::shared_ptr<const Table>& _table);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);
	void markLeaving(const std::string& _endpoint);
	void reportLoad(const std::string& _endpoint, const LoadReport& _report);
	void setNodeCount(std::size_t _nodes);
	void setShare(const std::string& _workspace, std::int64_t _inFlight);
	void drain();

	/// Ends this incarnation: no ticket of it runs any more. Call when nothing is in flight.
	/// @returns What other nodes need to answer for it.
	ShutdownReport shutDown();

	/// Takes the farewell of another incarnation.
	void onShutdownReport(const ShutdownReport& _report);

	[[nodiscard]] bool isDraining() const;
	[[nodiscard]] std::size_t inFlight() const;
	/// @returns Requests in flight and refused for their workspace's limit since the last call, by workspace.
	[[nodiscard]] std::map<std::string, std::int64_t> takeDemand();
	[[nodiscard]] DispatcherCounters counters() const;
	[[nodiscard]] std::vector<EndpointState> endpoints() const;
	[[nodiscard]] const Incarnation& self() const;

private:
	struct ActiveRequest;
	using ActivePointer = std::shared_ptr<ActiveRequest>;

	[[nodiscard]] Micros timeoutOf(const Submission& _submission) const;
	ActivePointer makeActiveRequest(std::size_t _thread, const Submission& _submission, const Ticket& _ticket);
	void startRequest(std::size_t _thread, const ActivePointer& _active, Actions& _actions);
	void perform(std::size_t _thread, const Actions& _actions);
	void runOnRequestThread(std::size_t _thread, const ActivePointer& _active, std::function<void()> _function);
	void startAttempt(const ActivePointer& _active, const StartAttempt& _attempt);
	void cancelAttempt(const ActivePointer& _active, const CancelAttempt& _attempt);
	void onAttemptEnded(const ActivePointer& _active, std::uint64_t _attempt, const AttemptEnd& _end);
	void finish(const ActivePointer& _active, const Outcome& _outcome);
	void attachSink(std::uint64_t _serial, const std::string& _ticket, const Outcome& _outcome,
					const std::shared_ptr<AnswerSink>& _sink);
	void sendStoredResult(std::uint64_t _serial, const std::string& _ticket, const Outcome& _outcome,
						  const std::shared_ptr<AnswerSink>& _sink);
	std::optional<Incarnation> answerForOtherIssuer(const Ticket& _ticket, const std::shared_ptr<AnswerSink>& _sink);
	std::optional<Incarnation> applyDecision(const Ticket& _ticket, const TicketDecision& _decision,
											 const std::shared_ptr<AnswerSink>& _sink);
	void tick();

	IoPool& pool;
	HttpClient& client;
	Metrics& metrics;
	TraceWriter& traces;
	TrafficSettings settings;

	mutable std::mutex lock; ///< Guards everything below.
	Dispatcher dispatcher;
	TicketRegistry tickets;
	ResultStore results;
	ShutdownReportCache shutdownReports;
	std::map<std::string, std::int64_t> limitRefusals;
	std::shared_ptr<const Table> table;
	std::unordered_map<std::uint64_t, ActivePointer> activeRequests; ///< By request.
	std::unordered_map<std::uint64_t, std::uint64_t> requestOfSerial;
	std::uint64_t lastRequest = 0;
	bool drainStarted = false;
};

/// @returns HTTP status for an outcome.
unsigned httpStatusOf(const Outcome& _outcome);

} // namespace roadferry

#endif // ROADFERRY_TRAFFIC_H_HEADER_GUARD
