/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Encoding of the platform's records in messages between nodes.

#ifndef ROADFERRY_FEED_RECORD_H_HEADER_GUARD
#define ROADFERRY_FEED_RECORD_H_HEADER_GUARD

#include <absl/status/statusor.h>

#include <string>

namespace roadferry
{

/// Compresses a record.
/// @returns The size of the record in bytes, 4 bytes in big-endian order, and the compressed record.
std::string packRecord(const std::string& _record);

/// Decompresses the result of packRecord.
/// @returns The record, or InvalidArgument if the bytes are malformed or the record is larger than 8 MiB.
absl::StatusOr<std::string> unpackRecord(const std::string& _packed);

} // namespace roadferry

#endif // ROADFERRY_FEED_RECORD_H_HEADER_GUARD
