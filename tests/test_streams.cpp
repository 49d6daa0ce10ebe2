/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of the origins of streams: a stream that a client takes up is continued by the version that began it, or by
/// none, while nodes are killed, restart and lose messages.

#include "property.h"

#include <roadferry/roadferry.h>

#include <algorithm>
#include <deque>

namespace
{

using namespace roadferry;

constexpr const char* kPool = "pool";
constexpr Micros kStreamLife = 20 * kSecond;
constexpr Micros kListingInterval = 600 * kMillisecond;
constexpr Micros kMaxLookupTime = 2 * kSecond;

std::vector<Endpoint> listingOf(const std::set<std::string>& _versions)
{
	std::vector<Endpoint> endpoints;
	for (const std::string& version : _versions)
	{
		endpoints.push_back(Endpoint{"e-" + version, "10.0.0.1:80", kPool, "north", 8, false, version});
	}
	return endpoints;
}

/// Nodes that exchange messages without delay, as far as they live, and save on a platform that may be away.
class OriginCluster
{
public:
	OriginCluster(std::size_t _count, const std::set<std::string>& _versions) : versions(_versions)
	{
		for (std::size_t index = 0; index < _count; ++index)
		{
			this->names.push_back("10.0.1." + std::to_string(index) + ":1");
		}
		for (const std::string& name : this->names)
		{
			this->restart(name);
		}
		this->advance(StreamOriginsConfig{}.versionSavePeriod); // For the first save of the versions.
	}

	/// Starts a node, or starts it again without what it knew.
	void restart(const std::string& _name)
	{
		this->nodes.erase(_name);
		this->nodes.emplace(_name, StreamOrigins(_name, StreamOriginsConfig{}));
		this->perform(_name, this->nodes.at(_name).setResumablePools(this->resumablePools, this->now));
		this->perform(_name, this->nodes.at(_name).setEndpoints(listingOf(this->versions), true, this->now));
		this->publishMembers();
		this->load(_name);
	}

	/// Kills all nodes at once.
	void killAll()
	{
		this->nodes.clear();
	}

	void restartAll()
	{
		for (const std::string& name : this->names)
		{
			this->restart(name);
		}
	}

	/// Nodes that are started while the platform is away load what was saved when it is back.
	void setPlatformAway(bool _away)
	{
		this->platformAway = _away;
		const std::set<std::string> waiting = std::exchange(this->loading, {});
		for (const std::string& name : waiting)
		{
			this->load(name);
		}
	}

	void kill(const std::string& _name)
	{
		this->nodes.erase(_name);
		for (auto& node : this->nodes)
		{
			this->perform(node.first, node.second.peerClosed(_name, this->now));
		}
	}

	/// The live nodes learn which of them live.
	void publishMembers()
	{
		std::vector<std::string> alive;
		for (const auto& node : this->nodes)
		{
			alive.push_back(node.first);
		}
		for (auto& node : this->nodes)
		{
			this->perform(node.first, node.second.setMembers(alive, this->now));
		}
	}

	void setVersions(const std::set<std::string>& _versions)
	{
		this->versions = _versions;
		this->list();
	}

	void setListingUnavailable(const std::string& _node)
	{
		this->perform(_node, this->nodes.at(_node).setListedUpTo(0, false, this->now));
	}

	/// The nodes that are in step read the listing.
	void list()
	{
		for (auto& node : this->nodes)
		{
			if (this->outOfStep.count(node.first) == 0)
			{
				this->perform(node.first, node.second.setEndpoints(listingOf(this->versions), true, this->now));
				this->perform(node.first, node.second.setListedUpTo(this->now, true, this->now));
			}
		}
	}

	/// Sets whether streams of the pool may be taken up, by the routes of all nodes.
	void setResumable(bool _mayResume)
	{
		this->resumablePools = _mayResume ? std::set<std::string>{kPool} : std::set<std::string>{};
		for (auto& node : this->nodes)
		{
			this->perform(node.first, node.second.setResumablePools(this->resumablePools, this->now));
		}
	}

	void begin(const std::string& _node, const std::string& _request, const std::string& _version)
	{
		const bool isResumable = !this->resumablePools.empty();
		const StreamRecord record{_request, StreamOrigin{kPool, _version, isResumable}, this->now + kStreamLife};
		this->perform(_node, this->nodes.at(_node).record(record, this->now));
	}

	/// Takes a stream up at a node.
	/// @param[in] _within How long ago it may have begun, by the request.
	/// @returns How its lookup ended.
	OriginResolved resume(const std::string& _node, const std::string& _request, Micros _within = kStreamLife)
	{
		const bool needsRecord = this->resumablePools.empty();
		const OriginLookup lookup = this->nodes.at(_node).find(_request, kPool, _within, this->now, needsRecord);
		this->perform(_node, lookup.actions);
		const Micros began = this->now;
		const std::pair<std::string, std::uint64_t> key{_node, lookup.id};
		this->lookupTime = 0;
		while (this->resolved.count(key) == 0)
		{
			cr_assert_leq(this->lookupTime, kMaxLookupTime, "the lookup has not ended");
			this->advance(StreamOriginsConfig{}.lookupTimeout);
			this->lookupTime = this->now - began;
		}
		this->advance(began + StreamOriginsConfig{}.lookupTimeout -
					  std::min(this->now, began + StreamOriginsConfig{}.lookupTimeout));
		return this->resolved.at(key);
	}

	void advance(Micros _time)
	{
		this->now += _time;
		if (this->now >= this->nextListingAt)
		{
			this->nextListingAt = this->now + kListingInterval;
			this->list();
		}
		for (auto& node : this->nodes)
		{
			this->perform(node.first, node.second.tick(this->now));
		}
	}

	std::vector<std::string> names;
	std::map<std::string, StreamOrigins> nodes;
	std::set<std::string> versions;
	std::set<std::string> resumablePools = {kPool};
	Micros now = 100 * kSecond;
	std::set<std::string> outOfStep; ///< Nodes that don't read the listing.
	std::set<std::string> cutOff;    ///< Nodes that reach each other only.
	Micros lookupTime = 0;           ///< Of the last lookup.
	std::size_t recordMessages = 0;
	std::size_t saves = 0; ///< Of the versions of streams.
	bool versionSavesFail = false;

private:
	void load(const std::string& _name)
	{
		const auto node = this->nodes.find(_name);
		if (this->platformAway)
		{
			this->loading.insert(_name);
			return;
		}
		if (node != this->nodes.end())
		{
			this->perform(_name, node->second.setSaved(this->savedOrigins(), this->now));
		}
	}

	void save(const std::string& _node, const SavedVersions& _versions)
	{
		const bool succeeds = !this->platformAway && !this->versionSavesFail;
		if (succeeds)
		{
			this->write("versions/" + _versions.pool, _versions);
		}
		this->nodes.at(_node).onVersionsSaved(_versions, succeeds, this->now);
	}

	void save(const std::string& _node, const SaveStreamRecords& _records)
	{
		this->saves += 1;
		if (!this->platformAway)
		{
			const std::string key = "origins/" + std::to_string(_records.saver) + "/" + std::to_string(_records.slot);
			this->write(key, SavedStreams{_records.records});
		}
		this->nodes.at(_node).onRecordsSaved(_records, !this->platformAway, this->now);
	}

	/// Sets the value of a key, as the newest one.
	void write(const std::string& _key, const SavedEntry& _entry)
	{
		std::erase_if(this->saved, [&](const auto& _other) { return _other.first == _key; });
		this->saved.emplace_back(_key, _entry);
	}

	[[nodiscard]] SavedOrigins savedOrigins() const
	{
		SavedOrigins origins;
		for (const auto& entry : this->saved)
		{
			origins.push_back(entry.second);
		}
		return origins;
	}

	void perform(const std::string& _from, const OriginActions& _actions)
	{
		for (const OriginAction& action : _actions)
		{
			std::visit(Overloaded{[&](const OriginResolved& _end) {
									  this->resolved[{_from, _end.lookup}] = _end;
								  },
								  [&](const SendOriginMessage& _sent) { this->deliver(_from, _sent); },
								  [&](const auto& _save) { this->save(_from, _save); }},
					   action);
		}
	}

	void deliver(const std::string& _from, const SendOriginMessage& _sent)
	{
		this->recordMessages += std::holds_alternative<OriginRecords>(_sent.message) ? 1 : 0;
		const auto target = this->nodes.find(_sent.to);
		const bool isReached = this->cutOff.count(_from) == this->cutOff.count(_sent.to);
		if (target != this->nodes.end() && isReached)
		{
			this->perform(_sent.to, target->second.receive(_from, _sent.message, this->now));
		}
	}

	bool platformAway = false;
	Micros nextListingAt = 0;
	std::set<std::string> loading;                         ///< Nodes that wait for the platform.
	std::vector<std::pair<std::string, SavedEntry>> saved; ///< By key, in the order of writing.

	std::map<std::pair<std::string, std::uint64_t>, OriginResolved> resolved;
};

} // namespace

/// Guards against a stream that goes on at another version, or is refused, because the node that began it was killed.
Test(streams, origin_is_found_at_every_node_after_the_node_that_began_the_stream_is_killed)
{
	for (int index = 0; index < 40; ++index)
	{
		OriginCluster cluster(6, {"v1", "v2"});
		const std::string request = "r-" + std::to_string(index);
		cluster.begin(cluster.names[0], request, index % 2 == 0 ? "v1" : "v2");
		cluster.kill(cluster.names[0]);
		cluster.kill(cluster.names[1]);
		const OriginResolved found = cluster.resume(cluster.names[2 + index % 4], request);
		cr_assert(found.origin && found.origin->version == (index % 2 == 0 ? "v1" : "v2"), "%s", request.c_str());
	}
}

/// Guards against losing the origins of streams that began before the second version was listed.
Test(streams, streams_that_began_under_one_version_are_known_when_another_is_listed)
{
	OriginCluster cluster(6, {"v1"});
	cluster.begin(cluster.names[0], "r", "v1");
	cr_assert_eq(cluster.recordMessages, 0, "nothing is sent while there is nothing to tell apart");
	cluster.advance(kSecond);
	cluster.setVersions({"v1", "v2"});
	cluster.kill(cluster.names[0]);
	cr_assert(cluster.resume(cluster.names[3], "r").origin == (StreamOrigin{kPool, "v1"}));
}

/// Guards against losing the origins of streams that began before their route got the right to be taken up.
Test(streams, streams_that_began_before_they_could_be_taken_up_are_known_when_they_can)
{
	OriginCluster cluster(6, {"v1", "v2"});
	cluster.setResumable(false);
	cluster.advance(kSecond);
	const std::size_t savesBefore = cluster.saves;
	for (int index = 0; index < 40; ++index)
	{
		cluster.begin(cluster.names[0], "r-" + std::to_string(index), index % 2 == 0 ? "v1" : "v2");
	}
	cluster.advance(kSecond);
	cr_assert_eq(cluster.recordMessages, 0, "nothing is sent while nobody may take them up");
	cr_assert_eq(cluster.saves, savesBefore, "nothing is saved of streams that began without the right");
	cluster.setResumable(true);
	cluster.kill(cluster.names[0]);
	for (int index = 0; index < 40; ++index)
	{
		const OriginResolved found = cluster.resume(cluster.names[1 + index % 5], "r-" + std::to_string(index));
		cr_assert(found.origin == (StreamOrigin{kPool, index % 2 == 0 ? "v1" : "v2", false}), "stream %d", index);
	}
}

/// Guards against a guess where only a record can tell that a stream may be taken up.
Test(streams, stream_without_a_record_is_not_taken_up_where_the_routes_do_not_allow_it)
{
	OriginCluster cluster(3, {"v1"});
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.setResumable(false);
	cr_assert(cluster.resume(cluster.names[1], "r").origin == (StreamOrigin{kPool, "v1"}));
	cr_assert_not(cluster.resume(cluster.names[1], "never-seen").origin.has_value());
	cr_assert_leq(cluster.lookupTime, StreamOriginsConfig{}.lookupTimeout);
}

/// Guards against a stream joined from two versions: it began while its route could not be taken up, all nodes were
/// killed, and what was saved of its pool was from before.
Test(streams, saved_versions_of_a_pool_are_kept_up_to_date_while_its_streams_may_not_be_taken_up)
{
	OriginCluster cluster(3, {"v1"});
	cluster.setResumable(false);
	for (const bool isRestarted : {false, true})
	{
		if (isRestarted)
		{
			cluster.advance(StreamOriginsConfig{}.versionMemory + kSecond);
			cluster.killAll();
			cluster.restartAll();
		}
		cluster.advance(kSecond);
		cluster.setVersions({"v1", "v2"});
		cluster.begin(cluster.names[0], "r", "v2");
		cluster.advance(kSecond);
		cluster.setVersions({"v1"});
		cluster.killAll();
		cluster.restartAll();
		cluster.setResumable(true);
		cr_assert_not(cluster.resume(cluster.names[1], "r").origin.has_value());
		cluster.setResumable(false);
	}
}

/// Guards against streams that may be taken up and lose their records to others.
Test(streams, records_of_streams_without_the_right_to_be_taken_up_take_no_place_of_others)
{
	StreamOriginsConfig config;
	config.maxRecords = 10;
	StreamOrigins node("self", config);
	for (int index = 0; index < 10; ++index)
	{
		node.record(StreamRecord{"r-" + std::to_string(index), StreamOrigin{kPool, "v1"}, kSecond}, 0);
		node.record(StreamRecord{"s-" + std::to_string(index), StreamOrigin{kPool, "v1", false}, 2 * kSecond}, 0);
	}
	for (int index = 0; index < 10; ++index)
	{
		const OriginLookup lookup = node.find("r-" + std::to_string(index), kPool, kStreamLife, 0);
		cr_assert(lookup.actions.size() == 1 && std::holds_alternative<OriginResolved>(lookup.actions[0]));
	}
}

/// Guards against guessing: what nobody knows goes on only where one version can have begun it.
Test(streams, unknown_stream_goes_on_only_if_one_version_was_listed_within_its_life)
{
	OriginCluster cluster(3, {"v1"});
	cr_assert(cluster.resume(cluster.names[0], "never-seen").origin == (StreamOrigin{kPool, "v1"}));
	cluster.setVersions({"v1", "v2"});
	cr_assert_not(cluster.resume(cluster.names[0], "never-seen").origin.has_value());
	cluster.setVersions({"v2"});
	cluster.advance(kSecond);
	cr_assert_not(cluster.resume(cluster.names[0], "never-seen").origin.has_value(), "v1 was listed a second ago");
	cluster.restart(cluster.names[1]);
	cr_assert_not(cluster.resume(cluster.names[1], "never-seen").origin.has_value(), "others saw v1");
	cluster.advance(kStreamLife + kSecond);
	cr_assert(cluster.resume(cluster.names[1], "never-seen").origin == (StreamOrigin{kPool, "v2"}));
}

/// Guards against a stream that goes on at the only version that a node out of step has heard of (ORDER).
Test(streams, node_that_is_cut_off_does_not_take_up_streams_at_the_only_version_it_knows)
{
	for (const std::size_t cutNodes : {1, 2})
	{
		OriginCluster cluster(6, {"v1"});
		cluster.outOfStep = {cluster.names.begin(), cluster.names.begin() + static_cast<std::ptrdiff_t>(cutNodes)};
		cluster.cutOff = cluster.outOfStep;
		cluster.advance(kSecond / 2);
		cluster.setVersions({"v1", "v2"});
		cluster.begin(cluster.names[5], "r", "v2");
		cr_assert_not(cluster.resume(cluster.names[0], "r").origin.has_value(), "%zu nodes cut off", cutNodes);
		cr_assert(cluster.resume(cluster.names[4], "r").origin == (StreamOrigin{kPool, "v2"}));
	}
}

/// Guards against the same at a node that has stood still, and reaches the others.
Test(streams, node_that_has_stood_still_asks_the_others_for_the_version)
{
	OriginCluster cluster(6, {"v1"});
	cluster.outOfStep = {cluster.names[0]};
	cluster.advance(kSecond / 2);
	cluster.setVersions({"v1", "v2"});
	cluster.begin(cluster.names[5], "r", "v2");
	cr_assert(cluster.resume(cluster.names[0], "r").origin == (StreamOrigin{kPool, "v2"}));
}

/// Guards against streams that are refused for want of an answer although nothing is wrong but one node is gone.
Test(streams, silent_node_delays_a_lookup_only_until_the_next_listing)
{
	OriginCluster cluster(6, {"v1"});
	cluster.cutOff = {cluster.names[1], cluster.names[2]};
	cluster.advance(kSecond / 2);
	cr_assert(cluster.resume(cluster.names[0], "r").origin == (StreamOrigin{kPool, "v1"}));
	cr_assert_leq(cluster.lookupTime, kListingInterval + StreamOriginsConfig{}.lookupTimeout);
	cluster.cutOff.clear();
	cr_assert(cluster.resume(cluster.names[0], "r-2").origin == (StreamOrigin{kPool, "v1"}));
	cr_assert_eq(cluster.lookupTime, 0, "all nodes answer");
}

/// Guards against a node that waits for a listing which it cannot read.
Test(streams, lookup_without_answers_and_without_a_listing_ends_soon)
{
	OriginCluster cluster(6, {"v1"});
	cluster.outOfStep = {cluster.names[0]};
	cluster.cutOff = cluster.outOfStep;
	cluster.advance(kSecond / 2);
	cluster.setListingUnavailable(cluster.names[0]);
	cr_assert_not(cluster.resume(cluster.names[0], "r").origin.has_value());
	cr_assert_leq(cluster.lookupTime, StreamOriginsConfig{}.lookupTimeout);
}

/// Guards against records that are lost one by one as their holders are replaced.
Test(streams, records_outlive_the_replacement_of_all_other_nodes)
{
	OriginCluster cluster(6, {"v1", "v2"});
	cluster.begin(cluster.names[0], "r", "v2");
	for (std::size_t index = 1; index < cluster.names.size(); ++index)
	{
		cluster.kill(cluster.names[index]);
		cluster.advance(kSecond / 2);
		cluster.restart(cluster.names[index]);
		cluster.advance(2 * kSecond);
	}
	cluster.kill(cluster.names[0]);
	cr_assert(cluster.resume(cluster.names[5], "r").origin == (StreamOrigin{kPool, "v2"}));
}

/// Guards against a lookup that waits for a node which is gone.
Test(streams, lookup_ends_when_the_nodes_that_were_asked_are_gone)
{
	StreamOrigins node("self", StreamOriginsConfig{});
	node.setEndpoints(listingOf({"v1", "v2"}), true, kSecond);
	node.setSaved({}, kSecond);
	node.setMembers({"self", "other"}, kSecond);
	cr_assert_eq(node.find("r", kPool, kStreamLife, kSecond).actions.size(), 1);
	const OriginActions actions = node.peerClosed("other", kSecond);
	cr_assert(actions.size() == 1 && std::holds_alternative<OriginResolved>(actions[0]));
	cr_assert(node.tick(2 * kSecond).empty());
}

/// Guards against memory that grows with the number of streams.
Test(streams, records_are_bounded_and_expire)
{
	StreamOriginsConfig config;
	config.maxRecords = 10;
	StreamOrigins node("self", config);
	for (int index = 0; index < 1'000; ++index)
	{
		node.record(StreamRecord{"r-" + std::to_string(index), StreamOrigin{kPool, "v1"}, kSecond + index}, 0);
		cr_assert_leq(node.size(), 10);
	}
	node.tick(3 * kSecond);
	cr_assert_eq(node.size(), 0);
}

/// Guards against a wrong version after any sequence of streams, releases, kills and restarts: an answer may be
/// missing, never wrong.
Test(streams, no_history_gives_a_stream_another_version_than_the_one_that_began_it)
{
	checkHistories("stream origins",
				   []
				   {
					   const std::vector<std::set<std::string>> listings = {{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}};
					   OriginCluster cluster(5, {"v1"});
					   std::map<std::string, std::string> began;
					   for (int step = 0; step < 40; ++step)
					   {
						   cluster.advance(*rc::gen::inRange<Micros>(0, kSecond));
						   const std::string node = *rc::gen::elementOf(cluster.names);
						   const std::string request = "r-" + std::to_string(*rc::gen::inRange(0, 12));
						   const bool lives = cluster.nodes.count(node) > 0;
						   switch (*rc::gen::inRange(0, 5))
						   {
						   case 0:
							   if (lives && began.count(request) == 0)
							   {
								   const std::string version = *rc::gen::elementOf(cluster.versions);
								   began[request] = version;
								   cluster.begin(node, request, version);
							   }
							   break;
						   case 1:
							   if (lives && cluster.nodes.size() > 2)
							   {
								   cluster.kill(node);
							   }
							   break;
						   case 2:
							   if (!lives)
							   {
								   cluster.restart(node);
							   }
							   break;
						   case 3:
							   cluster.setVersions(*rc::gen::elementOf(listings));
							   break;
						   default:
							   if (lives && began.count(request) > 0)
							   {
								   const OriginResolved found = cluster.resume(node, request);
								   const bool isRight = !found.origin || found.origin->version == began.at(request);
								   RC_ASSERT(isRight);
							   }
						   }
					   }
				   });
}

/// Guards against a stream joined from two versions: after all nodes were killed, the version that is listed is not the
/// only one that can have begun it.
Test(streams, stream_of_a_version_that_left_before_all_nodes_were_killed_does_not_go_on_at_another)
{
	OriginCluster cluster(3, {"v1"});
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.setVersions({"v1", "v2"});
	cluster.advance(kSecond);
	cluster.setVersions({"v2"});
	cluster.killAll();
	cluster.advance(kSecond);
	cluster.restartAll();
	const OriginResolved known = cluster.resume(cluster.names[1], "r");
	cr_assert(!known.origin || known.origin->version == "v1");
	cr_assert_not(cluster.resume(cluster.names[1], "never-seen").origin.has_value());
}

/// Guards against refusing streams that can go on: all nodes were killed while two versions served.
Test(streams, streams_of_two_versions_go_on_after_all_nodes_were_killed)
{
	OriginCluster cluster(6, {"v1", "v2"});
	for (int index = 0; index < 40; ++index)
	{
		cluster.begin(cluster.names[index % 6], "r-" + std::to_string(index), index % 2 == 0 ? "v1" : "v2");
	}
	cluster.advance(kSecond);
	cluster.killAll();
	cluster.advance(kSecond);
	cluster.restartAll();
	for (int index = 0; index < 40; ++index)
	{
		const OriginResolved found = cluster.resume(cluster.names[index % 5], "r-" + std::to_string(index));
		cr_assert(found.origin == (StreamOrigin{kPool, index % 2 == 0 ? "v1" : "v2"}), "stream %d", index);
	}
}

/// Guards against refusing all streams after all nodes were killed without a release, and against saves without need.
Test(streams, streams_of_the_only_version_go_on_after_all_nodes_were_killed)
{
	OriginCluster cluster(3, {"v1"});
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.advance(kSecond);
	cluster.killAll();
	cluster.advance(kSecond);
	cluster.restartAll();
	cr_assert(cluster.resume(cluster.names[1], "r").origin == (StreamOrigin{kPool, "v1"}));
	cr_assert_eq(cluster.saves, 0);
}

/// Guards against a guess while the platform is away when the nodes start.
Test(streams, streams_wait_for_the_platform_after_all_nodes_were_killed)
{
	OriginCluster cluster(3, {"v1", "v2"});
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.advance(kSecond);
	cluster.killAll();
	cluster.setPlatformAway(true);
	cluster.setVersions({"v2"});
	cluster.restartAll();
	cr_assert_not(cluster.resume(cluster.names[1], "r").origin.has_value());
	cluster.advance(kSecond);
	cluster.setPlatformAway(false);
	cr_assert(cluster.resume(cluster.names[1], "r").origin == (StreamOrigin{kPool, "v1"}));
}

/// Guards against records that are lost with the save that failed.
Test(streams, streams_that_could_not_be_saved_are_saved_when_the_platform_is_back)
{
	OriginCluster cluster(3, {"v1", "v2"});
	cluster.setPlatformAway(true);
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.advance(kSecond);
	cluster.setPlatformAway(false);
	cluster.advance(kSecond);
	cluster.killAll();
	cluster.restartAll();
	cr_assert(cluster.resume(cluster.names[1], "r").origin == (StreamOrigin{kPool, "v1"}));
}

/// Guards against taking a part of the listing for all of it.
Test(streams, version_is_not_the_only_one_while_the_listing_is_incomplete)
{
	StreamOrigins node("self", StreamOriginsConfig{});
	node.setEndpoints(listingOf({"v2"}), false, kSecond);
	node.setSaved({SavedVersions{kPool, {"v2"}}}, kSecond);
	const auto resolve = [&](const std::string& _request)
	{ return std::get<OriginResolved>(node.find(_request, kPool, kStreamLife, kSecond).actions.at(0)).origin; };
	cr_assert_not(resolve("r").has_value());
	node.setEndpoints(listingOf({"v2"}), true, kSecond);
	cr_assert_not(resolve("r").has_value(), "a version may have joined since the listing was read");
	node.setListedUpTo(kSecond, true, kSecond);
	cr_assert(resolve("r").has_value());
}

/// Guards against a stream joined from two versions: the node that saves the versions of the pool could not, and only
/// the saved streams of other nodes tell that a version had served which is not listed any more.
Test(streams, saved_stream_of_a_version_that_was_not_saved_proves_that_the_pool_had_it)
{
	OriginCluster cluster(3, {"v1"});
	cluster.versionSavesFail = true;
	cluster.setVersions({"v1", "v2"});
	cluster.begin(cluster.names[0], "r", "v2");
	cluster.advance(kSecond);
	cluster.setVersions({"v1"});
	cluster.killAll();
	cluster.restartAll();
	cr_assert(cluster.resume(cluster.names[1], "r").origin == (StreamOrigin{kPool, "v2"}));
	cr_assert_not(cluster.resume(cluster.names[1], "never-seen").origin.has_value());
}

/// Guards against refusing streams for the sake of a version that left long ago: its saved streams are older than what
/// was saved of the pool after it had left.
Test(streams, saved_stream_of_a_version_that_left_long_ago_makes_no_doubt)
{
	OriginCluster cluster(3, {"v1", "v2"});
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.advance(kSecond);
	cluster.setVersions({"v2"});
	cluster.advance(StreamOriginsConfig{}.versionMemory + kSecond);
	cluster.killAll();
	cluster.restartAll();
	cr_assert(cluster.resume(cluster.names[1], "never-seen").origin == (StreamOrigin{kPool, "v2"}));
}

/// Guards against a stream joined from two versions: the time that its client has left, and the route's limit of today,
/// may be shorter than the time since it began.
Test(streams, stream_may_have_begun_longer_ago_than_its_client_still_waits)
{
	OriginCluster cluster(3, {"v1", "v2"});
	cluster.setVersions({"v2"});
	cluster.killAll();
	cluster.restartAll();
	cluster.advance(5 * kSecond);
	cr_assert_not(cluster.resume(cluster.names[1], "never-seen", kSecond).origin.has_value());
}

/// Guards against a guess of nodes that have started again, while one that did not forget anything answers them.
Test(streams, node_that_survives_tells_the_others_which_versions_served)
{
	OriginCluster cluster(4, {"v1", "v2"});
	cluster.begin(cluster.names[0], "r", "v1");
	cluster.setVersions({"v2", "v3"});
	cluster.setVersions({"v3"});
	for (std::size_t index = 1; index < cluster.names.size(); ++index)
	{
		cluster.kill(cluster.names[index]);
	}
	cluster.setPlatformAway(true);
	for (std::size_t index = 1; index < cluster.names.size(); ++index)
	{
		cluster.restart(cluster.names[index]);
	}
	cr_assert(cluster.resume(cluster.names[2], "r").origin == (StreamOrigin{kPool, "v1"}));
	cr_assert_not(cluster.resume(cluster.names[2], "never-seen").origin.has_value());
}

/// Guards against a wrong version after any sequence in which all nodes are killed at once and the platform is away.
Test(streams, no_history_with_all_nodes_killed_gives_a_stream_another_version)
{
	checkHistories(
		"stream origins, all killed",
		[]
		{
			const std::vector<std::set<std::string>> listings = {{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v3"}};
			OriginCluster cluster(4, {"v1"});
			std::map<std::string, std::string> began;
			bool isAway = false;
			for (int step = 0; step < 60; ++step)
			{
				cluster.advance(*rc::gen::inRange<Micros>(0, kSecond));
				const std::string node = *rc::gen::elementOf(cluster.names);
				const std::string request = "r-" + std::to_string(*rc::gen::inRange(0, 12));
				switch (*rc::gen::inRange(0, 6))
				{
				case 0:
					if (began.count(request) == 0)
					{
						began[request] = *rc::gen::elementOf(cluster.versions);
						cluster.begin(node, request, began[request]);
					}
					break;
				case 1:
					cluster.killAll();
					cluster.advance(*rc::gen::inRange<Micros>(0, 3 * kSecond));
					cluster.restartAll();
					break;
				case 2:
					// The listing is of the platform too, so no version comes or goes unseen meanwhile.
					isAway = !isAway;
					cluster.setPlatformAway(isAway);
					break;
				case 3:
					if (!isAway)
					{
						cluster.setVersions(*rc::gen::elementOf(listings));
						cluster.advance(kSecond);
					}
					break;
				default:
					if (began.count(request) > 0)
					{
						const OriginResolved found = cluster.resume(node, request);
						const bool isRight = !found.origin || found.origin->version == began.at(request);
						RC_ASSERT(isRight);
					}
				}
			}
		});
}
