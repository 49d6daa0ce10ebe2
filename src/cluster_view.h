/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Membership and shares of one node, driven from the control thread.

#ifndef ROADFERRY_CLUSTER_VIEW_H_HEADER_GUARD
#define ROADFERRY_CLUSTER_VIEW_H_HEADER_GUARD

#include "peer_messages.h"
#include "traffic.h"

#include <QTimer>

namespace roadferry
{

/// Runs Membership and ShareAllocator on the clock, and carries their messages.
class ClusterView
{
public:
	ClusterView(Traffic& _traffic, std::string _self,
				std::function<void(const std::string&, const PeerMessage&)> _send);

	void start();

	/// Takes the nodes of the VM list, this one among them.
	void setListedNodes(const std::vector<std::string>& _nodes);

	/// Takes the table in force.
	void setTable(const Table& _table);

	void onGossip(const std::string& _peer, const Gossip& _message);
	void onDemand(const std::string& _peer, const DemandReport& _report);
	void onGrant(const std::string& _peer, const ShareGrant& _grant);

	/// Tells other nodes that this one leaves.
	void leave();

	[[nodiscard]] const Membership& members() const;

	/// @returns The lowest table offset in force on any live node.
	[[nodiscard]] std::uint64_t lowestTableOffset() const;

	/// @returns This node's share of each limited workspace.
	[[nodiscard]] std::map<std::string, std::int64_t> shares() const;

private:
	void tick();
	void sendAll(const std::vector<SendGossip>& _messages);
	void applyShares();

	Traffic& traffic;
	std::string self;
	std::function<void(const std::string&, const PeerMessage&)> send;
	Membership membership;
	ShareAllocator shareAllocator;
	std::vector<std::string> listedNodes;
	std::set<std::string> limitedWorkspaces; ///< Workspaces whose share was set at the dispatcher.
	QTimer timer;
};

} // namespace roadferry

#endif // ROADFERRY_CLUSTER_VIEW_H_HEADER_GUARD
