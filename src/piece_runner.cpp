/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Runs pieces on endpoints.

#include "piece_runner.h"

#include "clock.h"
#include "logging.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace roadferry
{

namespace
{

constexpr Micros kConnectTimeout = 400 * kMillisecond; ///< Across failure domains a connection opens in 2 ms.
constexpr Micros kFreeTimeout = kSecond;
constexpr std::size_t kMaxBatchResponseBytes = 1024 * 1024; ///< A response holds a handle for each piece.
constexpr std::size_t kMaxFreeResponseBytes = 64 * 1024;
constexpr RequestDigest kUnknownContent = 0; ///< Of an order from a node of an earlier version.
constexpr std::size_t kCrashesOfSuspect = 2; ///< One crash is most often that of an endpoint, not of a request.

std::string_view outcomeName(const BatchEnd& _end)
{
	return std::visit(Overloaded{[](const BatchAnswered&) { return "answered"; },
								 [](const BatchRefused&) { return "refused"; },
								 [](const BatchFailed&) { return "cut"; }},
					  _end);
}

/// @returns Number of pieces that were not computed, by reason.
std::string faultCounts(const BatchEnd& _end)
{
	const auto* answered = std::get_if<BatchAnswered>(&_end);
	std::map<std::string, std::size_t> counts;
	if (answered != nullptr)
	{
		for (const auto& result : answered->results)
		{
			if (const auto* fault = std::get_if<PieceFault>(&result))
			{
				counts[std::string(nameOf(*fault))] += 1;
			}
		}
	}
	return absl::StrJoin(counts, " ", absl::PairFormatter("="));
}

/// Logs one line per batch, with each piece as request/stage/piece/milliseconds until it is due.
void logBatch(const StartBatch& _batch, std::uint64_t _listingPosition, Micros _now)
{
	std::string pieces;
	for (const PieceOrder& order : _batch.orders)
	{
		absl::StrAppend(&pieces, pieces.empty() ? "" : " ", order.request, "/", order.index.stage, "/",
						order.index.piece, "/", (order.due - _now) / kMillisecond);
	}
	logEvent("pieces", "batch_started",
			 {{"batch", _batch.batch},
			  {"pool", _batch.pool},
			  {"endpoint", _batch.endpoint.id},
			  {"listing", _listingPosition},
			  {"pieces", pieces}});
}

/// Logs why a request was not admitted. The node that submitted it logs the answer to the client.
void logNotAdmitted(const RequestNotAdmitted& _refused)
{
	const auto inMs = [](std::string* _out, const auto& _entry)
	{ absl::StrAppend(_out, _entry.first, "=", _entry.second / kMillisecond); };
	logEvent("pieces", "request_crowded",
			 {{"request", _refused.request},
			  {"from", _refused.from},
			  {"wait_most_ms", _refused.maxWait / kMillisecond},
			  {"waits_ms", absl::StrJoin(_refused.waits, " ", inMs)}});
}

} // namespace

PieceRunner::PieceRunner(EndpointCalls& _endpointCalls, const WireFormat& _wire, CrashMonitor& _crashes,
						 PieceScheduler _scheduler, PieceHandlers _handlers)
	: endpointCalls(_endpointCalls), wire(_wire), crashes(_crashes), scheduler(std::move(_scheduler)),
	  handlers(std::move(_handlers))
{
}

void PieceRunner::setPlan(const RoutePlan& _plan)
{
	this->scheduler.setPools(_plan.data().pools);
}

void PieceRunner::setEndpoints(const std::vector<Endpoint>& _endpoints, std::uint64_t _position)
{
	this->listingPosition = _position;
	this->scheduler.setEndpoints(_endpoints);
	this->tick();
}

void PieceRunner::setMembers(const std::vector<std::string>& _members, const std::vector<std::string>& _batchingNodes)
{
	this->scheduler.setMembers(_members, _batchingNodes, monotonicNow());
}

void PieceRunner::submit(const std::string& _pool, const std::vector<PieceOrder>& _orders,
						 const std::optional<AdmissionTerms>& _admission)
{
	this->perform(this->scheduler.submit(_pool, _orders, _admission, monotonicNow()));
}

void PieceRunner::cancel(const std::vector<std::uint64_t>& _orders)
{
	this->perform(this->scheduler.cancel(_orders, monotonicNow()));
}

void PieceRunner::free(const std::vector<std::string>& _handles)
{
	this->unneededResults.insert(this->unneededResults.end(), _handles.begin(), _handles.end());
}

/// Queues a request to the endpoint that keeps a result to drop it.
void PieceRunner::queueFree(const std::string& _handle)
{
	const std::string address = this->wire.resultAddress(_handle);
	if (!address.empty())
	{
		this->pendingFrees[address].push_back(_handle);
	}
}

void PieceRunner::receive(const std::string& _from, const PieceMessage& _message)
{
	this->perform(this->scheduler.receive(_from, _message, monotonicNow()));
}

void PieceRunner::peerClosed(const std::string& _peer)
{
	this->perform(this->scheduler.peerClosed(_peer, monotonicNow()));
}

void PieceRunner::tick()
{
	if (!this->unneededResults.empty())
	{
		this->perform(this->scheduler.free(std::exchange(this->unneededResults, {}), monotonicNow()));
	}
	this->updateCrashedRequests();
	this->perform(this->scheduler.tick(monotonicNow()));
	this->sendFrees();
}

void PieceRunner::perform(const PieceActions& _actions)
{
	for (const PieceAction& action : _actions)
	{
		std::visit(
			Overloaded{
				[&](const StartBatch& _start) { this->start(_start); },
				[&](const CancelBatch& _cancel) { this->cancelCall(_cancel.batch); },
				[&](const PieceStarted& _started) { this->handlers.onStarted(_started); },
				[&](const PieceCompleted& _completed) { this->handlers.onCompleted(_completed); },
				[&](const PieceFailed& _failed) { this->handlers.onFailed(_failed); },
				[&](const SendPieceMessage& _send) { this->handlers.send(_send.to, _send.message); },
				[&](const FreeResult& _free) { this->queueFree(_free.handle); },
				[&](const RequestNotAdmitted& _refused) { logNotAdmitted(_refused); },
			},
			action);
	}
}

void PieceRunner::start(const StartBatch& _batch)
{
	const Micros now = monotonicNow();
	logBatch(_batch, this->listingPosition, now);
	CallSpec spec;
	spec.address = _batch.endpoint.address;
	spec.request = this->wire.makeBatchRequest(_batch, now);
	// The scheduler cancels the call earlier; this is a fallback.
	spec.timeout = _batch.deadline - now + kConnectTimeout;
	spec.connectTimeout = kConnectTimeout;
	spec.maxResponseBytes = kMaxBatchResponseBytes;
	spec.detectDeadConnection = true;
	CallHandlers calls;
	calls.onEnd = [this, _batch, now](const CallEnd& _end) { this->onCallEnded(_batch, now, _end); };
	EndpointCall call{std::move(spec), _batch.endpoint.id, absl::StrCat("batch ", _batch.batch)};
	this->calls[_batch.batch] = this->endpointCalls.call(std::move(call), std::move(calls));
}

void PieceRunner::onCallEnded(const StartBatch& _batch, Micros _startedAt, const CallEnd& _end)
{
	this->calls.erase(_batch.batch);
	const BatchEnd end = this->wire.parseBatchResponse(_end, _batch.orders.size());
	logEvent("pieces", "batch_ended",
			 {{"batch", _batch.batch},
			  {"pool", _batch.pool},
			  {"endpoint", _batch.endpoint.id},
			  {"pieces", _batch.orders.size()},
			  {"end", std::string(outcomeName(end))},
			  {"faults", faultCounts(end)},
			  {"status", _end.status},
			  {"error", _end.error},
			  {"took_ms", (monotonicNow() - _startedAt) / kMillisecond}});
	const bool isCutOff = _end.endsWithConnection && std::holds_alternative<BatchFailed>(end);
	if (!_end.connectionLost && !isCutOff)
	{
		this->concludeBatch(_batch.batch, end);
		return;
	}
	BrokenCall broken{_batch.endpoint.id, _batch.endpoint.address, _batch.pool, {}};
	for (const PieceOrder& order : _batch.orders)
	{
		broken.requests.insert(order.content);
	}
	broken.requests.erase(kUnknownContent);
	this->crashes.onCallBroken(broken, monotonicNow(),
							   [this, batch = _batch.batch, end] { this->concludeBatch(batch, end); });
}

void PieceRunner::concludeBatch(std::uint64_t _batch, const BatchEnd& _end)
{
	this->updateCrashedRequests();
	this->perform(this->scheduler.batchEnded(_batch, _end, monotonicNow()));
}

void PieceRunner::updateCrashedRequests()
{
	const CrashLedger& ledger = this->crashes.ledger();
	if (std::exchange(this->crashRevision, ledger.revision()) != ledger.revision())
	{
		this->scheduler.setCrashedRequests(
			CrashedRequests{ledger.requestsWithCrashes(kCrashesOfSuspect), ledger.blockedRequests()});
	}
}

void PieceRunner::cancelCall(std::uint64_t _batch)
{
	const auto found = this->calls.find(_batch);
	if (found == this->calls.end())
	{
		return;
	}
	logEvent("pieces", "batch_given_up", {{"batch", _batch}});
	found->second->cancel();
	this->calls.erase(found);
}

void PieceRunner::sendFrees()
{
	const auto collected = std::exchange(this->pendingFrees, {});
	for (const auto& entry : collected)
	{
		CallSpec spec;
		spec.address = entry.first;
		spec.request = this->wire.makeFreeRequest(entry.second);
		spec.timeout = kFreeTimeout;
		spec.connectTimeout = kConnectTimeout;
		spec.maxResponseBytes = kMaxFreeResponseBytes;
		// The answer is ignored: results that are not freed expire.
		this->endpointCalls.callAndForget(std::move(spec));
	}
}

} // namespace roadferry
