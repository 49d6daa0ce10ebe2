/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// End-to-end tests with separate processes: requests of a caller through the balancer and a daemon to all stages.

#include "deployment.h"

#include <absl/strings/str_cat.h>

#include <criterion/criterion.h>

namespace
{

using roadferry::Answer;
using roadferry::Deployment;
using roadferry::Process;

void startEndpoints(Deployment& _deployment)
{
	for (const char* kind : {"encoder", "retriever", "reranker", "engine", "service"})
	{
		_deployment.startEndpoint(absl::StrCat(kind, "-1"), kind);
	}
}

std::string expectedText(const std::string& _marker, int _tokens)
{
	std::string text;
	for (int position = 0; position < _tokens; ++position)
	{
		absl::StrAppend(&text, _marker, ":", position, " ");
	}
	return text;
}

} // namespace

Test(path, request_runs_all_stages_and_returns_the_complete_answer)
{
	Deployment deployment;
	startEndpoints(deployment);
	deployment.startDaemons(3);
	deployment.writeTable();
	const Process balancer(
		"roadferry-standin",
		{"--kind=balancer", absl::StrCat("--backends=", deployment.nodes[0]->address, ",", deployment.nodes[1]->address,
										 ",", deployment.nodes[2]->address)});
	Deployment::await("balancer has detected the daemons",
					  [&] { return deployment.call(balancer.address, "GET", "/ready").status == 200; });

	const Answer answer = deployment.call(balancer.address, "POST", "/v1/pipelines/mark/requests",
										  R"({"input":{"marker":"script-7"},"max_tokens":4})");
	cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
	Deployment::expectText(answer.json["outcome"], "answered");
	Deployment::expectText(answer.json["answer"]["text"], expectedText("script-7", 4));
	cr_assert_eq(answer.json["stages"].toArray().size(), 4);
	cr_assert_eq(deployment.countEffects()["script-7"], 4);

	const Answer stream = deployment.call(balancer.address, "POST", "/v1/pipelines/mark/requests",
										  R"({"input":{"marker":"s"},"max_tokens":2,"stream":true})");
	cr_assert_neq(stream.body.find("event: token\ndata: {\"position\":1,\"text\":\"s:1 \"}"), std::string::npos);
	cr_assert_neq(stream.body.find("event: outcome"), std::string::npos);
}

Test(path, failing_stage_gives_a_typed_outcome)
{
	Deployment deployment;
	startEndpoints(deployment);
	deployment.startDaemons(1);
	deployment.writeTable();
	deployment.injectFault(*deployment.endpoints[2], R"({"mode":"refuse"})");
	const Answer answer = deployment.call(deployment.nodes[0]->address, "POST", "/v1/pipelines/mark/requests",
										  R"({"input":{"marker":"m"},"max_tokens":4})");
	cr_assert_eq(answer.status, 502, "%s", answer.body.c_str());
	Deployment::expectText(answer.json["outcome"], "unknown");
	Deployment::expectText(answer.json["reason"], "attempts_exhausted");
	Deployment::expectText(answer.json["stage"], "rerank");
	cr_assert(answer.json["repeat_safe"].toBool());
}

Test(path, slow_and_malformed_requests_are_rejected_and_others_still_served)
{
	Deployment deployment;
	startEndpoints(deployment);
	deployment.startDaemons(1, {"--request_timeout_ms=200"});
	deployment.writeTable();
	const std::string address = deployment.nodes[0]->address;
	const std::string slow =
		Deployment::sendRaw(address, "POST /v1/tickets HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab");
	cr_assert_eq(slow.find("HTTP/1.1 408"), 0, "%s", slow.c_str());
	const std::string malformed = Deployment::sendRaw(address, "\x01\x02 no HTTP at all\r\n\r\n");
	cr_assert_eq(malformed.find("HTTP/1.1 400"), 0, "%s", malformed.c_str());
	const std::string longHeader = Deployment::sendRaw(
		address, "GET /health HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(20'000, 'a') + "\r\n\r\n");
	cr_assert_eq(longHeader.find("HTTP/1.1 431"), 0, "%s", longHeader.c_str());
	// A websocket upgrade on the peer port without the peer secret is rejected.
	const std::string unauthenticated =
		Deployment::sendRaw(deployment.nodes[0]->peerAddress,
							"GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
							"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
	cr_assert_eq(unauthenticated.find("HTTP/1.1 101"), std::string::npos, "%s", unauthenticated.c_str());
	const Answer after =
		deployment.call(address, "POST", "/v1/pipelines/checkin/requests", R"({"input":{"marker":"m"}})");
	cr_assert_eq(after.status, 200);
}

Test(path, errors_for_invalid_requests_name_the_field_and_the_limit)
{
	Deployment deployment;
	startEndpoints(deployment);
	deployment.startDaemons(1);
	deployment.writeTable();
	const std::string address = deployment.nodes[0]->address;
	const std::string target = "/v1/pipelines/mark/requests";
	const auto message = [&](const std::string& _body)
	{
		const Answer answer = deployment.call(address, "POST", target, _body);
		cr_assert_eq(answer.status, 400);
		return answer.json["error"]["message"];
	};
	Deployment::expectText(message(R"({"input":1,"deadline_ms":-5})"),
						   "deadline_ms: must be a whole number from 1 to 600000");
	Deployment::expectText(message(R"({"input":1,"max_tokens":1e300})"),
						   "max_tokens: must be a whole number from 0 to 1000000");
	Deployment::expectText(message(R"({"input":1,"repeatable":false})"),
						   "ticket: must be given when repeatable is false; get one from POST /v1/tickets");
	Deployment::expectText(message(R"({"input":1,"workspace":"other"})"),
						   "workspace: must be the workspace of the credential");
	Deployment::expectText(message(R"({"input":1,"colour":"red"})"),
						   "colour: must be left out: there is no such field here");
	cr_assert_neq(message(std::string(5000, '[')).toString().toStdString().find("not valid JSON"), std::string::npos);
	cr_assert_eq(deployment.call(address, "POST", target, R"({"input":1})", "wrong-credential").status, 401);
	cr_assert_eq(deployment.call(address, "POST", target, R"({"input":1})", "other-credential").status, 403);
	cr_assert_eq(deployment.call(address, "POST", "/v1/pipelines/none/requests", R"({"input":1})").status, 404);
	cr_assert_eq(deployment.call(address, "POST", target, std::string(5 * 1024 * 1024, 'x')).status, 413);
	cr_assert_eq(deployment.call(address, "POST", "/operator/table/edits", "{}", Deployment::kCallerCredential).status,
				 401);
	cr_assert_eq(deployment.call(address, "POST", target, R"({"input":{"marker":"m"},"max_tokens":2})").status, 200);
}
