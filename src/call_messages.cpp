/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about calls that one node makes for another.

#include "call_messages.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

namespace
{

constexpr qsizetype kHeaderFieldCount = 2;
constexpr std::int64_t kCallResultCount = 3;
constexpr std::int64_t kProbeResultCount = 3;

/// Header values are byte strings, since they need not be valid UTF-8.
QCborArray headersToCbor(const HttpHeaders& _headers)
{
	QCborArray array;
	for (const auto& header : _headers)
	{
		array.append(QCborArray{QByteArray::fromStdString(header.first), QByteArray::fromStdString(header.second)});
	}
	return array;
}

HttpHeaders readHeaders(CborReader& _reader)
{
	HttpHeaders headers;
	for (const QCborArray& fields : _reader.arrays("headers", kHeaderFieldCount))
	{
		headers.emplace_back(fields.at(0).toByteArray().toStdString(), fields.at(1).toByteArray().toStdString());
	}
	return headers;
}

RelayedCallStart readRelayedCallStart(CborReader& _reader)
{
	RelayedCallStart message;
	message.call = _reader.unsignedInteger("call");
	message.subject = _reader.text("subject");
	message.endpoint = _reader.text("endpoint");
	message.timeout = _reader.integer("timeout");
	message.detectDeadConnection = _reader.boolean("detect_dead");
	message.method = _reader.text("method");
	message.target = _reader.bytes("target");
	message.headers = readHeaders(_reader);
	message.bodyBytes = _reader.unsignedInteger("body_bytes");
	return message;
}

RelayedCallBody readRelayedCallBody(CborReader& _reader)
{
	return RelayedCallBody{_reader.unsignedInteger("call"), _reader.bytes("bytes")};
}

/// @returns The status, or 0, which is not valid, if it is negative or has more than three digits.
unsigned readStatus(CborReader& _reader)
{
	constexpr std::int64_t kMaxStatus = 999;
	const std::int64_t status = _reader.integer("status");
	return status >= 0 && status <= kMaxStatus ? static_cast<unsigned>(status) : 0;
}

RelayedCallHead readRelayedCallHead(CborReader& _reader)
{
	return RelayedCallHead{_reader.unsignedInteger("call"), readStatus(_reader), readHeaders(_reader)};
}

RelayedCallData readRelayedCallData(CborReader& _reader)
{
	return RelayedCallData{_reader.unsignedInteger("call"), _reader.unsignedInteger("offset"), _reader.bytes("bytes")};
}

RelayedCallEnd readRelayedCallEnd(CborReader& _reader)
{
	RelayedCallEnd message;
	message.call = _reader.unsignedInteger("call");
	message.result = static_cast<CallResult>(_reader.enumValue(_reader.value("result"), kCallResultCount, "result"));
	message.cutOff = _reader.boolean("cut_off");
	message.bodyBytes = _reader.unsignedInteger("body_bytes");
	message.connectionLost = _reader.boolean("connection_lost");
	message.endsWithConnection = _reader.boolean("ends_with_connection");
	message.error = _reader.text("error");
	return message;
}

EndpointProbeAnswer readEndpointProbeAnswer(CborReader& _reader)
{
	return EndpointProbeAnswer{
		_reader.unsignedInteger("probe"),
		static_cast<ProbeResult>(_reader.enumValue(_reader.value("result"), kProbeResultCount, "result"))};
}

QCborMap toCbor(const RelayedCallStart& _message)
{
	return QCborMap{{"type", "call_start"},
					{"call", static_cast<qint64>(_message.call)},
					{"subject", toQString(_message.subject)},
					{"endpoint", toQString(_message.endpoint)},
					{"timeout", static_cast<qint64>(_message.timeout)},
					{"detect_dead", _message.detectDeadConnection},
					{"method", toQString(_message.method)},
					{"target", QByteArray::fromStdString(_message.target)},
					{"headers", headersToCbor(_message.headers)},
					{"body_bytes", static_cast<qint64>(_message.bodyBytes)}};
}

QCborMap toCbor(const RelayedCallBody& _message)
{
	return QCborMap{{"type", "call_body"},
					{"call", static_cast<qint64>(_message.call)},
					{"bytes", QByteArray::fromStdString(_message.bytes)}};
}

QCborMap toCbor(const RelayedCallCancel& _message)
{
	return QCborMap{{"type", "call_cancel"}, {"call", static_cast<qint64>(_message.call)}};
}

QCborMap toCbor(const RelayedCallConnected& _message)
{
	return QCborMap{{"type", "call_connected"}, {"call", static_cast<qint64>(_message.call)}};
}

QCborMap toCbor(const RelayedCallHead& _message)
{
	return QCborMap{{"type", "call_head"},
					{"call", static_cast<qint64>(_message.call)},
					{"status", static_cast<qint64>(_message.status)},
					{"headers", headersToCbor(_message.headers)}};
}

QCborMap toCbor(const RelayedCallData& _message)
{
	return QCborMap{{"type", "call_data"},
					{"call", static_cast<qint64>(_message.call)},
					{"offset", static_cast<qint64>(_message.offset)},
					{"bytes", QByteArray::fromStdString(_message.bytes)}};
}

QCborMap toCbor(const RelayedCallEnd& _message)
{
	return QCborMap{{"type", "call_end"},
					{"call", static_cast<qint64>(_message.call)},
					{"result", static_cast<qint64>(_message.result)},
					{"cut_off", _message.cutOff},
					{"body_bytes", static_cast<qint64>(_message.bodyBytes)},
					{"connection_lost", _message.connectionLost},
					{"ends_with_connection", _message.endsWithConnection},
					{"error", toQString(_message.error)}};
}

QCborMap toCbor(const EndpointProbeRequest& _message)
{
	return QCborMap{{"type", "endpoint_probe"},
					{"probe", static_cast<qint64>(_message.probe)},
					{"endpoint", toQString(_message.endpoint)}};
}

QCborMap toCbor(const EndpointProbeAnswer& _message)
{
	return QCborMap{{"type", "endpoint_probed"},
					{"probe", static_cast<qint64>(_message.probe)},
					{"result", static_cast<qint64>(_message.result)}};
}

} // namespace

bool isAnswer(const CallMessage& _message)
{
	return std::visit(Overloaded{[](const RelayedCallStart&) { return false; },
								 [](const RelayedCallBody&) { return false; },
								 [](const RelayedCallCancel&) { return false; },
								 [](const EndpointProbeRequest&) { return false; }, [](const auto&) { return true; }},
					  _message);
}

QCborMap toCbor(const CallMessage& _message)
{
	return std::visit([](const auto& _typed) { return toCbor(_typed); }, _message);
}

std::optional<CallMessage> readCallMessage(CborReader& _reader, const std::string& _type)
{
	if (_type == "call_start")
	{
		return readRelayedCallStart(_reader);
	}
	if (_type == "call_body")
	{
		return readRelayedCallBody(_reader);
	}
	if (_type == "call_cancel")
	{
		return RelayedCallCancel{_reader.unsignedInteger("call")};
	}
	if (_type == "call_connected")
	{
		return RelayedCallConnected{_reader.unsignedInteger("call")};
	}
	if (_type == "call_head")
	{
		return readRelayedCallHead(_reader);
	}
	if (_type == "call_data")
	{
		return readRelayedCallData(_reader);
	}
	if (_type == "call_end")
	{
		return readRelayedCallEnd(_reader);
	}
	if (_type == "endpoint_probe")
	{
		return EndpointProbeRequest{_reader.unsignedInteger("probe"), _reader.text("endpoint")};
	}
	if (_type == "endpoint_probed")
	{
		return readEndpointProbeAnswer(_reader);
	}
	return std::nullopt;
}

} // namespace roadferry
