/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// What must always hold, with real processes: kills, freezes, lost answers, cut streams, outages, planned stops.

#include "deployment.h"

#include <absl/strings/str_cat.h>

#include <criterion/criterion.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>

namespace
{

using roadferry::Answer;
using roadferry::CallResult;
using roadferry::Deployment;
using roadferry::Process;

const std::string kMark = "/v1/pipelines/mark/requests";
const std::string kCheckin = "/v1/pipelines/checkin/requests";

/// Two endpoints of each kind.
void addPairs(Deployment& _deployment, const std::vector<std::string>& _flags = {})
{
	for (const char* kind : {"encoder", "retriever", "reranker", "engine", "service"})
	{
		_deployment.endpoint(absl::StrCat(kind, "-1"), kind, _flags);
		_deployment.endpoint(absl::StrCat(kind, "-2"), kind, _flags);
	}
}

std::string bodyOf(const std::string& _marker, int _tokens, const std::string& _more = {})
{
	return absl::StrCat(R"({"input":{"marker":")", _marker, R"("},"max_tokens":)", _tokens, _more, "}");
}

std::string onceBody(const std::string& _marker, const std::string& _ticket)
{
	return bodyOf(_marker, 0, absl::StrCat(R"(,"repeatable":false,"deadline_ms":3000,"ticket":")", _ticket, R"(")"));
}

/// Answers of many requests, taken from another thread.
class Tally
{
public:
	void take(const std::string& _marker, const Answer& _answer)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		const std::string outcome = _answer.json["outcome"].toString().toStdString();
		this->outcomes[outcome] += 1;
		this->markers[outcome].insert(_marker);
		this->done += 1;
	}

	int count(const std::string& _outcome)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		return this->outcomes[_outcome];
	}

	std::set<std::string> of(const std::string& _outcome)
	{
		const std::lock_guard<std::mutex> guard(this->lock);
		return this->markers[_outcome];
	}

	std::atomic<int> done{0};

private:
	std::mutex lock;
	std::map<std::string, int> outcomes;
	std::map<std::string, std::set<std::string>> markers;
};

void assertNeverTwice(Deployment& _deployment)
{
	for (const auto& entry : _deployment.effects())
	{
		cr_assert_leq(entry.second, 1, "%s took effect %d times", entry.first.c_str(), entry.second);
	}
}

} // namespace

Test(failures, once_requests_take_effect_once_over_copies_and_a_kill)
{
	Deployment deployment;
	addPairs(deployment, {"--service_ms=20", "--slots=32"});
	deployment.daemons(3);
	deployment.writeTable();
	constexpr int kRequests = 300;
	constexpr int kKillAt = 150;
	Tally tally;
	for (int index = 0; index < kRequests; ++index)
	{
		const std::size_t first = static_cast<std::size_t>(index) % (index < kKillAt ? 3 : 2);
		const std::string marker = absl::StrCat("c", index);
		const std::string body = onceBody(marker, deployment.ticket(first));
		for (std::size_t copy = 0; copy < 2; ++copy)
		{
			const std::string& address = deployment.nodes[(first + copy) % 3]->address;
			deployment.callLater(address, kCheckin, body,
								 [&tally, marker](const Answer& _answer) { tally.take(marker, _answer); });
		}
		if (index == kKillAt)
		{
			deployment.nodes[2]->kill();
		}
	}
	Deployment::await("all answers", [&] { return tally.done == 2 * kRequests; });
	assertNeverTwice(deployment);
	const auto effects = deployment.effects();
	for (const std::string& marker : tally.of("not_run"))
	{
		cr_assert_eq(effects.count(marker), 0, "%s was told not run, and ran", marker.c_str());
	}
	// Of the killed node's tickets only those in flight may be unknown: 20 ms of load, far fewer than a third.
	cr_assert_geq(tally.count("answered"), kRequests);
	cr_assert_leq(tally.of("unknown").size(), 40);
}

Test(failures, frozen_issuer_leaves_unknown_and_no_second_run_when_it_wakes)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(2);
	deployment.writeTable();
	const std::string body = onceBody("frozen", deployment.ticket(0));
	// Without a deadline of its own a call waits for the pipeline's, not for ever.
	const std::string open =
		absl::StrCat(R"({"input":{"marker":"open"},"repeatable":false,"ticket":")", deployment.ticket(0), R"("})");
	deployment.nodes[0]->signal(SIGSTOP);
	const Answer waited = deployment.call(deployment.nodes[1]->address, "POST", kCheckin, open);
	Deployment::expectText(waited.json["reason"], "issuer_unreachable");
	const Answer during = deployment.call(deployment.nodes[1]->address, "POST", kCheckin, body);
	Deployment::expectText(during.json["outcome"], "unknown");
	Deployment::expectText(during.json["reason"], "issuer_unreachable");
	cr_assert_not(during.json["repeat_safe"].toBool());
	deployment.nodes[0]->signal(SIGCONT);
	const Answer after = deployment.call(deployment.nodes[1]->address, "POST", kCheckin, body);
	Deployment::expectText(after.json["outcome"], "answered");
	assertNeverTwice(deployment);
}

Test(failures, restarted_issuer_at_the_same_address_never_runs_old_tickets)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(2);
	deployment.writeTable();
	const std::string body = onceBody("old", deployment.ticket(0));
	const std::string peer = deployment.nodes[0]->peer;
	deployment.nodes[0]->kill();
	deployment.daemon({"--peer_port=" + peer.substr(peer.rfind(':') + 1)});
	Deployment::await("new process ready",
					  [&] { return deployment.call(deployment.nodes[2]->address, "GET", "/ready").status == 200; });
	for (const std::size_t node : {std::size_t{1}, std::size_t{2}})
	{
		const Answer answer = deployment.call(deployment.nodes[node]->address, "POST", kCheckin, body);
		Deployment::expectText(answer.json["outcome"], "unknown");
	}
	cr_assert_eq(deployment.effects().count("old"), 0);
}

Test(failures, lost_answer_of_a_once_call_is_unknown_and_not_repeated)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(1);
	deployment.writeTable();
	for (const auto& endpoint : deployment.endpoints)
	{
		deployment.fault(*endpoint, R"({"mode":"drop"})");
	}
	for (int index = 0; index < 20; ++index)
	{
		const std::string marker = absl::StrCat("d", index);
		const Answer answer =
			deployment.call(deployment.nodes[0]->address, "POST", kCheckin, onceBody(marker, deployment.ticket(0)));
		Deployment::expectText(answer.json["outcome"], "unknown");
		cr_assert_not(answer.json["repeat_safe"].toBool());
		cr_assert_eq(deployment.effects()[marker], 1);
	}
}

Test(failures, answer_under_a_wrong_id_is_not_taken)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(1);
	deployment.writeTable();
	deployment.fault(*deployment.endpoints[0], R"({"mode":"wrong_attempt"})");
	deployment.fault(*deployment.endpoints[6], R"({"mode":"wrong_attempt"})");
	for (int index = 0; index < 10; ++index)
	{
		const std::string marker = absl::StrCat("w", index);
		const Answer answer = deployment.call(deployment.nodes[0]->address, "POST", kMark, bodyOf(marker, 1));
		Deployment::expectText(answer.json["outcome"], "answered");
		Deployment::expectText(answer.json["answer"]["text"], marker + ":0 ");
		Deployment::expectText(answer.json["stages"][0]["endpoint"], "encoder-2");
		Deployment::expectText(answer.json["stages"][3]["endpoint"], "engine-2");
	}
}

Test(failures, cut_stream_is_resumed_without_gap_or_overlap)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(1);
	deployment.writeTable();
	deployment.fault(*deployment.endpoints[6], R"({"mode":"cut"})");
	int resumed = 0;
	for (int index = 0; index < 6; ++index)
	{
		const std::string marker = absl::StrCat("s", index);
		const Answer answer = deployment.call(deployment.nodes[0]->address, "POST", kMark, bodyOf(marker, 6));
		Deployment::expectText(
			answer.json["answer"]["text"],
			absl::StrCat(marker, ":0 ", marker, ":1 ", marker, ":2 ", marker, ":3 ", marker, ":4 ", marker, ":5 "));
		const QJsonArray stages = answer.json["stages"].toArray();
		resumed += stages.last()["attempts"].toInt() > 1 ? 1 : 0;
	}
	cr_assert_gt(resumed, 0);
}

Test(failures, cut_stream_of_a_once_call_is_never_passed_off_as_whole)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(1);
	deployment.writeTable();
	deployment.fault(*deployment.endpoints[6], R"({"mode":"cut"})");
	deployment.fault(*deployment.endpoints[7], R"({"mode":"cut"})");
	const std::string more =
		absl::StrCat(R"(,"stream":true,"repeatable":false,"ticket":")", deployment.ticket(0), R"(")");
	const Answer answer = deployment.call(deployment.nodes[0]->address, "POST", kMark, bodyOf("x", 6, more));
	cr_assert_neq(answer.body.find("\"outcome\":\"unknown\""), std::string::npos, "%s", answer.body.c_str());
	cr_assert_eq(answer.body.find("\"outcome\":\"answered\""), std::string::npos);
}

Test(failures, leaving_endpoint_gets_no_new_work_while_the_vm_list_is_frozen)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(2);
	deployment.writeTable();
	deployment.fault(*deployment.vmList, R"({"mode":"freeze"})");
	Process& leaving = *deployment.endpoints[8];
	cr_assert_eq(deployment.call(leaving.address, "POST", "/leave").status, 200);
	for (const auto& node : deployment.nodes)
	{
		Deployment::await("the daemon knows",
						  [&]
						  {
							  const Answer list = deployment.call(node->address, "GET", "/operator/endpoints", {},
																  Deployment::kOperator);
							  return list.body.find("\"state\":\"leaving\"") != std::string::npos;
						  });
	}
	for (int index = 0; index < 40; ++index)
	{
		const std::string& address = deployment.nodes[static_cast<std::size_t>(index) % 2]->address;
		cr_assert_eq(deployment.call(address, "POST", kCheckin, bodyOf(absl::StrCat("l", index), 0)).status, 200);
	}
	const Answer ledger = deployment.call(leaving.address, "GET", "/ledger");
	cr_assert_eq(ledger.json["effects"].toArray().size(), 0);
}

Test(failures, planned_stop_cuts_nothing_and_answers_for_its_tickets)
{
	Deployment deployment;
	addPairs(deployment, {"--service_ms=30", "--token_ms=20", "--slots=32"});
	deployment.daemons(2);
	deployment.writeTable();
	Tally tally;
	for (int index = 0; index < 30; ++index)
	{
		const std::string marker = absl::StrCat("p", index);
		deployment.callLater(deployment.nodes[0]->address, kMark, bodyOf(marker, 20),
							 [&tally, marker](const Answer& _answer) { tally.take(marker, _answer); });
	}
	const std::string unused = onceBody("unused", deployment.ticket(0));
	const std::string used = onceBody("used", deployment.ticket(0));
	const Answer first = deployment.call(deployment.nodes[0]->address, "POST", kCheckin, used);
	Deployment::expectText(first.json["outcome"], "answered");
	deployment.nodes[0]->signal(SIGTERM);
	cr_assert_eq(deployment.nodes[0]->wait(), 0);
	Deployment::await("all answers", [&] { return tally.done == 30; });
	cr_assert_eq(tally.count("answered"), 30);
	// The other node answers for the one that has stopped: an unused ticket was certainly not run.
	const Answer late = deployment.call(deployment.nodes[1]->address, "POST", kCheckin, unused);
	Deployment::expectText(late.json["outcome"], "not_run");
	cr_assert(late.json["repeat_safe"].toBool());
	const Answer again = deployment.call(deployment.nodes[1]->address, "POST", kCheckin, used);
	Deployment::expectText(again.json["outcome"], "answered");
	cr_assert_eq(deployment.effects()["used"], 1);
	cr_assert_eq(deployment.effects().count("unused"), 0);
}

Test(failures, table_survives_the_log_being_out_and_all_nodes_replaced_in_turn)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(2);
	deployment.writeTable();
	deployment.fault(*deployment.log, R"({"mode":"out"})");
	const std::string change = R"({"id":"second","changes":[{"kind":"workspace","name":"hall","base":1,)"
							   R"("row":{"name":"hall","weight":3}}]})";
	const Answer unknown = deployment.edit(0, change);
	cr_assert_eq(unknown.status, 504, "%s", unknown.body.c_str());
	Deployment::expectText(unknown.json["result"], "unknown");
	for (std::size_t node = 0; node < 2; ++node)
	{
		deployment.nodes[node]->kill();
		deployment.daemon();
		const std::string& address = deployment.nodes.back()->address;
		Deployment::await("new daemon has the table from its peer",
						  [&] { return deployment.call(address, "GET", "/ready").status == 200; });
		Deployment::await("new daemon serves",
						  [&] { return deployment.call(address, "POST", kCheckin, bodyOf("t", 0)).status == 200; });
	}
	deployment.fault(*deployment.log, R"({"mode":"none"})");
	Deployment::await("the log takes edits again", [&] { return deployment.edit(3, change).status == 200; });
}

Test(failures, of_two_operators_at_once_one_wins_and_one_is_told)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(2);
	deployment.writeTable();
	for (int round = 0; round < 5; ++round)
	{
		const Answer table =
			deployment.call(deployment.nodes[0]->address, "GET", "/operator/table", {}, Deployment::kOperator);
		std::int64_t base = 0;
		for (const QJsonValue& row : table.json["rows"].toArray())
		{
			base = row["name"].toString() == "hall" ? row["revision"].toInteger() : base;
		}
		Tally tally;
		std::atomic<int> accepted{0};
		std::atomic<int> conflicts{0};
		std::atomic<int> done{0};
		for (std::size_t node = 0; node < 2; ++node)
		{
			const std::string body = absl::StrCat(
				R"({"id":"race-)", round, "-", node, R"(","changes":[{"kind":"workspace","name":"hall","base":)", base,
				R"(,"row":{"name":"hall","weight":)", round + 2 + static_cast<int>(node), "}}]}");
			deployment.callLater(
				deployment.nodes[node]->address, "/operator/table/edits", body,
				[&](const Answer& _answer)
				{
					accepted += _answer.status == 200 ? 1 : 0;
					conflicts += _answer.status == 409 ? 1 : 0;
					done += 1;
				},
				Deployment::kOperator);
		}
		Deployment::await("both operators are told", [&] { return done == 2; });
		cr_assert_eq(accepted, 1);
		cr_assert_eq(conflicts, 1);
	}
}

Test(failures, lost_answer_of_an_append_is_settled_by_reading)
{
	Deployment deployment;
	addPairs(deployment);
	deployment.daemons(1);
	deployment.writeTable();
	deployment.fault(*deployment.log, R"({"mode":"drop","count":2})");
	const Answer answer = deployment.edit(0, R"({"id":"lost","changes":[{"kind":"workspace","name":"hall","base":1,)"
											 R"("row":{"name":"hall","weight":9}}]})");
	cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
	Deployment::expectText(answer.json["result"], "accepted");
}
