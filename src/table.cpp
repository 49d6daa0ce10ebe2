/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The table: limits of the rows' fields, and the application of edits to the rows.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <array>

namespace roadferry
{

namespace
{

constexpr std::size_t kMaxNameLength = 64;
constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 1'000.0;
constexpr std::int64_t kMaxInFlight = 10'000'000;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kMaxAttempts = 5;
constexpr std::int64_t kMaxExpectedMs = 600'000;
constexpr std::size_t kMaxStages = 8;
constexpr std::size_t kMaxChanges = 2'000;

constexpr std::array<std::string_view, 5> kStageKindNames = {"encoder", "retriever", "reranker", "engine", "service"};
constexpr std::array<std::string_view, 3> kRowKindNames = {"workspace", "pipeline", "stage"};

bool isNameCharacter(char _character)
{
	const bool letter = (_character >= 'a' && _character <= 'z') || (_character >= 'A' && _character <= 'Z');
	const bool digit = _character >= '0' && _character <= '9';
	return letter || digit || _character == '-' || _character == '_' || _character == '.';
}

bool isName(const std::string& _name)
{
	return !_name.empty() && _name.size() <= kMaxNameLength && std::all_of(_name.begin(), _name.end(), isNameCharacter);
}

EditInvalid invalid(const RowKey& _key, std::string _field, std::string _requirement)
{
	return EditInvalid{_key, std::move(_field), std::move(_requirement)};
}

constexpr const char* kNameRequirement = "1 to 64 characters out of letters, digits, '-', '_' and '.'";

std::optional<EditInvalid> checkWorkspace(const RowKey& _key, const WorkspaceRow& _row)
{
	if (!(_row.weight >= kMinWeight && _row.weight <= kMaxWeight))
	{
		return invalid(_key, "weight", "a number from 0.01 to 1000");
	}
	if (_row.maxInFlight < 0 || _row.maxInFlight > kMaxInFlight)
	{
		return invalid(_key, "in_flight", "a whole number from 0 (no limit) to 10000000");
	}
	return std::nullopt;
}

std::optional<EditInvalid> checkPipeline(const RowKey& _key, const PipelineRow& _row)
{
	if (!isName(_row.workspace))
	{
		return invalid(_key, "workspace", kNameRequirement);
	}
	if (_row.stages.empty() || _row.stages.size() > kMaxStages)
	{
		return invalid(_key, "stages", "a list of 1 to 8 stages");
	}
	if (!std::all_of(_row.stages.begin(), _row.stages.end(), isName))
	{
		return invalid(_key, "stages", kNameRequirement);
	}
	if (_row.deadlineMs < 1 || _row.deadlineMs > kMaxDeadlineMs)
	{
		return invalid(_key, "deadline_ms", "a whole number from 1 to 600000");
	}
	return std::nullopt;
}

std::optional<EditInvalid> checkStage(const RowKey& _key, const StageRow& _row)
{
	if (!isName(_row.pool))
	{
		return invalid(_key, "pool", kNameRequirement);
	}
	if (_row.maxAttempts < 1 || _row.maxAttempts > kMaxAttempts)
	{
		return invalid(_key, "attempts", "a whole number from 1 to 5");
	}
	if (_row.expectedMs < 1 || _row.expectedMs > kMaxExpectedMs)
	{
		return invalid(_key, "expected_ms", "a whole number from 1 to 600000");
	}
	return std::nullopt;
}

template<class RowType>
const RowType* findRow(const TableSnapshot& _state, RowKind _kind, const std::string& _name)
{
	const auto found = _state.rows.find(RowKey{_kind, _name});
	if (found == _state.rows.end() || !found->second.row.has_value())
	{
		return nullptr;
	}
	return std::get_if<RowType>(&*found->second.row);
}

std::uint64_t revisionOf(const TableSnapshot& _state, const RowKey& _key)
{
	const auto found = _state.rows.find(_key);
	return found == _state.rows.end() ? 0 : found->second.revision;
}

template<std::size_t Count>
std::optional<std::size_t> indexOf(const std::array<std::string_view, Count>& _names, std::string_view _name)
{
	const auto found = std::find(_names.begin(), _names.end(), _name);
	if (found == _names.end())
	{
		return std::nullopt;
	}
	return static_cast<std::size_t>(found - _names.begin());
}

} // namespace

std::string_view nameOf(StageKind _kind)
{
	return kStageKindNames.at(static_cast<std::size_t>(_kind));
}

std::string_view nameOf(RowKind _kind)
{
	return kRowKindNames.at(static_cast<std::size_t>(_kind));
}

std::optional<StageKind> stageKindOf(std::string_view _name)
{
	const auto index = indexOf(kStageKindNames, _name);
	return index ? std::optional(static_cast<StageKind>(*index)) : std::nullopt;
}

std::optional<RowKind> rowKindOf(std::string_view _name)
{
	const auto index = indexOf(kRowKindNames, _name);
	return index ? std::optional(static_cast<RowKind>(*index)) : std::nullopt;
}

RowKey keyOf(const Row& _row)
{
	const auto kind = static_cast<RowKind>(_row.index());
	return RowKey{kind, std::visit([](const auto& _typed) { return _typed.name; }, _row)};
}

std::optional<EditInvalid> checkRow(const RowKey& _key, const Row& _row)
{
	if (!isName(_key.name))
	{
		return invalid(_key, "name", kNameRequirement);
	}
	if (keyOf(_row) != _key)
	{
		return invalid(_key, "name", "the same kind and name in the row and in its key");
	}
	return std::visit(
		Overloaded{
			[&](const WorkspaceRow& _typed) { return checkWorkspace(_key, _typed); },
			[&](const PipelineRow& _typed) { return checkPipeline(_key, _typed); },
			[&](const StageRow& _typed) { return checkStage(_key, _typed); },
		},
		_row);
}

EditOutcome Table::check(const TableEdit& _edit) const
{
	if (_edit.changes.empty() || _edit.changes.size() > kMaxChanges)
	{
		return invalid(RowKey{}, "changes", "a list of 1 to 2000 rows");
	}
	std::set<RowKey> seen;
	for (const RowChange& change : _edit.changes)
	{
		if (!seen.insert(change.key).second)
		{
			return invalid(change.key, "changes", "each row at most once in an edit");
		}
		if (change.row.has_value())
		{
			if (auto error = checkRow(change.key, *change.row))
			{
				return *error;
			}
		}
		const std::uint64_t current = revisionOf(this->state, change.key);
		if (current != change.baseRevision)
		{
			return EditConflict{change.key, change.baseRevision, current};
		}
	}
	return EditAccepted{this->state.offset};
}

EditOutcome Table::apply(std::uint64_t _offset, const TableEdit& _edit)
{
	if (_offset <= this->state.offset)
	{
		return EditAlreadyApplied{this->state.offset};
	}
	EditOutcome outcome = this->check(_edit);
	this->state.offset = _offset;
	if (!std::holds_alternative<EditAccepted>(outcome))
	{
		return outcome;
	}
	for (const RowChange& change : _edit.changes)
	{
		this->state.rows[change.key] = StoredRow{_offset, change.row};
	}
	return EditAccepted{_offset};
}

void Table::skip(std::uint64_t _offset)
{
	this->state.offset = std::max(this->state.offset, _offset);
}

bool Table::installSnapshot(const TableSnapshot& _snapshot)
{
	if (_snapshot.offset <= this->state.offset)
	{
		return false;
	}
	this->state = _snapshot;
	return true;
}

const TableSnapshot& Table::snapshot() const
{
	return this->state;
}

const WorkspaceRow* Table::workspace(const std::string& _name) const
{
	return findRow<WorkspaceRow>(this->state, RowKind::Workspace, _name);
}

const PipelineRow* Table::pipeline(const std::string& _name) const
{
	return findRow<PipelineRow>(this->state, RowKind::Pipeline, _name);
}

const StageRow* Table::stage(const std::string& _name) const
{
	return findRow<StageRow>(this->state, RowKind::Stage, _name);
}

} // namespace roadferry
