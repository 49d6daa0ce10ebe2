/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Decides which nodes read the platform's topics, and whom the others ask.

#include <roadferry/parts/feed_relay.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

constexpr std::uint64_t kReadersSeed = 0x66656564; ///< Any number of its own: readers are not the nodes of batches.

std::uint64_t rankOf(const std::string& _node, std::uint64_t _seed)
{
	return XXH3_64bits_withSeed(_node.data(), _node.size(), _seed);
}

void sortByRank(std::vector<std::string>& _nodes, std::uint64_t _seed)
{
	std::sort(_nodes.begin(), _nodes.end(),
			  [_seed](const std::string& _left, const std::string& _right)
			  { return rankOf(_left, _seed) > rankOf(_right, _seed); });
}

} // namespace

std::vector<std::string> feedReadersOf(const std::vector<std::string>& _members, const FeedRelayConfig& _config)
{
	std::vector<std::string> readers = _members;
	if (readers.size() <= _config.eachReadsUpTo)
	{
		return readers;
	}
	// Half of the root: the platform is asked little, and no reader has to tell very many.
	const auto root = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(readers.size())) / 2));
	sortByRank(readers, kReadersSeed);
	readers.resize(std::max(_config.readersLeast, root));
	return readers;
}

FeedRelay::FeedRelay(std::string _self, FeedRelayConfig _config) : self(std::move(_self)), config(_config)
{
	this->readers = {this->self};
}

void FeedRelay::setMembers(const std::vector<std::string>& _members)
{
	this->readers = feedReadersOf(_members, this->config);
}

void FeedRelay::heard(const std::string& _from, const std::optional<Micros>& _knownAt)
{
	if (_from != this->from)
	{
		return; // Of a node that was asked before.
	}
	this->answered = true;
	this->told = _knownAt.has_value();
	if (_knownAt)
	{
		this->knownAt = std::max(this->knownAt.value_or(*_knownAt), *_knownAt);
	}
}

/// Each node has an order of its own among the readers, so that they have about as many nodes to tell.
void FeedRelay::chooseSource(Micros _now)
{
	std::erase_if(this->avoidUntil, [_now](const auto& _entry) { return _entry.second <= _now; });
	std::vector<std::string> candidates = this->readers;
	std::erase_if(candidates, [&](const std::string& _reader)
				  { return _reader == this->self || this->avoidUntil.count(_reader) > 0; });
	sortByRank(candidates, rankOf(this->self, kReadersSeed));
	const std::string chosen = candidates.empty() ? std::string() : candidates.front();
	if (chosen != this->from)
	{
		this->from = chosen;
		this->told = true;
		this->followedAt = _now;
		this->askedAt.reset();
	}
}

FeedRelayStep FeedRelay::tick(Micros _now, bool _lost)
{
	const bool reads = std::find(this->readers.begin(), this->readers.end(), this->self) != this->readers.end();
	if (reads && !_lost)
	{
		this->from.clear();
		this->told = true;
		this->knownAt.reset();
		return FeedRelayStep{true, {}};
	}
	const bool fresh = this->knownAt && _now - *this->knownAt <= this->config.staleAfter;
	if (!fresh && !this->from.empty() && _now - this->followedAt > this->config.staleAfter)
	{
		this->avoidUntil[this->from] = _now + this->config.avoidFor;
	}
	this->chooseSource(_now);
	return FeedRelayStep{reads || !fresh, this->dueAsk(_now)};
}

std::string FeedRelay::dueAsk(Micros _now)
{
	const Micros pause = this->answered ? this->config.askPause : this->config.askAgainAfter;
	if (this->from.empty() || (this->askedAt && _now - *this->askedAt < pause))
	{
		return {};
	}
	this->askedAt = _now;
	this->answered = false;
	return this->from;
}

bool FeedRelay::sourceAway() const
{
	return !this->from.empty() && !this->told;
}

const std::string& FeedRelay::source() const
{
	return this->from;
}

} // namespace roadferry
