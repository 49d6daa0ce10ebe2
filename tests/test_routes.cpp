/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of route matching against a linear search, and of endpoints during outages of the listing.

#include "listing_log.h"
#include "property.h"

#include <roadferry/roadferry.h>

#include <algorithm>

namespace
{

using namespace roadferry;

const std::vector<std::string> kHosts = {"one.example", "two.example"};
const std::vector<std::string> kPrefixes = {"/", "/a/", "/a/b/", "/a/b/c/", "/b/", "/ab/"};
const std::vector<std::string> kPaths = {"/", "/a", "/a/", "/a/b/x", "/a/b/c/", "/b/a/", "/ab/x?q=/a/b/", "x", ""};

/// Finds the route with the longest matching prefix by trying all routes.
const Route* searchAll(const RoutePlan& _plan, const std::string& _host, const std::string& _target)
{
	const std::string path = _target.substr(0, _target.find('?'));
	const Route* best = nullptr;
	for (const Route& route : _plan.data().routes)
	{
		const bool fits = route.host == _host && path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
		if (fits && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()))
		{
			best = &route;
		}
	}
	return best;
}

Endpoint endpoint(const std::string& _id, bool _leaving = false)
{
	return Endpoint{_id, "10.0.0.1:80", "pool", "north", 4, _leaving};
}

std::vector<std::string> usableIds(const EndpointDirectory& _directory)
{
	std::vector<std::string> ids;
	for (const Endpoint& entry : _directory.endpoints())
	{
		if (!entry.leaving)
		{
			ids.push_back(entry.id);
		}
	}
	return ids;
}

} // namespace

Test(routes, match_is_the_longest_prefix_of_the_host)
{
	checkHistories("routes",
				   []
				   {
					   RoutePlanData data;
					   for (const std::string& host : kHosts)
					   {
						   for (const std::string& prefix : kPrefixes)
						   {
							   if (*rc::gen::arbitrary<bool>())
							   {
								   Route route;
								   route.name = host + prefix;
								   route.host = host;
								   route.pathPrefix = prefix;
								   data.routes.push_back(route);
							   }
						   }
					   }
					   const RoutePlan plan(data);
					   const std::string host = *rc::gen::elementOf(kHosts);
					   const std::string path = *rc::gen::elementOf(kPaths);
					   RC_ASSERT(plan.match(host, path) == searchAll(plan, host, path));
					   RC_ASSERT(plan.match(host + ":8080", path) == searchAll(plan, host, path));
				   });
}

Test(routes, host_is_compared_without_case)
{
	Route route;
	route.host = "One.Example";
	route.pathPrefix = "/";
	const RoutePlan plan(RoutePlanData{1, {route}, {}, {}, {}});
	cr_assert_not_null(plan.match("oNE.exAMPLE:80", "/x"));
	cr_assert_null(plan.match("two.example", "/x"));
}

Test(routes, credential_maps_to_its_workspace)
{
	RoutePlanData data;
	data.workspaces = {WorkspaceAccess{"hall", {"k1", "k2"}, 1}, WorkspaceAccess{"results", {"k3"}, {}}};
	const RoutePlan plan(data);
	cr_assert(plan.workspaceOf("k2")->name == "hall");
	cr_assert(plan.workspaceOf("k3")->name == "results");
	cr_assert_null(plan.workspaceOf("k"));
	cr_assert_null(plan.workspaceOf(""));
}

Test(routes, pools_are_chosen_by_weight)
{
	Route route;
	route.pools = {PoolShare{"a", 90}, PoolShare{"b", 10}, PoolShare{"never", 0}};
	std::map<std::string, int> counts;
	for (std::uint64_t random = 0; random < 1'000; ++random)
	{
		counts[choosePool(route, random * (~std::uint64_t{0} / 1'000))] += 1;
	}
	cr_assert_eq(counts["a"], 900);
	cr_assert_eq(counts["b"], 100);
	cr_assert_eq(counts.count("never"), 0);
	cr_assert(choosePool(Route{}, 7).empty());
}

Test(directory, removed_entry_is_dropped_at_once_while_the_listing_is_available)
{
	EndpointDirectory directory(DirectoryConfig{});
	ListingLog log;
	log.put(endpoint("e-1"));
	log.put(endpoint("e-2"));
	directory.applyRead(log.snapshot(kSecond), kSecond);
	log.remove("e-1");
	directory.applyRead(log.since(2, kSecond + 500 * kMillisecond), kSecond + 500 * kMillisecond);
	cr_assert(usableIds(directory) == std::vector<std::string>{"e-2"});
}

Test(directory, entry_that_expired_during_an_outage_has_time_to_be_relisted)
{
	EndpointDirectory directory(DirectoryConfig{});
	ListingLog log;
	log.put(endpoint("e-1"));
	log.put(endpoint("e-2"));
	directory.applyRead(log.snapshot(kSecond), kSecond);
	log.remove("e-1");
	log.remove("e-2");
	const Micros availableAt = 10 * kSecond;
	directory.applyRead(log.snapshot(availableAt), availableAt);
	cr_assert_eq(usableIds(directory).size(), 2);
	log.put(endpoint("e-1"));
	directory.applyRead(log.since(4, availableAt + kSecond), availableAt + kSecond);
	cr_assert_not(directory.expire(availableAt + 1'900 * kMillisecond));
	cr_assert(directory.expire(availableAt + 2 * kSecond));
	cr_assert(usableIds(directory) == std::vector<std::string>{"e-1"});
}

Test(directory, entry_removed_after_an_outage_is_dropped_two_seconds_after_its_end)
{
	EndpointDirectory directory(DirectoryConfig{});
	ListingLog log;
	log.put(endpoint("e-1"));
	directory.applyRead(log.snapshot(kSecond), kSecond);
	const Micros availableAt = 10 * kSecond;
	directory.applyRead(log.since(1, availableAt), availableAt);
	log.remove("e-1");
	directory.applyRead(log.since(1, availableAt + 1'800 * kMillisecond), availableAt + 1'800 * kMillisecond);
	cr_assert_eq(usableIds(directory).size(), 1);
	cr_assert(directory.expire(availableAt + 2 * kSecond));
	cr_assert(usableIds(directory).empty());
}

Test(directory, slow_read_does_not_keep_a_removed_entry)
{
	EndpointDirectory directory(DirectoryConfig{});
	ListingLog log;
	log.put(endpoint("e-1"));
	directory.applyRead(log.snapshot(kSecond), kSecond);
	log.remove("e-1");
	directory.applyRead(log.since(1, 3 * kSecond), 3 * kSecond);
	cr_assert(usableIds(directory).empty());
}

Test(directory, leaving_is_never_reverted)
{
	checkHistories("directory",
				   []
				   {
					   EndpointDirectory directory(DirectoryConfig{});
					   ListingLog log;
					   std::uint64_t readPosition = 0;
					   const auto readChanges = [&](Micros _now)
					   { directory.applyRead(log.since(std::exchange(readPosition, log.end()), _now), _now); };
					   const std::vector<std::string> ids = {"e-1", "e-2", "e-3"};
					   std::set<std::string> left;
					   Micros now = kSecond;
					   const int steps = *rc::gen::inRange(1, 60);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, 3 * kSecond);
						   const std::string id = *rc::gen::elementOf(ids);
						   switch (*rc::gen::inRange(0, 6))
						   {
						   case 0:
							   log.put(endpoint(id));
							   readChanges(now);
							   break;
						   case 1:
							   log.put(endpoint(id, true));
							   readChanges(now);
							   left.insert(id);
							   break;
						   case 2:
							   directory.markLeaving(id);
							   left.insert(id);
							   break;
						   case 3:
							   log.remove(id);
							   readChanges(now);
							   break;
						   case 4:
							   readChanges(now);
							   break;
						   default:
							   directory.expire(now);
							   break;
						   }
						   for (const std::string& usable : usableIds(directory))
						   {
							   RC_ASSERT(left.count(usable) == 0);
						   }
					   }
				   });
}

namespace
{

/// @returns The entry of an instance whose id holds its start.
Endpoint startedEndpoint(const std::string& _name, std::int64_t _startedAt)
{
	return endpoint(_name + "@" + std::to_string(_startedAt));
}

/// A log, and a directory that reads it itself.
struct DirectoryReader
{
	void put(const std::string& _name, std::int64_t _startedAt)
	{
		this->log.put(_name, startedEndpoint(_name, _startedAt), _startedAt);
	}

	/// Reads what was written since the last read.
	std::vector<ProcessProof> read(Micros _asOf)
	{
		this->directory.applyRead(
			this->position == 0 ? this->log.snapshot(_asOf) : this->log.since(this->position, _asOf), _asOf);
		this->position = this->log.end();
		return this->directory.takeProofs();
	}

	ListingLog log;
	EndpointDirectory directory{DirectoryConfig{}};
	std::uint64_t position = 0;
};

constexpr Micros kLateWrite = DirectoryConfig{}.lateWrite;

} // namespace

/// Guards against an entry that counts as evidence for a time before it was certainly written.
Test(directory, renewal_proves_that_its_process_ran_at_the_read_before)
{
	DirectoryReader reader;
	reader.put("a", 5);
	reader.log.put("b", endpoint("b"));
	cr_assert(reader.read(10 * kSecond).empty(), "a snapshot does not tell when its entries were written");
	cr_assert(reader.read(11 * kSecond).empty(), "nothing was written");
	reader.put("a", 5);
	reader.log.put("b", endpoint("b")); // Its id is not used again.
	cr_assert((reader.read(12 * kSecond) == std::vector<ProcessProof>{ProcessProof{"a@5", 11 * kSecond - kLateWrite}}));
	reader.put("a", 6);
	cr_assert((reader.read(13 * kSecond) == std::vector<ProcessProof>{ProcessProof{"a@6", 12 * kSecond - kLateWrite}}));
	for (const Endpoint& listed : reader.directory.endpoints())
	{
		cr_assert(listed.sharedName == (listed.id == "b" ? "" : "a"), "%s", listed.id.c_str());
	}
}

/// Guards against streams of two software versions where processes without a start are used again under their id: from
/// the first change of a version on, entries of that pool are evidence, and calls to it need some.
Test(directory, pool_in_which_the_version_of_an_id_changed_needs_evidence_from_then_on)
{
	DirectoryReader reader;
	Endpoint changing = endpoint("a");
	changing.softwareVersion = "v0";
	Endpoint other = endpoint("b");
	other.pool = "another pool";
	reader.log.put("a", changing);
	reader.log.put("b", other);
	reader.log.put("c", endpoint("c"));
	reader.read(10 * kSecond);
	reader.log.put("a", changing);
	cr_assert(reader.read(11 * kSecond).empty(), "ids are not used again");
	changing.softwareVersion = "v1";
	reader.log.put("a", changing);
	cr_assert((reader.read(12 * kSecond) == std::vector<ProcessProof>{ProcessProof{"a", 11 * kSecond - kLateWrite}}));
	reader.log.put("b", other);
	reader.log.put("c", endpoint("c"));
	cr_assert((reader.read(13 * kSecond) == std::vector<ProcessProof>{ProcessProof{"c", 12 * kSecond - kLateWrite}}));
	for (const Endpoint& listed : reader.directory.endpoints())
	{
		cr_assert(listed.sharedName == (listed.id == "b" ? "" : listed.id), "%s", listed.id.c_str());
		cr_assert(listed.tellsStart == (listed.id == "b"), "%s", listed.id.c_str());
	}
}

/// Guards against a snapshot after the log has started again, whose entries are older than the read before.
Test(directory, snapshot_proves_nothing)
{
	DirectoryReader reader;
	reader.put("a", 5);
	reader.put("a", 5);
	reader.read(10 * kSecond);
	ListingLog restarted;
	restarted.put("a", startedEndpoint("a", 5), 5);
	reader.directory.applyRead(restarted.snapshot(11 * kSecond), 11 * kSecond);
	cr_assert(reader.directory.takeProofs().empty());
}

/// Guards against a read that lacks earlier changes and counts as if later ones were written after it.
Test(directory, truncated_read_proves_nothing_of_the_next_one)
{
	DirectoryReader reader;
	reader.put("a", 5);
	reader.read(10 * kSecond);
	ListingRead truncated{reader.position, false, 11 * kSecond, {}};
	truncated.isTruncated = true;
	reader.directory.applyRead(truncated, 11 * kSecond);
	reader.put("a", 5);
	cr_assert((reader.read(12 * kSecond) == std::vector<ProcessProof>{ProcessProof{"a@5", 10 * kSecond - kLateWrite}}));
}

/// Guards against a late write of an ended process, or the first writes of one whose clock was set back, that prove
/// the other process.
Test(directory, held_back_entry_proves_nothing_until_it_is_adopted)
{
	DirectoryReader reader;
	reader.put("a", 90'000'000'000'000); // Its clock ran far ahead.
	reader.read(10 * kSecond);
	for (Micros now = 11 * kSecond; now < 14 * kSecond; now += kSecond)
	{
		reader.put("a", 5);
		cr_assert(reader.read(now).empty(), "at %lld", static_cast<long long>(now));
	}
	reader.put("a", 5);
	reader.read(14 * kSecond); // It is adopted at the end of this read.
	reader.put("a", 5);
	cr_assert((reader.read(15 * kSecond) == std::vector<ProcessProof>{ProcessProof{"a@5", 14 * kSecond - kLateWrite}}));
}

namespace
{

Endpoint sharedEndpoint(const std::string& _name, std::int64_t _startedAt)
{
	Endpoint result = startedEndpoint(_name, _startedAt);
	result.sharedName = _name;
	return result;
}

} // namespace

/// Guards against evidence on one process that counts for the next one of its name.
Test(process_proofs, evidence_holds_for_one_process)
{
	ProcessProofs proofs;
	proofs.setEndpoints({sharedEndpoint("a", 5), endpoint("b")});
	cr_assert(proofs.isNeeded("a@5"));
	cr_assert_not(proofs.isNeeded("b"));
	cr_assert_not(proofs.isProven("a@5", 1), "there is no evidence");
	proofs.add(ProcessProof{"a@5", 10 * kSecond});
	proofs.add(ProcessProof{"a@5", 9 * kSecond}); // A later one may prove less.
	cr_assert(proofs.isProven("a@5", 10 * kSecond));
	cr_assert_not(proofs.isProven("a@5", 10 * kSecond + 1));
	cr_assert_not(proofs.isProven("a@5", 0), "it is not known when the connection was opened");
	proofs.setEndpoints({sharedEndpoint("a", 6)});
	cr_assert_not(proofs.isProven("a@5", kSecond));
	cr_assert_not(proofs.isProven("a@6", kSecond));
	cr_assert(proofs.findListed("a")->id == "a@6");
	proofs.add(ProcessProof{"a@5", 20 * kSecond});
	cr_assert_not(proofs.isProven("a@6", kSecond));
}

/// Guards against evidence on one process that counts for the next one of its id, if its entry tells no start.
Test(process_proofs, evidence_holds_for_one_version_of_an_id)
{
	ProcessProofs proofs;
	Endpoint first = sharedEndpoint("a", 0);
	first.softwareVersion = "v0";
	first.tellsStart = false;
	Endpoint second = first;
	second.softwareVersion = "v1";
	proofs.setEndpoints({first});
	proofs.add(ProcessProof{first.id, 10 * kSecond});
	const std::uint64_t instance = proofs.instanceOf(first.id);
	proofs.setEndpoints({first});
	cr_assert(proofs.isProven(first.id, 10 * kSecond));
	cr_assert_eq(proofs.instanceOf(first.id), instance);
	proofs.setEndpoints({second});
	cr_assert_not(proofs.isProven(second.id, 10 * kSecond));
	proofs.setEndpoints({first});
	cr_assert_not(proofs.isProven(first.id, 10 * kSecond));
	cr_assert_neq(proofs.instanceOf(first.id), instance, "it is a third process");
	cr_assert_not(proofs.canIdentify(first.id));
}

/// Guards against a listing read through another node that counts as evidence before it can show a new process, or
/// after a gap.
Test(process_proofs, followed_listing_proves_once_it_would_show_a_new_process)
{
	ProcessProofs proofs;
	proofs.setEndpoints({sharedEndpoint("a", 5)});
	for (Micros now = kSecond; now < 8 * kSecond; now += kSecond)
	{
		proofs.setFollowedListing(now);
		cr_assert_eq(proofs.openedBefore("a@5"), 0, "at %lld", static_cast<long long>(now));
	}
	proofs.setFollowedListing(8 * kSecond);
	cr_assert_eq(proofs.openedBefore("a@5"), kSecond);
	proofs.setFollowedListing(30 * kSecond);
	cr_assert_eq(proofs.openedBefore("a@5"), 0, "writes of entries may have failed during the gap");
}

/// Guards against a planned stop that goes by requests of long ago, or forgets those of a moment ago.
Test(route_durations, longest_of_the_last_minutes_is_known)
{
	RouteDurations durations;
	cr_assert_not(durations.longest("r", 0).has_value());
	durations.record("r", 3 * kSecond, 10 * kSecond);
	durations.record("r", kSecond, 20 * kSecond);
	durations.record("other", 9 * kSecond, 20 * kSecond);
	cr_assert_eq(durations.longest("r", 30 * kSecond).value(), 3 * kSecond);
	durations.record("r", kSecond, 80 * kSecond);
	cr_assert_eq(durations.longest("r", 90 * kSecond).value(), 3 * kSecond);
	durations.record("r", 2 * kSecond, 150 * kSecond);
	cr_assert_eq(durations.longest("r", 150 * kSecond).value(), 2 * kSecond);
	cr_assert_not(durations.longest("r", 400 * kSecond).has_value());
}
