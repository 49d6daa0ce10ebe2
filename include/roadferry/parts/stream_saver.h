/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: when a node saves on the platform which software version began a stream, and which of the
/// nodes do.

#ifndef ROADFERRY_PARTS_STREAM_SAVER_H_HEADER_GUARD
#define ROADFERRY_PARTS_STREAM_SAVER_H_HEADER_GUARD

#include <roadferry/parts/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace roadferry
{

/// Pool and software version of the endpoint that began a stream.
struct StreamOrigin
{
	std::string pool;
	std::string version;
	bool isResumable = true; ///< It began under a route whose streams may be taken up again.
	bool operator==(const StreamOrigin&) const = default;
};

/// Origin of one stream.
struct StreamRecord
{
	std::string request; ///< Id of the submission that brought its first event.
	StreamOrigin origin;
	Micros expiresAt = 0; ///< Time point from which no client takes it up; in messages the time until then.
	bool operator==(const StreamRecord&) const = default;
};

/// Action: save records on the platform, in place of those that were saved in this slot before.
struct SaveStreamRecords
{
	std::size_t saver = 0; ///< Rank of this node among those that save.
	std::size_t slot = 0;
	std::vector<StreamRecord> records; ///< With the time until they expire.
	bool operator==(const SaveStreamRecords&) const = default;
};

/// Records that another node is to save.
struct PassOnStreamRecords
{
	std::string to;
	std::vector<StreamRecord> records; ///< With the time until they expire.
	bool operator==(const PassOnStreamRecords&) const = default;
};

using StreamSave = std::variant<SaveStreamRecords, PassOnStreamRecords>;

/// Settings of a StreamSaver.
struct StreamSaverConfig
{
	Micros period = 500 * kMillisecond; ///< Between two saves by one node.
	std::size_t savers = 8;             ///< Nodes that save; with more nodes, the others send theirs.
	std::size_t slots = 64;             ///< Saves that a node keeps: as long as versions are ambiguous.
	std::size_t maxRecords = 2'000;     ///< In one save.
	std::size_t maxQueued = 20'000;     ///< Records that wait; the oldest go first.
	std::uint64_t firstSlot = 0;        ///< Start of the slots, which are used in turn.
	bool operator==(const StreamSaverConfig&) const = default;
};

/// Collects records of streams, and saves them in few writes: some nodes save, the others send them theirs.
class StreamSaver
{
public:
	StreamSaver(std::string _self, StreamSaverConfig _config);

	/// Sets the other live nodes.
	void setOthers(const std::vector<std::string>& _others);

	/// @returns Nodes that save, which is each node where there are few.
	[[nodiscard]] std::vector<std::string> savers() const;

	/// Adds a record, with the time point from which no client takes the stream up.
	void add(const StreamRecord& _record);

	/// @returns What has to be done now; nothing while a save is in progress.
	std::optional<StreamSave> next(Micros _now);

	/// Ends a save. If it has failed, its records are saved again.
	void onSaved(const SaveStreamRecords& _save, bool _succeeded, Micros _now);

private:
	std::vector<StreamRecord> take(Micros _now);

	std::string self;
	StreamSaverConfig config;
	std::vector<std::string> others;
	std::deque<StreamRecord> queued; ///< With time points.
	Micros nextSaveAt = 0;           ///< Time point.
	bool isSaving = false;
	std::size_t lastSlot;
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_STREAM_SAVER_H_HEADER_GUARD
