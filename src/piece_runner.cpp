/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the making of pieces.

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

std::string_view nameOfEnd(const BatchEnd& _end)
{
	return std::visit(Overloaded{[](const BatchAnswered&) { return "answered"; },
								 [](const BatchRefused&) { return "refused"; }, [](const BatchCut&) { return "cut"; }},
					  _end);
}

/// @returns How many pieces were not made, by reason.
std::string faultsOf(const BatchEnd& _end)
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

/// One line for each batch: which pieces of which requests, and how long until they are due.
void logBatch(const StartBatch& _batch, std::uint64_t _listing, Micros _now)
{
	std::string pieces;
	for (const PieceOrder& order : _batch.orders)
	{
		absl::StrAppend(&pieces, pieces.empty() ? "" : " ", order.request, "/", order.name.stage, "/", order.name.piece,
						"/", (order.due - _now) / kMillisecond);
	}
	logEvent("pieces", "batch_started",
			 {{"batch", _batch.batch},
			  {"pool", _batch.pool},
			  {"endpoint", _batch.endpoint.id},
			  {"listing", _listing},
			  {"pieces", pieces}});
}

/// Why a request was not let in. The node that asked logs what it answered.
void logCrowded(const RequestCrowded& _crowded)
{
	const auto inMs = [](std::string* _out, const auto& _entry)
	{ absl::StrAppend(_out, _entry.first, "=", _entry.second / kMillisecond); };
	logEvent("pieces", "request_crowded",
			 {{"request", _crowded.request},
			  {"from", _crowded.from},
			  {"wait_most_ms", _crowded.waitMost / kMillisecond},
			  {"waits_ms", absl::StrJoin(_crowded.waits, " ", inMs)}});
}

} // namespace

PieceRunner::PieceRunner(HttpClient& _client, const WireFormat& _wire, PieceScheduler _scheduler,
						 PieceHandlers _handlers)
	: client(_client), wire(_wire), scheduler(std::move(_scheduler)), handlers(std::move(_handlers))
{
}

void PieceRunner::setPlan(const RoutePlan& _plan)
{
	this->scheduler.setPools(_plan.data().pools);
}

void PieceRunner::setEndpoints(const std::vector<Endpoint>& _endpoints, std::uint64_t _position)
{
	this->listing = _position;
	this->scheduler.setEndpoints(_endpoints);
	this->tick();
}

void PieceRunner::setMembers(const std::vector<std::string>& _members)
{
	this->scheduler.setMembers(_members, monotonicNow());
}

void PieceRunner::order(const std::string& _pool, const std::vector<PieceOrder>& _orders,
						const std::optional<AdmissionTerms>& _admission)
{
	this->perform(this->scheduler.order(_pool, _orders, _admission, monotonicNow()));
}

void PieceRunner::cancel(const std::vector<std::uint64_t>& _orders)
{
	this->perform(this->scheduler.cancel(_orders, monotonicNow()));
}

void PieceRunner::free(const std::vector<std::string>& _handles)
{
	this->spent.insert(this->spent.end(), _handles.begin(), _handles.end());
}

/// A result that nobody wants is to be dropped by the endpoint that keeps it.
void PieceRunner::freeAt(const std::string& _handle)
{
	const std::string keeper = this->wire.resultAddress(_handle);
	if (!keeper.empty())
	{
		this->frees[keeper].push_back(_handle);
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
	if (!this->spent.empty())
	{
		this->perform(this->scheduler.free(std::exchange(this->spent, {}), monotonicNow()));
	}
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
				[&](const PieceMade& _made) { this->handlers.onMade(_made); },
				[&](const PieceFailed& _failed) { this->handlers.onFailed(_failed); },
				[&](const SendPieceMessage& _send) { this->handlers.send(_send.to, _send.message); },
				[&](const FreeResult& _free) { this->freeAt(_free.handle); },
				[&](const RequestCrowded& _crowded) { logCrowded(_crowded); },
			},
			action);
	}
}

void PieceRunner::start(const StartBatch& _batch)
{
	const Micros now = monotonicNow();
	logBatch(_batch, this->listing, now);
	CallSpec spec;
	spec.address = _batch.endpoint.address;
	spec.request = this->wire.makeBatchRequest(_batch, now);
	spec.timeout =
		_batch.giveUpAt - now + kConnectTimeout; // The scheduler gives up first; this is for when it does not.
	spec.connectTimeout = kConnectTimeout;
	spec.noticeSilence = true;
	CallHandlers calls;
	calls.onEnd = [this, batch = _batch.batch, size = _batch.orders.size(), endpoint = _batch.endpoint.id,
				   pool = _batch.pool, now](const CallEnd& _end)
	{
		this->calls.erase(batch);
		const BatchEnd end = this->wire.parseBatchResponse(_end, size);
		logEvent("pieces", "batch_ended",
				 {{"batch", batch},
				  {"pool", pool},
				  {"endpoint", endpoint},
				  {"pieces", size},
				  {"end", std::string(nameOfEnd(end))},
				  {"faults", faultsOf(end)},
				  {"status", _end.status},
				  {"error", _end.error},
				  {"took_ms", (monotonicNow() - now) / kMillisecond}});
		this->perform(this->scheduler.batchEnded(batch, end, monotonicNow()));
	};
	this->calls[_batch.batch] = this->client.call(0, std::move(spec), std::move(calls));
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
	const auto collected = std::exchange(this->frees, {});
	for (const auto& entry : collected)
	{
		CallSpec spec;
		spec.address = entry.first;
		spec.request = this->wire.makeFreeRequest(entry.second);
		spec.timeout = kFreeTimeout;
		spec.connectTimeout = kConnectTimeout;
		// Whether it arrives does not matter: results that nobody frees expire.
		this->client.call(0, std::move(spec), CallHandlers{});
	}
}

} // namespace roadferry
