/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests in flight on one node: executes the decisions of the dispatcher.

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

/// Receives the tokens and the result of one request. Called on the request's thread.
class AnswerSink
{
public:
	virtual ~AnswerSink() = default;
	virtual void writeToken(std::int64_t _position, const std::string& _text) = 0;

	/// @param[in] _status HTTP status.
	/// @param[in] _retryAfter Recommended delay before a retry in microseconds, 0 for none.
	/// @param[in] _json The result as a JSON object.
	virtual void writeResult(unsigned _status, Micros _retryAfter, const std::string& _json) = 0;
};

/// A validated request of a caller.
struct Submission
{
	std::string workspace;
	std::string pipeline;
	std::optional<Ticket> ticket;  ///< Sent by the caller, or issued for this request.
	bool hasCallerTicket = false;  ///< The caller sent the ticket, and so can query the outcome later.
	std::optional<Micros> timeout; ///< Time until the deadline; the pipeline's deadline applies if unset.
	bool repeatable = true;
	bool stream = false;
	std::int64_t promptTokens = 0;
	std::int64_t maxTokens = 0;
	std::uint64_t prefixHash = 0; ///< Hash of the prompt prefix, 0 for none.
	std::uint64_t bodyDigest = 0; ///< Hash of pipeline and body; tells a duplicate from a different request.
	QJsonValue input;
	TraceContext trace;
};

/// Parses and validates the body of a request to a pipeline.
/// @returns The submission, or InvalidArgument with the field and the violated limit.
absl::StatusOr<Submission> parseSubmission(const std::string& _workspace, const std::string& _pipeline,
										   const std::string& _body);

/// Settings of Traffic.
struct TrafficSettings
{
	Incarnation self;
	DispatcherConfig dispatcher;
	TicketLimits tickets;
	std::size_t resultCacheBytes = 0; ///< Memory for the results of finished requests.
};

/// All requests that run under tickets of this incarnation. Thread-safe.
class Traffic
{
public:
	Traffic(IoPool& _pool, HttpClient& _client, Metrics& _metrics, TraceWriter& _traces, TrafficSettings _settings);
	~Traffic();
	Traffic(const Traffic&) = delete;
	Traffic& operator=(const Traffic&) = delete;

	/// Starts the timer that enforces deadlines and expires tickets. Call once.
	void start();

	absl::StatusOr<Ticket> issueTicket(const std::string& _workspace);

	/// Runs a request. A duplicate attaches to the request that runs, or gets the stored outcome.
	/// @param[in] _thread Thread that serves the request; must be the calling thread.
	/// @param[in] _submission The request; its ticket must be set.
	/// @param[in] _sink Receives the answer.
	/// @returns Nothing, or the incarnation to which the call must be forwarded.
	std::optional<Incarnation> submit(std::size_t _thread, const Submission& _submission,
									  const std::shared_ptr<AnswerSink>& _sink);

	/// @returns Time limit of a request: the shorter of the pipeline's deadline and the caller's.
	[[nodiscard]] Micros requestTimeout(const Submission& _submission) const;

	/// Writes the state or the outcome of a ticket to the sink.
	/// @returns Nothing, or the incarnation to which the call must be forwarded.
	std::optional<Incarnation> query(const Ticket& _ticket, const std::string& _workspace,
									 const std::shared_ptr<AnswerSink>& _sink);

	/// Cancels a request, or revokes its ticket if it is unused, so that it never runs.
	/// @returns Nothing, or the incarnation to which the call must be forwarded.
	std::optional<Incarnation> cancel(const Ticket& _ticket, const std::string& _workspace,
									  const std::shared_ptr<AnswerSink>& _sink);

	/// @returns For operators: the result or the current state of a request as JSON; nothing if it is unknown.
	[[nodiscard]] std::optional<std::string> explain(const Ticket& _ticket);

	/// Cancels the request of a caller that has disconnected. Only for tickets that the caller does not know: nobody
	/// can query their outcome.
	void onCallerDisconnected(const Ticket& _ticket);

	void setTable(const std::shared_ptr<const Table>& _table);
	void setEndpoints(const std::vector<Endpoint>& _endpoints);
	void markLeaving(const std::string& _endpoint);
	void reportLoad(const std::string& _endpoint, const LoadReport& _report);
	void setNodeCount(std::size_t _nodes);
	void setShare(const std::string& _workspace, std::int64_t _inFlight);
	void drain();

	/// Shuts down this incarnation: none of its tickets runs any more. Call when nothing is in flight.
	/// @returns The report from which other nodes answer for its tickets.
	ShutdownReport shutDown();

	/// Stores the shutdown report of another incarnation.
	void onShutdownReport(const ShutdownReport& _report);

	[[nodiscard]] bool isDraining() const;
	[[nodiscard]] std::size_t inFlight() const;
	/// @returns Requests in flight plus requests refused at the workspace limit since the last call, by workspace.
	[[nodiscard]] std::map<std::string, std::int64_t> takeDemand();
	[[nodiscard]] DispatcherCounters counters() const;
	[[nodiscard]] std::vector<EndpointState> endpoints() const;
	[[nodiscard]] const Incarnation& self() const;

private:
	struct ActiveRequest;
	using ActivePointer = std::shared_ptr<ActiveRequest>;

	/// Requires the lock.
	[[nodiscard]] Micros timeoutOf(const Submission& _submission) const;
	ActivePointer makeActiveRequest(std::size_t _thread, const Submission& _submission, const Ticket& _ticket);
	void startRequest(std::size_t _thread, const ActivePointer& _active, Actions& _actions);
	/// Executes actions of the dispatcher, each on the thread of its request.
	/// @param[in] _thread Calling thread, or the size of the pool if it is not known.
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
	/// Answers from the shutdown report of the issuer.
	/// @returns Nothing, or the issuer if it has sent no report.
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
	std::map<std::string, std::int64_t> limitRefusals; ///< By workspace, since the last takeDemand().
	std::shared_ptr<const Table> table;
	std::unordered_map<std::uint64_t, ActivePointer> activeRequests;  ///< By request id.
	std::unordered_map<std::uint64_t, std::uint64_t> requestOfSerial; ///< Request id by ticket serial.
	std::uint64_t lastRequest = 0;
	bool drainStarted = false;
};

/// @returns HTTP status of an outcome.
unsigned httpStatusOf(const Outcome& _outcome);

} // namespace roadferry

#endif // ROADFERRY_TRAFFIC_H_HEADER_GUARD
