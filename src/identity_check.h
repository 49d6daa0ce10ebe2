/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Asks the process at an endpoint's address who it is.

#ifndef ROADFERRY_IDENTITY_CHECK_H_HEADER_GUARD
#define ROADFERRY_IDENTITY_CHECK_H_HEADER_GUARD

#include "adapter.h"

#include <functional>
#include <string_view>

namespace roadferry
{

/// @returns Its name in the log.
std::string_view nameOf(ProcessIdentity _identity);

/// Receives who answers at an endpoint's address.
/// @param[in] _openedAt Time point at which the connection was opened on which it was asked, 0 if none was.
using IdentityHandler = std::function<void(ProcessIdentity, Micros _openedAt)>;

/// A call that asks a process who it is.
struct IdentityCall
{
	CallSpec spec;
	CallHandlers handlers;
};

/// @param[in] _endpoint Id of the endpoint.
/// @param[in] _timeout Time for the answer from the start of the call, in microseconds.
/// @param[in] _done Called once.
IdentityCall makeIdentityCall(const WireFormat& _wire, const std::string& _endpoint, const std::string& _address,
							  Micros _timeout, IdentityHandler _done);

/// Asks processes who they are. All functions run on thread 0 of the thread pool.
class IdentityCheck
{
public:
	IdentityCheck(HttpClient& _client, const WireFormat& _wire);

	/// Asks on a new connection, which is kept idle afterwards if the process allows.
	/// @param[in] _endpoint Id of the endpoint.
	/// @param[in] _done Called once, not before this function returns.
	void start(const std::string& _endpoint, const std::string& _address, IdentityHandler _done);

private:
	HttpClient& client;
	const WireFormat& wire;
};

} // namespace roadferry

#endif // ROADFERRY_IDENTITY_CHECK_H_HEADER_GUARD
