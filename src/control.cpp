/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of a node's control state.

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
	this->completeEdits();
	if (this->isReadingLog)
	{
		return;
	}
	this->isReadingLog = true;
	this->platform.readLog(this->tableReplica.nextOffset(),
						   [this](const absl::StatusOr<LogPage>& _page)
						   {
							   this->isReadingLog = false;
							   this->onLogPage(_page);
						   });
}

void Control::onLogPage(const absl::StatusOr<LogPage>& _page)
{
	if (!_page.ok())
	{
		this->requestTableFromPeer();
		return;
	}
	if (this->tableReplica.applyEntries(_page->oldestOffset, _page->entries))
	{
		this->publishTable();
	}
	this->completeEdits();
	if (this->tableReplica.nextOffset() < _page->nextOffset)
	{
		this->readLog();
		return;
	}
	if (this->tableReplica.hasGap())
	{
		this->requestTableFromPeer();
		return;
	}
	this->logCaughtUp = true;
	this->appendSnapshotIfDue();
}

void Control::requestTableFromPeer()
{
	if (this->peerList.empty())
	{
		return;
	}
	// Asks one peer per call, in round-robin order.
	const std::string& peer = this->peerList[this->nextPeer++ % this->peerList.size()];
	this->send(peer, TableRequest{this->tableReplica.table().snapshot().offset});
}

void Control::onTableRequest(const std::string& _peer, const TableRequest& _request)
{
	const TableSnapshot& snapshot = this->tableReplica.table().snapshot();
	if (snapshot.offset >= _request.offset && snapshot.offset > 0)
	{
		this->send(_peer, TableResponse{toText(toJson(snapshot))});
	}
}

void Control::onTableResponse(const TableResponse& _response)
{
	const auto object = parseObject(_response.snapshot);
	const auto snapshot = object.ok() ? snapshotFromJson(*object) : object.status();
	if (!snapshot.ok())
	{
		logWarning("control", absl::StrCat("table from a peer is invalid: ", std::string(snapshot.status().message())));
		return;
	}
	this->logCaughtUp = true;
	if (this->tableReplica.installSnapshot(*snapshot))
	{
		this->publishTable();
	}
}

void Control::publishTable()
{
	this->traffic.setTable(std::make_shared<const Table>(this->tableReplica.table()));
	this->view.setTable(this->tableReplica.table());
	logInfo("control", absl::StrCat("table published at offset ", this->tableReplica.table().snapshot().offset));
}

std::size_t Control::rank() const
{
	const std::vector<std::string> alive = this->view.members().alive();
	return static_cast<std::size_t>(std::lower_bound(alive.begin(), alive.end(), this->self) - alive.begin());
}

void Control::appendSnapshotIfDue()
{
	if (this->tableReplica.recordsSinceSnapshot() < kRecordsPerSnapshot)
	{
		this->snapshotDueSince = 0;
		return;
	}
	if (this->snapshotDueSince == 0)
	{
		this->snapshotDueSince = monotonicNow();
	}
	if (!isSnapshotDue(this->tableReplica.recordsSinceSnapshot(), this->rank(),
					   monotonicNow() - this->snapshotDueSince))
	{
		return;
	}
	this->snapshotDueSince = monotonicNow();
	logInfo("control",
			absl::StrCat("appending a snapshot of the table at offset ", this->tableReplica.table().snapshot().offset));
	this->platform.append(recordToText(this->tableReplica.table().snapshot()), [](const absl::Status&) {});
}

void Control::edit(const TableEdit& _edit, const EditCallback& _callback)
{
	if (const auto knownOutcome = this->tableReplica.outcomeOf(_edit.id))
	{
		_callback(*knownOutcome);
		return;
	}
	// An edit that the current rows refuse needs no record.
	const EditOutcome expected = this->tableReplica.table().check(_edit);
	if (!std::holds_alternative<EditAccepted>(expected))
	{
		_callback(expected);
		return;
	}
	this->pendingEdits.push_back(PendingEdit{_edit, _callback, monotonicNow() + kEditTimeout});
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
							  // The record may still be on the log. The edit waits for it and is not appended again,
							  // since the table would refuse a second copy.
							  logWarning("control", absl::StrCat("append of edit ", id, " was not confirmed: ",
																 std::string(_status.message())));
						  });
}

void Control::completeEdits()
{
	std::vector<PendingEdit> remaining;
	std::vector<std::pair<EditCallback, std::optional<EditOutcome>>> completed;
	for (PendingEdit& pending : this->pendingEdits)
	{
		const auto outcome = this->tableReplica.outcomeOf(pending.edit.id);
		if (outcome || monotonicNow() >= pending.deadline)
		{
			completed.emplace_back(pending.callback, outcome);
			continue;
		}
		remaining.push_back(std::move(pending));
	}
	this->pendingEdits = std::move(remaining);
	for (const auto& entry : completed)
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
			this->markLeaving(endpoint.id, true);
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
								{ this->onLoadReport(id, _report); });
	}
}

void Control::onLoadReport(const std::string& _endpoint, const absl::StatusOr<LoadReport>& _report)
{
	if (!_report.ok())
	{
		return;
	}
	this->traffic.reportLoad(_endpoint, *_report);
	if (_report->leaving)
	{
		this->markLeaving(_endpoint, true);
	}
}

void Control::markLeaving(const std::string& _endpoint, bool _notifyPeers)
{
	if (!this->leaving.insert(_endpoint).second)
	{
		return;
	}
	this->traffic.markLeaving(_endpoint);
	logInfo("control", absl::StrCat("endpoint ", _endpoint, " is leaving"));
	if (!_notifyPeers)
	{
		return;
	}
	for (const std::string& peer : this->peerList)
	{
		this->send(peer, LeavingNotice{{_endpoint}});
	}
}

void Control::onLeavingNotice(const LeavingNotice& _notice)
{
	for (const std::string& endpoint : _notice.endpoints)
	{
		this->markLeaving(endpoint, false);
	}
}

const TableReplica& Control::replica() const
{
	return this->tableReplica;
}

const std::vector<std::string>& Control::peers() const
{
	return this->peerList;
}

bool Control::isReady() const
{
	return this->logCaughtUp && this->vmListRead;
}

} // namespace roadferry
