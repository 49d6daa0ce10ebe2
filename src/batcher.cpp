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
/// Which pieces a pass over a queue selects.
enum class SelectionPass
{
	Late,   ///< Can no longer meet their due time.
	Urgent, ///< Can meet their due time, which is within kUrgentCalls calls.
	Local,  ///< Can meet their due time, and prefer the failure domain of the endpoint or none.
	Any     ///< Can meet their due time.
};

/// A piece that is due within this number of call times is selected before pieces that are local to the endpoint.
constexpr Micros kUrgentCalls = 3;
constexpr double kMaxSlowness = 8.0;
constexpr double kSlowThreshold = 1.7; ///< Slowness above which an endpoint is used last.
constexpr Micros kExpiryPeriod = 100 * kMillisecond;

} // namespace

std::string_view nameOf(PieceFault _fault)
{
	return kFaultNames.at(static_cast<std::size_t>(_fault));
}

Batcher::Batcher(BatchConfig _config) : config(_config)
{
}

void Batcher::setPools(const std::vector<PoolSpec>& _pools)
{
	for (const PoolSpec& spec : _pools)
	{
		if (spec.batches)
		{
			this->pools[spec.name].limits = *spec.batches;
		}
	}
}

void Batcher::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	for (auto& entry : this->endpoints)
	{
		entry.second.listed = false;
	}
	for (const Endpoint& endpoint : _endpoints)
	{
		EndpointStatus& status = this->endpoints[endpoint.id];
		status.endpoint = endpoint;
		status.listed = true;
		if (endpoint.leaving)
		{
			this->leavingEndpoints.insert(endpoint.id);
		}
		status.endpoint.leaving = this->leavingEndpoints.count(endpoint.id) > 0;
	}
	std::erase_if(this->endpoints,
				  [](const auto& _entry) { return !_entry.second.listed && _entry.second.calls == 0; });
}

void Batcher::setCrashedRequests(CrashedRequests _requests)
{
	this->crashedRequests = std::move(_requests);
}

bool Batcher::isMoreUrgent(const QueuedPiece& _left, const QueuedPiece& _right)
{
	const auto rank = [](const PieceOrder& _order)
	{ return std::make_tuple(!_order.resumesStream, _order.due, _order.orderId); };
	return rank(_left.order) < rank(_right.order);
}

bool Batcher::canBeInTime(const Pool& _pool, const QueuedPiece& _piece, Micros _now)
{
	return _piece.order.due >= _now + _pool.limits.callTime;
}

bool Batcher::isUsableFor(const std::string& _pool, const EndpointStatus& _status)
{
	return _status.listed && !_status.endpoint.leaving && _status.endpoint.pool == _pool;
}

void Batcher::enqueue(Pool& _pool, QueuedPiece _piece)
{
	const auto position = std::upper_bound(_pool.queue.begin(), _pool.queue.end(), _piece, &Batcher::isMoreUrgent);
	_pool.queue.insert(position, std::move(_piece));
}

void Batcher::add(const std::string& _pool, const PieceOrder& _order, Micros _now)
{
	this->enqueue(this->pools[_pool], QueuedPiece{_order, 0, {}, _now});
}

bool Batcher::cancel(std::uint64_t _orderId)
{
	for (auto& entry : this->pools)
	{
		if (std::erase_if(entry.second.queue,
						  [_orderId](const QueuedPiece& _piece) { return _piece.order.orderId == _orderId; }) > 0)
		{
			return true;
		}
	}
	return false;
}

Micros Batcher::predictedCallTime(const BatchLimits& _limits, const EndpointStatus& _status, std::size_t _pieces) const
{
	const Micros nominalTime = _limits.callTime + _limits.pieceTime * static_cast<Micros>(_pieces);
	return static_cast<Micros>(static_cast<double>(nominalTime) * std::max(1.0, _status.slowness));
}

void Batcher::dropLate(Pool& _pool, Micros _now, BatchActions& _actions)
{
	const Micros minCallTime = _pool.limits.callTime;
	std::erase_if(_pool.queue,
				  [&](const QueuedPiece& _piece)
				  {
					  const bool late = _now + minCallTime > _piece.order.deadline;
					  if (late)
					  {
						  _actions.emplace_back(PieceFailed{_piece.order.orderId, PieceFault::Late});
					  }
					  return late;
				  });
}

void Batcher::dropBlocked(Pool& _pool, BatchActions& _actions)
{
	if (this->crashedRequests.blocked.empty())
	{
		return;
	}
	std::erase_if(_pool.queue,
				  [&](const QueuedPiece& _piece)
				  {
					  const bool blocked = this->crashedRequests.blocked.count(_piece.order.content) > 0;
					  if (blocked)
					  {
						  _actions.emplace_back(PieceFailed{_piece.order.orderId, PieceFault::Error});
					  }
					  return blocked;
				  });
}

/// Ranks an endpoint for a piece, lower is better: endpoints above the slowness threshold come last, and among the
/// others those in the preferred failure domain of the piece come first.
std::tuple<bool, bool, double> Batcher::rank(const QueuedPiece& _piece, const EndpointStatus& _status)
{
	return {_status.slowness > kSlowThreshold, !isLocal(_piece, _status), _status.slowness};
}

Batcher::EndpointStatus* Batcher::chooseEndpoint(const std::string& _name, const Pool& _pool, Micros _now)
{
	EndpointStatus* best = nullptr;
	for (auto& entry : this->endpoints)
	{
		EndpointStatus& status = entry.second;
		if (!isUsableFor(_name, status) || status.calls >= _pool.limits.slots || _now < status.pausedUntil)
		{
			continue;
		}
		if (choosePieces(_pool, status, _now).empty())
		{
			continue;
		}
		const bool avoided = !_pool.queue.empty() && _pool.queue.front().avoid == status.endpoint.id;
		const bool better = best == nullptr || rank(_pool.queue.front(), status) < rank(_pool.queue.front(), *best);
		if (better && (!avoided || best == nullptr))
		{
			best = &status;
		}
	}
	return best;
}

bool Batcher::hasSpaceFor(const Pool& _pool, std::int64_t _used, const QueuedPiece& _piece)
{
	const std::int64_t capacity = _pool.limits.resultCapacityBytes;
	const std::int64_t bytes = _piece.order.resultBytes;
	if (capacity <= 0 || _used == 0)
	{
		return true;
	}
	return _used + bytes <= capacity;
}

/// Whether a piece may go to an endpoint instead of waiting for one in its preferred failure domain.
bool Batcher::mayRunOn(const Pool& _pool, const QueuedPiece& _piece, const EndpointStatus& _status, Micros _now) const
{
	const bool dueSoon = _piece.order.due - _now < this->config.localityCalls * _pool.limits.callTime;
	return dueSoon || _pool.efficiency.isOverloaded() || isLocal(_piece, _status) ||
		   _now - _piece.addedAt >= this->config.localityWait;
}

bool Batcher::isLocal(const QueuedPiece& _piece, const EndpointStatus& _status)
{
	const std::string& preferred = _piece.order.preferredDomain;
	return preferred.empty() || preferred == _status.endpoint.failureDomain;
}

/// @returns Sorted positions in the queue of the pieces for one call: the most urgent ones whose results fit into the
/// free space of the endpoint.
std::vector<std::size_t> Batcher::choosePieces(const Pool& _pool, const EndpointStatus& _status, Micros _now) const
{
	const auto maxPieces = static_cast<std::size_t>(std::max<std::int64_t>(1, _pool.limits.maxPieces));
	std::vector<std::size_t> chosen;
	std::int64_t used = _status.usedBytes;
	std::vector<bool> taken(_pool.queue.size(), false);
	bool hasSuspect = false; // Chosen first, and then alone.
	const Micros urgentBefore = _now + kUrgentCalls * _pool.limits.callTime;
	const auto take = [&](SelectionPass _pass, std::size_t _upTo)
	{
		const bool late = _pass == SelectionPass::Late;
		const std::size_t size = _pool.queue.size();
		for (std::size_t step = 0; step < size && chosen.size() < _upTo && !hasSuspect; ++step)
		{
			// Among late pieces the most overdue come last: their inputs or their clients may be gone.
			const std::size_t index = late ? size - 1 - step : step;
			const QueuedPiece& piece = _pool.queue[index];
			const bool isLate = !canBeInTime(_pool, piece, _now);
			const bool isSuspect = this->crashedRequests.suspects.count(piece.order.content) > 0;
			const bool matches = _pass == SelectionPass::Urgent
									 ? piece.order.resumesStream || piece.order.due < urgentBefore
								 : _pass == SelectionPass::Local ? isLocal(piece, _status)
																 : true;
			const bool fitsBatch = !isSuspect || chosen.empty();
			if (!taken[index] && isLate == late && matches && fitsBatch && hasSpaceFor(_pool, used, piece) &&
				this->mayRunOn(_pool, piece, _status, _now))
			{
				taken[index] = true;
				hasSuspect = isSuspect;
				chosen.push_back(index);
				used += piece.order.resultBytes;
			}
		}
	};
	// Late pieces come after the others, except for a share of the batch that prevents their starvation.
	take(SelectionPass::Late,
		 static_cast<std::size_t>(std::ceil(this->config.lateShare * static_cast<double>(maxPieces))));
	take(SelectionPass::Urgent, maxPieces);
	take(SelectionPass::Local, maxPieces); // Pieces that are not urgent preferably go to their failure domain.
	take(SelectionPass::Any, maxPieces);
	take(SelectionPass::Late, maxPieces);
	std::sort(chosen.begin(), chosen.end());
	return chosen;
}

void Batcher::startBatch(const std::string& _name, Pool& _pool, EndpointStatus& _status,
						 const std::vector<std::size_t>& _chosen, Micros _now, BatchActions& _actions)
{
	Call call;
	call.pool = _name;
	call.endpoint = _status.endpoint;
	call.startedAt = _now;
	call.nominalTime = _pool.limits.callTime + _pool.limits.pieceTime * static_cast<Micros>(_chosen.size());
	const double callTimeout = static_cast<double>(this->predictedCallTime(_pool.limits, _status, _chosen.size())) *
							   this->config.callTimeoutFactor;
	call.deadline = _now + static_cast<Micros>(callTimeout) + this->config.callTimeoutMargin;
	StartBatch action{++this->lastBatch, _name, _status.endpoint, {}, call.deadline};
	for (const std::size_t index : _chosen)
	{
		action.orders.push_back(_pool.queue[index].order);
		call.pieces.push_back(std::move(_pool.queue[index]));
		call.pieces.back().attempts += 1;
		_status.usedBytes += action.orders.back().resultBytes;
	}
	const auto inTime = [&](const QueuedPiece& _piece) { return canBeInTime(_pool, _piece, _now); };
	std::vector<QueuedPiece> rest;
	rest.reserve(_pool.queue.size() - _chosen.size());
	auto next = _chosen.begin(); // The positions are sorted.
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
	_pool.startedPieces += static_cast<std::int64_t>(_chosen.size());
	if (std::any_of(_pool.queue.begin(), _pool.queue.end(), inTime))
	{
		_pool.fullCallSize.record(std::count_if(call.pieces.begin(), call.pieces.end(), inTime));
	}
	_status.calls += 1;
	_status.freeAt = _now + this->predictedCallTime(_pool.limits, _status, _chosen.size());
	this->calls.emplace(action.batch, std::move(call));
	_actions.emplace_back(std::move(action));
}

void Batcher::releaseSpace(const std::string& _endpoint, std::int64_t _bytes)
{
	const auto status = this->endpoints.find(_endpoint);
	if (status != this->endpoints.end())
	{
		status->second.usedBytes = std::max<std::int64_t>(0, status->second.usedBytes - _bytes);
	}
}

void Batcher::recordResult(const Call& _call, const PieceOrder& _order, const std::string& _handle, Micros _now)
{
	const auto status = this->endpoints.find(_call.endpoint.id);
	if (status != this->endpoints.end())
	{
		status->second.usedBytes += _order.resultBytes;
	}
	const Micros lifetime = this->pools[_call.pool].limits.resultTtl;
	this->storedResults[_handle] = StoredResult{_call.endpoint.id, _order.resultBytes, _now + lifetime};
}

/// Counts an endpoint as full for BatchConfig::fullPause: it keeps results that are not known here, for instance those
/// of the previous batching node.
void Batcher::markFull(const std::string& _endpoint, Micros _now)
{
	const auto status = this->endpoints.find(_endpoint);
	const auto pool =
		status == this->endpoints.end() ? this->pools.end() : this->pools.find(status->second.endpoint.pool);
	if (pool == this->pools.end())
	{
		return;
	}
	const std::int64_t unknownBytes = pool->second.limits.resultCapacityBytes - status->second.usedBytes;
	if (unknownBytes > 0)
	{
		status->second.usedBytes += unknownBytes;
		this->storedResults[absl::StrCat("unknown results at ", _endpoint, " ", ++this->lastUnknownId)] =
			StoredResult{_endpoint, unknownBytes, _now + this->config.fullPause};
	}
}

void Batcher::freeResult(const std::string& _handle)
{
	const auto found = this->storedResults.find(_handle);
	if (found != this->storedResults.end())
	{
		this->releaseSpace(found->second.endpoint, found->second.bytes);
		this->storedResults.erase(found);
	}
}

void Batcher::expireResults(Micros _now)
{
	if (_now < this->nextExpiry)
	{
		return;
	}
	this->nextExpiry = _now + kExpiryPeriod;
	std::vector<std::string> expired;
	for (const auto& entry : this->storedResults)
	{
		if (entry.second.expiresAt <= _now)
		{
			expired.push_back(entry.first);
		}
	}
	for (const std::string& handle : expired)
	{
		this->freeResult(handle);
	}
}

Batcher::Call Batcher::endCall(std::uint64_t _batch)
{
	const auto found = this->calls.find(_batch);
	Call call = std::move(found->second);
	this->calls.erase(found);
	const auto status = this->endpoints.find(call.endpoint.id);
	if (status != this->endpoints.end())
	{
		status->second.calls -= 1;
	}
	for (const QueuedPiece& piece : call.pieces)
	{
		// recordResult() adds it again for completed pieces.
		this->releaseSpace(call.endpoint.id, piece.order.resultBytes);
	}
	return call;
}

void Batcher::retry(QueuedPiece _piece, const Call& _call, PieceFault _fault, BatchActions& _actions)
{
	if (_piece.attempts >= this->config.maxAttempts)
	{
		_actions.emplace_back(PieceFailed{_piece.order.orderId, _fault});
		return;
	}
	_piece.avoid = _call.endpoint.id;
	this->enqueue(this->pools[_call.pool], std::move(_piece));
}

void Batcher::handleResults(const Call& _call, const BatchAnswered& _answer, Micros _now, BatchActions& _actions)
{
	for (std::size_t index = 0; index < _call.pieces.size(); ++index)
	{
		const QueuedPiece& piece = _call.pieces[index];
		std::visit(
			Overloaded{
				[&](const std::string& _handle)
				{
					this->recordResult(_call, piece.order, _handle, _now);
					_actions.emplace_back(PieceCompleted{piece.order.orderId, _handle, _call.endpoint.failureDomain});
				},
				[&](PieceFault _fault)
				{
					const bool final = _fault == PieceFault::Late || _fault == PieceFault::InputGone;
					if (final)
					{
						_actions.emplace_back(PieceFailed{piece.order.orderId, _fault});
						return;
					}
					if (_fault == PieceFault::NoSpace)
					{
						this->markFull(_call.endpoint.id, _now);
					}
					this->retry(piece, _call, _fault, _actions);
				},
			},
			_answer.results[index]);
	}
}

BatchActions Batcher::batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now)
{
	BatchActions actions;
	if (this->calls.count(_batch) == 0)
	{
		return actions;
	}
	const Call call = this->endCall(_batch);
	const auto found = this->endpoints.find(call.endpoint.id);
	EndpointStatus* status = found == this->endpoints.end() ? nullptr : &found->second;
	const auto* answered = std::get_if<BatchAnswered>(&_end);
	if (answered != nullptr && answered->results.size() == call.pieces.size())
	{
		if (status != nullptr)
		{
			const double ratio = static_cast<double>(_now - call.startedAt) / static_cast<double>(call.nominalTime);
			status->slowness += kSlownessSmoothing * (std::min(ratio, kMaxSlowness) - status->slowness);
			status->failures = 0;
		}
		this->handleResults(call, *answered, _now, actions);
	}
	else
	{
		const bool refused = std::holds_alternative<BatchRefused>(_end);
		if (status != nullptr)
		{
			status->failures += 1;
			const Micros pause = refused ? this->pauseAfter(std::get<BatchRefused>(_end)) : this->config.failurePause;
			status->pausedUntil = _now + pause * std::min<Micros>(status->failures, 4);
		}
		for (const QueuedPiece& piece : call.pieces)
		{
			QueuedPiece again = piece;
			again.attempts -= refused ? 1 : 0; // A refused call did not begin.
			this->retry(std::move(again), call, refused ? PieceFault::NoEndpoint : PieceFault::Error, actions);
		}
	}
	const BatchActions more = this->tick(_now);
	actions.insert(actions.end(), more.begin(), more.end());
	return actions;
}

/// Returns how long an endpoint gets no calls after it refused one. Where it may refuse only some calls in a second,
/// this node keeps to half of them, since other nodes may form batches too.
Micros Batcher::pauseAfter(const BatchRefused& _refused) const
{
	const Micros share = _refused.rejectionLimit > 0 ? 2 * kSecond / _refused.rejectionLimit : 0;
	return std::max(this->config.refusedPause, share);
}

void Batcher::expectOtherBatchersUntil(Micros _until)
{
	this->otherBatchersUntil = std::max(this->otherBatchersUntil, _until);
}

void Batcher::reportStarted(Micros _now, BatchActions& _actions)
{
	if (_now < this->otherBatchersUntil)
	{
		return;
	}
	for (auto& entry : this->calls)
	{
		Call& call = entry.second;
		if (call.startReported || _now - call.startedAt < this->config.inputFetchTime)
		{
			continue;
		}
		call.startReported = true;
		for (const QueuedPiece& piece : call.pieces)
		{
			if (!piece.order.inputs.empty())
			{
				_actions.emplace_back(PieceStarted{piece.order.orderId});
			}
		}
	}
}

void Batcher::expireCalls(Micros _now, BatchActions& _actions)
{
	std::vector<std::uint64_t> expired;
	for (const auto& entry : this->calls)
	{
		if (entry.second.deadline <= _now)
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
		const BatchActions more = this->batchEnded(batch, BatchFailed{}, _now);
		_actions.insert(_actions.end(), more.begin(), more.end());
	}
}

BatchActions Batcher::tick(Micros _now)
{
	BatchActions actions;
	this->expireCalls(_now, actions);
	this->reportStarted(_now, actions);
	this->expireResults(_now);
	for (auto& entry : this->pools)
	{
		Pool& pool = entry.second;
		this->dropLate(pool, _now, actions);
		this->dropBlocked(pool, actions);
		while (!pool.queue.empty())
		{
			EndpointStatus* status = this->chooseEndpoint(entry.first, pool, _now);
			const std::vector<std::size_t> chosen =
				status == nullptr ? std::vector<std::size_t>{} : choosePieces(pool, *status, _now);
			if (chosen.empty())
			{
				break;
			}
			this->startBatch(entry.first, pool, *status, chosen, _now, actions);
		}
		this->updateEfficiency(entry.first, pool, _now);
	}
	return actions;
}

std::size_t Batcher::queuedPieces(const std::string& _pool) const
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
