/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Budget that limits retries to a fraction of the first attempts.

#ifndef ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD
#define ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD

#include <algorithm>

namespace roadferry
{

/// Each first attempt earns a fraction of a retry; each retry costs one.
class RetryBudget
{
public:
	/// @param[in] _share Retries earned by one first attempt.
	/// @param[in] _burst Maximum number of accumulated retries; the budget starts full.
	RetryBudget(double _share, double _burst) : share(_share), burst(_burst), available(_burst)
	{
	}

	void recordFirstAttempt()
	{
		this->available = std::min(this->burst, this->available + this->share);
	}

	/// Takes one retry from the budget if there is one.
	/// @returns Whether the retry may be made.
	bool tryTakeRetry()
	{
		if (this->available < 1)
		{
			return false;
		}
		this->available -= 1;
		return true;
	}

	/// Changes the limits. Accumulated retries above the new maximum are discarded at once.
	void setBounds(double _share, double _burst)
	{
		this->share = _share;
		this->burst = _burst;
		this->available = std::min(this->available, _burst);
	}

private:
	double share;
	double burst;
	double available;
};

} // namespace roadferry

#endif // ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD
