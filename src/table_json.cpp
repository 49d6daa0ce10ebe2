/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the JSON form of the table.

#include "table_json.h"

#include <absl/strings/str_cat.h>

namespace roadferry
{

namespace
{

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxTextLength = 200;
constexpr std::size_t kMaxRows = 200'000;
constexpr std::size_t kMaxChanges = 2'000;
constexpr std::size_t kMaxStages = 8;
constexpr std::int64_t kMaxExactInteger = 9'007'199'254'740'992;

QString toQString(std::string_view _text)
{
	return QString::fromUtf8(_text.data(), static_cast<qsizetype>(_text.size()));
}

qint64 toQInt64(std::uint64_t _number)
{
	return static_cast<qint64>(_number);
}

/// Reads a row without checking the limits of its values. The table checks them when it applies an edit, so that every
/// node reaches the same outcome.
std::optional<Row> readRow(JsonReader& _reader, RowKind _kind)
{
	const std::string name = _reader.text("name", kMaxNameLength);
	switch (_kind)
	{
	case RowKind::Workspace:
	{
		_reader.rejectUnknownFields({"kind", "name", "weight", "in_flight"});
		WorkspaceRow row;
		row.name = name;
		row.weight = _reader.numberOr("weight", row.weight);
		row.maxInFlight = _reader.integerOr("in_flight", 0, kMaxExactInteger, row.maxInFlight);
		return row;
	}
	case RowKind::Pipeline:
	{
		_reader.rejectUnknownFields({"kind", "name", "workspace", "stages", "deadline_ms", "urgent"});
		PipelineRow row;
		row.name = name;
		row.workspace = _reader.text("workspace", kMaxNameLength);
		row.stages = _reader.texts("stages", kMaxStages, kMaxNameLength);
		row.deadlineMs = _reader.integerOr("deadline_ms", 1, kMaxExactInteger, row.deadlineMs);
		row.urgent = _reader.booleanOr("urgent", row.urgent);
		return row;
	}
	case RowKind::Stage:
	{
		_reader.rejectUnknownFields({"kind", "name", "stage_kind", "pool", "repeatable", "attempts", "expected_ms"});
		StageRow row;
		row.name = name;
		const auto kind = stageKindOf(_reader.text("stage_kind", kMaxNameLength));
		if (!kind)
		{
			_reader.setError("stage_kind", "one of encoder, retriever, reranker, engine, service");
		}
		row.kind = kind.value_or(StageKind::Service);
		row.pool = _reader.text("pool", kMaxNameLength);
		row.repeatable = _reader.booleanOr("repeatable", row.repeatable);
		row.maxAttempts = _reader.integerOr("attempts", 1, kMaxExactInteger, row.maxAttempts);
		row.expectedMs = _reader.integerOr("expected_ms", 1, kMaxExactInteger, row.expectedMs);
		return row;
	}
	}
	return std::nullopt;
}

std::optional<RowKind> readKind(JsonReader& _reader)
{
	const auto kind = rowKindOf(_reader.text("kind", kMaxNameLength));
	if (!kind)
	{
		_reader.setError("kind", "one of workspace, pipeline, stage");
	}
	return kind;
}

absl::StatusOr<RowChange> changeFromJson(const QJsonObject& _object, const std::string& _path)
{
	JsonReader reader(_object, _path);
	reader.rejectUnknownFields({"kind", "name", "base", "row"});
	const auto kind = readKind(reader);
	RowChange change;
	change.key.kind = kind.value_or(RowKind::Workspace);
	change.key.name = reader.text("name", kMaxNameLength);
	change.baseRevision = static_cast<std::uint64_t>(reader.integerOr("base", 0, kMaxExactInteger, 0));
	if (!reader.status().ok() || _object.value("row").isNull() || _object.value("row").isUndefined())
	{
		return reader.status().ok() ? absl::StatusOr<RowChange>(change) : reader.status();
	}
	const QJsonObject rowObject = _object.value("row").toObject();
	JsonReader rowReader(rowObject, absl::StrCat(_path, "row."));
	change.row = readRow(rowReader, change.key.kind);
	return rowReader.status().ok() ? absl::StatusOr<RowChange>(change) : rowReader.status();
}

} // namespace

QJsonObject toJson(const Row& _row)
{
	QJsonObject object;
	object["kind"] = toQString(nameOf(keyOf(_row).kind));
	object["name"] = toQString(keyOf(_row).name);
	std::visit(
		Overloaded{
			[&](const WorkspaceRow& _typed)
			{
				object["weight"] = _typed.weight;
				object["in_flight"] = static_cast<qint64>(_typed.maxInFlight);
			},
			[&](const PipelineRow& _typed)
			{
				QJsonArray stages;
				for (const std::string& stage : _typed.stages)
				{
					stages.append(toQString(stage));
				}
				object["workspace"] = toQString(_typed.workspace);
				object["stages"] = stages;
				object["deadline_ms"] = static_cast<qint64>(_typed.deadlineMs);
				object["urgent"] = _typed.urgent;
			},
			[&](const StageRow& _typed)
			{
				object["stage_kind"] = toQString(nameOf(_typed.kind));
				object["pool"] = toQString(_typed.pool);
				object["repeatable"] = _typed.repeatable;
				object["attempts"] = static_cast<qint64>(_typed.maxAttempts);
				object["expected_ms"] = static_cast<qint64>(_typed.expectedMs);
			},
		},
		_row);
	return object;
}

QJsonObject toJson(const RowKey& _key)
{
	return QJsonObject{{"kind", toQString(nameOf(_key.kind))}, {"name", toQString(_key.name)}};
}

QJsonObject toJson(const TableEdit& _edit)
{
	QJsonArray changes;
	for (const RowChange& change : _edit.changes)
	{
		QJsonObject object = toJson(change.key);
		object["base"] = toQInt64(change.baseRevision);
		object["row"] = change.row ? QJsonValue(toJson(*change.row)) : QJsonValue(QJsonValue::Null);
		changes.append(object);
	}
	return QJsonObject{{"id", toQString(_edit.id)}, {"author", toQString(_edit.author)}, {"changes", changes}};
}

QJsonObject toJson(const TableSnapshot& _snapshot)
{
	QJsonArray rows;
	for (const auto& entry : _snapshot.rows)
	{
		QJsonObject object = toJson(entry.first);
		object["revision"] = toQInt64(entry.second.revision);
		object["row"] = entry.second.row ? QJsonValue(toJson(*entry.second.row)) : QJsonValue(QJsonValue::Null);
		rows.append(object);
	}
	return QJsonObject{{"offset", toQInt64(_snapshot.offset)}, {"rows", rows}};
}

QJsonObject toJson(const EditOutcome& _outcome)
{
	return std::visit(
		Overloaded{
			[](const EditAccepted& _typed) {
				return QJsonObject{{"result", "accepted"}, {"offset", toQInt64(_typed.offset)}};
			},
			[](const EditConflict& _typed)
			{
				const std::string message = absl::StrCat(std::string(nameOf(_typed.key.kind)), " ", _typed.key.name,
														 ": the edit was made on revision ", _typed.baseRevision,
														 ", the row is at revision ", _typed.currentRevision);
				return QJsonObject{{"result", "conflict"},
								   {"row", toJson(_typed.key)},
								   {"base", toQInt64(_typed.baseRevision)},
								   {"current", toQInt64(_typed.currentRevision)},
								   {"message", toQString(message)}};
			},
			[](const EditInvalid& _typed)
			{
				const std::string message = absl::StrCat(std::string(nameOf(_typed.key.kind)), " ", _typed.key.name,
														 ": ", _typed.field, ": must be ", _typed.requirement);
				return QJsonObject{{"result", "invalid"},
								   {"row", toJson(_typed.key)},
								   {"field", toQString(_typed.field)},
								   {"message", toQString(message)}};
			},
			[](const EditAlreadyApplied& _typed) {
				return QJsonObject{{"result", "already_applied"}, {"offset", toQInt64(_typed.tableOffset)}};
			},
		},
		_outcome);
}

QJsonObject toJson(const Outcome& _outcome)
{
	QJsonObject object;
	object["outcome"] = toQString(nameOf(_outcome.verdict));
	if (_outcome.verdict == Verdict::Answered)
	{
		return object;
	}
	object["reason"] = toQString(nameOf(_outcome.reason));
	object["repeat_safe"] = _outcome.repeatSafe;
	object["retry_after_ms"] = static_cast<qint64>(_outcome.retryAfter / kMillisecond);
	if (!_outcome.stage.empty())
	{
		object["stage"] = toQString(_outcome.stage);
	}
	return object;
}

absl::StatusOr<Row> rowFromJson(const QJsonObject& _object)
{
	JsonReader reader(_object);
	const auto kind = readKind(reader);
	std::optional<Row> row = kind ? readRow(reader, *kind) : std::nullopt;
	if (!reader.status().ok())
	{
		return reader.status();
	}
	return *row;
}

absl::StatusOr<TableEdit> editFromJson(const QJsonObject& _object)
{
	JsonReader reader(_object);
	reader.rejectUnknownFields({"id", "author", "changes", "type"});
	TableEdit edit;
	edit.id = reader.text("id", kMaxTextLength);
	edit.author = reader.textOr("author", kMaxTextLength, "");
	const std::vector<QJsonObject> changes = reader.objects("changes", kMaxChanges);
	if (!reader.status().ok())
	{
		return reader.status();
	}
	for (std::size_t index = 0; index < changes.size(); ++index)
	{
		auto change = changeFromJson(changes[index], absl::StrCat("changes[", index, "]."));
		if (!change.ok())
		{
			return change.status();
		}
		edit.changes.push_back(*std::move(change));
	}
	return edit;
}

absl::StatusOr<TableSnapshot> snapshotFromJson(const QJsonObject& _object)
{
	JsonReader reader(_object);
	TableSnapshot snapshot;
	snapshot.offset = static_cast<std::uint64_t>(reader.integerOr("offset", 0, kMaxExactInteger, 0));
	for (const QJsonObject& object : reader.objects("rows", kMaxRows))
	{
		JsonReader rowReader(object, "rows.");
		const auto kind = readKind(rowReader);
		const std::string name = rowReader.text("name", kMaxNameLength);
		StoredRow stored;
		stored.revision = static_cast<std::uint64_t>(rowReader.integerOr("revision", 0, kMaxExactInteger, 0));
		if (object.value("row").isObject() && kind)
		{
			const QJsonObject rowObject = object.value("row").toObject();
			JsonReader fields(rowObject, "rows.row.");
			stored.row = readRow(fields, *kind);
			if (!fields.status().ok())
			{
				return fields.status();
			}
		}
		if (!rowReader.status().ok())
		{
			return rowReader.status();
		}
		snapshot.rows.emplace(RowKey{*kind, name}, std::move(stored));
	}
	if (!reader.status().ok())
	{
		return reader.status();
	}
	return snapshot;
}

std::string recordToText(const LogRecord& _record)
{
	QJsonObject object = std::visit([](const auto& _typed) { return toJson(_typed); }, _record);
	object["type"] = std::holds_alternative<TableEdit>(_record) ? "edit" : "snapshot";
	return toText(object);
}

absl::StatusOr<LogRecord> recordFromText(const std::string& _text)
{
	auto object = parseObject(_text);
	if (!object.ok())
	{
		return object.status();
	}
	if (object->value("type").toString() == "snapshot")
	{
		auto snapshot = snapshotFromJson(*object);
		return snapshot.ok() ? absl::StatusOr<LogRecord>(*std::move(snapshot)) : snapshot.status();
	}
	auto edit = editFromJson(*object);
	return edit.ok() ? absl::StatusOr<LogRecord>(*std::move(edit)) : edit.status();
}

} // namespace roadferry
