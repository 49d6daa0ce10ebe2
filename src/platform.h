/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// The platform's log service and VM list, over HTTP. Runs on the control thread.

#ifndef ROADFERRY_PLATFORM_H_HEADER_GUARD
#define ROADFERRY_PLATFORM_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <QNetworkAccessManager>

#include <functional>

namespace roadferry
{

/// Records as the log gave them.
struct LogPage
{
	std::uint64_t oldestOffset = 0; ///< Oldest record that is still held.
	std::uint64_t nextOffset = 0;   ///< Offset that the next append will get.
	std::vector<LogEntry> entries;
};

/// The VM list, sorted by what each VM does.
struct VmList
{
	std::vector<Endpoint> endpoints;
	std::vector<std::string> peers; ///< Addresses at which other nodes are reached.
	bool operator==(const VmList&) const = default;
};

/// Calls the platform. All calls may be sent twice without harm: reads change nothing, and of an edit's copies the
/// table takes the first only. QNetworkAccessManager is fit for them for that reason.
class Platform
{
public:
	Platform(std::string _logAddress, std::string _vmListAddress);

	/// Functions are called on the control thread; with an error when the platform does not answer well.
	void readLog(std::uint64_t _from, std::function<void(absl::StatusOr<LogPage>)> _callback);
	void append(const std::string& _record, std::function<void(absl::Status)> _callback);
	void readVmList(std::function<void(absl::StatusOr<VmList>)> _callback);
	void readLoad(const std::string& _address, std::function<void(absl::StatusOr<LoadReport>)> _callback);

private:
	using Callback = std::function<void(absl::StatusOr<std::string>)>;

	void get(const std::string& _url, Callback _callback);
	void onFinished(QNetworkReply* _reply, Callback _callback);

	std::string logAddress;
	std::string vmListAddress;
	QNetworkAccessManager network;
};

} // namespace roadferry

#endif // ROADFERRY_PLATFORM_H_HEADER_GUARD
