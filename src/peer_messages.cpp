/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR form of the messages between nodes.

#include "peer_messages.h"

#include <absl/strings/str_cat.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

namespace roadferry
{

namespace
{

constexpr const char* kTypeField = "type";
constexpr std::int64_t kRelayKinds = 3;

QString text(const std::string& _text)
{
	return QString::fromStdString(_text);
}

/// Reads fields; the first fault is kept.
class CborReader
{
public:
	explicit CborReader(const QCborMap& _map) : map(_map)
	{
	}

	std::string text(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isString())
		{
			this->fault(_name, "a text");
		}
		return value.toString().toStdString();
	}

	/// Bodies travel as bytes: they need not be valid UTF-8.
	std::string bytes(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isByteArray())
		{
			this->fault(_name, "bytes");
		}
		return value.toByteArray().toStdString();
	}

	std::int64_t integer(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isInteger())
		{
			this->fault(_name, "a whole number");
		}
		return value.toInteger();
	}

	std::uint64_t natural(const char* _name)
	{
		return static_cast<std::uint64_t>(this->integer(_name));
	}

	std::vector<std::string> texts(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->fault(_name, "a list of texts");
		}
		std::vector<std::string> result;
		for (const QCborValue& element : value.toArray())
		{
			result.push_back(element.toString().toStdString());
		}
		return result;
	}

	void fault(const char* _name, const char* _limit)
	{
		if (this->status.ok())
		{
			this->status = absl::InvalidArgumentError(absl::StrCat("peer message: ", _name, ": must be ", _limit));
		}
	}

	absl::Status status;

private:
	const QCborMap& map;
};

QCborMap toCbor(const RelayRequest& _message)
{
	return QCborMap{{"type", "relay_request"},
					{"relay", static_cast<qint64>(_message.relay)},
					{"kind", static_cast<qint64>(_message.kind)},
					{"ticket", text(_message.ticket)},
					{"workspace", text(_message.workspace)},
					{"pipeline", text(_message.pipeline)},
					{"body", QByteArray::fromStdString(_message.body)},
					{"trace", text(_message.trace)}};
}

QCborMap toCbor(const RelayToken& _message)
{
	return QCborMap{{"type", "relay_token"},
					{"relay", static_cast<qint64>(_message.relay)},
					{"position", static_cast<qint64>(_message.position)},
					{"text", text(_message.text)}};
}

QCborMap toCbor(const RelayResult& _message)
{
	return QCborMap{{"type", "relay_result"},
					{"relay", static_cast<qint64>(_message.relay)},
					{"status", static_cast<qint64>(_message.status)},
					{"retry_after", static_cast<qint64>(_message.retryAfter)},
					{"json", QByteArray::fromStdString(_message.json)}};
}

QCborMap toCbor(const TableAsk& _message)
{
	return QCborMap{{"type", "table_ask"}, {"offset", static_cast<qint64>(_message.offset)}};
}

QCborMap toCbor(const TableGive& _message)
{
	return QCborMap{{"type", "table_give"}, {"snapshot", QByteArray::fromStdString(_message.snapshot)}};
}

QCborMap toCbor(const LeavingWord& _message)
{
	QCborArray endpoints;
	for (const std::string& endpoint : _message.endpoints)
	{
		endpoints.append(text(endpoint));
	}
	return QCborMap{{"type", "leaving"}, {"endpoints", endpoints}};
}

RelayKind readKind(CborReader& _reader)
{
	const std::int64_t kind = _reader.integer("kind");
	if (kind < 0 || kind >= kRelayKinds)
	{
		_reader.fault("kind", "0, 1 or 2");
		return RelayKind::Look;
	}
	return static_cast<RelayKind>(kind);
}

PeerMessage readMessage(CborReader& _reader, const std::string& _type)
{
	if (_type == "relay_request")
	{
		RelayRequest message;
		message.relay = _reader.natural("relay");
		message.kind = readKind(_reader);
		message.ticket = _reader.text("ticket");
		message.workspace = _reader.text("workspace");
		message.pipeline = _reader.text("pipeline");
		message.body = _reader.bytes("body");
		message.trace = _reader.text("trace");
		return message;
	}
	if (_type == "relay_token")
	{
		return RelayToken{_reader.natural("relay"), _reader.integer("position"), _reader.text("text")};
	}
	if (_type == "relay_result")
	{
		return RelayResult{_reader.natural("relay"), _reader.integer("status"), _reader.integer("retry_after"),
						   _reader.bytes("json")};
	}
	if (_type == "table_ask")
	{
		return TableAsk{_reader.natural("offset")};
	}
	if (_type == "table_give")
	{
		return TableGive{_reader.bytes("snapshot")};
	}
	if (_type == "leaving")
	{
		return LeavingWord{_reader.texts("endpoints")};
	}
	_reader.fault(kTypeField, "one that this version knows");
	return TableAsk{};
}

} // namespace

std::string encode(const PeerMessage& _message)
{
	const QCborMap map = std::visit(
		[](const auto& _typed)
		{
			return toCbor(_typed);
		},
		_message);
	return QCborValue(map).toCbor().toStdString();
}

absl::StatusOr<PeerMessage> decode(const std::string& _bytes)
{
	QCborParserError error;
	const QCborValue value = QCborValue::fromCbor(QByteArray::fromStdString(_bytes), &error);
	if (error.error != QCborError::NoError || !value.isMap())
	{
		return absl::InvalidArgumentError(absl::StrCat("peer message: not a CBOR map, at byte ", error.offset));
	}
	const QCborMap map = value.toMap();
	CborReader reader(map);
	PeerMessage message = readMessage(reader, reader.text(kTypeField));
	if (!reader.status.ok())
	{
		return reader.status;
	}
	return message;
}

} // namespace roadferry
