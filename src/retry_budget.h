/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Budget that limits retries to a fraction of the first attempts.

#ifndef ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD
#define ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD

#include <roadferry/parts/dispatcher.h>

#include <algorithm>

namespace roadferry
{

/// Each first attempt earns a fraction of a retry; each retry costs one. A process begins with no retries, and its
/// first burst is released evenly over RetryBounds::firstBurstTime after its start.
class RetryBudget
{
public:
	/// @param[in] _startedAt When the process started, also for a budget that is first used later.
	RetryBudget(const RetryBounds& _bounds, Micros _startedAt)
		: bounds(_bounds), releasedUntil(_startedAt), releaseEnd(_startedAt + _bounds.firstBurstTime),
		  available(_bounds.firstBurstTime > 0 ? 0 : _bounds.burst)
	{
	}

	void recordFirstAttempt(Micros _now)
	{
		this->release(_now);
		this->add(this->bounds.share);
	}

	/// Takes one retry from the budget if there is one.
	/// @param[in] _minShare Share of the maximum that has to be there, 0 to 1: the rest is left to other retries.
	/// @returns Whether the retry may be made.
	bool tryTakeRetry(Micros _now, double _minShare = 0)
	{
		const bool isThere = this->hasRetry(_now, _minShare);
		this->available -= isThere ? 1 : 0;
		return isThere;
	}

	/// @returns Whether tryTakeRetry() would take one.
	bool hasRetry(Micros _now, double _minShare = 0)
	{
		this->release(_now);
		return this->available >= std::max(1.0, _minShare * this->bounds.burst);
	}

	/// Changes the limits from now on. Accumulated retries above the new maximum are discarded at once, and the end of
	/// the release is kept.
	void setBounds(const RetryBounds& _bounds, Micros _now)
	{
		this->release(_now);
		this->bounds = _bounds;
		this->add(0);
	}

private:
	void add(double _retries)
	{
		this->available = std::min(this->bounds.burst, this->available + _retries);
	}

	/// Adds what is due of the first burst.
	void release(Micros _now)
	{
		const Micros until = std::min(_now, this->releaseEnd);
		if (until <= this->releasedUntil)
		{
			return;
		}
		const auto elapsed = static_cast<double>(until - this->releasedUntil);
		this->releasedUntil = until;
		this->add(this->bounds.burst * elapsed / static_cast<double>(this->bounds.firstBurstTime));
	}

	RetryBounds bounds;
	Micros releasedUntil; ///< Time point up to which the first burst has been released.
	Micros releaseEnd;    ///< Time point at which all of it has been.
	double available;
};

/// Retries that the platform allows to all nodes together in any window.
struct RetryAllowance
{
	double share = 0.2;           ///< Retries per request.
	double slack = 20;            ///< Additional retries.
	Micros window = 10 * kSecond; ///< Duration of a window.
	bool operator==(const RetryAllowance&) const = default;
};

/// @param[in] _liveNodes Number of live nodes known, including this one.
/// @returns The limits of one of the nodes, by which all keep within the allowance, also if each of them is killed
/// again and again: in a window a node spends at most the burst that it has at its beginning, what is released during
/// it, and what its first attempts earn.
inline RetryBounds nodeRetryBounds(const RetryAllowance& _allowance, std::size_t _liveNodes)
{
	/// Part of the allowance for what is accumulated and earned. Below 1, since the nodes' views of the live members
	/// may differ for seconds; the rest is for first bursts.
	constexpr double kAccumulatedPart = 0.6;
	constexpr double kReleasedPart = 1 - kAccumulatedPart;
	constexpr std::size_t kMinNodes = 3; // Until the members are known.
	const auto nodes = static_cast<double>(std::max(kMinNodes, _liveNodes));
	RetryBounds bounds;
	bounds.share = _allowance.share * kAccumulatedPart;
	bounds.burst = _allowance.slack * kAccumulatedPart / nodes;
	bounds.firstBurstTime =
		static_cast<Micros>(static_cast<double>(_allowance.window) * kAccumulatedPart / kReleasedPart);
	return bounds;
}

} // namespace roadferry

#endif // ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD
