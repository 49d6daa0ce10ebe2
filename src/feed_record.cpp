/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the encoding of records.

#include "feed_record.h"

#include <QByteArray>
#include <QtEndian>

namespace roadferry
{

namespace
{

constexpr int kCompressionLevel = 1;                         ///< The fastest one.
constexpr std::size_t kSizeHeaderBytes = 4;                  ///< Size of the header that gives the size of the record.
constexpr std::uint32_t kMaxUnpackedBytes = 8 * 1024 * 1024; ///< Limits the memory allocated for a malformed header.

} // namespace

std::string packRecord(const std::string& _record)
{
	return qCompress(QByteArray::fromStdString(_record), kCompressionLevel).toStdString();
}

absl::StatusOr<std::string> unpackRecord(const std::string& _packed)
{
	if (_packed.size() < kSizeHeaderBytes || qFromBigEndian<quint32>(_packed.data()) > kMaxUnpackedBytes)
	{
		return absl::InvalidArgumentError("record: malformed header, or larger than 8 MiB");
	}
	const QByteArray record = qUncompress(QByteArray::fromStdString(_packed));
	if (record.isEmpty())
	{
		return absl::InvalidArgumentError("record: cannot be decompressed");
	}
	return record.toStdString();
}

} // namespace roadferry
