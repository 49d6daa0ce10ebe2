/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the form in which nodes pass records on.

#include "feed_record.h"

#include <QByteArray>
#include <QtEndian>

namespace roadferry
{

namespace
{

constexpr int kCompressionLevel = 1;                         ///< Compression level.
constexpr std::size_t kSizeHeaderBytes = 4;                  ///< Of the unpacked size, which stands first.
constexpr std::uint32_t kMaxUnpackedBytes = 8 * 1024 * 1024; ///< Bytes; the size is believed only up to here.

} // namespace

std::string packRecord(const std::string& _record)
{
	return qCompress(QByteArray::fromStdString(_record), kCompressionLevel).toStdString();
}

absl::StatusOr<std::string> unpackRecord(const std::string& _packed)
{
	if (_packed.size() < kSizeHeaderBytes || qFromBigEndian<quint32>(_packed.data()) > kMaxUnpackedBytes)
	{
		return absl::InvalidArgumentError("record: not packed, or larger than 8 MB");
	}
	const QByteArray record = qUncompress(QByteArray::fromStdString(_packed));
	if (record.isEmpty())
	{
		return absl::InvalidArgumentError("record: damaged");
	}
	return record.toStdString();
}

} // namespace roadferry
