/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Parsing and validation of JSON from outside the process. Errors name the field and its requirement.

#ifndef ROADFERRY_JSON_H_HEADER_GUARD
#define ROADFERRY_JSON_H_HEADER_GUARD

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cstdint>
#include <string>
#include <vector>

namespace roadferry
{

/// @returns The object, or InvalidArgument if the text is not a JSON object.
absl::StatusOr<QJsonObject> parseObject(const std::string& _text);

/// @returns The object as compact text.
std::string toText(const QJsonObject& _object);

/// Reads the fields of one object. A field that is invalid reads as its default or empty; status() reports the first
/// error.
class JsonReader
{
public:
	/// @param[in] _object The object; must outlive the reader.
	/// @param[in] _path Prefix of field names in messages, for instance "row.".
	explicit JsonReader(const QJsonObject& _object, std::string _path = {});

	/// Reads a required text of 1 to _maxLength bytes in UTF-8.
	std::string text(const char* _name, std::size_t _maxLength);

	/// Reads an optional text of at most _maxLength bytes in UTF-8.
	std::string textOr(const char* _name, std::size_t _maxLength, std::string _default);

	/// Reads an optional whole number from _min to _max.
	std::int64_t integerOr(const char* _name, std::int64_t _min, std::int64_t _max, std::int64_t _default);

	/// Reads an optional finite number.
	double numberOr(const char* _name, double _default);

	/// Reads an optional boolean.
	bool booleanOr(const char* _name, bool _default);

	/// Reads a required list of at most _maxCount texts of at most _maxLength bytes each.
	std::vector<std::string> texts(const char* _name, std::size_t _maxCount, std::size_t _maxLength);

	/// Reads a required list of at most _maxCount objects.
	std::vector<QJsonObject> objects(const char* _name, std::size_t _maxCount);

	/// Records that a field is invalid, unless there is an error already.
	/// @param[in] _requirement Continues the sentence "must be".
	void setError(const std::string& _name, const std::string& _requirement);

	/// Records an error for a field that is not among _names.
	void rejectUnknownFields(const std::vector<std::string>& _names);

	/// @returns Ok, or InvalidArgument with the first error.
	[[nodiscard]] const absl::Status& status() const;

private:
	const QJsonObject& object;
	std::string path;
	absl::Status result;
};

} // namespace roadferry

#endif // ROADFERRY_JSON_H_HEADER_GUARD
