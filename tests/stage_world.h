/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Virtual-time world of one pool: a PieceScheduler, endpoints that compute calls, and requests that arrive at set
/// rates. Times and sizes are those of the score engraver's catalogue pool.

#ifndef ROADFERRY_STAGE_WORLD_H_HEADER_GUARD
#define ROADFERRY_STAGE_WORLD_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace roadferry
{

/// A kind of request, as far as the pool sees it.
struct RequestKind
{
	std::string name;
	std::vector<std::int64_t> pieceCounts; ///< Pieces of successive requests, repeated in this order.
	double pieceWork = 1;                  ///< Work of a piece, as a share of the pool's time per piece.
	std::int64_t resultBytes = 0;
	Micros slack = 0; ///< Time from arrival until its pieces are due.
	Micros maxWait = 0;
	std::int64_t priority = 0;
};

inline const RequestKind kFullScore{"full score",       {1, 4, 2, 3},       1.0, 1'500'000,
									800 * kMillisecond, 500 * kMillisecond, 0};
inline const RequestKind kInstrumentPart{"instrument part",  {1}, 0.3, 8'000, 1'400 * kMillisecond,
										 730 * kMillisecond, 1};
inline const RequestKind kPagePreview{"page preview", {1, 2}, 0.5, 8'000, 1'600 * kMillisecond, 650 * kMillisecond, 2};

/// Requests that arrive at a constant rate.
struct Arrivals
{
	Micros from = 0;
	Micros until = 0;
	double perSecond = 0;
};

/// What became of the requests of one kind.
struct KindCounts
{
	int asked = 0;
	int refused = 0;
	int inTime = 0;

	[[nodiscard]] double shareInTime() const
	{
		return this->asked == 0 ? 1 : static_cast<double>(this->inTime) / this->asked;
	}

	[[nodiscard]] double shareRefused() const
	{
		return this->asked == 0 ? 0 : static_cast<double>(this->refused) / this->asked;
	}
};

/// One batching node and its endpoints.
class StageWorld
{
public:
	StageWorld()
	{
		PoolSpec spec;
		spec.name = kPool;
		spec.batches = BatchLimits{1, 8, 200 * kMillisecond, kPieceTime, 4 * kSecond, 18'000'000};
		this->node.setPools({spec});
		this->setEndpoints(4);
	}

	void setEndpoints(int _count)
	{
		std::vector<Endpoint> endpoints;
		for (int index = 0; index < _count; ++index)
		{
			const std::string id = "endpoint-" + std::to_string(index);
			endpoints.push_back(Endpoint{id, id, kPool, "north", 1, false});
		}
		this->node.setEndpoints(endpoints);
	}

	void addTraffic(const RequestKind& _kind, const Arrivals& _arrivals)
	{
		const auto gap = static_cast<Micros>(static_cast<double>(kSecond) / _arrivals.perSecond);
		std::size_t index = 0;
		for (Micros at = _arrivals.from; at < _arrivals.until; at += gap)
		{
			const std::int64_t pieces = _kind.pieceCounts[index++ % _kind.pieceCounts.size()];
			this->events.emplace(at, [this, _kind, pieces] { this->arrive(_kind, pieces); });
		}
	}

	/// Plays all events up to a time point.
	void run(Micros _until)
	{
		while (!this->events.empty() && this->events.begin()->first <= _until)
		{
			const auto event = this->events.extract(this->events.begin());
			this->now = event.key();
			event.mapped()();
			this->perform(this->node.tick(this->now));
		}
	}

	const KindCounts& counts(const RequestKind& _kind)
	{
		return this->countsByKind[_kind.name];
	}

private:
	struct Request
	{
		RequestKind kind;
		std::int64_t piecesLeft = 0;
		Micros due = 0;
	};

	void arrive(const RequestKind& _kind, std::int64_t _pieces)
	{
		const std::uint64_t request = ++this->lastRequest;
		this->requests[request] = Request{_kind, _pieces, this->now + _kind.slack};
		this->countsByKind[_kind.name].asked += 1;
		std::vector<PieceOrder> orders;
		for (std::int64_t piece = 0; piece < _pieces; ++piece)
		{
			PieceOrder order;
			order.orderId = ++this->lastOrder;
			order.request = "r-" + std::to_string(request);
			order.index.piece = static_cast<std::size_t>(piece);
			order.due = this->now + _kind.slack;
			order.deadline = this->now + 3 * kSecond;
			order.priority = _kind.priority;
			order.resultBytes = _kind.resultBytes;
			this->requestOfOrder[order.orderId] = request;
			orders.push_back(order);
		}
		const AdmissionTerms terms{_kind.maxWait, true, {PoolDemand{kPool, _pieces, 0}}};
		this->perform(this->node.submit(kPool, orders, terms, this->now));
	}

	void perform(const PieceActions& _actions)
	{
		for (const PieceAction& action : _actions)
		{
			if (const auto* start = std::get_if<StartBatch>(&action))
			{
				this->startCall(*start);
			}
			else if (const auto* completed = std::get_if<PieceCompleted>(&action))
			{
				this->completePiece(completed->orderId, completed->handle);
			}
			else if (const auto* failed = std::get_if<PieceFailed>(&action))
			{
				this->failPiece(*failed);
			}
		}
	}

	void startCall(const StartBatch& _start)
	{
		double work = 0;
		BatchAnswered answer;
		for (const PieceOrder& order : _start.orders)
		{
			work += this->requests.at(this->requestOfOrder.at(order.orderId)).kind.pieceWork;
			answer.results.emplace_back("result-" + std::to_string(order.orderId));
		}
		const Micros took = 200 * kMillisecond + static_cast<Micros>(work * static_cast<double>(kPieceTime));
		this->events.emplace(this->now + took, [this, batch = _start.batch, answer]
							 { this->perform(this->node.batchEnded(batch, answer, this->now)); });
	}

	void completePiece(std::uint64_t _order, const std::string& _handle)
	{
		this->events.emplace(this->now + kResultUse,
							 [this, _handle] { this->perform(this->node.free({_handle}, this->now)); });
		Request& request = this->requests.at(this->requestOfOrder.at(_order));
		request.piecesLeft -= 1;
		if (request.piecesLeft == 0)
		{
			this->countsByKind[request.kind.name].inTime += this->now <= request.due ? 1 : 0;
		}
	}

	void failPiece(const PieceFailed& _failed)
	{
		Request& request = this->requests.at(this->requestOfOrder.at(_failed.orderId));
		const bool first = request.piecesLeft > 0;
		request.piecesLeft = 0;
		this->countsByKind[request.kind.name].refused += first && _failed.fault == PieceFault::NotAdmitted ? 1 : 0;
	}

	static constexpr const char* kPool = "catalogue";
	static constexpr Micros kPieceTime = 21 * kMillisecond;
	static constexpr Micros kResultUse = 150 * kMillisecond; ///< Time until the result was fetched.

	PieceScheduler node{"node", PieceSchedulerConfig{}};
	std::multimap<Micros, std::function<void()>> events;
	std::map<std::uint64_t, Request> requests;
	std::map<std::uint64_t, std::uint64_t> requestOfOrder;
	std::map<std::string, KindCounts> countsByKind;
	std::uint64_t lastRequest = 0;
	std::uint64_t lastOrder = 0;
	Micros now = 0;
};

} // namespace roadferry

#endif // ROADFERRY_STAGE_WORLD_H_HEADER_GUARD
