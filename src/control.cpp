/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the control state.

#include "control.h"

#include "logging.h"
#include "table_json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace roadferry
{

namespace
{

constexpr int kLogPeriodMs = 200;
constexpr int kVmPeriodMs = 500;
constexpr int kLoadPeriodMs = 1'000;
constexpr Micros kEditTimeout = 8 * kSecond;

} // namespace

Control::Control(Platform& _platform, Traffic& _traffic, ClusterView& _view, std::string _self,
				 std::size_t _endpointsPerPool, std::function<void(const std::string&, const PeerMessage&)> _send)
	: platform(_platform), traffic(_traffic), view(_view), self(std::move(_self)), endpointsPerPool(_endpointsPerPool),
	  send(std::move(_send))
{
	QObject::connect(&this->logTimer, &QTimer::timeout, [this] { this->readLog(); });
	QObject::connect(&this->vmTimer, &QTimer::timeout, [this] { this->readVmList(); });
	QObject::connect(&this->loadTimer, &QTimer::timeout, [this] { this->readLoads(); });
}

void Control::start()
{
	this->logTimer.start(kLogPeriodMs);
	this->vmTimer.start(kVmPeriodMs);
	this->loadTimer.start(kLoadPeriodMs);
	this->readVmList();
	this->readLog();
}

void Control::readLog()
{
	this->settleEdits();
	if (this->readingLog)
	{
		return;
	}
	this->readingLog = true;
	this->platform.readLog(this->fold.nextOffset(),
						   [this](const absl::StatusOr<LogPage>& _page)
						   {
							   this->readingLog = false;
							   this->onLogPage(_page);
						   });
}

void Control::onLogPage(const absl::StatusOr<LogPage>& _page)
{
	if (!_page.ok())
	{
		this->onLogUnavailable();
		return;
	}
	if (this->fold.take(_page->first, _page->entries))
	{
		this->publishTable();
	}
	this->settleEdits();
	if (this->fold.nextOffset() < _page->next)
	{
		this->readLog();
		return;
	}
	if (this->fold.hasGap())
	{
		this->onLogUnavailable();
		return;
	}
	this->logCaughtUp = true;
	this->considerSnapshot();
}

void Control::onLogUnavailable()
{
	if (this->peerList.empty())
	{
		return;
	}
	// One peer at a time, each in its turn.
	const std::string& peer = this->peerList[this->askTurn++ % this->peerList.size()];
	this->send(peer, TableAsk{this->fold.table().snapshot().offset});
}

void Control::onTableAsk(const std::string& _peer, const TableAsk& _ask)
{
	const TableSnapshot& snapshot = this->fold.table().snapshot();
	if (snapshot.offset >= _ask.offset && snapshot.offset > 0)
	{
		this->send(_peer, TableGive{toText(toJson(snapshot))});
	}
}

void Control::onTableGive(const TableGive& _give)
{
	const auto object = parseObject(_give.snapshot);
	const auto snapshot = object.ok() ? snapshotFromJson(*object) : object.status();
	if (!snapshot.ok())
	{
		logWarning("control", absl::StrCat("table of a peer: ", std::string(snapshot.status().message())));
		return;
	}
	this->logCaughtUp = true;
	if (this->fold.takeSnapshot(*snapshot))
	{
		this->publishTable();
	}
}

void Control::publishTable()
{
	this->traffic.setTable(std::make_shared<const Table>(this->fold.table()));
	this->view.setTable(this->fold.table());
	logInfo("control", absl::StrCat("table in force at offset ", this->fold.table().snapshot().offset));
}

std::size_t Control::rank() const
{
	const std::vector<std::string> alive = this->view.members().alive();
	return static_cast<std::size_t>(std::lower_bound(alive.begin(), alive.end(), this->self) - alive.begin());
}

void Control::considerSnapshot()
{
	if (this->fold.sinceSnapshot() < kSnapshotEvery)
	{
		this->snapshotSince = 0;
		return;
	}
	if (this->snapshotSince == 0)
	{
		this->snapshotSince = monotonicNow();
	}
	if (!snapshotDue(this->fold.sinceSnapshot(), this->rank(), monotonicNow() - this->snapshotSince))
	{
		return;
	}
	this->snapshotSince = monotonicNow();
	logInfo("control", absl::StrCat("appending a snapshot of offset ", this->fold.table().snapshot().offset));
	this->platform.append(recordToText(this->fold.table().snapshot()), [](const absl::Status&) {});
}

void Control::edit(const TableEdit& _edit, const EditAnswer& _answer)
{
	if (const auto settled = this->fold.outcomeOf(_edit.id))
	{
		_answer(*settled);
		return;
	}
	// What is refused by the rows as they stand needs no record.
	const EditOutcome foreseen = this->fold.table().check(_edit);
	if (!std::holds_alternative<EditAccepted>(foreseen))
	{
		_answer(foreseen);
		return;
	}
	this->waitingEdits.push_back(WaitingEdit{_edit, _answer, monotonicNow() + kEditTimeout});
	this->append(_edit);
}

void Control::append(const TableEdit& _edit)
{
	this->platform.append(recordToText(_edit),
						  [this, id = _edit.id](const absl::Status& _status)
						  {
							  if (_status.ok())
							  {
								  this->readLog();
								  return;
							  }
							  // The record may be there all the same. It is looked for, and not appended again: a
							  // second copy could only lose to the first.
							  logWarning("control", absl::StrCat("append of edit ", id,
																 " not answered: ", std::string(_status.message())));
						  });
}

void Control::settleEdits()
{
	std::vector<WaitingEdit> left;
	std::vector<std::pair<EditAnswer, std::optional<EditOutcome>>> settled;
	for (WaitingEdit& waiting : this->waitingEdits)
	{
		const auto outcome = this->fold.outcomeOf(waiting.edit.id);
		if (outcome || monotonicNow() >= waiting.giveUpAt)
		{
			settled.emplace_back(waiting.answer, outcome);
			continue;
		}
		left.push_back(std::move(waiting));
	}
	this->waitingEdits = std::move(left);
	for (const auto& entry : settled)
	{
		entry.first(entry.second);
	}
}

void Control::readVmList()
{
	this->platform.readVmList([this](const absl::StatusOr<VmList>& _list) { this->onVmList(_list); });
}

void Control::onVmList(const absl::StatusOr<VmList>& _list)
{
	if (!_list.ok())
	{
		return;
	}
	this->vmListRead = true;
	this->peerList.clear();
	std::copy_if(_list->peers.begin(), _list->peers.end(), std::back_inserter(this->peerList),
				 [this](const std::string& _peer) { return _peer != this->self; });
	std::vector<std::string> nodes = this->peerList;
	nodes.push_back(this->self);
	this->view.setListedNodes(nodes);
	for (const Endpoint& endpoint : _list->endpoints)
	{
		if (endpoint.leaving)
		{
			this->learnLeaving(endpoint.id, true);
		}
	}
	std::vector<Endpoint> used = selectSubset(this->self, _list->endpoints, this->endpointsPerPool);
	if (used != this->endpointList)
	{
		this->endpointList = std::move(used);
		this->traffic.setEndpoints(this->endpointList);
	}
}

void Control::readLoads()
{
	for (const Endpoint& endpoint : this->endpointList)
	{
		this->platform.readLoad(endpoint.address, [this, id = endpoint.id](const absl::StatusOr<LoadReport>& _report)
								{ this->onLoad(id, _report); });
	}
}

void Control::onLoad(const std::string& _endpoint, const absl::StatusOr<LoadReport>& _report)
{
	if (!_report.ok())
	{
		return;
	}
	this->traffic.reportLoad(_endpoint, *_report);
	if (_report->leaving)
	{
		this->learnLeaving(_endpoint, true);
	}
}

void Control::learnLeaving(const std::string& _endpoint, bool _tell)
{
	if (!this->leaving.insert(_endpoint).second)
	{
		return;
	}
	this->traffic.markLeaving(_endpoint);
	logInfo("control", absl::StrCat("endpoint ", _endpoint, " is leaving"));
	if (!_tell)
	{
		return;
	}
	for (const std::string& peer : this->peerList)
	{
		this->send(peer, LeavingWord{{_endpoint}});
	}
}

void Control::onLeavingWord(const LeavingWord& _word)
{
	for (const std::string& endpoint : _word.endpoints)
	{
		this->learnLeaving(endpoint, false);
	}
}

const LogFold& Control::log() const
{
	return this->fold;
}

const std::vector<std::string>& Control::peers() const
{
	return this->peerList;
}

bool Control::ready() const
{
	return this->logCaughtUp && this->vmListRead;
}

} // namespace roadferry
