/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: a timeout that follows the time that answers take.

#ifndef ROADFERRY_PARTS_RESPONSE_TIMEOUT_H_HEADER_GUARD
#define ROADFERRY_PARTS_RESPONSE_TIMEOUT_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <algorithm>

namespace roadferry
{

/// Timeout of calls that are repeated: it doubles when a call times out, and is twice the time of the last answer
/// otherwise, so that calls to a server that has become slow succeed after a few tries.
class ResponseTimeout
{
public:
	/// @param[in] _shortest First timeout, in microseconds.
	/// @param[in] _longest Limit of its growth, in microseconds.
	ResponseTimeout(Micros _shortest, Micros _longest) : shortest(_shortest), longest(_longest), timeout(_shortest)
	{
	}

	/// @returns Timeout of the next call, in microseconds.
	[[nodiscard]] Micros current() const
	{
		return this->timeout;
	}

	/// @param[in] _timeout Timeout that the call had; of several calls at a time, the timeout grows only once.
	void onTimedOut(Micros _timeout)
	{
		this->timeout = std::max(this->timeout, std::min(this->longest, 2 * _timeout));
	}

	/// @param[in] _took Time from the start of the call to its answer, in microseconds.
	void onAnswered(Micros _took)
	{
		this->timeout = std::clamp(2 * _took, this->shortest, this->longest);
	}

private:
	Micros shortest;
	Micros longest;
	Micros timeout;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_RESPONSE_TIMEOUT_H_HEADER_GUARD
