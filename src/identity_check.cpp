/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of IdentityCheck.

#include "identity_check.h"

#include <roadferry/parts/time.h>

namespace roadferry
{

namespace
{

constexpr Micros kConnectTimeout = 100 * kMillisecond;
constexpr Micros kAnswerTimeout = 150 * kMillisecond; ///< From the start of the call. Requests wait for the answer.
constexpr std::size_t kMaxAnswerBytes = 64 * 1024;

} // namespace

std::string_view nameOf(ProcessIdentity _identity)
{
	switch (_identity)
	{
	case ProcessIdentity::Same:
		return "same";
	case ProcessIdentity::Other:
		return "other";
	case ProcessIdentity::Unknown:
		return "unknown";
	case ProcessIdentity::NoAnswer:
		break;
	}
	return "no_answer";
}

IdentityCall makeIdentityCall(const WireFormat& _wire, const std::string& _endpoint, const std::string& _address,
							  Micros _timeout, IdentityHandler _done)
{
	CallSpec spec;
	spec.address = _address;
	spec.request = _wire.makeIdentityRequest(_endpoint);
	spec.timeout = _timeout;
	spec.connectTimeout = kConnectTimeout;
	spec.forceNewConnection = true;
	spec.maxResponseBytes = kMaxAnswerBytes;
	CallHandlers handlers;
	auto status = std::make_shared<unsigned>(0);
	handlers.onHead = [status](unsigned _status, const HttpHeaders&)
	{
		*status = _status;
		return HeadVerdict::Accept;
	};
	handlers.onEnd = [&_wire, _endpoint, status, done = std::move(_done)](CallEnd _end)
	{
		_end.status = *status; // Also of an answer that did not end in time.
		done(_wire.parseIdentity(_end, _endpoint), _end.connectionOpenedAt);
	};
	return {std::move(spec), std::move(handlers)};
}

IdentityCheck::IdentityCheck(HttpClient& _client, const WireFormat& _wire) : client(_client), wire(_wire)
{
}

void IdentityCheck::start(const std::string& _endpoint, const std::string& _address, IdentityHandler _done)
{
	IdentityCall call = makeIdentityCall(this->wire, _endpoint, _address, kAnswerTimeout, std::move(_done));
	this->client.call(0, std::move(call.spec), std::move(call.handlers));
}

} // namespace roadferry
