/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR form of the messages between nodes.

#include "peer_messages.h"
#include "cbor_reader.h"
#include "piece_messages.h"

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
constexpr qsizetype kEndpointFields = 9;

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
	return QCborMap{{"type", "leaving"}, {"endpoints", textArray(_message.endpoints)}};
}

QCborMap toCbor(const ShutdownReport& _message)
{
	QCborArray ended;
	for (const auto& entry : _message.outcomes)
	{
		const Outcome& outcome = entry.second;
		ended.append(QCborArray{static_cast<qint64>(entry.first), static_cast<qint64>(outcome.verdict),
								static_cast<qint64>(outcome.reason), outcome.repeatSafe});
	}
	return QCborMap{{"type", "farewell"},
					{"node", text(_message.issuer.node)},
					{"incarnation", static_cast<qint64>(_message.issuer.number)},
					{"forgotten", static_cast<qint64>(_message.expiredUpTo)},
					{"ended", ended}};
}

QCborMap toCbor(const Gossip& _message)
{
	QCborArray news;
	for (const Member& member : _message.updates)
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

QCborMap toCbor(const RoutesAsk& _message)
{
	return QCborMap{
		{"type", "routes_ask"}, {"version", static_cast<qint64>(_message.version)}, {"endpoints", _message.endpoints}};
}

QCborArray toCbor(const std::vector<ListedEndpoint>& _entries)
{
	QCborArray array;
	for (const ListedEndpoint& entry : _entries)
	{
		const Endpoint& endpoint = entry.endpoint;
		array.append(QCborArray{text(entry.name), static_cast<qint64>(entry.position), text(endpoint.id),
								text(endpoint.address), text(endpoint.pool), text(endpoint.failureDomain),
								static_cast<qint64>(endpoint.slots), endpoint.leaving,
								static_cast<qint64>(entry.startedAt)});
	}
	return array;
}

std::vector<ListedEndpoint> readEndpoints(CborReader& _reader, const char* _name)
{
	std::vector<ListedEndpoint> entries;
	for (const QCborArray& fields : _reader.arrays(_name, kEndpointFields))
	{
		ListedEndpoint entry;
		entry.name = fields.at(0).toString().toStdString();
		entry.position = static_cast<std::uint64_t>(fields.at(1).toInteger());
		entry.endpoint = Endpoint{fields.at(2).toString().toStdString(),
								  fields.at(3).toString().toStdString(),
								  fields.at(4).toString().toStdString(),
								  fields.at(5).toString().toStdString(),
								  fields.at(6).toInteger(),
								  fields.at(7).toBool()};
		entry.startedAt = fields.at(8).toInteger();
		entries.push_back(std::move(entry));
	}
	return entries;
}

QCborMap toCbor(const RoutesGive& _message)
{
	return QCborMap{{"type", "routes_give"},
					{"record", QByteArray::fromStdString(_message.record)},
					{"endpoints", toCbor(_message.endpoints)},
					{"leaving", textArray(_message.leaving)}};
}

QCborMap toCbor(const FeedRequest& _message)
{
	return QCborMap{{"type", "feed_ask"},
					{"version", static_cast<qint64>(_message.version)},
					{"source", static_cast<qint64>(_message.directoryId)},
					{"revision", static_cast<qint64>(_message.revision)},
					{"sent_at", static_cast<qint64>(_message.sentAt)}};
}

QCborMap toCbor(const FeedResponse& _message)
{
	QCborMap map{{"type", "feed_news"},
				 {"record", QByteArray::fromStdString(_message.record)},
				 {"source", static_cast<qint64>(_message.directoryId)},
				 {"version", static_cast<qint64>(_message.version)},
				 {"answers", static_cast<qint64>(_message.requestSentAt)},
				 {"revision", static_cast<qint64>(_message.endpoints.revision)},
				 {"position", static_cast<qint64>(_message.endpoints.position)},
				 {"whole", _message.endpoints.isSnapshot},
				 {"listed", toCbor(_message.endpoints.listed)},
				 {"unlisted", textArray(_message.endpoints.unlisted)}};
	if (_message.age)
	{
		map.insert(QStringLiteral("age"), static_cast<qint64>(*_message.age));
	}
	return map;
}

FeedResponse readFeedNews(CborReader& _reader)
{
	FeedResponse message;
	message.record = _reader.bytes("record");
	message.directoryId = _reader.natural("source");
	message.version = _reader.natural("version");
	message.requestSentAt = _reader.integer("answers");
	message.endpoints.revision = _reader.natural("revision");
	message.endpoints.position = _reader.natural("position");
	message.endpoints.isSnapshot = _reader.boolean("whole");
	message.endpoints.listed = readEndpoints(_reader, "listed");
	message.endpoints.unlisted = _reader.texts("unlisted");
	if (!_reader.value("age").isUndefined())
	{
		message.age = _reader.integer("age");
	}
	return message;
}

RoutesGive readRoutesGive(CborReader& _reader)
{
	RoutesGive message;
	message.record = _reader.bytes("record");
	message.endpoints = readEndpoints(_reader, "endpoints");
	message.leaving = _reader.texts("leaving");
	return message;
}

ShutdownReport readFarewell(CborReader& _reader)
{
	ShutdownReport message;
	message.issuer = Incarnation{_reader.text("node"), _reader.natural("incarnation")};
	message.expiredUpTo = _reader.natural("forgotten");
	for (const QCborArray& entry : _reader.arrays("ended", 4))
	{
		Outcome outcome;
		outcome.verdict = static_cast<Verdict>(_reader.below(entry.at(1), kVerdicts, "ended"));
		outcome.reason = static_cast<Reason>(_reader.below(entry.at(2), kReasons, "ended"));
		outcome.repeatSafe = entry.at(3).toBool();
		message.outcomes.emplace(static_cast<std::uint64_t>(entry.at(0).toInteger()), outcome);
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
		message.updates.push_back(member);
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
	if (_type == "routes_ask")
	{
		return RoutesAsk{_reader.natural("version"), _reader.boolean("endpoints")};
	}
	if (_type == "routes_give")
	{
		return readRoutesGive(_reader);
	}
	if (_type == "feed_ask")
	{
		return FeedRequest{_reader.natural("version"), _reader.natural("source"), _reader.natural("revision"),
						   _reader.integer("sent_at")};
	}
	if (_type == "feed_news")
	{
		return readFeedNews(_reader);
	}
	if (_type == "piece_ask")
	{
		return readPieceSubmit(_reader);
	}
	if (_type == "piece_give")
	{
		return readPieceUpdate(_reader);
	}
	if (_type == "piece_drop")
	{
		return PieceCancel{_reader.naturals("orders")};
	}
	if (_type == "piece_free")
	{
		return PieceFree{_reader.texts("handles")};
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
