/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferryd: the daemon of one entry VM.

#include "logging.h"
#include "node.h"

#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <iostream>
#include <sys/signalfd.h>

DEFINE_bool(check_settings, false, "check the settings, print them and end");

namespace
{

constexpr int kSettingsFault = 2;

/// Blocks the signals of a planned stop in all threads.
/// @returns Descriptor that becomes readable when one arrives.
int openSignals()
{
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, nullptr);
	std::signal(SIGPIPE, SIG_IGN);
	return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

int run(QCoreApplication& _application, const roadferry::Settings& _settings, int _signals)
{
	roadferry::Node node(_settings);
	const absl::Status status = node.start([&_application] { _application.quit(); });
	if (!status.ok())
	{
		std::cerr << "roadferryd: " << status.message() << std::endl;
		return 1;
	}
	QSocketNotifier notifier(_signals, QSocketNotifier::Read);
	QObject::connect(&notifier, &QSocketNotifier::activated,
					 [&node, &notifier]
					 {
						 notifier.setEnabled(false);
						 node.drain();
					 });
	std::cout << "listening " << node.callerAddress() << " peer " << node.peerAddress() << std::endl;
	return QCoreApplication::exec();
}

} // namespace

int main(int _argc, char** _argv)
{
	const int signals = openSignals();
	gflags::SetUsageMessage("serves multi-stage model pipelines; one daemon on each entry VM");
	gflags::SetVersionString("0.1.0");
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	roadferry::startLogging();
	const auto settings = roadferry::readSettings();
	if (!settings.ok())
	{
		std::cerr << settings.status().message() << std::endl;
		return kSettingsFault;
	}
	if (FLAGS_check_settings)
	{
		std::cout << roadferry::describeSettings();
		return 0;
	}
	QCoreApplication application(_argc, _argv);
	return run(application, *settings, signals);
}
