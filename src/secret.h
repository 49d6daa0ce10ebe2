/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Comparison of credentials.

#ifndef ROADFERRY_SECRET_H_HEADER_GUARD
#define ROADFERRY_SECRET_H_HEADER_GUARD

#include <string>

namespace roadferry
{

/// Compares two strings in a time that depends on their lengths only.
bool equalSecrets(const std::string& _left, const std::string& _right);

/// @returns The credential of a header "Authorization: Bearer CREDENTIAL", or an empty string.
std::string bearerOf(const std::string& _authorization);

} // namespace roadferry

#endif // ROADFERRY_SECRET_H_HEADER_GUARD
