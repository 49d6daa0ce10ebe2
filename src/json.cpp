/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the JSON reader.

#include "json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace roadferry
{

namespace
{

/// 2^53: a double, and so a JSON number, represents all whole numbers up to this exactly.
constexpr double kMaxExactInteger = 9'007'199'254'740'992.0;

} // namespace

absl::StatusOr<QJsonObject> parseObject(const std::string& _text)
{
	QJsonParseError error;
	const QJsonDocument document =
		QJsonDocument::fromJson(QByteArray::fromRawData(_text.data(), static_cast<qsizetype>(_text.size())), &error);
	if (error.error != QJsonParseError::NoError)
	{
		return absl::InvalidArgumentError(
			absl::StrCat("body: not valid JSON at byte ", error.offset, ": ", error.errorString().toStdString()));
	}
	if (!document.isObject())
	{
		return absl::InvalidArgumentError("body: must be a JSON object");
	}
	return document.object();
}

std::string toText(const QJsonObject& _object)
{
	return QJsonDocument(_object).toJson(QJsonDocument::Compact).toStdString();
}

JsonReader::JsonReader(const QJsonObject& _object, std::string _path) : object(_object), path(std::move(_path))
{
}

void JsonReader::setError(const std::string& _name, const std::string& _requirement)
{
	if (this->result.ok())
	{
		this->result = absl::InvalidArgumentError(absl::StrCat(this->path, _name, ": must be ", _requirement));
	}
}

std::string JsonReader::text(const char* _name, std::size_t _maxLength)
{
	std::string value = this->textOr(_name, _maxLength, {});
	if (value.empty())
	{
		this->setError(_name, absl::StrCat("a text of 1 to ", _maxLength, " characters"));
	}
	return value;
}

std::string JsonReader::textOr(const char* _name, std::size_t _maxLength, std::string _default)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	if (value.isUndefined())
	{
		return _default;
	}
	std::string text = value.toString().toStdString();
	if (!value.isString() || text.size() > _maxLength)
	{
		this->setError(_name, absl::StrCat("a text of at most ", _maxLength, " characters"));
		return _default;
	}
	return text;
}

std::int64_t JsonReader::integerOr(const char* _name, std::int64_t _min, std::int64_t _max, std::int64_t _default)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	if (value.isUndefined())
	{
		return _default;
	}
	const double number = value.toDouble(std::nan(""));
	const bool isWhole = std::isfinite(number) && std::floor(number) == number && std::abs(number) <= kMaxExactInteger;
	if (!isWhole || number < static_cast<double>(_min) || number > static_cast<double>(_max))
	{
		this->setError(_name, absl::StrCat("a whole number from ", _min, " to ", _max));
		return _default;
	}
	return static_cast<std::int64_t>(number);
}

double JsonReader::numberOr(const char* _name, double _default)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	if (value.isUndefined())
	{
		return _default;
	}
	if (!value.isDouble())
	{
		this->setError(_name, "a number");
		return _default;
	}
	return value.toDouble();
}

bool JsonReader::booleanOr(const char* _name, bool _default)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	if (value.isUndefined())
	{
		return _default;
	}
	if (!value.isBool())
	{
		this->setError(_name, "true or false");
	}
	return value.toBool(_default);
}

std::vector<std::string> JsonReader::texts(const char* _name, std::size_t _maxCount, std::size_t _maxLength)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	const QJsonArray array = value.toArray();
	const auto count = static_cast<std::size_t>(array.size());
	if (!value.isArray() || count > _maxCount)
	{
		this->setError(_name, absl::StrCat("a list of at most ", _maxCount, " texts"));
		return {};
	}
	std::vector<std::string> result;
	for (const QJsonValue element : array)
	{
		const std::string text = element.toString().toStdString();
		if (!element.isString() || text.size() > _maxLength)
		{
			this->setError(_name, absl::StrCat("a list of texts of at most ", _maxLength, " characters"));
			return {};
		}
		result.push_back(text);
	}
	return result;
}

std::vector<QJsonObject> JsonReader::objects(const char* _name, std::size_t _maxCount)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	const QJsonArray array = value.toArray();
	const bool allObjects =
		std::all_of(array.begin(), array.end(), [](const QJsonValue& _element) { return _element.isObject(); });
	if (!value.isArray() || !allObjects || static_cast<std::size_t>(array.size()) > _maxCount)
	{
		this->setError(_name, absl::StrCat("a list of at most ", _maxCount, " objects"));
		return {};
	}
	std::vector<QJsonObject> result;
	for (const QJsonValue element : array)
	{
		result.push_back(element.toObject());
	}
	return result;
}

void JsonReader::rejectUnknownFields(const std::vector<std::string>& _names)
{
	for (auto entry = this->object.begin(); entry != this->object.end(); ++entry)
	{
		const std::string name = entry.key().toStdString();
		if (std::find(_names.begin(), _names.end(), name) == _names.end())
		{
			this->setError(name, "left out: there is no such field here");
		}
	}
}

const absl::Status& JsonReader::status() const
{
	return this->result;
}

} // namespace roadferry
