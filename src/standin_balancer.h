/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for the platform's balancer: passes connections on to healthy back ends in turn.

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

/// Listens on one address. Asks each back end for /ready and passes no new connection to one that does not answer 200.
class StandinBalancer
{
public:
	/// @param[in] _pool Pool of which thread 0 serves the balancer.
	/// @param[in] _backends IP numbers and ports.
	StandinBalancer(IoPool& _pool, std::vector<std::string> _backends);
	~StandinBalancer();
	StandinBalancer(const StandinBalancer&) = delete;
	StandinBalancer& operator=(const StandinBalancer&) = delete;

	/// @returns Empty on success, otherwise what went wrong.
	std::string listen(const std::string& _ip, std::uint16_t _port);

	[[nodiscard]] std::uint16_t port() const;

private:
	struct Impl;
	std::shared_ptr<Impl> impl;
};

} // namespace roadferry

#endif // ROADFERRY_STANDIN_BALANCER_H_HEADER_GUARD
