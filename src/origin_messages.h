/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about the origins of streams.

#ifndef ROADFERRY_ORIGIN_MESSAGES_H_HEADER_GUARD
#define ROADFERRY_ORIGIN_MESSAGES_H_HEADER_GUARD

#include "cbor_reader.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

QCborMap toCbor(const OriginRecords& _message);
QCborMap toCbor(const OriginQuery& _message);
QCborMap toCbor(const OriginAnswer& _message);

/// Errors are recorded in the reader.
OriginRecords readOriginRecords(CborReader& _reader);
OriginQuery readOriginQuery(CborReader& _reader);
OriginAnswer readOriginAnswer(CborReader& _reader);

} // namespace roadferry

#endif // ROADFERRY_ORIGIN_MESSAGES_H_HEADER_GUARD
