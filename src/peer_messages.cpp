/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages between nodes.

#include "peer_messages.h"
#include "cbor_reader.h"
#include "listing_limits.h"
#include "origin_messages.h"
#include "part_messages.h"
#include "piece_messages.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

namespace roadferry
{

namespace
{

constexpr const char* kTypeField = "type";
constexpr std::int64_t kRelayKindCount = 3;
constexpr std::int64_t kGossipKindCount = 4;
constexpr std::int64_t kMemberStateCount = 4;
constexpr std::int64_t kVerdictCount = 3;
constexpr std::int64_t kReasonCount = 18;
constexpr qsizetype kEndpointFieldCount = 9;
constexpr qsizetype kCrashFieldCount = 5;
constexpr std::int64_t kMaxAgreeingRuns = 1'000;
constexpr std::int64_t kMaxToldStreams = 1'000'000'000; ///< More than a node sees in its memory of them.
constexpr Micros kMaxStreamEndLife = Micros{30} * 24 * 3'600 * kSecond; ///< Longer than any client's time limit.

QCborMap toCbor(const RelayRequest& _message)
{
	return QCborMap{{"type", "relay_request"},
					{"relay", static_cast<qint64>(_message.relayId)},
					{"kind", static_cast<qint64>(_message.kind)},
					{"ticket", toQString(_message.ticket)},
					{"workspace", toQString(_message.workspace)},
					{"pipeline", toQString(_message.pipeline)},
					{"body", QByteArray::fromStdString(_message.body)},
					{"trace", toQString(_message.trace)}};
}

QCborMap toCbor(const RelayToken& _message)
{
	return QCborMap{{"type", "relay_token"},
					{"relay", static_cast<qint64>(_message.relayId)},
					{"position", static_cast<qint64>(_message.position)},
					{"text", toQString(_message.text)}};
}

QCborMap toCbor(const RelayResult& _message)
{
	return QCborMap{{"type", "relay_result"},
					{"relay", static_cast<qint64>(_message.relayId)},
					{"status", static_cast<qint64>(_message.status)},
					{"retry_after", static_cast<qint64>(_message.retryAfter)},
					{"json", QByteArray::fromStdString(_message.json)}};
}

QCborMap toCbor(const TableRequest& _message)
{
	return QCborMap{{"type", "table_ask"}, {"offset", static_cast<qint64>(_message.offset)}};
}

QCborMap toCbor(const TableResponse& _message)
{
	return QCborMap{{"type", "table_give"}, {"snapshot", QByteArray::fromStdString(_message.snapshot)}};
}

QCborMap toCbor(const LeavingNotice& _message)
{
	return QCborMap{{"type", "leaving"}, {"endpoints", toCborArray(_message.endpoints)}};
}

QCborMap toCbor(const ShutdownReport& _message)
{
	QCborArray outcomes;
	for (const auto& entry : _message.outcomes)
	{
		const Outcome& outcome = entry.second;
		outcomes.append(QCborArray{static_cast<qint64>(entry.first), static_cast<qint64>(outcome.verdict),
								   static_cast<qint64>(outcome.reason), outcome.repeatSafe});
	}
	return QCborMap{{"type", "farewell"},
					{"node", toQString(_message.issuer.node)},
					{"incarnation", static_cast<qint64>(_message.issuer.number)},
					{"forgotten", static_cast<qint64>(_message.expiredUpTo)},
					{"ended", outcomes}};
}

QCborMap toCbor(const Gossip& _message)
{
	QCborArray updates;
	QCborArray relays;
	QCborMap processors;
	for (const Member& member : _message.updates)
	{
		if (member.relaysCalls)
		{
			relays.append(toQString(member.address));
		}
		processors.insert(toQString(member.address), static_cast<qint64>(member.processorPercent));
		updates.append(QCborArray{toQString(member.address), static_cast<qint64>(member.version),
								  static_cast<qint64>(member.state), static_cast<qint64>(member.tableOffset)});
	}
	return QCborMap{{"type", "gossip"},
					{"kind", static_cast<qint64>(_message.kind)},
					{"sequence", static_cast<qint64>(_message.sequence)},
					{"target", toQString(_message.target)},
					{"news", updates},
					{"processors", processors},
					{"relays", relays}};
}

QCborMap toCbor(const std::map<std::string, std::int64_t>& _numbers)
{
	QCborMap map;
	for (const auto& entry : _numbers)
	{
		map.insert(toQString(entry.first), static_cast<qint64>(entry.second));
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

QCborMap toCbor(const RoutesRequest& _message)
{
	return QCborMap{{"type", "routes_ask"},
					{"version", static_cast<qint64>(_message.version)},
					{"endpoints", _message.needsEndpoints}};
}

QCborArray toCbor(const std::vector<ListedEndpoint>& _entries)
{
	QCborArray array;
	for (const ListedEndpoint& entry : _entries)
	{
		const Endpoint& endpoint = entry.endpoint;
		array.append(QCborArray{toQString(entry.name), static_cast<qint64>(entry.position), toQString(endpoint.id),
								toQString(endpoint.address), toQString(endpoint.pool),
								toQString(endpoint.failureDomain), static_cast<qint64>(endpoint.slots),
								endpoint.leaving, static_cast<qint64>(entry.startedAt)});
	}
	return array;
}

/// @returns Software version by entry name, of the endpoints whose version is known.
QCborMap softwareToCbor(const std::vector<ListedEndpoint>& _entries)
{
	QCborMap map;
	for (const ListedEndpoint& entry : _entries)
	{
		if (!entry.endpoint.softwareVersion.empty())
		{
			map.insert(toQString(entry.name), toQString(entry.endpoint.softwareVersion));
		}
	}
	return map;
}

void readSoftware(CborReader& _reader, std::vector<ListedEndpoint>& _entries)
{
	const QCborMap versions = _reader.value("software").toMap(); // Nodes of an earlier version do not send it.
	for (ListedEndpoint& entry : _entries)
	{
		entry.endpoint.softwareVersion = versions.value(toQString(entry.name)).toString().toStdString();
	}
}

std::vector<ListedEndpoint> readEndpoints(CborReader& _reader, const char* _name)
{
	std::vector<ListedEndpoint> entries;
	for (const QCborArray& fields : _reader.arrays(_name, kEndpointFieldCount))
	{
		ListedEndpoint entry;
		entry.name = fields.at(0).toString().toStdString();
		entry.position = static_cast<std::uint64_t>(fields.at(1).toInteger());
		entry.endpoint = Endpoint{fields.at(2).toString().toStdString(),
								  fields.at(3).toString().toStdString(),
								  fields.at(4).toString().toStdString(),
								  fields.at(5).toString().toStdString(),
								  fields.at(6).toInteger(),
								  fields.at(7).toBool(),
								  {}};
		entry.startedAt = fields.at(8).toInteger();
		if (entry.endpoint.slots >= 1 && entry.endpoint.slots <= kMaxEndpointSlots)
		{
			entries.push_back(std::move(entry)); // Nodes of an earlier version pass others on, too.
		}
	}
	readSoftware(_reader, entries);
	return entries;
}

QCborMap toCbor(const RoutesResponse& _message)
{
	return QCborMap{{"type", "routes_give"},
					{"record", QByteArray::fromStdString(_message.record)},
					{"endpoints", toCbor(_message.endpoints)},
					{"software", softwareToCbor(_message.endpoints)},
					{"leaving", toCborArray(_message.leaving)}};
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
				 {"software", softwareToCbor(_message.endpoints.listed)},
				 {"unlisted", toCborArray(_message.endpoints.unlisted)}};
	if (_message.age)
	{
		map.insert(QStringLiteral("age"), static_cast<qint64>(*_message.age));
	}
	return map;
}

/// Encodes the parts of each crash. They have a field of their own, which nodes of earlier versions ignore.
QCborArray partsToCbor(const std::vector<EndpointCrash>& _crashes)
{
	QCborArray parts;
	for (const EndpointCrash& crash : _crashes)
	{
		parts.append(numbersToCbor(crash.parts));
	}
	return parts;
}

QCborMap toCbor(const CrashReport& _message)
{
	QCborArray crashes;
	for (const EndpointCrash& crash : _message.crashes)
	{
		crashes.append(QCborArray{toQString(crash.endpoint), toQString(crash.address), toQString(crash.pool),
								  static_cast<qint64>(crash.at), numbersToCbor(crash.requests)});
	}
	return QCborMap{{"type", "crash_report"},
					{"crashes", crashes},
					{"parts", partsToCbor(_message.crashes)},
					{"forward_to", toCborArray(_message.forwardTo)}};
}

QCborMap toCbor(const CrashReportRequest& /*_message*/)
{
	return QCborMap{{"type", "crash_report_request"}};
}

QCborMap toCbor(const RejectionLimitNotice& _message)
{
	return QCborMap{{"type", "rejection_limit"},
					{"pool", toQString(_message.pool)},
					{"per_second", static_cast<qint64>(_message.perSecond)},
					{"forward_to", toCborArray(_message.forwardTo)}};
}

QCborMap toCbor(const StreamEndQuery& _message)
{
	return QCborMap{{"type", "stream_end_query"}, {"stream", toQString(_message.stream)}};
}

QCborMap toCbor(const StreamEndNotice& _message)
{
	return QCborMap{{"type", "stream_end"},
					{"stream", toQString(_message.stream)},
					{"last_event", static_cast<qint64>(_message.end.lastEvent)},
					{"runs", static_cast<qint64>(_message.end.runs)},
					{"life", static_cast<qint64>(_message.life)}};
}

QCborMap toCbor(const PoolEndsNotice& _message)
{
	QCborArray ends;
	for (const auto& [event, there] : _message.ends)
	{
		ends.append(
			QCborArray{static_cast<qint64>(event), static_cast<qint64>(there.seen), static_cast<qint64>(there.early)});
	}
	return QCborMap{{"type", "pool_ends"},
					{"pool", toQString(_message.pool)},
					{"doubt_life", static_cast<qint64>(_message.doubtLife)},
					{"confirmed", static_cast<qint64>(_message.asked.confirmed)},
					{"early", static_cast<qint64>(_message.asked.early)},
					{"ends", ends},
					{"forward_to", toCborArray(_message.forwardTo)}};
}

/// @returns A number of streams that another node has seen.
std::int64_t boundedCount(std::int64_t _count)
{
	return std::clamp<std::int64_t>(_count, 0, kMaxToldStreams);
}

PoolEndsNotice readPoolEnds(CborReader& _reader)
{
	PoolEndsNotice message;
	message.pool = _reader.text("pool");
	message.doubtLife = std::clamp<Micros>(_reader.integer("doubt_life"), 0, kMaxStreamEndLife);
	message.asked = AskedEnds{boundedCount(_reader.integer("confirmed")), boundedCount(_reader.integer("early"))};
	for (const QCborValue entry : _reader.value("ends").toArray())
	{
		const QCborArray end = entry.toArray();
		const auto event = static_cast<std::uint64_t>(end.at(0).toInteger());
		message.ends[event] = EndsThere{boundedCount(end.at(1).toInteger()), boundedCount(end.at(2).toInteger())};
	}
	message.forwardTo = _reader.texts("forward_to");
	return message;
}

StreamEndNotice readStreamEnd(CborReader& _reader)
{
	StreamEndNotice message;
	message.stream = _reader.text("stream");
	// An id takes all 64 bits, unlike the numbers that nodes choose.
	message.end.lastEvent = static_cast<std::uint64_t>(_reader.integer("last_event"));
	message.end.runs = std::clamp<std::int64_t>(_reader.integer("runs"), 0, kMaxAgreeingRuns);
	message.life = std::clamp<Micros>(_reader.integer("life"), 0, kMaxStreamEndLife);
	return message;
}

/// Reads the parts of each crash; nodes of earlier versions send none.
void readParts(CborReader& _reader, std::vector<EndpointCrash>& _crashes)
{
	const QCborArray parts = _reader.value("parts").toArray();
	for (qsizetype index = 0; index < parts.size() && index < static_cast<qsizetype>(_crashes.size()); ++index)
	{
		const QCborArray keys = parts.at(index).toArray();
		for (const QCborValue key : keys)
		{
			_crashes[static_cast<std::size_t>(index)].parts.insert(static_cast<PartKey>(key.toInteger()));
		}
	}
}

CrashReport readCrashReport(CborReader& _reader)
{
	CrashReport message;
	for (const QCborArray& fields : _reader.arrays("crashes", kCrashFieldCount))
	{
		EndpointCrash crash;
		crash.endpoint = fields.at(0).toString().toStdString();
		crash.address = fields.at(1).toString().toStdString();
		crash.pool = fields.at(2).toString().toStdString();
		crash.at = fields.at(3).toInteger();
		const QCborArray requests = fields.at(4).toArray();
		for (const QCborValue request : requests)
		{
			crash.requests.insert(static_cast<RequestDigest>(request.toInteger()));
		}
		message.crashes.push_back(std::move(crash));
	}
	readParts(_reader, message.crashes);
	message.forwardTo = _reader.texts("forward_to");
	return message;
}

FeedResponse readFeedResponse(CborReader& _reader)
{
	FeedResponse message;
	message.record = _reader.bytes("record");
	message.directoryId = _reader.unsignedInteger("source");
	message.version = _reader.unsignedInteger("version");
	message.requestSentAt = _reader.integer("answers");
	message.endpoints.revision = _reader.unsignedInteger("revision");
	message.endpoints.position = _reader.unsignedInteger("position");
	message.endpoints.isSnapshot = _reader.boolean("whole");
	message.endpoints.listed = readEndpoints(_reader, "listed");
	message.endpoints.unlisted = _reader.texts("unlisted");
	if (!_reader.value("age").isUndefined())
	{
		message.age = _reader.integer("age");
	}
	return message;
}

RoutesResponse readRoutesResponse(CborReader& _reader)
{
	RoutesResponse message;
	message.record = _reader.bytes("record");
	message.endpoints = readEndpoints(_reader, "endpoints");
	message.leaving = _reader.texts("leaving");
	return message;
}

ShutdownReport readShutdownReport(CborReader& _reader)
{
	ShutdownReport message;
	message.issuer = Incarnation{_reader.text("node"), _reader.unsignedInteger("incarnation")};
	message.expiredUpTo = _reader.unsignedInteger("forgotten");
	for (const QCborArray& entry : _reader.arrays("ended", 4))
	{
		Outcome outcome;
		outcome.verdict = static_cast<Verdict>(_reader.enumValue(entry.at(1), kVerdictCount, "ended"));
		outcome.reason = static_cast<Reason>(_reader.enumValue(entry.at(2), kReasonCount, "ended"));
		outcome.repeatSafe = entry.at(3).toBool();
		message.outcomes.emplace(static_cast<std::uint64_t>(entry.at(0).toInteger()), outcome);
	}
	return message;
}

Gossip readGossip(CborReader& _reader)
{
	Gossip message;
	message.kind = static_cast<GossipKind>(_reader.enumValue(_reader.value("kind"), kGossipKindCount, "kind"));
	message.sequence = _reader.unsignedInteger("sequence");
	message.target = _reader.text("target");
	for (const QCborArray& entry : _reader.arrays("news", 4))
	{
		Member member;
		member.address = entry.at(0).toString().toStdString();
		member.version = static_cast<std::uint64_t>(entry.at(1).toInteger());
		member.state = static_cast<MemberState>(_reader.enumValue(entry.at(2), kMemberStateCount, "news"));
		member.tableOffset = static_cast<std::uint64_t>(entry.at(3).toInteger());
		message.updates.push_back(member);
	}
	if (!_reader.value("processors").isUndefined()) // Nodes of an earlier version do not send it.
	{
		const std::map<std::string, std::int64_t> processors = _reader.integerMap("processors");
		for (Member& member : message.updates)
		{
			const auto found = processors.find(member.address);
			member.processorPercent = found == processors.end() ? 0 : found->second;
		}
	}
	const QCborArray relays = _reader.value("relays").toArray(); // Nodes of an earlier version do not send it.
	for (Member& member : message.updates)
	{
		member.relaysCalls = relays.contains(toQString(member.address));
	}
	return message;
}

PeerMessage readMessage(CborReader& _reader, const std::string& _type)
{
	if (_type == "relay_request")
	{
		RelayRequest message;
		message.relayId = _reader.unsignedInteger("relay");
		message.kind = static_cast<RelayKind>(_reader.enumValue(_reader.value("kind"), kRelayKindCount, "kind"));
		message.ticket = _reader.text("ticket");
		message.workspace = _reader.text("workspace");
		message.pipeline = _reader.text("pipeline");
		message.body = _reader.bytes("body");
		message.trace = _reader.text("trace");
		return message;
	}
	if (_type == "relay_token")
	{
		return RelayToken{_reader.unsignedInteger("relay"), _reader.integer("position"), _reader.text("text")};
	}
	if (_type == "relay_result")
	{
		return RelayResult{_reader.unsignedInteger("relay"), _reader.integer("status"), _reader.integer("retry_after"),
						   _reader.bytes("json")};
	}
	if (_type == "table_ask")
	{
		return TableRequest{_reader.unsignedInteger("offset")};
	}
	if (_type == "table_give")
	{
		return TableResponse{_reader.bytes("snapshot")};
	}
	if (_type == "leaving")
	{
		return LeavingNotice{_reader.texts("endpoints")};
	}
	if (_type == "farewell")
	{
		return readShutdownReport(_reader);
	}
	if (_type == "gossip")
	{
		return readGossip(_reader);
	}
	if (_type == "demand")
	{
		return DemandReport{_reader.boolean("fallback"), _reader.integerMap("demand")};
	}
	if (_type == "shares")
	{
		return ShareGrant{_reader.integerMap("shares")};
	}
	if (_type == "routes_ask")
	{
		return RoutesRequest{_reader.unsignedInteger("version"), _reader.boolean("endpoints")};
	}
	if (_type == "routes_give")
	{
		return readRoutesResponse(_reader);
	}
	if (_type == "feed_ask")
	{
		return FeedRequest{_reader.unsignedInteger("version"), _reader.unsignedInteger("source"),
						   _reader.unsignedInteger("revision"), _reader.integer("sent_at")};
	}
	if (_type == "feed_news")
	{
		return readFeedResponse(_reader);
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
		return PieceCancel{_reader.unsignedIntegers("orders")};
	}
	if (_type == "piece_free")
	{
		return PieceFree{_reader.texts("handles")};
	}
	if (_type == "crash_report")
	{
		return readCrashReport(_reader);
	}
	if (_type == "rejection_limit")
	{
		return RejectionLimitNotice{_reader.text("pool"), _reader.integer("per_second"), _reader.texts("forward_to")};
	}
	if (_type == "stream_end_query")
	{
		return StreamEndQuery{_reader.text("stream")};
	}
	if (_type == "stream_end")
	{
		return readStreamEnd(_reader);
	}
	if (_type == "pool_ends")
	{
		return readPoolEnds(_reader);
	}
	if (_type == "crash_report_request")
	{
		return CrashReportRequest{};
	}
	if (_type == "part_query")
	{
		return readPartQuery(_reader);
	}
	if (_type == "part_answer")
	{
		return readPartAnswer(_reader);
	}
	if (_type == "part_verdicts")
	{
		return readPartVerdicts(_reader);
	}
	if (_type == "origin_records")
	{
		return readOriginRecords(_reader);
	}
	if (_type == "origin_query")
	{
		return readOriginQuery(_reader);
	}
	if (_type == "origin_answer")
	{
		return readOriginAnswer(_reader);
	}
	if (const std::optional<CallMessage> message = readCallMessage(_reader, _type))
	{
		return *message;
	}
	_reader.setError(kTypeField, "a known message type");
	return TableRequest{};
}

} // namespace

bool isAnswer(const PeerMessage& _message)
{
	return std::visit(Overloaded{[](const RelayToken&) { return true; }, [](const RelayResult&) { return true; },
								 [](const FeedResponse&) { return true; }, [](const PieceUpdate&) { return true; },
								 [](const OriginAnswer&) { return true; },
								 [](const CallMessage& _call) { return isAnswer(_call); },
								 [](const auto&) { return false; }},
					  _message);
}

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
