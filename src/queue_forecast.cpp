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

} // namespace roadferry
