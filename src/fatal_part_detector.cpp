/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Implementation of FatalPartDetector.

#include <roadferry/roadferry.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace roadferry
{

namespace
{

constexpr Micros kExpiryPeriod = kSecond;
constexpr Micros kUntilNextCrash = std::numeric_limits<Micros>::max(); ///< End of an inquiry that lacks crashes.

/// @returns The verdict as it is told to other nodes: with ages in place of time points.
BlockedPart withAges(const BlockedPart& _part, Micros _now)
{
	return BlockedPart{_part.part, _now - _part.since, _now - _part.firstCrashAt, _part.crashes};
}

} // namespace

PartHistory::PartHistory(std::size_t _maxParts) : maxParts(_maxParts)
{
}

/// @returns The entry of a part, which counts as recent from now on.
PartHistory::Entry& PartHistory::access(PartKey _part)
{
	auto& [newer, older] = this->generations;
	const auto found = newer.find(_part);
	if (found != newer.end())
	{
		return found->second;
	}
	if (newer.size() >= this->maxParts / 2)
	{
		older = std::exchange(newer, {});
	}
	const auto old = older.find(_part);
	return newer.emplace(_part, old == older.end() ? Entry{} : old->second).first->second;
}

void PartHistory::recordSent(const std::vector<PartKey>& _parts)
{
	for (std::size_t position = 0; position < _parts.size(); ++position)
	{
		Entry& entry = this->access(_parts[position]);
		entry.sent += 1;
		entry.position = position;
	}
}

void PartHistory::recordServed(PartKey _part, Micros _at)
{
	Entry& entry = this->access(_part);
	entry.servedAt = std::max(_at, entry.servedAt.value_or(_at));
}

PartHistory::Entry PartHistory::find(PartKey _part) const
{
	for (const auto& generation : this->generations)
	{
		const auto found = generation.find(_part);
		if (found != generation.end())
		{
			return found->second;
		}
	}
	return {};
}

FatalPartDetector::FatalPartDetector(std::string _self, FatalPartConfig _config)
	: self(std::move(_self)), config(_config), history(_config.maxKnownParts)
{
}

void FatalPartDetector::setPeers(const std::vector<std::string>& _others)
{
	this->peers = _others;
}

void FatalPartDetector::setMemory(Micros _memory)
{
	this->config.memory = _memory;
	if (_memory == 0)
	{
		this->crashes.clear();
		this->endpointsByPart.clear();
		this->crashedPartCount = 0;
		this->inquiries.clear();
		this->blocked.clear();
	}
}

bool FatalPartDetector::isExplained(const Crash& _crash, PartKey _part) const
{
	return std::any_of(this->blocked.begin(), this->blocked.end(),
					   [&](const auto& _entry)
					   { return _entry.first != _part && _crash.parts.count(_entry.first) > 0; });
}

/// @returns Whether other endpoints of the pool, which did not work on a part, crashed at the same time.
bool FatalPartDetector::isMassCrash(const Crash& _crash, PartKey _part) const
{
	const auto isOther = [&](const auto& _entry)
	{
		const Crash& other = _entry.second;
		return other.pool == _crash.pool && std::abs(other.at - _crash.at) < this->config.sameTimeSpan &&
			   other.parts.count(_part) == 0;
	};
	return static_cast<std::size_t>(std::count_if(this->crashes.begin(), this->crashes.end(), isOther)) >=
		   this->config.massCrashOthers;
}

/// @returns The crashes that count against a part, in order of time.
std::vector<const FatalPartDetector::Crash*> FatalPartDetector::countedCrashes(PartKey _part) const
{
	std::vector<const Crash*> counted;
	const auto endpoints = this->endpointsByPart.find(_part);
	if (endpoints == this->endpointsByPart.end())
	{
		return counted;
	}
	const std::optional<Micros> servedAt = this->history.find(_part).servedAt;
	for (const std::string& endpoint : endpoints->second)
	{
		const Crash& crash = this->crashes.at(endpoint);
		const bool isCleared = servedAt && crash.at <= *servedAt;
		if (!isCleared && !this->isExplained(crash, _part) && !this->isMassCrash(crash, _part))
		{
			counted.push_back(&crash);
		}
	}
	std::sort(counted.begin(), counted.end(),
			  [](const Crash* _left, const Crash* _right) { return _left->at < _right->at; });
	return counted;
}

FatalPartDetector::Evidence FatalPartDetector::evidenceAgainst(PartKey _part) const
{
	Evidence evidence;
	Micros lastCountedAt = 0;
	for (const Crash* crash : this->countedCrashes(_part))
	{
		evidence.isOwn = evidence.isOwn || crash->isOwn;
		const bool isSameTime = evidence.crashes > 0 && crash->at - lastCountedAt < this->config.sameTimeSpan;
		if (!isSameTime)
		{
			evidence.firstAt = evidence.crashes == 0 ? crash->at : evidence.firstAt;
			evidence.crashes += 1;
			lastCountedAt = crash->at;
		}
	}
	return evidence;
}

/// @returns Time after the first crash for a part to be served somewhere, before it is blocked.
Micros FatalPartDetector::pauseBefore(PartKey _part) const
{
	return this->history.find(_part).servedAt ? this->config.pauseOfServed : this->config.pause;
}

/// @returns Number of crashes after which a part is blocked.
std::int64_t FatalPartDetector::crashesToBlock(PartKey _part) const
{
	return this->history.find(_part).servedAt ? this->config.minCrashesOfServed : this->config.minCrashes;
}

bool FatalPartDetector::isGuilty(PartKey _part, const Evidence& _evidence, Micros _now) const
{
	return _evidence.crashes >= this->crashesToBlock(_part) && _now - _evidence.firstAt >= this->pauseBefore(_part);
}

PartActions FatalPartDetector::recordCrash(const EndpointCrash& _crash, const std::string& _from, Micros _now)
{
	PartActions actions;
	if (this->config.memory == 0)
	{
		return actions;
	}
	Crash& crash = this->crashes.try_emplace(_crash.endpoint, Crash{_crash.pool, _crash.at, {}, false}).first->second;
	crash.isOwn = crash.isOwn || _from.empty();
	for (const PartKey part : _crash.parts)
	{
		if (crash.parts.insert(part).second)
		{
			this->crashedPartCount += 1;
			this->endpointsByPart[part].insert(_crash.endpoint);
		}
	}
	this->limitSize(); // May erase the crash.
	if (!_from.empty())
	{
		this->tellBlocked(_from, _crash.parts, _now, actions);
	}
	this->startInquiries(_crash.parts, _now);
	return actions;
}

/// Starts inquiries if a crash that this node found makes one of the parts a suspect: about all suspects, since the
/// guilty one has to be told from those beside it.
void FatalPartDetector::startInquiries(const std::set<PartKey>& _parts, Micros _now)
{
	const auto isOwnSuspect = [this](PartKey _part)
	{
		const Evidence evidence = this->evidenceAgainst(_part);
		const bool wasSent = this->history.find(_part).sent > 0;
		return wasSent && evidence.isOwn && evidence.crashes >= this->config.minCrashes;
	};
	if (std::none_of(_parts.begin(), _parts.end(), isOwnSuspect))
	{
		return;
	}
	for (const auto& [part, endpoints] : this->endpointsByPart)
	{
		const auto found = this->inquiries.find(part);
		const bool isOpen = found != this->inquiries.end() && found->second.endsAt != kUntilNextCrash;
		const bool hasEnough = static_cast<std::int64_t>(endpoints.size()) >= this->config.minCrashes;
		if (isOpen || !hasEnough || this->blocked.count(part) > 0)
		{
			continue;
		}
		const Evidence evidence = this->evidenceAgainst(part);
		if (evidence.crashes >= this->config.minCrashes)
		{
			this->inquiries[part] = this->makeInquiry(part, evidence, _now);
		}
	}
}

/// @returns An inquiry that ends when the answers of other nodes are there and the part could have been served.
FatalPartDetector::Inquiry FatalPartDetector::makeInquiry(PartKey _part, const Evidence& _evidence, Micros _now) const
{
	const Micros endsAt = std::max(_now + this->config.answerTime, _evidence.firstAt + this->pauseBefore(_part));
	return Inquiry{endsAt - this->config.answerTime, endsAt, false, 0};
}

/// Asks the other nodes about the parts whose turn it is.
void FatalPartDetector::ask(Micros _now, PartActions& _actions)
{
	PartQuery query;
	for (auto& [part, inquiry] : this->inquiries)
	{
		if (inquiry.askAt <= _now && !std::exchange(inquiry.asked, true))
		{
			query.parts.push_back(part);
		}
	}
	if (!query.parts.empty())
	{
		query.asker = this->self;
		this->broadcast(std::move(query), _actions);
	}
}

/// @returns The suspects under inquiry, those first that explain the crashes by fewer requests.
std::vector<PartKey> FatalPartDetector::suspects() const
{
	struct Suspect
	{
		PartKey part = 0;
		std::int64_t sent = 0;
		std::size_t position = 0;
	};
	std::vector<Suspect> found;
	for (const auto& [part, inquiry] : this->inquiries)
	{
		const PartHistory::Entry known = this->history.find(part);
		found.push_back(Suspect{part, known.sent + inquiry.sentByOthers, known.position});
	}
	std::sort(found.begin(), found.end(),
			  [](const Suspect& _left, const Suspect& _right)
			  { return _left.sent != _right.sent ? _left.sent < _right.sent : _left.position > _right.position; });
	std::vector<PartKey> parts;
	parts.reserve(found.size());
	for (const Suspect& suspect : found)
	{
		parts.push_back(suspect.part);
	}
	return parts;
}

/// @returns Whether one part explains the crashes under another one, but for one at most.
bool FatalPartDetector::explainsCrashes(PartKey _part, PartKey _other) const
{
	const std::vector<const Crash*> counted = this->countedCrashes(_other);
	return std::count_if(counted.begin(), counted.end(),
						 [_part](const Crash* _crash) { return _crash->parts.count(_part) == 0; }) <= 1;
}

/// Prolongs the inquiry about a part that is not guilty yet, or ends it if the part is no longer a suspect.
/// @returns Whether the inquiry goes on.
bool FatalPartDetector::prolongInquiry(PartKey _part, const Evidence& _evidence, Micros _now)
{
	if (_evidence.crashes < this->config.minCrashes)
	{
		this->inquiries.erase(_part);
		return false;
	}
	if (_evidence.crashes >= this->crashesToBlock(_part))
	{
		this->inquiries[_part] = this->makeInquiry(_part, _evidence, _now);
	}
	else
	{
		this->inquiries[_part].endsAt = kUntilNextCrash;
	}
	return true;
}

/// Blocks the guilty among the suspects whose inquiry is over. A suspect waits for one before it that explains the same
/// crashes.
void FatalPartDetector::reachVerdicts(Micros _now, PartActions& _actions)
{
	PartVerdicts verdicts;
	std::vector<PartKey> open;
	for (const PartKey part : this->suspects())
	{
		const auto explains = [&](PartKey _narrower) { return this->explainsCrashes(_narrower, part); };
		const bool isDue = this->inquiries.at(part).endsAt <= _now;
		if (!isDue || std::any_of(open.begin(), open.end(), explains))
		{
			open.push_back(part);
			continue;
		}
		const Evidence evidence = this->evidenceAgainst(part);
		if (this->isGuilty(part, evidence, _now))
		{
			const BlockedPart verdict{part, _now, evidence.firstAt, evidence.crashes};
			this->blocked[part] = verdict;
			this->inquiries.erase(part);
			verdicts.blocked.push_back(withAges(verdict, _now));
			_actions.emplace_back(PartBlocked{verdict, {}});
		}
		else if (this->prolongInquiry(part, evidence, _now))
		{
			open.push_back(part);
		}
	}
	if (!verdicts.blocked.empty())
	{
		this->broadcast(std::move(verdicts), _actions);
	}
}

/// Tells a node which of these parts are blocked.
void FatalPartDetector::tellBlocked(const std::string& _to, const std::set<PartKey>& _parts, Micros _now,
									PartActions& _actions) const
{
	PartVerdicts verdicts;
	for (const PartKey part : _parts)
	{
		const auto found = this->blocked.find(part);
		if (found != this->blocked.end())
		{
			verdicts.blocked.push_back(withAges(found->second, _now));
		}
	}
	if (!verdicts.blocked.empty())
	{
		_actions.emplace_back(SendPartMessage{_to, std::move(verdicts)});
	}
}

void FatalPartDetector::recordSent(const std::vector<PartKey>& _parts)
{
	this->history.recordSent(_parts);
}

PartActions FatalPartDetector::recordServed(const std::vector<PartKey>& _parts, Micros _at, Micros _now)
{
	PartActions actions;
	PartVerdicts verdicts;
	for (const PartKey part : _parts)
	{
		this->history.recordServed(part, _at);
		const auto found = this->blocked.find(part);
		if (found != this->blocked.end() && _at > found->second.firstCrashAt)
		{
			this->clear(part, {}, actions);
			verdicts.cleared.push_back(ClearedPart{part, _now - _at});
		}
	}
	if (!verdicts.cleared.empty())
	{
		this->broadcast(std::move(verdicts), actions);
	}
	return actions;
}

void FatalPartDetector::clear(PartKey _part, const std::string& _source, PartActions& _actions)
{
	if (this->blocked.erase(_part) > 0)
	{
		_actions.emplace_back(PartCleared{_part, _source});
	}
}

PartAnswer FatalPartDetector::answerTo(const PartQuery& _query, Micros _now) const
{
	PartAnswer answer;
	for (const PartKey part : _query.parts)
	{
		const PartHistory::Entry known = this->history.find(part);
		if (known != PartHistory::Entry{})
		{
			const std::optional<Micros> age = known.servedAt ? std::optional(_now - *known.servedAt) : std::nullopt;
			answer.records.push_back(PartRecord{part, known.sent, age});
		}
	}
	return answer;
}

void FatalPartDetector::onAnswer(const PartAnswer& _answer, Micros _now)
{
	for (const PartRecord& record : _answer.records)
	{
		if (record.servedAge)
		{
			this->history.recordServed(record.part, _now - *record.servedAge);
		}
		const auto inquiry = this->inquiries.find(record.part);
		if (inquiry != this->inquiries.end())
		{
			inquiry->second.sentByOthers += record.sent;
		}
	}
}

/// Adopts the verdicts of another node, but for those on parts that this node knows to be served; the others hear of
/// that.
void FatalPartDetector::onVerdicts(const std::string& _from, const PartVerdicts& _verdicts, Micros _now,
								   PartActions& _actions)
{
	PartVerdicts objections;
	for (const BlockedPart& told : _verdicts.blocked)
	{
		const BlockedPart part{told.part, _now - told.since, _now - told.firstCrashAt, told.crashes};
		const std::optional<Micros> servedAt = this->history.find(part.part).servedAt;
		if (servedAt && *servedAt > part.firstCrashAt)
		{
			objections.cleared.push_back(ClearedPart{part.part, _now - *servedAt});
		}
		else if (this->config.memory > 0 && this->blocked.emplace(part.part, part).second)
		{
			_actions.emplace_back(PartBlocked{part, _from});
		}
	}
	for (const ClearedPart& told : _verdicts.cleared)
	{
		this->history.recordServed(told.part, _now - told.servedAge);
		this->clear(told.part, _from, _actions);
	}
	if (!objections.cleared.empty())
	{
		this->broadcast(std::move(objections), _actions);
	}
}

PartActions FatalPartDetector::receive(const std::string& _from, const PartMessage& _message, Micros _now)
{
	PartActions actions;
	const auto forward = [&](auto _copy)
	{
		const std::vector<std::string> targets = std::exchange(_copy.forwardTo, {});
		for (const std::string& target : targets)
		{
			actions.emplace_back(SendPartMessage{target, _copy});
		}
	};
	std::visit(
		Overloaded{[&](const PartQuery& _query)
				   {
					   forward(_query);
					   this->tellBlocked(_query.asker, {_query.parts.begin(), _query.parts.end()}, _now, actions);
					   PartAnswer answer = this->answerTo(_query, _now);
					   if (!answer.records.empty())
					   {
						   actions.emplace_back(SendPartMessage{_query.asker, std::move(answer)});
					   }
				   },
				   [&](const PartAnswer& _answer) { this->onAnswer(_answer, _now); },
				   [&](const PartVerdicts& _verdicts)
				   {
					   forward(_verdicts);
					   this->onVerdicts(_from, _verdicts, _now, actions);
				   }},
		_message);
	return actions;
}

PartActions FatalPartDetector::tellVerdicts(const std::string& _to, Micros _now) const
{
	std::set<PartKey> parts;
	for (const auto& entry : this->blocked)
	{
		parts.insert(entry.first);
	}
	PartActions actions;
	this->tellBlocked(_to, parts, _now, actions);
	return actions;
}

void FatalPartDetector::broadcast(PartMessage _message, PartActions& _actions) const
{
	for (const BroadcastStep& step : planBroadcast(this->peers))
	{
		std::visit(Overloaded{[](PartAnswer&) {}, [&](auto& _typed) { _typed.forwardTo = step.forwardTo; }}, _message);
		_actions.emplace_back(SendPartMessage{step.to, _message});
	}
}

void FatalPartDetector::eraseCrash(const std::string& _endpoint)
{
	const auto crash = this->crashes.find(_endpoint);
	for (const PartKey part : crash->second.parts)
	{
		const auto endpoints = this->endpointsByPart.find(part);
		endpoints->second.erase(_endpoint);
		if (endpoints->second.empty())
		{
			this->endpointsByPart.erase(endpoints);
		}
	}
	this->crashedPartCount -= crash->second.parts.size();
	this->crashes.erase(crash);
}

void FatalPartDetector::limitSize()
{
	while (this->crashedPartCount > this->config.maxCrashedParts)
	{
		const auto oldest =
			std::min_element(this->crashes.begin(), this->crashes.end(),
							 [](const auto& _left, const auto& _right) { return _left.second.at < _right.second.at; });
		this->eraseCrash(std::string(oldest->first));
	}
}

void FatalPartDetector::expire(Micros _now)
{
	std::vector<std::string> expired;
	for (const auto& entry : this->crashes)
	{
		if (_now - entry.second.at > this->config.memory)
		{
			expired.push_back(entry.first);
		}
	}
	for (const std::string& endpoint : expired)
	{
		this->eraseCrash(endpoint);
	}
	std::erase_if(this->inquiries, [this](const auto& _entry)
				  { return this->evidenceAgainst(_entry.first).crashes < this->config.minCrashes; });
	std::erase_if(this->blocked, [&](const auto& _entry) { return _now >= this->blockedUntil(_entry.second); });
}

PartActions FatalPartDetector::tick(Micros _now)
{
	PartActions actions;
	this->ask(_now, actions);
	if (!this->inquiries.empty())
	{
		this->reachVerdicts(_now, actions);
	}
	if (_now >= this->nextExpiryAt)
	{
		this->nextExpiryAt = _now + kExpiryPeriod;
		this->expire(_now);
	}
	return actions;
}

std::optional<BlockedPart> FatalPartDetector::findBlocked(const std::vector<PartKey>& _parts) const
{
	if (this->blocked.empty())
	{
		return std::nullopt;
	}
	for (const PartKey part : _parts)
	{
		const auto found = this->blocked.find(part);
		if (found != this->blocked.end())
		{
			return found->second;
		}
	}
	return std::nullopt;
}

Micros FatalPartDetector::blockedUntil(const BlockedPart& _blocked) const
{
	return _blocked.since + this->config.memory;
}

std::size_t FatalPartDetector::blockedCount() const
{
	return this->blocked.size();
}

} // namespace roadferry
