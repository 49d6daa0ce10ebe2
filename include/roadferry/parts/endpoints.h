/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: endpoints, and which of them may be used while their listing is in doubt.

#ifndef ROADFERRY_PARTS_ENDPOINTS_H_HEADER_GUARD
#define ROADFERRY_PARTS_ENDPOINTS_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace roadferry
{

/// An endpoint, as the platform lists it.
struct Endpoint
{
	std::string id;      ///< Unique for one start of the endpoint.
	std::string address; ///< IP number and port.
	std::string pool;
	std::string failureDomain;
	std::int64_t slots = 8; ///< Calls that it runs at once without slowing them down much.
	bool leaving = false;
	bool operator==(const Endpoint&) const = default;
};

/// Times of an EndpointDirectory.
struct DirectoryConfig
{
	/// After so long without news of the listing the platform may have been away, and entries may have lapsed
	/// meanwhile: less than three of the reports that an endpoint writes each second or so.
	Micros maxListingGap = 2 * kSecond;

	/// How long after the listing's return a missing endpoint is kept: live ones list themselves again in this time.
	Micros relistGrace = 2 * kSecond;

	/// How long an entry of an earlier start, written behind that of a later one, is taken for a write that was held
	/// up: the later start writes again in this time. After it the endpoint's clock must have been set back.
	Micros olderInstanceGrace = 3 * kSecond;
	bool operator==(const DirectoryConfig&) const = default;
};

/// An endpoint's entry in the listing.
struct ListedEndpoint
{
	std::string name;           ///< Of the entry; an endpoint that starts again may have the name that it had.
	std::uint64_t position = 0; ///< Of the entry in the platform's log.
	Endpoint endpoint;
	std::int64_t startedAt = 0; ///< By the endpoint's own clock, in Unix milliseconds; 0 when not told.
	bool operator==(const ListedEndpoint&) const = default;
};

/// An entry that is gone.
struct UnlistedEndpoint
{
	std::string name;
	std::uint64_t position = 0; ///< Of its end in the platform's log.
	bool operator==(const UnlistedEndpoint&) const = default;
};

/// An entry that names no endpoint that could be used, whatever the entry before it named.
struct UnusableEntry
{
	std::string name;
	std::uint64_t position = 0;
	bool operator==(const UnusableEntry&) const = default;
};

using ListingChange = std::variant<ListedEndpoint, UnlistedEndpoint, UnusableEntry>;

/// One reading of the listing that went well.
struct ListingRead
{
	std::uint64_t position = 0; ///< Position in the platform's log behind what was read.
	bool isSnapshot = false;    ///< Whether the changes are all entries there are.
	Micros asOf = 0;            ///< When it was begun.
	std::vector<ListingChange> changes;
	bool operator==(const ListingRead&) const = default;
};

/// What has changed in a directory since one of its revisions.
struct DirectoryChanges
{
	std::uint64_t revision = 0;         ///< The directory's revision with these changes.
	std::uint64_t position = 0;         ///< Position in the platform's log up to which the directory was read.
	bool isSnapshot = false;            ///< Whether the endpoints below are all there are.
	std::vector<ListedEndpoint> listed; ///< Entries that are new or have changed.
	std::vector<std::string> unlisted;  ///< Names of entries that have gone.
	bool operator==(const DirectoryChanges&) const = default;
};

/// The endpoints of a listing that can be away: nothing is forgotten while it is, and what vanished meanwhile gets
/// some time to come back. An endpoint that was once seen leaving stays so.
///
/// A directory is complete up to a position in the platform's log, and each entry has its own. Two directories merge by
/// position, whichever was read last: the later entry of a name wins, and a name that is absent where the log was read
/// past its entry is gone.
class EndpointDirectory
{
public:
	explicit EndpointDirectory(DirectoryConfig _config);

	/// The listing was read up to its end, whether or not anything had changed.
	/// @returns Whether anything changed here.
	bool applyRead(const ListingRead& _read, Micros _now);

	/// Another node knows the endpoint to be leaving.
	void markLeaving(const std::string& _id);

	/// Drops what did not come back in time.
	/// @returns Whether anything was dropped.
	bool expire(Micros _now);

	/// @returns All endpoints that may be known to callers, those that are leaving marked so.
	[[nodiscard]] std::vector<Endpoint> endpoints() const;

	/// @returns The number of the last change.
	[[nodiscard]] std::uint64_t latestRevision() const;

	/// @param[in] _revision Revision that the asker holds, 0 for none.
	/// @returns What it lacks.
	[[nodiscard]] DirectoryChanges changesSince(std::uint64_t _revision) const;

	/// Merges the changes of another node's directory, which may have read less of the log or more.
	/// @param[in] _asOf Time point at which the other directory was complete.
	void merge(const DirectoryChanges& _changes, Micros _asOf, Micros _now);

	/// @returns Endpoints that were seen leaving or gone, for other nodes.
	[[nodiscard]] const std::set<std::string>& leaving() const;

	/// @returns Whether an entry says anything that is not held here; one that was merely renewed does not.
	[[nodiscard]] bool differs(const ListedEndpoint& _listed) const;

	/// @returns When the last reading of the listing was begun, 0 for never.
	[[nodiscard]] Micros ownReadAsOf() const;

	/// @returns Time point at which this directory was complete, by readings and by news; 0 for never.
	[[nodiscard]] Micros completeAsOf() const;

	/// @returns Position in the platform's log up to which this directory is complete.
	[[nodiscard]] std::uint64_t position() const;

private:
	/// An entry of an earlier start than the one that is held, and when it was read.
	struct OlderInstance
	{
		ListedEndpoint entry;
		Micros firstReadAt = 0;
	};

	[[nodiscard]] bool inRelistGrace(Micros _now) const;
	void applyListed(const ListedEndpoint& _listed);
	void applyUnlisted(const UnlistedEndpoint& _gone, Micros _now);
	[[nodiscard]] std::vector<UnlistedEndpoint> entriesAbsentFrom(const std::set<std::string>& _present,
																  std::uint64_t _position) const;
	void dropIfOlder(const UnlistedEndpoint& _gone);
	void resetPositions();
	void advanceTo(std::uint64_t _position, Micros _now);
	void advanceAsOf(Micros _asOf, Micros _now);
	void applyReadEntry(const ListedEndpoint& _listed, Micros _now);
	bool adoptOlderInstances(Micros _now);
	void drop(const std::string& _name);

	DirectoryConfig config;
	std::map<std::string, ListedEndpoint> entries;           ///< By name.
	std::uint64_t revision = 0;                              ///< Counts changes.
	std::map<std::string, std::uint64_t> changeRevisions;    ///< Revision of each entry's last change.
	std::map<std::uint64_t, std::string> unlistedByRevision; ///< Entries that went, the latest ones.
	std::uint64_t prunedUpTo = 0;  ///< Entries that went up to this revision are not known any more.
	std::set<std::string> missing; ///< Entries that have gone while in doubt, and are dropped with its end.
	std::map<std::string, OlderInstance> olderInstances; ///< By name.
	std::set<std::string> leavingIds;                    ///< Endpoints that were seen leaving.
	Micros lastReadAsOf = 0;
	Micros asOf = 0;               ///< Time point at which this directory was complete, 0 for never.
	std::uint64_t logPosition = 0; ///< Position up to which this directory is complete.
	Micros positionAdvancedAt = 0; ///< When that position was reached.
	Micros relistGraceEndsAt = 0;  ///< Until then a missing entry may be one that lapsed while the listing was away.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ENDPOINTS_H_HEADER_GUARD
