/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// A model of a platform's log of endpoint entries, for tests: each change gets a position, and reads start at any
/// position.

#ifndef ROADFERRY_LISTING_LOG_H_HEADER_GUARD
#define ROADFERRY_LISTING_LOG_H_HEADER_GUARD

#include <roadferry/roadferry.h>

namespace roadferry
{

/// Log of entries that list and unlist endpoints.
class ListingLog
{
public:
	/// Lists an endpoint.
	/// @returns Position of the new entry.
	std::uint64_t put(const std::string& _name, const Endpoint& _endpoint, std::int64_t _startedAt = 0)
	{
		const std::uint64_t position = this->end();
		this->changes.emplace_back(ListedEndpoint{_name, position, _endpoint, _startedAt});
		return position;
	}

	/// Appends an entry that describes no endpoint, as another writer could.
	/// @returns Position of the new entry.
	std::uint64_t putUnusable(const std::string& _name)
	{
		const std::uint64_t position = this->end();
		this->changes.emplace_back(UnusableEntry{_name, position});
		return position;
	}

	std::uint64_t put(const Endpoint& _endpoint)
	{
		return this->put(_endpoint.id, _endpoint);
	}

	std::uint64_t remove(const std::string& _name)
	{
		const std::uint64_t position = this->end();
		this->changes.emplace_back(UnlistedEndpoint{_name, position});
		return position;
	}

	[[nodiscard]] std::uint64_t end() const
	{
		return this->changes.size();
	}

	/// @returns All changes from a position on.
	[[nodiscard]] ListingRead since(std::uint64_t _position, Micros _asOf) const
	{
		ListingRead read{this->end(), false, _asOf, {}};
		read.changes.assign(this->changes.begin() + static_cast<std::ptrdiff_t>(_position), this->changes.end());
		return read;
	}

	/// @returns The newest entry of each listed name.
	[[nodiscard]] ListingRead snapshot(Micros _asOf) const
	{
		ListingRead read{this->end(), true, _asOf, {}};
		for (const auto& entry : this->entries())
		{
			read.changes.emplace_back(entry.second);
		}
		return read;
	}

	/// @returns The newest entry of each listed name, by name.
	[[nodiscard]] std::map<std::string, ListedEndpoint> entries() const
	{
		return this->entries(this->end());
	}

	/// @returns The newest entry of each name that was listed when the log ended at a position.
	[[nodiscard]] std::map<std::string, ListedEndpoint> entries(std::uint64_t _position) const
	{
		std::map<std::string, ListedEndpoint> entries;
		for (std::size_t index = 0; index < _position; ++index)
		{
			std::visit(Overloaded{[&](const ListedEndpoint& _listed) { entries[_listed.name] = _listed; },
								  [&](const auto& _other) { entries.erase(_other.name); }},
					   this->changes[index]);
		}
		return entries;
	}

private:
	std::vector<ListingChange> changes; ///< By position.
};

} // namespace roadferry

#endif // ROADFERRY_LISTING_LOG_H_HEADER_GUARD
