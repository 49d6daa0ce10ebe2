/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the CSV form of rows.

#include "row_csv.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace roadferry
{

namespace
{

constexpr const char* kHeader = "kind,name,field,value";

/// @returns Text of a JSON value for a cell; the elements of a list are separated by spaces.
std::string toCell(const QJsonValue& _value)
{
	if (_value.isArray())
	{
		std::vector<std::string> texts;
		const QJsonArray array = _value.toArray();
		for (const QJsonValue element : array)
		{
			texts.push_back(element.toString().toStdString());
		}
		return absl::StrJoin(texts, " ");
	}
	return _value.toVariant().toString().toStdString();
}

/// @returns JSON value of a cell: a list for the field stages, a number or a boolean if the text is one, otherwise
/// text.
QJsonValue parseCell(const std::string& _field, const std::string& _cell)
{
	if (_field == "stages")
	{
		QJsonArray array;
		for (const auto part : absl::StrSplit(_cell, ' ', absl::SkipEmpty()))
		{
			array.append(QString::fromStdString(std::string(part)));
		}
		return array;
	}
	double number = 0;
	if (absl::SimpleAtod(_cell, &number))
	{
		return number;
	}
	const std::string lower = absl::AsciiStrToLower(_cell);
	if (lower == "true" || lower == "false")
	{
		return lower == "true";
	}
	return QString::fromStdString(_cell);
}

} // namespace

std::string rowsToCsv(const TableSnapshot& _table)
{
	std::string text = absl::StrCat(kHeader, "\n");
	for (const auto& entry : _table.rows)
	{
		if (!entry.second.row)
		{
			continue;
		}
		const QJsonObject object = toJson(*entry.second.row);
		for (auto field = object.begin(); field != object.end(); ++field)
		{
			const std::string name = field.key().toStdString();
			if (name != "kind" && name != "name")
			{
				absl::StrAppend(&text, std::string(nameOf(entry.first.kind)), ",", entry.first.name, ",", name, ",",
								toCell(field.value()), "\n");
			}
		}
	}
	return text;
}

absl::StatusOr<std::vector<Row>> rowsFromCsv(const std::string& _text)
{
	std::map<RowKey, QJsonObject> objects;
	std::size_t lineNumber = 0;
	for (const auto rawLine : absl::StrSplit(_text, '\n'))
	{
		lineNumber += 1;
		const std::string line(absl::StripAsciiWhitespace(rawLine));
		if (line.empty() || line == kHeader)
		{
			continue;
		}
		const std::vector<std::string> cells = absl::StrSplit(line, absl::MaxSplits(',', 3));
		const auto kind = rowKindOf(cells[0]);
		if (cells.size() != 4 || !kind)
		{
			return absl::InvalidArgumentError(absl::StrCat(
				"line ", lineNumber, ": must be kind,name,field,value with the kind workspace, pipeline or stage"));
		}
		QJsonObject& object = objects[RowKey{*kind, cells[1]}];
		object["kind"] = QString::fromStdString(cells[0]);
		object["name"] = QString::fromStdString(cells[1]);
		object[QString::fromStdString(cells[2])] = parseCell(cells[2], cells[3]);
	}
	std::vector<Row> rows;
	for (const auto& entry : objects)
	{
		auto row = rowFromJson(entry.second);
		if (!row.ok())
		{
			return absl::InvalidArgumentError(absl::StrCat(std::string(nameOf(entry.first.kind)), " ", entry.first.name,
														   ": ", std::string(row.status().message())));
		}
		rows.push_back(*std::move(row));
	}
	return rows;
}

TableEdit makeEdit(const TableSnapshot& _table, const std::vector<Row>& _rows, const std::string& _id)
{
	TableEdit edit;
	edit.id = _id;
	for (const Row& row : _rows)
	{
		const RowKey key = keyOf(row);
		const auto found = _table.rows.find(key);
		if (found != _table.rows.end() && found->second.row == row)
		{
			continue;
		}
		const std::uint64_t base = found == _table.rows.end() ? 0 : found->second.revision;
		edit.changes.push_back(RowChange{key, base, row});
	}
	return edit;
}

} // namespace roadferry
