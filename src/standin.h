/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-ins for the systems outside roadferry, for tests and the demo. Each runs as a process of its own, and each has
/// a fault interface: POST /fault with {"mode", "ms", "count"}.

#ifndef ROADFERRY_STANDIN_H_HEADER_GUARD
#define ROADFERRY_STANDIN_H_HEADER_GUARD

#include "http_server.h"
#include "json.h"

#include <memory>
#include <mutex>

namespace roadferry
{

/// What a stand-in does wrong.
enum class FaultMode
{
	None,
	Slow,           ///< Answers later by some milliseconds.
	DropResponse,   ///< The effect takes place, and the answer is lost.
	TruncateStream, ///< A stream ends in the middle.
	Freeze,         ///< Takes the request and does not answer.
	Refuse,         ///< Answers that it did not begin.
	WrongAttempt,   ///< Answers under the id of another attempt.
	Unavailable     ///< Closes the connection without doing anything.
};

/// The fault in force, and how many more requests it is to hit.
class FaultInjector
{
public:
	/// Answers POST /fault.
	/// @returns Whether the request was one.
	bool handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);

	/// @returns The fault that this request is to suffer.
	FaultMode takeFault();

	/// @returns Milliseconds of the fault in force.
	[[nodiscard]] std::int64_t slowDelayMs() const;

private:
	/// @returns Empty on success, otherwise what is wrong with the body.
	std::string set(const std::string& _body);

	mutable std::mutex lock;
	FaultMode mode = FaultMode::None;
	std::int64_t slowMs = 0;
	std::int64_t remaining = 0; ///< Requests still to be hit; negative for all.
};

/// A stand-in: takes requests from its server until the process ends.
class Standin
{
public:
	virtual ~Standin() = default;
	virtual void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply) = 0;
};

/// Settings of a stand-in, all from flags.
struct StandinSettings
{
	std::string kind;
	std::string id;
	std::int64_t serviceMs = 5;          ///< Time of one call; for an engine the time to the first token.
	std::int64_t tokenMs = 1;            ///< Time between two tokens of an engine.
	std::int64_t slots = 8;              ///< Calls run at once.
	std::int64_t maxRecords = 0;         ///< Records that the log keeps, 0 for all.
	std::int64_t appendsPerSecond = 100; ///< Appends a second that the log takes.
};

std::unique_ptr<Standin> makeEndpointStandin(IoPool& _pool, const StandinSettings& _settings);
std::unique_ptr<Standin> makeLogStandin(IoPool& _pool, const StandinSettings& _settings);
std::unique_ptr<Standin> makeVmListStandin();

/// @returns A response with a JSON body.
HttpResponse jsonResponse(unsigned _status, const QJsonObject& _body);

} // namespace roadferry

#endif // ROADFERRY_STANDIN_H_HEADER_GUARD
