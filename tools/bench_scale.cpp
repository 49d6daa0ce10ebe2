/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Benchmarks of limits, membership and recovery at 7 to 520 nodes. The protocol code runs in virtual time without
/// sockets; bytes are the sizes of the CBOR messages.

#include "bench_report.h"
#include "membership_world.h"
#include "peer_messages.h"
#include "share_world.h"

namespace roadferry
{

namespace
{

constexpr std::size_t kNodeCounts[] = {7, 50, 200, 520};
constexpr Micros kConvergenceTimeout = 90 * kSecond;
constexpr Micros kObservationTime = 20 * kSecond;
constexpr double kObservationSeconds = 20;
constexpr std::size_t kWorkspaces = 1'300;
constexpr double kMaxControlBytesPerSecond = 10'000; ///< Budget per node for control traffic.

std::string metricName(const char* _name, std::size_t _nodes)
{
	return std::string(_name) + "." + std::to_string(_nodes);
}

/// @returns Indices of the first nodes, at most as many as exist.
std::set<std::size_t> firstNodes(std::size_t _nodes, std::size_t _count)
{
	std::set<std::size_t> result;
	for (std::size_t index = 0; index < _nodes; ++index)
	{
		if (index < _count)
		{
			result.insert(index);
		}
	}
	return result;
}

/// @returns Seconds; ten times the limit if the time is missing, so that the check of the bound fails.
double toSeconds(const std::optional<Micros>& _time, Micros _limit)
{
	return static_cast<double>(_time.value_or(_limit * 10)) / static_cast<double>(kSecond);
}

/// @returns Bytes of all messages and of the membership updates in them.
double gossipBytes(std::uint64_t _messages, std::uint64_t _updates)
{
	const auto size = [](std::size_t _count)
	{
		Gossip gossip;
		gossip.updates.assign(_count,
							  Member{MembershipWorld::address(0), 1'800'000'000'000'000, MemberState::Alive, 9'000});
		return static_cast<double>(encode(gossip).size());
	};
	const double perUpdate = size(2) - size(1);
	const double empty = size(1) - perUpdate;
	return empty * static_cast<double>(_messages) + perUpdate * static_cast<double>(_updates);
}

void reportMembership(BenchReport& _report, std::size_t _nodes)
{
	MembershipWorld world(_nodes);
	const std::set<std::size_t> all = firstNodes(_nodes, _nodes);
	const auto converged = world.runUntil([&] { return world.agree(all); }, kConvergenceTimeout);
	_report.checkAtMost(metricName("membership.all_started_at_once", _nodes), toSeconds(converged, kConvergenceTimeout),
						"s", 60);
	// Ordinary churn: one table edit every 10 s, which every node announces.
	const std::uint64_t messages = world.messagesSent;
	const std::uint64_t updates = world.updatesSent;
	for (Micros second = 0; second < kObservationTime / kSecond; ++second)
	{
		if (second % 10 == 0)
		{
			for (const auto& node : world.nodes)
			{
				node->setTableOffset(static_cast<std::uint64_t>(second) + 1);
			}
		}
		world.run(kSecond);
	}
	const double bytes = gossipBytes(world.messagesSent - messages, world.updatesSent - updates);
	const double perNode = bytes / static_cast<double>(_nodes) / kObservationSeconds;
	_report.checkAtMost(metricName("membership.bytes_sent_per_node", _nodes), perNode, "B/s",
						kMaxControlBytesPerSecond / 4);
	world.kill(_nodes - 1);
	const auto noticed =
		world.runUntil([&] { return world.agree(firstNodes(_nodes, _nodes - 1)); }, kConvergenceTimeout);
	_report.checkAtMost(metricName("membership.kill_known_everywhere", _nodes), toSeconds(noticed, kConvergenceTimeout),
						"s", 45);
	const std::size_t domainSize = _nodes / 11 + 1;
	for (std::size_t index = _nodes - domainSize; index < _nodes; ++index)
	{
		world.kill(index);
	}
	const auto lost =
		world.runUntil([&] { return world.agree(firstNodes(_nodes, _nodes - domainSize)); }, kConvergenceTimeout);
	_report.checkAtMost(metricName("membership.failure_domain_lost", _nodes), toSeconds(lost, kConvergenceTimeout), "s",
						90);
}

/// Replaces all nodes one after the other within a minute, while the others run.
void reportRollingReplacement(BenchReport& _report, std::size_t _nodes)
{
	MembershipWorld world(_nodes);
	const std::set<std::size_t> all = firstNodes(_nodes, _nodes);
	world.runUntil([&] { return world.agree(all); }, kConvergenceTimeout);
	constexpr Micros kMinute = 60 * kSecond;
	const Micros begin = world.now;
	std::size_t replaced = 0;
	while (replaced < _nodes)
	{
		const auto due = static_cast<std::size_t>((world.now - begin) * static_cast<Micros>(_nodes) / kMinute);
		for (; replaced < std::min(due + 1, _nodes); ++replaced)
		{
			world.start(replaced);
		}
		world.step();
	}
	const auto converged = world.runUntil([&] { return world.agree(all); }, kConvergenceTimeout);
	_report.checkAtMost(metricName("recovery.all_replaced_in_a_minute.view", _nodes),
						toSeconds(converged, kConvergenceTimeout), "s", 60);
}

/// Separates one third of the nodes from the rest and reconnects it. Stands for a partition of an hour: nothing changes
/// any more once both sides consider each other dead.
void reportPartition(BenchReport& _report, std::size_t _nodes)
{
	MembershipWorld world(_nodes);
	const std::set<std::size_t> all = firstNodes(_nodes, _nodes);
	world.runUntil([&] { return world.agree(all); }, kConvergenceTimeout);
	const std::size_t third = _nodes / 3;
	for (std::size_t left = 0; left < third; ++left)
	{
		for (std::size_t right = third; right < _nodes; ++right)
		{
			world.network.cutLinks.insert({left, right});
			world.network.cutLinks.insert({right, left});
		}
	}
	const auto separated = world.runUntil([&] { return world.agree(firstNodes(_nodes, third)); }, kConvergenceTimeout);
	_report.checkAtMost(metricName("recovery.region_cut.view", _nodes), toSeconds(separated, kConvergenceTimeout), "s",
						110);
	world.run(kObservationTime);
	world.network.cutLinks.clear();
	const auto converged = world.runUntil([&] { return world.agree(all); }, kConvergenceTimeout);
	_report.checkAtMost(metricName("recovery.region_rejoined.view", _nodes), toSeconds(converged, kConvergenceTimeout),
						"s", 60);
}

/// Checks the shares of a limit while all demand of a workspace is at one node, after it is spread evenly, and after a
/// node restart and a partition.
void reportShares(BenchReport& _report, std::size_t _nodes)
{
	const auto limit = static_cast<std::int64_t>(_nodes) * 100;
	ShareWorld world(_nodes, {{"hall", limit}});
	world.demand[0]["hall"] = limit;
	world.run(4 * kObservationTime);
	const auto shareOfLimit = [&](std::int64_t _sum) { return static_cast<double>(_sum) / static_cast<double>(limit); };
	_report.checkAtLeast(metricName("shares.skewed_use", _nodes), shareOfLimit(world.used("hall")), "of limit", 0.74);
	double maxShare = shareOfLimit(world.sum("hall"));
	for (std::size_t index = 0; index < _nodes; ++index)
	{
		world.demand[index]["hall"] = 200;
	}
	for (int step = 0; step < 300; ++step)
	{
		world.step();
		maxShare = std::max(maxShare, shareOfLimit(world.sum("hall")));
	}
	// One node restarts, and one third of the nodes is separated from the rest.
	world.start(_nodes - 1);
	for (std::size_t left = 0; left < _nodes / 3; ++left)
	{
		for (std::size_t right = _nodes / 3; right < _nodes; ++right)
		{
			world.network.cutLinks.insert({left, right});
			world.network.cutLinks.insert({right, left});
		}
	}
	for (int step = 0; step < 300; ++step)
	{
		world.step();
		maxShare = std::max(maxShare, shareOfLimit(world.sum("hall")));
	}
	_report.checkAtMost(metricName("shares.most_ever", _nodes), maxShare, "of limit", 1.0);
}

/// Measures the traffic for shares with all workspaces in use, 60 of them on each node.
void reportShareBytes(BenchReport& _report, std::size_t _nodes)
{
	std::map<std::string, std::int64_t> limits;
	for (std::size_t index = 0; index < kWorkspaces; ++index)
	{
		limits["workspace-" + std::to_string(index)] = 10'000;
	}
	ShareWorld world(_nodes, limits);
	constexpr std::size_t kActiveWorkspaces = 60;
	for (std::size_t node = 0; node < _nodes; ++node)
	{
		for (std::size_t index = 0; index < kActiveWorkspaces; ++index)
		{
			world.demand[node]["workspace-" + std::to_string((node * 7 + index * 21) % kWorkspaces)] = 40;
		}
	}
	world.run(15 * kSecond);
	double bytes = 0;
	const std::uint64_t before = world.messagesSent;
	world.onSend = [&](const ShareAction& _action)
	{
		std::visit(
			Overloaded{
				[&](const SendDemand& _typed) { bytes += static_cast<double>(encode(_typed.report).size()); },
				[&](const SendGrant& _typed) { bytes += static_cast<double>(encode(_typed.grant).size()); },
			},
			_action);
	};
	constexpr Micros kShareObservationTime = 21 * kSecond;
	constexpr double kShareObservationSeconds = 21;
	world.run(kShareObservationTime);
	const double nodeSeconds = static_cast<double>(_nodes) * kShareObservationSeconds;
	_report.checkAtMost(metricName("shares.bytes_sent_per_node", _nodes), bytes / nodeSeconds, "B/s",
						kMaxControlBytesPerSecond / 4);
	_report.printInfo(metricName("shares.messages_sent_per_node", _nodes),
					  static_cast<double>(world.messagesSent - before) / nodeSeconds, "1/s");
}

} // namespace

void reportScale(BenchReport& _report)
{
	for (const std::size_t nodes : kNodeCounts)
	{
		reportMembership(_report, nodes);
		reportShares(_report, nodes);
		reportShareBytes(_report, nodes);
	}
	reportRollingReplacement(_report, 520);
	reportPartition(_report, 520);
}

} // namespace roadferry
