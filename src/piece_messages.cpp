/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the messages about pieces.

#include "piece_messages.h"

namespace roadferry
{

namespace
{

constexpr std::int64_t kFaults = 6;
constexpr qsizetype kOrderFields = 11;

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
	return QCborArray{static_cast<qint64>(_order.order),
					  text(_order.request),
					  static_cast<qint64>(_order.name.stage),
					  static_cast<qint64>(_order.name.piece),
					  text(_order.key),
					  textArray(_order.inputs),
					  static_cast<qint64>(_order.deadline),
					  static_cast<qint64>(_order.due),
					  static_cast<qint64>(_order.priority),
					  static_cast<qint64>(_order.resultBytes),
					  text(_order.nearDomain)};
}

PieceOrder orderFromCbor(const QCborArray& _fields)
{
	PieceOrder order;
	order.order = static_cast<std::uint64_t>(_fields.at(0).toInteger());
	order.request = _fields.at(1).toString().toStdString();
	order.name.stage = static_cast<std::size_t>(_fields.at(2).toInteger());
	order.name.piece = static_cast<std::size_t>(_fields.at(3).toInteger());
	order.key = _fields.at(4).toString().toStdString();
	order.inputs = textsOf(_fields.at(5).toArray());
	order.deadline = _fields.at(6).toInteger();
	order.due = _fields.at(7).toInteger();
	order.priority = _fields.at(8).toInteger();
	order.resultBytes = _fields.at(9).toInteger();
	order.nearDomain = _fields.at(10).toString().toStdString();
	return order;
}

/// Set only in the first ask for a request.
std::optional<AdmissionTerms> readTerms(CborReader& _reader)
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
	return terms;
}

} // namespace

QCborMap toCbor(const PieceAsk& _message)
{
	QCborArray orders;
	for (const PieceOrder& order : _message.orders)
	{
		orders.append(orderToCbor(order));
	}
	QCborMap map{{"type", "piece_ask"}, {"pool", text(_message.pool)}, {"orders", orders}};
	if (_message.admission)
	{
		QCborArray demand;
		for (const PoolDemand& pool : _message.admission->demand)
		{
			demand.append(QCborArray{text(pool.pool), static_cast<qint64>(pool.pieces)});
		}
		map.insert(QStringLiteral("wait_most"), static_cast<qint64>(_message.admission->maxWait));
		map.insert(QStringLiteral("refusable"), _message.admission->refusable);
		map.insert(QStringLiteral("demand"), demand);
	}
	return map;
}

QCborMap toCbor(const PieceGive& _message)
{
	QCborArray started;
	for (const PieceStarted& piece : _message.started)
	{
		started.append(static_cast<qint64>(piece.order));
	}
	QCborArray made;
	for (const PieceMade& piece : _message.made)
	{
		made.append(QCborArray{static_cast<qint64>(piece.order), text(piece.handle), text(piece.failureDomain)});
	}
	QCborArray failed;
	for (const PieceFailed& piece : _message.failed)
	{
		failed.append(QCborArray{static_cast<qint64>(piece.order), static_cast<qint64>(piece.fault)});
	}
	QCborMap waits;
	for (const auto& entry : _message.waits)
	{
		waits.insert(text(entry.first), static_cast<qint64>(entry.second));
	}
	return QCborMap{{"type", "piece_give"}, {"started", started}, {"made", made}, {"failed", failed}, {"waits", waits}};
}

QCborMap toCbor(const PieceDrop& _message)
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
	return QCborMap{{"type", "piece_free"}, {"handles", textArray(_message.handles)}};
}

PieceAsk readPieceAsk(CborReader& _reader)
{
	PieceAsk message;
	message.pool = _reader.text("pool");
	for (const QCborArray& fields : _reader.arrays("orders", kOrderFields))
	{
		message.orders.push_back(orderFromCbor(fields));
	}
	message.admission = readTerms(_reader);
	return message;
}

PieceGive readPieceGive(CborReader& _reader)
{
	PieceGive message;
	for (const std::uint64_t order : _reader.naturals("started"))
	{
		message.started.push_back(PieceStarted{order});
	}
	for (const QCborArray& fields : _reader.arrays("made", 3))
	{
		message.made.push_back(PieceMade{static_cast<std::uint64_t>(fields.at(0).toInteger()),
										 fields.at(1).toString().toStdString(), fields.at(2).toString().toStdString()});
	}
	for (const QCborArray& fields : _reader.arrays("failed", 2))
	{
		message.failed.push_back(PieceFailed{static_cast<std::uint64_t>(fields.at(0).toInteger()),
											 static_cast<PieceFault>(_reader.below(fields.at(1), kFaults, "failed"))});
	}
	message.waits = _reader.numbers("waits");
	return message;
}

} // namespace roadferry
