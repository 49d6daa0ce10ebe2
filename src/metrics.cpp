/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the metrics with Boost.Accumulators.

#include "metrics.h"

#include <absl/strings/str_cat.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace roadferry
{

namespace
{

namespace acc = boost::accumulators;

using Sum = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

/// Sum, count and estimated quantiles of one time series.
struct Series
{
	Sum sum;
	std::array<Quantile, kQuantiles.size()> quantiles = {Quantile(acc::quantile_probability = kQuantiles[0]),
														 Quantile(acc::quantile_probability = kQuantiles[1]),
														 Quantile(acc::quantile_probability = kQuantiles[2])};

	void add(double _value)
	{
		this->sum(_value);
		for (Quantile& quantile : this->quantiles)
		{
			quantile(_value);
		}
	}
};

void appendSummary(std::string& _text, const std::string& _name, const std::string& _labels, const Series& _series)
{
	for (std::size_t index = 0; index < kQuantiles.size(); ++index)
	{
		const double value = acc::p_square_quantile(_series.quantiles.at(index));
		absl::StrAppend(&_text, _name, "{", _labels, ",quantile=\"", kQuantiles.at(index), "\"} ", value, "\n");
	}
	absl::StrAppend(&_text, _name, "_sum{", _labels, "} ", acc::sum(_series.sum), "\n");
	absl::StrAppend(&_text, _name, "_count{", _labels, "} ", acc::count(_series.sum), "\n");
}

void appendValue(std::string& _text, const std::string& _name, const char* _type, std::uint64_t _value)
{
	absl::StrAppend(&_text, "# TYPE ", _name, " ", _type, "\n", _name, " ", _value, "\n");
}

std::string makeLabel(const char* _name, std::string_view _value)
{
	return absl::StrCat(_name, "=\"", std::string(_value), "\"");
}

} // namespace

/// Maps are keyed by the labels of a series in the Prometheus text format.
struct Metrics::Impl
{
	std::map<std::string, Series> requests;
	std::map<std::string, Series> stages;
	std::map<std::string, std::uint64_t> tokens;
};

Metrics::Metrics() : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::recordRequest(const std::string& _pipeline, const Outcome& _outcome, double _seconds)
{
	const std::string labels =
		absl::StrCat(makeLabel("pipeline", _pipeline), ",", makeLabel("outcome", nameOf(_outcome.verdict)), ",",
					 makeLabel("reason", nameOf(_outcome.reason)));
	const std::lock_guard<std::mutex> guard(this->lock);
	this->impl->requests[labels].add(_seconds);
}

void Metrics::recordStage(const std::string& _pipeline, const std::string& _stage, double _seconds,
						  std::int64_t _tokens)
{
	const std::string labels = absl::StrCat(makeLabel("pipeline", _pipeline), ",", makeLabel("stage", _stage));
	const std::lock_guard<std::mutex> guard(this->lock);
	this->impl->stages[labels].add(_seconds);
	this->impl->tokens[labels] += static_cast<std::uint64_t>(_tokens);
}

std::string Metrics::toPrometheus(const DispatcherCounters& _counters, std::size_t _inFlight) const
{
	std::string text;
	appendValue(text, "roadferry_requests_submitted_total", "counter", _counters.submitted);
	appendValue(text, "roadferry_attempts_total", "counter", _counters.attempts);
	appendValue(text, "roadferry_retries_total", "counter", _counters.retries);
	appendValue(text, "roadferry_late_answers_total", "counter", _counters.lateAnswers);
	appendValue(text, "roadferry_requests_in_flight", "gauge", _inFlight);
	const std::lock_guard<std::mutex> guard(this->lock);
	absl::StrAppend(&text, "# TYPE roadferry_request_seconds summary\n");
	for (const auto& entry : this->impl->requests)
	{
		appendSummary(text, "roadferry_request_seconds", entry.first, entry.second);
	}
	absl::StrAppend(&text, "# TYPE roadferry_stage_seconds summary\n");
	for (const auto& entry : this->impl->stages)
	{
		appendSummary(text, "roadferry_stage_seconds", entry.first, entry.second);
	}
	absl::StrAppend(&text, "# TYPE roadferry_stage_tokens_total counter\n");
	for (const auto& entry : this->impl->tokens)
	{
		absl::StrAppend(&text, "roadferry_stage_tokens_total{", entry.first, "} ", entry.second, "\n");
	}
	return text;
}

} // namespace roadferry
