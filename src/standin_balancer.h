/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for the platform's load balancer: proxies TCP connections to healthy backends in round-robin order.

#ifndef ROADFERRY_STANDIN_BALANCER_H_HEADER_GUARD
#define ROADFERRY_STANDIN_BALANCER_H_HEADER_GUARD

#include "http_client.h"
#include "io_pool.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace roadferry
{

/// Listens on one address and probes /ready of each backend. A backend that does not respond with status 200 gets no
/// new connections.
class StandinBalancer
{
public:
	/// @param[in] _pool Thread pool; the balancer runs on thread 0.
	/// @param[in] _backends Addresses of the backends as IP:port.
	StandinBalancer(IoPool& _pool, std::vector<std::string> _backends);
	~StandinBalancer();
	StandinBalancer(const StandinBalancer&) = delete;
	StandinBalancer& operator=(const StandinBalancer&) = delete;

	/// @returns Empty on success, otherwise an error message.
	std::string listen(const std::string& _ip, std::uint16_t _port);

	[[nodiscard]] std::uint16_t port() const;

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_STANDIN_BALANCER_H_HEADER_GUARD
