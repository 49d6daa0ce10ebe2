/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Rows as CSV for spreadsheets: one line per field, with the columns kind, name, field, value.

#ifndef ROADFERRY_ROW_CSV_H_HEADER_GUARD
#define ROADFERRY_ROW_CSV_H_HEADER_GUARD

#include "table_json.h"

namespace roadferry
{

/// @returns All rows as CSV with a header line.
std::string rowsToCsv(const TableSnapshot& _table);

/// Parses rows from CSV. Missing optional fields have their defaults.
/// @returns The rows, or InvalidArgument that names the line or the row, and what is wrong with it.
absl::StatusOr<std::vector<Row>> rowsFromCsv(const std::string& _text);

/// Makes the edit that creates or changes the given rows. Equal rows are left out, and other rows of the table are not
/// changed.
/// @param[in] _id Id of the edit.
TableEdit makeEdit(const TableSnapshot& _table, const std::vector<Row>& _rows, const std::string& _id);

} // namespace roadferry

#endif // ROADFERRY_ROW_CSV_H_HEADER_GUARD
