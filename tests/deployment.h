/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Runs real processes for tests: stand-ins and daemons on free loopback ports.

#ifndef ROADFERRY_DEPLOYMENT_H_HEADER_GUARD
#define ROADFERRY_DEPLOYMENT_H_HEADER_GUARD

#include "http_client.h"
#include "json.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace roadferry
{

/// A process under test; killed when the object is destroyed.
class Process
{
public:
	Process(const std::string& _program, std::vector<std::string> _arguments);
	~Process();
	Process(const Process&) = delete;
	Process& operator=(const Process&) = delete;

	/// Sends a signal to the process.
	void signal(int _signal) const;

	/// Kills the process with SIGKILL and waits until it has exited.
	void kill();

	/// @returns Largest resident memory of the process so far, in KB.
	[[nodiscard]] std::size_t peakMemoryKb() const;

	/// Waits until the process exits by itself.
	/// @returns Exit code; negative if a signal ended the process.
	int wait();

	/// @returns Whether the process has ended by itself, how, and the last lines that it wrote to its error output.
	[[nodiscard]] std::string describeState() const;

	std::string address;     ///< For clients; from the first line of output.
	std::string peerAddress; ///< Of a daemon: address for other nodes.
	std::string readiness;   ///< Of a forwarding daemon: address of the readiness probe.

private:
	void readAddresses(int _output);

	/// Copies the remaining output to a file in the folder that ROADFERRY_TEST_LOGS names; discards it without one.
	void saveLog(const std::string& _program, int _output);

	/// Copies the error output to the one of the test, and keeps its end.
	void copyErrors(int _errors);

	/// The end of what a process wrote to its error output.
	struct LastLines
	{
		std::mutex lock;
		std::string text;
	};

	pid_t pid = -1;
	std::thread logCopier;
	std::thread errorCopier;
	std::shared_ptr<LastLines> lastLines = std::make_shared<LastLines>();
};

/// Response to one HTTP call.
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

	/// Starts an endpoint of a kind in the pool of the same name, and adds it to the VM list.
	Process& startEndpoint(const std::string& _id, const std::string& _kind, std::vector<std::string> _flags = {});

	/// Starts daemons, adds them to the VM list, and waits until they are ready and know each other.
	void startDaemons(std::size_t _count, const std::vector<std::string>& _flags = {});

	/// Starts one daemon and adds it to the VM list, without waiting until it is ready.
	Process& startDaemon(const std::vector<std::string>& _flags = {});

	/// Writes the table rows of the pipelines that most tests use, and waits until every daemon has them.
	void writeTable();

	/// Submits an edit of the table to a daemon.
	Answer editTable(std::size_t _daemon, const std::string& _body);

	/// Sends one request and waits for the response.
	Answer call(const std::string& _address, const std::string& _method, const std::string& _target,
				const std::string& _body = {}, const std::string& _credential = kCallerCredential);

	/// Sends a POST request without waiting for the response.
	void callAsync(const std::string& _address, const std::string& _target, const std::string& _body,
				   std::function<void(const Answer&)> _done, const std::string& _credential = kCallerCredential);

	/// Requests a ticket from a daemon.
	std::string issueTicket(std::size_t _daemon);

	/// Sends raw bytes and reads until the peer closes the connection.
	static std::string sendRaw(const std::string& _address, const std::string& _bytes);

	/// @returns Number of effects by marker, summed over the ledgers of all endpoints.
	std::map<std::string, int> countEffects();

	/// Sets the fault that a stand-in injects.
	void injectFault(const Process& _process, const std::string& _body);

	/// Waits until a condition holds; the test fails if it does not within 20 s.
	static void await(const std::string& _what, const std::function<bool()>& _condition);

	/// Asserts the outcome of a response; prints the whole response if it is another one.
	static void expectOutcome(const Answer& _answer, const std::string& _expected);

	/// Asserts that a JSON value is the expected text; prints both if it is not.
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
