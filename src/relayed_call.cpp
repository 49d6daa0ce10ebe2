/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of RelayedCalls.

#include "relayed_call.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

/// Parts of a body, so that other messages to the node do not wait behind all of it.
constexpr std::size_t kBodyPartBytes = 128 * 1024;

} // namespace

RelayedCalls::RelayedCalls(std::uint64_t _firstId, CallMessageSender _send) : lastCall(_firstId), send(std::move(_send))
{
}

std::uint64_t RelayedCalls::start(const std::string& _node, const EndpointCall& _call, RelayedCallHandlers _handlers,
								  Micros _now)
{
	const std::uint64_t number = ++this->lastCall;
	const HttpRequest& request = _call.spec.request;
	Pending entry;
	entry.node = _node;
	entry.handlers = std::move(_handlers);
	entry.deadline = _now + _call.spec.timeout;
	entry.maxResponseBytes = _call.spec.maxResponseBytes;
	this->deadlines.emplace(entry.deadline, number);
	this->pending.emplace(number, std::move(entry));
	this->send(_node, RelayedCallStart{number, _call.subject, _call.endpoint, _call.spec.timeout,
									   _call.spec.detectDeadConnection, request.method, request.target, request.headers,
									   request.body.size()});
	for (std::size_t at = 0; at < request.body.size(); at += kBodyPartBytes)
	{
		this->send(_node, RelayedCallBody{number, request.body.substr(at, kBodyPartBytes)});
	}
	return number;
}

void RelayedCalls::cancel(std::uint64_t _call)
{
	const auto found = this->pending.find(_call);
	if (found == this->pending.end())
	{
		return;
	}
	this->send(found->second.node, RelayedCallCancel{_call});
	this->deadlines.erase({found->second.deadline, _call});
	this->pending.erase(found);
}

RelayedCalls::Pending* RelayedCalls::find(const std::string& _from, std::uint64_t _call)
{
	const auto found = this->pending.find(_call);
	return found == this->pending.end() || found->second.node != _from ? nullptr : &found->second;
}

/// Ends a call at both nodes after bytes of it may have been sent.
void RelayedCalls::interrupt(std::uint64_t _call, const std::string& _error)
{
	const auto found = this->pending.find(_call);
	if (found == this->pending.end())
	{
		return;
	}
	this->send(found->second.node, RelayedCallCancel{_call});
	CallEnd end;
	end.result = CallResult::Interrupted;
	end.error = _error;
	this->finish(_call, end, false);
}

void RelayedCalls::finish(std::uint64_t _call, const CallEnd& _end, bool _cutOff)
{
	const auto found = this->pending.find(_call);
	const auto handler = found->second.handlers.onEnd;
	this->deadlines.erase({found->second.deadline, _call});
	this->pending.erase(found);
	handler(_end, _cutOff);
}

void RelayedCalls::receive(const std::string& _from, const RelayedCallConnected& _message)
{
	const Pending* entry = this->find(_from, _message.call);
	if (entry != nullptr)
	{
		const auto handler = entry->handlers.onConnected;
		handler();
	}
}

void RelayedCalls::receive(const std::string& _from, const RelayedCallHead& _message)
{
	Pending* entry = this->find(_from, _message.call);
	if (entry == nullptr)
	{
		return;
	}
	if (kindOfStatus(_message.status) != StatusKind::Final)
	{
		this->interrupt(_message.call, absl::StrCat("status ", _message.status, " is not valid"));
		return;
	}
	entry->status = _message.status;
	entry->headers = _message.headers;
	const auto handler = entry->handlers.onHead;
	if (handler && handler(_message.status, _message.headers) == HeadVerdict::Skip)
	{
		// The other node uses a new connection for each call, so no later response can be the right one.
		this->interrupt(_message.call, "response belongs to another request");
	}
}

void RelayedCalls::receive(const std::string& _from, const RelayedCallData& _message)
{
	Pending* entry = this->find(_from, _message.call);
	if (entry == nullptr)
	{
		return;
	}
	if (_message.offset != entry->received)
	{
		this->interrupt(_message.call, "a part of the response was lost between nodes");
		return;
	}
	entry->received += _message.bytes.size();
	const auto handler = entry->handlers.onData;
	if (handler)
	{
		handler(_message.bytes);
		return;
	}
	entry->body += _message.bytes;
	if (entry->body.size() > entry->maxResponseBytes)
	{
		this->interrupt(_message.call, "response is longer than the limit");
		return;
	}
	const auto onBuffered = entry->handlers.onBuffered;
	if (onBuffered)
	{
		onBuffered(entry->body.size());
	}
}

void RelayedCalls::receive(const std::string& _from, const RelayedCallEnd& _message)
{
	Pending* entry = this->find(_from, _message.call);
	if (entry == nullptr)
	{
		return;
	}
	if (_message.result == CallResult::Complete && _message.bodyBytes != entry->received)
	{
		this->interrupt(_message.call, "a part of the response was lost between nodes");
		return;
	}
	CallEnd end;
	end.result = _message.result;
	end.status = entry->status;
	end.headers = std::move(entry->headers);
	end.body = std::move(entry->body);
	end.error = _message.error;
	end.connectionLost = _message.connectionLost;
	end.endsWithConnection = _message.endsWithConnection;
	this->finish(_message.call, end, _message.cutOff);
}

void RelayedCalls::peerClosed(const std::string& _node)
{
	std::vector<std::uint64_t> lost;
	for (const auto& entry : this->pending)
	{
		if (entry.second.node == _node)
		{
			lost.push_back(entry.first);
		}
	}
	for (const std::uint64_t call : lost)
	{
		this->interrupt(call, absl::StrCat("the link to ", _node, " was lost"));
	}
}

void RelayedCalls::tick(Micros _now)
{
	while (!this->deadlines.empty() && this->deadlines.begin()->first <= _now)
	{
		this->interrupt(this->deadlines.begin()->second, "timed out at another node");
	}
}

} // namespace roadferry
