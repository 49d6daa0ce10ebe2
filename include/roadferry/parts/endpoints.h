/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: the endpoints that the platform lists, and how they outlast an outage of the listing.

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

/// An endpoint as the platform lists it.
struct Endpoint
{
	std::string id;      ///< Unique per instance; changes when the endpoint restarts.
	std::string address; ///< IP address and port.
	std::string pool;
	std::string failureDomain;
	std::int64_t slots = 8; ///< Calls that run in parallel without slowing each other down much.
	bool leaving = false;
	std::string softwareVersion = {}; ///< Of the instance; empty if unknown. It should never change for one id.
	/// Name of its entry if a later process at its address may take calls that name this one; empty if none does.
	std::string sharedName = {};
	/// Whether its process, when asked, tells itself from a later one. Without a start in its entry both have its id.
	bool tellsStart = true;
	bool operator==(const Endpoint&) const = default;
};

/// Time limits of an EndpointDirectory.
struct DirectoryConfig
{
	/// Longest time between two updates of the listing in which no entry can have expired. After a longer gap the
	/// platform may have been unavailable and entries may have expired. Shorter than three report intervals of an
	/// endpoint, which reports about once per second.
	Micros maxListingGap = 2 * kSecond;

	/// How long a missing entry is kept after the listing becomes available again. Live endpoints list themselves
	/// again within this time.
	Micros relistGrace = 2 * kSecond;

	/// How long an entry of an older instance that follows the entry of a newer one counts as a delayed write. The
	/// newer instance writes again within this time. If it does not, the endpoint's clock was set back, and the entry
	/// is adopted.
	Micros olderInstanceGrace = 3 * kSecond;

	/// Longest time from the end of a process until a write that it has sent is in the log.
	Micros lateWrite = 500 * kMillisecond;
	bool operator==(const DirectoryConfig&) const = default;
};

/// An endpoint's entry in the listing.
struct ListedEndpoint
{
	std::string name;           ///< Name of the entry; an endpoint that restarts may keep it.
	std::uint64_t position = 0; ///< Position of the entry in the platform's log.
	Endpoint endpoint;
	std::int64_t startedAt = 0; ///< Start of the instance by its own clock, in Unix milliseconds; 0 if unknown.
	bool operator==(const ListedEndpoint&) const = default;
};

/// Evidence that the process of an endpoint has run at its address for some time.
struct ProcessProof
{
	std::string endpoint; ///< Its id.
	/// Time point. A connection to its address that was opened at or before it and is still open leads to this process.
	Micros openedBefore = 0;
	bool operator==(const ProcessProof&) const = default;
};

/// Removal of an entry from the listing.
struct UnlistedEndpoint
{
	std::string name;
	std::uint64_t position = 0; ///< Position of the removal in the platform's log.
	bool operator==(const UnlistedEndpoint&) const = default;
};

/// An entry that describes no usable endpoint. It replaces the previous entry of the same name.
struct UnusableEntry
{
	std::string name;
	std::uint64_t position = 0;
	bool operator==(const UnusableEntry&) const = default;
};

using ListingChange = std::variant<ListedEndpoint, UnlistedEndpoint, UnusableEntry>;

/// Result of one successful read of the listing.
struct ListingRead
{
	std::uint64_t position = 0; ///< Position in the platform's log after the last entry read.
	bool isSnapshot = false;    ///< Whether the changes are all entries of the listing.
	Micros asOf = 0;            ///< All changes made before this time are included.
	std::vector<ListingChange> changes;
	bool isTruncated = false; ///< Changes that were made before asOf may be missing, as later reads will show.
	bool operator==(const ListingRead&) const = default;
};

/// Changes of a directory since one of its revisions.
struct DirectoryChanges
{
	std::uint64_t revision = 0;         ///< Revision of the directory that includes these changes.
	std::uint64_t position = 0;         ///< Position in the platform's log up to which the directory is complete.
	bool isSnapshot = false;            ///< Whether the entries in listed are all entries of the directory.
	std::vector<ListedEndpoint> listed; ///< New and changed entries.
	std::vector<std::string> unlisted;  ///< Names of removed entries.
	bool operator==(const DirectoryChanges&) const = default;
};

/// The endpoints of a listing that can be unavailable. No entry is dropped during an outage, and entries that
/// disappeared meanwhile get some time to be listed again. An endpoint that was seen leaving stays marked as leaving.
///
/// A directory is complete up to a position in the platform's log, and each entry has its own position. Two directories
/// merge by position, regardless of which was read last: of two entries with the same name the later one wins, and an
/// entry is removed if it is absent from a directory that is complete beyond the position of the entry.
///
/// An entry without a start belongs to one process, since no later one has its id. A pool in which the version of such
/// an entry has changed does not keep to this: from then on its connections need evidence, as those of entries with a
/// start.
class EndpointDirectory
{
public:
	explicit EndpointDirectory(DirectoryConfig _config);

	/// Applies a read of the listing up to its end, which may contain no changes.
	/// @returns Whether the directory changed.
	bool applyRead(const ListingRead& _read, Micros _now);

	/// Marks an endpoint as leaving that another node has seen leaving.
	void markLeaving(const std::string& _id);

	/// Drops missing entries whose grace period has ended, and adopts entries of older instances that are due.
	/// @returns Whether the directory changed.
	bool expire(Micros _now);

	/// @returns What the own reads since the last call prove; only of endpoints with Endpoint::sharedName.
	[[nodiscard]] std::vector<ProcessProof> takeProofs();

	/// @returns All endpoints, including those marked as leaving.
	[[nodiscard]] std::vector<Endpoint> endpoints() const;

	/// @returns Revision after the last change.
	[[nodiscard]] std::uint64_t latestRevision() const;

	/// @param[in] _revision Revision of this directory that the requesting node holds, 0 for none.
	/// @returns Changes since that revision, or a snapshot if they are not kept any more.
	[[nodiscard]] DirectoryChanges changesSince(std::uint64_t _revision) const;

	/// Merges the changes of another node's directory, which may be complete up to an earlier or a later position.
	/// @param[in] _asOf Time point at which the other directory was complete.
	void merge(const DirectoryChanges& _changes, Micros _asOf, Micros _now);

	/// @returns Ids of the endpoints that were seen leaving, to be sent to other nodes.
	[[nodiscard]] const std::set<std::string>& leaving() const;

	/// @returns Whether an entry differs from the one that is held; a renewal alone is no difference.
	[[nodiscard]] bool differs(const ListedEndpoint& _listed) const;

	/// @returns Time point up to which the last own read of the listing includes all changes, 0 for never.
	[[nodiscard]] Micros ownReadAsOf() const;

	/// @returns Time point at which this directory was complete, by own reads and by responses of other nodes; 0 for
	/// never.
	[[nodiscard]] Micros completeAsOf() const;

	/// @returns Position in the platform's log up to which this directory is complete.
	[[nodiscard]] std::uint64_t position() const;

private:
	/// An entry of an older instance than the one that is held, and when such an entry was first read.
	struct OlderInstance
	{
		ListedEndpoint entry;
		Micros firstReadAt = 0;
	};

	[[nodiscard]] bool inRelistGrace(Micros _now) const;
	void applyListed(const ListedEndpoint& _listed);
	void applyUnlisted(const UnlistedEndpoint& _removal, Micros _now);
	[[nodiscard]] std::vector<UnlistedEndpoint> entriesAbsentFrom(const std::set<std::string>& _present,
																  std::uint64_t _position) const;
	void dropIfOlder(const UnlistedEndpoint& _removal);
	void resetPositions();
	void advanceTo(std::uint64_t _position, Micros _now);
	void advanceAsOf(Micros _asOf, Micros _now);
	bool applyReadEntry(const ListedEndpoint& _listed, Micros _now);
	void prove(const ListedEndpoint& _listed, Micros _writtenAfter);
	void noteReusedId(const ListedEndpoint& _held, const ListedEndpoint& _listed);
	[[nodiscard]] bool needsEvidence(const ListedEndpoint& _listed) const;
	bool adoptOlderInstances(Micros _now);
	void drop(const std::string& _name);

	DirectoryConfig config;
	std::map<std::string, ListedEndpoint> entries;           ///< Keyed by name.
	std::uint64_t revision = 0;                              ///< Incremented by each change.
	std::map<std::string, std::uint64_t> changeRevisions;    ///< Revision of each entry's last change.
	std::map<std::uint64_t, std::string> unlistedByRevision; ///< Names of the latest removed entries.
	std::uint64_t prunedUpTo = 0;                            ///< Removals up to this revision are not kept any more.
	std::set<std::string> missing; ///< Entries removed during the grace period, dropped at its end.
	std::map<std::string, OlderInstance> olderInstances; ///< Keyed by name.
	std::set<std::string> leavingIds;                    ///< Ids of endpoints that were seen leaving.
	std::set<std::string> poolsReusingIds;               ///< Pools in which an id was used again without a start.
	std::vector<ProcessProof> proofs;                    ///< Not taken yet.
	Micros lastReadAsOf = 0;
	Micros readWholeAsOf = 0;      ///< ListingRead::asOf of the last own read that was not truncated.
	Micros asOf = 0;               ///< Time point at which this directory was complete, 0 for never.
	std::uint64_t logPosition = 0; ///< Position in the platform's log up to which this directory is complete.
	Micros positionAdvancedAt = 0; ///< When logPosition last advanced.
	Micros relistGraceEndsAt = 0;  ///< Until then a missing entry may have expired during an outage.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_ENDPOINTS_H_HEADER_GUARD
