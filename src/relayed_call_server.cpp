/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of RelayedCallServer.

#include "relayed_call_server.h"

#include "logging.h"

#include <limits>

namespace roadferry
{

namespace
{

constexpr Micros kConnectTimeout = 300 * kMillisecond; ///< Below that of the node that asked.
constexpr Micros kProbeTimeout = 80 * kMillisecond;    ///< Below that of the node that asked.
constexpr std::size_t kMaxCalls = 1'000;               ///< Calls in progress for other nodes.

} // namespace

RelayedCallServer::RelayedCallServer(HttpClient& _client, RelayedCallContext _context)
	: client(_client), context(std::move(_context))
{
}

void RelayedCallServer::receive(const std::string& _from, const RelayedCallStart& _message)
{
	const Key key{_from, _message.call};
	const bool isNew = this->calls.emplace(key, ServedCall{_message, {}, nullptr, 0}).second;
	if (!isNew)
	{
		return;
	}
	if (this->context.isPathLost(_message.endpoint))
	{
		this->refuse(key, true, "this node has lost its path to the endpoint too");
		return;
	}
	if (this->calls.size() > kMaxCalls)
	{
		this->refuse(key, true, "this node makes too many calls for others");
		return;
	}
	this->startWhenComplete(key);
}

void RelayedCallServer::receive(const std::string& _from, const RelayedCallBody& _message)
{
	const Key key{_from, _message.call};
	const auto found = this->calls.find(key);
	const bool awaitsBody = found != this->calls.end() && found->second.call == nullptr;
	if (awaitsBody)
	{
		found->second.body += _message.bytes;
		this->startWhenComplete(key);
	}
}

void RelayedCallServer::startWhenComplete(const Key& _key)
{
	ServedCall& served = this->calls.at(_key);
	if (served.body.size() < served.start.bodyBytes)
	{
		return;
	}
	const std::optional<std::string> address = this->context.addressOf(served.start.endpoint);
	if (!address)
	{
		this->refuse(_key, false, "the endpoint is not listed at this node");
		return;
	}
	this->total += 1;
	logEvent("request", "call_made_for_node",
			 {{"request", served.start.subject}, {"endpoint", served.start.endpoint}, {"node", _key.first}});
	CallSpec spec;
	spec.address = *address;
	spec.request = HttpRequest{served.start.method, served.start.target, std::move(served.body), served.start.headers};
	spec.timeout = served.start.timeout;
	spec.connectTimeout = kConnectTimeout;
	spec.detectDeadConnection = served.start.detectDeadConnection;
	spec.forceNewConnection = true;
	served.call = this->client.call(0, std::move(spec), this->makeHandlers(_key));
}

CallHandlers RelayedCallServer::makeHandlers(const Key& _key)
{
	CallHandlers handlers;
	handlers.onConnected = [this, _key]
	{
		this->context.onConnected(this->calls.at(_key).start.endpoint);
		this->context.send(_key.first, RelayedCallConnected{_key.second});
	};
	handlers.onHead = [this, _key](unsigned _status, const HttpHeaders& _headers)
	{
		this->context.send(_key.first, RelayedCallHead{_key.second, _status, _headers});
		return HeadVerdict::Accept;
	};
	handlers.onData = [this, _key](const std::string& _bytes) { this->sendData(_key, _bytes); };
	handlers.onEnd = [this, _key](const CallEnd& _end) { this->onEnd(_key, _end); };
	return handlers;
}

void RelayedCallServer::sendData(const Key& _key, const std::string& _bytes)
{
	ServedCall& served = this->calls.at(_key);
	this->context.send(_key.first, RelayedCallData{_key.second, served.sentBytes, _bytes});
	served.sentBytes += _bytes.size();
}

void RelayedCallServer::onEnd(const Key& _key, const CallEnd& _end)
{
	const auto found = this->calls.find(_key);
	this->context.send(_key.first, RelayedCallEnd{_key.second, _end.result, false, found->second.sentBytes,
												  _end.connectionLost, _end.endsWithConnection, _end.error});
	this->calls.erase(found);
}

/// Ends a call of which nothing was sent to the endpoint.
void RelayedCallServer::refuse(const Key& _key, bool _cutOff, const std::string& _error)
{
	logEvent("request", "call_not_made_for_node",
			 {{"request", this->calls.at(_key).start.subject}, {"node", _key.first}, {"error", _error}});
	this->calls.erase(_key);
	this->context.send(_key.first, RelayedCallEnd{_key.second, CallResult::NotSent, _cutOff, 0, false, false, _error});
}

void RelayedCallServer::receive(const std::string& _from, const RelayedCallCancel& _message)
{
	const auto found = this->calls.find(Key{_from, _message.call});
	if (found == this->calls.end())
	{
		return;
	}
	if (found->second.call != nullptr)
	{
		found->second.call->cancel();
	}
	this->calls.erase(found);
}

void RelayedCallServer::receive(const std::string& _from, const EndpointProbeRequest& _message)
{
	const std::optional<std::string> address = this->context.addressOf(_message.endpoint);
	if (!address || this->context.isPathLost(_message.endpoint))
	{
		this->context.send(_from, EndpointProbeAnswer{_message.probe, ProbeResult::NoAnswer});
		return;
	}
	const Key key{_from, _message.probe};
	this->probes.insert(key);
	this->client.probe(0, *address, kProbeTimeout, [this, key](ProbeResult _result) { this->onProbed(key, _result); });
}

void RelayedCallServer::onProbed(const Key& _key, ProbeResult _result)
{
	const bool isAwaited = this->probes.erase(_key) > 0;
	if (isAwaited)
	{
		this->context.send(_key.first, EndpointProbeAnswer{_key.second, _result});
	}
}

void RelayedCallServer::peerClosed(const std::string& _node)
{
	constexpr std::uint64_t kLast = std::numeric_limits<std::uint64_t>::max();
	const auto begin = this->calls.lower_bound(Key{_node, 0});
	const auto end = this->calls.upper_bound(Key{_node, kLast});
	for (auto entry = begin; entry != end; ++entry)
	{
		if (entry->second.call != nullptr)
		{
			entry->second.call->cancel();
		}
	}
	this->calls.erase(begin, end);
	this->probes.erase(this->probes.lower_bound(Key{_node, 0}), this->probes.upper_bound(Key{_node, kLast}));
}

std::size_t RelayedCallServer::callsInProgress() const
{
	return this->calls.size();
}

std::uint64_t RelayedCallServer::totalCalls() const
{
	return this->total;
}

} // namespace roadferry
