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

/// @param[in] _numbers Range of unsigned integers.
template<typename Numbers>
QCborArray numbersToCbor(const Numbers& _numbers)
{
	QCborArray array;
	for (const std::uint64_t number : _numbers)
	{
		array.append(static_cast<qint64>(number));
	}
	return array;
}

/// Reads fields and keeps the first error in its status.
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
			this->setError(_name, "a text string");
		}
		return value.toString().toStdString();
	}

	/// Request bodies are byte strings, since they need not be valid UTF-8.
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
			this->setError(_name, "an integer");
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
			this->setError(_name, "an array of text strings");
		}
		std::vector<std::string> result;
		const QCborArray array = value.toArray();
		for (const QCborValue element : array)
		{
			if (!element.isString())
			{
				this->setError(_name, "an array of text strings");
			}
			result.push_back(element.toString().toStdString());
		}
		return result;
	}

	std::vector<std::uint64_t> unsignedIntegers(const char* _name)
	{
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->setError(_name, "an array of integers");
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

	/// @returns The elements of an array, each an array of _length elements.
	std::vector<QCborArray> arrays(const char* _name, qsizetype _length)
	{
		std::vector<QCborArray> result;
		const QCborValue value = this->map.value(QLatin1String(_name));
		if (!value.isArray())
		{
			this->setError(_name, "an array of arrays");
		}
		const QCborArray outer = value.toArray();
		for (const QCborValue element : outer)
		{
			const QCborArray inner = element.toArray();
			if (inner.size() != _length)
			{
				this->setError(_name, "an array of arrays of the expected length");
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
			this->setError(_name, "a map of integers");
		}
		const QCborMap inner = value.toMap();
		for (const auto entry : inner)
		{
			result[entry.first.toString().toStdString()] = entry.second.toInteger();
		}
		return result;
	}

	/// @param[in] _count Number of values of the enumeration.
	/// @returns Numeric value of an enumeration, or 0 with an error if it is out of range.
	std::int64_t enumValue(const QCborValue& _value, std::int64_t _count, const char* _name)
	{
		const std::int64_t number = _value.toInteger(-1);
		if (number < 0 || number >= _count)
		{
			this->setError(_name, "a known enum value");
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
