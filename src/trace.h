/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Spans of requests, with W3C trace context, written as OTLP JSON.

#ifndef ROADFERRY_TRACE_H_HEADER_GUARD
#define ROADFERRY_TRACE_H_HEADER_GUARD

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace roadferry
{

/// Identity of a trace and of the span that is the parent of what comes next.
struct TraceContext
{
	std::string traceId; ///< 32 hexadecimal digits.
	std::string spanId;  ///< 16 hexadecimal digits.

	bool operator==(const TraceContext&) const = default;

	/// @returns Value of the header traceparent.
	[[nodiscard]] std::string toTraceparent() const;
};

/// @returns The context of a traceparent header, or a new trace when the header is missing or malformed.
TraceContext traceFromHeader(const std::string& _header);

/// @returns A context of the same trace with a new span.
TraceContext childOf(const TraceContext& _parent);

/// One hop of a request.
struct Span
{
	TraceContext context;
	std::string parentSpanId;
	std::string name;
	std::int64_t beginNs = 0; ///< Wall clock, nanoseconds since 1970.
	std::int64_t endNs = 0;
	bool failed = false;
	std::map<std::string, std::string> attributes;
};

/// @returns Wall clock in nanoseconds since 1970.
std::int64_t wallNanoseconds();

/// Appends spans to a file. Safe to call from any thread; does nothing when no file was given.
class TraceWriter
{
public:
	TraceWriter(const std::string& _file, std::string _instanceId);

	void write(const Span& _span);

private:
	std::mutex lock;
	std::ofstream file;
	std::string instanceId;
};

} // namespace roadferry

#endif // ROADFERRY_TRACE_H_HEADER_GUARD
