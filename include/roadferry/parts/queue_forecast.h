/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: predicted wait of a piece in the queue of a pool that computes pieces in batches.

#ifndef ROADFERRY_PARTS_QUEUE_FORECAST_H_HEADER_GUARD
#define ROADFERRY_PARTS_QUEUE_FORECAST_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <cstdint>
#include <vector>

namespace roadferry
{

/// One call at a time at an endpoint.
struct CallSlot
{
	Micros freeAt = 0;   ///< Time point at which its current call ends; in the past for an idle one.
	Micros callTime = 0; ///< Duration of a full call.
	bool operator==(const CallSlot&) const = default;
};

/// The calls that a pool makes while pieces are waiting, for list scheduling: each full call goes to the slot that
/// becomes free first.
struct QueueForecast
{
	std::vector<CallSlot> slots;
	std::int64_t piecesPerCall = 1; ///< Pieces in a full call.

	/// @param[in] _piecesAhead Pieces that are computed before this one.
	/// @returns Time until the call that contains the piece starts; 0 for a pool without slots.
	[[nodiscard]] Micros waitTime(std::int64_t _piecesAhead, Micros _now) const;
};

/// Number of pieces in the calls of a pool that has more pieces waiting than fit. Results that wait for space, and a
/// share for late pieces, keep it below the limit of a call.
class FullCallSize
{
public:
	/// Records a call that left pieces in the queue.
	/// @param[in] _pieces Pieces of the call that can still meet their due time.
	void record(std::int64_t _pieces);

	/// @param[in] _maxPieces Limit of a call, which is assumed until a call was recorded.
	[[nodiscard]] std::int64_t pieces(std::int64_t _maxPieces) const;

private:
	double mean = 0; ///< Smoothed; 0 until a call was recorded.
};

/// Share of its nominal rate that a pool reaches: calls that are not full, results that wait for space, and slow or
/// lost endpoints reduce it. Measured while pieces wait; while none do, what the pool computes is only a lower bound.
class PoolEfficiency
{
public:
	/// Call it whenever calls may have started.
	/// @param[in] _overloaded Whether pieces that can be in time have to wait for a call.
	/// @param[in] _started Pieces in the calls that started since the last update.
	/// @param[in] _nominalRate Pieces per second with full calls at all endpoints.
	void update(bool _overloaded, std::int64_t _started, double _nominalRate, Micros _now);

	/// @returns Whether pieces had to wait at the last update.
	[[nodiscard]] bool isOverloaded() const;

	/// @returns The measured share, at most 1.
	[[nodiscard]] double share() const;

private:
	double mean = 0.75; ///< Assumed until it was measured.
	bool overloaded = false;
	Micros updatedAt = 0;
	Micros sampleTime = 0;
	Micros overloadedTime = 0; ///< Part of the sample.
	double samplePieces = 0;
	double nominalPieces = 0; ///< Pieces at the nominal rate in the time of the sample.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_QUEUE_FORECAST_H_HEADER_GUARD
