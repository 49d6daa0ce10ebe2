/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stages of forwarded requests: predicted times, where pieces are computed, and the handling of their results.

#include "clock.h"
#include "forward_active.h"
#include "logging.h"

#include <xxhash.h>

#include <algorithm>

namespace roadferry
{

namespace
{

/// Longest Retry-After that clients accept, as a share of their timeout.
constexpr double kMaxRetryAfterShare = 1.0 / 3;
constexpr double kRetryAfterMinFactor = 0.5; ///< Range of the Retry-After, as shares of the longest one.
constexpr double kRetryAfterMaxFactor = 0.95;
constexpr std::uint64_t kRetryAfterSteps = 1'000;
/// Reduction of the permitted wait per priority step, so that less urgent requests are refused first and the backlog
/// leaves capacity for urgent ones.
constexpr double kSlackReductionPerPriority = 0.5;
constexpr double kFirstEventSmoothing = 0.05;
constexpr Micros kDefaultFirstEventTime = 300 * kMillisecond; ///< Used until a time has been measured.
constexpr std::int64_t kLargeResultBytes = 100'000; ///< Size from which the location of a result is considered.

} // namespace

void ForwardTraffic::recordFirstEventTime(const ActiveRequest& _active)
{
	const Micros first = _active.answer.times().firstAt;
	if (first <= _active.attemptStartedAt || _active.attempts != 1)
	{
		return;
	}
	const auto sample = static_cast<double>(first - _active.attemptStartedAt);
	double& time = this->firstEventTimes.try_emplace(_active.pool, kDefaultFirstEventTime).first->second;
	time += kFirstEventSmoothing * (sample - time);
}

Micros ForwardTraffic::firstEventTime(const std::string& _pool) const
{
	const auto found = this->firstEventTimes.find(_pool);
	return found == this->firstEventTimes.end() ? kDefaultFirstEventTime : static_cast<Micros>(found->second);
}

/// Returns what a request needs from its pools to meet its target time. Sent with its first pieces.
AdmissionTerms ForwardTraffic::makeAdmissionTerms(const ActiveRequest& _active) const
{
	const StagedRoute staged{*_active.plan, _active.route, _active.request.pieceCounts};
	AdmissionTerms terms;
	terms.demand = staged.demand();
	const Micros slack = _active.route.latencyTarget - staged.totalTime() - this->firstEventTime(_active.pool);
	const double rank = static_cast<double>(std::max<std::int64_t>(0, _active.priority));
	terms.maxWait = static_cast<Micros>(static_cast<double>(slack) / (1 + kSlackReductionPerPriority * rank));
	// A request with clearly less time than its route allows has most likely been refused before, so it is not
	// refused again.
	const bool isFirstTry = _active.deadline - _active.arrivedAt > _active.route.timeLimit * 9 / 10;
	terms.refusable = isFirstTry && !_active.streamVersion;
	return terms;
}

/// Returns the Retry-After of a request that is not admitted. It is spread over the time that the client accepts, so
/// that the requests of one burst do not all return at once, and most return after the burst.
Micros ForwardTraffic::jitteredRetryAfter(const ActiveRequest& _active)
{
	const double longest = static_cast<double>(_active.deadline - _active.arrivedAt) * kMaxRetryAfterShare;
	const std::uint64_t step = XXH3_64bits(_active.request.id.data(), _active.request.id.size()) % kRetryAfterSteps;
	const double fraction = static_cast<double>(step) / static_cast<double>(kRetryAfterSteps);
	return static_cast<Micros>(longest *
							   (kRetryAfterMinFactor + (kRetryAfterMaxFactor - kRetryAfterMinFactor) * fraction));
}

/// Returns the bytes transferred from a stage's results to the pieces that use them: each such piece fetches all
/// results.
std::int64_t ForwardTraffic::downstreamBytes(const ActiveRequest& _active, std::size_t _stage) const
{
	const std::vector<RouteStage>& stages = _active.route.stages;
	const std::vector<std::int64_t>& counts = _active.request.pieceCounts;
	const auto countOf = [&](std::size_t _index) { return _index < counts.size() ? counts[_index] : 0; };
	std::int64_t fetches = 0;
	for (std::size_t next = 0; next < stages.size(); ++next)
	{
		const std::vector<std::size_t>& after = stages[next].after;
		fetches += std::find(after.begin(), after.end(), _stage) != after.end() ? countOf(next) : 0;
	}
	return stages[_stage].resultBytes * countOf(_stage) * std::max<std::int64_t>(1, fetches);
}

/// @returns Preferred failure domain for a stage's pieces: the domain that holds their inputs, if these are large, or
/// the domain where the request itself will run, if their results are large; empty when it does not matter.
std::string ForwardTraffic::preferredDomain(const ActiveRequest& _active, std::size_t _stage) const
{
	std::map<std::string, std::int64_t> bytesIn;
	for (const std::size_t before : _active.route.stages[_stage].after)
	{
		for (const std::string& handle : _active.graph.handlesOf(before))
		{
			const auto domain = _active.resultDomains.find(handle);
			if (domain != _active.resultDomains.end())
			{
				bytesIn[domain->second] += this->downstreamBytes(_active, before);
			}
		}
	}
	const auto most =
		std::max_element(bytesIn.begin(), bytesIn.end(),
						 [](const auto& _left, const auto& _right) { return _left.second < _right.second; });
	if (most != bytesIn.end() && most->second >= kLargeResultBytes)
	{
		return most->first;
	}
	return this->downstreamBytes(_active, _stage) >= kLargeResultBytes ? _active.homeDomain : std::string();
}

PieceOrder ForwardTraffic::makeOrder(const ActiveRequest& _active, const PieceIndex& _piece) const
{
	const RouteStage& stage = _active.route.stages[_piece.stage];
	const StagedRoute staged{*_active.plan, _active.route, _active.request.pieceCounts};
	const Micros laterStages = staged.timeAfter(_piece.stage);
	const Micros untilFirstEvent = laterStages + this->firstEventTime(_active.pool);
	PieceOrder order;
	order.request = _active.request.id;
	order.index = _piece;
	order.key = stage.after.empty() ? _active.request.pieceKey : std::string();
	order.inputs = _active.graph.inputsOf(_piece.stage);
	order.deadline = std::min(_active.stagesDeadline - laterStages, _active.deadline - untilFirstEvent);
	// The target of a stream is its first event, which the client of a resumed one has: it is only too late if useless.
	order.resumesStream = _active.streamVersion.has_value();
	order.due =
		order.resumesStream ? order.deadline : _active.arrivedAt + _active.route.latencyTarget - untilFirstEvent;
	order.priority = _active.priority;
	order.resultBytes = stage.resultBytes;
	order.preferredDomain = this->preferredDomain(_active, _piece.stage);
	order.content = _active.digest;
	return order;
}

void ForwardTraffic::orderPieces(const ActiveRequestPtr& _active)
{
	const bool first = !std::exchange(_active->admissionRequested, true);
	std::optional<AdmissionTerms> terms = first ? std::optional(this->makeAdmissionTerms(*_active)) : std::nullopt;
	std::map<std::string, std::vector<PieceOrder>> byPool;
	const StagedRoute staged{*_active->plan, _active->route, _active->request.pieceCounts};
	const auto shouldStart = [&](std::size_t _stage) { return staged.shouldStart(_stage, _active->graph); };
	for (const PieceIndex& piece : _active->graph.takeReady(shouldStart))
	{
		PieceOrder order = this->makeOrder(*_active, piece);
		order.orderId = ++this->lastOrder;
		_active->orders.insert(order.orderId);
		this->pieceOrders.emplace(order.orderId, std::make_pair(_active->id, piece));
		byPool[_active->route.stages[piece.stage].pool].push_back(std::move(order));
	}
	for (const auto& entry : byPool)
	{
		logEvent("request", "pieces_ordered",
				 {{"request", _active->request.id},
				  {"pool", entry.first},
				  {"pieces", entry.second.size()},
				  {"first_stage", entry.second.front().index.stage},
				  {"waited_ms", (monotonicNow() - _active->arrivedAt) / kMillisecond}});
		this->pieces.submit(entry.first, entry.second, std::exchange(terms, std::nullopt));
	}
}

void ForwardTraffic::onPieceStarted(const PieceStarted& _started)
{
	const auto found = this->pieceOrders.find(_started.orderId);
	if (found == this->pieceOrders.end())
	{
		return;
	}
	const ActiveRequestPtr active = this->findActive(found->second.first);
	active->graph.markStarted(found->second.second);
	this->pieces.free(active->graph.takeUnneeded());
}

void ForwardTraffic::onPieceCompleted(const PieceCompleted& _completed)
{
	const auto found = this->pieceOrders.find(_completed.orderId);
	if (found == this->pieceOrders.end())
	{
		this->pieces.free({_completed.handle});
		return;
	}
	const auto [request, piece] = found->second;
	this->pieceOrders.erase(found);
	const ActiveRequestPtr active = this->findActive(request);
	active->orders.erase(_completed.orderId);
	active->graph.markCompleted(piece, _completed.handle);
	active->resultDomains[_completed.handle] = _completed.failureDomain;
	this->pieces.free(active->graph.takeUnneeded());
	if (active->graph.isComplete())
	{
		this->submit(active);
		return;
	}
	this->orderPieces(active);
}

void ForwardTraffic::onPieceFailed(const PieceFailed& _failed)
{
	const auto found = this->pieceOrders.find(_failed.orderId);
	if (found == this->pieceOrders.end())
	{
		return;
	}
	const auto [request, piece] = found->second;
	this->pieceOrders.erase(found);
	const ActiveRequestPtr active = this->findActive(request);
	active->orders.erase(_failed.orderId);
	logEvent("request", "piece_failed",
			 {{"request", active->request.id},
			  {"stage", piece.stage},
			  {"piece", piece.piece},
			  {"fault", std::string(nameOf(_failed.fault))}});
	if (this->refuseIfBlocked(active))
	{
		return;
	}
	const bool inTime = monotonicNow() < active->arrivedAt + active->route.latencyTarget;
	if (_failed.fault == PieceFault::InputGone && active->stageReruns < kMaxStageReruns && inTime)
	{
		this->rerunStages(active);
		return;
	}
	if (_failed.fault == PieceFault::NotAdmitted)
	{
		// Now it would be late and delay other requests; after the backlog has shrunk it can still be in time.
		this->giveUp(active, Reason::WouldBeLate, jitteredRetryAfter(*active));
		return;
	}
	const bool late = _failed.fault == PieceFault::Late;
	this->giveUp(active, late ? Reason::WouldBeLate : Reason::NoEndpoint, kShortRetryAfter);
}

/// Runs all stages again after a result was lost.
void ForwardTraffic::rerunStages(const ActiveRequestPtr& _active)
{
	_active->stageReruns += 1;
	_active->inputsFreed = false;
	_active->submitted = false;
	this->deadlines.erase({_active->stagesDeadline, _active->id});
	if (_active->attempts > 0)
	{
		// It was sent to an endpoint, so a refusal could no longer state that it did not run.
		_active->stagesDeadline = _active->deadline;
	}
	const std::vector<std::uint64_t> orders(_active->orders.begin(), _active->orders.end());
	_active->orders.clear();
	for (const std::uint64_t order : orders)
	{
		this->pieceOrders.erase(order);
	}
	this->pieces.cancel(orders);
	this->pieces.free(_active->graph.takeRemaining());
	_active->graph = StageGraph(_active->route.stages, _active->request.pieceCounts);
	this->deadlines.emplace(_active->stagesDeadline, _active->id);
	this->orderPieces(_active);
}

/// @returns The failure domain that holds most of the results, empty unless these are large.
std::string ForwardTraffic::resultsDomain(const ActiveRequest& _active) const
{
	const bool large = std::any_of(_active.route.stages.begin(), _active.route.stages.end(),
								   [](const RouteStage& _stage) { return _stage.resultBytes >= kLargeResultBytes; });
	if (!large)
	{
		return {};
	}
	std::map<std::string, std::size_t> counts;
	for (const std::string& handle : _active.graph.results())
	{
		const auto domain = _active.resultDomains.find(handle);
		if (domain != _active.resultDomains.end())
		{
			counts[domain->second] += 1;
		}
	}
	const auto most =
		std::max_element(counts.begin(), counts.end(),
						 [](const auto& _left, const auto& _right) { return _left.second < _right.second; });
	return most == counts.end() ? std::string() : most->first;
}

/// Frees the inputs of the request, which its endpoint has fetched.
void ForwardTraffic::freeInputs(const ActiveRequestPtr& _active)
{
	_active->inputsFreed = true;
	this->pieces.free(_active->graph.takeRemaining());
}

} // namespace roadferry
