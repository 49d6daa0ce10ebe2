/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Comparison of credentials.

#ifndef ROADFERRY_SECRET_H_HEADER_GUARD
#define ROADFERRY_SECRET_H_HEADER_GUARD

#include <map>
#include <string>

namespace roadferry
{

/// Compares two strings in a time that depends on their lengths only.
bool equalSecrets(const std::string& _left, const std::string& _right);

/// @param[in] _credentials Credential by name.
/// @param[in] _authorization Value of the header Authorization.
/// @returns Name of the one whose credential it is, or an empty string. Each credential is compared, so that the time
/// does not tell which one was near.
std::string authenticateBearer(const std::map<std::string, std::string>& _credentials,
							   const std::string& _authorization);

/// @returns The credential of a header "Authorization: Bearer CREDENTIAL", or an empty string.
std::string bearerToken(const std::string& _authorization);

} // namespace roadferry

#endif // ROADFERRY_SECRET_H_HEADER_GUARD
