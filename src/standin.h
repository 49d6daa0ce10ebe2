/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-ins for external systems, for tests and the demo. Each stand-in runs in its own process. The stand-ins of
/// endpoints, the log and the VM list inject faults on request: POST /fault with {"mode", "ms", "count"}.

#ifndef ROADFERRY_STANDIN_H_HEADER_GUARD
#define ROADFERRY_STANDIN_H_HEADER_GUARD

#include "http_server.h"
#include "json.h"

#include <memory>
#include <mutex>

namespace roadferry
{

/// Fault that a stand-in injects.
enum class FaultMode
{
	None,
	Slow,           ///< Delays the response.
	DropResponse,   ///< Executes the request and closes the connection without a response.
	TruncateStream, ///< Closes the connection in the middle of a stream.
	Freeze,         ///< Holds responses back until the next POST /fault; the VM list serves its previous state.
	Refuse,         ///< Responds that the request was not started.
	WrongAttempt,   ///< Responds with the id of another attempt.
	Unavailable     ///< Closes the connection without executing the request.
};

/// The active fault and the number of requests that it still affects. Thread-safe.
class FaultInjector
{
public:
	/// Serves requests for /fault.
	/// @returns Whether the request was for /fault.
	bool handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply);

	/// Counts one request against the active fault.
	/// @returns The fault to inject into this request.
	FaultMode takeFault();

	/// @returns Delay of FaultMode::Slow, in milliseconds.
	[[nodiscard]] std::int64_t slowDelayMs() const;

private:
	/// Activates the fault that a request body describes.
	/// @returns Empty on success, otherwise an error message.
	std::string set(const std::string& _body);

	mutable std::mutex lock;
	FaultMode mode = FaultMode::None;
	std::int64_t slowMs = 0;
	std::int64_t remaining = 0; ///< Requests still to be affected; negative for all.
};

/// A stand-in, which serves HTTP requests.
class Standin
{
public:
	virtual ~Standin() = default;
	virtual void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply) = 0;
};

/// Settings of a stand-in, from flags.
struct StandinSettings
{
	std::string kind;
	std::string id;
	std::int64_t serviceMs = 5;          ///< Duration of a call; for an engine, the time to the first token.
	std::int64_t tokenMs = 1;            ///< Time between two tokens of an engine.
	std::int64_t slots = 8;              ///< Maximum number of calls that run in parallel.
	std::int64_t maxRecords = 0;         ///< Records that the log retains; 0 for all.
	std::int64_t appendsPerSecond = 100; ///< Rate limit of the log.
};

std::unique_ptr<Standin> makeEndpointStandin(IoPool& _pool, const StandinSettings& _settings);
std::unique_ptr<Standin> makeLogStandin(IoPool& _pool, const StandinSettings& _settings);
std::unique_ptr<Standin> makeVmListStandin();

/// @returns A response with a JSON body.
HttpResponse jsonResponse(unsigned _status, const QJsonObject& _body);

} // namespace roadferry

#endif // ROADFERRY_STANDIN_H_HEADER_GUARD
