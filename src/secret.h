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

/// Compares two strings in a time that depends only on their lengths. An empty string equals none.
bool equalSecrets(const std::string& _left, const std::string& _right);

/// Finds the owner of a bearer credential. All credentials are compared, so that the time does not reveal which one
/// matched.
/// @param[in] _credentials Credentials by name.
/// @param[in] _authorization Value of the Authorization header.
/// @returns Name of the credential, or an empty string if none matches.
std::string authenticateBearer(const std::map<std::string, std::string>& _credentials,
							   const std::string& _authorization);

/// @returns Credential of the header "Authorization: Bearer CREDENTIAL", or an empty string.
std::string bearerToken(const std::string& _authorization);

} // namespace roadferry

#endif // ROADFERRY_SECRET_H_HEADER_GUARD
