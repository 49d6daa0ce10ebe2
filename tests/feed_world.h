/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Simulated nodes that receive the platform's topics from its log and from each other, in virtual time, over links of
/// limited bandwidth and variable delay.

#ifndef ROADFERRY_FEED_WORLD_H_HEADER_GUARD
#define ROADFERRY_FEED_WORLD_H_HEADER_GUARD

#include "listing_log.h"

#include <deque>

namespace roadferry
{

/// Configuration of a FeedWorld.
struct FeedWorldConfig
{
	int nodes = 30;
	double linkBytesPerSecond = 1e9; ///< Outgoing bandwidth of each node.
	std::size_t recordBytes = 1'000; ///< Size of one version of the routes.
};

/// The nodes, their links and the platform's log.
class FeedWorld
{
public:
	static constexpr Micros kStep = 10 * kMillisecond;
	static constexpr Micros kTickInterval = 200 * kMillisecond;
	static constexpr Micros kReadInterval = 600 * kMillisecond;
	static constexpr Micros kLinkLatency = 2 * kMillisecond;
	static constexpr Micros kReadTimeout = 1'500 * kMillisecond; ///< Of a read, after the end of its wait.
	static constexpr std::size_t kEntryBytes = 110;
	static constexpr std::size_t kMessageBytes = 100;

	/// One node with the state of its reads and its outgoing link.
	struct Node
	{
		std::string name;
		FeedExchange exchange;
		bool reading = false;
		Micros routesReadStartedAt = 0;
		Micros nextListingRead = 0;
		std::optional<std::uint64_t> position = {};
		Micros nextTickAt = 0;
		Micros linkFreeAt = 0;
		Micros extraDelay = 0;                               ///< Added to the latency of its outgoing messages.
		bool cutOff = false;                                 ///< Cannot reach the platform.
		bool isolated = false;                               ///< Can neither send nor receive.
		Micros controlStoppedUntil = 0;                      ///< Until then its control thread does not run.
		FeedFreshness freshness = {};                        ///< As handed to its request handling.
		Micros faultsClearedAt = 0;                          ///< When its last fault was cleared.
		std::map<std::string, Micros> observedRemovals = {}; ///< When it read the removal of each name itself.
	};

	explicit FeedWorld(const FeedWorldConfig& _config) : config(_config)
	{
		for (int index = 0; index < _config.nodes; ++index)
		{
			const std::string name = "10.0.1." + std::to_string(index) + ":1";
			this->names.push_back(name);
			this->nodes.push_back(Node{
				name, FeedExchange(name, FeedRelayConfig{}, DirectoryConfig{}, 100U + static_cast<unsigned>(index))});
			this->nodes.back().nextTickAt = this->now + index * kTickInterval / _config.nodes;
		}
		for (Node& node : this->nodes)
		{
			node.exchange.setMembers(this->names);
		}
		this->publishRoutes();
	}

	void list(const Endpoint& _endpoint)
	{
		this->log.put(_endpoint);
	}

	void unlist(const std::string& _name)
	{
		this->log.remove(_name);
		this->removalTimes.emplace(_name, this->now);
	}

	void publishRoutes()
	{
		this->version += 1;
		this->publishTimes[this->version] = this->now;
	}

	/// @returns Newest version that was published at least _age ago.
	[[nodiscard]] std::uint64_t newestVersionOlderThan(Micros _age) const
	{
		std::uint64_t newest = 0;
		for (const auto& entry : this->publishTimes)
		{
			newest = entry.second <= this->now - _age ? entry.first : newest;
		}
		return newest;
	}

	[[nodiscard]] std::vector<std::string> readers() const
	{
		return selectFeedReaders(this->names, FeedRelayConfig{});
	}

	Node& node(const std::string& _name)
	{
		return this->nodes[static_cast<std::size_t>(std::find(this->names.begin(), this->names.end(), _name) -
													this->names.begin())];
	}

	void runFor(Micros _time)
	{
		for (const Micros end = this->now + _time; this->now < end;)
		{
			this->step();
		}
	}

	void step()
	{
		this->now += kStep;
		while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now)
		{
			const InFlightMessage message = std::move(this->inFlight.begin()->second);
			this->inFlight.erase(this->inFlight.begin());
			this->deliver(message);
		}
		for (Node& each : this->nodes)
		{
			if (each.isolated || this->now < each.controlStoppedUntil)
			{
				continue;
			}
			this->readTopics(each);
			if (this->now >= each.nextTickAt)
			{
				each.nextTickAt = this->now + kTickInterval;
				this->perform(each, each.exchange.tick(this->now));
			}
			each.freshness = each.exchange.freshness(this->now);
		}
	}

	FeedWorldConfig config;
	std::vector<std::string> names;
	std::vector<Node> nodes;
	ListingLog log;
	Micros now = 10 * kSecond;
	std::map<std::string, Micros> removalTimes; ///< When each name was removed.
	std::size_t readsStarted = 0;               ///< Count of StartReading actions of all nodes.
	double bytesSent = 0;                       ///< Sum over all nodes.

private:
	/// A message that was sent and not delivered yet.
	struct InFlightMessage
	{
		std::string from;
		std::string to;
		std::variant<FeedRequest, FeedResponse> message;
	};

	std::string recordOf(std::uint64_t _version) const
	{
		std::string record = std::to_string(_version);
		record.resize(std::max(record.size(), this->config.recordBytes), ' ');
		return record;
	}

	static std::size_t bytesOf(const FeedResponse& _response)
	{
		return kMessageBytes + _response.record.size() +
			   kEntryBytes * (_response.endpoints.listed.size() + _response.endpoints.unlisted.size());
	}

	static std::size_t bytesOf(const FeedRequest&)
	{
		return kMessageBytes;
	}

	template<class Message>
	void send(Node& _node, const std::string& _to, const Message& _message)
	{
		this->bytesSent += static_cast<double>(bytesOf(_message));
		const double seconds = static_cast<double>(bytesOf(_message)) / this->config.linkBytesPerSecond;
		_node.linkFreeAt =
			std::max(_node.linkFreeAt, this->now) + static_cast<Micros>(seconds * static_cast<double>(kSecond));
		this->inFlight.emplace(_node.linkFreeAt + kLinkLatency + _node.extraDelay,
							   InFlightMessage{_node.name, _to, _message});
	}

	void deliver(const InFlightMessage& _inFlight)
	{
		Node& to = this->node(_inFlight.to);
		if (to.isolated || this->node(_inFlight.from).isolated)
		{
			return;
		}
		if (this->now < to.controlStoppedUntil)
		{
			this->inFlight.emplace(to.controlStoppedUntil, _inFlight);
			return;
		}
		if (const auto* request = std::get_if<FeedRequest>(&_inFlight.message))
		{
			this->perform(to, to.exchange.onFeedRequest(_inFlight.from, *request, this->now));
			return;
		}
		this->perform(to,
					  to.exchange.onFeedResponse(_inFlight.from, std::get<FeedResponse>(_inFlight.message), this->now));
	}

	void setRoutes(Node& _node, std::uint64_t _version)
	{
		if (_version > _node.exchange.routes().version)
		{
			this->perform(_node, _node.exchange.setRoutes(EncodedRoutes{_version, this->recordOf(_version)}));
		}
	}

	void perform(Node& _node, const FeedActions& _actions)
	{
		for (const FeedAction& action : _actions)
		{
			std::visit(
				Overloaded{[&](const StartReading&)
						   {
							   _node.reading = true;
							   this->readsStarted += 1;
							   _node.position.reset();
							   _node.routesReadStartedAt = this->now;
							   _node.nextListingRead = this->now;
						   },
						   [&](const StopReading&) { _node.reading = false; },
						   [&](const SendFeedRequest& _request) { this->send(_node, _request.to, _request.message); },
						   [&](const SendFeedResponse& _response)
						   { this->send(_node, _response.to, _response.message); },
						   [&](const DecodeRoutes& _routes) { this->setRoutes(_node, std::stoull(_routes.record)); },
						   [&](const RequestNext&) { this->perform(_node, _node.exchange.requestNext(this->now)); },
						   [](const EndpointsChanged&) {}},
				action);
		}
	}

	/// Simulates reads, which take no time while the platform is reachable, and time out while it is not.
	void readTopics(Node& _node)
	{
		if (!_node.reading)
		{
			return;
		}
		if (_node.cutOff)
		{
			if (this->now - _node.routesReadStartedAt >= _node.exchange.routesPollWait() + kReadTimeout)
			{
				_node.routesReadStartedAt = this->now;
				_node.exchange.onReadFailed(FeedTopic::Routes);
			}
			if (this->now - _node.nextListingRead >= kReadTimeout)
			{
				_node.nextListingRead = this->now;
				_node.exchange.onReadFailed(FeedTopic::Endpoints);
			}
			return;
		}
		const bool newer = this->version > _node.exchange.routes().version;
		if (newer || this->now - _node.routesReadStartedAt >= _node.exchange.routesPollWait())
		{
			this->setRoutes(_node, this->version);
			_node.exchange.onRoutesRead(_node.routesReadStartedAt);
			_node.routesReadStartedAt = this->now;
		}
		if (this->now >= _node.nextListingRead)
		{
			this->readListing(_node);
		}
	}

	void readListing(Node& _node)
	{
		const ListingRead read =
			_node.position ? this->log.since(*_node.position, this->now) : this->log.snapshot(this->now);
		for (const ListingChange& change : read.changes)
		{
			if (const auto* removal = std::get_if<UnlistedEndpoint>(&change))
			{
				_node.observedRemovals.emplace(removal->name, this->now);
			}
		}
		_node.position = this->log.end();
		_node.nextListingRead = this->now + kReadInterval;
		this->perform(_node, _node.exchange.onEndpointsRead(read, this->now));
	}

	std::multimap<Micros, InFlightMessage> inFlight; ///< Keyed by time of arrival.
	std::map<std::uint64_t, Micros> publishTimes;
	std::uint64_t version = 0;
};

} // namespace roadferry

#endif // ROADFERRY_FEED_WORLD_H_HEADER_GUARD
