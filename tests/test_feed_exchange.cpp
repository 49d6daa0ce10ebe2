/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What nodes know of the platform's topics is recent, and is never replaced by something older.

#include "feed_world.h"
#include "property.h"

namespace
{

using namespace roadferry;

constexpr Micros kMaxChangeDelay = 3 * kSecond; ///< The bound of deployments with so many nodes.
/// The time that a lapsed entry has to come back, and a reading and a tick after it.
constexpr Micros kMaxRemovalDelay = DirectoryConfig{}.relistGrace + FeedWorld::kReadInterval + FeedWorld::kTickInterval;

Endpoint endpoint(const std::string& _id, bool _leaving = false)
{
	return Endpoint{_id, "10.0.0.1:80", "pool", "north", 1, _leaving};
}

bool lists(const FeedExchange& _exchange, const std::string& _id)
{
	const std::vector<Endpoint> all = _exchange.endpoints().endpoints();
	return std::any_of(all.begin(), all.end(), [&](const Endpoint& _endpoint) { return _endpoint.id == _id; });
}

/// Fails when a node lacks a change that was published longer ago than changes may take.
void assertChangesInForce(const FeedWorld& _world, int _change)
{
	for (const FeedWorld::Node& node : _world.nodes)
	{
		cr_assert_geq(node.exchange.routes().version, _world.newestVersionOlderThan(kMaxChangeDelay), "%s, change %d",
					  node.name.c_str(), _change);
	}
}

} // namespace

/// Guards against changes of routes that are late because each version queues whole behind the ones before it.
Test(feed_exchange, frequent_route_changes_over_slow_links_are_in_force_in_time)
{
	FeedWorld world(FeedWorldConfig{80, 500'000, 16'000});
	world.runFor(5 * kSecond);
	for (int change = 0; change < 60; ++change)
	{
		world.publishRoutes();
		world.runFor(300 * kMillisecond);
		assertChangesInForce(world, change);
	}
}

/// Guards against links full of versions that were replaced before they arrived, so that followers must read
/// themselves.
Test(feed_exchange, frequent_route_changes_over_slow_links_cause_few_direct_reads)
{
	constexpr std::size_t kRecordBytes = 16'000;
	constexpr int kChanges = 60;
	FeedWorld world(FeedWorldConfig{80, 700'000, kRecordBytes});
	world.runFor(5 * kSecond);
	const std::size_t begun = world.readsStarted;
	const double sent = world.bytesSent;
	for (int change = 0; change < kChanges; ++change)
	{
		world.publishRoutes();
		world.runFor(300 * kMillisecond);
	}
	// Each node is sent each version at most once, and there is half as much for all else.
	const double most = 1.5 * static_cast<double>(kRecordBytes * kChanges * world.nodes.size());
	cr_assert_leq(world.readsStarted - begun, world.nodes.size() / 10, "%zu readings begun",
				  world.readsStarted - begun);
	cr_assert_leq(world.bytesSent - sent, most, "%.0f bytes sent", world.bytesSent - sent);
}

/// Guards against news that count as fresh although they spent seconds on their way.
Test(feed_exchange, nodes_behind_a_link_of_growing_delay_stay_current)
{
	FeedWorld world(FeedWorldConfig{});
	world.runFor(3 * kSecond);
	for (int change = 0; change < 100; ++change)
	{
		for (const std::string& reader : world.readers())
		{
			Micros& delay = world.node(reader).extraDelay;
			delay = std::min(4 * kSecond, delay + 80 * kMillisecond);
		}
		world.publishRoutes();
		world.runFor(200 * kMillisecond);
		assertChangesInForce(world, change);
	}
}

/// Guards against a node that gets an endpoint back, which it had seen go, from a node that has read less.
Test(feed_exchange, removed_endpoint_is_not_restored_by_a_node_at_an_older_position)
{
	ListingLog log;
	log.put(endpoint("stays"));
	log.put(endpoint("goes"));
	EndpointDirectory behind(DirectoryConfig{});
	behind.applyRead(log.whole(kSecond), kSecond);
	log.remove("goes");
	EndpointDirectory ahead(DirectoryConfig{});
	ahead.applyRead(log.whole(kSecond), kSecond);
	ahead.merge(behind.changesSince(0), kSecond, 2 * kSecond);
	cr_assert_eq(ahead.endpoints().size(), 1, "a listing of position %zu replaced one of position %zu",
				 static_cast<std::size_t>(behind.position()), static_cast<std::size_t>(log.end()));
}

/// Guards against a reading that was under way while news came from a node that has read more: it is no newer log.
Test(feed_exchange, read_overtaken_by_a_peer_response_is_merged)
{
	ListingLog log;
	log.put(endpoint("goes"));
	const ListingRead overtaken = log.whole(kSecond);
	log.remove("goes");
	log.put(endpoint("comes"));
	EndpointDirectory other(DirectoryConfig{});
	other.applyRead(log.whole(2 * kSecond), 2 * kSecond);
	EndpointDirectory directory(DirectoryConfig{});
	directory.merge(other.changesSince(0), 2 * kSecond, 2 * kSecond);
	directory.applyRead(overtaken, 3 * kSecond);
	cr_assert(directory.endpoints() == std::vector<Endpoint>{endpoint("comes")});
	cr_assert_eq(directory.position(), log.end());
}

/// Guards against a directory that takes nothing any more when the platform's log has begun anew.
Test(feed_exchange, restarted_log_replaces_the_held_entries)
{
	ListingLog before;
	before.put(endpoint("first"));
	before.put(endpoint("second"));
	EndpointDirectory directory(DirectoryConfig{});
	directory.applyRead(before.whole(kSecond), kSecond);
	ListingLog anew;
	anew.put(endpoint("third"));
	directory.applyRead(anew.whole(2 * kSecond), 2 * kSecond);
	cr_assert(directory.endpoints() == std::vector<Endpoint>{endpoint("third")});
	cr_assert_eq(directory.position(), anew.end());
}

/// Guards against an older listing in any order of readings and news, between three directories and against the log.
Test(feed_exchange, older_listing_never_replaces_a_newer_one)
{
	checkHistories("directories",
				   []
				   {
					   ListingLog log;
					   std::vector<EndpointDirectory> directories(3, EndpointDirectory(DirectoryConfig{}));
					   std::vector<std::uint64_t> known(3, 0); ///< Position up to which each knows the log.
					   const std::vector<std::string> names = {"e-1", "e-2", "e-3", "e-4"};
					   Micros now = kSecond;
					   const int steps = *rc::gen::inRange(1, 80);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += 10 * kMillisecond; // Too little in all for entries to lapse.
						   const std::string name = *rc::gen::elementOf(names);
						   const std::size_t one = *rc::gen::inRange<std::size_t>(0, 3);
						   const std::size_t other = *rc::gen::inRange<std::size_t>(0, 3);
						   switch (*rc::gen::inRange(0, 6))
						   {
						   case 0:
							   log.remove(name);
							   break;
						   case 5:
							   log.spoil(name);
							   break;
						   case 1:
							   log.put(name, endpoint(name + "/" + std::to_string(log.end())));
							   break;
						   case 2:
							   directories[one].applyRead(log.since(known[one], now), now);
							   known[one] = log.end();
							   break;
						   case 3:
							   directories[one].applyRead(log.whole(now), now);
							   known[one] = log.end();
							   break;
						   default:
							   directories[one].merge(directories[other].changesSince(0), now, now);
							   known[one] = std::max(known[one], known[other]);
							   break;
						   }
						   for (std::size_t index = 0; index < directories.size(); ++index)
						   {
							   std::vector<Endpoint> expected;
							   for (const auto& entry : log.present(known[index]))
							   {
								   expected.push_back(entry.second.endpoint);
							   }
							   RC_ASSERT(directories[index].endpoints() == expected);
						   }
					   }
				   });
}

/// Guards against a node that reads by its turn, is turned away by the platform, and hears from nobody.
Test(feed_exchange, reader_cut_off_from_the_platform_follows_another_node)
{
	FeedWorld world(FeedWorldConfig{});
	world.list(endpoint("goes"));
	world.runFor(3 * kSecond);
	FeedWorld::Node& reader = world.node(world.readers().front());
	cr_assert(lists(reader.exchange, "goes"));
	reader.cutOff = true;
	world.runFor(2 * kSecond);
	world.unlist("goes");
	world.publishRoutes();
	world.runFor(kMaxChangeDelay);
	cr_assert_not(lists(reader.exchange, "goes"));
	cr_assert_eq(reader.exchange.routes().version, world.newestVersionOlderThan(0));
}

/// Guards against entries that are kept for their return though the platform was away for other nodes only.
Test(feed_exchange, nodes_that_can_read_drop_removed_endpoints_at_once_when_their_source_is_cut_off)
{
	FeedWorld world(FeedWorldConfig{});
	world.list(endpoint("goes"));
	world.runFor(3 * kSecond);
	for (const std::string& reader : world.readers())
	{
		world.node(reader).cutOff = true;
	}
	world.runFor(4 * kSecond);
	world.unlist("goes");
	world.runFor(FeedWorld::kReadInterval + 2 * FeedWorld::kTickInterval);
	for (const FeedWorld::Node& node : world.nodes)
	{
		cr_assert(node.cutOff || !lists(node.exchange, "goes"), "%s", node.name.c_str());
	}
}

/// Guards against an endpoint that starts again under its name and stays shut out because its earlier start had left.
Test(feed_exchange, restarted_endpoint_is_usable_after_its_older_instance_left)
{
	ListingLog log;
	EndpointDirectory directory(DirectoryConfig{});
	log.put("e", endpoint("e@100", true), 100);
	directory.applyRead(log.whole(kSecond), kSecond);
	log.put("e", endpoint("e@200"), 200);
	directory.applyRead(log.since(1, 2 * kSecond), 2 * kSecond);
	cr_assert(directory.endpoints() == std::vector<Endpoint>{endpoint("e@200")});
}

/// Guards against an earlier start that comes back by a write that was held up, and against an endpoint whose clock was
/// set back and that is shut out for good.
Test(feed_exchange, older_instance_is_adopted_only_when_the_newer_one_stops_writing)
{
	const DirectoryConfig config;
	ListingLog log;
	EndpointDirectory directory(config);
	log.put("held-up", endpoint("held-up@200"), 200);
	log.put("set-back", endpoint("set-back@200"), 200);
	directory.applyRead(log.whole(kSecond), kSecond);
	log.put("held-up", endpoint("held-up@100"), 100);
	log.put("set-back", endpoint("set-back@100"), 100);
	const Micros read = 2 * kSecond;
	directory.applyRead(log.since(2, read), read);
	cr_assert_eq(directory.endpoints().front(), endpoint("held-up@200"));
	log.put("held-up", endpoint("held-up@200"), 200);
	directory.applyRead(log.since(4, read + kSecond), read + kSecond);
	cr_assert_not(directory.expire(read + config.olderInstanceGrace - 1));
	cr_assert(directory.expire(read + config.olderInstanceGrace));
	cr_assert(directory.endpoints() == (std::vector<Endpoint>{endpoint("held-up@200"), endpoint("set-back@100")}));
}

/// Guards against starts that are mixed up by restarts, leaving, lapses and sources that lag, in two directories of
/// which one also hears from the other, against the log.
Test(feed_exchange, directories_agree_with_the_log_across_restarts)
{
	checkHistories("restarts",
				   []
				   {
					   const DirectoryConfig config;
					   ListingLog log;
					   EndpointDirectory source(config);
					   EndpointDirectory follower(config);
					   std::uint64_t sourcePosition = 0;
					   std::uint64_t followerPosition = 0;
					   const std::vector<std::string> names = {"e-1", "e-2", "e-3"};
					   std::set<std::string> left; ///< Starts that have said so where both could read it.
					   std::int64_t starts = 0;
					   std::map<std::string, std::int64_t> startOf;
					   Micros now = kSecond;
					   const int steps = *rc::gen::inRange(1, 80);
					   for (int step = 0; step < steps; ++step)
					   {
						   now += *rc::gen::inRange<Micros>(0, 500 * kMillisecond);
						   const std::string name = *rc::gen::elementOf(names);
						   const auto entry = [&](bool _leaving)
						   { return endpoint(name + "@" + std::to_string(startOf[name]), _leaving); };
						   switch (*rc::gen::inRange(0, 7))
						   {
						   case 0:
							   startOf[name] = ++starts;
							   log.put(name, entry(false), startOf[name]);
							   break;
						   case 1:
							   log.put(name, entry(true), startOf[name]);
							   left.insert(entry(true).id);
							   break;
						   case 2:
							   log.remove(name);
							   break;
						   case 3:
							   log.spoil(name);
							   break;
						   case 4:
							   source.applyRead(log.since(sourcePosition, now), now);
							   sourcePosition = log.end();
							   break;
						   case 5:
							   follower.applyRead(log.whole(now), now);
							   followerPosition = log.end();
							   break;
						   default:
							   follower.merge(source.changesSince(0), now, now);
							   followerPosition = std::max(followerPosition, sourcePosition);
							   break;
						   }
						   source.expire(now);
						   follower.expire(now);
						   for (const auto& [directory, knows] :
								{std::pair{&source, sourcePosition}, std::pair{&follower, followerPosition}})
						   {
							   const auto present = log.present(knows);
							   for (const Endpoint& held : directory->endpoints())
							   {
								   const auto newest = present.find(held.id.substr(0, held.id.find('@')));
								   RC_ASSERT(newest == present.end() || newest->second.endpoint.id == held.id);
							   }
							   for (const auto& listed : present)
							   {
								   const std::vector<Endpoint> all = directory->endpoints();
								   RC_ASSERT(std::find(all.begin(), all.end(), listed.second.endpoint) != all.end() ||
											 left.count(listed.second.endpoint.id) > 0);
							   }
						   }
					   }
					   // When nothing is in doubt any more, both hold what the log has.
					   now += config.maxListingGap;
					   source.applyRead(log.since(sourcePosition, now), now);
					   now += config.relistGrace;
					   source.expire(now);
					   follower.merge(source.changesSince(0), now, now);
					   follower.expire(now);
					   RC_ASSERT(source.endpoints() == follower.endpoints());
					   RC_ASSERT(source.endpoints().size() == log.present().size());
				   });
}

/// Guards against endpoints that come back, and changes that are late, in a cluster with nodes cut off, silent and
/// slow.
Test(feed_exchange, nodes_stay_current_while_others_fail)
{
	constexpr int kClusterHistories = 20;
	const char* given = std::getenv("ROADFERRY_HISTORIES");
	const std::string histories = given == nullptr ? std::to_string(kClusterHistories) : given;
	setenv("RC_PARAMS", ("seed=20261204 max_success=" + histories).c_str(), 1);
	const auto below = [](Micros _limit)
	{ return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Micros>(0, _limit))); };
	const bool holds = rc::check(
		"cluster",
		[&]
		{
			FeedWorld world(FeedWorldConfig{24, 250'000, 8'000});
			world.log.put(endpoint("stays"));
			world.runFor(3 * kSecond);
			Micros endpoints = 0;
			for (int step = 0; step < 60; ++step)
			{
				FeedWorld::Node& node = world.nodes[static_cast<std::size_t>(below(24))];
				switch (below(9))
				{
				case 0:
					node.cutOff = true;
					break;
				case 1:
					node.isolated = true;
					break;
				case 2:
					node.extraDelay = below(5 * kSecond);
					break;
				case 3:
				case 4:
					node.cutOff = false;
					node.isolated = false;
					node.extraDelay = 0;
					node.faultsClearedAt = world.now;
					break;
				case 5:
					world.publishRoutes();
					break;
				case 6:
					world.log.put(endpoint("e-" + std::to_string(++endpoints)));
					break;
				default: // Names that were never listed do not come later.
					endpoints = std::max<Micros>(1, endpoints);
					world.log.remove("e-" + std::to_string(1 + below(endpoints)));
					break;
				}
				world.runFor(below(600 * kMillisecond));
				for (const FeedWorld::Node& each : world.nodes)
				{
					const bool isFaulty = each.cutOff || each.isolated || each.extraDelay > 0;
					if (!isFaulty && world.now - each.faultsClearedAt > 2 * kMaxChangeDelay)
					{
						RC_ASSERT(each.exchange.routes().version >= world.newestVersionOlderThan(kMaxChangeDelay));
					}
					// Once seen to go, what has waited for its return is not listed again.
					for (const auto& gone : each.observedRemovals)
					{
						const Micros since = std::max(gone.second, each.faultsClearedAt);
						const bool isOverdue = !isFaulty && world.now - since > kMaxRemovalDelay;
						RC_ASSERT(!isOverdue || !lists(each.exchange, gone.first));
					}
					for (const auto& gone : world.removalTimes)
					{
						const Micros since = std::max(gone.second, each.faultsClearedAt + kMaxChangeDelay);
						const bool isOverdue = !isFaulty && world.now - since > kMaxChangeDelay;
						RC_ASSERT(!isOverdue || !lists(each.exchange, gone.first));
					}
				}
			}
		});
	cr_assert(holds);
}

/// Guards against requests that are handled by routes of any age while a node's control does not run (a starved
/// processor, or more messages than it can take).
Test(feed_exchange, node_with_a_stalled_control_thread_does_not_use_old_routes)
{
	FeedWorld world(FeedWorldConfig{});
	world.runFor(5 * kSecond);
	world.nodes[3].controlStoppedUntil = world.now + 8 * kSecond;
	world.node(world.readers().front()).controlStoppedUntil = world.now + 6 * kSecond;
	for (int change = 0; change < 60; ++change)
	{
		world.publishRoutes();
		world.runFor(200 * kMillisecond);
		for (const FeedWorld::Node& node : world.nodes)
		{
			const bool handles = isFeedLeaseValid(node.freshness, world.now, kMaxChangeDelay - 200 * kMillisecond);
			cr_assert(!handles || node.exchange.routes().version >= world.newestVersionOlderThan(kMaxChangeDelay),
					  "%s, change %d", node.name.c_str(), change);
		}
	}
}

/// Guards against a lease that ends although all goes well: nobody would be served.
Test(feed_exchange, nodes_with_current_feeds_handle_requests)
{
	FeedWorld world(FeedWorldConfig{});
	world.runFor(5 * kSecond);
	for (int step = 0; step < 100; ++step)
	{
		world.runFor(50 * kMillisecond);
		for (const FeedWorld::Node& node : world.nodes)
		{
			cr_assert(isFeedLeaseValid(node.freshness, world.now, kMaxChangeDelay - 200 * kMillisecond), "%s",
					  node.name.c_str());
		}
	}
}

/// Guards against nodes that serve nobody while the platform is away: what they know holds then.
Test(feed_exchange, nodes_handle_requests_while_the_platform_is_unavailable)
{
	FeedWorld world(FeedWorldConfig{});
	world.runFor(5 * kSecond);
	for (FeedWorld::Node& node : world.nodes)
	{
		node.cutOff = true;
	}
	world.runFor(4 * kSecond);
	for (int step = 0; step < 100; ++step)
	{
		world.runFor(50 * kMillisecond);
		for (const FeedWorld::Node& node : world.nodes)
		{
			cr_assert(isFeedLeaseValid(node.freshness, world.now, kMaxChangeDelay - 200 * kMillisecond), "%s",
					  node.name.c_str());
		}
	}
}

/// Guards against endpoints that renew their entries all the time, and fill the links and the processors of the nodes
/// that tell others with entries that say nothing new.
Test(feed_exchange, unchanged_renewals_are_not_forwarded)
{
	FeedWorld world(FeedWorldConfig{});
	for (int index = 0; index < 300; ++index)
	{
		world.list(endpoint("endpoint-" + std::to_string(index)));
	}
	world.runFor(5 * kSecond);
	const double quietFrom = world.bytesSent;
	world.runFor(5 * kSecond);
	const double quiet = world.bytesSent - quietFrom;
	const double busyFrom = world.bytesSent;
	for (int round = 0; round < 5; ++round)
	{
		for (int index = 0; index < 300; ++index)
		{
			world.list(endpoint("endpoint-" + std::to_string(index)));
		}
		world.runFor(kSecond);
	}
	cr_assert_leq(world.bytesSent - busyFrom, 1.1 * quiet, "%.0f bytes, and %.0f without renewals",
				  world.bytesSent - busyFrom, quiet);
}

/// Guards against a node that starts and serves by routes that another node gave it, however old they are.
Test(feed_exchange, starting_node_does_not_use_routes_of_unknown_age)
{
	FeedExchange exchange("10.0.1.1:1", FeedRelayConfig{}, DirectoryConfig{}, 1);
	exchange.tick(kSecond);
	exchange.setRoutes(EncodedRoutes{5, "from another node"});
	exchange.mergePeerEndpoints({ListedEndpoint{"endpoint", 1, endpoint("endpoint"), 0}}, {}, kSecond);
	cr_assert(exchange.ready());
	cr_assert(!isFeedLeaseValid(exchange.freshness(kSecond), kSecond, kMaxChangeDelay));
	exchange.onReadFailed(FeedTopic::Routes);
	cr_assert(isFeedLeaseValid(exchange.freshness(kSecond), kSecond, kMaxChangeDelay), "the platform is away");
}
