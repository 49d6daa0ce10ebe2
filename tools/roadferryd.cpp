/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferryd: the daemon that runs on each entry VM.

#include "forward_node.h"
#include "logging.h"
#include "node.h"

#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <iostream>
#include <memory>
#include <sys/signalfd.h>
#include <unistd.h>

DEFINE_bool(check_settings, false, "check the settings, print them and exit");

namespace
{

constexpr int kExitInvalidSettings = 2;

/// Blocks SIGTERM and SIGINT, which start a planned stop, and SIGHUP, which reloads the settings, in all threads, and
/// ignores SIGPIPE. Must be called before any thread is started.
/// @returns File descriptor that becomes readable when one of them arrives.
int openSignalFd()
{
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, nullptr);
	std::signal(SIGPIPE, SIG_IGN);
	return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

std::unique_ptr<roadferry::Daemon> makeDaemon(const roadferry::Settings& _settings)
{
	if (_settings.adapter.empty())
	{
		return std::make_unique<roadferry::Node>(_settings);
	}
	return std::make_unique<roadferry::ForwardNode>(_settings);
}

void handleSignals(roadferry::Daemon& _daemon, int _signalFd)
{
	signalfd_siginfo signal{};
	while (read(_signalFd, &signal, sizeof(signal)) == static_cast<ssize_t>(sizeof(signal)))
	{
		if (signal.ssi_signo == SIGHUP)
		{
			_daemon.reload();
			continue;
		}
		_daemon.drain();
	}
}

int run(const roadferry::Settings& _settings, int _signalFd)
{
	const std::unique_ptr<roadferry::Daemon> daemon = makeDaemon(_settings);
	const absl::Status status = daemon->start([] { QCoreApplication::quit(); });
	if (!status.ok())
	{
		std::cerr << "roadferryd: " << status.message() << std::endl;
		return 1;
	}
	QSocketNotifier notifier(_signalFd, QSocketNotifier::Read);
	QObject::connect(&notifier, &QSocketNotifier::activated, [&] { handleSignals(*daemon, _signalFd); });
	if (_settings.adapter.empty())
	{
		std::cout << "listening " << daemon->callerAddress() << " peer " << daemon->peerAddress() << std::endl;
	}
	return QCoreApplication::exec();
}

} // namespace

int main(int _argc, char** _argv)
{
	const int signalFd = openSignalFd();
	gflags::SetUsageMessage("serves multi-stage model pipelines; one daemon runs on each entry VM");
	gflags::SetVersionString("0.1.0");
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	const auto settings = roadferry::readSettings();
	const bool isForwarding = settings.ok() && !settings->adapter.empty();
	roadferry::startLogging(isForwarding ? roadferry::LogStream::Output : roadferry::LogStream::Error);
	if (!settings.ok())
	{
		std::cerr << settings.status().message() << std::endl;
		return kExitInvalidSettings;
	}
	if (FLAGS_check_settings)
	{
		std::cout << roadferry::describeSettings();
		return 0;
	}
	QCoreApplication application(_argc, _argv);
	return run(*settings, signalFd);
}
