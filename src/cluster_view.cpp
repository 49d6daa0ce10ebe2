/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the view of the cluster's nodes.

#include "cluster_view.h"

#include "trace.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr int kTickPeriodMs = 100;
constexpr std::int64_t kNanosPerMicro = 1'000;

} // namespace

ClusterView::ClusterView(Traffic& _traffic, std::string _self,
						 std::function<void(const std::string&, const PeerMessage&)> _send)
	: traffic(_traffic), self(std::move(_self)), send(std::move(_send)),
	  membership(self, static_cast<std::uint64_t>(wallNanoseconds() / kNanosPerMicro), MembershipConfig{},
				 randomNumber()),
	  shareAllocator(self, ShareConfig{})
{
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
}

void ClusterView::start()
{
	this->timer.start(kTickPeriodMs);
}

void ClusterView::setListedNodes(const std::vector<std::string>& _nodes)
{
	this->listedNodes = _nodes;
	this->membership.setSeeds(_nodes);
}

void ClusterView::setTable(const Table& _table)
{
	this->membership.setTableOffset(_table.snapshot().offset);
	std::map<std::string, std::int64_t> limits;
	for (const auto& entry : _table.snapshot().rows)
	{
		const bool workspace = entry.first.kind == RowKind::Workspace && entry.second.row.has_value();
		const auto* row = workspace ? std::get_if<WorkspaceRow>(&*entry.second.row) : nullptr;
		if (row != nullptr && row->maxInFlight > 0)
		{
			limits[row->name] = row->maxInFlight;
		}
	}
	this->shareAllocator.setLimits(limits);
	this->applyShares();
}

void ClusterView::sendAll(const std::vector<SendGossip>& _messages)
{
	for (const SendGossip& message : _messages)
	{
		this->send(message.to, message.message);
	}
}

void ClusterView::tick()
{
	const Micros now = monotonicNow();
	this->sendAll(this->membership.tick(now));
	this->shareAllocator.setNodes(this->listedNodes, this->membership.alive(), now);
	this->traffic.setNodeCount(this->membership.alive().size());
	this->shareAllocator.setDemand(this->traffic.takeDemand());
	for (const ShareAction& action : this->shareAllocator.tick(now))
	{
		std::visit(
			Overloaded{
				[&](const SendDemand& _typed) { this->send(_typed.to, _typed.report); },
				[&](const SendGrant& _typed) { this->send(_typed.to, _typed.grant); },
			},
			action);
	}
	this->applyShares();
}

void ClusterView::applyShares()
{
	const auto shares = this->shareAllocator.shares(monotonicNow());
	for (const std::string& workspace : this->limitedWorkspaces)
	{
		if (shares.count(workspace) == 0)
		{
			this->traffic.setShare(workspace, -1);
		}
	}
	this->limitedWorkspaces.clear();
	for (const auto& entry : shares)
	{
		this->traffic.setShare(entry.first, entry.second);
		this->limitedWorkspaces.insert(entry.first);
	}
}

void ClusterView::onGossip(const std::string& _peer, const Gossip& _message)
{
	this->sendAll(this->membership.receive(_peer, _message, monotonicNow()));
}

void ClusterView::onDemand(const std::string& _peer, const DemandReport& _report)
{
	this->shareAllocator.receiveDemand(_peer, _report, monotonicNow());
}

void ClusterView::onGrant(const std::string& _peer, const ShareGrant& _grant)
{
	this->shareAllocator.receiveGrant(_peer, _grant, monotonicNow());
	this->applyShares();
}

void ClusterView::leave()
{
	this->sendAll(this->membership.leave());
}

const Membership& ClusterView::members() const
{
	return this->membership;
}

std::uint64_t ClusterView::lowestTableOffset() const
{
	std::uint64_t lowest = this->membership.members().at(this->self).tableOffset;
	for (const std::string& address : this->membership.alive())
	{
		lowest = std::min(lowest, this->membership.members().at(address).tableOffset);
	}
	return lowest;
}

std::map<std::string, std::int64_t> ClusterView::shares() const
{
	return this->shareAllocator.shares(monotonicNow());
}

} // namespace roadferry
