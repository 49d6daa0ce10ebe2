/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of StreamSaver.

#include <roadferry/parts/rendezvous.h>
#include <roadferry/parts/stream_saver.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

StreamSaver::StreamSaver(std::string _self, StreamSaverConfig _config)
	: self(std::move(_self)), config(_config), lastSlot(_config.firstSlot % _config.slots)
{
}

void StreamSaver::setOthers(const std::vector<std::string>& _others)
{
	this->others = _others;
}

std::vector<std::string> StreamSaver::savers() const
{
	std::vector<std::string> nodes = this->others;
	nodes.push_back(this->self);
	std::sort(nodes.begin(), nodes.end());
	return nodes.size() <= this->config.savers ? nodes : rendezvousNodes("savers", nodes, this->config.savers);
}

void StreamSaver::add(const StreamRecord& _record)
{
	this->queued.push_back(_record);
	if (this->queued.size() > this->config.maxQueued)
	{
		this->queued.pop_front();
	}
}

/// Takes the records for one save out of the queue, without those that have expired.
std::vector<StreamRecord> StreamSaver::take(Micros _now)
{
	std::vector<StreamRecord> records;
	while (!this->queued.empty() && records.size() < this->config.maxRecords)
	{
		StreamRecord record = std::move(this->queued.front());
		this->queued.pop_front();
		record.expiresAt -= _now;
		if (record.expiresAt > 0)
		{
			records.push_back(std::move(record));
		}
	}
	return records;
}

std::optional<StreamSave> StreamSaver::next(Micros _now)
{
	if (this->queued.empty() || this->isSaving || _now < this->nextSaveAt)
	{
		return std::nullopt;
	}
	std::vector<StreamRecord> records = this->take(_now);
	if (records.empty())
	{
		return std::nullopt;
	}
	this->nextSaveAt = _now + this->config.period;
	const std::vector<std::string> savers = this->savers();
	const auto own = std::find(savers.begin(), savers.end(), this->self);
	if (own == savers.end())
	{
		return PassOnStreamRecords{rendezvousNodes(this->self, savers, 1).front(), std::move(records)};
	}
	this->isSaving = true;
	this->lastSlot = (this->lastSlot + 1) % this->config.slots;
	const auto rank = static_cast<std::size_t>(own - savers.begin());
	return SaveStreamRecords{rank, this->lastSlot, std::move(records)};
}

void StreamSaver::onSaved(const SaveStreamRecords& _save, bool _succeeded, Micros _now)
{
	this->isSaving = false;
	if (_succeeded)
	{
		return;
	}
	for (StreamRecord record : _save.records)
	{
		record.expiresAt += _now;
		this->add(record);
	}
}

} // namespace roadferry
