/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of StreamEnds.

#include "stream_ends.h"

#include <algorithm>

namespace roadferry
{

namespace
{

/// @returns Whether one end of a stream is known by more than the other.
bool tellsMore(const AgreeingRuns& _one, const AgreeingRuns& _other)
{
	return std::pair(_one.lastEvent, _one.runs) > std::pair(_other.lastEvent, _other.runs);
}

} // namespace

StreamEnds::StreamEnds(std::size_t _maxStreams) : maxStreams(_maxStreams)
{
}

void StreamEnds::add(const StreamEndNotice& _notice, Micros _now)
{
	const auto [found, isNew] = this->entries.try_emplace(_notice.stream);
	Entry& entry = found->second;
	if (!isNew)
	{
		this->expiries.erase({entry.expiresAt, _notice.stream});
	}
	entry.end = tellsMore(_notice.end, entry.end) ? _notice.end : entry.end;
	entry.expiresAt = std::max(entry.expiresAt, _now + _notice.life);
	this->expiries.emplace(entry.expiresAt, _notice.stream);
	while (this->entries.size() > this->maxStreams)
	{
		this->entries.erase(this->expiries.begin()->second);
		this->expiries.erase(this->expiries.begin());
	}
}

std::optional<AgreeingRuns> StreamEnds::find(const std::string& _stream, Micros _now) const
{
	const auto found = this->entries.find(_stream);
	const bool isKnown = found != this->entries.end() && found->second.expiresAt > _now;
	return isKnown ? std::optional(found->second.end) : std::nullopt;
}

std::optional<StreamEndNotice> StreamEnds::answer(const StreamEndQuery& _query, Micros _now) const
{
	const std::optional<AgreeingRuns> end = this->find(_query.stream, _now);
	if (!end)
	{
		return std::nullopt;
	}
	return StreamEndNotice{_query.stream, *end, this->entries.at(_query.stream).expiresAt - _now};
}

void StreamEnds::expire(Micros _now)
{
	while (!this->expiries.empty() && this->expiries.begin()->first <= _now)
	{
		this->entries.erase(this->expiries.begin()->second);
		this->expiries.erase(this->expiries.begin());
	}
}

std::size_t StreamEnds::size() const
{
	return this->entries.size();
}

} // namespace roadferry
