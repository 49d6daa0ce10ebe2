/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: which software version began a stream, known to several nodes.

#ifndef ROADFERRY_PARTS_STREAM_ORIGINS_H_HEADER_GUARD
#define ROADFERRY_PARTS_STREAM_ORIGINS_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/pool_versions.h>
#include <roadferry/parts/stream_saver.h>
#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace roadferry
{

/// Gives records to a node that keeps them too.
struct OriginRecords
{
	std::vector<StreamRecord> records;
	bool save = false; ///< The receiver saves them on the platform too.
	bool operator==(const OriginRecords&) const = default;
};

/// Asks a node for the origin of a stream.
struct OriginQuery
{
	std::uint64_t lookup = 0; ///< Repeated in the answer.
	std::string request;
	std::string pool;
	Micros within = 0; ///< How long ago the stream may have begun.
	bool operator==(const OriginQuery&) const = default;
};

/// Answer to an OriginQuery.
struct OriginAnswer
{
	std::uint64_t lookup = 0;
	std::optional<StreamOrigin> origin; ///< Not set if the node does not know it.
	std::vector<std::string> versions;  ///< Versions that the pool is known to have had within that time.
	bool isComplete = false;            ///< The pool had no others.
	bool operator==(const OriginAnswer&) const = default;
};

using OriginMessage = std::variant<OriginRecords, OriginQuery, OriginAnswer>;

/// Action: send a message to another node.
struct SendOriginMessage
{
	std::string to;
	OriginMessage message;
	bool operator==(const SendOriginMessage&) const = default;
};

/// Action: a lookup has ended.
struct OriginResolved
{
	std::uint64_t lookup = 0;
	std::optional<StreamOrigin> origin; ///< Not set if no node knows it and more than one version can have begun it.
	std::string source; ///< "this node", "platform", the address of another node, "only version" or "unknown".
	bool operator==(const OriginResolved&) const = default;
};

/// Records of streams, as they are saved on the platform.
struct SavedStreams
{
	std::vector<StreamRecord> records; ///< With the time until they expire.
	bool operator==(const SavedStreams&) const = default;
};

/// What earlier processes have saved on the platform, in the order in which they saved it.
using SavedEntry = std::variant<SavedVersions, SavedStreams>;
using SavedOrigins = std::vector<SavedEntry>;

using OriginAction = std::variant<SendOriginMessage, OriginResolved, SavedVersions, SaveStreamRecords>;
using OriginActions = std::vector<OriginAction>;

/// A lookup that has begun. It may be resolved already, by one of the actions.
struct OriginLookup
{
	std::uint64_t id = 0; ///< OriginResolved repeats it.
	OriginActions actions;
	bool operator==(const OriginLookup&) const = default;
};

/// Settings of StreamOrigins.
struct StreamOriginsConfig
{
	std::size_t holders = 2;                   ///< Other nodes that keep a record.
	std::size_t askedNodes = 4;                ///< Nodes asked in a lookup; the most likely holders come first.
	Micros lookupTimeout = 100 * kMillisecond; ///< A node with little processor time may pause that long.
	/// Time for a lookup to wait for the next listing, if no node knows of a second version and not all answer.
	Micros listingTimeout = 1'500 * kMillisecond;
	Micros restartDelay =
		1'500 * kMillisecond;        ///< After a connection is lost, until records are given to a holder again.
	std::size_t maxRecords = 20'000; ///< Records kept; the oldest go first.
	/// Start of the numbers of the lookups; differs from those of earlier processes of this node.
	std::uint64_t firstLookup = 0;
	Micros versionMemory = 30 * kSecond; ///< See PoolVersions; longer than clients wait for a stream.
	/// A stream may have begun that long ago, whatever its request tells: the client's time shrinks from one try to the
	/// next, and a route's limit may have been changed.
	Micros minStreamAge = 20 * kSecond;
	Micros versionSavePeriod = 500 * kMillisecond; ///< Between two tries to save the versions of pools.
	StreamSaverConfig saver;
	bool operator==(const StreamOriginsConfig&) const = default;
};

/// Knows which software version began a stream, so that a client may take the stream up at any node. Soft state: each
/// record is kept by the node that began the stream and by some others, and expires with the stream. While only one
/// version of a pool can have begun a stream, no record is sent.
///
/// That a node has heard of one version only does not mean that there is no other one: it may have joined since the
/// listing that the node holds. So a stream without a known origin goes on at the only version once other nodes have
/// answered that they know no other one, or once a listing that is newer than the stream shows no other one.
///
/// What must outlive all nodes is saved on the platform: the versions of each pool when they change, and while there
/// are several, the version of each stream.
class StreamOrigins
{
public:
	StreamOrigins(std::string _self, StreamOriginsConfig _config);

	/// Sets the live nodes, and gives records to nodes that have become holders.
	OriginActions setMembers(const std::vector<std::string>& _members, Micros _now);

	/// Sets the listed endpoints. When a pool gets another version, earlier records are sent to their holders.
	/// @param[in] _isComplete Whether these are all endpoints.
	OriginActions setEndpoints(const std::vector<Endpoint>& _endpoints, bool _isComplete, Micros _now);

	/// Sets up to which time the listed endpoints are known: a version that joined later is not.
	/// @param[in] _asOf Time point.
	/// @param[in] _isAvailable Whether the listing can be read, so that it will be known up to a later time soon.
	OriginActions setListedUpTo(Micros _asOf, bool _isAvailable, Micros _now);

	/// Sets the pools whose streams may be taken up again by the routes of now. The versions of others are not saved,
	/// unless they were before. When a pool becomes one of them, its earlier records are sent to their holders.
	OriginActions setResumablePools(const std::set<std::string>& _pools, Micros _now);

	/// The listing was not read for so long that versions may have come and gone unseen.
	void onListingGap(Micros _now);

	/// Sets what earlier processes have saved; lookups wait for it.
	OriginActions setSaved(const SavedOrigins& _saved, Micros _now);

	/// Ends a save of versions.
	void onVersionsSaved(const SavedVersions& _saved, bool _succeeded, Micros _now);

	/// Ends a save of records.
	void onRecordsSaved(const SaveStreamRecords& _save, bool _succeeded, Micros _now);

	/// Records the origin of a stream, before its first event is sent to the client. The records of streams that began
	/// under a route without the right to be taken up are kept too, since the route may get it; they are not saved on
	/// the platform.
	OriginActions record(const StreamRecord& _record, Micros _now);

	/// @returns Whether a pool has or had lately more than one version, as far as this node knows.
	[[nodiscard]] bool isAmbiguous(const std::string& _pool, Micros _now) const;

	/// @returns The only version that a stream can have begun at, if this node knows that there is only one.
	[[nodiscard]] std::optional<std::string> onlyVersion(const std::string& _pool, Micros _within, Micros _now) const;

	/// Starts to look up the origin of a stream.
	/// @param[in] _pool Pool that the stream runs in if its origin is not known.
	/// @param[in] _within How long ago it may have begun, as far as the request tells.
	/// @param[in] _needsRecord Whether only a record of the stream resolves it, even if the pool has one version.
	OriginLookup find(const std::string& _request, const std::string& _pool, Micros _within, Micros _now,
					  bool _needsRecord = false);

	OriginActions receive(const std::string& _from, const OriginMessage& _message, Micros _now);

	/// A connection was lost: the node answers no query, and may have restarted without its records.
	OriginActions peerClosed(const std::string& _peer, Micros _now);

	OriginActions tick(Micros _now);

	[[nodiscard]] std::size_t size() const;

private:
	struct Entry
	{
		StreamRecord record;
		bool isOwn = false; ///< The stream began at this node.
	};

	struct Lookup
	{
		std::string request;
		std::string pool;
		Micros within = 0;
		Micros startedAt = 0;           ///< Time point; the stream has begun before it.
		Micros deadline = 0;            ///< Time point.
		std::size_t answers = 0;        ///< Of other nodes.
		std::set<std::string> awaited;  ///< Nodes that have not answered.
		std::set<std::string> versions; ///< Known to nodes that have answered.
		bool areAllKnown = false;       ///< One of them knows all versions.
		bool needsRecord = false;       ///< That the pool has one version is not enough.
	};

	using Expiries = std::set<std::pair<Micros, std::string>>; ///< Of entries, soonest first.

	[[nodiscard]] std::vector<std::string> holdersOf(const std::string& _request) const;
	[[nodiscard]] Expiries& expiriesOf(const StreamRecord& _record);
	void eraseFirst(Expiries& _expiries);
	void store(const StreamRecord& _record, bool _isOwn);
	void addSaved(const SavedStreams& _streams, Micros _now);
	[[nodiscard]] bool mayBeTakenUp(const StreamRecord& _record) const;
	void sendOwnRecords(const std::string& _to, Micros _now, OriginActions& _actions) const;
	[[nodiscard]] bool isWaiting(const Lookup& _lookup) const;
	[[nodiscard]] std::optional<std::string> onlyKnownVersion(const Lookup& _lookup, Micros _now) const;
	[[nodiscard]] bool isOnlyVersionCertain(const Lookup& _lookup) const;
	[[nodiscard]] bool mayBecomeCertain(const Lookup& _lookup, Micros _now) const;
	void concludeIfDone(std::uint64_t _lookup, Micros _now, OriginActions& _actions);
	void concludeDone(Micros _now, OriginActions& _actions);
	void saveVersions(Micros _now, OriginActions& _actions);
	void saveRecords(Micros _now, OriginActions& _actions);
	void conclude(std::uint64_t _lookup, Micros _now, OriginActions& _actions);
	void onAnswer(const std::string& _from, const OriginAnswer& _answer, Micros _now, OriginActions& _actions);
	[[nodiscard]] OriginAnswer answer(const OriginQuery& _query, Micros _now) const;
	void expire(Micros _now);

	std::string self;
	StreamOriginsConfig config;
	std::vector<std::string> others; ///< Live nodes without this one.
	PoolVersions pools;
	StreamSaver saver;
	std::unordered_map<std::string, Entry> entries; ///< By request id.
	Expiries expiries;                              ///< Of the entries that began resumable.
	Expiries otherExpiries;                         ///< Of the others, which give way to these.
	std::map<std::uint64_t, Lookup> lookups;        ///< In progress, by id.
	std::map<std::string, Micros> resendAt;         ///< When own records are given to a node again.
	std::uint64_t lastLookup;
	Micros listedUpTo = 0; ///< Versions that joined before this time point are known; 0 for none.
	bool canReadListing = false;
	bool awaitsSaved = true; ///< What earlier processes have saved is not known yet.
	std::set<std::string> resumablePools;
	std::set<std::string> savedPools;  ///< Pools whose versions are saved: those that are or were resumable.
	std::set<std::string> poolsInSave; ///< Pools whose versions are being saved.
	Micros nextVersionCheckAt = 0;     ///< Time point.
	Micros nextVersionSaveAt = 0;      ///< Time point; later than now after a save has failed.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_STREAM_ORIGINS_H_HEADER_GUARD
