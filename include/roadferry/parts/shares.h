/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: shares: a workspace's limit split over nodes.

#ifndef ROADFERRY_PARTS_SHARES_H_HEADER_GUARD
#define ROADFERRY_PARTS_SHARES_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace roadferry
{

/// Demand of one node for the workspaces of one coordinator. A workspace that is not listed has no demand on that node.
struct DemandReport
{
	bool fallback = false; ///< The coordinator does not answer the sender, which falls back to its even split.
	/// Requests in flight plus those recently refused for the workspace's limit, by workspace.
	std::map<std::string, std::int64_t> demand;
	bool operator==(const DemandReport&) const = default;
};

/// Shares that a coordinator grants to one node, by workspace.
struct ShareGrant
{
	std::map<std::string, std::int64_t> shares;
	bool operator==(const ShareGrant&) const = default;
};

struct SendDemand
{
	std::string to;
	DemandReport report;
	bool operator==(const SendDemand&) const = default;
};

struct SendGrant
{
	std::string to;
	ShareGrant grant;
	bool operator==(const SendGrant&) const = default;
};

using ShareAction = std::variant<SendDemand, SendGrant>;

/// Timing and sizes of ShareAllocator.
struct ShareConfig
{
	Micros reportPeriod = 500 * kMillisecond; ///< Between two reports, for up to 50 nodes; grows with their number.
	Micros leaseDuration = 3 * kSecond;       ///< Validity of a grant; at least six report periods.
	std::size_t nodesPerCoordinator = 20;     ///< Each workspace has one coordinator.
	bool operator==(const ShareConfig&) const = default;
};

/// Splits each workspace's limit over the nodes by demand.
///
/// Each node may always use a floor of a quarter of an even split. One node per workspace, the coordinator, grants the
/// rest of the limit under leases. A node whose coordinator does not answer stops reporting demand, waits until the
/// coordinator has discarded its reports, and falls back to the even split, which the coordinator reserves for each
/// listed node that does not report. The sum over all nodes is therefore at most the limit, or one per node where that
/// is more, also during a network partition. It may exceed the limit for one lease after the list of nodes has changed.
class ShareAllocator
{
public:
	ShareAllocator(std::string _self, ShareConfig _config);

	/// @param[in] _listed All nodes of the VM list, alive or not, including this one.
	/// @param[in] _alive Nodes that count as alive.
	void setNodes(const std::vector<std::string>& _listed, const std::vector<std::string>& _alive, Micros _now);

	/// @param[in] _limits Limit of each workspace that has one.
	void setLimits(const std::map<std::string, std::int64_t>& _limits);

	/// Sets this node's demand, by workspace: requests in flight plus those refused for the limit.
	void setDemand(const std::map<std::string, std::int64_t>& _demand);

	std::vector<ShareAction> tick(Micros _now);
	void receiveDemand(const std::string& _from, const DemandReport& _report, Micros _now);
	void receiveGrant(const std::string& _from, const ShareGrant& _grant, Micros _now);

	/// @returns This node's share of each limited workspace.
	[[nodiscard]] std::map<std::string, std::int64_t> shares(Micros _now) const;

	/// @returns The coordinator of a workspace.
	[[nodiscard]] std::string coordinatorOf(const std::string& _workspace) const;

private:
	struct ReceivedReport
	{
		std::map<std::string, std::int64_t> demand;
		Micros receivedAt = 0;
	};

	struct ShareLease
	{
		std::int64_t share = 0;
		Micros expiresAt = 0;
	};

	/// Contact with one coordinator.
	struct CoordinatorLink
	{
		Micros lastHeardAt = 0;
		std::optional<Micros> silentSince; ///< Since when reports have carried the fallback flag, if they do.
	};

	void updateCoordinatorLinks(Micros _now);
	[[nodiscard]] static std::int64_t highestShare(const std::vector<ShareLease>& _leases);
	static void addLease(std::vector<ShareLease>& _leases, const ShareLease& _lease);
	[[nodiscard]] Micros reportPeriod() const;
	[[nodiscard]] Micros leaseDuration() const;
	[[nodiscard]] std::int64_t evenSplit(std::int64_t _limit) const;
	[[nodiscard]] std::int64_t floorOf(std::int64_t _limit) const;
	void assignCoordinators();
	void sendReports(Micros _now, std::vector<ShareAction>& _out);
	void sendGrants(Micros _now, std::vector<ShareAction>& _out);
	void grantWorkspace(const std::string& _workspace, std::int64_t _limit, Micros _now,
						std::map<std::string, ShareGrant>& _grants);

	std::string self;
	ShareConfig config;
	std::vector<std::string> listedNodes;
	std::vector<std::string> aliveNodes;
	std::vector<std::string> coordinators;
	std::map<std::string, std::string> coordinatorByWorkspace;
	std::map<std::string, std::int64_t> limits;
	std::map<std::string, std::int64_t> demand;
	std::map<std::string, ShareLease> ownLeases;   ///< Leases granted to this node, by workspace.
	std::map<std::string, ReceivedReport> reports; ///< As coordinator: newest report of each node.
	std::set<std::string> reporters;               ///< As coordinator: nodes that have reported since the last grants.
	/// As coordinator: leases by workspace and node.
	std::map<std::string, std::map<std::string, std::vector<ShareLease>>> grantedLeases;
	std::map<std::string, CoordinatorLink> coordinatorLinks; ///< By coordinator.
	Micros nextReportAt = 0;
	bool nodesSet = false;         ///< Whether the nodes have been set at least once.
	Micros grantsBlockedUntil = 0; ///< As coordinator: grants of a previous coordinator may be valid until then.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_SHARES_H_HEADER_GUARD
