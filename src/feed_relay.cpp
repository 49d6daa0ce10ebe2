/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Selection of the nodes that read the platform's topics, and of the source of every other node.

#include <roadferry/parts/feed_relay.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

/// Differs from the seed that ranks the batching nodes of pools, so that the readers are other nodes.
constexpr std::uint64_t kReadersSeed = 0x66656564;

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

std::vector<std::string> selectFeedReaders(const std::vector<std::string>& _members, const FeedRelayConfig& _config)
{
	std::vector<std::string> readers = _members;
	if (readers.size() <= _config.maxNodesAllReading)
	{
		return readers;
	}
	// Half the square root keeps both the load on the platform and the number of followers per reader low.
	const auto root = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(readers.size())) / 2));
	sortByRank(readers, kReadersSeed);
	readers.resize(std::max(_config.minReaders, root));
	return readers;
}

FeedRelay::FeedRelay(std::string _self, FeedRelayConfig _config) : self(std::move(_self)), config(_config)
{
	this->readers = {this->self};
}

void FeedRelay::setMembers(const std::vector<std::string>& _members)
{
	this->readers = selectFeedReaders(_members, this->config);
}

void FeedRelay::onResponse(const std::string& _from, const std::optional<Micros>& _asOf)
{
	if (_from != this->currentSource)
	{
		return; // A response of a previous source.
	}
	this->answered = true;
	this->sourceCanRead = _asOf.has_value();
	if (_asOf)
	{
		this->asOf = std::max(this->asOf.value_or(*_asOf), *_asOf);
	}
}

/// Each node ranks the readers in its own pseudo-random order, so that they have about equally many followers.
void FeedRelay::chooseSource(Micros _now)
{
	std::erase_if(this->avoidUntil, [_now](const auto& _entry) { return _entry.second <= _now; });
	std::vector<std::string> candidates = this->readers;
	std::erase_if(candidates, [&](const std::string& _reader)
				  { return _reader == this->self || this->avoidUntil.count(_reader) > 0; });
	sortByRank(candidates, rankOf(this->self, kReadersSeed));
	const std::string chosen = candidates.empty() ? std::string() : candidates.front();
	if (chosen != this->currentSource)
	{
		this->currentSource = chosen;
		this->sourceCanRead = true;
		this->sourceChosenAt = _now;
		this->requestedAt.reset();
	}
}

FeedRelayStep FeedRelay::tick(Micros _now, bool _cannotRead)
{
	const bool isReader = std::find(this->readers.begin(), this->readers.end(), this->self) != this->readers.end();
	if (isReader && !_cannotRead)
	{
		this->currentSource.clear();
		this->sourceCanRead = true;
		this->asOf.reset();
		return FeedRelayStep{true, {}};
	}
	const bool fresh = this->asOf && _now - *this->asOf <= this->config.staleAfter;
	if (!fresh && !this->currentSource.empty() && _now - this->sourceChosenAt > this->config.staleAfter)
	{
		this->avoidUntil[this->currentSource] = _now + this->config.avoidFor;
	}
	this->chooseSource(_now);
	return FeedRelayStep{isReader || !fresh, this->startDueRequest(_now)};
}

std::string FeedRelay::startDueRequest(Micros _now)
{
	const Micros minDelay = this->answered ? this->config.minRequestInterval : this->config.responseTimeout;
	if (this->currentSource.empty() || (this->requestedAt && _now - *this->requestedAt < minDelay))
	{
		return {};
	}
	this->requestedAt = _now;
	this->answered = false;
	return this->currentSource;
}

bool FeedRelay::sourceUnavailable() const
{
	return !this->currentSource.empty() && !this->sourceCanRead;
}

const std::string& FeedRelay::source() const
{
	return this->currentSource;
}

} // namespace roadferry
