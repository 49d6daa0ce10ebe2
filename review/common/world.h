/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Small stand-ins for the platform, the engines and the clients of a small deployment, and the start of daemons as
/// separate processes. Used by the scripts of review/ only. It needs nothing but the C++ library and POSIX.

#ifndef ROADFERRY_REVIEW_WORLD_H_HEADER_GUARD
#define ROADFERRY_REVIEW_WORLD_H_HEADER_GUARD

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

constexpr int kHeld = 0;   ///< Exit code: the rule held.
constexpr int kBroken = 1; ///< Exit code: the rule was broken.
constexpr int kNotRun = 2; ///< Exit code: the case could not run.

using Clock = std::chrono::steady_clock;

inline void sleepMs(std::int64_t _milliseconds)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(_milliseconds));
}

inline bool hasTrouble()
{
	const char* value = std::getenv("TROUBLE");
	return value == nullptr || std::string(value) != "0";
}

/// The file record.txt of a case: what was sent, answered and run.
class Record
{
public:
	explicit Record(const std::string& _path) : file(_path), startedAt(Clock::now())
	{
	}

	void write(const std::string& _line)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		const std::chrono::duration<double> elapsed = Clock::now() - this->startedAt;
		char stamp[32];
		std::snprintf(stamp, sizeof(stamp), "%8.3f ", elapsed.count());
		this->file << stamp << _line << std::endl;
	}

private:
	std::mutex lock;
	std::ofstream file;
	Clock::time_point startedAt;
};

/// An HTTP request or response.
struct Message
{
	std::string start;                          ///< First line.
	std::map<std::string, std::string> headers; ///< By name in lower case.
	std::string body;
	bool complete = false;           ///< Read to its end.
	bool endsWithConnection = false; ///< A response without length and chunks.

	[[nodiscard]] std::string header(const std::string& _name) const
	{
		const auto found = this->headers.find(_name);
		return found == this->headers.end() ? std::string() : found->second;
	}

	[[nodiscard]] int status() const
	{
		return this->start.size() < 12 ? 0 : std::atoi(this->start.c_str() + 9);
	}

	[[nodiscard]] std::string method() const
	{
		return this->start.substr(0, this->start.find(' '));
	}

	[[nodiscard]] std::string target() const
	{
		const std::size_t first = this->start.find(' ');
		return this->start.substr(first + 1, this->start.rfind(' ') - first - 1);
	}
};

/// A TCP connection that carries HTTP.
class Connection
{
public:
	explicit Connection(int _socket) : socket(_socket)
	{
		const int on = 1;
		::setsockopt(_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	}

	Connection(const Connection&) = delete;
	Connection& operator=(const Connection&) = delete;

	~Connection()
	{
		this->close();
	}

	void close()
	{
		if (this->socket >= 0)
		{
			::close(this->socket);
			this->socket = -1;
		}
	}

	bool send(const std::string& _bytes)
	{
		std::size_t sent = 0;
		while (sent < _bytes.size())
		{
			const ssize_t count = ::send(this->socket, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
			if (count <= 0)
			{
				return false;
			}
			sent += static_cast<std::size_t>(count);
		}
		return true;
	}

	/// Reads one message. @returns Nothing if the connection ended before its first byte or before the end of the head.
	std::optional<Message> read(bool _isResponse, int _timeoutMs = 120'000)
	{
		const Clock::time_point until = Clock::now() + std::chrono::milliseconds(_timeoutMs);
		std::size_t end = this->buffer.find("\r\n\r\n");
		while (end == std::string::npos)
		{
			if (!this->fill(until))
			{
				return std::nullopt;
			}
			end = this->buffer.find("\r\n\r\n");
		}
		Message message = parseHead(this->buffer.substr(0, end));
		this->buffer.erase(0, end + 4);
		this->readBody(message, _isResponse, until);
		return message;
	}

	/// @returns Whether the other side has closed the connection.
	[[nodiscard]] bool isClosedByPeer() const
	{
		char byte = 0;
		const ssize_t count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
	}

	/// Why the last read ended early: "closed", "reset" or "timed out".
	std::string endOfRead;

private:
	static Message parseHead(const std::string& _head)
	{
		Message message;
		std::istringstream lines(_head);
		std::string line;
		std::getline(lines, line);
		message.start = line.substr(0, line.find('\r'));
		while (std::getline(lines, line))
		{
			line = line.substr(0, line.find('\r'));
			const std::size_t colon = line.find(':');
			if (colon == std::string::npos)
			{
				continue;
			}
			std::string name = line.substr(0, colon);
			for (char& character : name)
			{
				character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
			}
			const std::size_t begin = line.find_first_not_of(' ', colon + 1);
			message.headers[name] = begin == std::string::npos ? std::string() : line.substr(begin);
		}
		return message;
	}

	bool fill(const Clock::time_point& _until)
	{
		const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(_until - Clock::now()).count();
		pollfd entry{this->socket, POLLIN, 0};
		if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
		{
			this->endOfRead = "timed out";
			return false;
		}
		char bytes[16 * 1024];
		const ssize_t count = ::recv(this->socket, bytes, sizeof(bytes), 0);
		if (count <= 0)
		{
			this->endOfRead = count == 0 ? "closed" : "reset";
			return false;
		}
		this->buffer.append(bytes, static_cast<std::size_t>(count));
		return true;
	}

	bool fillTo(std::size_t _size, const Clock::time_point& _until)
	{
		while (this->buffer.size() < _size)
		{
			if (!this->fill(_until))
			{
				return false;
			}
		}
		return true;
	}

	void readBody(Message& _message, bool _isResponse, const Clock::time_point& _until)
	{
		if (_message.header("transfer-encoding") == "chunked")
		{
			this->readChunks(_message, _until);
			return;
		}
		if (_message.headers.count("content-length") == 0 && _isResponse)
		{
			_message.endsWithConnection = true;
			while (this->fill(_until))
			{
			}
			_message.body = std::move(this->buffer);
			this->buffer.clear();
			_message.complete = this->endOfRead == "closed";
			return;
		}
		const std::size_t length = std::strtoul(_message.header("content-length").c_str(), nullptr, 10);
		_message.complete = this->fillTo(length, _until);
		_message.body = this->buffer.substr(0, length);
		this->buffer.erase(0, _message.body.size());
	}

	void readChunks(Message& _message, const Clock::time_point& _until)
	{
		while (true)
		{
			std::size_t end = this->buffer.find("\r\n");
			while (end == std::string::npos)
			{
				if (!this->fill(_until))
				{
					return;
				}
				end = this->buffer.find("\r\n");
			}
			const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
			if (!this->fillTo(end + 2 + size + 2, _until))
			{
				return;
			}
			_message.body += this->buffer.substr(end + 2, size);
			this->buffer.erase(0, end + 2 + size + 2);
			if (size == 0)
			{
				_message.complete = true;
				return;
			}
		}
	}

	int socket;
	std::string buffer;
};

inline sockaddr_in loopback(int _port)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(static_cast<std::uint16_t>(_port));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

inline std::string addressOf(int _port)
{
	return "127.0.0.1:" + std::to_string(_port);
}

/// @returns A port that is free now.
inline int freePort()
{
	const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in address = loopback(0);
	socklen_t length = sizeof(address);
	::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
	::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
	::close(probe);
	return ntohs(address.sin_port);
}

/// @returns Socket, -1 if the connection was refused.
inline int connectTo(int _port)
{
	const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const sockaddr_in address = loopback(_port);
	if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
	{
		::close(socket);
		return -1;
	}
	return socket;
}

/// An HTTP server with a thread for each connection. The handler answers on the connection, and returns whether the
/// connection stays open.
class Server
{
public:
	using Handler = std::function<bool(Connection&, const Message&)>;

	explicit Server(Handler _handler, int _port = 0)
		: handler(std::move(_handler)), listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
	{
		const int on = 1;
		::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		sockaddr_in address = loopback(_port);
		socklen_t length = sizeof(address);
		::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
		::listen(this->listener, 512);
		::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
		this->port = ntohs(address.sin_port);
		std::thread([this] { this->accept(); }).detach();
	}

	/// Ends the server as the end of its process does: it closes its port and all connections. The object must stay.
	void end()
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		this->hasEnded = true;
		::shutdown(this->listener, SHUT_RDWR);
		for (const int socket : this->sockets)
		{
			::shutdown(socket, SHUT_RDWR);
		}
	}

	int port = 0;

private:
	void accept()
	{
		while (!this->hasEnded)
		{
			const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
			if (socket >= 0)
			{
				std::thread([this, socket] { this->serve(socket); }).detach();
			}
		}
		::close(this->listener);
	}

	void serve(int _socket)
	{
		{
			const std::lock_guard<std::mutex> guard(this->lock);
			this->sockets.insert(_socket);
		}
		Connection connection(_socket);
		bool isOpen = true;
		while (isOpen)
		{
			const std::optional<Message> request = connection.read(false);
			isOpen = request && request->complete && this->handler(connection, *request);
		}
		const std::lock_guard<std::mutex> guard(this->lock);
		this->sockets.erase(_socket);
		connection.close();
	}

	std::mutex lock;
	std::set<int> sockets; ///< Of the open connections.
	std::atomic<bool> hasEnded{false};

	Handler handler;
	int listener;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string formatHead(const std::string& _start, const Headers& _headers)
{
	std::string text = _start + "\r\n";
	for (const auto& header : _headers)
	{
		text += header.first + ": " + header.second + "\r\n";
	}
	return text + "\r\n";
}

inline std::string formatResponse(int _status, Headers _headers, const std::string& _body)
{
	_headers.emplace_back("Content-Length", std::to_string(_body.size()));
	return formatHead("HTTP/1.1 " + std::to_string(_status) + " Status", _headers) + _body;
}

inline std::string formatChunk(const std::string& _data)
{
	char size[32];
	std::snprintf(size, sizeof(size), "%zx\r\n", _data.size());
	return size + _data + "\r\n";
}

/// The platform's store: keyed topics with one partition, kept in memory. It answers as a sound store does.
class Store
{
public:
	Store()
		: server([this](Connection& _connection, const Message& _request)
				 { return this->serve(_connection, _request); })
	{
	}

	void put(const std::string& _topic, const std::string& _key, const std::string& _value)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		this->topics[_topic].emplace_back(_key, _value);
		this->changed.notify_all();
	}

	[[nodiscard]] std::string address() const
	{
		return addressOf(this->server.port);
	}

private:
	using Records = std::vector<std::pair<std::string, std::string>>;

	static std::string parameter(const std::string& _target, const std::string& _name)
	{
		std::size_t begin = _target.find("?" + _name + "=");
		begin = begin == std::string::npos ? _target.find("&" + _name + "=") : begin;
		if (begin == std::string::npos)
		{
			return {};
		}
		begin += _name.size() + 2;
		return _target.substr(begin, _target.find('&', begin) - begin);
	}

	static std::string base64(const std::string& _bytes)
	{
		static const char* s_signs = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
		std::string text;
		for (std::size_t at = 0; at < _bytes.size(); at += 3)
		{
			std::uint32_t group = 0;
			for (std::size_t index = 0; index < 3; ++index)
			{
				const bool given = at + index < _bytes.size();
				group = (group << 8) | (given ? static_cast<unsigned char>(_bytes[at + index]) : 0U);
			}
			for (std::size_t index = 0; index < 4; ++index)
			{
				const bool given = at + index <= _bytes.size();
				text += given ? s_signs[(group >> (18 - 6 * index)) & 63U] : '=';
			}
		}
		return text;
	}

	static std::string bigEndian(std::uint64_t _number, int _bytes)
	{
		std::string text;
		for (int shift = (_bytes - 1) * 8; shift >= 0; shift -= 8)
		{
			text += static_cast<char>((_number >> shift) & 255U);
		}
		return text;
	}

	bool serve(Connection& _connection, const Message& _request)
	{
		const std::string target = _request.target();
		const std::string topic = parameter(target, "topic");
		if (target.rfind("/v1/log-newest", 0) == 0)
		{
			const std::lock_guard<std::mutex> guard(this->lock);
			return _connection.send(
				formatResponse(200, {{"Content-Type", "application/json"}}, newest(this->topics[topic])));
		}
		const std::size_t from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
		const long wait = std::strtol(parameter(target, "wait-ms").c_str(), nullptr, 10);
		std::unique_lock<std::mutex> guard(this->lock);
		this->changed.wait_for(guard, std::chrono::milliseconds(wait),
							   [&] { return this->topics[topic].size() > from; });
		const std::string body = slice(this->topics[topic], from);
		guard.unlock();
		return _connection.send(formatResponse(200, {}, body));
	}

	static std::string newest(const Records& _records)
	{
		std::map<std::string, std::size_t> offsets;
		for (std::size_t offset = 0; offset < _records.size(); ++offset)
		{
			offsets[_records[offset].first] = offset;
		}
		std::string items;
		for (const auto& entry : offsets)
		{
			const std::string& value = _records[entry.second].second;
			if (!value.empty())
			{
				items += (items.empty() ? "" : ",") + std::string("{\"key-file\":\"") + entry.first +
						 "\",\"value\":\"" + base64(value) + "\",\"offset\":" + std::to_string(entry.second) + "}";
			}
		}
		return "{\"items\":[" + items + "],\"has-more\":false,\"end-offset\":" + std::to_string(_records.size()) + "}";
	}

	static std::string slice(const Records& _records, std::size_t _from)
	{
		std::string bytes = bigEndian(_records.size(), 8) + bigEndian(0, 8);
		for (std::size_t offset = _from; offset < _records.size(); ++offset)
		{
			const auto& [key, value] = _records[offset];
			const std::string record = bigEndian(key.size(), 1) + key + value;
			bytes += bigEndian(record.size(), 4) + record;
		}
		return bytes;
	}

	std::mutex lock;
	std::condition_variable changed;
	std::map<std::string, Records> topics;
	Server server; ///< Last, since it uses the others.
};

/// Ids of the child processes that run, for the end of the case.
inline std::atomic<pid_t> g_children[64];

inline void killChildren()
{
	for (std::atomic<pid_t>& child : g_children)
	{
		const pid_t id = child.exchange(0);
		if (id > 0)
		{
			::kill(id, SIGKILL);
			::waitpid(id, nullptr, 0);
		}
	}
}

/// Ends all child processes if the case itself is ended.
inline void endChildrenOnSignals()
{
	const auto handler = [](int)
	{
		killChildren();
		::_exit(kNotRun);
	};
	std::signal(SIGTERM, handler);
	std::signal(SIGINT, handler);
}

/// Ends the case with all child processes. The threads of the stand-ins still wait for requests, so nothing is
/// destroyed.
[[noreturn]] inline void finish(const std::string& _folder, int _code)
{
	killChildren();
	if (std::getenv("KEEP_LOGS") == nullptr && !_folder.empty())
	{
		std::error_code ignored;
		std::filesystem::remove_all(_folder, ignored);
	}
	std::_Exit(_code);
}

/// A child process.
class Process
{
public:
	Process(const std::vector<std::string>& _command, const std::vector<std::string>& _environment,
			const std::string& _output)
	{
		std::vector<char*> arguments;
		std::vector<char*> environment;
		for (const std::string& argument : _command)
		{
			arguments.push_back(const_cast<char*>(argument.c_str()));
		}
		for (const std::string& variable : _environment)
		{
			environment.push_back(const_cast<char*>(variable.c_str()));
		}
		arguments.push_back(nullptr);
		environment.push_back(nullptr);
		posix_spawn_file_actions_t actions;
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_addopen(&actions, 1, _output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
		posix_spawn_file_actions_adddup2(&actions, 1, 2);
		if (::posix_spawn(&this->id, arguments[0], &actions, nullptr, arguments.data(), environment.data()) != 0)
		{
			this->id = -1;
		}
		posix_spawn_file_actions_destroy(&actions);
		this->note(0, this->id);
	}

	Process(const Process&) = delete;
	Process& operator=(const Process&) = delete;

	~Process()
	{
		this->signal(SIGKILL);
		this->wait();
	}

	void signal(int _signal) const
	{
		if (this->id > 0)
		{
			::kill(this->id, _signal);
		}
	}

	/// @returns Status of its end as waitpid() gives it.
	int wait()
	{
		int status = 0;
		if (this->id > 0)
		{
			::waitpid(this->id, &status, 0);
			this->note(this->id, 0);
			this->id = -1;
		}
		return status;
	}

	/// @returns Status of its end if it has ended by itself.
	std::optional<int> ended()
	{
		int status = 0;
		if (this->id > 0 && ::waitpid(this->id, &status, WNOHANG) == this->id)
		{
			this->note(this->id, 0);
			this->id = -1;
			return status;
		}
		return std::nullopt;
	}

	pid_t id = -1;

private:
	/// Replaces an id in the list of child processes, 0 standing for a free place.
	static void note(pid_t _from, pid_t _to)
	{
		for (std::atomic<pid_t>& child : g_children)
		{
			pid_t expected = _from;
			if (child.compare_exchange_strong(expected, _to))
			{
				return;
			}
		}
	}
};

/// A client's answer.
struct Answer
{
	bool connected = false;
	std::optional<Message> message; ///< Empty if the connection ended before a head had come.
	std::string end;                ///< How the connection ended, if the answer is not complete.

	[[nodiscard]] std::string text() const
	{
		if (!this->connected)
		{
			return "no connection";
		}
		if (!this->message)
		{
			return "no answer, " + this->end;
		}
		return std::to_string(this->message->status()) + (this->message->complete ? " complete, " : " cut off, ") +
			   std::to_string(this->message->body.size()) + " bytes";
	}
};

/// Sends a request on a new connection and reads the answer.
inline Answer sendRequest(int _port, const std::string& _method, const std::string& _target, Headers _headers,
						  const std::string& _body, int _timeoutMs = 30'000)
{
	Answer answer;
	const int socket = connectTo(_port);
	if (socket < 0)
	{
		return answer;
	}
	answer.connected = true;
	Connection connection(socket);
	if (!_body.empty() || _method == "POST")
	{
		_headers.emplace_back("Content-Length", std::to_string(_body.size()));
	}
	connection.send(formatHead(_method + " " + _target + " HTTP/1.1", _headers) + _body);
	answer.message = connection.read(true, _timeoutMs);
	answer.end = connection.endOfRead;
	return answer;
}

/// One machine: its settings, and the daemon that runs on it.
class Node
{
public:
	Node(std::string _root, std::string _folder, std::string _name, std::string _zone)
		: root(std::move(_root)), folder(std::move(_folder)), name(std::move(_name)), zone(std::move(_zone)),
		  http(freePort()), readiness(freePort()), peers(freePort())
	{
	}

	/// Fills the template of the deploy file for this machine, with values of a small deployment.
	void writeSettings(const std::string& _store, const std::string& _seeds)
	{
		const std::map<std::string, std::string> values = {{"zone", this->zone},
														   {"listeners-map.http", addressOf(this->http)},
														   {"listeners-map.readiness", addressOf(this->readiness)},
														   {"listeners-map.control-plane", addressOf(this->peers)},
														   {"seeds", _seeds},
														   {"platform.address", _store},
														   {"limits.max-fds", "4200"},
														   {"limits.cpu-share", "0.25"},
														   {"bounds.grace-s", "8"},
														   {"bounds.retry-budget-ratio", "0.2"},
														   {"bounds.budget-slack", "52"},
														   {"bounds.config-apply-ms", "2000"},
														   {"bounds.drain-ms", "2000"}};
		std::ifstream source(this->root + "/deploy/settings.flags");
		std::stringstream text;
		text << source.rdbuf();
		std::ofstream(this->settingsPath()) << fill(text.str(), values);
	}

	/// Starts the daemon with the command of the deploy file.
	void start()
	{
		const std::string program = this->root + "/target/roadferryd";
		this->process = std::make_unique<Process>(
			std::vector<std::string>{program},
			std::vector<std::string>{"PATH=/usr/bin:/bin", "LANG=C", "ROADFERRY_SETTINGS=" + this->settingsPath()},
			this->logPath());
	}

	void kill()
	{
		this->process->signal(SIGKILL);
		this->process->wait();
	}

	[[nodiscard]] bool isReady() const
	{
		const Answer answer = sendRequest(this->readiness, "GET", "/v1/readyz", {{"Host", "node"}}, "", 1'000);
		return answer.message && answer.message->status() == 200;
	}

	bool awaitReady(int _timeoutMs = 10'000) const
	{
		for (int waited = 0; waited < _timeoutMs; waited += 10)
		{
			if (this->isReady())
			{
				return true;
			}
			sleepMs(10);
		}
		return false;
	}

	/// @returns Value of a metric, -1 if there is none.
	[[nodiscard]] double metric(const std::string& _name) const
	{
		const Answer answer = sendRequest(this->readiness, "GET", "/metrics", {{"Host", "node"}}, "", 1'000);
		const std::string text = answer.message ? answer.message->body : std::string();
		const std::size_t at = text.find("\n" + _name + " ");
		return at == std::string::npos ? -1 : std::atof(text.c_str() + at + _name.size() + 2);
	}

	bool awaitMembers(int _count) const
	{
		for (int waited = 0; waited < 10'000; waited += 50)
		{
			if (static_cast<int>(this->metric("roadferry_live_nodes")) == _count)
			{
				return true;
			}
			sleepMs(50);
		}
		return false;
	}

	/// @returns Number of lines of its log that have a text.
	[[nodiscard]] int linesWith(const std::string& _text) const
	{
		std::ifstream log(this->logPath());
		int count = 0;
		for (std::string line; std::getline(log, line);)
		{
			count += line.find(_text) == std::string::npos ? 0 : 1;
		}
		return count;
	}

	[[nodiscard]] std::string logPath() const
	{
		return this->folder + "/" + this->name + ".log";
	}

	[[nodiscard]] std::string settingsPath() const
	{
		return this->folder + "/" + this->name + ".flags";
	}

	std::string root;
	std::string folder;
	std::string name;
	std::string zone;
	int http;
	int readiness;
	int peers;
	std::unique_ptr<Process> process;

private:
	static std::string fill(std::string _text, const std::map<std::string, std::string>& _values)
	{
		for (std::size_t begin = _text.find("{{"); begin != std::string::npos; begin = _text.find("{{"))
		{
			const std::size_t end = _text.find("}}", begin);
			const std::string gap = _text.substr(begin + 2, end - begin - 2);
			const bool isSection = gap[0] == '#' || gap[0] == '/'; // All values are given, so sections stand.
			const auto found = _values.find(gap);
			_text.replace(begin, end + 2 - begin, isSection || found == _values.end() ? std::string() : found->second);
		}
		return _text;
	}
};

/// @returns A new folder below the folder for temporary files.
inline std::string makeFolder()
{
	const char* parent = std::getenv("TMPDIR");
	std::string path = std::string(parent == nullptr ? "/tmp" : parent) + "/roadferry-review-XXXXXX";
	return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

/// @returns Value of a string field in a JSON object of a known form, from a position on.
inline std::string textField(const std::string& _json, const std::string& _name, std::size_t _from = 0)
{
	const std::string key = "\"" + _name + "\":\"";
	const std::size_t begin = _json.find(key, _from);
	return begin == std::string::npos
			   ? std::string()
			   : _json.substr(begin + key.size(), _json.find('"', begin + key.size()) - begin - key.size());
}

/// @returns The objects of the array "items" in a JSON text, which hold no other objects.
inline std::vector<std::string> itemsOf(const std::string& _json)
{
	std::vector<std::string> items;
	std::size_t begin = _json.find('{', _json.find("\"items\""));
	while (begin != std::string::npos)
	{
		const std::size_t end = _json.find('}', begin);
		items.push_back(_json.substr(begin, end - begin + 1));
		begin = _json.find('{', end);
	}
	return items;
}

/// @returns Entry of an engine in the store.
inline std::string engineEntry(const std::string& _service, int _port, const std::string& _zone, int _slots,
							   std::int64_t _born, const std::string& _state = "ready")
{
	return R"({"service":")" + _service + R"(","address":")" + addressOf(_port) + R"(","zone":")" + _zone +
		   R"(","version":"v1","slots":)" + std::to_string(_slots) + R"(,"state":")" + _state +
		   R"(","cold-remaining-ms":0,"sequence":1,"born":)" + std::to_string(_born) + "}";
}

} // namespace review

#endif // ROADFERRY_REVIEW_WORLD_H_HEADER_GUARD
