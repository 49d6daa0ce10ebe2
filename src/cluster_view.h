/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Membership and workspace shares of one node, driven from the control thread.

#ifndef ROADFERRY_CLUSTER_VIEW_H_HEADER_GUARD
#define ROADFERRY_CLUSTER_VIEW_H_HEADER_GUARD

#include "peer_messages.h"
#include "traffic.h"

#include <QTimer>

namespace roadferry
{

/// Drives Membership and ShareAllocator by a timer, and sends their messages.
class ClusterView
{
public:
	ClusterView(Traffic& _traffic, std::string _self,
				std::function<void(const std::string&, const PeerMessage&)> _send);

	void start();

	/// Sets the nodes of the VM list, including this one.
	void setListedNodes(const std::vector<std::string>& _nodes);

	/// Applies the offset and the workspace limits of the table in force.
	void setTable(const Table& _table);

	void onGossip(const std::string& _peer, const Gossip& _message);
	void onDemand(const std::string& _peer, const DemandReport& _report);
	void onGrant(const std::string& _peer, const ShareGrant& _grant);

	/// Announces to other nodes that this one leaves.
	void leave();

	[[nodiscard]] const Membership& members() const;

	/// @returns The lowest table offset in force on any node that counts as alive.
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
	std::set<std::string> limitedWorkspaces; ///< Workspaces whose share is set in the dispatcher.
	QTimer timer;
};

} // namespace roadferry

#endif // ROADFERRY_CLUSTER_VIEW_H_HEADER_GUARD
