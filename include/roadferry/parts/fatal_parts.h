/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Part of the public header: parts of inputs under which endpoints crash, whatever else a request holds.

#ifndef ROADFERRY_PARTS_FATAL_PARTS_H_HEADER_GUARD
#define ROADFERRY_PARTS_FATAL_PARTS_H_HEADER_GUARD

#include <roadferry/parts/crash_ledger.h>
#include <roadferry/parts/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace roadferry
{

/// A part that is not sent to endpoints.
struct BlockedPart
{
	PartKey part = 0;
	Micros since = 0;        ///< Time point of the verdict.
	Micros firstCrashAt = 0; ///< Time point of the first crash that counted.
	std::int64_t crashes = 0;
	bool operator==(const BlockedPart&) const = default;
};

/// Asks a node what it knows of these parts.
struct PartQuery
{
	std::vector<PartKey> parts;
	std::string asker;                  ///< Node to which the answer is sent.
	std::vector<std::string> forwardTo; ///< Nodes to which the receiver forwards the query.
	bool operator==(const PartQuery&) const = default;
};

/// What a node knows of a part.
struct PartRecord
{
	PartKey part = 0;
	std::int64_t sent = 0;           ///< Requests with it that were sent to endpoints.
	std::optional<Micros> servedAge; ///< Time since an endpoint last began a response on it, if one did.
	bool operator==(const PartRecord&) const = default;
};

/// Answer to a PartQuery: the parts that the sender knows.
struct PartAnswer
{
	std::vector<PartRecord> records;
	bool operator==(const PartAnswer&) const = default;
};

/// A part that was blocked and is served after all.
struct ClearedPart
{
	PartKey part = 0;
	Micros servedAge = 0; ///< Time since an endpoint began a response on it.
	bool operator==(const ClearedPart&) const = default;
};

/// Reports verdicts on parts.
struct PartVerdicts
{
	std::vector<BlockedPart> blocked; ///< With ages in place of time points.
	std::vector<ClearedPart> cleared;
	std::vector<std::string> forwardTo; ///< Nodes to which the receiver forwards the report.
	bool operator==(const PartVerdicts&) const = default;
};

using PartMessage = std::variant<PartQuery, PartAnswer, PartVerdicts>;

/// Send a message to a node.
struct SendPartMessage
{
	std::string to;
	PartMessage message;
	bool operator==(const SendPartMessage&) const = default;
};

/// A part is blocked from now on: end the requests with it that wait for an endpoint.
struct PartBlocked
{
	BlockedPart blocked;
	std::string source; ///< Node that reached the verdict, empty for this one.
	bool operator==(const PartBlocked&) const = default;
};

/// A part is no longer blocked.
struct PartCleared
{
	PartKey part = 0;
	std::string source; ///< Node that served it, empty for this one.
	bool operator==(const PartCleared&) const = default;
};

using PartAction = std::variant<SendPartMessage, PartBlocked, PartCleared>;
using PartActions = std::vector<PartAction>;

/// Settings of a FatalPartDetector.
struct FatalPartConfig
{
	std::int64_t minCrashes = 3;         ///< Crashes after which a part is blocked that was never served.
	std::int64_t minCrashesOfServed = 4; ///< Crashes after which a part is blocked that was served before them.
	/// Time after the first crash for a part to be served somewhere, before it is blocked.
	Micros pause = kSecond;
	Micros pauseOfServed = 2 * kSecond;       ///< The same for a part that was served before.
	Micros memory = 600 * kSecond;            ///< How long crashes and verdicts count; 0 turns the protection off.
	Micros sameTimeSpan = 250 * kMillisecond; ///< Crashes within this time of each other may have one cause.
	std::size_t massCrashOthers = 2;          ///< Crashes at the same time without a part that make them a mass crash.
	Micros answerTime = 300 * kMillisecond;   ///< How long the answers of other nodes are awaited.
	std::size_t maxCrashedParts = 20'000;     ///< Maximum number of parts in all crashes; the oldest crashes go first.
	std::size_t maxKnownParts = 20'000;       ///< Maximum number of parts of recent requests that are remembered.
	bool operator==(const FatalPartConfig&) const = default;
};

/// The parts of recent requests: how many had them, and when endpoints last served them. Bounded: the parts that came
/// up the longest ago are forgotten.
class PartHistory
{
public:
	/// What is known of a part.
	struct Entry
	{
		std::int64_t sent = 0;          ///< Requests with it that were sent to endpoints.
		std::size_t position = 0;       ///< Number of parts before it in the latest of these.
		std::optional<Micros> servedAt; ///< Time point at which an endpoint last began a response on it.
		bool operator==(const Entry&) const = default;
	};

	explicit PartHistory(std::size_t _maxParts);

	void recordSent(const std::vector<PartKey>& _parts);

	/// @param[in] _at Time point at which an endpoint began a response on it.
	void recordServed(PartKey _part, Micros _at);

	/// @returns What is known of a part; an empty entry for an unknown one.
	[[nodiscard]] Entry find(PartKey _part) const;

private:
	Entry& access(PartKey _part);

	std::size_t maxParts;
	/// The second one holds older parts, and is dropped when the first one is full.
	std::array<std::unordered_map<PartKey, Entry>, 2> generations;
};

/// Recognises parts of inputs that crash each endpoint that works on them, in requests of which no two are alike.
///
/// A crash counts against the parts of all requests whose response the endpoint had not begun, unless a blocked part
/// explains it, or a mass crash in which endpoints ended that did not work on the part. Crashes at the same time count
/// once, since they may have one other cause. Being served clears a part of the crashes before it, at whichever node
/// that was. Before a verdict the node that found a crash asks the others what they know of the part; the verdict is
/// told to all. Of several parts that explain the same crashes, the one that fewer requests have is blocked, or the
/// later one in prompts.
class FatalPartDetector
{
public:
	/// @param[in] _self Address of this node as used by other nodes.
	FatalPartDetector(std::string _self, FatalPartConfig _config);

	/// @param[in] _others Addresses of the other live nodes.
	void setPeers(const std::vector<std::string>& _others);

	/// Sets how long crashes and verdicts count. With 0 all of them are forgotten.
	void setMemory(Micros _memory);

	/// Records a crash that is certain. Further reports of the same crash add parts to it.
	/// @param[in] _from Node that reports it, empty if this node found it.
	PartActions recordCrash(const EndpointCrash& _crash, const std::string& _from, Micros _now);

	/// Records that a request with these parts, in their order, is sent to an endpoint.
	void recordSent(const std::vector<PartKey>& _parts);

	/// Records that an endpoint served parts and goes on running.
	/// @param[in] _at Time point at which it began the response.
	PartActions recordServed(const std::vector<PartKey>& _parts, Micros _at, Micros _now);

	PartActions receive(const std::string& _from, const PartMessage& _message, Micros _now);

	/// Tells a node, which has started, the verdicts in force.
	[[nodiscard]] PartActions tellVerdicts(const std::string& _to, Micros _now) const;

	/// Reaches the verdicts that are due, and forgets what counts no longer.
	PartActions tick(Micros _now);

	/// @returns The first of these parts that is blocked.
	[[nodiscard]] std::optional<BlockedPart> findBlocked(const std::vector<PartKey>& _parts) const;

	/// @returns Time point at which the verdict on a blocked part lapses.
	[[nodiscard]] Micros blockedUntil(const BlockedPart& _blocked) const;

	[[nodiscard]] std::size_t blockedCount() const;

private:
	struct Crash
	{
		std::string pool;
		Micros at = 0;
		std::set<PartKey> parts;
		bool isOwn = false; ///< This node found it.
	};

	/// Crashes that count against a part.
	struct Evidence
	{
		std::int64_t crashes = 0; ///< Those at the same time count once.
		Micros firstAt = 0;
		bool isOwn = false; ///< This node found one of them.
	};

	/// A part that may be guilty.
	struct Inquiry
	{
		Micros askAt = 0; ///< Time point at which the other nodes are asked whether they served it.
		Micros endsAt = 0;
		bool asked = false;
		std::int64_t sentByOthers = 0; ///< Requests with it that other nodes sent to endpoints.
	};

	[[nodiscard]] Evidence evidenceAgainst(PartKey _part) const;
	[[nodiscard]] bool isExplained(const Crash& _crash, PartKey _part) const;
	[[nodiscard]] bool isMassCrash(const Crash& _crash, PartKey _part) const;
	[[nodiscard]] std::int64_t crashesToBlock(PartKey _part) const;
	[[nodiscard]] bool isGuilty(PartKey _part, const Evidence& _evidence, Micros _now) const;
	[[nodiscard]] std::vector<const Crash*> countedCrashes(PartKey _part) const;
	[[nodiscard]] std::vector<PartKey> suspects() const;
	[[nodiscard]] bool explainsCrashes(PartKey _part, PartKey _other) const;
	[[nodiscard]] Micros pauseBefore(PartKey _part) const;
	void startInquiries(const std::set<PartKey>& _parts, Micros _now);
	[[nodiscard]] Inquiry makeInquiry(PartKey _part, const Evidence& _evidence, Micros _now) const;
	bool prolongInquiry(PartKey _part, const Evidence& _evidence, Micros _now);
	void ask(Micros _now, PartActions& _actions);
	void reachVerdicts(Micros _now, PartActions& _actions);
	void onAnswer(const PartAnswer& _answer, Micros _now);
	void clear(PartKey _part, const std::string& _source, PartActions& _actions);
	void onVerdicts(const std::string& _from, const PartVerdicts& _verdicts, Micros _now, PartActions& _actions);
	[[nodiscard]] PartAnswer answerTo(const PartQuery& _query, Micros _now) const;
	void tellBlocked(const std::string& _to, const std::set<PartKey>& _parts, Micros _now, PartActions& _actions) const;
	void broadcast(PartMessage _message, PartActions& _actions) const;
	void eraseCrash(const std::string& _endpoint);
	void limitSize();
	void expire(Micros _now);

	std::string self;
	FatalPartConfig config;
	std::vector<std::string> peers;
	std::map<std::string, Crash> crashes;                               ///< By endpoint id.
	std::unordered_map<PartKey, std::set<std::string>> endpointsByPart; ///< Ids of the crashes of a part.
	std::size_t crashedPartCount = 0;                                   ///< Sum over all crashes.
	PartHistory history;
	std::map<PartKey, Inquiry> inquiries;
	std::map<PartKey, BlockedPart> blocked;
	Micros nextExpiryAt = 0; ///< Time point.
};

} // namespace roadferry

#endif // ROADFERRY_PARTS_FATAL_PARTS_H_HEADER_GUARD
