/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Reads the fields of a CBOR map.

#ifndef ROADFERRY_CBOR_READER_H_HEADER_GUARD
#define ROADFERRY_CBOR_READER_H_HEADER_GUARD

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QString>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace roadferry
{

inline QString toQString(const std::string& _text)
{
	return QString::fromStdString(_text);
}

inline QCborArray toCborArray(const std::vector<std::string>& _texts)
{
	QCborArray array;
	for (const std::string& entry : _texts)
	{
		array.append(toQString(entry));
	}
	return array;
}

/// Reads fields; the first fault is kept.
class CborReader
{
public:
	explicit CborReader(const QCborMap& _map) : map(_map)
	{
	}

	std::string text(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isString())
		{
			this->setError(_name, "a text");
		}
		return value.toString().toStdString();
	}

	/// Bodies travel as bytes: they need not be valid UTF-8.
	std::string bytes(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isByteArray())
		{
			this->setError(_name, "bytes");
		}
		return value.toByteArray().toStdString();
	}

	std::int64_t integer(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isInteger())
		{
			this->setError(_name, "a whole number");
		}
		return value.toInteger();
	}

	QCborValue value(const char* _name)
	{
		return this->map.value(QLatin1String(_name));
	}

	std::uint64_t unsignedInteger(const char* _name)
	{
		return static_cast<std::uint64_t>(this->integer(_name));
	}

	std::vector<std::string> texts(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->setError(_name, "a list of texts");
		}
		std::vector<std::string> result;
		const QCborArray array = value.toArray();
		for (const QCborValue element : array)
		{
			result.push_back(element.toString().toStdString());
		}
		return result;
	}

	std::vector<std::uint64_t> unsignedIntegers(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->setError(_name, "a list of whole numbers");
		}
		std::vector<std::uint64_t> result;
		const QCborArray array = value.toArray();
		for (const QCborValue element : array)
		{
			result.push_back(static_cast<std::uint64_t>(element.toInteger()));
		}
		return result;
	}

	bool boolean(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isBool())
		{
			this->setError(_name, "true or false");
		}
		return value.toBool();
	}

	/// A list of lists of a certain length.
	std::vector<QCborArray> arrays(const char* _name, qsizetype _length)
	{
		std::vector<QCborArray> result;
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->setError(_name, "a list of lists");
		}
		const QCborArray outer = value.toArray();
		for (const QCborValue element : outer)
		{
			const QCborArray inner = element.toArray();
			if (inner.size() != _length)
			{
				this->setError(_name, "a list of lists of the right length");
				return {};
			}
			result.push_back(inner);
		}
		return result;
	}

	std::map<std::string, std::int64_t> integerMap(const char* _name)
	{
		std::map<std::string, std::int64_t> result;
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isMap())
		{
			this->setError(_name, "a map of whole numbers");
		}
		const QCborMap inner = value.toMap();
		for (const auto entry : inner)
		{
			result[entry.first.toString().toStdString()] = entry.second.toInteger();
		}
		return result;
	}

	/// A number that stands for one of an enumeration's values.
	std::int64_t enumValue(const QCborValue& _value, std::int64_t _count, const char* _name)
	{
		const std::int64_t number = _value.toInteger(-1);
		if (number < 0 || number >= _count)
		{
			this->setError(_name, "a known value");
			return 0;
		}
		return number;
	}

	void setError(const char* _name, const char* _requirement)
	{
		if (this->status.ok())
		{
			this->status =
				absl::InvalidArgumentError(absl::StrCat("peer message: ", _name, ": must be ", _requirement));
		}
	}

	absl::Status status;

private:
	const QCborMap& map;
};

} // namespace roadferry

#endif // ROADFERRY_CBOR_READER_H_HEADER_GUARD
