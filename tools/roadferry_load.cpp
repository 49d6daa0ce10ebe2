/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// roadferry-load: generates open-loop load from a workload file with seeded arrivals, and checks the outcomes that
/// callers receive against the ledgers of the endpoint stand-ins.

#include "http_client.h"
#include "json.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

DEFINE_string(target, "", "IP:port of the load balancer or of a daemon");
DEFINE_string(workloads, "", "JSON file with the workloads");
DEFINE_string(ledgers, "", "comma-separated addresses of the endpoint stand-ins whose ledgers are checked");
DEFINE_double(seconds, 10, "seconds during which requests are sent");
DEFINE_double(rate, 1, "factor on the rates of all workloads");
DEFINE_uint64(seed, 1, "random seed of the arrival times");
DEFINE_string(json, "", "JSON file to write the results to");
DEFINE_string(compare, "", "two comma-separated result files to print one after the other instead of sending load");

namespace
{

using namespace roadferry;
using Clock = std::chrono::steady_clock;

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kResponseGraceUs = 2'000'000; ///< Time after the deadline until an answer counts as lost.
constexpr std::size_t kMaxLength = 100;

/// One workload of the file.
struct Workload
{
	std::string name;
	std::string pipeline;
	std::string credential;
	double requestsPerSecond = 0;
	std::int64_t deadlineMs = 0;
	std::int64_t maxTokens = 0;
	bool atMostOnce = false; ///< Must not run twice: a ticket is fetched first.
};

/// A request in progress or ended.
struct Request
{
	const Workload* workload = nullptr;
	std::string marker;
	std::string body;
	Clock::time_point sentAt;
	double elapsedMs = 0;
	std::string outcome; ///< Outcome in the answer, or no_ticket, lost (no answer) or error (no outcome in the answer).
	bool isIntact = false;
};

/// Statistics of one workload.
struct WorkloadStats
{
	std::map<std::string, int> outcomes;
	int answeredInTime = 0;
	int offered = 0;
	std::vector<double> elapsedMs; ///< Latencies of answered requests.
	std::map<std::string, double> heldMsByStage;
};

absl::StatusOr<std::vector<Workload>> readWorkloads(const std::string& _file)
{
	std::ifstream stream(_file);
	std::stringstream text;
	text << stream.rdbuf();
	const auto object = parseObject(text.str());
	if (!object.ok())
	{
		return object.status();
	}
	JsonReader reader(*object);
	std::vector<Workload> result;
	for (const QJsonObject& entry : reader.objects("workloads", kMaxLength))
	{
		JsonReader fields(entry, "workloads.");
		Workload workload;
		workload.name = fields.text("name", kMaxLength);
		workload.pipeline = fields.text("pipeline", kMaxLength);
		workload.credential = fields.text("credential", kMaxLength);
		workload.requestsPerSecond = fields.numberOr("per_second", 1);
		workload.deadlineMs = fields.integerOr("deadline_ms", 1, 600'000, 3'000);
		workload.maxTokens = fields.integerOr("max_tokens", 0, 100'000, 0);
		workload.atMostOnce = fields.booleanOr("once", false);
		if (!fields.status().ok())
		{
			return fields.status();
		}
		result.push_back(std::move(workload));
	}
	return reader.status().ok() ? absl::StatusOr<std::vector<Workload>>(result) : reader.status();
}

class LoadGenerator
{
public:
	explicit LoadGenerator(const std::vector<Workload>& _workloads) : workloads(_workloads), pool(1), client(pool)
	{
	}

	~LoadGenerator()
	{
		this->pool.stop();
	}

	/// Sends all requests at their scheduled times, regardless of answers, and waits until all have ended.
	void run()
	{
		const auto begin = Clock::now();
		for (const auto& arrival : this->planArrivals())
		{
			std::this_thread::sleep_until(begin + std::chrono::microseconds(arrival.first));
			this->send(*arrival.second);
		}
		std::unique_lock<std::mutex> guard(this->lock);
		this->changed.wait(guard, [this] { return this->endedCount == this->requests.size(); });
	}

	/// Checks that answers are intact, that requests reported as not run did not run, and that no at-most-once request
	/// ran twice.
	/// @returns One message per breach.
	std::vector<std::string> findBreaches()
	{
		std::vector<std::string> breaches;
		const auto effects = this->countEffects();
		for (const auto& request : this->requests)
		{
			const auto found = effects.find(request->marker);
			const int count = found == effects.end() ? 0 : found->second;
			if (request->outcome == "answered" && !request->isIntact)
			{
				breaches.push_back(request->marker + ": answer incomplete or of another request");
			}
			if (request->outcome == "not_run" && count > 0)
			{
				breaches.push_back(request->marker + ": reported as not run, but ran");
			}
			if (request->workload->atMostOnce && count > 1)
			{
				breaches.push_back(absl::StrCat(request->marker, ": at-most-once request ran ", count, " times"));
			}
		}
		return breaches;
	}

	std::map<std::string, WorkloadStats> stats()
	{
		std::map<std::string, WorkloadStats> result;
		for (const auto& request : this->requests)
		{
			WorkloadStats& stats = result[request->workload->name];
			stats.offered += 1;
			stats.outcomes[request->outcome] += 1;
			if (request->outcome == "answered")
			{
				stats.elapsedMs.push_back(request->elapsedMs);
				stats.answeredInTime +=
					request->elapsedMs <= static_cast<double>(request->workload->deadlineMs) ? 1 : 0;
			}
		}
		for (const auto& entry : this->heldMs)
		{
			result[entry.first.first].heldMsByStage[entry.first.second] += entry.second;
		}
		return result;
	}

private:
	std::vector<std::pair<std::int64_t, const Workload*>> planArrivals()
	{
		std::vector<std::pair<std::int64_t, const Workload*>> result;
		std::mt19937_64 random(FLAGS_seed);
		for (const Workload& workload : this->workloads)
		{
			std::exponential_distribution<double> interval(std::max(0.001, workload.requestsPerSecond * FLAGS_rate));
			for (double at = interval(random); at < FLAGS_seconds; at += interval(random))
			{
				result.emplace_back(static_cast<std::int64_t>(at * kMicrosPerSecond), &workload);
			}
		}
		std::sort(result.begin(), result.end());
		return result;
	}

	void send(const Workload& _workload)
	{
		auto request = std::make_shared<Request>();
		request->workload = &_workload;
		request->marker = absl::StrCat(_workload.name, "-", FLAGS_seed, "-", this->requests.size());
		request->sentAt = Clock::now();
		this->requests.push_back(request);
		this->pool.post(0, [this, request]
						{ request->workload->atMostOnce ? this->fetchTicket(request) : this->submit(request, {}); });
	}

	void fetchTicket(const std::shared_ptr<Request>& _request)
	{
		this->post(*_request->workload, "/v1/tickets", "{}",
				   [this, _request](const CallEnd& _end)
				   {
					   const auto object = parseObject(_end.body);
					   const std::string ticket = object.ok() ? object->value("ticket").toString().toStdString() : "";
					   if (ticket.empty())
					   {
						   this->finish(_request, "no_ticket", QJsonObject());
						   return;
					   }
					   this->submit(_request, ticket);
				   });
	}

	void submit(const std::shared_ptr<Request>& _request, const std::string& _ticket)
	{
		const Workload& workload = *_request->workload;
		QJsonObject body{{"input", QJsonObject{{"marker", QString::fromStdString(_request->marker)}}},
						 {"deadline_ms", static_cast<qint64>(workload.deadlineMs)},
						 {"max_tokens", static_cast<qint64>(workload.maxTokens)}};
		if (!_ticket.empty())
		{
			body["ticket"] = QString::fromStdString(_ticket);
			body["repeatable"] = false;
		}
		this->post(workload, absl::StrCat("/v1/pipelines/", workload.pipeline, "/requests"), toText(body),
				   [this, _request](const CallEnd& _end)
				   {
					   const auto object = parseObject(_end.body);
					   const bool isAnswered = _end.result == CallResult::Complete && object.ok();
					   const std::string outcome =
						   isAnswered ? object->value("outcome").toString().toStdString() : "lost";
					   this->finish(_request, outcome, isAnswered ? *object : QJsonObject());
				   });
	}

	void post(const Workload& _workload, const std::string& _target, const std::string& _body,
			  std::function<void(const CallEnd&)> _onEnd)
	{
		CallSpec spec;
		spec.address = FLAGS_target;
		spec.request.method = "POST";
		spec.request.target = _target;
		spec.request.body = _body;
		spec.request.headers = {{"Authorization", "Bearer " + _workload.credential}};
		spec.timeout = _workload.deadlineMs * 1'000 + kResponseGraceUs;
		spec.forceNewConnection = true;
		CallHandlers handlers;
		handlers.onEnd = std::move(_onEnd);
		this->client.call(0, std::move(spec), std::move(handlers));
	}

	void finish(const std::shared_ptr<Request>& _request, const std::string& _outcome, const QJsonObject& _json)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		_request->outcome = _outcome.empty() ? "error" : _outcome;
		_request->elapsedMs = std::chrono::duration<double, std::milli>(Clock::now() - _request->sentAt).count();
		_request->isIntact = isIntactAnswer(*_request, _json["answer"].toObject());
		const QJsonArray stages = _json["stages"].toArray();
		for (const QJsonValue stage : stages)
		{
			this->heldMs[{_request->workload->name, stage["stage"].toString().toStdString()}] +=
				stage["held_ms"].toDouble();
		}
		this->endedCount += 1;
		this->changed.notify_all();
	}

	/// Stand-ins answer with the marker of the input; every token of an engine consists of the marker and its position.
	static bool isIntactAnswer(const Request& _request, const QJsonObject& _answer)
	{
		if (_request.workload->maxTokens == 0)
		{
			return _answer["marker"].toString().toStdString() == _request.marker;
		}
		std::string expected;
		for (std::int64_t position = 0; position < _request.workload->maxTokens; ++position)
		{
			absl::StrAppend(&expected, _request.marker, ":", position, " ");
		}
		return _answer["text"].toString().toStdString() == expected;
	}

	/// @returns Executions of each request by marker: the maximum over its stages, as a request runs each stage once.
	std::map<std::string, int> countEffects()
	{
		std::map<std::pair<std::string, std::string>, int> byStage;
		for (const auto part : absl::StrSplit(FLAGS_ledgers, ',', absl::SkipEmpty()))
		{
			const QJsonObject ledger = this->fetchJson(std::string(part), "/ledger");
			const QJsonArray list = ledger["effects"].toArray();
			for (const QJsonValue effect : list)
			{
				byStage[{effect["marker"].toString().toStdString(), effect["stage"].toString().toStdString()}] += 1;
			}
		}
		std::map<std::string, int> effects;
		for (const auto& entry : byStage)
		{
			effects[entry.first.first] = std::max(effects[entry.first.first], entry.second);
		}
		return effects;
	}

	QJsonObject fetchJson(const std::string& _address, const std::string& _target)
	{
		QJsonObject result;
		bool done = false;
		this->pool.post(0,
						[&]
						{
							CallSpec spec;
							spec.address = _address;
							spec.request.target = _target;
							spec.timeout = 10 * kMicrosPerSecond;
							CallHandlers handlers;
							handlers.onEnd = [&](const CallEnd& _end)
							{
								const auto object = parseObject(_end.body);
								const std::lock_guard<std::mutex> guard(this->lock);
								result = object.ok() ? *object : QJsonObject();
								done = true;
								this->changed.notify_all();
							};
							this->client.call(0, std::move(spec), std::move(handlers));
						});
		std::unique_lock<std::mutex> guard(this->lock);
		this->changed.wait(guard, [&] { return done; });
		return result;
	}

	const std::vector<Workload>& workloads;
	IoPool pool;
	HttpClient client;
	std::vector<std::shared_ptr<Request>> requests;
	std::mutex lock;
	std::condition_variable changed;
	std::size_t endedCount = 0;
	std::map<std::pair<std::string, std::string>, double> heldMs; ///< Milliseconds by workload and stage.
};

double quantile(std::vector<double> _values, double _share)
{
	if (_values.empty())
	{
		return 0;
	}
	std::sort(_values.begin(), _values.end());
	return _values[static_cast<std::size_t>(_share * static_cast<double>(_values.size() - 1))];
}

QJsonObject toJson(const WorkloadStats& _stats)
{
	QJsonObject heldMs;
	for (const auto& entry : _stats.heldMsByStage)
	{
		heldMs[QString::fromStdString(entry.first)] = entry.second;
	}
	QJsonObject outcomes;
	for (const auto& entry : _stats.outcomes)
	{
		outcomes[QString::fromStdString(entry.first)] = entry.second;
	}
	return QJsonObject{{"offered", _stats.offered},
					   {"attainment", 100.0 * _stats.answeredInTime / std::max(1, _stats.offered)},
					   {"p50_ms", quantile(_stats.elapsedMs, 0.5)},
					   {"p95_ms", quantile(_stats.elapsedMs, 0.95)},
					   {"p99_ms", quantile(_stats.elapsedMs, 0.99)},
					   {"outcomes", outcomes},
					   {"held_ms_by_stage", heldMs}};
}

QJsonObject statsToJson(const std::map<std::string, WorkloadStats>& _stats)
{
	QJsonObject object;
	for (const auto& entry : _stats)
	{
		object[QString::fromStdString(entry.first)] = toJson(entry.second);
	}
	return object;
}

void printTable(const QJsonObject& _stats)
{
	std::printf("%-14s %8s %10s %9s %9s %9s  %s\n", "workload", "offered", "attained%", "p50_ms", "p95_ms", "p99_ms",
				"cost by stage (ms held per request)");
	for (auto entry = _stats.begin(); entry != _stats.end(); ++entry)
	{
		const QJsonObject one = entry.value().toObject();
		std::string cost;
		const QJsonObject held = one["held_ms_by_stage"].toObject();
		for (auto stage = held.begin(); stage != held.end(); ++stage)
		{
			char text[96];
			std::snprintf(text, sizeof(text), "%s %.2f  ", stage.key().toUtf8().constData(),
						  stage.value().toDouble() / std::max(1.0, one["offered"].toDouble()));
			cost += text;
		}
		std::printf("%-14s %8d %10.2f %9.1f %9.1f %9.1f  %s\n", entry.key().toUtf8().constData(),
					one["offered"].toInt(), one["attainment"].toDouble(), one["p50_ms"].toDouble(),
					one["p95_ms"].toDouble(), one["p99_ms"].toDouble(), cost.c_str());
	}
}

int compareRuns(const std::string& _files)
{
	for (const auto file : absl::StrSplit(_files, ','))
	{
		std::ifstream stream{std::string(file)};
		std::stringstream text;
		text << stream.rdbuf();
		const auto object = parseObject(text.str());
		if (!object.ok())
		{
			std::cerr << "roadferry-load: " << file << ": " << object.status().message() << std::endl;
			return 2;
		}
		std::cout << file << "\n";
		printTable(*object);
	}
	return 0;
}

} // namespace

int main(int _argc, char** _argv)
{
	gflags::SetUsageMessage("generates open-loop load and checks the outcomes of all requests");
	gflags::ParseCommandLineFlags(&_argc, &_argv, true);
	if (!FLAGS_compare.empty())
	{
		return compareRuns(FLAGS_compare);
	}
	const auto workloads = readWorkloads(FLAGS_workloads);
	if (!workloads.ok())
	{
		std::cerr << "roadferry-load: " << FLAGS_workloads << ": " << workloads.status().message() << std::endl;
		return 2;
	}
	LoadGenerator generator(*workloads);
	generator.run();
	const QJsonObject stats = statsToJson(generator.stats());
	printTable(stats);
	for (auto entry = stats.begin(); entry != stats.end(); ++entry)
	{
		std::cout << entry.key().toStdString() << ": " << toText(entry.value().toObject()["outcomes"].toObject())
				  << "\n";
	}
	if (!FLAGS_json.empty())
	{
		std::ofstream(FLAGS_json) << toText(stats) << "\n";
	}
	const auto breaches = generator.findBreaches();
	for (const std::string& breach : breaches)
	{
		std::cout << "BREACH " << breach << "\n";
	}
	std::cout << breaches.size() << " breaches\n";
	return breaches.empty() ? 0 : 1;
}
