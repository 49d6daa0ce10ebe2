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
constexpr std::int64_t kGossipKinds = 4;
constexpr std::int64_t kMemberStates = 4;
constexpr std::int64_t kVerdicts = 3;
constexpr std::int64_t kReasons = 18;

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

	QCborValue value(const char* _name)
	{
		return this->map.value(QLatin1String(_name));
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
		const QCborArray array = value.toArray();
		for (const QCborValue element : array)
		{
			result.push_back(element.toString().toStdString());
		}
		return result;
	}

	bool boolean(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isBool())
		{
			this->fault(_name, "true or false");
		}
		return value.toBool();
	}

	/// A list of lists of a certain length.
	std::vector<QCborArray> arrays(const char* _name, qsizetype _length)
	{
		std::vector<QCborArray> result;
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->fault(_name, "a list of lists");
		}
		const QCborArray outer = value.toArray();
		for (const QCborValue element : outer)
		{
			const QCborArray inner = element.toArray();
			if (inner.size() != _length)
			{
				this->fault(_name, "a list of lists of the right length");
				return {};
			}
			result.push_back(inner);
		}
		return result;
	}

	std::map<std::string, std::int64_t> numbers(const char* _name)
	{
		std::map<std::string, std::int64_t> result;
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isMap())
		{
			this->fault(_name, "a map of whole numbers");
		}
		const QCborMap inner = value.toMap();
		for (const auto entry : inner)
		{
			result[entry.first.toString().toStdString()] = entry.second.toInteger();
		}
		return result;
	}

	/// A number that stands for one of an enumeration's values.
	std::int64_t below(const QCborValue& _value, std::int64_t _limit, const char* _name)
	{
		const std::int64_t number = _value.toInteger(-1);
		if (number < 0 || number >= _limit)
		{
			this->fault(_name, "a known value");
			return 0;
		}
		return number;
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

QCborMap toCbor(const Farewell& _message)
{
	QCborArray ended;
	for (const auto& entry : _message.ended)
	{
		const Outcome& outcome = entry.second;
		ended.append(QCborArray{static_cast<qint64>(entry.first), static_cast<qint64>(outcome.verdict),
								static_cast<qint64>(outcome.reason), outcome.repeatSafe});
	}
	return QCborMap{{"type", "farewell"},
					{"node", text(_message.issuer.node)},
					{"incarnation", static_cast<qint64>(_message.issuer.number)},
					{"forgotten", static_cast<qint64>(_message.forgottenUpTo)},
					{"ended", ended}};
}

QCborMap toCbor(const Gossip& _message)
{
	QCborArray news;
	for (const Member& member : _message.news)
	{
		news.append(QCborArray{text(member.address), static_cast<qint64>(member.version),
							   static_cast<qint64>(member.state), static_cast<qint64>(member.tableOffset)});
	}
	return QCborMap{{"type", "gossip"},
					{"kind", static_cast<qint64>(_message.kind)},
					{"sequence", static_cast<qint64>(_message.sequence)},
					{"target", text(_message.target)},
					{"news", news}};
}

QCborMap toCbor(const std::map<std::string, std::int64_t>& _numbers)
{
	QCborMap map;
	for (const auto& entry : _numbers)
	{
		map.insert(text(entry.first), static_cast<qint64>(entry.second));
	}
	return map;
}

QCborMap toCbor(const DemandReport& _message)
{
	return QCborMap{{"type", "demand"}, {"fallback", _message.fallback}, {"demand", toCbor(_message.demand)}};
}

QCborMap toCbor(const ShareGrant& _message)
{
	return QCborMap{{"type", "shares"}, {"shares", toCbor(_message.shares)}};
}

Farewell readFarewell(CborReader& _reader)
{
	Farewell message;
	message.issuer = Incarnation{_reader.text("node"), _reader.natural("incarnation")};
	message.forgottenUpTo = _reader.natural("forgotten");
	for (const QCborArray& entry : _reader.arrays("ended", 4))
	{
		Outcome outcome;
		outcome.verdict = static_cast<Verdict>(_reader.below(entry.at(1), kVerdicts, "ended"));
		outcome.reason = static_cast<Reason>(_reader.below(entry.at(2), kReasons, "ended"));
		outcome.repeatSafe = entry.at(3).toBool();
		message.ended.emplace(static_cast<std::uint64_t>(entry.at(0).toInteger()), outcome);
	}
	return message;
}

Gossip readGossip(CborReader& _reader)
{
	Gossip message;
	message.kind = static_cast<GossipKind>(_reader.below(_reader.value("kind"), kGossipKinds, "kind"));
	message.sequence = _reader.natural("sequence");
	message.target = _reader.text("target");
	for (const QCborArray& entry : _reader.arrays("news", 4))
	{
		Member member;
		member.address = entry.at(0).toString().toStdString();
		member.version = static_cast<std::uint64_t>(entry.at(1).toInteger());
		member.state = static_cast<MemberState>(_reader.below(entry.at(2), kMemberStates, "news"));
		member.tableOffset = static_cast<std::uint64_t>(entry.at(3).toInteger());
		message.news.push_back(member);
	}
	return message;
}

PeerMessage readMessage(CborReader& _reader, const std::string& _type)
{
	if (_type == "relay_request")
	{
		RelayRequest message;
		message.relay = _reader.natural("relay");
		message.kind = static_cast<RelayKind>(_reader.below(_reader.value("kind"), kRelayKinds, "kind"));
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
	if (_type == "farewell")
	{
		return readFarewell(_reader);
	}
	if (_type == "gossip")
	{
		return readGossip(_reader);
	}
	if (_type == "demand")
	{
		return DemandReport{_reader.boolean("fallback"), _reader.numbers("demand")};
	}
	if (_type == "shares")
	{
		return ShareGrant{_reader.numbers("shares")};
	}
	_reader.fault(kTypeField, "one that this version knows");
	return TableAsk{};
}

} // namespace

std::string encode(const PeerMessage& _message)
{
	const QCborMap map = std::visit([](const auto& _typed) { return toCbor(_typed); }, _message);
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
