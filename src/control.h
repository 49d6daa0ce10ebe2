/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Control state of a node: the table, the VM list and the leaving endpoints. Runs on the control thread, in Qt's main
/// loop.

#ifndef ROADFERRY_CONTROL_H_HEADER_GUARD
#define ROADFERRY_CONTROL_H_HEADER_GUARD

#include "cluster_view.h"
#include "peer_messages.h"
#include "platform.h"
#include "traffic.h"

#include <QTimer>

namespace roadferry
{

/// Receives the outcome of an edit, or nothing if it is not known in time.
using EditCallback = std::function<void(std::optional<EditOutcome>)>;

/// Keeps the control state up to date and passes immutable copies to the traffic threads.
class Control
{
public:
	/// @param[in] _self Address of this node, as other nodes know it.
	/// @param[in] _endpointsPerPool Maximum number of endpoints per pool that this node uses.
	Control(Platform& _platform, Traffic& _traffic, ClusterView& _view, std::string _self,
			std::size_t _endpointsPerPool, std::function<void(const std::string&, const PeerMessage&)> _send);

	/// Starts reading the log, the VM list and the endpoints' load reports.
	void start();

	/// Appends an edit to the log and waits until it is read back. An edit whose outcome is known already, or that the
	/// current rows refuse, is not appended.
	/// @param[in] _callback Called with the outcome, or with nothing if the record was not read back in time; the edit
	/// may still take effect later.
	void edit(const TableEdit& _edit, const EditCallback& _callback);

	/// Processes a message from another node.
	void onTableRequest(const std::string& _peer, const TableRequest& _request);
	void onTableResponse(const TableResponse& _response);
	void onLeavingNotice(const LeavingNotice& _notice);

	[[nodiscard]] const TableReplica& replica() const;
	[[nodiscard]] const std::vector<std::string>& peers() const;

	/// @returns Whether the table and the VM list have been read at least once.
	[[nodiscard]] bool isReady() const;

private:
	struct PendingEdit
	{
		TableEdit edit;
		EditCallback callback;
		Micros deadline = 0;
	};

	void readLog();
	void onLogPage(const absl::StatusOr<LogPage>& _page);
	void requestTableFromPeer();
	void publishTable();
	void readVmList();
	void onVmList(const absl::StatusOr<VmList>& _list);
	void readLoads();
	void onLoadReport(const std::string& _endpoint, const absl::StatusOr<LoadReport>& _report);
	void markLeaving(const std::string& _endpoint, bool _notifyPeers);
	void append(const TableEdit& _edit);
	void completeEdits();
	void appendSnapshotIfDue();
	[[nodiscard]] std::size_t rank() const;

	Platform& platform;
	Traffic& traffic;
	ClusterView& view;
	std::string self;
	std::size_t endpointsPerPool;
	std::function<void(const std::string&, const PeerMessage&)> send;
	TableReplica tableReplica;
	std::vector<std::string> peerList;
	std::vector<Endpoint> endpointList;
	std::set<std::string> leaving;
	std::vector<PendingEdit> pendingEdits;
	QTimer logTimer;
	QTimer vmTimer;
	QTimer loadTimer;
	Micros snapshotDueSince = 0;
	std::size_t nextPeer = 0;
	bool isReadingLog = false;
	bool logCaughtUp = false;
	bool vmListRead = false;
};

} // namespace roadferry

#endif // ROADFERRY_CONTROL_H_HEADER_GUARD
