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

/// Whole numbers up to this are exact in JSON numbers.
constexpr double kExactInteger = 9'007'199'254'740'992.0;

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

void JsonReader::fault(const std::string& _name, const std::string& _limit)
{
	if (this->result.ok())
	{
		this->result = absl::InvalidArgumentError(absl::StrCat(this->path, _name, ": must be ", _limit));
	}
}

std::string JsonReader::text(const char* _name, std::size_t _limit)
{
	std::string value = this->textOr(_name, _limit, {});
	if (value.empty())
	{
		this->fault(_name, absl::StrCat("a text of 1 to ", _limit, " characters"));
	}
	return value;
}

std::string JsonReader::textOr(const char* _name, std::size_t _limit, std::string _default)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	if (value.isUndefined())
	{
		return _default;
	}
	std::string text = value.toString().toStdString();
	if (!value.isString() || text.size() > _limit)
	{
		this->fault(_name, absl::StrCat("a text of at most ", _limit, " characters"));
		return _default;
	}
	return text;
}

std::int64_t JsonReader::integerOr(const char* _name, std::int64_t _least, std::int64_t _most, std::int64_t _default)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	if (value.isUndefined())
	{
		return _default;
	}
	const double number = value.toDouble(std::nan(""));
	const bool whole = std::isfinite(number) && std::floor(number) == number && std::abs(number) <= kExactInteger;
	if (!whole || number < static_cast<double>(_least) || number > static_cast<double>(_most))
	{
		this->fault(_name, absl::StrCat("a whole number from ", _least, " to ", _most));
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
		this->fault(_name, "a number");
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
		this->fault(_name, "true or false");
	}
	return value.toBool(_default);
}

std::vector<std::string> JsonReader::texts(const char* _name, std::size_t _countLimit, std::size_t _limit)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	const QJsonArray array = value.toArray();
	const auto count = static_cast<std::size_t>(array.size());
	if (!value.isArray() || count > _countLimit)
	{
		this->fault(_name, absl::StrCat("a list of at most ", _countLimit, " texts"));
		return {};
	}
	std::vector<std::string> result;
	for (const QJsonValue element : array)
	{
		const std::string text = element.toString().toStdString();
		if (!element.isString() || text.size() > _limit)
		{
			this->fault(_name, absl::StrCat("a list of texts of at most ", _limit, " characters"));
			return {};
		}
		result.push_back(text);
	}
	return result;
}

std::vector<QJsonObject> JsonReader::objects(const char* _name, std::size_t _countLimit)
{
	const QJsonValue value = this->object.value(QLatin1String(_name));
	const QJsonArray array = value.toArray();
	const bool onlyObjects =
		std::all_of(array.begin(), array.end(), [](const QJsonValue& _element) { return _element.isObject(); });
	if (!value.isArray() || !onlyObjects || static_cast<std::size_t>(array.size()) > _countLimit)
	{
		this->fault(_name, absl::StrCat("a list of at most ", _countLimit, " objects"));
		return {};
	}
	std::vector<QJsonObject> result;
	for (const QJsonValue element : array)
	{
		result.push_back(element.toObject());
	}
	return result;
}

void JsonReader::onlyFields(const std::vector<std::string>& _names)
{
	for (auto entry = this->object.begin(); entry != this->object.end(); ++entry)
	{
		const std::string name = entry.key().toStdString();
		if (std::find(_names.begin(), _names.end(), name) == _names.end())
		{
			this->fault(name, "left out: there is no such field here");
		}
	}
}

const absl::Status& JsonReader::status() const
{
	return this->result;
}

} // namespace roadferry
