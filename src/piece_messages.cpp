/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about pieces.

#include "piece_messages.h"

namespace roadferry
{

namespace
{

constexpr std::int64_t kFaultCount = 6;
constexpr qsizetype kOrderFieldCount = 11;

std::vector<std::string> textsOf(const QCborArray& _array)
{
	std::vector<std::string> result;
	for (const QCborValue element : _array)
	{
		result.push_back(element.toString().toStdString());
	}
	return result;
}

QCborArray orderToCbor(const PieceOrder& _order)
{
	return QCborArray{static_cast<qint64>(_order.orderId),
					  toQString(_order.request),
					  static_cast<qint64>(_order.index.stage),
					  static_cast<qint64>(_order.index.piece),
					  toQString(_order.key),
					  toCborArray(_order.inputs),
					  static_cast<qint64>(_order.deadline),
					  static_cast<qint64>(_order.due),
					  static_cast<qint64>(_order.priority),
					  static_cast<qint64>(_order.resultBytes),
					  toQString(_order.preferredDomain)};
}

PieceOrder orderFromCbor(const QCborArray& _fields)
{
	PieceOrder order;
	order.orderId = static_cast<std::uint64_t>(_fields.at(0).toInteger());
	order.request = _fields.at(1).toString().toStdString();
	order.index.stage = static_cast<std::size_t>(_fields.at(2).toInteger());
	order.index.piece = static_cast<std::size_t>(_fields.at(3).toInteger());
	order.key = _fields.at(4).toString().toStdString();
	order.inputs = textsOf(_fields.at(5).toArray());
	order.deadline = _fields.at(6).toInteger();
	order.due = _fields.at(7).toInteger();
	order.priority = _fields.at(8).toInteger();
	order.resultBytes = _fields.at(9).toInteger();
	order.preferredDomain = _fields.at(10).toString().toStdString();
	return order;
}

/// @returns Admission terms, which only the first submission of a request contains.
std::optional<AdmissionTerms> readAdmissionTerms(CborReader& _reader)
{
	if (_reader.value("demand").isUndefined())
	{
		return std::nullopt;
	}
	AdmissionTerms terms;
	terms.maxWait = _reader.integer("wait_most");
	terms.refusable = _reader.boolean("refusable");
	for (const QCborArray& fields : _reader.arrays("demand", 2))
	{
		terms.demand.push_back(PoolDemand{fields.at(0).toString().toStdString(), fields.at(1).toInteger()});
	}
	if (!_reader.value("arrives_in").isUndefined()) // Nodes of an earlier version do not send it.
	{
		const std::map<std::string, Micros> arrivesIn = _reader.integerMap("arrives_in");
		for (PoolDemand& demand : terms.demand)
		{
			const auto found = arrivesIn.find(demand.pool);
			demand.arrivesIn = found == arrivesIn.end() ? 0 : found->second;
		}
	}
	return terms;
}

} // namespace

QCborMap toCbor(const PieceSubmit& _message)
{
	QCborArray orders;
	for (const PieceOrder& order : _message.orders)
	{
		orders.append(orderToCbor(order));
	}
	QCborArray contents;
	for (const PieceOrder& order : _message.orders)
	{
		contents.append(static_cast<qint64>(order.content));
	}
	QCborMap map{{"type", "piece_ask"}, {"pool", toQString(_message.pool)}, {"orders", orders}, {"contents", contents}};
	QCborArray resumed;
	for (const PieceOrder& order : _message.orders)
	{
		resumed.append(order.resumesStream);
	}
	map.insert(QStringLiteral("resumed"), resumed);
	if (_message.admission)
	{
		QCborArray demand;
		QCborMap arrivesIn;
		for (const PoolDemand& pool : _message.admission->demand)
		{
			arrivesIn.insert(toQString(pool.pool), static_cast<qint64>(pool.arrivesIn));
			demand.append(QCborArray{toQString(pool.pool), static_cast<qint64>(pool.pieces)});
		}
		map.insert(QStringLiteral("wait_most"), static_cast<qint64>(_message.admission->maxWait));
		map.insert(QStringLiteral("refusable"), _message.admission->refusable);
		map.insert(QStringLiteral("demand"), demand);
		map.insert(QStringLiteral("arrives_in"), arrivesIn);
	}
	return map;
}

QCborMap toCbor(const PieceUpdate& _message)
{
	QCborArray started;
	for (const PieceStarted& piece : _message.started)
	{
		started.append(static_cast<qint64>(piece.orderId));
	}
	QCborArray completed;
	for (const PieceCompleted& piece : _message.completed)
	{
		completed.append(
			QCborArray{static_cast<qint64>(piece.orderId), toQString(piece.handle), toQString(piece.failureDomain)});
	}
	QCborArray failed;
	for (const PieceFailed& piece : _message.failed)
	{
		failed.append(QCborArray{static_cast<qint64>(piece.orderId), static_cast<qint64>(piece.fault)});
	}
	QCborMap waits;
	for (const auto& entry : _message.waits)
	{
		waits.insert(toQString(entry.first), static_cast<qint64>(entry.second));
	}
	QCborMap rates;
	for (const auto& entry : _message.rates)
	{
		rates.insert(toQString(entry.first), static_cast<qint64>(entry.second));
	}
	return QCborMap{{"type", "piece_give"}, {"started", started}, {"made", completed},
					{"failed", failed},     {"waits", waits},     {"rates", rates}};
}

QCborMap toCbor(const PieceCancel& _message)
{
	QCborArray orders;
	for (const std::uint64_t order : _message.orders)
	{
		orders.append(static_cast<qint64>(order));
	}
	return QCborMap{{"type", "piece_drop"}, {"orders", orders}};
}

QCborMap toCbor(const PieceFree& _message)
{
	return QCborMap{{"type", "piece_free"}, {"handles", toCborArray(_message.handles)}};
}

PieceSubmit readPieceSubmit(CborReader& _reader)
{
	PieceSubmit message;
	message.pool = _reader.text("pool");
	for (const QCborArray& fields : _reader.arrays("orders", kOrderFieldCount))
	{
		message.orders.push_back(orderFromCbor(fields));
	}
	if (!_reader.value("contents").isUndefined()) // Nodes of an earlier version do not send it.
	{
		const std::vector<std::uint64_t> contents = _reader.unsignedIntegers("contents");
		for (std::size_t index = 0; index < std::min(contents.size(), message.orders.size()); ++index)
		{
			message.orders[index].content = contents[index];
		}
	}
	const QCborArray resumed = _reader.value("resumed").toArray(); // Nodes of an earlier version do not send it.
	for (std::size_t index = 0; index < message.orders.size(); ++index)
	{
		message.orders[index].resumesStream = resumed.at(static_cast<qsizetype>(index)).toBool();
	}
	message.admission = readAdmissionTerms(_reader);
	return message;
}

PieceUpdate readPieceUpdate(CborReader& _reader)
{
	PieceUpdate message;
	for (const std::uint64_t order : _reader.unsignedIntegers("started"))
	{
		message.started.push_back(PieceStarted{order});
	}
	for (const QCborArray& fields : _reader.arrays("made", 3))
	{
		message.completed.push_back(PieceCompleted{static_cast<std::uint64_t>(fields.at(0).toInteger()),
												   fields.at(1).toString().toStdString(),
												   fields.at(2).toString().toStdString()});
	}
	for (const QCborArray& fields : _reader.arrays("failed", 2))
	{
		message.failed.push_back(
			PieceFailed{static_cast<std::uint64_t>(fields.at(0).toInteger()),
						static_cast<PieceFault>(_reader.enumValue(fields.at(1), kFaultCount, "failed"))});
	}
	message.waits = _reader.integerMap("waits");
	if (!_reader.value("rates").isUndefined()) // Nodes of an earlier version do not send it.
	{
		message.rates = _reader.integerMap("rates");
	}
	return message;
}

} // namespace roadferry
