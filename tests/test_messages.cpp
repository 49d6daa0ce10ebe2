/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of parsers of external input: peer messages, request bodies and CSV files. Malformed input gives an error and
/// never a crash.

#include "feed_record.h"
#include "peer_messages.h"
#include "property.h"
#include "row_csv.h"
#include "traffic.h"

#include <QCborMap>
#include <QCborValue>

#include <sys/resource.h>

namespace
{

using namespace roadferry;

std::vector<PeerMessage> samples()
{
	ShutdownReport farewell;
	farewell.issuer = Incarnation{"10.0.0.1:8500", 18'000'000'000'000'000'000U};
	farewell.expiredUpTo = 3;
	farewell.outcomes[4] = Outcome{Verdict::NotRun, Reason::TicketSealed, true, 0, {}};
	Gossip gossip;
	gossip.kind = GossipKind::Join;
	gossip.sequence = 7;
	gossip.updates = {Member{"10.0.0.2:8500", 9, MemberState::Suspect, 12, 25, true}};
	return {
		RelayRequest{1, RelayKind::Cancel, "t", "hall", "mark", std::string("\0\xff{", 3), "00-a-b-01"},
		RelayToken{1, 2, "token"},
		RelayResult{1, 503, 200'000, "{}"},
		TableRequest{5},
		TableResponse{"{}"},
		LeavingNotice{{"engine-1", "engine-2"}},
		farewell,
		gossip,
		DemandReport{true, {{"hall", 4}}},
		ShareGrant{{{"hall", 4}}},
		RoutesRequest{7, true},
		RoutesResponse{
			std::string("\0{", 2),
			{ListedEndpoint{"e", 5, Endpoint{"e-1", "10.0.0.3:80", "pool", "north", 6, true, "v1.1"}, 1'800}},
			{"e-1", "e-2"}},
		PieceSubmit{
			"pool",
			{PieceOrder{5, "abc", {1, 2}, "key", {"10.0.0.3:80/1"}, 900'000, 400'000, 1, 60'000, "north", 77, true}},
			AdmissionTerms{300'000, true, {PoolDemand{"pool", 3, 0}, PoolDemand{"other", 8, 290'000}}}},
		PieceSubmit{"pool", {}, std::nullopt},
		FeedRequest{7, 8, 9, 10},
		FeedResponse{
			std::string("\0{", 2), 8,
			DirectoryChanges{
				9,
				30,
				true,
				{ListedEndpoint{"e", 5, Endpoint{"e-1", "10.0.0.3:80", "pool", "north", 6, true, "v1.1"}, 1'800}},
				{"e-2"}},
			400'000, 7, 11},
		FeedResponse{},
		PieceUpdate{{PieceStarted{4}},
					{PieceCompleted{5, "10.0.0.3:80/2", "north"}},
					{PieceFailed{6, PieceFault::NoSpace}},
					{{"pool", 400'000}},
					{{"pool", 230}}},
		PieceCancel{{5, 6}},
		CrashReport{{EndpointCrash{"e-1", "10.0.0.3:80", "pool", 400'000, {1, 0xffff'ffff'ffff'ffffU}}},
					{"10.0.0.4:8500"}},
		CrashReport{{EndpointCrash{"e-1", "10.0.0.3:80", "pool", 400'000, {1}, {2, 0xffff'ffff'ffff'ffffU}}}, {}},
		CrashReportRequest{},
		PartQuery{{2, 0xffff'ffff'ffff'ffffU}, "10.0.0.1:8500", {"10.0.0.4:8500"}},
		PartAnswer{{PartRecord{2, 5, 400'000}, PartRecord{3, 1, std::nullopt}}},
		PartVerdicts{{BlockedPart{2, 400'000, 900'000, 3}}, {ClearedPart{3, 1'000}}, {"10.0.0.4:8500"}},
		OriginRecords{{StreamRecord{"abc", StreamOrigin{"pool", "v1.1"}, 900'000}}, true},
		OriginRecords{{StreamRecord{"abc", StreamOrigin{"pool", "v1.1"}, 900'000},
					   StreamRecord{"def", StreamOrigin{"pool", "v1", false}, 800'000}},
					  false},
		OriginAnswer{3, StreamOrigin{"pool", "v1.1", false}, {"v1", "v1.1"}, true},
		OriginQuery{3, "abc", "pool", 20'000'000},
		OriginAnswer{3, StreamOrigin{"pool", "v1.1"}, {"v1", "v1.1"}, true},
		OriginAnswer{3, std::nullopt, {}},
		CallMessage(RelayedCallStart{9, "abc", "e-1", 900'000, true, "POST", "/a?b=\xff", {{"X-A", "\xfe"}}, 3}),
		RejectionLimitNotice{"pool", 3, {"10.0.0.4:8500"}},
		StreamEndQuery{"abc"},
		StreamEndNotice{"abc", AgreeingRuns{0xffff'ffff'ffff'ffffU, 2}, 900'000},
		PoolEndsNotice{"pool",
					   900'000,
					   AskedEnds{7, 2},
					   {{20, EndsThere{9, 1}}, {0xffff'ffff'ffff'ffffU, EndsThere{1, 0}}},
					   {"10.0.0.4:8500"}},
		PoolEndsNotice{"pool", 0, {}, {}, {}},
		CallMessage(RelayedCallBody{9, std::string("\0{\xff", 3)}),
		CallMessage(RelayedCallCancel{9}),
		CallMessage(RelayedCallConnected{9}),
		CallMessage(RelayedCallHead{9, 200, {{"X-A", "b"}, {"x-a", ""}}}),
		CallMessage(RelayedCallData{9, 70'000, std::string("\0{", 2)}),
		CallMessage(RelayedCallEnd{9, CallResult::Interrupted, true, 5, true, true, "reset"}),
		CallMessage(EndpointProbeRequest{4, "e-1"}),
		CallMessage(EndpointProbeAnswer{4, ProbeResult::Refused})};
}

/// @returns A message as a node of an earlier version sends it: without one field.
absl::StatusOr<PeerMessage> decodeWithout(const PeerMessage& _message, const char* _field)
{
	const std::string bytes = encode(_message);
	QCborMap map = QCborValue::fromCbor(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size()))).toMap();
	cr_assert(map.contains(QString(_field)), "field %s", _field);
	map.remove(QString(_field));
	return decode(map.toCborValue().toCbor().toStdString());
}

} // namespace

// Guards a rolling upgrade: a node of an earlier version sends none of the fields that came later.
Test(messages, messages_without_later_fields_are_understood)
{
	Gossip gossip;
	gossip.updates = {Member{"10.0.0.2:8500", 9, MemberState::Alive, 12, 25, true}};
	const auto withoutRelays = decodeWithout(gossip, "relays");
	cr_assert(withoutRelays.ok());
	cr_assert(!std::get<Gossip>(*withoutRelays).updates.at(0).relaysCalls);
	const auto members = decodeWithout(gossip, "processors");
	cr_assert(members.ok());
	cr_assert_eq(std::get<Gossip>(*members).updates.at(0).processorPercent, 0);
	const auto update = decodeWithout(PieceUpdate{{}, {}, {}, {{"pool", 400'000}}, {{"pool", 230}}}, "rates");
	cr_assert(update.ok());
	cr_assert(std::get<PieceUpdate>(*update) == (PieceUpdate{{}, {}, {}, {{"pool", 400'000}}, {}}));
	const AdmissionTerms terms{300'000, true, {PoolDemand{"pool", 3, 290'000}}};
	const auto submit = decodeWithout(PieceSubmit{"pool", {}, terms}, "arrives_in");
	cr_assert(submit.ok());
	cr_assert_eq(std::get<PieceSubmit>(*submit).admission->demand.at(0).arrivesIn, 0);
	FeedResponse response;
	response.endpoints.listed = {
		ListedEndpoint{"e", 5, Endpoint{"e-1", "10.0.0.3:80", "pool", "north", 6, true, "v1"}}};
	const auto listing = decodeWithout(response, "software");
	cr_assert(listing.ok());
	cr_assert(std::get<FeedResponse>(*listing).endpoints.listed.at(0).endpoint.softwareVersion.empty());
	const CrashReport report{{EndpointCrash{"e-1", "10.0.0.3:80", "pool", 400'000, {1}, {2}}}, {}};
	const auto crashes = decodeWithout(report, "parts");
	cr_assert(crashes.ok());
	cr_assert(std::get<CrashReport>(*crashes).crashes.at(0).parts.empty());
	PieceOrder order;
	order.content = 77;
	const auto orders = decodeWithout(PieceSubmit{"pool", {order}, std::nullopt}, "contents");
	cr_assert(orders.ok());
	cr_assert_eq(std::get<PieceSubmit>(*orders).orders.at(0).content, 0);
	const StreamRecord resumable{"abc", StreamOrigin{"pool", "v1"}, 900'000};
	const StreamRecord other{"def", StreamOrigin{"pool", "v1", false}, 900'000};
	const auto records = decodeWithout(OriginRecords{{resumable, other}, true}, "not_resumable_records");
	cr_assert(records.ok());
	cr_assert(std::get<OriginRecords>(*records) == (OriginRecords{{resumable}, true}));
	const auto origin = decodeWithout(OriginAnswer{3, other.origin, {}, true}, "not_resumable");
	cr_assert(origin.ok());
	cr_assert(std::get<OriginAnswer>(*origin).origin == resumable.origin);
}

Test(messages, every_type_survives_a_round_trip)
{
	for (const PeerMessage& message : samples())
	{
		const auto read = decode(encode(message));
		cr_assert(read.ok(), "kind %zu: %s", message.index(), std::string(read.status().message()).c_str());
		cr_assert(*read == message, "kind %zu", message.index());
	}
}

Test(messages, corrupted_bytes_give_an_error_or_a_message)
{
	const std::vector<PeerMessage> all = samples();
	checkHistories("peer messages",
				   [&]
				   {
					   std::string bytes = encode(*rc::gen::elementOf(all));
					   const int changes = *rc::gen::inRange(1, 6);
					   for (int index = 0; index < changes; ++index)
					   {
						   bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
					   }
					   bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
					   const auto read = decode(bytes);
					   const bool hasPrefix = read.ok() || read.status().message().find("peer message: ") == 0;
					   RC_ASSERT(hasPrefix);
				   });
}

/// Guards against memory that is reserved for a length which another node's message only announces.
Test(messages, announced_lengths_reserve_no_memory)
{
	constexpr rlim_t kMemoryLimit = 1ULL << 30U;
	const rlimit limit{kMemoryLimit, kMemoryLimit};
	cr_assert_eq(::setrlimit(RLIMIT_AS, &limit), 0);
	for (const unsigned char type : {0x5b, 0x7b, 0x9b, 0xbb}) // Bytes, text, array and map; the length takes 8 bytes.
	{
		for (const std::string& length : {std::string("\x00\x00\x01\x00", 4), std::string("\x00\x00\x00\x00", 4)})
		{
			const std::string announced = length + std::string("\x7f\xff\xff\xff", 4);
			const std::string value = static_cast<char>(type) + announced + "a";
			cr_assert_not(decode(value).ok());
			cr_assert_not(decode("\xa1\x64type" + value).ok());
		}
	}
}

Test(messages, packed_records_round_trip_and_corrupted_ones_give_an_error_or_a_record)
{
	checkHistories("packed records",
				   []
				   {
					   const std::string record = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
					   std::string packed = packRecord(record);
					   RC_ASSERT(unpackRecord(packed).value() == record);
					   packed[*rc::gen::inRange<std::size_t>(0, packed.size())] = *rc::gen::arbitrary<char>();
					   packed.resize(*rc::gen::inRange<std::size_t>(0, packed.size() + 1));
					   const auto damaged = unpackRecord(packed);
					   RC_ASSERT(damaged.ok() || damaged.status().message().find("record: ") == 0);
				   });
}

Test(messages, malformed_bodies_and_spreadsheets_give_an_error)
{
	checkHistories("bodies",
				   []
				   {
					   std::string body = R"({"input":{"a":1},"deadline_ms":3000,"max_tokens":5,"stream":true})";
					   body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
					   const auto submission = parseSubmission("hall", "mark", body);
					   const bool hasMessage = submission.ok() || !submission.status().message().empty();
					   RC_ASSERT(hasMessage);
					   std::string csv = "kind,name,field,value\nworkspace,hall,weight,2\nstage,e,pool,p\n";
					   csv[*rc::gen::inRange<std::size_t>(0, csv.size())] = *rc::gen::arbitrary<char>();
					   const auto rows = rowsFromCsv(csv);
					   const bool rowsHaveMessage = rows.ok() || !rows.status().message().empty();
					   RC_ASSERT(rowsHaveMessage);
				   });
}

Test(messages, table_survives_a_csv_round_trip)
{
	Table table;
	const auto put = [](const Row& _row) { return RowChange{keyOf(_row), 0, _row}; };
	const TableEdit edit{"a",
						 "ana",
						 {put(WorkspaceRow{"hall", 2.5, 7}), put(PipelineRow{"mark", "hall", {"e", "g"}, 900, true}),
						  put(StageRow{"e", StageKind::Engine, "p", false, 3, 40})}};
	cr_assert(std::holds_alternative<EditAccepted>(table.apply(1, edit)));
	const auto rows = rowsFromCsv(rowsToCsv(table.snapshot()));
	cr_assert(rows.ok(), "%s", std::string(rows.status().message()).c_str());
	cr_assert(makeEdit(table.snapshot(), *rows, "b").changes.empty());
}
