/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What a Batcher predicts of its pools: waits in their queues, and the rates that they reach.

#include <roadferry/parts/batches.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace roadferry
{

namespace
{

constexpr Micros kWaitWithoutEndpoints = kSecond; ///< Assumed wait for an endpoint to be listed.

} // namespace

/// Returns the pieces per second with full calls at all listed endpoints.
double Batcher::nominalRate(const std::string& _name, const Pool& _pool) const
{
	const Micros callTime = _pool.limits.callTime + _pool.limits.pieceTime * _pool.limits.maxPieces;
	const auto endpointCount = std::count_if(this->endpoints.begin(), this->endpoints.end(),
											 [&](const auto& _entry) { return isUsableFor(_name, _entry.second); });
	const std::int64_t concurrentPieces = endpointCount * _pool.limits.slots * _pool.limits.maxPieces;
	return callTime <= 0
			   ? 0
			   : static_cast<double>(concurrentPieces) * static_cast<double>(kSecond) / static_cast<double>(callTime);
}

/// Measures while pieces wait for longer than they would for a failure domain.
void Batcher::updateEfficiency(const std::string& _name, Pool& _pool, Micros _now)
{
	const Micros addedBefore = _now - this->config.localityWait;
	const bool overloaded = std::any_of(_pool.queue.begin(), _pool.queue.end(),
										[&](const QueuedPiece& _piece)
										{ return canBeInTime(_pool, _piece, _now) && _piece.addedAt < addedBefore; });
	const std::int64_t started = std::exchange(_pool.startedPieces, 0);
	_pool.efficiency.update(overloaded, started, this->nominalRate(_name, _pool), _now);
}

std::optional<std::int64_t> Batcher::rate(const std::string& _pool) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end() || found->second.limits.callTime <= 0)
	{
		return std::nullopt;
	}
	return std::llround(this->nominalRate(_pool, found->second) * found->second.efficiency.share());
}

std::map<std::string, std::int64_t> Batcher::rates() const
{
	std::map<std::string, std::int64_t> rates;
	for (const auto& entry : this->pools)
	{
		if (const auto rate = this->rate(entry.first))
		{
			rates[entry.first] = *rate;
		}
	}
	return rates;
}

std::vector<CallSlot> Batcher::callSlots(const std::string& _name, const Pool& _pool, Micros _now) const
{
	const auto fullCall = static_cast<std::size_t>(_pool.fullCallSize.pieces(_pool.limits.maxPieces));
	std::vector<CallSlot> slots;
	for (const auto& entry : this->endpoints)
	{
		const EndpointStatus& status = entry.second;
		if (!isUsableFor(_name, status))
		{
			continue;
		}
		const Micros callTime = this->predictedCallTime(_pool.limits, status, fullCall);
		for (std::int64_t slot = 0; slot < _pool.limits.slots; ++slot)
		{
			const Micros freeAt = slot < status.calls ? status.freeAt : _now;
			slots.push_back(CallSlot{std::max(freeAt, status.pausedUntil), callTime});
		}
	}
	return slots;
}

std::optional<Micros> Batcher::waitTime(const std::string& _pool, Micros _due, std::int64_t _pieces, Micros _now) const
{
	const auto found = this->pools.find(_pool);
	if (found == this->pools.end() || found->second.limits.callTime <= 0)
	{
		return std::nullopt;
	}
	const Pool& pool = found->second;
	const QueueForecast forecast{this->callSlots(_pool, pool, _now), pool.fullCallSize.pieces(pool.limits.maxPieces)};
	if (forecast.slots.empty())
	{
		return kWaitWithoutEndpoints;
	}
	const auto ahead = std::count_if(pool.queue.begin(), pool.queue.end(),
									 [&](const QueuedPiece& _piece)
									 { return canBeInTime(pool, _piece, _now) && _piece.order.due <= _due; });
	return forecast.waitTime(ahead + std::max<std::int64_t>(1, _pieces) - 1, _now);
}

std::optional<Micros> Batcher::queueWaitTime(const std::string& _pool, Micros _now) const
{
	return this->waitTime(_pool, std::numeric_limits<Micros>::max(), 1, _now);
}

std::map<std::string, Micros> Batcher::waitTimes(Micros _now) const
{
	std::map<std::string, Micros> waits;
	for (const auto& entry : this->pools)
	{
		if (const auto wait = this->queueWaitTime(entry.first, _now))
		{
			waits[entry.first] = *wait;
		}
	}
	return waits;
}

} // namespace roadferry
