/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Log line of a connection to another node that is no longer in use.

#ifndef ROADFERRY_PEER_END_LOG_H_HEADER_GUARD
#define ROADFERRY_PEER_END_LOG_H_HEADER_GUARD

#include "logging.h"
#include "peer_link.h"

namespace roadferry
{

inline void logConnectionEnd(const PeerConnectionEnd& _end)
{
	logEvent("peer", "closed",
			 {{"node", _end.peer},
			  {"why", _end.why},
			  {"incoming", _end.incoming},
			  {"queued", _end.queued},
			  {"unanswered_ms", _end.unansweredMs}});
}

} // namespace roadferry

#endif // ROADFERRY_PEER_END_LOG_H_HEADER_GUARD
