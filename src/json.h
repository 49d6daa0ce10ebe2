/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Reading JSON that comes from outside: each fault names the field and the limit.

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

/// @returns The object, or InvalidArgument when the text is not one JSON object.
absl::StatusOr<QJsonObject> parseObject(const std::string& _text);

/// @returns The object as compact text.
std::string toText(const QJsonObject& _object);

/// Reads the fields of one object. The first fault is kept; later calls then return defaults.
class JsonReader
{
public:
	/// @param[in] _object The object; must outlive the reader.
	/// @param[in] _path Put before the names of fields in messages, for instance "row.".
	explicit JsonReader(const QJsonObject& _object, std::string _path = {});

	/// Field that must be there: text of 1 to _maxLength characters.
	std::string text(const char* _name, std::size_t _maxLength);

	/// Field that may be missing: text of at most _maxLength characters.
	std::string textOr(const char* _name, std::size_t _maxLength, std::string _default);

	/// Field that may be missing: whole number within the range.
	std::int64_t integerOr(const char* _name, std::int64_t _min, std::int64_t _max, std::int64_t _default);

	/// Field that may be missing: any finite number.
	double numberOr(const char* _name, double _default);

	bool booleanOr(const char* _name, bool _default);

	/// Field that must be there: list of texts.
	std::vector<std::string> texts(const char* _name, std::size_t _maxCount, std::size_t _maxLength);

	/// Field that must be there: list of objects.
	std::vector<QJsonObject> objects(const char* _name, std::size_t _maxCount);

	/// Records a fault of a field.
	void setError(const std::string& _name, const std::string& _requirement);

	/// Faults every field that is not among those named.
	void rejectUnknownFields(const std::vector<std::string>& _names);

	/// @returns Ok, or InvalidArgument with the first fault.
	[[nodiscard]] const absl::Status& status() const;

private:
	const QJsonObject& object;
	std::string path;
	absl::Status result;
};

} // namespace roadferry

#endif // ROADFERRY_JSON_H_HEADER_GUARD
