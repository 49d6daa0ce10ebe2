/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of OriginStore.

#include "origin_store.h"

#include "clock.h"
#include "logging.h"
#include "origin_messages.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <QCborValue>

#include <cstring>

namespace roadferry
{

namespace
{

constexpr int kFirstRetryMs = 100;
constexpr int kMaxRetryMs = 1'000;
constexpr Micros kShortestTimeout = 1'500 * kMillisecond; ///< Of a call to the platform.
constexpr Micros kLongestTimeout = 24 * kSecond;
constexpr const char* kVersionsPrefix = "versions/"; ///< Followed by the pool.
constexpr const char* kRecordsPrefix = "origins/";   ///< Followed by the saver and the slot.

std::string toBytes(const QCborMap& _map)
{
	return QCborValue(_map).toCbor().toStdString();
}

/// Appends what an entry says, unless it is of another kind.
void decodeEntry(const std::string& _key, CborReader& _reader, SavedOrigins& _saved)
{
	if (absl::StartsWith(_key, kVersionsPrefix))
	{
		const std::vector<std::string> versions = _reader.texts("versions");
		std::string pool = _key.substr(std::strlen(kVersionsPrefix));
		if (pool.empty())
		{
			_reader.setError("key", "followed by the name of a pool");
		}
		_saved.emplace_back(SavedVersions{std::move(pool), {versions.begin(), versions.end()}});
	}
	else if (absl::StartsWith(_key, kRecordsPrefix))
	{
		_saved.emplace_back(SavedStreams{readOriginRecords(_reader).records});
	}
}

void logLoaded(const SavedOrigins& _saved)
{
	std::size_t pools = 0;
	std::size_t streams = 0;
	for (const SavedEntry& entry : _saved)
	{
		std::visit(Overloaded{[&](const SavedVersions&) { pools += 1; },
							  [&](const SavedStreams& _streams) { streams += _streams.records.size(); }},
				   entry);
	}
	logEvent("origins", "loaded", {{"pools", pools}, {"streams", streams}});
}

} // namespace

SavedOrigins decodeSavedOrigins(const std::vector<PersistentEntry>& _entries)
{
	SavedOrigins saved;
	for (const PersistentEntry& entry : _entries)
	{
		const QCborMap map = QCborValue::fromCbor(QByteArray::fromStdString(entry.value)).toMap();
		CborReader reader(map);
		const std::size_t before = saved.size();
		decodeEntry(entry.key, reader, saved);
		if (!reader.status.ok())
		{
			logWarning("origins", absl::StrCat(entry.key, ": ", std::string(reader.status.message())));
			saved.resize(before);
		}
	}
	return saved;
}

OriginStore::OriginStore(PersistentMap& _map, OriginStoreHandlers _handlers)
	: map(_map), handlers(std::move(_handlers)), timeout(kShortestTimeout, kLongestTimeout), retryMs(kFirstRetryMs)
{
	this->retryTimer.setSingleShot(true);
	QObject::connect(&this->retryTimer, &QTimer::timeout, [this] { this->load(); });
}

void OriginStore::load()
{
	const StartedCall call = this->startCall();
	this->map.readAll(call.timeout,
					  [this, call](const absl::StatusOr<std::vector<PersistentEntry>>& _entries)
					  {
						  this->endCall(call, _entries.status());
						  this->onRead(_entries);
					  });
}

OriginStore::StartedCall OriginStore::startCall() const
{
	return StartedCall{monotonicNow(), this->timeout.current()};
}

void OriginStore::endCall(const StartedCall& _call, const absl::Status& _status)
{
	if (absl::IsDeadlineExceeded(_status))
	{
		this->timeout.onTimedOut(_call.timeout);
	}
	else if (_status.ok())
	{
		this->timeout.onAnswered(monotonicNow() - _call.startedAt);
	}
}

void OriginStore::write(const std::string& _key, const std::string& _value,
						std::function<void(const absl::Status&)> _done)
{
	const StartedCall call = this->startCall();
	this->map.write(_key, _value, call.timeout,
					[this, call, done = std::move(_done)](const absl::Status& _status)
					{
						this->endCall(call, _status);
						done(_status);
					});
}

void OriginStore::onRead(const absl::StatusOr<std::vector<PersistentEntry>>& _entries)
{
	if (!_entries.ok())
	{
		logEvent("origins", "load_failed", {{"error", std::string(_entries.status().message())}});
		this->retryTimer.start(this->retryMs);
		this->retryMs = std::min(2 * this->retryMs, kMaxRetryMs);
		return;
	}
	const SavedOrigins saved = decodeSavedOrigins(*_entries);
	logLoaded(saved);
	this->handlers.onLoaded(saved);
}

void OriginStore::save(const SavedVersions& _versions)
{
	const QCborMap value{{"versions", toCborArray({_versions.versions.begin(), _versions.versions.end()})}};
	this->write(absl::StrCat(kVersionsPrefix, _versions.pool), toBytes(value),
				[this, _versions](const absl::Status& _status)
				{
					logEvent("origins", "versions_saved",
							 {{"pool", _versions.pool},
							  {"versions", _versions.versions.size()},
							  {"error", std::string(_status.message())}});
					this->handlers.onVersionsSaved(_versions, _status.ok());
				});
}

void OriginStore::save(const SaveStreamRecords& _records)
{
	const std::string key = absl::StrCat(kRecordsPrefix, _records.saver, "/", _records.slot);
	this->write(key, toBytes(toCbor(OriginRecords{_records.records, false})),
				[this, _records](const absl::Status& _status)
				{
					if (!_status.ok())
					{
						logEvent("origins", "save_failed",
								 {{"streams", _records.records.size()}, {"error", std::string(_status.message())}});
					}
					this->handlers.onRecordsSaved(_records, _status.ok());
				});
}

} // namespace roadferry
