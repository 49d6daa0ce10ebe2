/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Pieces over nodes: who makes them, and what happens when that node falls silent.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

PieceScheduler::PieceScheduler(std::string _self, PieceSchedulerConfig _config)
	: self(std::move(_self)), config(_config), maker(_config.batches), admission(_config.admission), members({self})
{
}

void PieceScheduler::setPools(const std::vector<PoolSpec>& _pools)
{
	this->maker.setPools(_pools);
	this->admission.setPools(_pools);
}

void PieceScheduler::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->maker.setEndpoints(_endpoints);
	this->admission.setEndpoints(_endpoints);
}

void PieceScheduler::setMembers(const std::vector<std::string>& _members, Micros _now)
{
	this->maker.expectOthersUntil(_now + this->config.handover);
	this->members = _members;
}

std::string PieceScheduler::nodeOf(const std::string& _pool, Micros _now) const
{
	if (!this->config.shared)
	{
		return this->self;
	}
	std::vector<std::string> candidates;
	for (const std::string& member : this->members)
	{
		const auto silent = this->silentUntil.find(member);
		if (silent == this->silentUntil.end() || silent->second <= _now)
		{
			candidates.push_back(member);
		}
	}
	return candidates.empty() ? this->self : batchNodeOf(_pool, candidates);
}

bool PieceScheduler::isMember(const std::string& _node) const
{
	return std::find(this->members.begin(), this->members.end(), _node) != this->members.end();
}

void PieceScheduler::makeHere(const std::string& _pool, const std::string& _peer, const PieceOrder& _order, Micros _now)
{
	PieceOrder numbered = _order;
	numbered.order = ++this->lastNumber;
	this->inHand.emplace(numbered.order, InHand{_peer, _order.order, true});
	this->numberOf[{_peer, _order.order}] = numbered.order;
	this->maker.add(_pool, numbered, _now);
}

void PieceScheduler::send(const std::string& _to, PieceMessage _message, PieceActions& _actions)
{
	_actions.emplace_back(SendPieceMessage{_to, std::move(_message)});
}

/// Whether the request of these pieces is let in; only its first pieces are asked for with terms.
bool PieceScheduler::admits(const std::string& _from, const PieceAsk& _ask, Micros _now, PieceActions& _actions)
{
	if (!_ask.admission)
	{
		return true;
	}
	std::map<std::string, Micros> waits;
	for (const PoolDemand& demand : _ask.admission->demand)
	{
		waits[demand.pool] = this->waitTime(demand.pool, _now);
	}
	const AdmissionVerdict verdict = this->admission.admit(*_ask.admission, waits, _now);
	if (!verdict.admitted)
	{
		const std::string request = _ask.orders.empty() ? std::string() : _ask.orders.front().request;
		_actions.emplace_back(RequestCrowded{request, _from, _ask.admission->maxWait, verdict.waits});
	}
	return verdict.admitted;
}

void PieceScheduler::place(const PieceAsk& _ask, Micros _now, PieceActions& _actions)
{
	const std::string node = this->nodeOf(_ask.pool, _now);
	if (node == this->self)
	{
		const bool admitted = this->admits({}, _ask, _now, _actions);
		for (const PieceOrder& order : _ask.orders)
		{
			if (admitted)
			{
				this->makeHere(_ask.pool, {}, order, _now);
			}
			else
			{
				_actions.emplace_back(PieceFailed{order.order, PieceFault::Crowded});
			}
		}
		return;
	}
	PieceAsk ask = _ask;
	for (PieceOrder& order : ask.orders)
	{
		this->away[order.order] = Away{node, ask.pool, order};
		order.deadline -= _now;
		order.due -= _now;
	}
	this->heardAt.try_emplace(node, _now);
	this->send(node, std::move(ask), _actions);
}

PieceActions PieceScheduler::order(const std::string& _pool, const std::vector<PieceOrder>& _orders,
								   const std::optional<AdmissionTerms>& _admission, Micros _now)
{
	PieceActions actions;
	this->place(PieceAsk{_pool, _orders, _admission}, _now, actions);
	this->takeBatchActions(this->maker.tick(_now), _now, actions);
	return actions;
}

PieceActions PieceScheduler::cancel(const std::vector<std::uint64_t>& _orders, Micros _now)
{
	PieceActions actions;
	std::map<std::string, PieceDrop> drops;
	for (const std::uint64_t order : _orders)
	{
		const auto found = this->away.find(order);
		if (found != this->away.end())
		{
			drops[found->second.peer].orders.push_back(order);
			this->away.erase(found);
			continue;
		}
		this->onDrop({}, PieceDrop{{order}});
	}
	for (auto& entry : drops)
	{
		this->send(entry.first, std::move(entry.second), actions);
	}
	this->takeBatchActions(this->maker.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::onDrop(const std::string& _from, const PieceDrop& _drop)
{
	for (const std::uint64_t order : _drop.orders)
	{
		const auto number = this->numberOf.find({_from, order});
		if (number == this->numberOf.end())
		{
			continue;
		}
		if (this->maker.cancel(number->second))
		{
			this->inHand.erase(number->second);
			this->numberOf.erase(number);
			continue;
		}
		this->inHand.at(number->second).wanted = false;
	}
}

void PieceScheduler::freeHere(const std::vector<std::string>& _handles, PieceActions& _actions)
{
	for (const std::string& handle : _handles)
	{
		this->maker.freed(handle);
		_actions.emplace_back(FreeResult{handle});
	}
}

PieceActions PieceScheduler::free(const std::vector<std::string>& _handles, Micros _now)
{
	PieceActions actions;
	std::vector<std::string> here;
	std::map<std::string, PieceFree> elsewhere;
	for (const std::string& handle : _handles)
	{
		const auto found = this->makerOf.find(handle);
		const auto silent =
			found == this->makerOf.end() ? this->silentUntil.end() : this->silentUntil.find(found->second);
		// A node that has left or fell silent would not pass it on, and the endpoint would keep the result for seconds.
		const bool away = found != this->makerOf.end() && !this->isMember(found->second);
		if (found == this->makerOf.end() || away || (silent != this->silentUntil.end() && silent->second > _now))
		{
			here.push_back(handle);
		}
		else
		{
			elsewhere[found->second].handles.push_back(handle);
		}
		this->makerOf.erase(handle);
	}
	this->freeHere(here, actions);
	for (auto& entry : elsewhere)
	{
		this->send(entry.first, std::move(entry.second), actions);
	}
	this->takeBatchActions(this->maker.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::onAsk(const std::string& _from, const PieceAsk& _ask, Micros _now, PieceActions& _actions)
{
	if (!this->admits(_from, _ask, _now, _actions))
	{
		PieceGive refusal;
		for (const PieceOrder& order : _ask.orders)
		{
			refusal.failed.push_back(PieceFailed{order.order, PieceFault::Crowded});
		}
		this->send(_from, std::move(refusal), _actions);
		return;
	}
	this->toldAt.try_emplace(_from, _now);
	for (const PieceOrder& asked : _ask.orders)
	{
		PieceOrder order = asked;
		order.deadline += _now;
		order.due += _now;
		this->makeHere(_ask.pool, _from, order, _now);
	}
}

void PieceScheduler::onGive(const std::string& _from, const PieceGive& _give, Micros _now, PieceActions& _actions)
{
	for (const PieceStarted& started : _give.started)
	{
		const auto found = this->away.find(started.order);
		if (found != this->away.end() && found->second.peer == _from)
		{
			_actions.emplace_back(started);
		}
	}
	PieceFree unwanted;
	for (const PieceMade& made : _give.made)
	{
		const auto found = this->away.find(made.order);
		if (found == this->away.end() || found->second.peer != _from)
		{
			unwanted.handles.push_back(made.handle);
			continue;
		}
		this->makerOf[made.handle] = _from;
		this->away.erase(found);
		_actions.emplace_back(made);
	}
	if (!unwanted.handles.empty())
	{
		this->send(_from, std::move(unwanted), _actions);
	}
	for (const auto& entry : _give.waits)
	{
		this->told[entry.first] = {entry.second, _now};
	}
	for (const PieceFailed& failed : _give.failed)
	{
		const auto found = this->away.find(failed.order);
		if (found != this->away.end() && found->second.peer == _from)
		{
			this->away.erase(found);
			_actions.emplace_back(failed);
		}
	}
}

PieceActions PieceScheduler::receive(const std::string& _from, const PieceMessage& _message, Micros _now)
{
	PieceActions actions;
	const auto heard = this->heardAt.find(_from);
	if (heard != this->heardAt.end())
	{
		heard->second = _now;
	}
	std::visit(
		Overloaded{
			[&](const PieceAsk& _ask) { this->onAsk(_from, _ask, _now, actions); },
			[&](const PieceGive& _give) { this->onGive(_from, _give, _now, actions); },
			[&](const PieceDrop& _drop) { this->onDrop(_from, _drop); },
			[&](const PieceFree& _free) { this->freeHere(_free.handles, actions); },
		},
		_message);
	this->takeBatchActions(this->maker.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::takeBack(const std::string& _peer, Micros _now, PieceActions& _actions)
{
	this->silentUntil[_peer] = _now + this->config.silentFor;
	this->heardAt.erase(_peer);
	std::map<std::string, std::vector<PieceOrder>> again;
	for (auto entry = this->away.begin(); entry != this->away.end();)
	{
		if (entry->second.peer != _peer)
		{
			++entry;
			continue;
		}
		again[entry->second.pool].push_back(entry->second.order);
		entry = this->away.erase(entry);
	}
	for (const auto& entry : again)
	{
		this->place(PieceAsk{entry.first, entry.second, std::nullopt}, _now, _actions);
	}
}

PieceActions PieceScheduler::peerClosed(const std::string& _peer, Micros _now)
{
	PieceActions actions;
	const bool busy = std::any_of(this->away.begin(), this->away.end(),
								  [&](const auto& _entry) { return _entry.second.peer == _peer; });
	if (busy)
	{
		this->takeBack(_peer, _now, actions);
	}
	this->takeBatchActions(this->maker.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::takeBatchActions(const BatchActions& _batch, Micros _now, PieceActions& _actions)
{
	std::map<std::string, PieceGive> gives;
	const auto settle = [this](std::uint64_t _number)
	{
		const auto found = this->inHand.find(_number);
		InHand hand = found->second;
		this->numberOf.erase({hand.peer, hand.order});
		this->inHand.erase(found);
		return hand;
	};
	for (const BatchAction& action : _batch)
	{
		std::visit(
			Overloaded{
				[&](const StartBatch& _start) { _actions.emplace_back(_start); },
				[&](const CancelBatch& _cancel) { _actions.emplace_back(_cancel); },
				[&](const PieceStarted& _started)
				{
					const InHand& hand = this->inHand.at(_started.order);
					if (hand.wanted && hand.peer.empty())
					{
						_actions.emplace_back(PieceStarted{hand.order});
					}
					else if (hand.wanted)
					{
						gives[hand.peer].started.push_back(PieceStarted{hand.order});
					}
				},
				[&](PieceMade _made)
				{
					const InHand hand = settle(_made.order);
					_made.order = hand.order;
					if (!hand.wanted)
					{
						_actions.emplace_back(FreeResult{_made.handle});
					}
					else if (hand.peer.empty())
					{
						_actions.emplace_back(std::move(_made));
					}
					else
					{
						gives[hand.peer].made.push_back(std::move(_made));
					}
				},
				[&](PieceFailed _failed)
				{
					const InHand hand = settle(_failed.order);
					_failed.order = hand.order;
					if (hand.wanted && hand.peer.empty())
					{
						_actions.emplace_back(_failed);
					}
					else if (hand.wanted)
					{
						gives[hand.peer].failed.push_back(_failed);
					}
				},
			},
			action);
	}
	for (auto& entry : gives)
	{
		this->toldAt[entry.first] = _now;
		entry.second.waits = this->ownWaits(_now);
		this->send(entry.first, std::move(entry.second), _actions);
	}
}

PieceActions PieceScheduler::batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now)
{
	PieceActions actions;
	this->takeBatchActions(this->maker.batchEnded(_batch, _end, _now), _now, actions);
	return actions;
}

void PieceScheduler::checkSilence(Micros _now, PieceActions& _actions)
{
	std::set<std::string> holders;
	for (const auto& entry : this->away)
	{
		holders.insert(entry.second.peer);
	}
	std::erase_if(this->heardAt, [&](const auto& _entry) { return holders.count(_entry.first) == 0; });
	std::vector<std::string> silent;
	for (const auto& entry : this->heardAt)
	{
		if (_now - entry.second > this->config.silentAfter)
		{
			silent.push_back(entry.first);
		}
	}
	for (const std::string& peer : silent)
	{
		this->takeBack(peer, _now, _actions);
	}
}

/// Predicted waits at the pools whose batches this node forms.
std::map<std::string, Micros> PieceScheduler::ownWaits(Micros _now) const
{
	std::map<std::string, Micros> waits = this->maker.waitTimes(_now);
	std::erase_if(waits, [&](const auto& _entry) { return this->nodeOf(_entry.first, _now) != this->self; });
	return waits;
}

void PieceScheduler::sendKeepalives(Micros _now, PieceActions& _actions)
{
	std::set<std::string> askers;
	for (const auto& entry : this->numberOf)
	{
		askers.insert(entry.first.first);
	}
	std::erase_if(this->toldAt, [&](const auto& _entry) { return askers.count(_entry.first) == 0; });
	for (auto& entry : this->toldAt)
	{
		if (_now - entry.second >= this->config.keepaliveEvery)
		{
			entry.second = _now;
			this->send(entry.first, PieceGive{{}, {}, {}, this->ownWaits(_now)}, _actions);
		}
	}
}

PieceActions PieceScheduler::tick(Micros _now)
{
	PieceActions actions;
	this->checkSilence(_now, actions);
	this->takeBatchActions(this->maker.tick(_now), _now, actions);
	this->sendKeepalives(_now, actions);
	return actions;
}

/// Time until a piece would be in a call, as far as this node knows.
Micros PieceScheduler::waitTime(const std::string& _pool, Micros _now) const
{
	const auto told = this->told.find(_pool);
	const bool elsewhere = this->nodeOf(_pool, _now) != this->self;
	if (!elsewhere)
	{
		return this->maker.waitTime(_pool, _now).value_or(0);
	}
	// Without news from the node that forms the batches nobody is turned away.
	const bool fresh = told != this->told.end() && _now - told->second.second < this->config.toldLife;
	return fresh ? told->second.first : 0;
}

} // namespace roadferry
