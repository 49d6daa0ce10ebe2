/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Saves what is known of the origins of streams on the platform, and loads it when a process starts.

#ifndef ROADFERRY_ORIGIN_STORE_H_HEADER_GUARD
#define ROADFERRY_ORIGIN_STORE_H_HEADER_GUARD

#include "adapter.h"

#include <QTimer>

namespace roadferry
{

/// Callbacks of an OriginStore, called on the control thread.
struct OriginStoreHandlers
{
	std::function<void(const SavedOrigins&)> onLoaded; ///< Called once.
	std::function<void(const SavedVersions&, bool _succeeded)> onVersionsSaved;
	std::function<void(const SaveStreamRecords&, bool _succeeded)> onRecordsSaved;
};

/// Keeps SavedOrigins in a PersistentMap. All functions run on the control thread.
class OriginStore
{
public:
	OriginStore(PersistentMap& _map, OriginStoreHandlers _handlers);

	/// Loads what earlier processes have saved, and tries again until it succeeds.
	void load();

	void save(const SavedVersions& _versions);
	void save(const SaveStreamRecords& _records);

private:
	/// A call to the platform in progress.
	struct StartedCall
	{
		Micros startedAt = 0;
		Micros timeout = 0;
	};

	void onRead(const absl::StatusOr<std::vector<PersistentEntry>>& _entries);
	void write(const std::string& _key, const std::string& _value, std::function<void(const absl::Status&)> _done);
	[[nodiscard]] StartedCall startCall() const;
	void endCall(const StartedCall& _call, const absl::Status& _status);

	PersistentMap& map;
	OriginStoreHandlers handlers;
	ResponseTimeout timeout;
	QTimer retryTimer;
	int retryMs = 0;
};

/// @returns What the entries of a PersistentMap say. Entries that cannot be decoded are logged and left out.
SavedOrigins decodeSavedOrigins(const std::vector<PersistentEntry>& _entries);

} // namespace roadferry

#endif // ROADFERRY_ORIGIN_STORE_H_HEADER_GUARD
