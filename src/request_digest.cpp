/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the digest of a request.

#include "request_digest.h"

#include <absl/strings/str_format.h>

#include <xxhash.h>

namespace roadferry
{

RequestDigest digestOf(const ForwardRequest& _request)
{
	RequestDigest digest = 0;
	for (const std::string* text : {&_request.method, &_request.host, &_request.target, &_request.body})
	{
		digest = XXH3_64bits_withSeed(text->data(), text->size(), digest);
	}
	for (const PromptPart& part : _request.prompt)
	{
		digest = XXH3_64bits_withSeed(&part.id, sizeof(part.id), digest);
	}
	return digest;
}

std::vector<PartKey> sharedPartKeys(const std::string& _pool, const std::vector<PromptPart>& _prompt)
{
	std::vector<PartKey> keys;
	const std::uint64_t seed = XXH3_64bits(_pool.data(), _pool.size());
	for (std::size_t index = 0; index + 1 < _prompt.size(); ++index)
	{
		keys.push_back(XXH3_64bits_withSeed(&_prompt[index].id, sizeof(_prompt[index].id), seed));
	}
	return keys;
}

std::string toText(RequestDigest _digest)
{
	return absl::StrFormat("%016x", _digest);
}

std::string sharedPartsText(const std::vector<PromptPart>& _prompt)
{
	std::string text;
	for (std::size_t index = 0; index + 1 < _prompt.size(); ++index)
	{
		absl::StrAppendFormat(&text, "%s%x", text.empty() ? "" : " ", _prompt[index].id);
	}
	return text;
}

} // namespace roadferry
