#include "gypsumfall/cli/cli.h"

#include <catch2/catch.hpp>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "gypsumfall/contract/contract.h"

namespace gypsumfall {
namespace {

constexpr const char* kOperatorKey = "operator-key-0123";
constexpr const char* kCallerKey = "caller-key-01234567";

std::string ContractText() {
  return "[customer]\nid = acme\nkey_digest = " + KeyDigest(kCallerKey) +
         "\n[ceiling]\ncpu = 8cores\nmemory = 16GiB\n";
}

// Runs commands against canned responses, files and environment variables.
struct Fixture {
  std::map<std::string, std::string> files = {
      {"c.ini", ContractText()},
      {"based.ini", "# base_version = 7\n" + ContractText()},
      {"bad.ini", "[customer]\nid = a/b\n"},
      {"short.key", "short\n"},
      {"payload", "from file"},
  };
  std::map<std::string, std::string> variables = {
      {"GYPSUMFALL_SERVER", "10.0.0.1:7000"},
      {"GYPSUMFALL_OPERATOR_KEY", kOperatorKey},
      {"GYPSUMFALL_KEY", kCallerKey},
      {"GYPSUMFALL_CUSTOMER", "acme"},
      {"USER", "ann"},
  };
  Result<CliResponse> response = CliResponse{200, "{}"};
  std::vector<CliCall> calls;
  std::string out;
  std::string err;

  ExitCode Run(const std::vector<std::string>& arguments,
               const std::string& input = {}) {
    std::istringstream in(input);
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    const CliEnvironment environment{
        .call =
            [this](const CliCall& call) {
              calls.push_back(call);
              return response;
            },
        .read_file = [this](const std::string& path) -> Result<std::string> {
          const auto file = files.find(path);
          if (file != files.end()) return file->second;
          return Fail(ErrorKind::kBadRequest, "no such file");
        },
        .environment_variable =
            [this](const std::string& name) -> std::optional<std::string> {
          const auto entry = variables.find(name);
          if (entry == variables.end()) return std::nullopt;
          return entry->second;
        },
        .run_entry_host = [](const EntrySettings&) { return ExitCode::kOk; },
        .in = in,
        .out = out_stream,
        .err = err_stream};
    const ExitCode code = RunCli(arguments, environment);
    out = out_stream.str();
    err = err_stream.str();
    return code;
  }
};

struct CallCase {
  std::vector<std::string> arguments;
  std::string method;
  std::string path;
  std::string body;
  std::string response;
  std::string expected_output;
};

// Guards against a command that calls the wrong path or drops an argument.
TEST_CASE("commands send their call and print the response") {
  const std::vector<CallCase> cases = {
      {{"contract", "show", "acme"},
       "GET",
       "/v1/contracts/acme",
       "",
       R"({"text":"[customer]\n","version":7,"author":"ann"})",
       "# base_version = 7\n[customer]\n"},
      {{"contract", "list"},
       "GET",
       "/v1/contracts",
       "",
       R"({"contracts":[{"customer":"acme","version":7,"author":"ann","time":"now"}]})",
       "acme  version 7  by ann  now\n"},
      {{"contract", "history", "acme"},
       "GET",
       "/v1/contracts/acme/history",
       "",
       R"({"history":[{"version":7,"author":"ann","changes":[{"field":"ceiling.cpu","before":"","after":"8cores"}]}]})",
       "ceiling.cpu: (none) -> 8cores\n"},
      {{"task", "submit", "t1", "--kind", "render", "--payload", "x\"y"},
       "POST",
       "/v1/tasks",
       R"({"id":"t1","kind":"render","payload":"x\"y"})",
       R"({"id":"t1","status":"queued"})",
       "id: t1\nstatus: queued\n"},
      {{"task", "submit", "t1", "--kind=render", "--payload-file=payload"},
       "POST",
       "/v1/tasks",
       R"({"id":"t1","kind":"render","payload":"from file"})",
       R"({"id":"t1"})",
       "id: t1\n"},
      {{"task", "show", "t1", "--wait", "2s"},
       "GET",
       "/v1/tasks/t1?wait_ms=2000",
       "",
       R"({"id":"t1","status":"failed","was_run":"yes","error":{"kind":"worker_failed","message":"disk"}})",
       "was_run: yes\nerror: worker_failed: disk\n"},
      {{"task", "cancel", "t1"},
       "DELETE",
       "/v1/tasks/t1",
       "",
       R"({"id":"t1","status":"cancelled"})",
       "status: cancelled\n"},
      {{"task", "list"},
       "GET",
       "/v1/tasks",
       "",
       R"({"tasks":[{"id":"t1","status":"running","was_run":"unknown"}]})",
       "t1  running  was_run unknown\n"},
      {{"request", "r1", "--kind", "check", "--deadline", "200ms"},
       "POST",
       "/v1/requests",
       R"({"id":"r1","kind":"check","payload":"","deadline_ms":200})",
       R"({"id":"r1","was_run":"yes","result":"42","host":"e1"})",
       "was_run: yes\nhost: e1\nresult: 42\n"},
      {{"request", "r1", "--show"},
       "GET",
       "/v1/requests/r1",
       "",
       R"({"id":"r1","was_run":"no"})",
       "was_run: no\n"},
      {{"explain", "task", "t1", "--customer", "acme"},
       "GET",
       "/v1/explain/task/acme/t1",
       "",
       R"({"decisions":[{"time":"1.5s","reason":"no room"}]})",
       "1.5s  reason=no room\n"},
      {{"dump"}, "GET", "/v1/dump", "", R"({"a":1})", "{\"a\":1}\n"},
  };
  for (const CallCase& c : cases) {
    Fixture fixture;
    fixture.response = CliResponse{200, c.response};
    INFO(c.method << " " << c.path);
    CHECK(fixture.Run(c.arguments) == ExitCode::kOk);
    REQUIRE(fixture.calls.size() == 1);
    const CliCall& call = fixture.calls[0];
    CHECK(call.method == c.method);
    CHECK(call.path == c.path);
    CHECK(call.body == c.body);
    CHECK(call.server.ToString() == "10.0.0.1:7000");
    CHECK_THAT(fixture.out, Catch::Contains(c.expected_output));
    // Guards against a caller's command that is sent with the operator key.
    const bool caller =
        c.path.starts_with("/v1/tasks") || c.path.starts_with("/v1/requests");
    const std::string key = caller ? kCallerKey : kOperatorKey;
    CHECK(call.headers[0] == HttpHeader{"Authorization", "Bearer " + key});
    CHECK((call.headers.back() == HttpHeader{"X-Customer", "acme"}) == caller);
    // Guards against a response of another kind of server that passes as
    // success.
    fixture.response = CliResponse{200, "<html>"};
    if (c.path != "/v1/dump") {
      CHECK(fixture.Run(c.arguments) == ExitCode::kNotReachable);
    }
  }
}

// Guards against reporting a contract as in force on a host where an older
// version still applies.
TEST_CASE("contract put prints the rollout state of every entry host") {
  Fixture fixture;
  fixture.response = CliResponse{
      200,
      R"({"version":8,"in_force":[{"host":"e1","state":"in_force","version":8},
      {"host":"e2","state":"pending","version":7},
      {"host":"e3","state":"cut_off","version":6}]})"};
  CHECK(fixture.Run({"contract", "put", "based.ini"}) == ExitCode::kOk);
  CHECK(fixture.calls.at(0).method == "PUT");
  CHECK(fixture.calls.at(0).path == "/v1/contracts/acme");
  CHECK_THAT(fixture.calls.at(0).body,
             Catch::Contains("\"base_version\":7,\"author\":\"ann\"") &&
                 !Catch::Contains("# base_version"));
  for (const char* line : {"accepted as version 8", "e1: in force\n",
                           "e2: not in force yet (still at version 7 of 8)",
                           "e3: cut off;", "In force on 1 of 3 entry hosts."}) {
    CHECK_THAT(fixture.out, Catch::Contains(line));
  }
}

// Guards against a lost update when two operators change a contract
// concurrently.
TEST_CASE(
    "a conflicting contract put prints both changes and the next command") {
  Fixture fixture;
  fixture.response =
      CliResponse{409, R"({"error":"conflict","current_version":9,
      "changes":[{"field":"ceiling.cpu","theirs":"9cores","yours":"8cores"}]})"};
  CHECK(fixture.Run({"contract", "put", "c.ini"}) == ExitCode::kRefused);
  CHECK_THAT(fixture.calls.at(0).body, Catch::Contains("\"base_version\":0"));
  CHECK_THAT(fixture.err,
             Catch::Contains("ceiling.cpu: stored 9cores, submitted 8cores") &&
                 Catch::Contains("put c.ini --base-version 9"));
  fixture.Run({"contract", "put", "based.ini", "--base-version", "9"});
  CHECK_THAT(fixture.calls.at(1).body, Catch::Contains("\"base_version\":9"));
}

// Guards against lowering limits below the use of running work without a
// warning.
TEST_CASE("contract check --compare prints changes and exceeded limits") {
  Fixture fixture;
  CHECK(fixture.Run({"contract", "check", "c.ini"}) == ExitCode::kOk);
  CHECK(fixture.calls.empty());
  fixture.response = CliResponse{200, R"({"version":7,
      "changes":[{"field":"ceiling.cpu","before":"9cores","after":"8cores"}],
      "excess":[{"field":"ceiling.cpu","used":8500,"allowed":8000}]})"};
  CHECK(fixture.Run({"contract", "check", "c.ini", "--compare"}) ==
        ExitCode::kOk);
  CHECK(fixture.calls.at(0).path == "/v1/contracts/acme/check");
  CHECK_THAT(fixture.out,
             Catch::Contains("ceiling.cpu: 9cores -> 8cores") &&
                 Catch::Contains("exceeds ceiling.cpu: 8500 in use"));
}

struct BadInputCase {
  std::vector<std::string> arguments;
  std::string expected;
};

// Guards against bad input that is sent, or rejected without saying how to
// correct it.
TEST_CASE("bad input is explained and nothing is sent") {
  const std::vector<BadInputCase> cases = {
      {{}, "Usage: gypsumfall COMMAND"},
      {{"contrct", "put"}, "did you mean \"contract put\"?"},
      {{"contract", "get"}, "contract check, contract put, contract show"},
      {{"contrat"},
       "did you mean \"contract\"? Allowed: contract check, contract put"},
      {{"--server", "10.0.0.1:1", "dump"},
       "the command must come before its options"},
      {{"contract", "put"}, "FILE is missing"},
      {{"contract", "put", "c.ini", "x"}, "too many arguments"},
      {{"contract", "put", "c.ini", "--autor", "x"}, "did you mean --author?"},
      {{"contract", "put", "c.ini", "--base-version", "-1"},
       "--base-version: \"-1\" is out of range"},
      {{"contract", "put", "c.ini", "--author", "x", "--author", "y"},
       "--author is given twice"},
      {{"contract", "put", "none.ini"},
       "\"none.ini\" cannot be read: no such file"},
      {{"contract", "put", "bad.ini"},
       "bad.ini:2: [customer] id: \"a/b\" is not a valid name"},
      {{"contract", "check", "bad.ini"}, "bad.ini: [ceiling] cpu is missing"},
      {{"contract", "show", "a/../b"},
       "CUSTOMER: \"a/../b\" is not a valid name"},
      {{"settings", "check", "bad.ini"}, "bad.ini:1: unknown section"},
      {{"serve", "bad.ini"}, "bad.ini: [host] id is missing"},
      {{"dump", "--server", "there"}, "write --server 10.0.0.1:7000"},
      {{"dump", "--key-file", "short.key"}, "the key has 5 characters"},
      {{"task", "list", "--customer", "a b"}, "write --customer ID"},
      {{"task", "submit", "t1"}, "write --kind KIND"},
      {{"task", "submit", "t1", "--kind", "k", "--payload", "x",
        "--payload-file", "payload"},
       "both given"},
      {{"task", "show", "t1", "--wait", "2"}, "--wait: \"2\" has no unit"},
      {{"request", "r1", "--kind", "k", "--deadline", "0ms"},
       "write 1ms to 10min"},
      {{"key", "digest"}, "the key has 0 characters"},
  };
  for (const BadInputCase& c : cases) {
    Fixture fixture;
    INFO(c.expected);
    CHECK(fixture.Run(c.arguments) == ExitCode::kBadInput);
    CHECK_THAT(fixture.err, Catch::Contains(c.expected));
    CHECK(fixture.calls.empty());
    CHECK(fixture.err.find("short\n") == std::string::npos);
  }
  Fixture fixture;
  fixture.variables.clear();
  CHECK(fixture.Run({"dump"}) == ExitCode::kBadInput);
  CHECK(fixture.Run({"dump", "--server", "10.0.0.1:1"}) == ExitCode::kBadInput);
  CHECK_THAT(fixture.err, Catch::Contains("set GYPSUMFALL_OPERATOR_KEY"));
  CHECK(fixture.Run({"contract", "put", "c.ini"}) == ExitCode::kBadInput);
  CHECK_THAT(fixture.err, Catch::Contains("write --author NAME"));
}

struct FailureCase {
  Result<CliResponse> response;
  ExitCode code;
  std::string expected;
};

// Guards against an uncertain outcome that is reported as a rejection (I5).
TEST_CASE("rejections and lost responses say whether the work was run") {
  const std::vector<FailureCase> cases = {
      {CliResponse{
           429,
           R"({"was_run":"no","error":{"kind":"over_limit","message":"100 per second"}})"},
       ExitCode::kRefused,
       "Refused (429 over_limit): 100 per second. It was not run and never "
       "will be. Run the command again a little later."},
      {CliResponse{
           504,
           R"({"was_run":"unknown","error":{"kind":"outcome_unknown","message":"late"}})"},
       ExitCode::kRefused,
       "No outcome (504 outcome_unknown): late. It is not known yet"},
      {CliResponse{
           502,
           R"({"was_run":"yes","error":{"kind":"worker_failed","message":"m"}})"},
       ExitCode::kRefused, "Failed (502 worker_failed): m. It was run."},
      {CliResponse{
           400,
           R"({"was_run":"no","error":{"kind":"bad_request","message":"m"}})"},
       ExitCode::kBadInput, "Refused (400 bad_request): m."},
      {CliResponse{503, "<html>"}, ExitCode::kRefused, "Refused (503)."},
      {Fail(ErrorKind::kNoCapacity, "connection refused"),
       ExitCode::kNotReachable, "connection refused\nNothing was sent."},
      {Fail(ErrorKind::kOutcomeUnknown, "timeout"), ExitCode::kNotReachable,
       "The request may have been run. Ask for its outcome with:\n  gypsumfall "
       "request r1 --show"},
  };
  for (const FailureCase& c : cases) {
    Fixture fixture;
    fixture.response = c.response;
    CHECK(fixture.Run({"request", "r1", "--kind", "check"}) == c.code);
    CHECK_THAT(fixture.err, Catch::Contains(c.expected));
    CHECK(fixture.err.find(kCallerKey) == std::string::npos);
  }
}

// Guards against a digest that differs from the one that the contract parser
// accepts and `ContractRegistry` compares.
TEST_CASE("key digest prints what a contract needs") {
  Fixture fixture;
  CHECK(fixture.Run({"key", "digest"}, "caller-key-01234567\r\n") ==
        ExitCode::kOk);
  CHECK(fixture.out == KeyDigest(kCallerKey) + "\n");
}

// Guards against help that requires files, keys or a connection.
TEST_CASE("help is printed for all commands") {
  Fixture fixture;
  CHECK(fixture.Run({"--help"}) == ExitCode::kOk);
  CHECK_THAT(fixture.out, Catch::Contains("contract put") &&
                              Catch::Contains("3 not reachable"));
  CHECK(fixture.Run({"contract", "put", "--help"}) == ExitCode::kOk);
  CHECK_THAT(fixture.out,
             Catch::Contains("Usage: gypsumfall contract put FILE [options]") &&
                 Catch::Contains("--base-version N"));
}

}  // namespace
}  // namespace gypsumfall
