/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: the software versions that a pool had lately, also before this process started.

#ifndef ROADFERRY_PARTS_POOL_VERSIONS_H_HEADER_GUARD
#define ROADFERRY_PARTS_POOL_VERSIONS_H_HEADER_GUARD

#include <roadferry/parts/endpoints.h>
#include <roadferry/parts/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace roadferry
{

/// Versions that a pool had lately, as they are saved on the platform.
struct SavedVersions
{
	std::string pool;
	std::set<std::string> versions;
	bool operator==(const SavedVersions&) const = default;
};

/// Keeps which software versions each pool had, and tells whether all of them are known. A listing shows the versions
/// of this moment only, so a process knows those of the time before its start from what earlier processes saved.
class PoolVersions
{
public:
	/// @param[in] _memory Time after which a version that is not listed any more is left out of what is saved.
	explicit PoolVersions(Micros _memory);

	/// Sets the listed endpoints.
	/// @param[in] _isComplete Whether these are all endpoints; otherwise a version that is absent may be listed.
	/// @returns Whether a pool that had versions has got another one.
	bool setListed(const std::vector<Endpoint>& _endpoints, bool _isComplete, Micros _now);

	/// The listing was not read for so long that versions may have come and gone unseen.
	void restartObservation(Micros _now);

	/// Adds versions that earlier processes, or other nodes, have saved.
	void addSaved(const SavedVersions& _saved, Micros _now);

	/// Adds the version of a stream that was saved. After the versions of its pool, it proves that the pool had this
	/// one too, although the versions could not be saved again; before them, they tell whether it had left.
	void addSavedStream(const std::string& _pool, const std::string& _version, Micros _now);

	/// All that earlier processes have saved was added, in the order in which they saved it; other pools are new.
	void endLoading();

	/// Records that this process has saved the versions of a pool.
	void recordSaved(const SavedVersions& _saved);

	/// @returns The versions that the pool is known to have had within that time.
	[[nodiscard]] std::set<std::string> within(const std::string& _pool, Micros _within, Micros _now) const;

	/// @returns Whether within() returns all versions that the pool had.
	[[nodiscard]] bool isComplete(const std::string& _pool, Micros _within, Micros _now) const;

	/// @returns Whether the versions that are or will be saved are more than one, so that the version of a stream has
	/// to be saved too.
	[[nodiscard]] bool isAmbiguous(const std::string& _pool, Micros _now) const;

	/// @returns The pools whose versions differ from what is saved; none before that is known.
	[[nodiscard]] std::vector<SavedVersions> unsaved(Micros _now) const;

private:
	/// The versions of one pool.
	struct Pool
	{
		std::set<std::string> listed;
		std::map<std::string, Micros> unlistedAt;   ///< Time point at which a version was last listed.
		std::optional<std::set<std::string>> saved; ///< Not set if none are.
	};

	static void unlist(Pool& _pool, const std::set<std::string>& _listed, Micros _now);
	static void addEarlier(Pool& _pool, const std::string& _version, Micros _now);

	Micros memory;
	std::map<std::string, Pool> pools;
	Micros observedSince = 0; ///< Time point of the first complete listing, 0 before it.
	bool savedKnown = false;  ///< What earlier processes have saved was read.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_POOL_VERSIONS_H_HEADER_GUARD
