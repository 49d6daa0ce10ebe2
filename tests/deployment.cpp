/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of Process and Deployment.

#include "deployment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace roadferry
{

namespace
{

constexpr std::int64_t kCallTimeoutUs = 20'000'000;
constexpr std::chrono::seconds kAwaitTimeout{20};
constexpr std::chrono::milliseconds kAwaitPollInterval{10};
constexpr int kExecFailedExitCode = 127;
constexpr std::size_t kLastBytes = 2'000; ///< Kept of the error output of a process.
constexpr const char* kLogFolderVariable = "ROADFERRY_TEST_LOGS";
constexpr const char* kPeerSecret = "peer-credential-of-tests";

Answer answerOf(const CallEnd& _end)
{
	Answer answer;
	answer.result = _end.result;
	answer.status = _end.status;
	answer.body = _end.body;
	const auto object = parseObject(_end.body);
	answer.json = object.ok() ? *object : QJsonObject();
	return answer;
}

CallSpec specOf(const std::string& _address, const std::string& _method, const std::string& _target,
				const std::string& _body, const std::string& _credential)
{
	CallSpec spec;
	spec.address = _address;
	spec.request.method = _method;
	spec.request.target = _target;
	spec.request.body = _body;
	spec.request.headers = {{"Authorization", "Bearer " + _credential}};
	spec.timeout = kCallTimeoutUs;
	spec.forceNewConnection = true;
	return spec;
}

} // namespace

Process::Process(const std::string& _program, std::vector<std::string> _arguments)
{
	int pipes[2] = {-1, -1};
	int errorPipes[2] = {-1, -1};
	// Other children must not hold them open: a copier ends when the last writer has closed.
	cr_assert_eq(pipe2(pipes, O_CLOEXEC), 0);
	cr_assert_eq(pipe2(errorPipes, O_CLOEXEC), 0);
	const std::string path = absl::StrCat(ROADFERRY_BIN, "/", _program);
	std::vector<char*> arguments = {const_cast<char*>(path.c_str())};
	for (std::string& argument : _arguments)
	{
		arguments.push_back(argument.data());
	}
	arguments.push_back(nullptr);
	this->pid = fork();
	if (this->pid == 0)
	{
		// A failing test exits without running destructors; its child processes must not outlive it.
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(pipes[1], STDOUT_FILENO);
		dup2(errorPipes[1], STDERR_FILENO);
		execv(path.c_str(), arguments.data());
		_exit(kExecFailedExitCode);
	}
	close(pipes[1]);
	close(errorPipes[1]);
	cr_assert_gt(this->pid, 0, "cannot start %s", path.c_str());
	this->copyErrors(errorPipes[0]);
	this->readAddresses(pipes[0]);
	this->saveLog(_program, pipes[0]);
}

void Process::saveLog(const std::string& _program, int _output)
{
	const char* folder = std::getenv(kLogFolderVariable);
	if (folder == nullptr)
	{
		close(_output);
		return;
	}
	const std::string path = absl::StrCat(folder, "/", getpid(), "-", _program, "-", this->pid, ".log");
	this->logCopier = std::thread(
		[path, _output]
		{
			std::ofstream file(path);
			std::array<char, 4096> part{};
			ssize_t count = 0;
			while ((count = read(_output, part.data(), part.size())) > 0)
			{
				file.write(part.data(), count);
				file.flush(); // A failing test ends without running destructors.
			}
			close(_output);
		});
}

void Process::copyErrors(int _errors)
{
	this->errorCopier = std::thread(
		[_errors, last = this->lastLines]
		{
			std::array<char, 4096> part{};
			ssize_t count = 0;
			while ((count = read(_errors, part.data(), part.size())) > 0)
			{
				const std::string text(part.data(), static_cast<std::size_t>(count));
				std::cerr << text << std::flush; // A failing test ends without running destructors.
				const std::lock_guard<std::mutex> guard(last->lock);
				last->text += text;
				last->text.erase(0, last->text.size() - std::min(last->text.size(), kLastBytes));
			}
			close(_errors);
		});
}

std::string Process::describeState() const
{
	siginfo_t state{};
	const bool isKnown =
		this->pid > 0 && ::waitid(P_PID, static_cast<id_t>(this->pid), &state, WEXITED | WNOHANG | WNOWAIT) == 0;
	if (!isKnown)
	{
		return "its process was ended by the test";
	}
	if (state.si_pid == 0)
	{
		return "its process runs";
	}
	const char* how = state.si_code == CLD_EXITED ? "exited with status " : "was ended by signal ";
	const std::lock_guard<std::mutex> guard(this->lastLines->lock);
	return absl::StrCat("its process ", how, state.si_status, " and wrote last: ", this->lastLines->text);
}

void Process::readAddresses(int _output)
{
	std::string line;
	char character = 0;
	while (read(_output, &character, 1) == 1 && character != '\n')
	{
		line += character;
	}
	if (const auto started = parseObject(line); started.ok())
	{
		this->address = started->value("clients").toString().toStdString();
		this->peerAddress = started->value("peers").toString().toStdString();
		this->readiness = started->value("readiness").toString().toStdString();
		return;
	}
	const std::vector<std::string> words = absl::StrSplit(line, ' ');
	cr_assert_geq(words.size(), 2, "process printed no address: %s", line.c_str());
	this->address = words[1];
	this->peerAddress = words.size() >= 4 ? words[3] : std::string();
}

Process::~Process()
{
	this->kill();
	if (this->logCopier.joinable())
	{
		this->logCopier.join();
	}
	if (this->errorCopier.joinable())
	{
		this->errorCopier.join();
	}
}

void Process::signal(int _signal) const
{
	::kill(this->pid, _signal);
}

void Process::kill()
{
	if (this->pid > 0)
	{
		::kill(this->pid, SIGKILL);
		waitpid(this->pid, nullptr, 0);
		this->pid = -1;
	}
}

std::size_t Process::peakMemoryKb() const
{
	std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
	std::string line;
	while (std::getline(status, line))
	{
		if (line.rfind("VmHWM:", 0) == 0)
		{
			return std::stoul(line.substr(line.find(':') + 1));
		}
	}
	return 0;
}

int Process::wait()
{
	int status = 0;
	waitpid(this->pid, &status, 0);
	this->pid = -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Deployment::Deployment()
	: log(std::make_unique<Process>("roadferry-standin", std::vector<std::string>{"--kind=log"})),
	  vmList(std::make_unique<Process>("roadferry-standin", std::vector<std::string>{"--kind=vmlist"}))
{
}

Deployment::~Deployment()
{
	this->pool.stop();
}

void Deployment::listVm(const std::string& _id, const std::string& _body)
{
	const Answer answer = this->call(this->vmList->address, "PUT", "/vms/" + _id, _body);
	cr_assert_eq(answer.status, 200);
}

Process& Deployment::startEndpoint(const std::string& _id, const std::string& _kind, std::vector<std::string> _flags)
{
	_flags.push_back("--kind=" + _kind);
	_flags.push_back("--id=" + _id);
	this->endpoints.push_back(std::make_unique<Process>("roadferry-standin", _flags));
	this->listVm(_id, absl::StrCat("{\"address\":\"", this->endpoints.back()->address, "\",\"pool\":\"", _kind,
								   "\",\"failure_domain\":\"howrah\",\"slots\":8}"));
	return *this->endpoints.back();
}

Process& Deployment::startDaemon(const std::vector<std::string>& _flags)
{
	std::vector<std::string> flags = {"--failure_domain=howrah",
									  "--log_address=" + this->log->address,
									  "--vm_list_address=" + this->vmList->address,
									  absl::StrCat("--callers=hall=", kCallerCredential, ",other=other-credential"),
									  absl::StrCat("--operators=ana=", kOperatorCredential),
									  absl::StrCat("--peer_secret=", kPeerSecret)};
	flags.insert(flags.end(), _flags.begin(), _flags.end());
	this->nodes.push_back(std::make_unique<Process>("roadferryd", flags));
	Process& node = *this->nodes.back();
	this->listVm(absl::StrCat("node-", this->nodes.size()),
				 absl::StrCat("{\"address\":\"", node.peerAddress, "\",\"role\":\"roadferry\"}"));
	return node;
}

void Deployment::startDaemons(std::size_t _count, const std::vector<std::string>& _flags)
{
	for (std::size_t index = 0; index < _count; ++index)
	{
		this->startDaemon(_flags);
	}
	for (const auto& node : this->nodes)
	{
		await("daemon ready", [&] { return this->call(node->address, "GET", "/ready").status == 200; });
		await("daemon knows its peers",
			  [&]
			  {
				  const Answer status = this->call(node->address, "GET", "/operator/status", {}, kOperatorCredential);
				  return status.json["peers"].toArray().size() + 1 == static_cast<qsizetype>(this->nodes.size());
			  });
	}
}

Answer Deployment::editTable(std::size_t _daemon, const std::string& _body)
{
	return this->call(this->nodes.at(_daemon)->address, "POST", "/operator/table/edits", _body, kOperatorCredential);
}

void Deployment::writeTable()
{
	const auto stage = [](const char* _name, const char* _kind)
	{
		return absl::StrCat(R"({"kind":"stage","name":")", _name, R"(","base":0,"row":{"name":")", _name,
							R"(","stage_kind":")", _kind, R"(","pool":")", _kind, R"(","attempts":3}})");
	};
	const auto pipeline = [](const char* _name, const char* _stages)
	{
		return absl::StrCat(R"({"kind":"pipeline","name":")", _name, R"(","base":0,"row":{"name":")", _name,
							R"(","workspace":"hall","stages":[)", _stages, R"(],"deadline_ms":5000}})");
	};
	const Answer answer = this->editTable(
		0,
		absl::StrCat(R"({"id":"first","changes":[{"kind":"workspace","name":"hall","base":0,"row":{"name":"hall"}},)",
					 stage("encode", "encoder"), ",", stage("retrieve", "retriever"), ",", stage("rerank", "reranker"),
					 ",", stage("generate", "engine"), ",", stage("save", "service"), ",",
					 pipeline("mark", R"("encode","retrieve","rerank","generate")"), ",",
					 pipeline("checkin", R"("save")"), "]}"));
	cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
	for (const auto& node : this->nodes)
	{
		await("daemon has the table",
			  [&]
			  {
				  const Answer status = this->call(node->address, "GET", "/operator/status", {}, kOperatorCredential);
				  return status.json["table_offset"].toInteger() >= 1;
			  });
	}
}

Answer Deployment::call(const std::string& _address, const std::string& _method, const std::string& _target,
						const std::string& _body, const std::string& _credential)
{
	std::promise<CallEnd> promise;
	auto future = promise.get_future();
	this->pool.post(0,
					[&]
					{
						CallHandlers handlers;
						handlers.onEnd = [&promise](const CallEnd& _end) { promise.set_value(_end); };
						this->client.call(0, specOf(_address, _method, _target, _body, _credential),
										  std::move(handlers));
					});
	return answerOf(future.get());
}

void Deployment::callAsync(const std::string& _address, const std::string& _target, const std::string& _body,
						   std::function<void(const Answer&)> _done, const std::string& _credential)
{
	this->pool.post(0,
					[this, spec = specOf(_address, "POST", _target, _body, _credential), done = std::move(_done)]
					{
						CallHandlers handlers;
						handlers.onEnd = [done](const CallEnd& _end) { done(answerOf(_end)); };
						this->client.call(0, spec, std::move(handlers));
					});
}

std::string Deployment::sendRaw(const std::string& _address, const std::string& _bytes)
{
	const std::size_t colon = _address.rfind(':');
	sockaddr_in peer{};
	peer.sin_family = AF_INET;
	peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(_address.substr(colon + 1))));
	inet_pton(AF_INET, _address.substr(0, colon).c_str(), &peer.sin_addr);
	const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	cr_assert_eq(connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)), 0);
	cr_assert_eq(write(socket, _bytes.data(), _bytes.size()), static_cast<ssize_t>(_bytes.size()));
	std::string answer;
	std::array<char, 4096> part{};
	ssize_t count = 0;
	while ((count = read(socket, part.data(), part.size())) > 0)
	{
		answer.append(part.data(), static_cast<std::size_t>(count));
	}
	close(socket);
	return answer;
}

std::string Deployment::issueTicket(std::size_t _daemon)
{
	const Answer answer = this->call(this->nodes.at(_daemon)->address, "POST", "/v1/tickets", "{}");
	cr_assert_eq(answer.status, 201);
	return answer.json["ticket"].toString().toStdString();
}

std::map<std::string, int> Deployment::countEffects()
{
	std::map<std::string, int> counts;
	for (const auto& endpoint : this->endpoints)
	{
		const Answer ledger = this->call(endpoint->address, "GET", "/ledger");
		for (const QJsonValue& effect : ledger.json["effects"].toArray())
		{
			counts[effect["marker"].toString().toStdString()] += 1;
		}
	}
	return counts;
}

void Deployment::injectFault(const Process& _process, const std::string& _body)
{
	const Answer answer = this->call(_process.address, "POST", "/fault", _body);
	cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
}

void Deployment::expectText(const QJsonValue& _value, const std::string& _expected)
{
	const std::string actual = _value.toString().toStdString();
	cr_assert(actual == _expected, "got \"%s\", expected \"%s\"", actual.c_str(), _expected.c_str());
}

void Deployment::expectOutcome(const Answer& _answer, const std::string& _expected)
{
	const std::string actual = _answer.json["outcome"].toString().toStdString();
	cr_assert(actual == _expected, "outcome \"%s\", expected \"%s\"; status %u: %s", actual.c_str(), _expected.c_str(),
			  _answer.status, _answer.body.c_str());
}

void Deployment::await(const std::string& _what, const std::function<bool()>& _condition)
{
	const auto begin = std::chrono::steady_clock::now();
	while (!_condition())
	{
		cr_assert(std::chrono::steady_clock::now() - begin < kAwaitTimeout, "timed out waiting for: %s", _what.c_str());
		std::this_thread::sleep_for(kAwaitPollInterval);
	}
}

} // namespace roadferry
