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

constexpr std::int64_t kMinSamples = 8;
constexpr double kSmoothing = 0.1;
/// Number of prompt tokens that take about as long as one generated token.
constexpr double kPromptTokensPerUnit = 16.0;

double workUnits(const StageRow& _stage, const RequestSpec& _request)
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

double Predictor::serviceTimeUs(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
								double _deviations) const
{
	const auto found = this->estimates.find({_pipeline, _stage.name});
	if (found == this->estimates.end() || found->second.samples < kMinSamples)
	{
		return static_cast<double>(_stage.expectedMs * kMillisecond);
	}
	const Estimate& estimate = found->second;
	return (estimate.mean + _deviations * estimate.deviation) * workUnits(_stage, _request);
}

void Predictor::record(const std::string& _pipeline, const StageRow& _stage, const RequestSpec& _request,
					   double _measuredUs)
{
	Estimate& estimate = this->estimates[{_pipeline, _stage.name}];
	const double sample = _measuredUs / workUnits(_stage, _request);
	estimate.samples += 1;
	const double gain = std::max(kSmoothing, 1.0 / static_cast<double>(estimate.samples));
	const double error = sample - estimate.mean;
	estimate.mean += gain * error;
	estimate.deviation += gain * (std::abs(error) - estimate.deviation);
	if (estimate.samples == 1)
	{
		estimate.deviation = 0;
	}
}

} // namespace roadferry
