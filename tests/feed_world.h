/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Nodes that learn of the platform's topics from its log and from each other, in virtual time, over links that carry
/// so many bytes a second and may be slow.

#ifndef ROADFERRY_FEED_WORLD_H_HEADER_GUARD
#define ROADFERRY_FEED_WORLD_H_HEADER_GUARD

#include "listing_log.h"

#include <deque>

namespace roadferry
{

/// What FeedWorld is made of.
struct FeedWorldConfig
{
	int nodes = 30;
	double linkBytesPerSecond = 1e9; ///< Of each node, outwards.
	std::size_t recordBytes = 1'000; ///< Of one version of the routes.
};

/// The nodes, their links and the platform's log.
class FeedWorld
{
public:
	static constexpr Micros kStep = 10 * kMillisecond;
	static constexpr Micros kTick = 200 * kMillisecond;
	static constexpr Micros kReadEvery = 600 * kMillisecond;
	static constexpr Micros kLinkTime = 2 * kMillisecond;
	static constexpr Micros kTimeOut = 1'500 * kMillisecond; ///< Of a reading, beyond the time it waits.
	static constexpr std::size_t kBytesOfEntry = 110;
	static constexpr std::size_t kBytesOfMessage = 100;

	/// One node with its readings and its outward link.
	struct Node
	{
		std::string name;
		FeedExchange exchange;
		bool reading = false;
		Micros routesBegunAt = 0;
		Micros nextListing = 0;
		std::optional<std::uint64_t> position = {};
		Micros nextTick = 0;
		Micros linkFreeAt = 0;
		Micros extraDelay = 0;                       ///< Of everything that it sends to other nodes.
		bool cutOff = false;                         ///< From the platform.
		bool silent = false;                         ///< Nothing gets in or out.
		Micros stoppedUntil = 0;                     ///< Until then its control does not run; its traffic does.
		FeedKnowledge knowledge = {};                ///< As its traffic has it.
		Micros troubledUntil = 0;                    ///< When its last trouble ended.
		std::map<std::string, Micros> seenGone = {}; ///< Names whose end it has read itself, and when.
	};

	explicit FeedWorld(const FeedWorldConfig& _config) : config(_config)
	{
		for (int index = 0; index < _config.nodes; ++index)
		{
			const std::string name = "10.0.1." + std::to_string(index) + ":1";
			this->names.push_back(name);
			this->nodes.push_back(Node{
				name, FeedExchange(name, FeedRelayConfig{}, DirectoryConfig{}, 100U + static_cast<unsigned>(index))});
			this->nodes.back().nextTick = this->now + index * kTick / _config.nodes;
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
		this->removedAt.emplace(_name, this->now);
	}

	void publishRoutes()
	{
		this->version += 1;
		this->publishedAt[this->version] = this->now;
	}

	/// @returns Newest version that was published at least so long ago.
	[[nodiscard]] std::uint64_t versionBefore(Micros _age) const
	{
		std::uint64_t newest = 0;
		for (const auto& entry : this->publishedAt)
		{
			newest = entry.second <= this->now - _age ? entry.first : newest;
		}
		return newest;
	}

	[[nodiscard]] std::vector<std::string> readers() const
	{
		return feedReadersOf(this->names, FeedRelayConfig{});
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
		while (!this->flying.empty() && this->flying.begin()->first <= this->now)
		{
			const Flight flight = std::move(this->flying.begin()->second);
			this->flying.erase(this->flying.begin());
			this->deliver(flight);
		}
		for (Node& each : this->nodes)
		{
			if (each.silent || this->now < each.stoppedUntil)
			{
				continue;
			}
			this->readTopics(each);
			if (this->now >= each.nextTick)
			{
				each.nextTick = this->now + kTick;
				this->perform(each, each.exchange.tick(this->now));
			}
			each.knowledge = each.exchange.knowledge(this->now);
		}
	}

	FeedWorldConfig config;
	std::vector<std::string> names;
	std::vector<Node> nodes;
	ListingLog log;
	Micros now = 10 * kSecond;
	std::map<std::string, Micros> removedAt; ///< Names that went, and when.
	std::size_t readingsBegun = 0;           ///< By all nodes so far.
	double bytesSent = 0;                    ///< By all nodes so far.

private:
	/// A message on its way.
	struct Flight
	{
		std::string from;
		std::string to;
		std::variant<FeedAsk, FeedNews> message;
	};

	std::string recordOf(std::uint64_t _version) const
	{
		std::string record = std::to_string(_version);
		record.resize(std::max(record.size(), this->config.recordBytes), ' ');
		return record;
	}

	static std::size_t bytesOf(const FeedNews& _news)
	{
		return kBytesOfMessage + _news.record.size() +
			   kBytesOfEntry * (_news.endpoints.listed.size() + _news.endpoints.unlisted.size());
	}

	static std::size_t bytesOf(const FeedAsk&)
	{
		return kBytesOfMessage;
	}

	template<class Message>
	void send(Node& _node, const std::string& _to, const Message& _message)
	{
		this->bytesSent += static_cast<double>(bytesOf(_message));
		const double seconds = static_cast<double>(bytesOf(_message)) / this->config.linkBytesPerSecond;
		_node.linkFreeAt =
			std::max(_node.linkFreeAt, this->now) + static_cast<Micros>(seconds * static_cast<double>(kSecond));
		this->flying.emplace(_node.linkFreeAt + kLinkTime + _node.extraDelay, Flight{_node.name, _to, _message});
	}

	void deliver(const Flight& _flight)
	{
		Node& to = this->node(_flight.to);
		if (to.silent || this->node(_flight.from).silent)
		{
			return;
		}
		if (this->now < to.stoppedUntil)
		{
			this->flying.emplace(to.stoppedUntil, _flight);
			return;
		}
		if (const auto* ask = std::get_if<FeedAsk>(&_flight.message))
		{
			this->perform(to, to.exchange.onAsk(_flight.from, *ask, this->now));
			return;
		}
		this->perform(to, to.exchange.onNews(_flight.from, std::get<FeedNews>(_flight.message), this->now));
	}

	void holdRoutes(Node& _node, std::uint64_t _version)
	{
		if (_version > _node.exchange.routes().version)
		{
			this->perform(_node, _node.exchange.holdRoutes(HeldRoutes{_version, this->recordOf(_version)}));
		}
	}

	void perform(Node& _node, const FeedActions& _actions)
	{
		for (const FeedAction& action : _actions)
		{
			std::visit(Overloaded{[&](const StartReading&)
								  {
									  _node.reading = true;
									  this->readingsBegun += 1;
									  _node.position.reset();
									  _node.routesBegunAt = this->now;
									  _node.nextListing = this->now;
								  },
								  [&](const StopReading&) { _node.reading = false; },
								  [&](const SendFeedAsk& _ask) { this->send(_node, _ask.to, _ask.message); },
								  [&](const SendFeedNews& _news) { this->send(_node, _news.to, _news.message); },
								  [&](const DecodeRoutes& _routes)
								  { this->holdRoutes(_node, std::stoull(_routes.record)); },
								  [&](const AskNext&) { this->perform(_node, _node.exchange.ask(this->now)); },
								  [](const EndpointsChanged&) {}},
					   action);
		}
	}

	/// Readings take no time while the platform answers, and a time-out while it does not.
	void readTopics(Node& _node)
	{
		if (!_node.reading)
		{
			return;
		}
		if (_node.cutOff)
		{
			if (this->now - _node.routesBegunAt >= _node.exchange.routesWait() + kTimeOut)
			{
				_node.routesBegunAt = this->now;
				_node.exchange.readingFailed(FeedTopic::Routes);
			}
			if (this->now - _node.nextListing >= kTimeOut)
			{
				_node.nextListing = this->now;
				_node.exchange.readingFailed(FeedTopic::Endpoints);
			}
			return;
		}
		const bool newer = this->version > _node.exchange.routes().version;
		if (newer || this->now - _node.routesBegunAt >= _node.exchange.routesWait())
		{
			this->holdRoutes(_node, this->version);
			_node.exchange.routesRead(_node.routesBegunAt);
			_node.routesBegunAt = this->now;
		}
		if (this->now >= _node.nextListing)
		{
			this->readListing(_node);
		}
	}

	void readListing(Node& _node)
	{
		const ListingRead read =
			_node.position ? this->log.since(*_node.position, this->now) : this->log.whole(this->now);
		for (const ListingChange& change : read.changes)
		{
			if (const auto* gone = std::get_if<UnlistedEndpoint>(&change))
			{
				_node.seenGone.emplace(gone->name, this->now);
			}
		}
		_node.position = this->log.end();
		_node.nextListing = this->now + kReadEvery;
		this->perform(_node, _node.exchange.endpointsRead(read, this->now));
	}

	std::multimap<Micros, Flight> flying; ///< By time of arrival.
	std::map<std::uint64_t, Micros> publishedAt;
	std::uint64_t version = 0;
};

} // namespace roadferry

#endif // ROADFERRY_FEED_WORLD_H_HEADER_GUARD
