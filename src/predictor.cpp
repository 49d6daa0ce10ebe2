/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the service time prediction.

#include "predictor.h"

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr std::int64_t kSamplesNeeded = 8;
constexpr double kSmoothing = 0.1;
constexpr double kLevelsPerLoad = 5.0; ///< Levels up to a load of one; the last level is everything above.
constexpr double kAnyLoad = 1e9;
/// Prompt tokens that cost about as much as one generated token.
constexpr double kPromptTokensPerUnit = 16.0;

double unitsOf(const StageRow& _stage, const RequestSpec& _request)
{
	if (_stage.kind != StageKind::Engine)
	{
		return 1.0;
	}
	const auto generated = static_cast<double>(_request.maxTokens);
	const auto prompt = static_cast<double>(_request.promptTokens);
	return std::max(1.0, generated + prompt / kPromptTokensPerUnit);
}

} // namespace

std::size_t Predictor::levelOf(double _load)
{
	const double level = std::max(0.0, _load) * kLevelsPerLoad;
	return std::min(static_cast<std::size_t>(level), kLevels - 1);
}

const Predictor::Estimate* Predictor::nearest(const Levels& _levels, std::size_t _level)
{
	for (std::size_t distance = 0; distance < kLevels; ++distance)
	{
		// Where nothing was seen at this load, the next lower one stands in for it, and then the next higher one.
		if (distance <= _level && _levels.at(_level - distance).samples >= kSamplesNeeded)
		{
			return &_levels.at(_level - distance);
		}
		if (_level + distance < kLevels && _levels.at(_level + distance).samples >= kSamplesNeeded)
		{
			return &_levels.at(_level + distance);
		}
	}
	return nullptr;
}

double Predictor::serviceTime(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
							  double _load, double _deviations) const
{
	const auto found = this->estimates.find({_pipeline, _stage.name});
	const Estimate* estimate = found == this->estimates.end() ? nullptr : nearest(found->second, levelOf(_load));
	if (estimate == nullptr)
	{
		return static_cast<double>(_stage.expectedMs * kMillisecond);
	}
	return (estimate->mean + _deviations * estimate->deviation) * unitsOf(_stage, _request);
}

double Predictor::loadLimit(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
							double _time) const
{
	double limit = -1;
	for (std::size_t level = 0; level < kLevels; ++level)
	{
		const double load = static_cast<double>(level) / kLevelsPerLoad;
		if (this->serviceTime(_pipeline, _stage, _request, load, 0) > _time)
		{
			break;
		}
		limit = level + 1 == kLevels ? kAnyLoad : static_cast<double>(level + 1) / kLevelsPerLoad;
	}
	return limit;
}

void Predictor::measured(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
						 double _load, double _time)
{
	Estimate& estimate = this->estimates[{_pipeline, _stage.name}].at(levelOf(_load));
	const double sample = _time / unitsOf(_stage, _request);
	estimate.samples += 1;
	const double share = std::max(kSmoothing, 1.0 / static_cast<double>(estimate.samples));
	const double error = sample - estimate.mean;
	estimate.mean += share * error;
	estimate.deviation += share * (std::abs(error) - estimate.deviation);
	if (estimate.samples == 1)
	{
		estimate.deviation = 0;
	}
}

} // namespace roadferry
