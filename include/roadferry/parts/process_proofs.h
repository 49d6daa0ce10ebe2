/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: which connections certainly lead to the process that an endpoint's entry describes.

#ifndef ROADFERRY_PARTS_PROCESS_PROOFS_H_HEADER_GUARD
#define ROADFERRY_PARTS_PROCESS_PROOFS_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace roadferry
{

/// Tells which connections lead to the listed process of an endpoint.
///
/// A process may start under the entry of the one before, at its address, and take the calls that name that one; the
/// listing shows it later. A connection leads to one process until it closes. So it leads to the listed process if it
/// was open before that process was last known to run.
class ProcessProofs
{
public:
	/// Sets the listed endpoints.
	void setEndpoints(const std::vector<Endpoint>& _endpoints);

	/// Adds evidence on a listed endpoint; others are ignored.
	void add(const ProcessProof& _proof);

	/// Sets how current a listing is that a node reads through another one, which shows no renewals of entries.
	/// @param[in] _asOf Time point up to which the listing is complete; 0 if the node reads it itself.
	void setFollowedListing(Micros _asOf);

	/// @returns Whether a connection needs evidence to lead to the listed process of an endpoint.
	[[nodiscard]] bool isNeeded(const std::string& _endpoint) const;

	/// @returns Whether this is so for an endpoint of a pool.
	[[nodiscard]] bool isNeededIn(const std::string& _pool) const;

	/// @returns Time point at or before which a connection must have been opened to lead to the listed process of an
	/// endpoint; 0 if none is known.
	[[nodiscard]] Micros openedBefore(const std::string& _endpoint) const;

	/// @param[in] _openedAt Time point at which the connection was opened, 0 if it is not known.
	/// @returns Whether the connection leads to the listed process, provided that it is open.
	[[nodiscard]] bool isProven(const std::string& _endpoint, Micros _openedAt) const;

	/// @returns Number of the instance that an entry describes: another one for each process that it is known to have
	/// described, also under one id. 0 if it needs no evidence.
	[[nodiscard]] std::uint64_t instanceOf(const std::string& _endpoint) const;

	/// @returns Whether what a process tells of itself is evidence, see Endpoint::tellsStart.
	[[nodiscard]] bool canIdentify(const std::string& _endpoint) const;

	/// @returns Endpoint::sharedName of a listed endpoint, empty if it has none.
	[[nodiscard]] std::string sharedNameOf(const std::string& _endpoint) const;

	/// @returns The endpoint that is listed under a name, null if there is none. Valid until the next event.
	[[nodiscard]] const Endpoint* findListed(const std::string& _sharedName) const;

	/// @returns Ids of the listed endpoints of a pool that need none.
	[[nodiscard]] std::set<std::string> othersOf(const std::string& _pool) const;

	/// @returns The listed endpoints of a pool that need evidence.
	[[nodiscard]] std::vector<Endpoint> endpointsOf(const std::string& _pool) const;

private:
	/// A listed endpoint that needs evidence.
	struct Listed
	{
		Endpoint endpoint;
		Micros openedBefore = 0;
		std::uint64_t instance = 0;
	};

	[[nodiscard]] Listed listedAs(const Endpoint& _endpoint, const std::map<std::string, Listed>& _before);

	std::map<std::string, Listed> listed;                ///< By id.
	std::map<std::string, std::string> idOfName;         ///< By Endpoint::sharedName.
	std::map<std::string, std::size_t> poolCounts;       ///< Number of listed endpoints that need evidence, by pool.
	std::map<std::string, std::set<std::string>> others; ///< Ids of those that need none, by pool.
	std::uint64_t lastInstance = 0;
	Micros followedAsOf = 0;
	Micros followedSince = 0; ///< Time point since which the followed listing has had no gap.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_PROCESS_PROOFS_H_HEADER_GUARD
