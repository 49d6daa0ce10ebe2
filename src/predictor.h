/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Predicts how long a stage of a pipeline takes, from what was measured.

#ifndef ROADFERRY_PREDICTOR_H_HEADER_GUARD
#define ROADFERRY_PREDICTOR_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <array>

namespace roadferry
{

/// Smoothed service time per unit of work, for each pair of pipeline and stage and each level of load: an endpoint that
/// batches takes longer for each call the more of them it runs.
class Predictor
{
public:
	/// Service time of one call on an endpoint, without waiting in this node's queue.
	/// @param[in] _pipeline Name of the pipeline.
	/// @param[in] _stage Row of the stage.
	/// @param[in] _request The request, for its token counts.
	/// @param[in] _load Load of the endpoint when the call begins, in calls over slots.
	/// @param[in] _deviations Deviations added to the mean.
	/// @returns Microseconds.
	[[nodiscard]] double serviceTime(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
									 double _load, double _deviations) const;

	/// Takes a measured service time in microseconds.
	/// @param[in] _load Load of the endpoint when the call began.
	void measured(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request, double _load,
				  double _time);

	/// @returns The load above which the call would take longer than it may; negative when it takes too long anywhere.
	[[nodiscard]] double loadLimit(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
								   double _time) const;

private:
	static constexpr std::size_t kLevels = 6; ///< Levels of load that are told apart.

	struct Estimate
	{
		double mean = 0; ///< Microseconds per unit of work.
		double deviation = 0;
		std::int64_t samples = 0;
	};

	using Levels = std::array<Estimate, kLevels>;

	[[nodiscard]] static std::size_t levelOf(double _load);
	[[nodiscard]] static const Estimate* nearest(const Levels& _levels, std::size_t _level);

	std::map<std::pair<std::string, std::string>, Levels> estimates;
};

} // namespace roadferry

#endif // ROADFERRY_PREDICTOR_H_HEADER_GUARD
