/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Predicts the service time of a pipeline's stage from measurements.

#ifndef ROADFERRY_PREDICTOR_H_HEADER_GUARD
#define ROADFERRY_PREDICTOR_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// Keeps the smoothed service time per unit of work for each pair of pipeline and stage.
class Predictor
{
public:
	/// Predicts the service time of one call on an endpoint, without the wait in this node's queue.
	/// @param[in] _pipeline Name of the pipeline.
	/// @param[in] _stage Row of the stage.
	/// @param[in] _request The request, for its token counts.
	/// @param[in] _deviations Number of mean absolute deviations added to the mean.
	/// @returns Service time in microseconds; the expected time of the stage's row until enough calls were measured.
	[[nodiscard]] double serviceTimeUs(const std::string& _pipeline, const StageRow& _stage,
									   const RequestSpec& _request, double _deviations) const;

	/// Records a measured service time in microseconds.
	void record(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request, double _measuredUs);

private:
	struct Estimate
	{
		double mean = 0;      ///< Microseconds per unit of work.
		double deviation = 0; ///< Mean absolute deviation, in microseconds per unit of work.
		std::int64_t samples = 0;
	};

	std::map<std::pair<std::string, std::string>, Estimate> estimates;
};

} // namespace roadferry

#endif // ROADFERRY_PREDICTOR_H_HEADER_GUARD
