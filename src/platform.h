/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// HTTP client for the platform's log service and VM list, and for endpoints' load reports. Runs on the control thread.

#ifndef ROADFERRY_PLATFORM_H_HEADER_GUARD
#define ROADFERRY_PLATFORM_H_HEADER_GUARD

#include <roadferry/roadferry.h>

#include <QNetworkAccessManager>

#include <functional>

namespace roadferry
{

/// Records read from the log.
struct LogPage
{
	std::uint64_t oldestOffset = 0; ///< Offset of the oldest record that the log still holds.
	std::uint64_t nextOffset = 0;   ///< Offset that the next appended record will get.
	std::vector<LogEntry> entries;
};

/// The VM list, split by role.
struct VmList
{
	std::vector<Endpoint> endpoints;
	std::vector<std::string> peers; ///< Addresses of the nodes.
	bool operator==(const VmList&) const = default;
};

/// Calls the platform and the endpoints. QNetworkAccessManager may send a call twice, which is safe for all calls here:
/// reads change nothing, and the table accepts only the first copy of an edit.
class Platform
{
public:
	Platform(std::string _logAddress, std::string _vmListAddress);

	/// Callbacks run on the control thread. They receive an error if no valid answer arrives.
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
