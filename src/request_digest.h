/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Digest of a request's content, by which repeated submissions of one request are recognised.

#ifndef ROADFERRY_REQUEST_DIGEST_H_HEADER_GUARD
#define ROADFERRY_REQUEST_DIGEST_H_HEADER_GUARD

#include "forward_types.h"

namespace roadferry
{

/// @returns Hash of the host, method, target, body and prompt of a request. Submissions with a different id, timeout or
/// workspace have the same digest.
RequestDigest digestOf(const ForwardRequest& _request);

/// @returns Keys of the prompt parts that other requests to a pool may share: all but the last, in order.
std::vector<PartKey> sharedPartKeys(const std::string& _pool, const std::vector<PromptPart>& _prompt);

/// @returns The digest as it appears in logs: 16 hexadecimal digits.
std::string toText(RequestDigest _digest);

/// @returns The ids of the prompt parts that other requests may share, as they appear in logs.
std::string sharedPartsText(const std::vector<PromptPart>& _prompt);

} // namespace roadferry

#endif // ROADFERRY_REQUEST_DIGEST_H_HEADER_GUARD
