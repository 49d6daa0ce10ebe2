/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Runs real processes for tests: stand-ins and daemons on loopback with ports that are free.

#ifndef ROADFERRY_DEPLOYMENT_H_HEADER_GUARD
#define ROADFERRY_DEPLOYMENT_H_HEADER_GUARD

#include "http_client.h"
#include "json.h"

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace roadferry
{

/// A process under test. Ends with the object.
class Process
{
public:
	Process(const std::string& _program, std::vector<std::string> _arguments);
	~Process();
	Process(const Process&) = delete;
	Process& operator=(const Process&) = delete;

	void signal(int _signal) const;

	/// Kills the process at once and waits for its end.
	void kill();

	/// @returns Exit code after the process has ended by itself; negative after a signal.
	int wait();

	std::string address;     ///< From its first line of output.
	std::string peerAddress; ///< Of a daemon: where other nodes reach it.
	std::string readiness;   ///< Of a daemon that forwards: where readiness is asked.

private:
	void readAddresses(int _output);

	pid_t pid = -1;
};

/// Answer to one HTTP call.
struct Answer
{
	CallResult result = CallResult::NotSent;
	unsigned status = 0;
	std::string body;
	QJsonObject json;
};

/// Log, VM list, endpoints and daemons of one test.
class Deployment
{
public:
	Deployment();
	~Deployment();

	/// Adds an endpoint of a kind, in the pool of the same name, and lists it.
	Process& startEndpoint(const std::string& _id, const std::string& _kind, std::vector<std::string> _flags = {});

	/// Adds daemons, lists them, and waits until they are ready.
	void startDaemons(std::size_t _count, const std::vector<std::string>& _flags = {});

	/// Adds one daemon without waiting for it.
	Process& startDaemon(const std::vector<std::string>& _flags = {});

	/// Writes the rows of the pipelines that most tests use, and waits until every daemon has them.
	void writeTable();

	/// Appends an edit through a daemon.
	Answer editTable(std::size_t _daemon, const std::string& _body);

	/// Sends one request, and waits for the answer.
	Answer call(const std::string& _address, const std::string& _method, const std::string& _target,
				const std::string& _body = {}, const std::string& _credential = kCallerCredential);

	/// Begins a request without waiting for its answer.
	void callAsync(const std::string& _address, const std::string& _target, const std::string& _body,
				   std::function<void(const Answer&)> _done, const std::string& _credential = kCallerCredential);

	std::string issueTicket(std::size_t _daemon);

	/// Sends bytes as they are, and reads until the other side closes.
	static std::string sendRaw(const std::string& _address, const std::string& _bytes);

	/// @returns Number of effects of each marker in the ledgers of all endpoints.
	std::map<std::string, int> countEffects();

	void injectFault(const Process& _process, const std::string& _body);

	/// Waits until a condition holds; the test fails when it does not within 20 s.
	static void await(const std::string& _what, const std::function<bool()>& _condition);

	/// Asserts that a JSON value is a certain text, and prints both when it is not.
	static void expectText(const QJsonValue& _value, const std::string& _expected);

	static constexpr const char* kCallerCredential = "hall-credential";
	static constexpr const char* kOperatorCredential = "operator-credential";

	std::unique_ptr<Process> log;
	std::unique_ptr<Process> vmList;
	std::vector<std::unique_ptr<Process>> endpoints;
	std::vector<std::unique_ptr<Process>> nodes;

private:
	void listVm(const std::string& _id, const std::string& _body);

	IoPool pool{1};
	HttpClient client{pool};
};

} // namespace roadferry

#endif // ROADFERRY_DEPLOYMENT_H_HEADER_GUARD
