/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The response to one forwarded request: built from one or more attempts and sent to the client as a whole or as a
/// stream.

#ifndef ROADFERRY_FORWARD_ANSWER_H_HEADER_GUARD
#define ROADFERRY_FORWARD_ANSWER_H_HEADER_GUARD

#include "adapter.h"
#include "event_stream.h"
#include "http_server.h"
#include "stream_ends.h"

#include <deque>

namespace roadferry
{

/// A run ended with its connection right after an event, and nothing spoke against it yet.
struct PlausibleEnd
{
	std::uint64_t lastEvent = 0;
	bool operator==(const PlausibleEnd&) const = default;
};

/// A run ended right after the event at which another one had ended with its connection.
struct ConfirmedEnd
{
	bool operator==(const ConfirmedEnd&) const = default;
};

/// A run had ended with its connection right after an event, and there was more.
struct EarlyEnd
{
	std::uint64_t lastEvent = 0; ///< 0 before the first event.
	bool operator==(const EarlyEnd&) const = default;
};

/// What an attempt shows of an end of its stream that only a connection told.
using EndFinding = std::variant<std::monostate, PlausibleEnd, ConfirmedEnd, EarlyEnd>;

/// Receives the responses of endpoints, one attempt after another, and answers the client exactly once.
class ForwardAnswer
{
public:
	/// @param[in] _requestId Id that an endpoint's response must carry.
	/// @param[in] _streaming Whether a successful response is a stream of events.
	/// @param[in] _repeatable Whether the request may run more than once.
	/// @param[in] _maxBytes Maximum size of a response that is not a stream of events.
	ForwardAnswer(const WireFormat& _wire, std::shared_ptr<HttpReply> _reply, std::string _requestId, bool _streaming,
				  bool _repeatable, std::size_t _maxBytes);

	/// @param[in] _handler Called before the first bytes of a stream are sent to the client.
	void onStart(std::function<void()> _handler);

	/// Tells that the client has the events up to this one from an earlier submission. They are not sent to it again.
	void resumeAfter(std::uint64_t _eventId);

	/// Tells that the request may run more than once, although its route of now does not allow it.
	void allowRepeats();

	/// Tells how far earlier runs of the stream agree on its end, as this node or another one has seen them.
	void addKnownEnd(const AgreeingRuns& _known);

	/// Sets how many runs must have ended with their connection right after the last event of a stream to prove that it
	/// is the last one.
	void requireAgreeingRuns(std::int64_t _runs);

	/// Resets the state of the previous attempt.
	/// @param[in] _resumes Whether the endpoint is asked only for the events after one that the client has.
	/// @param[in] _overlaps Whether it is asked for events that the client has, see overlapStart().
	void beginAttempt(bool _resumes = false, bool _overlaps = false);
	/// Handles the head of an attempt's response.
	/// @returns Skip when the response belongs to another request.
	HeadVerdict receiveHead(unsigned _status, const HttpHeaders& _headers);
	/// Handles bytes of the response body; complete events of a usable stream are sent to the client. Their ids must
	/// rise within the attempt. Its first event must be one that the client has, or have the id after the last of them.
	/// @returns Whether more of the body can be used. If not, the call must be cancelled.
	[[nodiscard]] bool receiveData(const std::string& _bytes);

	/// @returns Bytes of the attempt's response that are kept until the rest arrives.
	[[nodiscard]] std::size_t bufferedBytes() const;

	/// Ends an attempt.
	/// @returns Result of the attempt. A response that can be passed on is kept for deliver(). The end of a connection
	/// does not tell that no events are missing: a stream that may be resumed is answered once enough runs have sent
	/// its last event and ended there. A run that sent nothing may have failed, and proves nothing.
	AttemptEnd endAttempt(const CallEnd& _end);

	/// Sends the kept response to the client, or ends its stream.
	void deliver();

	/// @returns Whether a run has ended with its connection right after the client's last event, and no other one has
	/// shown that there is more.
	[[nodiscard]] bool hasPlausibleEnd() const;

	/// Ends the stream of such a run.
	void deliverUnproven();

	/// @returns What the latest attempt has shown of an end since the last call.
	[[nodiscard]] EndFinding takeEndFinding();

	/// Answers with an error of this node.
	/// @param[in] _retryAfter Retry-After for the client in microseconds, 0 for none.
	void refuse(unsigned _status, Micros _retryAfter, const std::string& _code, const std::string& _message);

	/// Closes the client's connection, for a stream that cannot be completed.
	void abort();

	/// @returns Whether an endpoint's error response is kept, to be passed on if no later attempt succeeds.
	[[nodiscard]] bool hasErrorResponse() const;

	/// @returns Whether another attempt can go on after the events that the client has. If one of them has no id,
	/// nothing tells which events of another attempt follow.
	[[nodiscard]] bool canContinue() const;

	/// @returns Whether a stream to the client has begun.
	[[nodiscard]] bool hasStarted() const;

	/// @returns Id of the last event that the client has.
	[[nodiscard]] std::optional<std::uint64_t> lastEventId() const;

	/// @returns Id after which the next run is asked for events, so that it sends the client's last events again. The
	/// number of these differs from run to run: an endpoint that closes each run after as many events must not agree
	/// with itself. Not set if the run must begin with its first event.
	[[nodiscard]] std::optional<std::uint64_t> overlapStart() const;

	/// @returns Runs that have ended with their connection right after the client's last event.
	[[nodiscard]] AgreeingRuns agreeingRuns() const;

	/// @returns Whether an event of the latest attempt shows that ids rise by more than one.
	[[nodiscard]] bool hasSparseIds() const;

	/// @returns Head of the latest attempt's response, if it has arrived.
	[[nodiscard]] const std::optional<ForwardHead>& head() const;

	[[nodiscard]] const std::shared_ptr<HttpReply>& reply() const;

	/// Timing of a stream so far.
	struct StreamTimes
	{
		Micros firstAt = 0;      ///< Time point of the first event, 0 before it.
		Micros lastAt = 0;       ///< Time point of the last event.
		Micros longestPause = 0; ///< Longest time between two consecutive events.
		std::int64_t events = 0;
	};

	[[nodiscard]] const StreamTimes& times() const;

private:
	[[nodiscard]] bool isAfterGap(const std::string& _event) const;
	[[nodiscard]] bool follows(const std::string& _event) const;
	void forwardEvent(const std::string& _event);
	void noteFurtherEvent(bool _hasContent);
	void rememberId(std::optional<std::uint64_t> _number);
	void startStream();
	[[nodiscard]] bool isUsable() const;
	[[nodiscard]] bool endsBeforeLast() const;
	[[nodiscard]] AttemptEnd endWithoutMark();
	[[nodiscard]] AttemptEnd endUnlessProven();

	const WireFormat& wire;
	std::shared_ptr<HttpReply> clientReply;
	std::string requestId;
	bool streaming;
	bool repeatable;
	std::size_t maxBytes; ///< Maximum size of a response that is not a stream of events.

	std::optional<ForwardHead> currentHead; ///< Response head of the current or latest attempt.
	EventSplitter splitter;
	std::string body;
	std::size_t refusalBytes = 0;               ///< Received of the body of a refusal.
	std::optional<std::uint64_t> attemptLastId; ///< Id of the last event that the attempt brought.
	bool streamInvalid = false;                 ///< The attempt's stream cannot be continued.
	bool resumes = false;                       ///< The attempt asks for the events after one that the client has.
	bool overlaps = false;                      ///< It asks for events that the client has.
	bool hasEvents = false;                     ///< The attempt has brought an event that the client did not have.

	std::optional<ForwardHead> keptHead; ///< Head of a complete response that can be delivered.
	std::string keptBody;
	std::function<void()> startHandler;
	bool streamStarted = false;
	std::optional<std::uint64_t> lastId;  ///< Of the last event that the client has.
	std::deque<std::uint64_t> recentIds;  ///< Of the latest events that this answer has passed on, in order.
	AgreeingRuns agreeing;                ///< Runs that ended right after the same event.
	std::optional<ForwardHead> endedHead; ///< Head of the latest of these.
	std::int64_t requiredRuns;            ///< See requireAgreeingRuns().
	EndFinding endFinding;
	bool sparseIds = false;      ///< See hasSparseIds().
	bool sentUnnumbered = false; ///< An event with data and without an id was sent.
	StreamTimes streamTimes;
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_ANSWER_H_HEADER_GUARD
