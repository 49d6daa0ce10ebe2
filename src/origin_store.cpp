/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of OriginStore.

#include "origin_store.h"

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
constexpr const char* kVersionsPrefix = "versions/"; ///< Followed by the pool.
constexpr const char* kRecordsPrefix = "origins/";   ///< Followed by the saver and the slot.

std::string toBytes(const QCborMap& _map)
{
	return QCborValue(_map).toCbor().toStdString();
}

void decodeEntry(const std::string& _key, CborReader& _reader, SavedOrigins& _saved)
{
	if (absl::StartsWith(_key, kVersionsPrefix))
	{
		const std::vector<std::string> versions = _reader.texts("versions");
		_saved.versions.push_back(
			SavedVersions{_key.substr(std::strlen(kVersionsPrefix)), {versions.begin(), versions.end()}});
	}
	else if (absl::StartsWith(_key, kRecordsPrefix))
	{
		const OriginRecords records = readOriginRecords(_reader);
		_saved.records.insert(_saved.records.end(), records.records.begin(), records.records.end());
	}
}

} // namespace

SavedOrigins decodeSavedOrigins(const std::map<std::string, std::string>& _entries)
{
	SavedOrigins saved;
	for (const auto& entry : _entries)
	{
		const QCborMap map = QCborValue::fromCbor(QByteArray::fromStdString(entry.second)).toMap();
		CborReader reader(map);
		SavedOrigins decoded;
		decodeEntry(entry.first, reader, decoded);
		if (!reader.status.ok())
		{
			logWarning("origins", absl::StrCat(entry.first, ": ", std::string(reader.status.message())));
			continue;
		}
		saved.versions.insert(saved.versions.end(), decoded.versions.begin(), decoded.versions.end());
		saved.records.insert(saved.records.end(), decoded.records.begin(), decoded.records.end());
	}
	return saved;
}

OriginStore::OriginStore(PersistentMap& _map, OriginStoreHandlers _handlers)
	: map(_map), handlers(std::move(_handlers)), retryMs(kFirstRetryMs)
{
	this->retryTimer.setSingleShot(true);
	QObject::connect(&this->retryTimer, &QTimer::timeout, [this] { this->load(); });
}

void OriginStore::load()
{
	this->map.readAll([this](const absl::StatusOr<std::map<std::string, std::string>>& _entries)
					  { this->onRead(_entries); });
}

void OriginStore::onRead(const absl::StatusOr<std::map<std::string, std::string>>& _entries)
{
	if (!_entries.ok())
	{
		logEvent("origins", "load_failed", {{"error", std::string(_entries.status().message())}});
		this->retryTimer.start(this->retryMs);
		this->retryMs = std::min(2 * this->retryMs, kMaxRetryMs);
		return;
	}
	const SavedOrigins saved = decodeSavedOrigins(*_entries);
	logEvent("origins", "loaded", {{"pools", saved.versions.size()}, {"streams", saved.records.size()}});
	this->handlers.onLoaded(saved);
}

void OriginStore::save(const SavedVersions& _versions)
{
	const QCborMap value{{"versions", toCborArray({_versions.versions.begin(), _versions.versions.end()})}};
	this->map.write(absl::StrCat(kVersionsPrefix, _versions.pool), toBytes(value),
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
	this->map.write(key, toBytes(toCbor(OriginRecords{_records.records, false})),
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
