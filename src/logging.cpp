/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of the logs.

#include "logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>

namespace roadferry
{

void startLogging()
{
	auto layout = std::make_shared<log4cxx::JSONLayout>();
	auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
	log4cxx::BasicConfigurator::configure(appender);
	log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void logInfo(const std::string& _part, const std::string& _message)
{
	LOG4CXX_INFO(log4cxx::Logger::getLogger(_part), _message);
}

void logWarning(const std::string& _part, const std::string& _message)
{
	LOG4CXX_WARN(log4cxx::Logger::getLogger(_part), _message);
}

void logError(const std::string& _part, const std::string& _message)
{
	LOG4CXX_ERROR(log4cxx::Logger::getLogger(_part), _message);
}

} // namespace roadferry
