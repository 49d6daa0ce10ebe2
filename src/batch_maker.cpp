/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Forms batches of pieces and places them on endpoints.

#include <roadferry/parts/batches.h>

#include <roadferry/roadferry.h>

#include <absl/strings/str_cat.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace roadferry
{

namespace
{

constexpr std::array<std::string_view, 6> kFaultNames = {"late",        "input_gone", "no_room",
														 "no_endpoint", "error",      "crowded"};
constexpr double kSlownessSmoothing = 0.3;
/// Which pieces of a queue one pass over it takes.
enum class Picking
{
	Late,   ///< Past their due time,
	Urgent, ///< due within a few calls,
	Near,   ///< in time, and near to this endpoint,
	Any     ///< in time.
};

constexpr Micros kUrgentCalls = 3; ///< Calls before its due time from which on a piece is not passed over.
constexpr double kSlownessMost = 8.0;
constexpr Micros kRateTime = 1'500 * kMillisecond; ///< Over which the rate of made pieces is smoothed: a few calls.
constexpr double kLeastOfNominal = 0.4;
constexpr double kSlow = 1.7; ///< An endpoint that takes so many times as long as told is used last.
constexpr Micros kExpiryPeriod = 100 * kMillisecond;

} // namespace

std::string_view nameOf(PieceFault _fault)
{
	return kFaultNames.at(static_cast<std::size_t>(_fault));
}

BatchMaker::BatchMaker(BatchConfig _config) : config(_config)
{
}

void BatchMaker::setPools(const std::vector<PoolSpec>& _pools)
{
	for (const PoolSpec& spec : _pools)
	{
		if (spec.batches)
		{
			this->pools[spec.name].limits = *spec.batches;
		}
	}
}

void BatchMaker::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	for (auto& entry : this->makers)
	{
		entry.second.listed = false;
	}
	for (const Endpoint& endpoint : _endpoints)
	{
		Maker& maker = this->makers[endpoint.id];
		maker.endpoint = endpoint;
		maker.listed = true;
		if (endpoint.leaving)
		{
			this->left.insert(endpoint.id);
		}
		maker.endpoint.leaving = this->left.count(endpoint.id) > 0;
	}
	std::erase_if(this->makers, [](const auto& _entry) { return !_entry.second.listed && _entry.second.calls == 0; });
}

bool BatchMaker::before(const Waiting& _left, const Waiting& _right)
{
	return std::tie(_left.order.due, _left.order.order) < std::tie(_right.order.due, _right.order.order);
}

void BatchMaker::enqueue(Pool& _pool, Waiting _waiting)
{
	const auto place = std::upper_bound(_pool.queue.begin(), _pool.queue.end(), _waiting, &BatchMaker::before);
	_pool.queue.insert(place, std::move(_waiting));
}

void BatchMaker::add(const std::string& _pool, const PieceOrder& _order, Micros _now)
{
	this->enqueue(this->pools[_pool], Waiting{_order, 0, {}, _now});
}

bool BatchMaker::cancel(std::uint64_t _order)
{
	for (auto& entry : this->pools)
	{
		if (std::erase_if(entry.second.queue,
						  [_order](const Waiting& _waiting) { return _waiting.order.order == _order; }) > 0)
		{
			return true;
		}
	}
	return false;
}

Micros BatchMaker::expectedTime(const BatchLimits& _limits, const Maker& _maker, std::size_t _pieces) const
{
	const Micros told = _limits.callTime + _limits.pieceTime * static_cast<Micros>(_pieces);
	return static_cast<Micros>(static_cast<double>(told) * std::max(1.0, _maker.slowness));
}

void BatchMaker::dropLate(Pool& _pool, Micros _now, BatchActions& _actions)
{
	const Micros shortest = _pool.limits.callTime;
	std::erase_if(_pool.queue,
				  [&](const Waiting& _waiting)
				  {
					  const bool late = _now + shortest > _waiting.order.deadline;
					  if (late)
					  {
						  _actions.emplace_back(PieceFailed{_waiting.order.order, PieceFault::Late});
					  }
					  return late;
				  });
}

/// Order of endpoints for a piece, the best first: one that is much slower than told comes last, one that is near to
/// where the result is needed comes first.
std::tuple<bool, bool, double> BatchMaker::rank(const Waiting& _piece, const Maker& _maker)
{
	return {_maker.slowness > kSlow, !isNear(_piece, _maker), _maker.slowness};
}

BatchMaker::Maker* BatchMaker::chooseMaker(const std::string& _pool, const Pool& _spec, Micros _now)
{
	Maker* best = nullptr;
	for (auto& entry : this->makers)
	{
		Maker& maker = entry.second;
		const bool usable = maker.listed && !maker.endpoint.leaving && maker.endpoint.pool == _pool;
		if (!usable || maker.calls >= _spec.limits.slots || _now < maker.asideUntil)
		{
			continue;
		}
		if (choosePieces(_spec, maker, _now).empty())
		{
			continue;
		}
		const bool avoided = !_spec.queue.empty() && _spec.queue.front().avoid == maker.endpoint.id;
		const bool better = best == nullptr || rank(_spec.queue.front(), maker) < rank(_spec.queue.front(), *best);
		if (better && (!avoided || best == nullptr))
		{
			best = &maker;
		}
	}
	return best;
}

bool BatchMaker::fits(const Pool& _pool, std::int64_t _used, const Waiting& _piece)
{
	const std::int64_t room = _pool.limits.resultCapacityBytes;
	const std::int64_t bytes = _piece.order.resultBytes;
	if (room <= 0 || _used == 0)
	{
		return true;
	}
	return _used + bytes <= room;
}

/// Whether a piece may go to an endpoint, or should wait for one that is nearer to where its result is needed.
bool BatchMaker::suits(const Waiting& _piece, const Maker& _maker, Micros _now) const
{
	return isNear(_piece, _maker) || _now - _piece.addedAt >= this->config.nearWait;
}

bool BatchMaker::isNear(const Waiting& _piece, const Maker& _maker)
{
	const std::string& near = _piece.order.nearDomain;
	return near.empty() || near == _maker.endpoint.failureDomain;
}

/// @returns Places in the queue of the pieces for one call: the most urgent ones whose results the endpoint can keep.
std::vector<std::size_t> BatchMaker::choosePieces(const Pool& _pool, const Maker& _maker, Micros _now) const
{
	const auto most = static_cast<std::size_t>(std::max<std::int64_t>(1, _pool.limits.maxPieces));
	std::vector<std::size_t> chosen;
	std::int64_t used = _maker.roomUsed;
	std::vector<bool> taken(_pool.queue.size(), false);
	const Micros soon = _now + kUrgentCalls * _pool.limits.callTime;
	const auto take = [&](Picking _picking, std::size_t _upTo)
	{
		const bool late = _picking == Picking::Late;
		const std::size_t size = _pool.queue.size();
		for (std::size_t step = 0; step < size && chosen.size() < _upTo; ++step)
		{
			// Of the late ones the latest come last: their inputs may be gone, and their clients too.
			const std::size_t index = late ? size - 1 - step : step;
			const Waiting& piece = _pool.queue[index];
			const bool isLate = piece.order.due < _now + _pool.limits.callTime;
			const bool wanted = _picking == Picking::Urgent ? piece.order.due < soon
								: _picking == Picking::Near ? isNear(piece, _maker)
															: true;
			if (!taken[index] && isLate == late && wanted && fits(_pool, used, piece) &&
				this->suits(piece, _maker, _now))
			{
				taken[index] = true;
				chosen.push_back(index);
				used += piece.order.resultBytes;
			}
		}
	};
	// What can no longer be in time goes behind what can, apart from a share that keeps it from waiting for ever.
	take(Picking::Late, static_cast<std::size_t>(std::ceil(this->config.lateShare * static_cast<double>(most))));
	take(Picking::Urgent, most);
	take(Picking::Near, most); // What has time goes where its inputs or its use are near, if it can.
	take(Picking::Any, most);
	take(Picking::Late, most);
	std::sort(chosen.begin(), chosen.end());
	return chosen;
}

void BatchMaker::startOne(const std::string& _name, Pool& _pool, Maker& _maker, const std::vector<std::size_t>& _chosen,
						  Micros _now, BatchActions& _actions)
{
	Call call;
	call.pool = _name;
	call.endpoint = _maker.endpoint;
	call.startedAt = _now;
	call.expected = _pool.limits.callTime + _pool.limits.pieceTime * static_cast<Micros>(_chosen.size());
	const double longest =
		static_cast<double>(this->expectedTime(_pool.limits, _maker, _chosen.size())) * this->config.slowest;
	call.giveUpAt = _now + static_cast<Micros>(longest) + this->config.slack;
	StartBatch action{++this->lastBatch, _name, _maker.endpoint, {}, call.giveUpAt};
	for (const std::size_t index : _chosen)
	{
		action.orders.push_back(_pool.queue[index].order);
		call.pieces.push_back(std::move(_pool.queue[index]));
		call.pieces.back().tries += 1;
		_maker.roomUsed += action.orders.back().resultBytes;
	}
	std::vector<Waiting> rest;
	rest.reserve(_pool.queue.size() - _chosen.size());
	auto next = _chosen.begin(); // The places are in order.
	for (std::size_t index = 0; index < _pool.queue.size(); ++index)
	{
		if (next != _chosen.end() && *next == index)
		{
			++next;
			continue;
		}
		rest.push_back(std::move(_pool.queue[index]));
	}
	_pool.queue = std::move(rest);
	_maker.calls += 1;
	_maker.freeAt = _now + this->expectedTime(_pool.limits, _maker, _chosen.size());
	this->calls.emplace(action.batch, std::move(call));
	_actions.emplace_back(std::move(action));
}

void BatchMaker::giveRoomBack(const std::string& _endpoint, std::int64_t _bytes)
{
	const auto maker = this->makers.find(_endpoint);
	if (maker != this->makers.end())
	{
		maker->second.roomUsed = std::max<std::int64_t>(0, maker->second.roomUsed - _bytes);
	}
}

void BatchMaker::keep(const Call& _call, const PieceOrder& _order, const std::string& _handle, Micros _now)
{
	const auto maker = this->makers.find(_call.endpoint.id);
	if (maker != this->makers.end())
	{
		maker->second.roomUsed += _order.resultBytes;
	}
	const Micros life = this->pools[_call.pool].limits.resultTtl;
	this->kept[_handle] = Kept{_call.endpoint.id, _order.resultBytes, _now + life};
}

/// The endpoint keeps more than is known here, for instance for the node that formed the batches before: it counts as
/// full for a while.
void BatchMaker::markFull(const std::string& _endpoint, Micros _now)
{
	const auto maker = this->makers.find(_endpoint);
	const auto pool = maker == this->makers.end() ? this->pools.end() : this->pools.find(maker->second.endpoint.pool);
	if (pool == this->pools.end())
	{
		return;
	}
	const std::int64_t unknown = pool->second.limits.resultCapacityBytes - maker->second.roomUsed;
	if (unknown > 0)
	{
		maker->second.roomUsed += unknown;
		this->kept[absl::StrCat("unknown results at ", _endpoint, " ", ++this->lastUnknown)] =
			Kept{_endpoint, unknown, _now + this->config.fullPause};
	}
}

void BatchMaker::countMade(Pool& _pool, std::size_t _pieces, Micros _now)
{
	const double passed = static_cast<double>(_now - _pool.rateAt) / static_cast<double>(kRateTime);
	_pool.rate = _pool.rate * std::exp(-passed) +
				 static_cast<double>(_pieces) * static_cast<double>(kSecond) / static_cast<double>(kRateTime);
	_pool.rateAt = _now;
}

void BatchMaker::freed(const std::string& _handle)
{
	const auto found = this->kept.find(_handle);
	if (found != this->kept.end())
	{
		this->giveRoomBack(found->second.endpoint, found->second.bytes);
		this->kept.erase(found);
	}
}

void BatchMaker::expireResults(Micros _now)
{
	if (_now < this->nextExpiry)
	{
		return;
	}
	this->nextExpiry = _now + kExpiryPeriod;
	std::vector<std::string> expired;
	for (const auto& entry : this->kept)
	{
		if (entry.second.until <= _now)
		{
			expired.push_back(entry.first);
		}
	}
	for (const std::string& handle : expired)
	{
		this->freed(handle);
	}
}

BatchMaker::Call BatchMaker::endCall(std::uint64_t _batch)
{
	const auto found = this->calls.find(_batch);
	Call call = std::move(found->second);
	this->calls.erase(found);
	const auto maker = this->makers.find(call.endpoint.id);
	if (maker != this->makers.end())
	{
		maker->second.calls -= 1;
	}
	for (const Waiting& piece : call.pieces)
	{
		this->giveRoomBack(call.endpoint.id, piece.order.resultBytes); // Those that were made take theirs again.
	}
	return call;
}

void BatchMaker::retry(Waiting _piece, const Call& _call, PieceFault _fault, BatchActions& _actions)
{
	if (_piece.tries >= this->config.tries)
	{
		_actions.emplace_back(PieceFailed{_piece.order.order, _fault});
		return;
	}
	_piece.avoid = _call.endpoint.id;
	this->enqueue(this->pools[_call.pool], std::move(_piece));
}

void BatchMaker::takeResults(const Call& _call, const BatchAnswered& _answer, Micros _now, BatchActions& _actions)
{
	countMade(this->pools[_call.pool], _call.pieces.size(), _now);
	for (std::size_t index = 0; index < _call.pieces.size(); ++index)
	{
		const Waiting& piece = _call.pieces[index];
		std::visit(
			Overloaded{
				[&](const std::string& _handle)
				{
					this->keep(_call, piece.order, _handle, _now);
					_actions.emplace_back(PieceMade{piece.order.order, _handle, _call.endpoint.failureDomain});
				},
				[&](PieceFault _fault)
				{
					const bool final = _fault == PieceFault::Late || _fault == PieceFault::InputGone;
					if (final)
					{
						_actions.emplace_back(PieceFailed{piece.order.order, _fault});
						return;
					}
					if (_fault == PieceFault::NoRoom)
					{
						this->markFull(_call.endpoint.id, _now);
					}
					this->retry(piece, _call, _fault, _actions);
				},
			},
			_answer.results[index]);
	}
}

BatchActions BatchMaker::batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now)
{
	BatchActions actions;
	if (this->calls.count(_batch) == 0)
	{
		return actions;
	}
	const Call call = this->endCall(_batch);
	const auto found = this->makers.find(call.endpoint.id);
	Maker* maker = found == this->makers.end() ? nullptr : &found->second;
	const auto* answered = std::get_if<BatchAnswered>(&_end);
	if (answered != nullptr && answered->results.size() == call.pieces.size())
	{
		if (maker != nullptr)
		{
			const double ratio = static_cast<double>(_now - call.startedAt) / static_cast<double>(call.expected);
			maker->slowness += kSlownessSmoothing * (std::min(ratio, kSlownessMost) - maker->slowness);
			maker->failures = 0;
		}
		this->takeResults(call, *answered, _now, actions);
	}
	else
	{
		const bool refused = std::holds_alternative<BatchRefused>(_end);
		if (maker != nullptr)
		{
			maker->failures += 1;
			const Micros pause = refused ? this->config.refusedPause : this->config.asideFor;
			maker->asideUntil = _now + pause * std::min<Micros>(maker->failures, 4);
		}
		for (const Waiting& piece : call.pieces)
		{
			Waiting again = piece;
			again.tries -= refused ? 1 : 0; // It did not begin.
			this->retry(std::move(again), call, refused ? PieceFault::NoEndpoint : PieceFault::Error, actions);
		}
	}
	const BatchActions more = this->tick(_now);
	actions.insert(actions.end(), more.begin(), more.end());
	return actions;
}

void BatchMaker::expectOthersUntil(Micros _until)
{
	this->othersUntil = std::max(this->othersUntil, _until);
}

void BatchMaker::tellStarted(Micros _now, BatchActions& _actions)
{
	if (_now < this->othersUntil)
	{
		return;
	}
	for (auto& entry : this->calls)
	{
		Call& call = entry.second;
		if (call.fetched || _now - call.startedAt < this->config.fetchTime)
		{
			continue;
		}
		call.fetched = true;
		for (const Waiting& piece : call.pieces)
		{
			if (!piece.order.inputs.empty())
			{
				_actions.emplace_back(PieceStarted{piece.order.order});
			}
		}
	}
}

void BatchMaker::expireCalls(Micros _now, BatchActions& _actions)
{
	std::vector<std::uint64_t> expired;
	for (const auto& entry : this->calls)
	{
		if (entry.second.giveUpAt <= _now)
		{
			expired.push_back(entry.first);
		}
	}
	for (const std::uint64_t batch : expired)
	{
		if (this->calls.count(batch) == 0)
		{
			continue;
		}
		_actions.emplace_back(CancelBatch{batch});
		const BatchActions more = this->batchEnded(batch, BatchCut{}, _now);
		_actions.insert(_actions.end(), more.begin(), more.end());
	}
}

BatchActions BatchMaker::tick(Micros _now)
{
	BatchActions actions;
	this->expireCalls(_now, actions);
	this->tellStarted(_now, actions);
	this->expireResults(_now);
	for (auto& entry : this->pools)
	{
		Pool& pool = entry.second;
		this->dropLate(pool, _now, actions);
		while (!pool.queue.empty())
		{
			Maker* maker = this->chooseMaker(entry.first, pool, _now);
			const std::vector<std::size_t> chosen =
				maker == nullptr ? std::vector<std::size_t>{} : choosePieces(pool, *maker, _now);
			if (chosen.empty())
			{
				break;
			}
			this->startOne(entry.first, pool, *maker, chosen, _now, actions);
		}
	}
	return actions;
}

std::optional<Micros> BatchMaker::waitTime(const std::string& _pool, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end() || found->second.limits.callTime <= 0)
	{
		return std::nullopt;
	}
	const BatchLimits& limits = found->second.limits;
	std::vector<Micros> free;
	for (const auto& entry : this->makers)
	{
		const Maker& maker = entry.second;
		if (maker.listed && !maker.endpoint.leaving && maker.endpoint.pool == _pool)
		{
			const Micros at = maker.calls >= limits.slots ? std::max(_now, maker.freeAt) : _now;
			free.push_back(std::max(at, maker.asideUntil));
		}
	}
	if (free.empty())
	{
		return kSecond;
	}
	std::sort(free.begin(), free.end());
	// What the pool makes in a second, at least the part of its capacity that it reaches with short batches.
	const Micros full = limits.callTime + limits.pieceTime * limits.maxPieces;
	const double nominal = static_cast<double>(limits.maxPieces) * static_cast<double>(free.size()) *
						   static_cast<double>(kSecond) / static_cast<double>(full);
	const double rate = std::max(found->second.rate, kLeastOfNominal * nominal);
	const auto inTime = std::count_if(found->second.queue.begin(), found->second.queue.end(),
									  [&](const Waiting& _waiting) { return _waiting.order.due > _now; });
	const auto wait = static_cast<Micros>(static_cast<double>(inTime) / rate * static_cast<double>(kSecond));
	return std::max(free.front() - _now, wait);
}

std::map<std::string, Micros> BatchMaker::waitTimes(Micros _now) const
{
	std::map<std::string, Micros> waits;
	for (const auto& entry : this->pools)
	{
		if (const auto wait = this->waitTime(entry.first, _now))
		{
			waits[entry.first] = *wait;
		}
	}
	return waits;
}

std::size_t BatchMaker::waiting(const std::string& _pool) const
{
	const auto found = this->pools.find(_pool);
	return found == this->pools.end() ? 0 : found->second.queue.size();
}

std::string batchNodeOf(const std::string& _pool, const std::vector<std::string>& _members)
{
	return *std::max_element(_members.begin(), _members.end(),
							 [&](const std::string& _left, const std::string& _right)
							 {
								 const std::uint64_t seed = XXH3_64bits(_pool.data(), _pool.size());
								 return XXH3_64bits_withSeed(_left.data(), _left.size(), seed) <
										XXH3_64bits_withSeed(_right.data(), _right.size(), seed);
							 });
}

} // namespace roadferry
