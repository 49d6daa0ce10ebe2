/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Budget that keeps retries to a share of first attempts.

#ifndef ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD
#define ROADFERRY_RETRY_BUDGET_H_HEADER_GUARD

#include <algorithm>

namespace roadferry
{

/// Each first attempt earns a part of a retry; each retry costs one.
class RetryBudget
{
public:
	/// @param[in] _share Retries earned by one first attempt.
	/// @param[in] _burst Most retries saved up; the budget begins full.
	RetryBudget(double _share, double _burst) : share(_share), burst(_burst), available(_burst)
	{
	}

	void recordFirstAttempt()
	{
		this->available = std::min(this->burst, this->available + this->share);
	}

	/// @returns Whether a retry may be made; if so it is paid for.
	bool tryTakeRetry()
	{
		if (this->available < 1)
		{
			return false;
		}
		this->available -= 1;
		return true;
	}

	/// Changes the bounds; what is saved up shrinks at once where the bound does.
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
