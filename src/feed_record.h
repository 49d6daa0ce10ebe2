/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The form in which nodes pass the platform's records on to each other.

#ifndef ROADFERRY_FEED_RECORD_H_HEADER_GUARD
#define ROADFERRY_FEED_RECORD_H_HEADER_GUARD

#include <absl/status/statusor.h>

#include <string>

namespace roadferry
{

/// @returns The record, compressed.
std::string packRecord(const std::string& _record);

/// @returns The record, or InvalidArgument for bytes that are not a packed record of a size that nodes pass on.
absl::StatusOr<std::string> unpackRecord(const std::string& _packed);

} // namespace roadferry

#endif // ROADFERRY_FEED_RECORD_H_HEADER_GUARD
