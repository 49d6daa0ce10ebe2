/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the request timeline.

#include "log_timeline.h"

#include "json.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace roadferry
{

namespace
{

/// A parsed log line.
struct LogLine
{
	std::string time;
	std::string source; ///< Last word before the JSON object, such as the node's name.
	QJsonObject object;
};

std::string fieldOf(const QJsonObject& _object, const char* _name)
{
	return _object.value(QLatin1String(_name)).toVariant().toString().toStdString();
}

/// @returns Whether the line contains a JSON object.
bool parseLine(const std::string& _text, LogLine& _line)
{
	const std::size_t brace = _text.find('{');
	const auto object = brace == std::string::npos ? absl::StatusOr<QJsonObject>(absl::NotFoundError(""))
												   : parseObject(_text.substr(brace));
	if (!object.ok())
	{
		return false;
	}
	_line.object = *object;
	_line.time = fieldOf(*object, "time");
	const std::vector<std::string> words = absl::StrSplit(_text.substr(0, brace), ' ', absl::SkipEmpty());
	_line.source = words.empty() ? std::string() : words.back();
	return true;
}

/// @returns Key of a batch. Batch numbers are unique only per node, so the key includes the source of the line.
std::string batchKey(const LogLine& _line)
{
	return absl::StrCat(_line.source, "#", fieldOf(_line.object, "batch"));
}

std::string formatLine(const LogLine& _line)
{
	// Three of these are printed first; the other two are omitted.
	static const std::set<std::string> s_excludedFields = {"time", "part", "event", "level", "steady_ms"};
	std::string text = absl::StrCat(_line.time, " ", _line.source, " ", fieldOf(_line.object, "part"), "/",
									fieldOf(_line.object, "event"));
	for (auto entry = _line.object.begin(); entry != _line.object.end(); ++entry)
	{
		if (s_excludedFields.count(entry.key().toStdString()) == 0)
		{
			absl::StrAppend(&text, " ", entry.key().toStdString(), "=", fieldOf(_line.object, entry.key().toUtf8()));
		}
	}
	return text;
}

/// @returns Whether a line names a content or a part of prompts under which endpoints may have crashed.
bool namesCauseOfCrash(const std::string& _text)
{
	return absl::StrContains(_text, "\"content\"") || absl::StrContains(_text, "\"contents\"") ||
		   absl::StrContains(_text, "\"part_blocked\"") || absl::StrContains(_text, "\"part_cleared\"");
}

/// Adds the lines that name the content of a request or the blocked part of its prompt: other tries of the content,
/// crashes of endpoints under it, and verdicts on the part.
void addLinesOfCause(const std::vector<std::string>& _candidates, std::vector<LogLine>& _lines)
{
	std::set<std::string> causes;
	for (const LogLine& line : _lines)
	{
		causes.insert(fieldOf(line.object, "content"));
		causes.insert(fieldOf(line.object, "event") == "part_refused" ? fieldOf(line.object, "part_key")
																	  : std::string());
	}
	causes.erase(std::string());
	for (const std::string& text : _candidates)
	{
		const auto isNamed = [&](const std::string& _cause) { return absl::StrContains(text, _cause); };
		LogLine line;
		if (std::any_of(causes.begin(), causes.end(), isNamed) && parseLine(text, line))
		{
			_lines.push_back(std::move(line));
		}
	}
}

} // namespace

std::vector<std::string> buildTimeline(const std::string& _request, std::istream& _logs)
{
	std::vector<LogLine> lines;
	std::vector<std::string> causeLines; ///< Other lines that name a content or a part of prompts.
	std::set<std::string> batches;
	std::string text;
	while (std::getline(_logs, text))
	{
		LogLine line;
		const bool namesRequest = absl::StrContains(text, _request);
		if (!namesRequest && namesCauseOfCrash(text))
		{
			causeLines.push_back(text);
			continue;
		}
		if ((!namesRequest && !absl::StrContains(text, "\"batch\"")) || !parseLine(text, line))
		{
			continue;
		}
		if (line.object.contains("batch") && fieldOf(line.object, "event") == "batch_started")
		{
			// Batch numbers restart when a node restarts, so an earlier batch may have the same number.
			batches.erase(batchKey(line));
		}
		if (namesRequest && line.object.contains("batch"))
		{
			batches.insert(batchKey(line));
		}
		if (namesRequest || batches.count(batchKey(line)) > 0)
		{
			lines.push_back(std::move(line));
		}
	}
	addLinesOfCause(causeLines, lines);
	std::stable_sort(lines.begin(), lines.end(),
					 [](const LogLine& _left, const LogLine& _right) { return _left.time < _right.time; });
	std::vector<std::string> timeline;
	timeline.reserve(lines.size());
	for (const LogLine& line : lines)
	{
		timeline.push_back(formatLine(line));
	}
	return timeline;
}

} // namespace roadferry
