/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of PeerSender.

#include "peer_sender.h"

namespace roadferry
{

PeerSender::PeerSender(PeerLink& _link) : link(_link)
{
}

void PeerSender::onProcess(const PeerProcess& _process)
{
	this->processes[_process.address] = _process.number;
}

void PeerSender::onClosed(const std::string& _peer)
{
	this->processes.erase(_peer);
}

void PeerSender::send(const std::string& _to, const PeerMessage& _message)
{
	if (!isAnswer(_message))
	{
		this->link.send(_to, encode(_message));
		return;
	}
	const auto asking = this->processes.find(_to);
	if (asking != this->processes.end())
	{
		this->link.answer(PeerProcess{_to, asking->second}, encode(_message));
	}
}

} // namespace roadferry
