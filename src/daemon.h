/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Interface of the two kinds of nodes for the program that runs them.

#ifndef ROADFERRY_DAEMON_H_HEADER_GUARD
#define ROADFERRY_DAEMON_H_HEADER_GUARD

#include <absl/status/status.h>

#include <functional>
#include <string>

namespace roadferry
{

/// A node of either kind. All functions are called on the control thread.
class Daemon
{
public:
	virtual ~Daemon() = default;

	/// Starts the node.
	/// @param[in] _onStopped Called when a planned stop has completed.
	/// @returns Ok, or the error that prevents the start.
	virtual absl::Status start(std::function<void()> _onStopped) = 0;

	/// Starts a planned stop.
	virtual void drain() = 0;

	/// Reloads the settings, where the kind of node supports it.
	virtual void reload() = 0;

	/// @returns Address for callers.
	[[nodiscard]] virtual std::string callerAddress() const = 0;

	/// @returns Address for other nodes.
	[[nodiscard]] virtual std::string peerAddress() const = 0;
};

} // namespace roadferry

#endif // ROADFERRY_DAEMON_H_HEADER_GUARD
