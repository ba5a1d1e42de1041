#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {
namespace {

const AttemptId attempt_id{CustomerId("c1"), TaskId("t1"), AttemptNumber(2)};
const Resources resources{MilliCores(100), MebiBytes(200), Accelerators(3)};
const CommandHeader header{EntryHostId("e1"), Epoch(4), Incarnation(5),
                           WorkerTime(seconds(6))};
const AttemptReport report{
    attempt_id, AttemptState::kFailed,      true, KindId("k1"), resources, "cp",
    "res\"\n",  WorkerTime(milliseconds(7))};

const std::string id_text = R"("customer":"c1","task":"t1","attempt":2)";
const std::string resources_text =
    R"({"cpu_millicores":100,"memory_mib":200,"accelerators":3})";
const std::string header_text =
    R"("owner":"e1","epoch":4,"incarnation":5,"valid_until_ms":6000)";
const std::string report_text =
    "{" + id_text + R"(,"state":"failed","started":true,"kind":"k1",)" +
    R"("resources":)" + resources_text +
    R"(,"checkpoint":"cp","result":"res\"\n","lease_until_ms":7})";

// Guards against fields that are lost, swapped or renamed on the wire, and
// against truncated text being accepted as a message.
template <typename Message>
void CheckCodec(const Message& message, const std::string& text) {
  INFO(text);
  CHECK(Encode(message) == text);
  const Result<Message> decoded = Decode<Message>(text);
  REQUIRE(decoded);
  CHECK(Encode(*decoded) == text);
  for (std::size_t size = 0; size < text.size(); ++size) {
    const auto truncated = Decode<Message>(text.substr(0, size));
    if (truncated || truncated.error().kind != ErrorKind::kBadRequest) {
      FAIL_CHECK("accepted the first " << size << " bytes");
    }
  }
}

TEST_CASE("worker messages keep every field") {
  CheckCodec(AttachCall{EntryHostId("e1"), Epoch(4)},
             R"({"owner":"e1","epoch":4})");
  CheckCodec(
      AttachReply{true,
                  Epoch(18446744073709551615ULL),
                  EntryHostId("e1"),
                  Incarnation(2),
                  WorkerTime(seconds(3)),
                  resources,
                  8,
                  60,
                  true,
                  {report, report},
                  {{ExchangeId("x1"), resources}}},
      R"({"accepted":true,"highest_epoch":18446744073709551615,)"
      R"("owner":"e1","incarnation":2,"worker_clock_ms":3000,"resources":)" +
          resources_text +
          R"(,"slots":8,"connections":60,"leaving":true,"attempts":[)" +
          report_text + "," + report_text +
          R"(],"exchanges":[{"exchange":"x1","resources":)" + resources_text +
          "}]}");
  CheckCodec(
      WorkerHeartbeatCall{header,
                          {{attempt_id, Epoch(9), WorkerTime(seconds(1))}},
                          {attempt_id}},
      "{" + header_text + R"(,"renewals":[{)" + id_text +
          R"(,"task_epoch":9,"lease_until_ms":1000}],"acknowledged":[{)" +
          id_text + "}]}");
  CheckCodec(
      WorkerHeartbeatReply{
          RefusalReason::kExpired,
          Incarnation(2),
          WorkerTime(seconds(3)),
          true,
          {report},
          {{KindId("k1"), resources, WorkerTime(seconds(2)), 1500}}},
      R"({"refused":"expired","incarnation":2,"worker_clock_ms":3000,)"
      R"("leaving":true,"attempts":[)" +
          report_text + R"(],"usage":[{"kind":"k1","used":)" + resources_text +
          R"(,"measured_at_ms":2000,"slowdown_permille":1500}]})");
  CheckCodec(
      RunRequestCall{header, ExchangeId("x1"), KindId("k1"), resources, "pay"},
      "{" + header_text + R"(,"exchange":"x1","kind":"k1","resources":)" +
          resources_text + R"(,"payload":"pay"})");
  CheckCodec(RequestReply{ExchangeId("x1"), ExchangeState::kNeverStarted,
                          RefusalReason::kNoSlot, "r"},
             R"({"exchange":"x1","state":"never_started","refused":"no_slot",)"
             R"("result":"r"})");
  CheckCodec(CancelRequestCall{header, ExchangeId("x1")},
             "{" + header_text + R"(,"exchange":"x1"})");
  CheckCodec(StartAttemptCall{header, attempt_id, KindId("k1"), resources,
                              "pay", "cp", Epoch(9), WorkerTime(seconds(1))},
             "{" + header_text + "," + id_text +
                 R"(,"kind":"k1","resources":)" + resources_text +
                 R"(,"payload":"pay","checkpoint":"cp","task_epoch":9,)"
                 R"("lease_until_ms":1000})");
  CheckCodec(StartAttemptReply{RefusalReason::kClosed, WorkerTime(seconds(1))},
             R"({"refused":"closed","worker_clock_ms":1000})");
  CheckCodec(StopAttemptCall{header, attempt_id},
             "{" + header_text + "," + id_text + "}");
  CheckCodec(StopAttemptReply{{}, report}, R"({"report":)" + report_text + "}");
}

TEST_CASE("platform messages keep every field") {
  CheckCodec(TransactCall{"tok", {{"a", RowVersion(1)}}, {{"b", "v"}}, {"c"}},
             R"({"token":"tok","checks":[{"key":"a","version":1}],)"
             R"("puts":[{"key":"b","value":"v"}],"deletes":["c"]})");
  CheckCodec(TransactReply{true, {RowVersion(1), RowVersion(2)}, {}},
             R"({"committed":true,"versions":[1,2]})");
  CheckCodec(TransactReply{false, {}, {"a", RowVersion(3), "v"}},
             R"({"committed":false,"key":"a","version":3,"value":"v"})");
  CheckCodec(ReadCall{{"a", "b"}}, R"({"keys":["a","b"]})");
  CheckCodec(RowsReply{{{"a", RowVersion(1), "v"}, {"b", RowVersion(0), ""}}},
             R"({"rows":[{"key":"a","version":1,"value":"v"},)"
             R"({"key":"b","version":0,"value":""}]})");
  CheckCodec(ScanCall{"p", "q", 5}, R"({"prefix":"p","after":"q","limit":5})");
  CheckCodec(
      HostListReply{{{WorkerId("w1"), "10.0.0.1:80", RackId("r1"),
                      DataCentreId("d1"), false, true, resources}}},
      R"([{"id":"w1","address":"10.0.0.1:80","rack":"r1","data_centre":"d1",)"
      R"("live":false,"leaving":true,"resources":)" +
          resources_text + "}]");
}

std::string StartAttemptJsonWith(const std::string& field,
                                 const std::string& value) {
  std::string text = Encode(StartAttemptCall{
      header, attempt_id, KindId("k1"), resources, "pay", "cp", Epoch(9), {}});
  const std::size_t name = text.find("\"" + field + "\":");
  const std::size_t begin = text.find(':', name) + 1;
  std::size_t end = text.find_first_of(",}", begin);
  if (text[begin] == '{') end = text.find('}', begin) + 1;
  return text.replace(begin, end - begin, value);
}

struct InvalidField {
  const char* field;
  std::string value;
  const char* path;
};

// Guards against values of a wrong type or out of range being accepted, such as
// a negative amount of resources, which would increase the free capacity of a
// host.
TEST_CASE("invalid fields are rejected with their path") {
  const std::vector<InvalidField> table = {
      {"owner", "7", "\"owner\" must be a string"},
      {"owner", "null", "\"owner\""},
      {"epoch", "-1", "\"epoch\" must be a whole number from 0 to"},
      {"epoch", "1.0", "\"epoch\""},
      {"epoch", "\"4\"", "\"epoch\""},
      {"epoch", "18446744073709551616", "\"epoch\""},
      {"attempt", "4294967296", "from 0 to 4294967295"},
      {"valid_until_ms", "9223372036854776", "\"valid_until_ms\""},
      {"memory_mib", "-200", "\"resources.memory_mib\""},
      {"memory_mib", "9223372036854775808", "\"resources.memory_mib\""},
      {"resources", "[]", "\"resources\" must be an object"},
      {"resources", R"({"cpu_millicores":1})",
       "\"resources.memory_mib\" is missing"},
  };
  for (const InvalidField& invalid : table) {
    const std::string text = StartAttemptJsonWith(invalid.field, invalid.value);
    INFO(text);
    const auto decoded = Decode<StartAttemptCall>(text);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == ErrorKind::kBadRequest);
    CHECK_THAT(decoded.error().detail, Catch::Contains(invalid.path));
  }
}

// Guards against stack exhaustion by deeply nested input, and against rejecting
// messages of a later release because of its new fields.
TEST_CASE("nesting is bounded and unknown fields are ignored") {
  const auto nested = [](std::size_t depth) {
    return R"({"keys":["a"],"new":)" + std::string(depth, '[') +
           std::string(depth, ']') + "}";
  };
  CHECK(Decode<ReadCall>(nested(31)));
  CHECK_FALSE(Decode<ReadCall>(nested(32)));
  CHECK_FALSE(Decode<ReadCall>(nested(1'000'000)));
}

// Guards against errors that do not identify the faulty element or value.
TEST_CASE("errors name elements and the allowed names") {
  CHECK(Decode<ReadCall>(R"({"keys":["a",1]})").error().detail ==
        "field \"keys[1]\" must be a string");
  CHECK(Decode<ReadCall>("[]").error().detail ==
        "the message must be an object");
  CHECK(Decode<RowsReply>(R"({"rows":[{"key":"a"}]})").error().detail ==
        "field \"rows[0].version\" is missing");
  CHECK(Decode<HostListReply>("[7]").error().detail ==
        "field \"[0]\" must be an object");
  CHECK(Decode<RequestReply>(R"({"exchange":"x","state":"lost","result":""})")
            .error()
            .detail ==
        "field \"state\" must be one of finished, failed, running, "
        "never_started");
  CHECK_FALSE(Decode<TransactReply>(R"({"committed":true,"key":"a"})"));
  CHECK(Decode<TransactReply>(R"({"committed":false,"key":"a","version":0})"));
}

// Guards against a lease that ends later on the worker than it was granted.
TEST_CASE("times are rounded down to milliseconds") {
  AttemptReport attempt_report;
  attempt_report.lease_until = WorkerTime(microseconds(1999));
  CHECK_THAT(Encode(attempt_report), Catch::Contains("\"lease_until_ms\":1}"));
}

}  // namespace
}  // namespace gypsumfall
