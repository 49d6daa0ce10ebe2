/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of tracing.

#include "trace.h"

#include "json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <QRandomGenerator>

#include <algorithm>
#include <chrono>

namespace roadferry
{

namespace
{

constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdLength = 16;
constexpr int kStatusError = 2; ///< STATUS_CODE_ERROR of OTLP.

std::string randomHex64()
{
	return absl::StrCat(absl::Hex(QRandomGenerator::global()->generate64(), absl::kZeroPad16));
}

/// @returns Whether a text is a valid id: lower-case hexadecimal digits that are not all zero.
bool isHex(const std::string& _text, std::size_t _length)
{
	const auto hex = [](char _character)
	{ return (_character >= '0' && _character <= '9') || (_character >= 'a' && _character <= 'f'); };
	const bool zero = std::all_of(_text.begin(), _text.end(), [](char _character) { return _character == '0'; });
	return _text.size() == _length && !zero && std::all_of(_text.begin(), _text.end(), hex);
}

QJsonObject attribute(const std::string& _key, const std::string& _value)
{
	return QJsonObject{{"key", QString::fromStdString(_key)},
					   {"value", QJsonObject{{"stringValue", QString::fromStdString(_value)}}}};
}

QJsonObject spanJson(const Span& _span)
{
	QJsonArray attributes;
	for (const auto& entry : _span.attributes)
	{
		attributes.append(attribute(entry.first, entry.second));
	}
	QJsonObject object{{"traceId", QString::fromStdString(_span.context.traceId)},
					   {"spanId", QString::fromStdString(_span.context.spanId)},
					   {"name", QString::fromStdString(_span.name)},
					   {"startTimeUnixNano", QString::number(_span.beginNs)},
					   {"endTimeUnixNano", QString::number(_span.endNs)},
					   {"attributes", attributes}};
	if (!_span.parentSpanId.empty())
	{
		object["parentSpanId"] = QString::fromStdString(_span.parentSpanId);
	}
	if (_span.failed)
	{
		object["status"] = QJsonObject{{"code", kStatusError}};
	}
	return object;
}

} // namespace

std::string TraceContext::toTraceparent() const
{
	return absl::StrCat("00-", this->traceId, "-", this->spanId, "-01");
}

TraceContext traceFromHeader(const std::string& _header)
{
	const std::vector<std::string> parts = absl::StrSplit(_header, '-');
	if (parts.size() == 4 && isHex(parts[1], kTraceIdLength) && isHex(parts[2], kSpanIdLength))
	{
		return TraceContext{parts[1], parts[2]};
	}
	return TraceContext{absl::StrCat(randomHex64(), randomHex64()), {}};
}

TraceContext childOf(const TraceContext& _parent)
{
	return TraceContext{_parent.traceId, randomHex64()};
}

std::int64_t wallNanoseconds()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

TraceWriter::TraceWriter(const std::string& _file, std::string _instanceId) : instanceId(std::move(_instanceId))
{
	if (!_file.empty())
	{
		this->file.open(_file, std::ios::app);
	}
}

void TraceWriter::write(const Span& _span)
{
	if (!this->file.is_open())
	{
		return;
	}
	const QJsonObject scope{{"scope", QJsonObject{{"name", "roadferry"}}}, {"spans", QJsonArray{spanJson(_span)}}};
	const QJsonObject resource{{"attributes", QJsonArray{attribute("service.name", "roadferryd"),
														 attribute("service.instance.id", this->instanceId)}}};
	const QJsonObject resourceSpans{{"resource", resource}, {"scopeSpans", QJsonArray{scope}}};
	const std::string line = toText(QJsonObject{{"resourceSpans", QJsonArray{resourceSpans}}});
	const std::lock_guard<std::mutex> guard(this->lock);
	this->file << line << std::endl;
}

} // namespace roadferry
