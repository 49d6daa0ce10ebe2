/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the structured logs.

#include "logging.h"

#include "clock.h"
#include "json.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <QDateTime>

#include <algorithm>
#include <atomic>
#include <mutex>

namespace roadferry
{

namespace
{

constexpr int kQueueLines = 4'096;        ///< Capacity of the queue to the writer thread, in lines.
constexpr double kLinesPerSecond = 1'000; ///< Sustained rate; further lines are dropped and counted.
constexpr double kBurstLines = 3'000;     ///< Lines that may exceed the sustained rate in a burst.

/// Token bucket that limits the rate of log lines. Thread-safe.
class LineLimiter
{
public:
	/// Takes one token, if there is one.
	/// @returns Whether a line may be written.
	bool tryAcquire()
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		const Micros now = monotonicNow();
		const double elapsedSeconds = static_cast<double>(now - this->refilledAt) / static_cast<double>(kSecond);
		this->tokens = std::min(kBurstLines, this->tokens + elapsedSeconds * kLinesPerSecond);
		this->refilledAt = now;
		if (this->tokens < 1)
		{
			return false;
		}
		this->tokens -= 1;
		return true;
	}

private:
	std::mutex lock;
	Micros refilledAt = 0;
	double tokens = kBurstLines;
};

LineLimiter s_limiter;
std::atomic<std::uint64_t> s_droppedLines{0};
std::atomic<std::uint64_t> s_reportedDroppedLines{0};

QJsonObject makeLine(const std::string& _part, const char* _level)
{
	return QJsonObject{{"time", QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs)},
					   {"steady_ms", static_cast<qint64>(monotonicNow() / kMillisecond)},
					   {"level", QString::fromLatin1(_level)},
					   {"part", QString::fromStdString(_part)}};
}

/// Writes a line unless the rate limit drops it. Warnings and errors are exempt from the limit. The first line after a
/// drop contains the total number of dropped lines.
void writeLine(const log4cxx::LevelPtr& _level, QJsonObject _line)
{
	static const log4cxx::LoggerPtr s_logger = log4cxx::Logger::getLogger("roadferry");
	const bool isImportant = _level->isGreaterOrEqual(log4cxx::Level::getWarn());
	if (!s_limiter.tryAcquire() && !isImportant)
	{
		s_droppedLines += 1;
		return;
	}
	const std::uint64_t dropped = s_droppedLines;
	if (dropped > s_reportedDroppedLines.exchange(dropped))
	{
		_line["lines_left_out"] = static_cast<qint64>(dropped);
	}
	s_logger->log(_level, toText(_line), LOG4CXX_LOCATION);
}

void writeMessage(const log4cxx::LevelPtr& _level, const char* _name, const std::string& _part,
				  const std::string& _message)
{
	QJsonObject line = makeLine(_part, _name);
	line["message"] = QString::fromStdString(_message);
	writeLine(_level, std::move(line));
}

QJsonValue toJson(const LogValue& _value)
{
	return std::visit(
		[](const auto& _typed) -> QJsonValue
		{
			using Type = std::decay_t<decltype(_typed)>;
			if constexpr (std::is_same_v<Type, std::string>)
			{
				return QString::fromStdString(_typed);
			}
			else if constexpr (std::is_same_v<Type, bool>)
			{
				return _typed;
			}
			else
			{
				return static_cast<qint64>(_typed);
			}
		},
		_value);
}

} // namespace

void startLogging(LogStream _stream)
{
	const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
	const auto target = _stream == LogStream::Output ? log4cxx::ConsoleAppender::getSystemOut()
													 : log4cxx::ConsoleAppender::getSystemErr();
	const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
	const auto queue = std::make_shared<log4cxx::AsyncAppender>();
	queue->setBufferSize(kQueueLines);
	queue->setBlocking(false);
	queue->addAppender(console);
	log4cxx::BasicConfigurator::configure(queue);
	log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

std::uint64_t droppedLogLines()
{
	return s_droppedLines;
}

void logEvent(const std::string& _part, const std::string& _event, const std::vector<LogField>& _fields)
{
	QJsonObject line = makeLine(_part, "info");
	line["event"] = QString::fromStdString(_event);
	for (const LogField& field : _fields)
	{
		line[QString::fromStdString(field.name)] = toJson(field.value);
	}
	writeLine(log4cxx::Level::getInfo(), std::move(line));
}

void logInfo(const std::string& _part, const std::string& _message)
{
	writeMessage(log4cxx::Level::getInfo(), "info", _part, _message);
}

void logWarning(const std::string& _part, const std::string& _message)
{
	writeMessage(log4cxx::Level::getWarn(), "warning", _part, _message);
}

void logError(const std::string& _part, const std::string& _message)
{
	writeMessage(log4cxx::Level::getError(), "error", _part, _message);
}

} // namespace roadferry
