/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the prediction of waits in a pool's queue.

#include <roadferry/parts/queue_forecast.h>

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr double kCallSizeSmoothing = 0.1;
constexpr double kEfficiencySmoothing = 0.3;
constexpr Micros kEfficiencySampleTime = 500 * kMillisecond; ///< About two calls.

} // namespace

Micros QueueForecast::waitTime(std::int64_t _piecesAhead, Micros _now) const
{
	if (this->slots.empty())
	{
		return 0;
	}
	const auto freeLater = [](const CallSlot& _left, const CallSlot& _right) { return _left.freeAt > _right.freeAt; };
	std::vector<CallSlot> heap = this->slots;
	for (CallSlot& slot : heap)
	{
		slot.freeAt = std::max(slot.freeAt, _now);
	}
	std::make_heap(heap.begin(), heap.end(), freeLater);
	for (std::int64_t ahead = _piecesAhead; ahead >= this->piecesPerCall; ahead -= this->piecesPerCall)
	{
		std::pop_heap(heap.begin(), heap.end(), freeLater);
		heap.back().freeAt += heap.back().callTime;
		std::push_heap(heap.begin(), heap.end(), freeLater);
	}
	return heap.front().freeAt - _now;
}

void FullCallSize::record(std::int64_t _pieces)
{
	const auto pieces = static_cast<double>(_pieces);
	this->mean = this->mean <= 0 ? pieces : this->mean + kCallSizeSmoothing * (pieces - this->mean);
}

std::int64_t FullCallSize::pieces(std::int64_t _maxPieces) const
{
	const std::int64_t measured = this->mean <= 0 ? _maxPieces : std::llround(this->mean);
	return std::max<std::int64_t>(1, std::min(measured, _maxPieces));
}

void PoolEfficiency::update(bool _overloaded, std::int64_t _started, double _nominalRate, Micros _now)
{
	const Micros passed = this->updatedAt == 0 ? 0 : _now - this->updatedAt;
	this->sampleTime += passed;
	this->overloadedTime += this->overloaded ? passed : 0;
	this->samplePieces += static_cast<double>(_started);
	this->nominalPieces += _nominalRate * static_cast<double>(passed) / static_cast<double>(kSecond);
	this->overloaded = _overloaded;
	this->updatedAt = _now;
	if (this->sampleTime < kEfficiencySampleTime)
	{
		return;
	}
	const bool wasOverloaded = 2 * this->overloadedTime > this->sampleTime;
	if (this->nominalPieces > 0)
	{
		const double sample = std::min(1.0, this->samplePieces / this->nominalPieces);
		const bool tellsCapacity = wasOverloaded || sample > this->mean;
		this->mean += tellsCapacity ? kEfficiencySmoothing * (sample - this->mean) : 0;
	}
	this->sampleTime = 0;
	this->overloadedTime = 0;
	this->samplePieces = 0;
	this->nominalPieces = 0;
}

bool PoolEfficiency::isOverloaded() const
{
	return this->overloaded;
}

double PoolEfficiency::share() const
{
	return this->mean;
}

} // namespace roadferry
