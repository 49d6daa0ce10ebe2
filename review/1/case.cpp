/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Case 1: a node is killed once and started again while pieces of its requests are at other nodes. Checks that each
/// model request gets the results of its own pieces, and all of them.

#include "../common/world.h"

namespace review
{

namespace
{

constexpr int kServices = 4; ///< Stage services, each with a route of its own.
constexpr int kRequestsPerService = 8;
constexpr int kPieces = 12;
constexpr int kCallMs = 240;
constexpr int kPieceMs = 17;
constexpr int kLeadMs = 11'000; ///< From the start of the machines to the traffic.
constexpr int kPauseMs = 600;   ///< From the first requests to the kill.

/// What one piece result belongs to.
struct Result
{
	std::string request;
	std::string stage;
	std::string piece;
};

/// Stage and model engines, which compare what they are sent.
class Engines
{
public:
	explicit Engines(Record& _record)
		: record(_record),
		  model([this](Connection& _connection, const Message& _request) { return this->run(_connection, _request); })
	{
		for (int index = 0; index < kServices; ++index)
		{
			this->stages.push_back(
				std::make_unique<Server>([this, index](Connection& _connection, const Message& _request)
										 { return this->runStage(index, _connection, _request); }));
		}
	}

	[[nodiscard]] int broken() const
	{
		return this->mixed;
	}

	[[nodiscard]] int served() const
	{
		return this->runs;
	}

	std::vector<std::unique_ptr<Server>> stages;

private:
	bool runStage(int _index, Connection& _connection, const Message& _request)
	{
		if (_request.target() != "/v1/stage-run")
		{
			return _connection.send(formatResponse(200, {{"Content-Type", "application/json"}}, "{}"));
		}
		const std::vector<std::string> items = itemsOf(_request.body);
		// One call at a time; others wait.
		const std::lock_guard<std::mutex> turn(this->turns[_index]);
		sleepMs(kCallMs + kPieceMs * static_cast<std::int64_t>(items.size()));
		std::string results;
		for (const std::string& item : items)
		{
			const std::lock_guard<std::mutex> guard(this->lock);
			const std::string handle =
				addressOf(this->stages[static_cast<std::size_t>(_index)]->port) + "/" + std::to_string(++this->handles);
			const auto number = [&item](const std::string& _name)
			{
				const std::size_t at = item.find("\"" + _name + "\":") + _name.size() + 3;
				return item.substr(at, item.find_first_of(",}", at) - at);
			};
			this->results[handle] = Result{textField(item, "id"), number("stage"), number("piece")};
			results += (results.empty() ? "" : ",") + std::string("{\"handler\":\"") + handle + "\"}";
			this->record.write("stage engine " + std::to_string(_index) + " made " + handle + " for request " +
							   this->results[handle].request + " piece " + this->results[handle].piece);
		}
		return _connection.send(
			formatResponse(200, {{"Content-Type", "application/json"}, {"Roadferry-Server-Load", "1,0,1"}},
						   "{\"items\":[" + results + "]}"));
	}

	bool run(Connection& _connection, const Message& _request)
	{
		const std::string id = _request.header("roadferry-attempt-id");
		this->check(id, _request.header("roadferry-inputs"));
		this->runs += 1;
		const Headers headers = {{"Content-Type", "text/event-stream"},
								 {"Roadferry-Attempt-Id", id},
								 {"Roadferry-Response-Signature", "signature." + id},
								 {"Transfer-Encoding", "chunked"}};
		std::string text = formatHead("HTTP/1.1 200 OK", headers);
		for (int event = 1; event <= 3; ++event)
		{
			text += formatChunk("id: " + std::to_string(event) + "\ndata: " + id + "\n\n");
		}
		return _connection.send(text + formatChunk(""));
	}

	/// MIXED: a request receives inputs of another request, one input twice, or only some inputs.
	void check(const std::string& _id, const std::string& _inputs)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		std::set<std::string> pieces;
		std::set<std::string> others;
		std::istringstream handles(_inputs);
		for (std::string handle; std::getline(handles, handle, ',');)
		{
			const auto found = this->results.find(handle);
			if (found == this->results.end() || found->second.request != _id)
			{
				others.insert(handle + (found == this->results.end() ? " (unknown)" : " of " + found->second.request));
				continue;
			}
			pieces.insert(found->second.piece);
		}
		const bool isWhole = others.empty() && pieces.size() == kPieces;
		this->mixed += isWhole ? 0 : 1;
		this->record.write("model engine runs request " + _id + ": " + std::to_string(pieces.size()) + " of " +
						   std::to_string(kPieces) + " own inputs, " + std::to_string(others.size()) + " others" +
						   (others.empty() ? "" : ", the first " + *others.begin()) +
						   (isWhole ? "" : " BROKEN: MIXED"));
	}

	Record& record;
	std::mutex lock;
	std::mutex turns[kServices];
	std::map<std::string, Result> results; ///< By handle.
	int handles = 0;
	std::atomic<int> mixed{0};
	std::atomic<int> runs{0};

public:
	Server model; ///< Last, since it uses the others.
};

std::string desiredState()
{
	std::string routes;
	std::string services = R"({"name":"engines","health-check-path":"/healthz","max-connections":360})";
	for (int index = 0; index < kServices; ++index)
	{
		const std::string number = std::to_string(index);
		routes += (index == 0 ? "" : ",") + std::string(R"({"name":"route)") + number +
				  R"(","hostname":"one.example","path-prefix":"/r)" + number +
				  R"(/","type":"streaming","timeout-ms":20000,"target-latency-ms":8000,"priority":1,)" +
				  R"("service":"engines","max-attempts":1,"stages":[{"service":"stage)" + number +
				  R"(","after-revision":[],"size-bytes":8000}],"anonymous":true,"stream-resume":false,)" +
				  R"("itl-target-ms":400})";
		services += R"(,{"name":"stage)" + number +
					R"(","health-check-path":"/healthz","max-connections":360,"pieces":{"slots":1,"queue":2,)" +
					R"("batch":12,"call-ms":240,"item-ms":17,"headroom-mb":14,"handler-s":4,"link-mbps":10000}})";
	}
	return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + services +
		   R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)" +
		   R"("idle-timeout-ms":15000},"tenants":[]})";
}

/// Sends the requests of all routes at once. @returns The clients' threads.
std::vector<std::thread> sendAll(Record& _record, const Node& _node, const std::string& _round)
{
	std::vector<std::thread> clients;
	for (int index = 0; index < kRequestsPerService * kServices; ++index)
	{
		const std::string id = _round + "-" + std::to_string(index);
		const std::string target = "/r" + std::to_string(index % kServices) + "/x";
		clients.emplace_back(
			[&_record, &_node, id, target]
			{
				_record.write("client sends " + id + " to " + _node.name);
				const Answer answer = sendRequest(_node.http, "POST", target,
												  {{"Host", "one.example"},
												   {"Roadferry-Attempt-Id", id},
												   {"Roadferry-Deadline-Ms", "20000"},
												   {"Roadferry-Pieces", std::to_string(kPieces)},
												   {"Roadferry-Piece-Key", "key-" + id}},
												  "body of " + id);
				_record.write("client gets for " + id + ": " + answer.text());
			});
	}
	return clients;
}

[[noreturn]] void play(const std::string& _root, const std::string& _record)
{
	endChildrenOnSignals();
	Record record(_record);
	Store store;
	Engines engines(record);
	store.put("keyed.op", "config", desiredState());
	store.put("keyed.servers", "i-model", engineEntry("engines", engines.model.port, "north", 64, 1'000));
	for (int index = 0; index < kServices; ++index)
	{
		const std::string number = std::to_string(index);
		const int port = engines.stages[static_cast<std::size_t>(index)]->port;
		store.put("keyed.servers", "i-stage" + number, engineEntry("stage" + number, port, "north", 1, 1'000));
	}
	const std::string folder = makeFolder();
	std::vector<std::unique_ptr<Node>> nodes;
	std::string seeds;
	for (const char* name : {"node-1", "node-2", "node-3"})
	{
		nodes.push_back(std::make_unique<Node>(_root, folder, name, "north"));
		seeds += (seeds.empty() ? "" : ",") + addressOf(nodes.back()->peers);
	}
	for (const auto& node : nodes)
	{
		node->writeSettings(store.address(), seeds);
		node->start();
	}
	for (const auto& node : nodes)
	{
		if (!node->awaitReady() || !node->awaitMembers(static_cast<int>(nodes.size())))
		{
			record.write("case could not run: " + node->name + " is not ready");
			finish(folder, kNotRun);
		}
	}
	sleepMs(kLeadMs);
	Node& killed = *nodes.front();
	std::vector<std::thread> clients = sendAll(record, killed, "before");
	sleepMs(kPauseMs);
	if (hasTrouble())
	{
		record.write("SIGKILL of " + killed.name);
		killed.kill();
		sleepMs(100);
		killed.start();
		if (!killed.awaitReady() || !killed.awaitMembers(static_cast<int>(nodes.size())))
		{
			record.write("case could not run: " + killed.name + " is not ready again");
			finish(folder, kNotRun);
		}
		record.write(killed.name + " is ready again");
	}
	std::vector<std::thread> later = sendAll(record, killed, "after");
	for (std::vector<std::thread>* threads : {&clients, &later})
	{
		for (std::thread& client : *threads)
		{
			client.join();
		}
	}
	record.write("model requests run: " + std::to_string(engines.served()) +
				 ", with inputs of others or without some: " + std::to_string(engines.broken()));
	const int code = engines.served() == 0 ? kNotRun : engines.broken() > 0 ? kBroken : kHeld;
	finish(folder, code);
}

} // namespace

} // namespace review

int main(int _argc, char** _argv)
{
	if (_argc < 3)
	{
		return review::kNotRun;
	}
	review::play(_argv[1], _argv[2]);
}
