/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about fatal parts.

#ifndef ROADFERRY_PART_MESSAGES_H_HEADER_GUARD
#define ROADFERRY_PART_MESSAGES_H_HEADER_GUARD

#include "cbor_reader.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

QCborMap toCbor(const PartQuery& _message);
QCborMap toCbor(const PartAnswer& _message);
QCborMap toCbor(const PartVerdicts& _message);

/// Errors are recorded in the reader.
PartQuery readPartQuery(CborReader& _reader);
PartAnswer readPartAnswer(CborReader& _reader);
PartVerdicts readPartVerdicts(CborReader& _reader);

} // namespace roadferry

#endif // ROADFERRY_PART_MESSAGES_H_HEADER_GUARD
