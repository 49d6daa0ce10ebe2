/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Transport of messages between nodes, based on websocketpp. Compiled as C++17.

#include "peer_link.h"

#include "secret.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <optional>
#include <vector>

namespace roadferry
{

namespace
{

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Error = websocketpp::lib::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxQueuedMessages = 4'096; ///< Per node, while its connection opens.
constexpr long kOpenTimeoutMs = 1'000;
constexpr const char* kPeerHeader = "X-Roadferry-Peer";
constexpr const char* kProcessHeader = "X-Roadferry-Process"; ///< In the opening handshake, of both sides.
constexpr int kDecimal = 10;
constexpr std::int64_t kSilenceCheckPeriodUs = 250'000;
constexpr std::chrono::milliseconds kPingAfter{1'000};      ///< Time after an unanswered message until a ping is sent.
constexpr std::chrono::milliseconds kSilenceTimeout{2'000}; ///< Time after an unanswered message until the close.
constexpr long kCloseTimeoutMs = 1'000;
constexpr auto kBinary = websocketpp::frame::opcode::binary;

/// A message that waits for its connection to open.
struct QueuedMessage
{
	std::string bytes;
	std::optional<std::uint64_t> process; ///< If set, the message is only for this process.
};

/// Connection to one node, opened by either side.
struct PeerConnection
{
	Handle handle;
	std::uint64_t process = kUnknownProcess; ///< At the other end.
	bool incoming = false;
	bool open = false;
	std::vector<QueuedMessage> queued;
	/// Send time of the oldest message after which nothing was received on this connection.
	std::optional<Clock::time_point> unansweredSince;
	bool pinged = false; ///< A ping was sent since then.
};

/// @returns Number in a handshake header, kUnknownProcess if the header is missing.
std::uint64_t parseProcess(const std::string& _header)
{
	return std::strtoull(_header.c_str(), nullptr, kDecimal);
}

} // namespace

struct PeerLink::Impl : std::enable_shared_from_this<PeerLink::Impl>
{
	Impl(IoPool& _pool, std::string _secret, std::uint64_t _process, PeerHandlers _handlers)
		: pool(_pool), secret(std::move(_secret)), process(std::to_string(_process)), handlers(std::move(_handlers))
	{
		this->server.clear_access_channels(websocketpp::log::alevel::all);
		this->server.clear_error_channels(websocketpp::log::elevel::all);
		this->client.clear_access_channels(websocketpp::log::alevel::all);
		this->client.clear_error_channels(websocketpp::log::elevel::all);
		this->server.init_asio(&_pool.context(0));
		this->client.init_asio(&_pool.context(0));
		this->server.set_reuse_addr(true);
		this->server.set_max_message_size(kMaxMessageBytes);
		this->client.set_max_message_size(kMaxMessageBytes);
		this->client.set_open_handshake_timeout(kOpenTimeoutMs);
		this->setHandlers();
	}

	void setHandlers()
	{
		this->server.set_validate_handler([this](const Handle& _handle) { return this->onHandshake(_handle); });
		this->server.set_open_handler([this](const Handle& _handle) { this->onAccepted(_handle); });
		this->server.set_message_handler(
			[this](const Handle& _handle, const Server::message_ptr& _message)
			{ this->onMessage(this->callerOf(_handle), _handle, _message->get_payload()); });
		this->server.set_pong_handler([this](const Handle& _handle, const std::string&)
									  { this->onActivity(this->peerAddress(_handle), _handle); });
		this->server.set_close_handshake_timeout(kCloseTimeoutMs);
		this->client.set_close_handshake_timeout(kCloseTimeoutMs);
		this->server.set_close_handler([this](const Handle& _handle)
									   { this->onClosed(this->peerAddress(_handle), _handle); });
		this->server.set_fail_handler([](const Handle&) {});
	}

	/// Checks the credential of a node that opens a connection, and tells it the number of this process.
	bool onHandshake(const Handle& _handle)
	{
		const auto connection = this->server.get_con_from_hdl(_handle);
		connection->append_header(kProcessHeader, this->process);
		const std::string credential = bearerToken(connection->get_request_header("Authorization"));
		return equalSecrets(credential, this->secret) && !connection->get_request_header(kPeerHeader).empty();
	}

	std::string peerAddress(const Handle& _handle)
	{
		Error error;
		const auto connection = this->server.get_con_from_hdl(_handle, error);
		return error ? std::string() : connection->get_request_header(kPeerHeader);
	}

	/// Returns the process that opened a connection to this node.
	PeerProcess callerOf(const Handle& _handle)
	{
		Error error;
		const auto connection = this->server.get_con_from_hdl(_handle, error);
		if (error)
		{
			return {};
		}
		return {connection->get_request_header(kPeerHeader),
				parseProcess(connection->get_request_header(kProcessHeader))};
	}

	/// Returns the process to which this node opened a connection.
	PeerProcess calleeOf(const std::string& _peer, const Handle& _handle)
	{
		Error error;
		const auto connection = this->client.get_con_from_hdl(_handle, error);
		return {_peer, error ? kUnknownProcess : parseProcess(connection->get_response_header(kProcessHeader))};
	}

	void onAccepted(const Handle& _handle)
	{
		const PeerProcess caller = this->callerOf(_handle);
		PeerConnection& peer = this->peers[caller.address];
		if (peer.open && !peer.incoming && peer.process == caller.number)
		{
			return; // Both sides opened a connection at the same time; the outgoing one stays in use.
		}
		if (peer.open)
		{
			this->replaceConnection(caller.address); // The other side has abandoned it and opened a new one.
		}
		this->use(caller, _handle, true);
	}

	/// Closes the connection in use to a node that has another one now. Messages sent on it may be lost.
	void replaceConnection(const std::string& _peer)
	{
		this->closeConnection(this->peers[_peer]);
		this->notifyClosed(_peer, this->peers[_peer], "replaced");
	}

	/// Takes a connection into use.
	void use(const PeerProcess& _process, const Handle& _handle, bool _incoming)
	{
		PeerConnection& peer = this->peers[_process.address];
		peer.handle = _handle;
		peer.process = _process.number;
		peer.incoming = _incoming;
		peer.open = true;
		peer.unansweredSince.reset();
		peer.pinged = false;
		if (this->handlers.onConnected)
		{
			this->handlers.onConnected(_process);
		}
		this->flush(peer);
	}

	void onMessage(const PeerProcess& _from, const Handle& _handle, const std::string& _message)
	{
		this->transferredBytes += _message.size();
		const auto found = this->peers.find(_from.address);
		if (found != this->peers.end() && found->second.open && found->second.process != _from.number)
		{
			return; // A late message of a process that was replaced.
		}
		this->onActivity(_from.address, _handle);
		this->handlers.onMessage(_from, _message);
	}

	static bool isSameConnection(const Handle& _left, const Handle& _right)
	{
		return !_left.owner_before(_right) && !_right.owner_before(_left);
	}

	/// Records that data was received on a connection.
	void onActivity(const std::string& _peer, const Handle& _handle)
	{
		const auto found = this->peers.find(_peer);
		if (found != this->peers.end() && isSameConnection(found->second.handle, _handle))
		{
			found->second.unansweredSince.reset();
			found->second.pinged = false;
		}
	}

	/// Pings or closes connections on which messages stay unanswered. A dead connection is not always reset, so missing
	/// responses are the only sign of it.
	void checkSilence()
	{
		const Clock::time_point now = Clock::now();
		std::vector<std::string> silent;
		for (auto& entry : this->peers)
		{
			PeerConnection& peer = entry.second;
			if (!peer.open || !peer.unansweredSince)
			{
				continue;
			}
			if (now - *peer.unansweredSince >= kSilenceTimeout && peer.pinged)
			{
				silent.push_back(entry.first);
			}
			else if (now - *peer.unansweredSince >= kPingAfter && !peer.pinged)
			{
				this->ping(peer);
			}
		}
		for (const std::string& peer : silent)
		{
			this->closeSilent(peer);
		}
	}

	void ping(PeerConnection& _peer)
	{
		Error ignored;
		_peer.pinged = true;
		if (_peer.incoming)
		{
			this->server.ping(_peer.handle, "", ignored);
			return;
		}
		this->client.ping(_peer.handle, "", ignored);
	}

	void closeSilent(const std::string& _peer)
	{
		const PeerConnection peer = this->peers.at(_peer);
		this->peers.erase(_peer);
		this->closeConnection(peer);
		this->silentConnectionsClosed += 1;
		this->notifyClosed(_peer, peer, "silent");
	}

	void closeConnection(const PeerConnection& _peer)
	{
		Error ignored;
		if (_peer.incoming)
		{
			this->server.close(_peer.handle, websocketpp::close::status::going_away, "", ignored);
			return;
		}
		this->client.close(_peer.handle, websocketpp::close::status::going_away, "", ignored);
	}

	void onClosed(const std::string& _peer, const Handle& _handle)
	{
		const auto found = this->peers.find(_peer);
		if (found == this->peers.end())
		{
			return;
		}
		if (!isSameConnection(found->second.handle, _handle))
		{
			return;
		}
		const PeerConnection peer = std::move(found->second);
		this->peers.erase(found);
		this->notifyClosed(_peer, peer, peer.open ? "ended" : "not_opened");
	}

	/// Tells the node that a connection is no longer in use, with the messages that were to be sent on it.
	void notifyClosed(const std::string& _peer, const PeerConnection& _connection, const std::string& _why)
	{
		if (this->handlers.onConnectionEnd)
		{
			const Clock::time_point now = Clock::now();
			const auto unanswered = now - _connection.unansweredSince.value_or(now);
			this->handlers.onConnectionEnd(
				PeerConnectionEnd{_peer, _why, _connection.incoming, _connection.queued.size(),
								  std::chrono::duration_cast<std::chrono::milliseconds>(unanswered).count()});
		}
		this->handlers.onClosed(_peer);
	}

	void flush(PeerConnection& _peer)
	{
		const std::vector<QueuedMessage> messages = std::move(_peer.queued);
		_peer.queued.clear();
		for (const QueuedMessage& message : messages)
		{
			this->writeIfMeant(_peer, message);
		}
	}

	/// Writes a message unless it is for another process than the one at the other end.
	void writeIfMeant(PeerConnection& _peer, const QueuedMessage& _message)
	{
		if (_message.process && *_message.process != _peer.process)
		{
			this->answersDropped += 1;
			return;
		}
		this->write(_peer, _message.bytes);
	}

	void write(PeerConnection& _peer, const std::string& _message)
	{
		// On a failed send the library closes the connection and calls the close handler.
		Error ignored;
		this->transferredBytes += _message.size();
		_peer.unansweredSince = _peer.unansweredSince.value_or(Clock::now());
		if (_peer.incoming)
		{
			this->server.send(_peer.handle, _message, kBinary, ignored);
			this->recordQueuedBytes(this->server.get_con_from_hdl(_peer.handle, ignored));
			return;
		}
		this->client.send(_peer.handle, _message, kBinary, ignored);
		this->recordQueuedBytes(this->client.get_con_from_hdl(_peer.handle, ignored));
	}

	template<class Connection>
	void recordQueuedBytes(const Connection& _connection)
	{
		if (_connection != nullptr)
		{
			this->maxQueuedBytes = std::max<std::uint64_t>(this->maxQueuedBytes, _connection->get_buffered_amount());
		}
	}

	void sendOrQueue(const std::string& _peer, QueuedMessage _message)
	{
		if (this->closing)
		{
			return;
		}
		const bool known = this->peers.count(_peer) > 0;
		PeerConnection& peer = this->peers[_peer];
		if (peer.open)
		{
			this->writeIfMeant(peer, _message);
			return;
		}
		if (peer.queued.size() < kMaxQueuedMessages)
		{
			peer.queued.push_back(std::move(_message));
		}
		if (!known)
		{
			this->connect(_peer);
		}
	}

	void connect(const std::string& _peer)
	{
		Error error;
		const auto connection = this->client.get_connection("ws://" + _peer + "/peer", error);
		if (error)
		{
			this->peers.erase(_peer);
			this->notifyClosed(_peer, PeerConnection{}, "no_address");
			return;
		}
		connection->append_header("Authorization", "Bearer " + this->secret);
		connection->append_header(kPeerHeader, this->selfAddress);
		connection->append_header(kProcessHeader, this->process);
		connection->set_open_handler([this, _peer](const Handle& _handle) { this->onOpened(_peer, _handle); });
		connection->set_message_handler(
			[this, _peer](const Handle& _handle, const Client::message_ptr& _message)
			{ this->onMessage(this->calleeOf(_peer, _handle), _handle, _message->get_payload()); });
		connection->set_pong_handler([this, _peer](const Handle& _handle, const std::string&)
									 { this->onActivity(_peer, _handle); });
		connection->set_close_handler([this, _peer](const Handle& _handle) { this->onClosed(_peer, _handle); });
		connection->set_fail_handler([this, _peer](const Handle& _handle) { this->onClosed(_peer, _handle); });
		this->peers[_peer].handle = connection->get_handle();
		this->client.connect(connection);
	}

	void onOpened(const std::string& _peer, const Handle& _handle)
	{
		const PeerProcess callee = this->calleeOf(_peer, _handle);
		const PeerConnection& peer = this->peers[_peer];
		if (peer.open && peer.process == callee.number)
		{
			// The other side opened a connection at the same time. Both stay usable, and the incoming one is in use.
			return;
		}
		if (peer.open)
		{
			this->replaceConnection(_peer); // To an earlier process.
		}
		this->use(callee, _handle, false);
	}

	void closeAll()
	{
		this->closing = true;
		Error ignored;
		if (this->server.is_listening())
		{
			this->server.stop_listening(ignored);
		}
		for (const auto& entry : this->peers)
		{
			if (entry.second.open)
			{
				this->closeConnection(entry.second);
			}
		}
	}

	IoPool& pool;
	std::string secret;
	std::string process; ///< Number of this process, in decimal digits.
	PeerHandlers handlers;
	std::string selfAddress;
	Server server;
	Client client;
	std::map<std::string, PeerConnection> peers;
	std::atomic<std::uint64_t> transferredBytes{0};
	std::atomic<std::uint64_t> maxQueuedBytes{0};
	std::atomic<std::uint64_t> silentConnectionsClosed{0};
	std::atomic<std::uint64_t> answersDropped{0};
	bool closing = false;
};

PeerLink::PeerLink(IoPool& _pool, std::string _secret, std::uint64_t _process, PeerHandlers _handlers)
	: impl(std::make_shared<Impl>(_pool, std::move(_secret), _process, std::move(_handlers)))
{
}

PeerLink::~PeerLink() = default;

std::string PeerLink::listen(const std::string& _ip, std::uint16_t _port, const std::string& _announcedAddress)
{
	Error error;
	boost::system::error_code addressError;
	const auto ip = boost::asio::ip::make_address(_ip, addressError);
	if (addressError)
	{
		return "peer listen address " + _ip + ": must be an IP address";
	}
	this->impl->server.listen(boost::asio::ip::tcp::endpoint(ip, _port), error);
	if (error)
	{
		return "peer listen on " + _ip + ":" + std::to_string(_port) + ": " + error.message();
	}
	boost::system::error_code ignored;
	const auto endpoint = this->impl->server.get_local_endpoint(ignored);
	this->impl->selfAddress =
		_announcedAddress.empty() ? _ip + ":" + std::to_string(endpoint.port()) : _announcedAddress;
	this->impl->server.start_accept(error);
	this->impl->pool.runEvery(0, kSilenceCheckPeriodUs, [impl = this->impl] { impl->checkSilence(); });
	return error ? "peer listen: " + error.message() : std::string();
}

const std::string& PeerLink::self() const
{
	return this->impl->selfAddress;
}

void PeerLink::send(const std::string& _peer, std::string _message)
{
	this->impl->pool.post(0,
						  [impl = this->impl, _peer, message = std::move(_message)]() mutable {
							  impl->sendOrQueue(_peer, QueuedMessage{std::move(message), std::nullopt});
						  });
}

void PeerLink::answer(const PeerProcess& _to, std::string _message)
{
	this->impl->pool.post(0,
						  [impl = this->impl, _to, message = std::move(_message)]() mutable {
							  impl->sendOrQueue(_to.address, QueuedMessage{std::move(message), _to.number});
						  });
}

std::uint64_t PeerLink::answersDropped() const
{
	return this->impl->answersDropped;
}

std::uint64_t PeerLink::transferredBytes() const
{
	return this->impl->transferredBytes;
}

std::uint64_t PeerLink::silentConnectionsClosed() const
{
	return this->impl->silentConnectionsClosed;
}

std::uint64_t PeerLink::takeMaxQueuedBytes()
{
	return this->impl->maxQueuedBytes.exchange(0);
}

void PeerLink::close()
{
	this->impl->pool.post(0, [impl = this->impl] { impl->closeAll(); });
}

} // namespace roadferry
