/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of EndpointCalls.

#include "endpoint_calls.h"

#include "clock.h"
#include "logging.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr std::size_t kWitnesses = 3; ///< Nodes that are asked for their view of an endpoint.
constexpr std::size_t kMaxRelays = 2; ///< Nodes that try to open a connection for one call.
/// A call whose connection did not open within this time is given to one other node only, so that it does not wait for
/// several timeouts.
constexpr Micros kQuickFailure = 100 * kMillisecond;
constexpr Micros kProbeTimeout = 100 * kMillisecond;

std::string_view nameOf(ReachChange _change)
{
	switch (_change)
	{
	case ReachChange::PathLost:
		return "path_lost";
	case ReachChange::CutOff:
		return "cut_off";
	case ReachChange::Restored:
		return "path_restored";
	case ReachChange::None:
		break;
	}
	return "none";
}

} // namespace

/// One call: first from this node, unless its path is lost, then through other nodes.
class EndpointCalls::RoutedCall final : public HttpCall, public std::enable_shared_from_this<RoutedCall>
{
public:
	RoutedCall(EndpointCalls& _calls, EndpointCall _call, CallHandlers _handlers)
		: calls(_calls), call(std::move(_call)), handlers(std::move(_handlers)), startedAt(monotonicNow())
	{
	}

	void start()
	{
		if (this->call.spec.needsIdleOpenedBefore)
		{
			this->callDirectly(); // Another node would open a connection.
			return;
		}
		const CallPath path = this->call.onlyBy ? this->calls.pathBy(*this->call.onlyBy)
												: this->calls.reach.pathTo(this->call.endpoint, this->startedAt);
		std::visit(Overloaded{[this](const CallDirectly&) { this->callDirectly(); },
							  [this](const CallThrough& _through) { this->callThrough(_through.node); },
							  [this](const CallNowhere&) { this->endLater(); }},
				   path);
	}

	[[nodiscard]] std::int64_t connectionOpenedAt() const override
	{
		return this->direct == nullptr ? 0 : this->direct->connectionOpenedAt();
	}

	[[nodiscard]] bool isConnectionOpen() const override
	{
		return this->direct != nullptr && this->direct->isConnectionOpen();
	}

	void setReading(bool _on) override
	{
		if (this->direct != nullptr)
		{
			this->direct->setReading(_on);
		}
	}

	void cancel() override
	{
		this->done = true;
		this->handlers = CallHandlers{};
		if (this->direct != nullptr)
		{
			this->direct->cancel();
		}
		if (this->relayId != 0)
		{
			this->calls.relayed.cancel(this->relayId);
			this->endRelay();
		}
	}

private:
	void callDirectly()
	{
		CallSpec spec = this->call.spec;
		CallHandlers own = this->handlers;
		own.onConnected = [this, self = this->shared_from_this()] { this->calls.onConnected(this->call.endpoint); };
		own.onEnd = [this, self = this->shared_from_this()](const CallEnd& _end) { this->onDirectEnd(_end); };
		this->direct = this->calls.client.call(0, std::move(spec), std::move(own));
	}

	void onDirectEnd(const CallEnd& _end)
	{
		this->direct.reset();
		const bool mayUseOther = !this->call.spec.needsIdleOpenedBefore && !this->call.onlyBy;
		if (_end.result == CallResult::NotSent && mayUseOther)
		{
			this->tryNextRelay(_end);
			return;
		}
		this->finish(_end);
	}

	/// Gives the call to a node that was not asked yet.
	/// @param[in] _end End of the attempt before, of which nothing was sent.
	void tryNextRelay(const CallEnd& _end)
	{
		const Micros now = monotonicNow();
		const bool mayAsk =
			this->failedRelays == 0 || (this->failedRelays < kMaxRelays && now - this->startedAt < kQuickFailure);
		const std::optional<std::string> node = mayAsk ? this->calls.reach.chooseRelay(this->asked, now) : std::nullopt;
		if (node)
		{
			this->callThrough(*node);
			return;
		}
		if (this->failedRelays > 0)
		{
			this->calls.reach.recordUnreachable(this->call.endpoint);
		}
		this->finish(_end);
	}

	void callThrough(const std::string& _node)
	{
		this->asked.insert(_node);
		this->relay = _node;
		this->calls.relayedCount += 1;
		this->calls.reach.recordRelayedCallStart(_node);
		logEvent("request", "call_relayed",
				 {{"request", this->call.subject}, {"endpoint", this->call.endpoint}, {"through", _node}});
		RelayedCallHandlers relayHandlers;
		relayHandlers.onConnected = [this, self = this->shared_from_this()] { this->onRelayConnected(); };
		relayHandlers.onHead = this->handlers.onHead;
		relayHandlers.onData = this->handlers.onData;
		relayHandlers.onBuffered = this->handlers.onBuffered;
		relayHandlers.onEnd = [this, self = this->shared_from_this()](const CallEnd& _end, bool _cutOff)
		{ this->onRelayEnd(_end, _cutOff); };
		this->relayId = this->calls.relayed.start(_node, this->call, std::move(relayHandlers), monotonicNow());
	}

	void onRelayConnected()
	{
		if (!this->call.onlyBy) // Otherwise this node did not try before, and may have a path.
		{
			this->calls.onReachedThrough(this->call.endpoint, this->relay);
		}
	}

	void onRelayEnd(const CallEnd& _end, bool _cutOff)
	{
		this->relayId = 0;
		this->endRelay();
		if (_end.result == CallResult::NotSent)
		{
			this->calls.reach.recordNotReachedThrough(this->call.endpoint, this->relay, _cutOff, monotonicNow());
		}
		if (_end.result == CallResult::NotSent && !this->call.onlyBy)
		{
			this->failedRelays += _cutOff ? 0 : 1;
			this->tryNextRelay(_end);
			return;
		}
		CallEnd end = _end;
		end.madeBy = this->relay;
		this->finish(end);
	}

	void endRelay()
	{
		this->calls.reach.recordRelayedCallEnd(this->relay);
	}

	/// Ends the call as not sent. Posted, since onEnd must not be called before the caller has the call.
	void endLater()
	{
		this->calls.pool.post(0,
							  [self = this->shared_from_this()]
							  {
								  CallEnd end;
								  end.error = "no node reaches the endpoint";
								  self->finish(end);
							  });
	}

	void finish(const CallEnd& _end)
	{
		if (std::exchange(this->done, true))
		{
			return;
		}
		const auto handler = std::exchange(this->handlers, CallHandlers{}).onEnd;
		if (handler)
		{
			handler(_end);
		}
	}

	EndpointCalls& calls;
	EndpointCall call;
	CallHandlers handlers;
	Micros startedAt;                 ///< Time point.
	std::shared_ptr<HttpCall> direct; ///< Null unless this node makes the call.
	std::set<std::string> asked;      ///< Nodes that were asked to make the call.
	std::string relay;                ///< The last of them.
	std::size_t failedRelays = 0;     ///< How many of them tried to open a connection and could not.
	std::uint64_t relayId = 0;        ///< Number of the call that it makes, 0 for none.
	bool done = false;
};

EndpointCalls::EndpointCalls(IoPool& _pool, HttpClient& _client, std::uint64_t _firstNumber,
							 const CallMessageSender& _send)
	: pool(_pool), client(_client), reach(ReachabilityConfig{}), relayed(_firstNumber, _send),
	  server(_client,
			 RelayedCallContext{_send,
								[this](const std::string& _endpoint) -> std::optional<std::string>
								{ return this->addressForOthers(_endpoint); },
								[this](const std::string& _endpoint) { return this->reach.isPathLost(_endpoint); },
								[this](const std::string& _endpoint) { this->onConnected(_endpoint); }}),
	  prober(_client, _firstNumber,
			 EndpointProberContext{_send, [this] { return this->reach.witnesses(kWitnesses, monotonicNow()); },
								   [this](const std::string& _endpoint) { return this->reach.isPathLost(_endpoint); },
								   [this] { return this->reach.lostPaths() > 0 || this->reach.isCutOff(); },
								   [this](const std::string& _endpoint) { this->onConnected(_endpoint); },
								   [this](const std::string& _endpoint, const std::string& _node)
								   { this->onReachedThrough(_endpoint, _node); }})
{
}

/// Returns the address of an endpoint to which a call for another node may go: one that leaves gets none, even if the
/// other node does not know yet that it leaves.
std::optional<std::string> EndpointCalls::addressForOthers(const std::string& _endpoint) const
{
	const auto found = this->addresses.find(_endpoint);
	const bool isUsable = found != this->addresses.end() && this->leaving.count(_endpoint) == 0;
	return isUsable ? std::optional(found->second) : std::nullopt;
}

std::shared_ptr<HttpCall> EndpointCalls::call(EndpointCall _call, CallHandlers _handlers)
{
	auto routed = std::make_shared<RoutedCall>(*this, std::move(_call), std::move(_handlers));
	routed->start();
	return routed;
}

void EndpointCalls::callAndForget(CallSpec _spec)
{
	const auto listed = this->idByAddress.find(_spec.address);
	if (listed == this->idByAddress.end())
	{
		this->client.call(0, std::move(_spec), CallHandlers{});
		return;
	}
	this->call(EndpointCall{std::move(_spec), listed->second, {}}, CallHandlers{});
}

/// Returns the path of a call that only one node may make.
CallPath EndpointCalls::pathBy(const std::string& _node)
{
	return _node.empty() ? CallPath(CallDirectly{}) : CallPath(CallThrough{_node});
}

void EndpointCalls::probe(const std::string& _endpoint, const std::string& _address, const ProbeHandler& _done)
{
	this->prober.probe(_endpoint, _address, _done);
}

void EndpointCalls::probeBy(const std::string& _node, const std::string& _endpoint, const std::string& _address,
							const ProbeHandler& _done)
{
	if (_node.empty())
	{
		this->prober.probe(_endpoint, _address, _done);
		return;
	}
	this->prober.probeThrough(_node, _endpoint, _address, _done);
}

void EndpointCalls::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	const std::map<std::string, std::string> before = std::exchange(this->idByAddress, {});
	this->addresses.clear();
	this->leaving.clear();
	for (const Endpoint& endpoint : _endpoints)
	{
		if (endpoint.leaving)
		{
			this->leaving.insert(endpoint.id);
		}
		this->addresses[endpoint.id] = endpoint.address;
		this->idByAddress[endpoint.address] = endpoint.id;
	}
	this->reach.setEndpoints(_endpoints);
	for (const auto& entry : before)
	{
		if (this->idByAddress.count(entry.first) == 0)
		{
			this->client.closeIdle(0, entry.first);
		}
	}
}

bool EndpointCalls::hasIdle(const std::string& _address, Micros _openedBefore) const
{
	return this->client.hasIdle(0, _address, _openedBefore);
}

void EndpointCalls::openIdle(const std::string& _address, std::size_t _maxIdleConnections)
{
	this->client.openIdle(0, _address, kProbeTimeout, _maxIdleConnections);
}

void EndpointCalls::setRelays(const std::vector<RelayNode>& _nodes)
{
	this->reach.setRelays(_nodes);
}

void EndpointCalls::receive(const std::string& _from, const CallMessage& _message)
{
	std::visit(Overloaded{[&](const RelayedCallStart& _typed) { this->server.receive(_from, _typed); },
						  [&](const RelayedCallBody& _typed) { this->server.receive(_from, _typed); },
						  [&](const RelayedCallCancel& _typed) { this->server.receive(_from, _typed); },
						  [&](const EndpointProbeRequest& _typed) { this->server.receive(_from, _typed); },
						  [&](const EndpointProbeAnswer& _typed) { this->prober.receive(_from, _typed); },
						  [&](const auto& _typed) { this->relayed.receive(_from, _typed); }},
			   _message);
}

void EndpointCalls::peerClosed(const std::string& _peer)
{
	this->reach.recordRelayLost(_peer, monotonicNow());
	this->server.peerClosed(_peer);
	this->relayed.peerClosed(_peer);
}

void EndpointCalls::tick(Micros _now)
{
	this->relayed.tick(_now);
	this->prober.tick(_now);
	this->probeLostPaths(_now);
}

/// Looks whether lost paths are back, without the requests of callers.
void EndpointCalls::probeLostPaths(Micros _now)
{
	for (const std::string& endpoint : this->reach.tick(_now))
	{
		this->client.probe(0, this->addresses.at(endpoint), kProbeTimeout,
						   [this, endpoint](ProbeResult _result)
						   {
							   if (_result == ProbeResult::Accepted)
							   {
								   this->onConnected(endpoint);
							   }
						   });
	}
}

void EndpointCalls::onConnected(const std::string& _endpoint)
{
	this->logReach(this->reach.recordConnected(_endpoint, monotonicNow()), _endpoint, {});
}

void EndpointCalls::onReachedThrough(const std::string& _endpoint, const std::string& _node)
{
	this->logReach(this->reach.recordReachedThrough(_endpoint, _node, monotonicNow()), _endpoint, _node);
}

void EndpointCalls::logReach(ReachChange _change, const std::string& _endpoint, const std::string& _node) const
{
	if (_change != ReachChange::None)
	{
		logEvent("endpoint", std::string(nameOf(_change)),
				 {{"endpoint", _endpoint}, {"reached_by", _node}, {"lost_paths", this->reach.lostPaths()}});
	}
}

bool EndpointCalls::isPathLost(const std::string& _endpoint) const
{
	return this->reach.isPathLost(_endpoint);
}

std::size_t EndpointCalls::callsForOthers() const
{
	return this->server.callsInProgress();
}

std::string EndpointCalls::metricsText() const
{
	return absl::StrCat(
		"# TYPE roadferry_lost_paths gauge\nroadferry_lost_paths ", this->reach.lostPaths(),
		"\n# TYPE roadferry_cut_off gauge\nroadferry_cut_off ", this->reach.isCutOff() ? 1 : 0,
		"\n# TYPE roadferry_calls_relayed_total counter\nroadferry_calls_relayed_total ", this->relayedCount,
		"\n# TYPE roadferry_calls_made_for_nodes_total counter\nroadferry_calls_made_for_nodes_total ",
		this->server.totalCalls(), "\n# TYPE roadferry_idle_connections gauge\nroadferry_idle_connections ",
		this->client.idleConnections(),
		"\n# TYPE roadferry_probes_refused_total counter\nroadferry_probes_refused_total ", this->prober.refusals(),
		"\n");
}

} // namespace roadferry
