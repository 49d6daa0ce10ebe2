/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about fatal parts.

#include "part_messages.h"

namespace roadferry
{

namespace
{

constexpr qsizetype kRecordFieldCount = 3;
constexpr qsizetype kClearedFieldCount = 2;
constexpr qsizetype kBlockedFieldCount = 4;
constexpr qint64 kNeverServed = -1; ///< In place of an age.

PartKey keyAt(const QCborArray& _fields, qsizetype _index)
{
	return static_cast<PartKey>(_fields.at(_index).toInteger());
}

} // namespace

QCborMap toCbor(const PartQuery& _message)
{
	return QCborMap{{"type", "part_query"},
					{"parts", numbersToCbor(_message.parts)},
					{"asker", toQString(_message.asker)},
					{"forward_to", toCborArray(_message.forwardTo)}};
}

QCborMap toCbor(const PartAnswer& _message)
{
	QCborArray records;
	for (const PartRecord& record : _message.records)
	{
		records.append(QCborArray{static_cast<qint64>(record.part), static_cast<qint64>(record.sent),
								  static_cast<qint64>(record.servedAge.value_or(kNeverServed))});
	}
	return QCborMap{{"type", "part_answer"}, {"records", records}};
}

QCborMap toCbor(const PartVerdicts& _message)
{
	QCborArray blocked;
	for (const BlockedPart& part : _message.blocked)
	{
		blocked.append(QCborArray{static_cast<qint64>(part.part), static_cast<qint64>(part.since),
								  static_cast<qint64>(part.firstCrashAt), static_cast<qint64>(part.crashes)});
	}
	QCborArray cleared;
	for (const ClearedPart& part : _message.cleared)
	{
		cleared.append(QCborArray{static_cast<qint64>(part.part), static_cast<qint64>(part.servedAge)});
	}
	return QCborMap{{"type", "part_verdicts"},
					{"blocked", blocked},
					{"cleared", cleared},
					{"forward_to", toCborArray(_message.forwardTo)}};
}

PartQuery readPartQuery(CborReader& _reader)
{
	return PartQuery{_reader.unsignedIntegers("parts"), _reader.text("asker"), _reader.texts("forward_to")};
}

PartAnswer readPartAnswer(CborReader& _reader)
{
	PartAnswer message;
	for (const QCborArray& fields : _reader.arrays("records", kRecordFieldCount))
	{
		const qint64 age = fields.at(2).toInteger();
		message.records.push_back(PartRecord{keyAt(fields, 0), fields.at(1).toInteger(),
											 age < 0 ? std::nullopt : std::optional<Micros>(age)});
	}
	return message;
}

PartVerdicts readPartVerdicts(CborReader& _reader)
{
	PartVerdicts message;
	for (const QCborArray& fields : _reader.arrays("blocked", kBlockedFieldCount))
	{
		message.blocked.push_back(BlockedPart{keyAt(fields, 0), fields.at(1).toInteger(), fields.at(2).toInteger(),
											  fields.at(3).toInteger()});
	}
	for (const QCborArray& fields : _reader.arrays("cleared", kClearedFieldCount))
	{
		message.cleared.push_back(ClearedPart{keyAt(fields, 0), fields.at(1).toInteger()});
	}
	message.forwardTo = _reader.texts("forward_to");
	return message;
}

} // namespace roadferry
