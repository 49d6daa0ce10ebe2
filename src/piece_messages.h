/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// CBOR encoding of the messages about pieces.

#ifndef ROADFERRY_PIECE_MESSAGES_H_HEADER_GUARD
#define ROADFERRY_PIECE_MESSAGES_H_HEADER_GUARD

#include "cbor_reader.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

QCborMap toCbor(const PieceSubmit& _message);
QCborMap toCbor(const PieceUpdate& _message);
QCborMap toCbor(const PieceCancel& _message);
QCborMap toCbor(const PieceFree& _message);

/// Errors are recorded in the reader.
PieceSubmit readPieceSubmit(CborReader& _reader);
PieceUpdate readPieceUpdate(CborReader& _reader);

} // namespace roadferry

#endif // ROADFERRY_PIECE_MESSAGES_H_HEADER_GUARD
