/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Limits, membership and recovery at 7 to 520 nodes, in virtual time with the pure code. Bytes are those of the CBOR
/// messages.

#include "bench_report.h"
#include "membership_world.h"
#include "peer_messages.h"
#include "share_world.h"

namespace roadferry
{

namespace
{

constexpr std::size_t kSizes[] = {7, 50, 200, 520};
constexpr Micros kSettle = 90 * kSecond;
constexpr Micros kMeasure = 20 * kSecond;
constexpr double kMeasureSeconds = 20;
constexpr std::size_t kWorkspaces = 1'300;
constexpr double kControlBytes = 10'000; ///< A second and node, from the letter.

std::string named(const char* _what, std::size_t _nodes)
{
	return std::string(_what) + "." + std::to_string(_nodes);
}

std::set<std::size_t> allBut(std::size_t _count, std::size_t _from)
{
	std::set<std::size_t> result;
	for (std::size_t index = 0; index < _count; ++index)
	{
		if (index < _from)
		{
			result.insert(index);
		}
	}
	return result;
}

double seconds(const std::optional<Micros>& _time, Micros _limit)
{
	return static_cast<double>(_time.value_or(_limit * 10)) / static_cast<double>(kSecond);
}

double gossipBytes(std::uint64_t _messages, std::uint64_t _news)
{
	const auto size = [](std::size_t _count)
	{
		Gossip gossip;
		gossip.updates.assign(_count,
							  Member{MembershipWorld::address(0), 1'800'000'000'000'000, MemberState::Alive, 9'000});
		return static_cast<double>(encode(gossip).size());
	};
	const double perNews = size(2) - size(1);
	const double empty = size(1) - perNews;
	return empty * static_cast<double>(_messages) + perNews * static_cast<double>(_news);
}

void reportMembership(BenchReport& _report, std::size_t _nodes)
{
	MembershipWorld world(_nodes);
	const std::set<std::size_t> all = allBut(_nodes, _nodes);
	const auto joined = world.runUntil([&] { return world.agree(all); }, kSettle);
	_report.atMost(named("membership.all_started_at_once", _nodes), seconds(joined, kSettle), "s", 60);
	// With ordinary churn: one table edit each ten seconds at the letter's size, told by every node.
	const std::uint64_t messages = world.messagesSent;
	const std::uint64_t news = world.updatesSent;
	for (Micros second = 0; second < kMeasure / kSecond; ++second)
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
	const double bytes = gossipBytes(world.messagesSent - messages, world.updatesSent - news);
	const double perNode = bytes / static_cast<double>(_nodes) / kMeasureSeconds;
	_report.atMost(named("membership.bytes_sent_per_node", _nodes), perNode, "B/s", kControlBytes / 4);
	world.kill(_nodes - 1);
	const auto noticed = world.runUntil([&] { return world.agree(allBut(_nodes, _nodes - 1)); }, kSettle);
	_report.atMost(named("membership.kill_known_everywhere", _nodes), seconds(noticed, kSettle), "s", 45);
	const std::size_t domain = _nodes / 11 + 1;
	for (std::size_t index = _nodes - domain; index < _nodes; ++index)
	{
		world.kill(index);
	}
	const auto lost = world.runUntil([&] { return world.agree(allBut(_nodes, _nodes - domain)); }, kSettle);
	_report.atMost(named("membership.failure_domain_lost", _nodes), seconds(lost, kSettle), "s", 90);
}

/// Every node is replaced within a minute, while the others run.
void reportReplacement(BenchReport& _report, std::size_t _nodes)
{
	MembershipWorld world(_nodes);
	const std::set<std::size_t> all = allBut(_nodes, _nodes);
	world.runUntil([&] { return world.agree(all); }, kSettle);
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
	const auto joined = world.runUntil([&] { return world.agree(all); }, kSettle);
	_report.atMost(named("recovery.all_replaced_in_a_minute.view", _nodes), seconds(joined, kSettle), "s", 60);
}

/// Regions cut apart for an hour; here for as long as the two sides need to give each other up, after which nothing
/// changes any more.
void reportSplit(BenchReport& _report, std::size_t _nodes)
{
	MembershipWorld world(_nodes);
	const std::set<std::size_t> all = allBut(_nodes, _nodes);
	world.runUntil([&] { return world.agree(all); }, kSettle);
	const std::size_t third = _nodes / 3;
	for (std::size_t left = 0; left < third; ++left)
	{
		for (std::size_t right = third; right < _nodes; ++right)
		{
			world.network.cutLinks.insert({left, right});
			world.network.cutLinks.insert({right, left});
		}
	}
	const auto apart = world.runUntil([&] { return world.agree(allBut(_nodes, third)); }, kSettle);
	_report.atMost(named("recovery.region_cut.view", _nodes), seconds(apart, kSettle), "s", 110);
	world.run(kMeasure);
	world.network.cutLinks.clear();
	const auto joined = world.runUntil([&] { return world.agree(all); }, kSettle);
	_report.atMost(named("recovery.region_rejoined.view", _nodes), seconds(joined, kSettle), "s", 60);
}

/// One workspace's callers all at one node, and then spread evenly.
void reportShares(BenchReport& _report, std::size_t _nodes)
{
	const auto limit = static_cast<std::int64_t>(_nodes) * 100;
	ShareWorld world(_nodes, {{"hall", limit}});
	world.demand[0]["hall"] = limit;
	world.run(4 * kMeasure);
	const auto over = [&](std::int64_t _sum) { return static_cast<double>(_sum) / static_cast<double>(limit); };
	_report.atLeast(named("shares.skewed_use", _nodes), over(world.used("hall")), "of limit", 0.74);
	double most = over(world.sum("hall"));
	for (std::size_t index = 0; index < _nodes; ++index)
	{
		world.demand[index]["hall"] = 200;
	}
	for (int step = 0; step < 300; ++step)
	{
		world.step();
		most = std::max(most, over(world.sum("hall")));
	}
	// A node goes, and a third is cut off.
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
		most = std::max(most, over(world.sum("hall")));
	}
	_report.atMost(named("shares.most_ever", _nodes), most, "of limit", 1.0);
}

/// All workspaces in use, a few of them on each node.
void reportShareBytes(BenchReport& _report, std::size_t _nodes)
{
	std::map<std::string, std::int64_t> limits;
	for (std::size_t index = 0; index < kWorkspaces; ++index)
	{
		limits["workspace-" + std::to_string(index)] = 10'000;
	}
	ShareWorld world(_nodes, limits);
	constexpr std::size_t kActive = 60;
	for (std::size_t node = 0; node < _nodes; ++node)
	{
		for (std::size_t index = 0; index < kActive; ++index)
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
	constexpr Micros kWatch = 21 * kSecond;
	constexpr double kWatchSeconds = 21;
	world.run(kWatch);
	const double nodeSeconds = static_cast<double>(_nodes) * kWatchSeconds;
	_report.atMost(named("shares.bytes_sent_per_node", _nodes), bytes / nodeSeconds, "B/s", kControlBytes / 4);
	_report.noBound(named("shares.messages_sent_per_node", _nodes),
					static_cast<double>(world.messagesSent - before) / nodeSeconds, "1/s");
}

} // namespace

void reportScale(BenchReport& _report)
{
	for (const std::size_t nodes : kSizes)
	{
		reportMembership(_report, nodes);
		reportShares(_report, nodes);
		reportShareBytes(_report, nodes);
	}
	reportReplacement(_report, 520);
	reportSplit(_report, 520);
}

} // namespace roadferry
