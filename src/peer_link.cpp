/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Messages between nodes, on websocketpp. Compiled as C++17.

#include "peer_link.h"

#include "secret.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
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

constexpr std::size_t kMessageLimit = 8 * 1024 * 1024;
constexpr std::size_t kQueueLimit = 4'096; ///< Messages that wait for a connection to open.
constexpr long kOpenTimeoutMs = 1'000;
constexpr const char* kPeerHeader = "X-Roadferry-Peer";
constexpr std::int64_t kSilenceCheckPeriod = 250'000;  ///< Microseconds.
constexpr std::chrono::milliseconds kPingAfter{1'000}; ///< Without an answer of any kind to what was written.
constexpr std::chrono::milliseconds kSilentAfter{2'000};
constexpr long kCloseTimeoutMs = 1'000;
constexpr auto kBinary = websocketpp::frame::opcode::binary;

/// The connection to one node, whichever side opened it.
struct Peer
{
	Handle handle;
	bool incoming = false;
	bool open = false;
	std::vector<std::string> queued;
	std::optional<Clock::time_point> unanswered; ///< Oldest message after which nothing has come on this connection.
	bool pinged = false;                         ///< Since then.
};

} // namespace

struct PeerLink::Impl : std::enable_shared_from_this<PeerLink::Impl>
{
	Impl(IoPool& _pool, std::string _secret, PeerHandlers _handlers)
		: pool(_pool), secret(std::move(_secret)), handlers(std::move(_handlers))
	{
		this->server.clear_access_channels(websocketpp::log::alevel::all);
		this->server.clear_error_channels(websocketpp::log::elevel::all);
		this->client.clear_access_channels(websocketpp::log::alevel::all);
		this->client.clear_error_channels(websocketpp::log::elevel::all);
		this->server.init_asio(&_pool.context(0));
		this->client.init_asio(&_pool.context(0));
		this->server.set_reuse_addr(true);
		this->server.set_max_message_size(kMessageLimit);
		this->client.set_max_message_size(kMessageLimit);
		this->client.set_open_handshake_timeout(kOpenTimeoutMs);
		this->setHandlers();
	}

	void setHandlers()
	{
		this->server.set_validate_handler([this](const Handle& _handle) { return this->isPeer(_handle); });
		this->server.set_open_handler([this](const Handle& _handle) { this->accepted(_handle); });
		this->server.set_message_handler(
			[this](const Handle& _handle, const Server::message_ptr& _message)
			{ this->received(this->announced(_handle), _handle, _message->get_payload()); });
		this->server.set_pong_handler([this](const Handle& _handle, const std::string&)
									  { this->answered(this->announced(_handle), _handle); });
		this->server.set_close_handshake_timeout(kCloseTimeoutMs);
		this->client.set_close_handshake_timeout(kCloseTimeoutMs);
		this->server.set_close_handler([this](const Handle& _handle)
									   { this->closed(this->announced(_handle), _handle); });
		this->server.set_fail_handler([](const Handle&) {});
	}

	bool isPeer(const Handle& _handle)
	{
		const auto connection = this->server.get_con_from_hdl(_handle);
		const std::string credential = bearerOf(connection->get_request_header("Authorization"));
		return equalSecrets(credential, this->secret) && !connection->get_request_header(kPeerHeader).empty();
	}

	std::string announced(const Handle& _handle)
	{
		Error error;
		const auto connection = this->server.get_con_from_hdl(_handle, error);
		return error ? std::string() : connection->get_request_header(kPeerHeader);
	}

	void accepted(const Handle& _handle)
	{
		Peer& peer = this->peers[this->announced(_handle)];
		if (peer.open && !peer.incoming)
		{
			return; // Both sides opened one at the same time.
		}
		if (peer.open)
		{
			this->closeConnection(peer); // The other side has given it up.
		}
		peer.unanswered.reset();
		peer.pinged = false;
		peer.handle = _handle;
		peer.incoming = true;
		peer.open = true;
		this->flush(peer);
	}

	void received(const std::string& _peer, const Handle& _handle, const std::string& _message)
	{
		this->byteCount += _message.size();
		this->answered(_peer, _handle);
		this->handlers.onMessage(_peer, _message);
	}

	static bool isSame(const Handle& _left, const Handle& _right)
	{
		return !_left.owner_before(_right) && !_right.owner_before(_left);
	}

	/// Something has come on a connection.
	void answered(const std::string& _peer, const Handle& _handle)
	{
		const auto found = this->peers.find(_peer);
		if (found != this->peers.end() && isSame(found->second.handle, _handle))
		{
			found->second.unanswered.reset();
			found->second.pinged = false;
		}
	}

	/// A connection may fall silent without being reset: then only the answers that do not come show it.
	void checkSilence()
	{
		const Clock::time_point now = Clock::now();
		std::vector<std::string> silent;
		for (auto& entry : this->peers)
		{
			Peer& peer = entry.second;
			if (!peer.open || !peer.unanswered)
			{
				continue;
			}
			if (now - *peer.unanswered >= kSilentAfter && peer.pinged)
			{
				silent.push_back(entry.first);
			}
			else if (now - *peer.unanswered >= kPingAfter && !peer.pinged)
			{
				this->ping(peer);
			}
		}
		for (const std::string& peer : silent)
		{
			this->giveUp(peer);
		}
	}

	void ping(Peer& _peer)
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

	void giveUp(const std::string& _peer)
	{
		const Peer peer = this->peers.at(_peer);
		this->peers.erase(_peer);
		this->closeConnection(peer);
		this->silentCount += 1;
		this->handlers.onClosed(_peer);
	}

	void closeConnection(const Peer& _peer)
	{
		Error ignored;
		if (_peer.incoming)
		{
			this->server.close(_peer.handle, websocketpp::close::status::going_away, "", ignored);
			return;
		}
		this->client.close(_peer.handle, websocketpp::close::status::going_away, "", ignored);
	}

	void closed(const std::string& _peer, const Handle& _handle)
	{
		const auto found = this->peers.find(_peer);
		if (found == this->peers.end())
		{
			return;
		}
		if (!isSame(found->second.handle, _handle))
		{
			return;
		}
		this->peers.erase(found);
		this->handlers.onClosed(_peer);
	}

	void flush(Peer& _peer)
	{
		const std::vector<std::string> messages = std::move(_peer.queued);
		_peer.queued.clear();
		for (const std::string& message : messages)
		{
			this->write(_peer, message);
		}
	}

	void write(Peer& _peer, const std::string& _message)
	{
		// A connection that fails here is closed by the library, which calls the close handler.
		Error ignored;
		this->byteCount += _message.size();
		_peer.unanswered = _peer.unanswered.value_or(Clock::now());
		if (_peer.incoming)
		{
			this->server.send(_peer.handle, _message, kBinary, ignored);
			this->noteQueued(this->server.get_con_from_hdl(_peer.handle, ignored));
			return;
		}
		this->client.send(_peer.handle, _message, kBinary, ignored);
		this->noteQueued(this->client.get_con_from_hdl(_peer.handle, ignored));
	}

	template<class Connection>
	void noteQueued(const Connection& _connection)
	{
		if (_connection != nullptr)
		{
			this->mostQueued = std::max<std::uint64_t>(this->mostQueued, _connection->get_buffered_amount());
		}
	}

	void sendNow(const std::string& _peer, std::string _message)
	{
		if (this->closing)
		{
			return;
		}
		const bool known = this->peers.count(_peer) > 0;
		Peer& peer = this->peers[_peer];
		if (peer.open)
		{
			this->write(peer, _message);
			return;
		}
		if (peer.queued.size() < kQueueLimit)
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
			this->handlers.onClosed(_peer);
			return;
		}
		connection->append_header("Authorization", "Bearer " + this->secret);
		connection->append_header(kPeerHeader, this->selfAddress);
		connection->set_open_handler([this, _peer](const Handle& _handle) { this->opened(_peer, _handle); });
		connection->set_message_handler([this, _peer](const Handle& _handle, const Client::message_ptr& _message)
										{ this->received(_peer, _handle, _message->get_payload()); });
		connection->set_pong_handler([this, _peer](const Handle& _handle, const std::string&)
									 { this->answered(_peer, _handle); });
		connection->set_close_handler([this, _peer](const Handle& _handle) { this->closed(_peer, _handle); });
		connection->set_fail_handler([this, _peer](const Handle& _handle) { this->closed(_peer, _handle); });
		this->peers[_peer].handle = connection->get_handle();
		this->client.connect(connection);
	}

	void opened(const std::string& _peer, const Handle& _handle)
	{
		Peer& peer = this->peers[_peer];
		if (peer.open)
		{
			// The other side opened one at the same time; both stay usable, and that one is in use.
			return;
		}
		peer.handle = _handle;
		peer.incoming = false;
		peer.open = true;
		this->flush(peer);
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
	PeerHandlers handlers;
	std::string selfAddress;
	Server server;
	Client client;
	std::map<std::string, Peer> peers;
	std::atomic<std::uint64_t> byteCount{0};
	std::atomic<std::uint64_t> mostQueued{0};
	std::atomic<std::uint64_t> silentCount{0};
	bool closing = false;
};

PeerLink::PeerLink(IoPool& _pool, std::string _secret, PeerHandlers _handlers)
	: impl(std::make_shared<Impl>(_pool, std::move(_secret), std::move(_handlers)))
{
}

PeerLink::~PeerLink() = default;

std::string PeerLink::listen(const std::string& _ip, std::uint16_t _port, const std::string& _announced)
{
	Error error;
	boost::system::error_code addressError;
	const auto ip = boost::asio::ip::make_address(_ip, addressError);
	if (addressError)
	{
		return "peer listen address " + _ip + ": must be an IP number";
	}
	this->impl->server.listen(boost::asio::ip::tcp::endpoint(ip, _port), error);
	if (error)
	{
		return "peer listen on " + _ip + ":" + std::to_string(_port) + ": " + error.message();
	}
	boost::system::error_code ignored;
	const auto endpoint = this->impl->server.get_local_endpoint(ignored);
	this->impl->selfAddress = _announced.empty() ? _ip + ":" + std::to_string(endpoint.port()) : _announced;
	this->impl->server.start_accept(error);
	this->impl->pool.runEvery(0, kSilenceCheckPeriod, [impl = this->impl] { impl->checkSilence(); });
	return error ? "peer listen: " + error.message() : std::string();
}

const std::string& PeerLink::self() const
{
	return this->impl->selfAddress;
}

void PeerLink::send(const std::string& _peer, std::string _message)
{
	this->impl->pool.post(0, [impl = this->impl, _peer, message = std::move(_message)]() mutable
						  { impl->sendNow(_peer, std::move(message)); });
}

std::uint64_t PeerLink::bytes() const
{
	return this->impl->byteCount;
}

std::uint64_t PeerLink::silentConnections() const
{
	return this->impl->silentCount;
}

std::uint64_t PeerLink::takeMostQueued()
{
	return this->impl->mostQueued.exchange(0);
}

void PeerLink::close()
{
	this->impl->pool.post(0, [impl = this->impl] { impl->closeAll(); });
}

} // namespace roadferry
