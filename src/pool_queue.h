/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Requests that wait for a pool, and the order in which they leave.

#ifndef ROADFERRY_POOL_QUEUE_H_HEADER_GUARD
#define ROADFERRY_POOL_QUEUE_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// One request that waits.
struct QueuedRequest
{
	std::uint64_t id = 0;
	std::string workspace;
	Micros deadline = 0;
	double workUs = 0; ///< Predicted service time of the stage in microseconds.
	bool urgent = false;
};

/// Queue of one pool. Urgent requests leave first, earliest deadline first. The others leave by start-time fair
/// queueing over workspaces, with the workspace's weight, and earliest deadline first within one.
class PoolQueue
{
public:
	explicit PoolQueue(Ordering _ordering);

	/// Adds a request.
	/// @param[in] _request The request.
	/// @param[in] _weight Weight of its workspace, above zero.
	void push(const QueuedRequest& _request, double _weight);

	/// Removes a request if it waits here.
	void remove(const QueuedRequest& _request);

	/// @returns The requests that would leave next, at most so many, in that order.
	[[nodiscard]] std::vector<QueuedRequest> nextRequests(std::size_t _maxCount) const;

	/// Takes a request out and charges its workspace for it.
	void take(const QueuedRequest& _request);

	[[nodiscard]] std::size_t size() const;

	/// Work that a new request would find before it.
	/// @param[in] _workspace Workspace of the new request.
	/// @param[in] _weight Its weight.
	/// @param[in] _urgent Whether it is urgent.
	/// @returns Predicted microseconds of service that leave the queue before it.
	[[nodiscard]] double workAheadUs(const std::string& _workspace, double _weight, bool _urgent) const;

private:
	using Key = std::pair<Micros, std::uint64_t>;

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
