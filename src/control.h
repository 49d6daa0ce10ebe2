/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Control state of a node: the table, the VM list, leaving endpoints. Runs on the control thread, Qt's main loop.

#ifndef ROADFERRY_CONTROL_H_HEADER_GUARD
#define ROADFERRY_CONTROL_H_HEADER_GUARD

#include "cluster_view.h"
#include "peer_messages.h"
#include "platform.h"
#include "traffic.h"

#include <QTimer>

namespace roadferry
{

/// What an operator is told of an edit.
using EditAnswer = std::function<void(std::optional<EditOutcome>)>;

/// Keeps control state up to date and hands immutable copies to the traffic threads.
class Control
{
public:
	/// @param[in] _self Address of this node, as other nodes know it.
	/// @param[in] _endpointsPerPool Most endpoints of one pool that this node uses.
	Control(Platform& _platform, Traffic& _traffic, ClusterView& _view, std::string _self,
			std::size_t _endpointsPerPool, std::function<void(const std::string&, const PeerMessage&)> _send);

	/// Begins to read the log and the VM list.
	void start();

	/// Appends an edit and waits until it was read back.
	/// @param[in] _answer Called with the outcome, or with nothing when the log did not tell in time; the edit may
	/// take effect later then.
	void edit(const TableEdit& _edit, const EditAnswer& _answer);

	/// Takes a message of another node.
	void onTableAsk(const std::string& _peer, const TableRequest& _ask);
	void onTableGive(const TableResponse& _give);
	void onLeavingWord(const LeavingNotice& _word);

	[[nodiscard]] const LogFold& log() const;
	[[nodiscard]] const std::vector<std::string>& peers() const;

	/// @returns Whether the table and the VM list were read at least once.
	[[nodiscard]] bool ready() const;

private:
	struct WaitingEdit
	{
		TableEdit edit;
		EditAnswer answer;
		Micros giveUpAt = 0;
	};

	void readLog();
	void onLogPage(const absl::StatusOr<LogPage>& _page);
	void onLogUnavailable();
	void publishTable();
	void readVmList();
	void onVmList(const absl::StatusOr<VmList>& _list);
	void readLoads();
	void onLoad(const std::string& _endpoint, const absl::StatusOr<LoadReport>& _report);
	void learnLeaving(const std::string& _endpoint, bool _tell);
	void append(const TableEdit& _edit);
	void settleEdits();
	void considerSnapshot();
	[[nodiscard]] std::size_t rank() const;

	Platform& platform;
	Traffic& traffic;
	ClusterView& view;
	std::string self;
	std::size_t endpointsPerPool;
	std::function<void(const std::string&, const PeerMessage&)> send;
	LogFold fold;
	std::vector<std::string> peerList;
	std::vector<Endpoint> endpointList;
	std::set<std::string> leaving;
	std::vector<WaitingEdit> waitingEdits;
	QTimer logTimer;
	QTimer vmTimer;
	QTimer loadTimer;
	Micros snapshotSince = 0;
	std::size_t askTurn = 0;
	bool readingLog = false;
	bool logCaughtUp = false;
	bool vmListRead = false;
};

} // namespace roadferry

#endif // ROADFERRY_CONTROL_H_HEADER_GUARD
