/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Public interface of the roadferry library: decision logic of a serving system for multi-stage model pipelines.
///
/// Index of the parts. Everything in them is a value type or a state machine. A state machine takes an event and the
/// current time and returns the actions to perform. It opens no socket, reads no clock, starts no thread, and uses no
/// source of randomness other than the seed it is given. The daemon, the property tests and the benchmarks therefore
/// run the same code.

#ifndef ROADFERRY_H_HEADER_GUARD
#define ROADFERRY_H_HEADER_GUARD

#include <roadferry/parts/admission.h>
#include <roadferry/parts/batches.h>
#include <roadferry/parts/crash_ledger.h>
#include <roadferry/parts/dispatcher.h>
#include <roadferry/parts/endpoint_state.h>
#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/fatal_parts.h>
#include <roadferry/parts/feed_exchange.h>
#include <roadferry/parts/feed_poll.h>
#include <roadferry/parts/feed_relay.h>
#include <roadferry/parts/membership.h>
#include <roadferry/parts/placement.h>
#include <roadferry/parts/pool_versions.h>
#include <roadferry/parts/process_proofs.h>
#include <roadferry/parts/queue_forecast.h>
#include <roadferry/parts/reachability.h>
#include <roadferry/parts/rendezvous.h>
#include <roadferry/parts/response_budget.h>
#include <roadferry/parts/response_timeout.h>
#include <roadferry/parts/route_durations.h>
#include <roadferry/parts/routes.h>
#include <roadferry/parts/shares.h>
#include <roadferry/parts/stream_origins.h>
#include <roadferry/parts/stream_saver.h>
#include <roadferry/parts/table.h>
#include <roadferry/parts/tickets.h>
#include <roadferry/parts/time.h>

#endif // ROADFERRY_H_HEADER_GUARD
