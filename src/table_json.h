/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// JSON form of rows, edits and snapshots: on the log, in the operators' interface and on the command line.

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

/// Reads a row; faults name the field.
absl::StatusOr<Row> rowFromJson(const QJsonObject& _object);
absl::StatusOr<TableEdit> editFromJson(const QJsonObject& _object);
absl::StatusOr<TableSnapshot> snapshotFromJson(const QJsonObject& _object);

/// Text of a record as it stands on the log.
std::string recordToText(const LogRecord& _record);
absl::StatusOr<LogRecord> recordFromText(const std::string& _text);

} // namespace roadferry

#endif // ROADFERRY_TABLE_JSON_H_HEADER_GUARD
