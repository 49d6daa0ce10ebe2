/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferry: the operator's command line.

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
DEFINE_string(credential, "",
			  "operator's credential (also ROADFERRY_CREDENTIAL, which does not show in process lists)");
DEFINE_bool(json, false, "print JSON instead of columns");

namespace
{

using namespace roadferry;

constexpr int kOk = 0;
constexpr int kRefused = 1; ///< The daemon refused: a conflict or a broken limit.
constexpr int kUsage = 2;
constexpr int kUnreachable = 3;
constexpr int kUnknown = 4; ///< The edit may take effect later.
constexpr int kDiffers = 5; ///< table diff found differences.
constexpr int kTimeoutMs = 15'000;
constexpr int kWatchMs = 500;
constexpr unsigned kStatusUnknown = 504;

constexpr const char* kHelp = R"(roadferry [--node=IP:PORT] [--credential=...] [--json] COMMAND

  table get              rows in force, as CSV (kind,name,field,value)
  table diff FILE        what would change if FILE were set; exits with 5 when something would
  table set FILE         set the rows of FILE (CSV or JSON edit) as one edit
  table delete KIND NAME delete one row
  table history          the latest edits: offset, author, outcome, rows
  table watch            print each new edit until interrupted
  pipelines              pipelines with stages, deadline and workspace
  endpoints              endpoints with pool, load and state
  status                 the node: table, membership, shares, requests
  drain                  planned stop of that node
  explain REQUEST        what happened to a request, by its ticket
  explain logs ID        the timeline of a forwarded request, from the nodes' log lines on standard input
  settings check         check the daemon's settings given by flags and environment

exit codes: 0 done, 1 refused, 2 usage, 3 daemon not reached, 4 outcome of an edit unknown, 5 table diff found changes
)";

struct Reply
{
	unsigned status = 0; ///< 0 when the daemon was not reached.
	QJsonObject json;
	std::string text;
};

std::string settingOr(const std::string& _flag, const char* _variable)
{
	const char* value = std::getenv(_variable);
	return _flag.empty() && value != nullptr ? value : _flag;
}

Reply call(const char* _method, const std::string& _path, const std::string& _body = {})
{
	QNetworkAccessManager network;
	const std::string node = settingOr(FLAGS_node, "ROADFERRY_NODE");
	QNetworkRequest request(QUrl(QString::fromStdString(absl::StrCat("http://", node, "/operator/", _path))));
	request.setTransferTimeout(kTimeoutMs);
	request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
	const std::string credential = settingOr(FLAGS_credential, "ROADFERRY_CREDENTIAL");
	request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + credential));
	QNetworkReply* reply = network.sendCustomRequest(request, _method, QByteArray::fromStdString(_body));
	QEventLoop loop;
	QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
	loop.exec();
	Reply result;
	result.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toUInt();
	result.text = reply->readAll().toStdString();
	const auto object = parseObject(result.text);
	result.json = object.ok() ? *object : QJsonObject();
	if (result.status == 0)
	{
		std::cerr << "roadferry: " << node << ": " << reply->errorString().toStdString() << std::endl;
	}
	return result;
}

std::string messageOf(const Reply& _reply)
{
	const QString direct = _reply.json["message"].toString();
	return (direct.isEmpty() ? _reply.json["error"]["message"].toString() : direct).toStdString();
}

int exitOf(const Reply& _reply)
{
	if (_reply.status == 0)
	{
		return kUnreachable;
	}
	if (_reply.status < 300)
	{
		return kOk;
	}
	std::cerr << "roadferry: " << messageOf(_reply) << std::endl;
	return _reply.status == kStatusUnknown ? kUnknown : kRefused;
}

/// Prints a list of objects as aligned columns.
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

absl::StatusOr<TableSnapshot> readTable(int& _exit)
{
	const Reply reply = call("GET", "table");
	_exit = exitOf(reply);
	return _exit == kOk ? snapshotFromJson(reply.json) : absl::UnavailableError("table not read");
}

/// The edit that a file stands for, against the table as it is.
absl::StatusOr<TableEdit> editOfFile(const std::string& _file, const TableSnapshot& _table)
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

void printChange(const TableSnapshot& _table, const RowChange& _change)
{
	const auto found = _table.rows.find(_change.key);
	const bool there = found != _table.rows.end() && found->second.row.has_value();
	const QJsonObject before = there ? toJson(*found->second.row) : QJsonObject();
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

int tableGet()
{
	const Reply reply = call("GET", "table");
	if (exitOf(reply) != kOk)
	{
		return exitOf(reply);
	}
	const auto table = snapshotFromJson(reply.json);
	std::cout << (FLAGS_json || !table.ok() ? reply.text + "\n" : rowsToCsv(*table));
	return kOk;
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
	else if (reply.status == kStatusUnknown)
	{
		std::cout << "edit id " << _edit.id << "\n";
	}
	return exitOf(reply);
}

int tableFile(const std::string& _file, bool _send)
{
	int code = kOk;
	const auto table = readTable(code);
	if (!table.ok())
	{
		return code;
	}
	const auto edit = editOfFile(_file, *table);
	if (!edit.ok())
	{
		std::cerr << "roadferry: " << edit.status().message() << std::endl;
		return kRefused;
	}
	if (edit->changes.empty())
	{
		std::cout << "no change\n";
		return kOk;
	}
	if (_send)
	{
		return sendEdit(*edit);
	}
	for (const RowChange& change : edit->changes)
	{
		printChange(*table, change);
	}
	return kDiffers;
}

int tableDelete(const std::string& _kind, const std::string& _name)
{
	const auto kind = rowKindOf(_kind);
	int code = kOk;
	const auto table = kind ? readTable(code) : absl::InvalidArgumentError("");
	if (!kind || !table.ok())
	{
		std::cerr << "roadferry: KIND: must be workspace, pipeline or stage" << std::endl;
		return kind ? code : kUsage;
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

/// @param[in] _watch Whether to go on for ever.
int tableHistory(bool _watch)
{
	std::int64_t seen = 0;
	while (true)
	{
		const Reply reply = call("GET", "table/history");
		if (exitOf(reply) != kOk)
		{
			return exitOf(reply);
		}
		const QJsonArray edits = reply.json["edits"].toArray();
		for (const QJsonValue edit : edits)
		{
			if (edit["offset"].toInteger() > seen)
			{
				printEdit(edit);
				seen = edit["offset"].toInteger();
			}
		}
		if (!_watch)
		{
			return kOk;
		}
		QEventLoop loop;
		QTimer::singleShot(kWatchMs, &loop, &QEventLoop::quit);
		loop.exec();
	}
}

int pipelines()
{
	int code = kOk;
	const auto table = readTable(code);
	if (!table.ok())
	{
		return code;
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
	return kOk;
}

int show(const std::string& _path, const char* _list, const std::vector<const char*>& _columns)
{
	const Reply reply = call("GET", _path);
	if (exitOf(reply) != kOk)
	{
		return exitOf(reply);
	}
	if (FLAGS_json || _list == nullptr)
	{
		std::cout << QJsonDocument(reply.json).toJson(QJsonDocument::Indented).toStdString();
		return kOk;
	}
	printColumns(reply.json[QLatin1String(_list)].toArray(), _columns);
	return kOk;
}

int settingsCheck()
{
	const auto settings = readSettings();
	if (!settings.ok())
	{
		std::cerr << settings.status().message() << std::endl;
		return kRefused;
	}
	std::cout << describeSettings();
	return kOk;
}

/// Joins the log lines on standard input into the timeline of one request.
int explainLogs(const std::string& _request)
{
	const std::vector<std::string> timeline = timelineOf(_request, std::cin);
	for (const std::string& line : timeline)
	{
		std::cout << line << "\n";
	}
	if (timeline.empty())
	{
		std::cerr << "roadferry: no line of the logs names " << _request << "\n";
		return kRefused;
	}
	return kOk;
}

int usage()
{
	std::cerr << kHelp;
	return kUsage;
}

int run(const std::vector<std::string>& _words)
{
	const auto is = [&](std::size_t _index, const char* _word)
	{ return _words.size() > _index && _words[_index] == _word; };
	if (is(0, "help") || is(0, "--help"))
	{
		std::cout << kHelp;
		return kOk;
	}
	if (is(0, "settings") && is(1, "check"))
	{
		return settingsCheck();
	}
	if (is(0, "pipelines"))
	{
		return pipelines();
	}
	if (is(0, "endpoints"))
	{
		return show("endpoints", "endpoints",
					{"id", "pool", "failure_domain", "address", "slots", "own", "others", "state"});
	}
	if (is(0, "status"))
	{
		return show("status", nullptr, {});
	}
	if (is(0, "drain"))
	{
		return exitOf(call("POST", "drain"));
	}
	if (is(0, "explain") && is(1, "logs") && _words.size() == 3)
	{
		return explainLogs(_words[2]);
	}
	if (is(0, "explain") && _words.size() == 2)
	{
		return show("requests/" + QUrl::toPercentEncoding(QString::fromStdString(_words[1])).toStdString(), nullptr,
					{});
	}
	if (!is(0, "table") || _words.size() < 2)
	{
		return usage();
	}
	if (is(1, "get"))
	{
		return tableGet();
	}
	if (is(1, "history") || is(1, "watch"))
	{
		return tableHistory(is(1, "watch"));
	}
	if (is(1, "delete") && _words.size() == 4)
	{
		return tableDelete(_words[2], _words[3]);
	}
	if ((is(1, "set") || is(1, "diff")) && _words.size() == 3)
	{
		return tableFile(_words[2], is(1, "set"));
	}
	return usage();
}

} // namespace

int main(int _argc, char** _argv)
{
	gflags::SetUsageMessage(kHelp);
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	QCoreApplication application(_argc, _argv);
	return run(std::vector<std::string>(_argv + 1, _argv + _argc));
}
