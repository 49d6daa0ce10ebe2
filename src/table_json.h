/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// JSON form of rows, edits and snapshots, as used on the log, in the API for operators and by the command-line tool.

#ifndef ROADFERRY_TABLE_JSON_H_HEADER_GUARD
#define ROADFERRY_TABLE_JSON_H_HEADER_GUARD

#include "json.h"

#include <roadferry/roadferry.h>

namespace roadferry
{

QJsonObject toJson(const Row& _row);
QJsonObject toJson(const RowKey& _key);
QJsonObject toJson(const TableEdit& _edit);
QJsonObject toJson(const TableSnapshot& _snapshot);
QJsonObject toJson(const EditOutcome& _outcome);
QJsonObject toJson(const Outcome& _outcome);

/// Parse one object each.
/// @returns The value, or InvalidArgument that names the invalid field.
absl::StatusOr<Row> rowFromJson(const QJsonObject& _object);
absl::StatusOr<TableEdit> editFromJson(const QJsonObject& _object);
absl::StatusOr<TableSnapshot> snapshotFromJson(const QJsonObject& _object);

/// Text form of a record on the log.
std::string recordToText(const LogRecord& _record);
absl::StatusOr<LogRecord> recordFromText(const std::string& _text);

} // namespace roadferry

#endif // ROADFERRY_TABLE_JSON_H_HEADER_GUARD
