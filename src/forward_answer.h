/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The answer to one forwarded request: taken from one or more attempts, and delivered to the client whole or as a
/// stream.

#ifndef ROADFERRY_FORWARD_ANSWER_H_HEADER_GUARD
#define ROADFERRY_FORWARD_ANSWER_H_HEADER_GUARD

#include "adapter.h"
#include "event_stream.h"
#include "http_server.h"

namespace roadferry
{

/// Takes the responses of endpoints, one attempt after the other, and answers the client once.
class ForwardAnswer
{
public:
	/// @param[in] _requestId Id that an endpoint's answer has to carry.
	/// @param[in] _streaming Whether a good answer is a stream of events.
	/// @param[in] _repeatable Whether the request may run more than once.
	ForwardAnswer(const WireFormat& _wire, std::shared_ptr<HttpReply> _reply, std::string _requestId, bool _streaming,
				  bool _repeatable);

	void beginAttempt();
	HeadVerdict receiveHead(unsigned _status, const HttpHeaders& _headers);
	void receiveData(const std::string& _bytes);

	/// Ends an attempt.
	/// @returns What the attempt came to. The answer, if it is one, is kept for deliver().
	AttemptEnd endAttempt(const CallEnd& _end);

	/// Sends the client what the last attempt brought.
	void deliver();

	/// Answers without an endpoint's answer.
	/// @param[in] _retryAfter When the client may come back; 0 for no advice.
	void refuse(unsigned _status, Micros _retryAfter, const std::string& _code, const std::string& _message);

	/// Ends the connection, for a stream that cannot be completed.
	void abort();

	/// @returns Whether an endpoint's own failure is kept, to be passed on if nothing better comes.
	[[nodiscard]] bool hasErrorResponse() const;

	/// @returns Whether part of a stream has gone to the client.
	[[nodiscard]] bool hasStarted() const;

	/// @returns Number of the last event that has gone to the client.
	[[nodiscard]] std::optional<std::uint64_t> lastEventId() const;

	/// @returns Head of the attempt's response, if one has come.
	[[nodiscard]] const std::optional<ForwardHead>& head() const;

	[[nodiscard]] const std::shared_ptr<HttpReply>& reply() const;

	/// What a stream has been like so far.
	struct StreamTimes
	{
		Micros firstAt = 0; ///< Time point of the first event, 0 for none.
		Micros lastAt = 0;
		Micros longestPause = 0;
		std::int64_t events = 0;
	};

	[[nodiscard]] const StreamTimes& times() const;

private:
	void forwardEvent(const std::string& _event);
	void startStream();
	[[nodiscard]] bool isUsable() const;

	const WireFormat& wire;
	std::shared_ptr<HttpReply> clientReply;
	std::string requestId;
	bool streaming;
	bool repeatable;

	std::optional<ForwardHead> currentHead; ///< Of the attempt under way, or the last one.
	EventSplitter splitter;
	std::string body;
	bool streamInvalid = false; ///< The attempt's stream cannot be used any further.

	std::optional<ForwardHead> keptHead; ///< Of a whole answer that can be delivered.
	std::string keptBody;
	bool streamStarted = false;
	std::optional<std::uint64_t> lastSentId;
	StreamTimes streamTimes;
};

} // namespace roadferry

#endif // ROADFERRY_FORWARD_ANSWER_H_HEADER_GUARD
