/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the view of the other nodes.

#include "cluster_view.h"

#include "trace.h"

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr int kTickMs = 100;
constexpr std::int64_t kNanosPerMicro = 1'000;

} // namespace

ClusterView::ClusterView(Traffic& _traffic, std::string _self,
						 std::function<void(const std::string&, const PeerMessage&)> _send)
	: traffic(_traffic), self(std::move(_self)), send(std::move(_send)),
	  membership(self, static_cast<std::uint64_t>(wallNanoseconds() / kNanosPerMicro), MembershipConfig{},
				 randomNumber()),
	  meter(self, ShareConfig{})
{
	QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(); });
}

void ClusterView::start()
{
	this->timer.start(kTickMs);
}

void ClusterView::setListed(const std::vector<std::string>& _nodes)
{
	this->listed = _nodes;
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
		if (row != nullptr && row->inFlight > 0)
		{
			limits[row->name] = row->inFlight;
		}
	}
	this->meter.setLimits(limits);
	this->applyShares();
}

void ClusterView::carry(const std::vector<SendGossip>& _messages)
{
	for (const SendGossip& message : _messages)
	{
		this->send(message.to, message.message);
	}
}

void ClusterView::tick()
{
	const Micros now = monotonicNow();
	this->carry(this->membership.tick(now));
	this->meter.setNodes(this->listed, this->membership.alive(), now);
	this->traffic.setNodeCount(this->membership.alive().size());
	this->meter.setDemand(this->traffic.takeDemand());
	for (const ShareAction& action : this->meter.tick(now))
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
	const auto shares = this->meter.shares(monotonicNow());
	for (const std::string& workspace : this->limited)
	{
		if (shares.count(workspace) == 0)
		{
			this->traffic.setShare(workspace, -1);
		}
	}
	this->limited.clear();
	for (const auto& entry : shares)
	{
		this->traffic.setShare(entry.first, entry.second);
		this->limited.insert(entry.first);
	}
}

void ClusterView::onGossip(const std::string& _peer, const Gossip& _message)
{
	this->carry(this->membership.receive(_peer, _message, monotonicNow()));
}

void ClusterView::onDemand(const std::string& _peer, const DemandReport& _report)
{
	this->meter.receiveDemand(_peer, _report, monotonicNow());
}

void ClusterView::onShares(const std::string& _peer, const ShareGrant& _grant)
{
	this->meter.receiveGrant(_peer, _grant, monotonicNow());
	this->applyShares();
}

void ClusterView::leave()
{
	this->carry(this->membership.leave());
}

const Membership& ClusterView::members() const
{
	return this->membership;
}

std::uint64_t ClusterView::inForce() const
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
	return this->meter.shares(monotonicNow());
}

} // namespace roadferry
