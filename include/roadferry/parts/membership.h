/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: membership: which nodes are alive.

#ifndef ROADFERRY_PARTS_MEMBERSHIP_H_HEADER_GUARD
#define ROADFERRY_PARTS_MEMBERSHIP_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roadferry
{

enum class MemberState
{
	Alive,
	Suspect, ///< Did not answer a probe; counts as alive until the suspicion times out.
	Dead,
	Left ///< Stopped as planned.
};

std::string_view nameOf(MemberState _state);

/// State of one node, as sent in gossip.
struct Member
{
	std::string address;
	std::uint64_t version = 0; ///< Grows with each start of the process and each refutation of a false suspicion.
	MemberState state = MemberState::Alive;
	std::uint64_t tableOffset = 0;     ///< Offset of the table in force on that node.
	std::int64_t processorPercent = 0; ///< Share of a core that its VM provides; 0 if unknown.
	bool relaysCalls = false;          ///< It makes calls to endpoints for other nodes.
	bool operator==(const Member&) const = default;
};

/// Selects the nodes that may form batches for all nodes: VMs with much processor time, since a batching node handles
/// the pieces of all of them, and among these the processes that have run longest, so that a node that has just
/// restarted does not take over queues and the account of results from one that works.
/// @param[in] _alive Live members, with versions that start at the wall clock, in microseconds.
/// @returns Sorted addresses, at least one unless @p _alive is empty.
std::vector<std::string> batchingNodes(const std::vector<Member>& _alive);

enum class GossipKind
{
	Ping,
	Ack,
	PingRequest, ///< Asks the receiver to ping a third node and to relay its answer.
	Join         ///< A ping whose answer lists all members.
};

/// A heartbeat that carries updates of some members.
struct Gossip
{
	GossipKind kind = GossipKind::Ping;
	std::uint64_t sequence = 0;  ///< Echoed in the answer.
	std::string target;          ///< Node to ping in a PingRequest; empty otherwise.
	std::vector<Member> updates; ///< The sender's own state first.
	bool operator==(const Gossip&) const = default;
};

/// Send a gossip message.
struct SendGossip
{
	std::string to;
	Gossip message;
	bool operator==(const SendGossip&) const = default;
};

/// Timing and sizes of Membership.
struct MembershipConfig
{
	Micros probePeriod = kSecond;           ///< Time between two probes.
	Micros ackTimeout = 300 * kMillisecond; ///< Time without an answer before indirect probes are requested.
	Micros suspicionTimeout = 3 * kSecond;  ///< Time to refute, for up to eight nodes; grows with their logarithm.
	std::size_t indirectProbes = 3;         ///< Nodes asked to probe a node that did not answer.
	std::size_t updatesPerMessage = 8;      ///< Pending updates in a message, if there are that many.
	std::size_t maxUpdatesPerMessage = 40;  ///< Upper bound after the loss of many nodes at once.
	Micros seedPeriod = 5 * kSecond;        ///< Time between two attempts to contact a listed node that is not alive.
	Micros goneRetention = 600 * kSecond;   ///< How long a dead node, or one that has left, is remembered.
	bool operator==(const MembershipConfig&) const = default;
};

/// Tracks which nodes are alive, by probes and gossip. The cost per node does not depend on the number of nodes. The
/// view decides on shares and on which node appends snapshots, but never on which node may run a ticket.
class Membership
{
public:
	/// @param[in] _address Own address.
	/// @param[in] _version First version, above that of earlier processes at this address: the wall clock at start.
	Membership(std::string _address, std::uint64_t _version, MembershipConfig _config, std::uint64_t _seed);

	/// Sets the nodes of the VM list, alive or not.
	void setSeeds(const std::vector<std::string>& _addresses);

	/// Sets the table offset in force on this node. Each message carries it to its receiver; it is not disseminated
	/// further.
	void setTableOffset(std::uint64_t _offset);

	/// Sets the share of a core that this node's VM provides. Call it before the first tick, so that it spreads.
	void setProcessorPercent(std::int64_t _percent);

	/// Sets whether this node makes calls to endpoints for other nodes. Call it before the first tick.
	void setRelaysCalls(bool _relays);

	std::vector<SendGossip> receive(const std::string& _from, const Gossip& _message, Micros _now);
	std::vector<SendGossip> tick(Micros _now);

	/// @returns Messages that announce to some nodes that this one leaves as planned.
	std::vector<SendGossip> leave();

	/// @returns All known members by address, including this node.
	[[nodiscard]] const std::map<std::string, Member>& members() const;

	/// @returns Sorted addresses of the nodes that count as alive, including this one.
	[[nodiscard]] std::vector<std::string> alive() const;

	/// @returns The members that count as alive, including this node, sorted by address.
	[[nodiscard]] std::vector<Member> aliveMembers() const;

private:
	struct Probe
	{
		std::string target;
		std::uint64_t sequence = 0;
		Micros sentAt = 0;
		bool indirectRequested = false;
		bool answered = false;
	};

	struct PendingUpdate
	{
		std::size_t sendCount = 0;
	};

	void applyUpdate(const Member& _update, Micros _now, bool _spread);
	void store(const Member& _update, Micros _now, bool _spread);
	[[nodiscard]] std::pair<bool, std::size_t> priorityOf(const std::string& _address,
														  const PendingUpdate& _pending) const;
	void suspect(const std::string& _address, Micros _now);
	void expireSuspects(Micros _now);
	void startNextProbe(Micros _now, std::vector<SendGossip>& _out);
	void requestIndirectProbes(Micros _now, std::vector<SendGossip>& _out);
	void contactSeed(Micros _now, std::vector<SendGossip>& _out);
	std::vector<Member> takeUpdates();
	[[nodiscard]] std::vector<Member> allMembers() const;
	SendGossip message(const std::string& _to, GossipKind _kind, std::uint64_t _sequence);
	[[nodiscard]] std::size_t log2OfMembers() const;

	std::string self;
	MembershipConfig config;
	std::minstd_rand random;
	std::map<std::string, Member> knownMembers;
	std::map<std::string, Micros> notAliveSince; ///< For members that are not alive: when they entered that state.
	std::map<std::string, PendingUpdate> pendingUpdates; ///< Members whose state is still to be disseminated.
	std::vector<std::string> seeds;
	std::vector<std::string> probeOrder; ///< Nodes still to be probed in this round, last one first.
	std::optional<Probe> probe;
	/// Pings sent for other nodes: the requester and its sequence number, by own sequence number.
	std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> relayedPings;
	std::uint64_t lastSequence = 0;
	Micros nextProbeAt = 0;
	Micros nextSeedAt = 0;
	Micros nextExpiryAt = 0;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_MEMBERSHIP_H_HEADER_GUARD
