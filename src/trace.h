/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Distributed tracing: W3C trace context, and spans written as OTLP JSON.

#ifndef ROADFERRY_TRACE_H_HEADER_GUARD
#define ROADFERRY_TRACE_H_HEADER_GUARD

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace roadferry
{

/// Ids of a trace and of its current span, which is the parent of the next ones.
struct TraceContext
{
	std::string traceId; ///< 32 hexadecimal digits.
	std::string spanId;  ///< 16 hexadecimal digits.

	bool operator==(const TraceContext&) const = default;

	/// @returns Value of the traceparent header.
	[[nodiscard]] std::string toTraceparent() const;
};

/// @returns The context of a traceparent header, or a new trace without a span when the header is missing or malformed.
TraceContext traceFromHeader(const std::string& _header);

/// @returns A context with the same trace and a new span id.
TraceContext childOf(const TraceContext& _parent);

/// One hop of a request.
struct Span
{
	TraceContext context;
	std::string parentSpanId;
	std::string name;
	std::int64_t beginNs = 0; ///< Wall-clock time, in nanoseconds since 1970.
	std::int64_t endNs = 0;
	bool failed = false;
	std::map<std::string, std::string> attributes;
};

/// @returns Wall-clock time, in nanoseconds since 1970.
std::int64_t wallNanoseconds();

/// Appends spans to a file, one JSON object per line. Thread-safe.
class TraceWriter
{
public:
	/// @param[in] _file Path of the file; empty to discard all spans.
	/// @param[in] _instanceId Value of the resource attribute service.instance.id.
	TraceWriter(const std::string& _file, std::string _instanceId);

	void write(const Span& _span);

private:
	std::mutex lock;
	std::ofstream file;
	std::string instanceId;
};

} // namespace roadferry

#endif // ROADFERRY_TRACE_H_HEADER_GUARD
