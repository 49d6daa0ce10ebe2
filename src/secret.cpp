/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the comparison of credentials.

#include "secret.h"

#include <openssl/crypto.h>

namespace roadferry
{

bool equalSecrets(const std::string& _left, const std::string& _right)
{
	if (_left.empty() || _left.size() != _right.size())
	{
		return false;
	}
	return CRYPTO_memcmp(_left.data(), _right.data(), _left.size()) == 0;
}

std::string authenticateBearer(const std::map<std::string, std::string>& _credentials,
							   const std::string& _authorization)
{
	const std::string credential = bearerToken(_authorization);
	std::string name;
	for (const auto& entry : _credentials)
	{
		if (equalSecrets(entry.second, credential))
		{
			name = entry.first;
		}
	}
	return name;
}

std::string bearerToken(const std::string& _authorization)
{
	static const std::string s_scheme = "Bearer ";
	if (_authorization.compare(0, s_scheme.size(), s_scheme) != 0)
	{
		return {};
	}
	return _authorization.substr(s_scheme.size());
}

} // namespace roadferry
