/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferry: the operator's command-line tool.

#include "http_types.h"
#include "log_timeline.h"
#include "row_csv.h"
#include "settings.h"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>
#include <QUrl>
#include <QUuid>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(node, "", "IP:port of any daemon (also ROADFERRY_NODE)");
DEFINE_string(credential, "", "operator's credential (also ROADFERRY_CREDENTIAL, which process lists do not show)");
DEFINE_bool(json, false, "print JSON instead of columns");

namespace
{

using namespace roadferry;

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;        ///< The request was refused (conflict or broken limit), or the input is invalid.
constexpr int kExitUsage = 2;          ///< The command line is invalid.
constexpr int kExitUnreachable = 3;    ///< The daemon did not respond, or not with a whole response.
constexpr int kExitOutcomeUnknown = 4; ///< The outcome of an edit is unknown; it may take effect later.
constexpr int kExitDiffers = 5;        ///< "table diff" found differences.
constexpr int kTimeoutMs = 15'000;
constexpr int kWatchPeriodMs = 500;
constexpr unsigned kHttpOutcomeUnknown = 504; ///< HTTP status of an edit whose outcome is unknown.

constexpr const char* kHelp = R"(roadferry [--node=IP:PORT] [--credential=...] [--json] COMMAND

  table get              rows in force, as CSV (kind,name,field,value)
  table diff FILE        changes that table set FILE would make; exits with 5 if there are any
  table set FILE         apply the rows of FILE (CSV, or an edit in JSON) as one edit
  table delete KIND NAME delete one row
  table history          latest edits: offset, author, outcome, rows
  table watch            print each new edit until interrupted
  pipelines              pipelines with stages, deadline and workspace
  endpoints              endpoints with pool, load and state
  status                 state of the node: table, membership, shares, requests
  drain                  start a planned stop of the node
  explain REQUEST        outcome of a request, by its ticket
  explain logs ID        timeline of a forwarded request, from log lines of the nodes on standard input
  settings check         check the daemon's settings from flags, environment and settings file

exit codes: 0 success, 1 refused, 2 usage, 3 daemon unreachable, 4 outcome of an edit unknown, 5 changes found
)";

/// Response of the daemon.
struct Reply
{
	unsigned status = 0; ///< HTTP status; 0 when the daemon is unreachable or its response is broken.
	QJsonObject json;
	std::string text;
};

/// @returns The value of a flag, or that of an environment variable when the flag is empty.
std::string flagOrEnvironment(const std::string& _flag, const char* _variable)
{
	const char* value = std::getenv(_variable);
	return _flag.empty() && value != nullptr ? value : _flag;
}

/// @returns Whether all of a response arrived, with a status that can be one.
bool isWhole(const QNetworkReply& _reply)
{
	const QNetworkReply::NetworkError error = _reply.error();
	const bool isCut = error != QNetworkReply::NoError && error < QNetworkReply::ProxyConnectionRefusedError;
	const unsigned status = _reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toUInt();
	return !isCut && error != QNetworkReply::ProtocolFailure && kindOfStatus(status) == StatusKind::Final;
}

/// Sends a request to the operator interface of the daemon and waits for the response.
Reply call(const char* _method, const std::string& _path, const std::string& _body = {})
{
	QNetworkAccessManager network;
	const std::string node = flagOrEnvironment(FLAGS_node, "ROADFERRY_NODE");
	QNetworkRequest request(QUrl(QString::fromStdString(absl::StrCat("http://", node, "/operator/", _path))));
	request.setTransferTimeout(kTimeoutMs);
	request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
	const std::string credential = flagOrEnvironment(FLAGS_credential, "ROADFERRY_CREDENTIAL");
	request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + credential));
	QNetworkReply* reply = network.sendCustomRequest(request, _method, QByteArray::fromStdString(_body));
	QEventLoop loop;
	QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
	loop.exec();
	Reply result;
	result.status = isWhole(*reply) ? reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toUInt() : 0;
	result.text = reply->readAll().toStdString();
	const auto object = parseObject(result.text);
	result.json = object.ok() ? *object : QJsonObject();
	if (result.status == 0)
	{
		std::cerr << "roadferry: " << node << ": no whole response: " << reply->errorString().toStdString()
				  << std::endl;
	}
	return result;
}

std::string messageOf(const Reply& _reply)
{
	const QString direct = _reply.json["message"].toString();
	return (direct.isEmpty() ? _reply.json["error"]["message"].toString() : direct).toStdString();
}

/// @returns Exit code for a response. Prints the message of an error.
int exitCodeOf(const Reply& _reply)
{
	if (_reply.status == 0)
	{
		return kExitUnreachable;
	}
	if (_reply.status < 300)
	{
		return kExitOk;
	}
	std::cerr << "roadferry: " << messageOf(_reply) << std::endl;
	return _reply.status == kHttpOutcomeUnknown ? kExitOutcomeUnknown : kExitRefused;
}

/// Prints a list of objects in aligned columns.
void printColumns(const QJsonArray& _list, const std::vector<const char*>& _columns)
{
	std::vector<std::vector<std::string>> lines = {{_columns.begin(), _columns.end()}};
	for (const QJsonValue value : _list)
	{
		std::vector<std::string> cells;
		cells.reserve(_columns.size());
		for (const char* column : _columns)
		{
			cells.push_back(value[QLatin1String(column)].toVariant().toString().toStdString());
		}
		lines.push_back(std::move(cells));
	}
	std::vector<std::size_t> widths(_columns.size(), 0);
	for (const auto& cells : lines)
	{
		for (std::size_t index = 0; index < cells.size(); ++index)
		{
			widths[index] = std::max(widths[index], cells[index].size());
		}
	}
	for (const auto& cells : lines)
	{
		for (std::size_t index = 0; index < cells.size(); ++index)
		{
			std::cout << cells[index] << std::string(widths[index] - cells[index].size() + 2, ' ');
		}
		std::cout << "\n";
	}
}

/// @param[out] _exitCode Exit code for the response.
absl::StatusOr<TableSnapshot> readTable(int& _exitCode)
{
	const Reply reply = call("GET", "table");
	_exitCode = exitCodeOf(reply);
	return _exitCode == kExitOk ? snapshotFromJson(reply.json) : absl::UnavailableError("table could not be read");
}

/// Reads an edit from a file.
/// @param[in] _file Edit in JSON if the name ends in .json, otherwise rows in CSV.
/// @param[in] _table Current table, which the rows of a CSV file are compared with.
absl::StatusOr<TableEdit> readEdit(const std::string& _file, const TableSnapshot& _table)
{
	std::ifstream stream(_file);
	if (!stream)
	{
		return absl::NotFoundError(absl::StrCat(_file, ": cannot be read"));
	}
	std::stringstream text;
	text << stream.rdbuf();
	const std::string id = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
	if (_file.size() > 5 && _file.substr(_file.size() - 5) == ".json")
	{
		auto object = parseObject(text.str());
		return object.ok() ? editFromJson(*object) : object.status();
	}
	const auto rows = rowsFromCsv(text.str());
	return rows.ok() ? absl::StatusOr<TableEdit>(makeEdit(_table, *rows, id)) : rows.status();
}

/// Prints the fields that a change of a row modifies.
void printChange(const TableSnapshot& _table, const RowChange& _change)
{
	const auto found = _table.rows.find(_change.key);
	const bool isPresent = found != _table.rows.end() && found->second.row.has_value();
	const QJsonObject before = isPresent ? toJson(*found->second.row) : QJsonObject();
	const QJsonObject after = _change.row ? toJson(*_change.row) : QJsonObject();
	std::cout << nameOf(_change.key.kind) << " " << _change.key.name << ":";
	if (after.isEmpty())
	{
		std::cout << " deleted";
	}
	for (auto field = after.begin(); field != after.end(); ++field)
	{
		if (before.value(field.key()) != field.value())
		{
			const QJsonObject pair{{"from", before.value(field.key())}, {"to", field.value()}};
			std::cout << " " << field.key().toStdString() << " " << toText(pair);
		}
	}
	std::cout << "\n";
}

int printTable()
{
	const Reply reply = call("GET", "table");
	if (exitCodeOf(reply) != kExitOk)
	{
		return exitCodeOf(reply);
	}
	const auto table = snapshotFromJson(reply.json);
	std::cout << (FLAGS_json || !table.ok() ? reply.text + "\n" : rowsToCsv(*table));
	return kExitOk;
}

int sendEdit(const TableEdit& _edit)
{
	const Reply reply = call("POST", "table/edits", toText(toJson(_edit)));
	if (FLAGS_json)
	{
		std::cout << reply.text << "\n";
	}
	else if (reply.status == 200)
	{
		std::cout << "accepted at offset " << reply.json["offset"].toInteger() << ", " << _edit.changes.size()
				  << " rows\n";
	}
	else if (reply.status == kHttpOutcomeUnknown)
	{
		std::cout << "edit id " << _edit.id << "\n";
	}
	return exitCodeOf(reply);
}

/// @param[in] _send Whether to send the edit instead of printing its changes.
int diffOrSetTable(const std::string& _file, bool _send)
{
	int exitCode = kExitOk;
	const auto table = readTable(exitCode);
	if (!table.ok())
	{
		return exitCode;
	}
	const auto edit = readEdit(_file, *table);
	if (!edit.ok())
	{
		std::cerr << "roadferry: " << edit.status().message() << std::endl;
		return kExitRefused;
	}
	if (edit->changes.empty())
	{
		std::cout << "no change\n";
		return kExitOk;
	}
	if (_send)
	{
		return sendEdit(*edit);
	}
	for (const RowChange& change : edit->changes)
	{
		printChange(*table, change);
	}
	return kExitDiffers;
}

int deleteRow(const std::string& _kind, const std::string& _name)
{
	const auto kind = rowKindOf(_kind);
	int exitCode = kExitOk;
	const auto table = kind ? readTable(exitCode) : absl::InvalidArgumentError("");
	if (!kind || !table.ok())
	{
		std::cerr << "roadferry: KIND: must be workspace, pipeline or stage" << std::endl;
		return kind ? exitCode : kExitUsage;
	}
	const RowKey key{*kind, _name};
	const auto found = table->rows.find(key);
	TableEdit edit;
	edit.id = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
	edit.changes = {RowChange{key, found == table->rows.end() ? 0 : found->second.revision, std::nullopt}};
	return sendEdit(edit);
}

void printEdit(const QJsonValue& _edit)
{
	std::cout << _edit["offset"].toInteger() << "  " << _edit["author"].toString().toStdString() << "  "
			  << _edit["outcome"]["result"].toString().toStdString();
	const QJsonArray changes = _edit["changes"].toArray();
	for (const QJsonValue change : changes)
	{
		std::cout << "  " << change["kind"].toString().toStdString() << " " << change["name"].toString().toStdString();
	}
	std::cout << std::endl;
}

/// @param[in] _watch Whether to print new edits until the process is interrupted.
int printHistory(bool _watch)
{
	std::int64_t lastOffset = 0;
	while (true)
	{
		const Reply reply = call("GET", "table/history");
		if (exitCodeOf(reply) != kExitOk)
		{
			return exitCodeOf(reply);
		}
		const QJsonArray edits = reply.json["edits"].toArray();
		for (const QJsonValue edit : edits)
		{
			if (edit["offset"].toInteger() > lastOffset)
			{
				printEdit(edit);
				lastOffset = edit["offset"].toInteger();
			}
		}
		if (!_watch)
		{
			return kExitOk;
		}
		QEventLoop loop;
		QTimer::singleShot(kWatchPeriodMs, &loop, &QEventLoop::quit);
		loop.exec();
	}
}

int printPipelines()
{
	int exitCode = kExitOk;
	const auto table = readTable(exitCode);
	if (!table.ok())
	{
		return exitCode;
	}
	QJsonArray list;
	for (const auto& entry : table->rows)
	{
		if (entry.first.kind != RowKind::Pipeline || !entry.second.row)
		{
			continue;
		}
		QJsonObject object = toJson(*entry.second.row);
		QStringList stages;
		const QJsonArray names = object["stages"].toArray();
		for (const QJsonValue name : names)
		{
			stages.append(name.toString());
		}
		object["stages"] = stages.join(" > ");
		list.append(object);
	}
	printColumns(list, {"name", "workspace", "stages", "deadline_ms", "urgent"});
	return kExitOk;
}

/// Prints a resource of the operator interface.
/// @param[in] _list Name of the list to print as columns, or null to print JSON.
int printResource(const std::string& _path, const char* _list, const std::vector<const char*>& _columns)
{
	const Reply reply = call("GET", _path);
	if (exitCodeOf(reply) != kExitOk)
	{
		return exitCodeOf(reply);
	}
	if (FLAGS_json || _list == nullptr)
	{
		std::cout << QJsonDocument(reply.json).toJson(QJsonDocument::Indented).toStdString();
		return kExitOk;
	}
	printColumns(reply.json[QLatin1String(_list)].toArray(), _columns);
	return kExitOk;
}

int checkSettings()
{
	const auto settings = readSettings();
	if (!settings.ok())
	{
		std::cerr << settings.status().message() << std::endl;
		return kExitRefused;
	}
	std::cout << describeSettings();
	return kExitOk;
}

/// Prints the timeline of a request from the log lines on standard input.
int printTimeline(const std::string& _request)
{
	const std::vector<std::string> timeline = buildTimeline(_request, std::cin);
	for (const std::string& line : timeline)
	{
		std::cout << line << "\n";
	}
	if (timeline.empty())
	{
		std::cerr << "roadferry: no log line mentions " << _request << "\n";
		return kExitRefused;
	}
	return kExitOk;
}

int printUsage()
{
	std::cerr << kHelp;
	return kExitUsage;
}

int run(const std::vector<std::string>& _words)
{
	const auto is = [&](std::size_t _index, const char* _word)
	{ return _words.size() > _index && _words[_index] == _word; };
	if (is(0, "help") || is(0, "--help"))
	{
		std::cout << kHelp;
		return kExitOk;
	}
	if (is(0, "settings") && is(1, "check"))
	{
		return checkSettings();
	}
	if (is(0, "pipelines"))
	{
		return printPipelines();
	}
	if (is(0, "endpoints"))
	{
		return printResource("endpoints", "endpoints",
							 {"id", "pool", "failure_domain", "address", "slots", "own", "others", "state"});
	}
	if (is(0, "status"))
	{
		return printResource("status", nullptr, {});
	}
	if (is(0, "drain"))
	{
		return exitCodeOf(call("POST", "drain"));
	}
	if (is(0, "explain") && is(1, "logs") && _words.size() == 3)
	{
		return printTimeline(_words[2]);
	}
	if (is(0, "explain") && _words.size() == 2)
	{
		return printResource("requests/" + QUrl::toPercentEncoding(QString::fromStdString(_words[1])).toStdString(),
							 nullptr, {});
	}
	if (!is(0, "table") || _words.size() < 2)
	{
		return printUsage();
	}
	if (is(1, "get"))
	{
		return printTable();
	}
	if (is(1, "history") || is(1, "watch"))
	{
		return printHistory(is(1, "watch"));
	}
	if (is(1, "delete") && _words.size() == 4)
	{
		return deleteRow(_words[2], _words[3]);
	}
	if ((is(1, "set") || is(1, "diff")) && _words.size() == 3)
	{
		return diffOrSetTable(_words[2], is(1, "set"));
	}
	return printUsage();
}

} // namespace

int main(int _argc, char** _argv)
{
	gflags::SetUsageMessage(kHelp);
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	QCoreApplication application(_argc, _argv);
	return run(std::vector<std::string>(_argv + 1, _argv + _argc));
}
