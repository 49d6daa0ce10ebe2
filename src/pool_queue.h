/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Queue of the requests that wait for a pool.

#ifndef ROADFERRY_POOL_QUEUE_H_HEADER_GUARD
#define ROADFERRY_POOL_QUEUE_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// A waiting request.
struct QueuedRequest
{
	std::uint64_t id = 0;
	std::string workspace;
	Micros deadline = 0;
	double workUs = 0; ///< Predicted service time of the stage in microseconds.
	bool urgent = false;
};

/// Queue of one pool. With Ordering::DeadlineFair, urgent requests leave first, earliest deadline first; the others
/// leave by start-time fair queueing over workspaces, weighted by the workspace's weight, and earliest deadline first
/// within a workspace. With Ordering::Fifo, all requests leave in order of arrival.
class PoolQueue
{
public:
	explicit PoolQueue(Ordering _ordering);

	/// Adds a request.
	/// @param[in] _request The request.
	/// @param[in] _weight Weight of its workspace, above zero.
	void push(const QueuedRequest& _request, double _weight);

	/// Removes a request without charging its workspace; does nothing if it is not queued.
	void remove(const QueuedRequest& _request);

	/// @returns At most _maxCount requests, in the order in which they would leave.
	[[nodiscard]] std::vector<QueuedRequest> nextRequests(std::size_t _maxCount) const;

	/// Removes a request that is to run, and charges its predicted service time to its workspace.
	void take(const QueuedRequest& _request);

	[[nodiscard]] std::size_t size() const;

	/// Work ahead of a new request.
	/// @param[in] _workspace Workspace of the new request.
	/// @param[in] _weight Weight of the workspace, above zero.
	/// @param[in] _urgent Whether the new request is urgent.
	/// @returns Predicted service time of the requests that would leave before it, in microseconds.
	[[nodiscard]] double workAheadUs(const std::string& _workspace, double _weight, bool _urgent) const;

private:
	using Key = std::pair<Micros, std::uint64_t>; ///< Deadline and id.

	/// The urgent requests, those of one workspace, or all requests with Ordering::Fifo.
	struct Group
	{
		std::map<Key, QueuedRequest> requests;
		double weight = 1;
		double virtualTime = 0;
		double workUs = 0;
	};

	[[nodiscard]] std::string groupOf(const QueuedRequest& _request) const;
	[[nodiscard]] Key queueKey(const QueuedRequest& _request) const;

	Ordering ordering;
	Group urgent;
	std::map<std::string, Group> groups;
	double virtualNow = 0;
	double totalWorkUs = 0;
	double totalWeight = 0;
	std::size_t count = 0;
};

} // namespace roadferry

#endif // ROADFERRY_POOL_QUEUE_H_HEADER_GUARD
