/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about the origins of streams.

#include "origin_messages.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr qsizetype kRecordFieldCount = 4;
constexpr qsizetype kOriginFieldCount = 2;

/// Longest time for which a stream can be taken up, longer than any client's time limit.
constexpr Micros kMaxStreamLife = Micros{30} * 24 * 3'600 * kSecond;

/// Field with the records of streams that began under a route without the right to be taken up. Nodes of an earlier
/// version, which keep no such records, don't read it, and take none of them for one that may be.
constexpr const char* kNotResumableRecords = "not_resumable_records";

std::string textAt(const QCborArray& _fields, qsizetype _index)
{
	return _fields.at(_index).toString().toStdString();
}

QCborArray recordsToCbor(const OriginRecords& _message, bool _areResumable)
{
	QCborArray records;
	for (const StreamRecord& record : _message.records)
	{
		if (record.origin.isResumable == _areResumable)
		{
			records.append(QCborArray{toQString(record.request), toQString(record.origin.pool),
									  toQString(record.origin.version), static_cast<qint64>(record.expiresAt)});
		}
	}
	return records;
}

void readRecords(CborReader& _reader, const char* _name, bool _areResumable, OriginRecords& _message)
{
	for (const QCborArray& fields : _reader.arrays(_name, kRecordFieldCount))
	{
		if (!fields.at(0).isString() || !fields.at(1).isString() || !fields.at(2).isString() ||
			!fields.at(3).isInteger())
		{
			_reader.setError(_name, "three text strings and an integer each");
		}
		const Micros life = std::clamp<Micros>(fields.at(3).toInteger(), -kMaxStreamLife, kMaxStreamLife);
		const StreamOrigin origin{textAt(fields, 1), textAt(fields, 2), _areResumable};
		_message.records.push_back(StreamRecord{textAt(fields, 0), origin, life});
	}
}

} // namespace

QCborMap toCbor(const OriginRecords& _message)
{
	QCborMap map{{"type", "origin_records"}, {"records", recordsToCbor(_message, true)}, {"save", _message.save}};
	const QCborArray others = recordsToCbor(_message, false);
	if (!others.isEmpty())
	{
		map.insert(QString(kNotResumableRecords), others);
	}
	return map;
}

QCborMap toCbor(const OriginQuery& _message)
{
	return QCborMap{{"type", "origin_query"},
					{"lookup", static_cast<qint64>(_message.lookup)},
					{"request", toQString(_message.request)},
					{"pool", toQString(_message.pool)},
					{"within", static_cast<qint64>(_message.within)}};
}

QCborMap toCbor(const OriginAnswer& _message)
{
	QCborArray origin; // Empty if the origin is not known.
	if (_message.origin)
	{
		origin.append(QCborArray{toQString(_message.origin->pool), toQString(_message.origin->version)});
	}
	QCborMap map{{"type", "origin_answer"},
				 {"lookup", static_cast<qint64>(_message.lookup)},
				 {"origin", origin},
				 {"versions", toCborArray(_message.versions)},
				 {"all_versions", _message.isComplete}};
	if (_message.origin && !_message.origin->isResumable)
	{
		map.insert(QString("not_resumable"), true);
	}
	return map;
}

OriginRecords readOriginRecords(CborReader& _reader)
{
	OriginRecords message;
	readRecords(_reader, "records", true, message);
	if (!_reader.value(kNotResumableRecords).isUndefined())
	{
		readRecords(_reader, kNotResumableRecords, false, message);
	}
	message.save = _reader.value("save").toBool(); // Nodes of an earlier version do not send it.
	return message;
}

OriginQuery readOriginQuery(CborReader& _reader)
{
	return OriginQuery{_reader.unsignedInteger("lookup"), _reader.text("request"), _reader.text("pool"),
					   _reader.integer("within")};
}

OriginAnswer readOriginAnswer(CborReader& _reader)
{
	OriginAnswer message;
	message.lookup = _reader.unsignedInteger("lookup");
	for (const QCborArray& fields : _reader.arrays("origin", kOriginFieldCount))
	{
		// Nodes of an earlier version don't send it, and keep the origins of resumable streams only.
		const bool isResumable = !_reader.value("not_resumable").toBool();
		message.origin = StreamOrigin{textAt(fields, 0), textAt(fields, 1), isResumable};
	}
	message.versions = _reader.texts("versions");
	message.isComplete = _reader.value("all_versions").toBool(); // Nodes of an earlier version do not send it.
	return message;
}

} // namespace roadferry
