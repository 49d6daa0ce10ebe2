/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of Relay.

#include "relay.h"

#include "table_json.h"

namespace roadferry
{

namespace
{

/// Sends the tokens and the result of a request back to the node that forwarded it.
class PeerSink final : public AnswerSink
{
public:
	PeerSink(PeerProcess _peer, std::uint64_t _relay,
			 std::function<void(const PeerProcess&, const PeerMessage&)> _answer)
		: peer(std::move(_peer)), relay(_relay), answer(std::move(_answer))
	{
	}

	void writeToken(std::int64_t _position, const std::string& _text) override
	{
		this->answer(this->peer, RelayToken{this->relay, _position, _text});
	}

	void writeResult(unsigned _status, Micros _retryAfter, const std::string& _json) override
	{
		this->answer(this->peer, RelayResult{this->relay, static_cast<std::int64_t>(_status), _retryAfter, _json});
	}

private:
	PeerProcess peer;
	std::uint64_t relay;
	std::function<void(const PeerProcess&, const PeerMessage&)> answer;
};

void writeOutcome(AnswerSink& _sink, const std::string& _ticket, const Outcome& _outcome)
{
	QJsonObject object = toJson(_outcome);
	object["request"] = QString::fromStdString(_ticket);
	_sink.writeResult(httpStatusOf(_outcome), _outcome.retryAfter, toText(object));
}

Outcome issuerUnreachable()
{
	return Outcome{Verdict::Unknown, Reason::IssuerUnreachable, false, 0, {}};
}

} // namespace

Relay::Relay(IoPool& _pool, Traffic& _traffic, std::uint64_t _firstRelay, RelaySends _sends)
	: pool(_pool), traffic(_traffic), sends(std::move(_sends)), lastRelay(_firstRelay)
{
}

void Relay::forward(std::size_t _thread, const Incarnation& _issuer, RelayRequest _request, Micros _timeout,
					std::shared_ptr<AnswerSink> _sink)
{
	std::uint64_t relay = 0;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		relay = ++this->lastRelay;
		this->pending.emplace(relay, PendingCall{_thread, _issuer.node, _request.ticket, std::move(_sink)});
	}
	_request.relayId = relay;
	this->sends.send(_issuer.node, _request);
	this->pool.runAfter(_thread, _timeout, [this, relay] { this->fail(relay); });
}

std::optional<Relay::PendingCall> Relay::takePending(std::uint64_t _relay)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	const auto found = this->pending.find(_relay);
	if (found == this->pending.end())
	{
		return std::nullopt;
	}
	PendingCall taken = std::move(found->second);
	this->pending.erase(found);
	return taken;
}

void Relay::fail(std::uint64_t _relay)
{
	const std::optional<PendingCall> taken = this->takePending(_relay);
	if (taken)
	{
		this->pool.post(taken->thread,
						[entry = *taken] { writeOutcome(*entry.sink, entry.ticket, issuerUnreachable()); });
	}
}

void Relay::onRequest(const PeerProcess& _from, const RelayRequest& _request)
{
	auto sink = std::make_shared<PeerSink>(_from, _request.relayId, this->sends.answer);
	const auto ticket = ticketFromText(_request.ticket);
	if (!ticket.ok())
	{
		writeOutcome(*sink, _request.ticket, issuerUnreachable());
		return;
	}
	std::optional<Incarnation> otherIssuer;
	if (_request.kind == RelayKind::Query)
	{
		otherIssuer = this->traffic.query(*ticket, _request.workspace, sink);
	}
	else if (_request.kind == RelayKind::Cancel)
	{
		otherIssuer = this->traffic.cancel(*ticket, _request.workspace, sink);
	}
	else
	{
		auto submission = parseSubmission(_request.workspace, _request.pipeline, _request.body);
		if (!submission.ok())
		{
			writeOutcome(*sink, _request.ticket, issuerUnreachable());
			return;
		}
		submission->trace = traceFromHeader(_request.trace);
		const std::size_t thread = this->nextThread++ % this->pool.size();
		this->pool.post(thread,
						[this, thread, submission = *std::move(submission), sink, text = _request.ticket]
						{
							if (this->traffic.submit(thread, submission, sink))
							{
								writeOutcome(*sink, text, issuerUnreachable());
							}
						});
	}
	if (otherIssuer)
	{
		// The issuer ran at this address but was another incarnation: that process is gone, and the outcome is unknown.
		writeOutcome(*sink, _request.ticket, issuerUnreachable());
	}
}

void Relay::onToken(const RelayToken& _token)
{
	const std::lock_guard<std::mutex> guard(this->lock);
	const auto found = this->pending.find(_token.relayId);
	if (found == this->pending.end())
	{
		return;
	}
	this->pool.post(found->second.thread,
					[sink = found->second.sink, token = _token] { sink->writeToken(token.position, token.text); });
}

void Relay::onResult(const RelayResult& _result)
{
	const std::optional<PendingCall> taken = this->takePending(_result.relayId);
	if (!taken)
	{
		return;
	}
	this->pool.post(taken->thread, [sink = taken->sink, result = _result]
					{ sink->writeResult(static_cast<unsigned>(result.status), result.retryAfter, result.json); });
}

void Relay::onPeerClosed(const std::string& _peer)
{
	std::vector<std::uint64_t> ended;
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		for (const auto& entry : this->pending)
		{
			if (entry.second.peer == _peer)
			{
				ended.push_back(entry.first);
			}
		}
	}
	for (const std::uint64_t relay : ended)
	{
		this->fail(relay);
	}
}

} // namespace roadferry
