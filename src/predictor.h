/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Predicts how long a stage of a pipeline takes, from what was measured.

#ifndef ROADFERRY_PREDICTOR_H_HEADER_GUARD
#define ROADFERRY_PREDICTOR_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// Smoothed service time per unit of work, for each pair of pipeline and stage.
class Predictor
{
public:
	/// Service time of one call on an endpoint, without waiting in this node's queue.
	/// @param[in] _pipeline Name of the pipeline.
	/// @param[in] _stage Row of the stage.
	/// @param[in] _request The request, for its token counts.
	/// @param[in] _deviations Deviations added to the mean.
	/// @returns Microseconds.
	[[nodiscard]] double serviceTimeUs(const std::string& _pipeline, const StageRow& _stage,
									   const RequestSpec& _request, double _deviations) const;

	/// Takes a measured service time in microseconds.
	void record(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request, double _measuredUs);

private:
	struct Estimate
	{
		double mean = 0; ///< Microseconds per unit of work.
		double deviation = 0;
		std::int64_t samples = 0;
	};

	std::map<std::pair<std::string, std::string>, Estimate> estimates;
};

} // namespace roadferry

#endif // ROADFERRY_PREDICTOR_H_HEADER_GUARD
