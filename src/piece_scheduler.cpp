/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Assigns pieces to batching nodes, and reassigns them when such a node falls silent.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <utility>

namespace roadferry
{

PieceScheduler::PieceScheduler(std::string _self, PieceSchedulerConfig _config)
	: self(std::move(_self)), config(_config), batcher(_config.batches), members({self}), batchingNodes({self})
{
}

void PieceScheduler::setPools(const std::vector<PoolSpec>& _pools)
{
	this->batcher.setPools(_pools);
	this->admission.setPools(_pools);
}

void PieceScheduler::setEndpoints(const std::vector<Endpoint>& _endpoints)
{
	this->batcher.setEndpoints(_endpoints);
	this->admission.setEndpoints(_endpoints);
}

void PieceScheduler::setCrashedRequests(const CrashedRequests& _requests)
{
	this->batcher.setCrashedRequests(_requests);
}

void PieceScheduler::setMembers(const std::vector<std::string>& _members,
								const std::vector<std::string>& _batchingNodes, Micros _now)
{
	this->batcher.expectOtherBatchersUntil(_now + this->config.handoverTime);
	this->members = _members;
	this->batchingNodes = _batchingNodes;
}

std::vector<std::string> PieceScheduler::withoutExcluded(const std::vector<std::string>& _nodes, Micros _now) const
{
	std::vector<std::string> result;
	for (const std::string& node : _nodes)
	{
		const auto excluded = this->excludedUntil.find(node);
		if (excluded == this->excludedUntil.end() || excluded->second <= _now)
		{
			result.push_back(node);
		}
	}
	return result;
}

std::string PieceScheduler::nodeOf(const std::string& _pool, Micros _now) const
{
	if (!this->config.sharedBatches)
	{
		return this->self;
	}
	std::vector<std::string> candidates = this->withoutExcluded(this->batchingNodes, _now);
	if (candidates.empty())
	{
		candidates = this->withoutExcluded(this->members, _now);
	}
	return candidates.empty() ? this->self : batchNodeOf(_pool, candidates);
}

bool PieceScheduler::isMember(const std::string& _node) const
{
	return std::find(this->members.begin(), this->members.end(), _node) != this->members.end();
}

void PieceScheduler::addLocal(const std::string& _pool, const std::string& _peer, const PieceOrder& _order, Micros _now)
{
	if (this->localIds.count({_peer, _order.orderId}) > 0)
	{
		return; // The node has submitted it again although it is being made.
	}
	PieceOrder local = _order;
	local.orderId = ++this->lastLocalId;
	this->localOrders.emplace(local.orderId, LocalOrder{_peer, _order.orderId, true});
	this->localIds[{_peer, _order.orderId}] = local.orderId;
	this->batcher.add(_pool, local, _now);
}

void PieceScheduler::send(const std::string& _to, PieceMessage _message, PieceActions& _actions)
{
	_actions.emplace_back(SendPieceMessage{_to, std::move(_message)});
}

/// Predicted time until the last of the submitted pieces is in a call. The orders have absolute times.
Micros PieceScheduler::waitOf(const PieceSubmit& _submit, Micros _now) const
{
	if (_submit.orders.empty())
	{
		return 0;
	}
	const auto pieces = static_cast<std::int64_t>(_submit.orders.size());
	return this->batcher.waitTime(_submit.pool, _submit.orders.front().due, pieces, _now).value_or(0);
}

/// Decides on the admission of a request; only its first submission has admission terms. The orders have absolute
/// times.
bool PieceScheduler::admit(const std::string& _from, const PieceSubmit& _submit, Micros _now, PieceActions& _actions)
{
	if (!_submit.admission)
	{
		return true;
	}
	std::map<std::string, PoolForecast> forecasts;
	for (const PoolDemand& demand : _submit.admission->demand)
	{
		forecasts[demand.pool] = this->forecastOf(demand.pool, _now);
	}
	forecasts[_submit.pool].wait = this->waitOf(_submit, _now);
	const AdmissionVerdict verdict = this->admission.admit(*_submit.admission, forecasts, _now);
	if (!verdict.admitted)
	{
		const std::string request = _submit.orders.empty() ? std::string() : _submit.orders.front().request;
		_actions.emplace_back(RequestNotAdmitted{request, _from, _submit.admission->maxWait, verdict.waits});
	}
	return verdict.admitted;
}

void PieceScheduler::assign(const PieceSubmit& _submit, Micros _now, PieceActions& _actions)
{
	const std::string node = this->nodeOf(_submit.pool, _now);
	if (node == this->self)
	{
		const bool admitted = this->admit({}, _submit, _now, _actions);
		for (const PieceOrder& order : _submit.orders)
		{
			if (admitted)
			{
				this->addLocal(_submit.pool, {}, order, _now);
			}
			else
			{
				_actions.emplace_back(PieceFailed{order.orderId, PieceFault::NotAdmitted});
			}
		}
		return;
	}
	PieceSubmit submit = _submit;
	for (PieceOrder& order : submit.orders)
	{
		this->remoteOrders[order.orderId] = RemoteOrder{node, submit.pool, order};
		order.deadline -= _now;
		order.due -= _now;
	}
	this->lastHeardAt.try_emplace(node, _now);
	this->send(node, std::move(submit), _actions);
}

PieceActions PieceScheduler::submit(const std::string& _pool, const std::vector<PieceOrder>& _orders,
									const std::optional<AdmissionTerms>& _admission, Micros _now)
{
	PieceActions actions;
	this->assign(PieceSubmit{_pool, _orders, _admission}, _now, actions);
	this->handleBatchActions(this->batcher.tick(_now), _now, actions);
	return actions;
}

PieceActions PieceScheduler::cancel(const std::vector<std::uint64_t>& _orders, Micros _now)
{
	PieceActions actions;
	std::map<std::string, PieceCancel> cancellations;
	for (const std::uint64_t order : _orders)
	{
		const auto found = this->remoteOrders.find(order);
		if (found != this->remoteOrders.end())
		{
			cancellations[found->second.peer].orders.push_back(order);
			this->remoteOrders.erase(found);
			continue;
		}
		this->onCancel({}, PieceCancel{{order}});
	}
	for (auto& entry : cancellations)
	{
		this->send(entry.first, std::move(entry.second), actions);
	}
	this->handleBatchActions(this->batcher.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::onCancel(const std::string& _from, const PieceCancel& _cancel)
{
	for (const std::uint64_t order : _cancel.orders)
	{
		const auto localId = this->localIds.find({_from, order});
		if (localId == this->localIds.end())
		{
			continue;
		}
		this->dropLocal(localId->second);
		this->localIds.erase(localId);
	}
}

/// Drops an order, or its result if the piece is in a call.
void PieceScheduler::dropLocal(std::uint64_t _localId)
{
	if (this->batcher.cancel(_localId))
	{
		this->localOrders.erase(_localId);
		return;
	}
	this->localOrders.at(_localId).wanted = false;
}

void PieceScheduler::dropOrdersOf(const std::string& _peer)
{
	auto entry = this->localIds.lower_bound({_peer, 0});
	while (entry != this->localIds.end() && entry->first.first == _peer)
	{
		this->dropLocal(entry->second);
		entry = this->localIds.erase(entry);
	}
}

void PieceScheduler::freeLocally(const std::vector<std::string>& _handles, PieceActions& _actions)
{
	for (const std::string& handle : _handles)
	{
		this->batcher.freeResult(handle);
		_actions.emplace_back(FreeResult{handle});
	}
}

PieceActions PieceScheduler::free(const std::vector<std::string>& _handles, Micros _now)
{
	PieceActions actions;
	std::vector<std::string> local;
	std::map<std::string, PieceFree> remote;
	for (const std::string& handle : _handles)
	{
		const auto found = this->nodeOfHandle.find(handle);
		const auto silent =
			found == this->nodeOfHandle.end() ? this->excludedUntil.end() : this->excludedUntil.find(found->second);
		// A node that left or fell silent would not forward it, and the endpoint would keep the result for seconds.
		const bool departed = found != this->nodeOfHandle.end() && !this->isMember(found->second);
		if (found == this->nodeOfHandle.end() || departed ||
			(silent != this->excludedUntil.end() && silent->second > _now))
		{
			local.push_back(handle);
		}
		else
		{
			remote[found->second].handles.push_back(handle);
		}
		this->nodeOfHandle.erase(handle);
	}
	this->freeLocally(local, actions);
	for (auto& entry : remote)
	{
		this->send(entry.first, std::move(entry.second), actions);
	}
	this->handleBatchActions(this->batcher.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::onSubmit(const std::string& _from, const PieceSubmit& _submit, Micros _now, PieceActions& _actions)
{
	PieceSubmit submit = _submit;
	for (PieceOrder& order : submit.orders)
	{
		order.deadline += _now;
		order.due += _now;
	}
	if (!this->admit(_from, submit, _now, _actions))
	{
		PieceUpdate refusal;
		for (const PieceOrder& order : submit.orders)
		{
			refusal.failed.push_back(PieceFailed{order.orderId, PieceFault::NotAdmitted});
		}
		this->send(_from, std::move(refusal), _actions);
		return;
	}
	this->lastUpdateAt.try_emplace(_from, _now);
	for (const PieceOrder& order : submit.orders)
	{
		this->addLocal(submit.pool, _from, order, _now);
	}
}

void PieceScheduler::onUpdate(const std::string& _from, const PieceUpdate& _update, Micros _now, PieceActions& _actions)
{
	const auto heard = this->lastHeardAt.find(_from);
	if (heard != this->lastHeardAt.end())
	{
		heard->second = _now;
	}
	for (const PieceStarted& started : _update.started)
	{
		const auto found = this->remoteOrders.find(started.orderId);
		if (found != this->remoteOrders.end() && found->second.peer == _from)
		{
			_actions.emplace_back(started);
		}
	}
	PieceFree unwanted;
	for (const PieceCompleted& completed : _update.completed)
	{
		const auto found = this->remoteOrders.find(completed.orderId);
		if (found == this->remoteOrders.end() || found->second.peer != _from)
		{
			unwanted.handles.push_back(completed.handle);
			continue;
		}
		this->nodeOfHandle[completed.handle] = _from;
		this->remoteOrders.erase(found);
		_actions.emplace_back(completed);
	}
	if (!unwanted.handles.empty())
	{
		this->send(_from, std::move(unwanted), _actions);
	}
	for (const auto& entry : _update.waits)
	{
		const auto rate = _update.rates.find(entry.first);
		const PoolForecast forecast{entry.second, rate == _update.rates.end() ? 0 : rate->second};
		this->peerForecasts[entry.first] = PeerForecast{forecast, _now};
	}
	for (const PieceFailed& failed : _update.failed)
	{
		const auto found = this->remoteOrders.find(failed.orderId);
		if (found != this->remoteOrders.end() && found->second.peer == _from)
		{
			this->remoteOrders.erase(found);
			_actions.emplace_back(failed);
		}
	}
}

PieceActions PieceScheduler::receive(const std::string& _from, const PieceMessage& _message, Micros _now)
{
	PieceActions actions;
	std::visit(
		Overloaded{
			[&](const PieceSubmit& _submit) { this->onSubmit(_from, _submit, _now, actions); },
			[&](const PieceUpdate& _update) { this->onUpdate(_from, _update, _now, actions); },
			[&](const PieceCancel& _cancel) { this->onCancel(_from, _cancel); },
			[&](const PieceFree& _free) { this->freeLocally(_free.handles, actions); },
		},
		_message);
	this->handleBatchActions(this->batcher.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::reassignFrom(const std::string& _peer, Micros _now, PieceActions& _actions)
{
	this->excludedUntil[_peer] = _now + this->config.exclusionTime;
	this->lastHeardAt.erase(_peer);
	std::map<std::string, std::vector<PieceOrder>> orders;
	for (auto entry = this->remoteOrders.begin(); entry != this->remoteOrders.end();)
	{
		if (entry->second.peer != _peer)
		{
			++entry;
			continue;
		}
		orders[entry->second.pool].push_back(entry->second.order);
		entry = this->remoteOrders.erase(entry);
	}
	for (const auto& entry : orders)
	{
		this->assign(PieceSubmit{entry.first, entry.second, std::nullopt}, _now, _actions);
	}
}

PieceActions PieceScheduler::peerClosed(const std::string& _peer, Micros _now)
{
	PieceActions actions;
	this->dropOrdersOf(_peer);
	const bool hasOrders = std::any_of(this->remoteOrders.begin(), this->remoteOrders.end(),
									   [&](const auto& _entry) { return _entry.second.peer == _peer; });
	if (hasOrders)
	{
		this->reassignFrom(_peer, _now, actions);
	}
	this->handleBatchActions(this->batcher.tick(_now), _now, actions);
	return actions;
}

void PieceScheduler::handleBatchActions(const BatchActions& _batch, Micros _now, PieceActions& _actions)
{
	std::map<std::string, PieceUpdate> updates;
	const auto finish = [this](std::uint64_t _localId)
	{
		const auto found = this->localOrders.find(_localId);
		LocalOrder local = found->second;
		if (local.wanted)
		{
			this->localIds.erase({local.peer, local.orderId});
		}
		this->localOrders.erase(found);
		return local;
	};
	for (const BatchAction& action : _batch)
	{
		std::visit(
			Overloaded{
				[&](const StartBatch& _start) { _actions.emplace_back(_start); },
				[&](const CancelBatch& _cancel) { _actions.emplace_back(_cancel); },
				[&](const PieceStarted& _started)
				{
					const LocalOrder& local = this->localOrders.at(_started.orderId);
					if (local.wanted && local.peer.empty())
					{
						_actions.emplace_back(PieceStarted{local.orderId});
					}
					else if (local.wanted)
					{
						updates[local.peer].started.push_back(PieceStarted{local.orderId});
					}
				},
				[&](PieceCompleted _completed)
				{
					const LocalOrder local = finish(_completed.orderId);
					_completed.orderId = local.orderId;
					if (!local.wanted)
					{
						_actions.emplace_back(FreeResult{_completed.handle});
					}
					else if (local.peer.empty())
					{
						_actions.emplace_back(std::move(_completed));
					}
					else
					{
						updates[local.peer].completed.push_back(std::move(_completed));
					}
				},
				[&](PieceFailed _failed)
				{
					const LocalOrder local = finish(_failed.orderId);
					_failed.orderId = local.orderId;
					if (local.wanted && local.peer.empty())
					{
						_actions.emplace_back(_failed);
					}
					else if (local.wanted)
					{
						updates[local.peer].failed.push_back(_failed);
					}
				},
			},
			action);
	}
	const PieceUpdate forecast = updates.empty() ? PieceUpdate() : this->localForecast(_now);
	for (auto& entry : updates)
	{
		this->lastUpdateAt[entry.first] = _now;
		entry.second.waits = forecast.waits;
		entry.second.rates = forecast.rates;
		this->send(entry.first, std::move(entry.second), _actions);
	}
}

PieceActions PieceScheduler::batchEnded(std::uint64_t _batch, const BatchEnd& _end, Micros _now)
{
	PieceActions actions;
	this->handleBatchActions(this->batcher.batchEnded(_batch, _end, _now), _now, actions);
	return actions;
}

void PieceScheduler::detectSilentPeers(Micros _now, PieceActions& _actions)
{
	std::set<std::string> holders;
	for (const auto& entry : this->remoteOrders)
	{
		holders.insert(entry.second.peer);
	}
	std::erase_if(this->lastHeardAt, [&](const auto& _entry) { return holders.count(_entry.first) == 0; });
	std::vector<std::string> silent;
	for (const auto& entry : this->lastHeardAt)
	{
		if (_now - entry.second > this->config.silenceTimeout)
		{
			silent.push_back(entry.first);
		}
	}
	for (const std::string& peer : silent)
	{
		this->reassignFrom(peer, _now, _actions);
	}
}

/// Returns an update that only has the forecasts of the pools whose batching node is this one.
PieceUpdate PieceScheduler::localForecast(Micros _now) const
{
	PieceUpdate update{{}, {}, {}, this->batcher.waitTimes(_now), this->batcher.rates()};
	const auto isRemote = [&](const auto& _entry) { return this->nodeOf(_entry.first, _now) != this->self; };
	std::erase_if(update.waits, isRemote);
	std::erase_if(update.rates, isRemote);
	return update;
}

void PieceScheduler::sendKeepalives(Micros _now, PieceActions& _actions)
{
	std::set<std::string> peers;
	for (const auto& entry : this->localIds)
	{
		peers.insert(entry.first.first);
	}
	std::erase_if(this->lastUpdateAt, [&](const auto& _entry) { return peers.count(_entry.first) == 0; });
	std::optional<PieceUpdate> keepalive;
	for (auto& entry : this->lastUpdateAt)
	{
		if (_now - entry.second >= this->config.keepalivePeriod)
		{
			entry.second = _now;
			keepalive = keepalive ? keepalive : this->localForecast(_now);
			this->send(entry.first, *keepalive, _actions);
		}
	}
}

PieceActions PieceScheduler::tick(Micros _now)
{
	PieceActions actions;
	this->detectSilentPeers(_now, actions);
	this->handleBatchActions(this->batcher.tick(_now), _now, actions);
	this->sendKeepalives(_now, actions);
	return actions;
}

/// Returns the forecast of a pool by its batching node.
PoolForecast PieceScheduler::forecastOf(const std::string& _pool, Micros _now) const
{
	if (this->nodeOf(_pool, _now) == this->self)
	{
		return PoolForecast{this->batcher.queueWaitTime(_pool, _now).value_or(0),
							this->batcher.rate(_pool).value_or(0)};
	}
	// Without a recent forecast by the batching node the wait counts as 0, so that no request is refused for it.
	const auto reported = this->peerForecasts.find(_pool);
	const bool fresh =
		reported != this->peerForecasts.end() && _now - reported->second.receivedAt < this->config.peerForecastMaxAge;
	return fresh ? reported->second.forecast : PoolForecast();
}

} // namespace roadferry
