/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What the program runs: a node of either kind.

#ifndef ROADFERRY_DAEMON_H_HEADER_GUARD
#define ROADFERRY_DAEMON_H_HEADER_GUARD

#include <absl/status/status.h>

#include <functional>
#include <string>

namespace roadferry
{

/// A node, as the program that runs it sees it. All functions are called on the control thread.
class Daemon
{
public:
	virtual ~Daemon() = default;

	/// @param[in] _onStopped Called when a planned stop is over.
	virtual absl::Status start(std::function<void()> _onStopped) = 0;

	/// Begins a planned stop.
	virtual void drain() = 0;

	/// Reads the settings again.
	virtual void reload() = 0;

	/// @returns Address that callers use.
	[[nodiscard]] virtual std::string callerAddress() const = 0;

	/// @returns Address that other nodes use.
	[[nodiscard]] virtual std::string peerAddress() const = 0;
};

} // namespace roadferry

#endif // ROADFERRY_DAEMON_H_HEADER_GUARD
