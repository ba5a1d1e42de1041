#include "gypsumfall/settings/settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <limits>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace gypsumfall {
namespace {

constexpr const char* kValid = R"([host]
id = entry-1
data_centre = dc-1
listen = 10.0.0.1:7000
[platform]
table_service = 10.0.0.10:1
object_store = 10.0.0.11:1
host_list = [fd00::12]:1
[peer entry-2]
address = 10.0.0.2:7000
data_centre = dc-2
[keys]
operator_key = operator-key-0123
peer_key = peer-key-01234567
worker_key = worker-key-012345
)";

// Returns the valid text with one part replaced.
std::string With(const std::string& part, const std::string& replacement) {
  std::string text = kValid;
  const std::size_t at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

std::string DiagnosticsOf(const std::string& text,
                          const std::vector<std::string>& overrides = {}) {
  const auto parsed = ParseEntrySettings(text, "f.ini", overrides);
  return parsed ? std::string() : DiagnosticsToString(parsed.error());
}

// Guards against a value that is lost or stored in another field.
TEST_CASE("valid settings and defaults are read") {
  const auto settings = ParseEntrySettings(kValid, "f.ini");
  REQUIRE(settings.has_value());
  CHECK(settings->host.id == EntryHostId("entry-1"));
  CHECK(settings->host.listen.ToString() == "10.0.0.1:7000");
  CHECK(settings->platform.host_list.ToString() == "[fd00::12]:1");
  REQUIRE(settings->peers.size() == 1);
  CHECK(settings->peers[0].data_centre == DataCentreId("dc-2"));
  CHECK(settings->keys.worker_key.Reveal() == "worker-key-012345");
  CHECK(settings->limits.max_body == ByteCount(1048576));
  CHECK(settings->limits.header_timeout == seconds(5));
  CHECK(settings->tasks.attempt_lease == seconds(30));
  CHECK(settings->tasks.write_budget == 150);
  CHECK(settings->logging.level == LogLevel::kInfo);
}

struct InvalidSettingsCase {
  std::string part;
  std::string replacement;
  std::vector<std::string> expected;
};

// Guards against an error that is not detected, is reported with a wrong line,
// or whose diagnostic does not say how to correct it.
TEST_CASE("each error is reported with its line and what to write") {
  const std::string end = "worker_key = worker-key-012345\n";
  const auto appended = [&](const std::string& more) { return end + more; };
  const std::vector<InvalidSettingsCase> cases = {
      {"[keys]",
       "[kyes]",
       {"f.ini:12: unknown section \"[kyes]\"; did you mean \"keys\"?"}},
      {"[keys]",
       "[other]",
       {"f.ini:12: unknown section", "[keys] operator_key is missing; write"}},
      {"listen =",
       "lisen =",
       {"f.ini:4: unknown key \"lisen\" in [host]; did you mean \"listen\"?"}},
      {"listen =",
       "serve =",
       {"f.ini:4: unknown key \"serve\" in [host]; allowed: id, data_centre "
        "and listen",
        "[host] listen is missing"}},
      {end,
       appended("[limit]\nmax_bdy = 1MB\n"),
       {"f.ini:16: unknown section", "f.ini:17: unknown key",
        "f.ini:17: [limits] max_body: \"1MB\" has the unknown unit"}},
      {end,
       appended("[limits]\nmax_body = 1MB\n"),
       {"f.ini:17: [limits] max_body: \"1MB\" has the unknown unit \"MB\"; "
        "units are GiB, MiB, KiB and B"}},
      {end, appended("[limits]\nmax_body = 5\n"), {"has no unit"}},
      {end,
       appended("[limits]\nmax_body = -1MiB\n"),
       {"\"-1MiB\" is out of range; write 1KiB to 64MiB"}},
      {end,
       appended("[limits]\nmax_body = 99999999999999999999GiB\n"),
       {"is out of range; write 1KiB to 64MiB"}},
      {end,
       appended("[limits]\nmax_body = 9223372036854775807GiB\n"),
       {"is out of range; write 1KiB to 64MiB"}},
      {end,
       appended("[limits]\nheader_timeout = 5s # five\n"),
       {"a comment needs a line of its own"}},
      {end, appended("[limits]\nurgent_slots = 9\n"), {"write 0 to 8"}},
      {end,
       appended("[tasks]\npartitions = many\n"),
       {"f.ini:17: [tasks] partitions: \"many\" is not a whole number without "
        "a unit; write 1 to 1024"}},
      {end, appended("[tasks]\nattempt_lease = 1s\n"), {"write 15s to 10min"}},
      {end,
       appended("[weights]\nevictions = nan\n"),
       {"is not a number from 0 to 1; write for example 0.5"}},
      {end,
       appended("[weights]\ntail_latency = 0\nthroughput = 0\nevictions = 0\n"),
       {"f.ini:16: [weights] are all 0"}},
      {end,
       appended("[weights]\nevictions = 0.5x\n"),
       {"\"0.5x\" is not a number"}},
      {end,
       appended("[weights]\nevictions = 1.1\n"),
       {"\"1.1\" is not a number from 0 to 1"}},
      {end,
       appended("[logging]\nlevel = loud\n"),
       {"write debug, info, warning or error"}},
      {"id = entry-1\n",
       "id = a\nid = b\n",
       {"f.ini:3: [host] id is given again, first on line 2; keep one"}},
      {end,
       appended("[host]\nid = x\n"),
       {"f.ini:16: [host] is given again, first on line 1"}},
      {"id = entry-1\n",
       "id\n",
       {"f.ini:2: the line is neither a section nor a value",
        "[host] id is missing"}},
      {"id = entry-1\n",
       "= x\nid = y\n",
       {"f.ini:2: there is no key before \"=\""}},
      {"[host]\n",
       "a = b\n[host]\n",
       {"f.ini:1: the key \"a\" stands before the first section"}},
      {"[platform]", "[platform", {"f.ini:5: the section header does not end"}},
      {"[platform]", "[]", {"f.ini:5: the section header has no name"}},
      {"[platform]", "[platform x]", {"f.ini:5: [platform] takes no name"}},
      {"[peer entry-2]", "[peer]", {"f.ini:9: [peer] needs a name"}},
      {"[peer entry-2]", "[peer a/b]", {"\"a/b\" is not a valid name"}},
      {"[peer entry-2]",
       "[peer entry-1]",
       {"f.ini:10: [peer entry-1] has the id of this host"}},
      {"10.0.0.2:7000",
       "10.0.0.1:7000",
       {"10.0.0.1:7000 is the address of [host] already"}},
      {"10.0.0.2:7000", "0.0.0.0:7000", {"is not an IP address and a port"}},
      {"10.0.0.2:7000", "some.name:7000", {"write for example 10.0.0.1:7000"}},
      {"10.0.0.2:7000", "10.0.0.2:65536", {"is not an IP address and a port"}},
      {"worker-key-012345",
       "peer-key-01234567",
       {"f.ini:12: [keys] has the same key twice"}},
      {"worker-key-012345",
       "short",
       {"the key has 5 characters; write 16 to 256"}},
  };
  for (const InvalidSettingsCase& test_case : cases) {
    const std::string diagnostics =
        DiagnosticsOf(With(test_case.part, test_case.replacement));
    for (const std::string& expected : test_case.expected) {
      INFO(test_case.replacement);
      CHECK_THAT(diagnostics, Catch::Contains(expected));
    }
  }
}

// Guards against a parser that stops at the first error, so that the operator
// needs another start to see the next one.
TEST_CASE("all errors are reported at once in line order") {
  const auto parsed = ParseEntrySettings("[host]\nid = a/b\nlisten = x\n", "f");
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().size() == 9);
  CHECK(parsed.error().back().message.find("[keys] worker_key") == 0);
  std::string many = "[host]\n";
  for (int i = 0; i < 5000; ++i) many += "x\n";
  CHECK(ParseEntrySettings(many, "f").error().size() == kMaxDiagnostics + 1);
}

// Guards against follow-up diagnostics that hide the actual error.
TEST_CASE("a misspelt name gives no further diagnostic") {
  for (const char* name : {"[keys]", "listen", "operator_key"}) {
    std::string misspelt = name;
    misspelt.insert(3, "x");
    const auto parsed = ParseEntrySettings(With(name, misspelt), "f");
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().size() == 1);
  }
}

// Guards against the rejection of files from other editors and operating
// systems.
TEST_CASE("line endings, byte order marks and comments are accepted") {
  std::string text = "\xef\xbb\xbf# a\r\n ; b\r\n";
  for (const char letter : std::string(kValid)) {
    text += letter == '\n' ? "\t\r\n" : std::string(1, letter);
  }
  CHECK(DiagnosticsOf(text).empty());
}

// Guards against a secret that reaches a log through a diagnostic.
TEST_CASE("diagnostics never show keys") {
  const std::vector<std::string> texts = {
      With("peer-key-01234567", "sesame"),
      With("peer_key = peer-key-01234567", "peer_key sesame"),
      With("peer-key-01234567", "peer-key-01234567\nsesame=="),
      With("peer-key-01234567", "peer-key-01234567\npeer_key = sesame"),
  };
  for (const std::string& text : texts) {
    CHECK_FALSE(DiagnosticsOf(text).empty());
    CHECK(DiagnosticsOf(text).find("sesame") == std::string::npos);
  }
  CHECK_THAT(DiagnosticsOf(kValid, {"keys.peer_key=sesame"}),
             Catch::Contains("command line: keys can not be set"));
}

// Guards against overrides that are ignored, or that hide errors of the file.
TEST_CASE("the command line overrides values") {
  const auto settings = ParseEntrySettings(
      kValid, "f.ini",
      {"tasks.partitions=64", "host.id=e.9", "peer.entry-3.data_centre=dc-3",
       "peer.entry-3.address=10.0.0.3:1", "tasks.partitions=32"});
  REQUIRE(settings.has_value());
  CHECK(settings->tasks.partitions == 32);
  CHECK(settings->host.id == EntryHostId("e.9"));
  REQUIRE(settings->peers.size() == 2);
  CHECK(settings->peers[1].id == EntryHostId("entry-3"));
  for (const std::string pair : {"partitions=1", "tasks.partitions", ".a=1",
                                 "tasks.=1", "tasks.partitions=0"}) {
    INFO(pair);
    CHECK_THAT(DiagnosticsOf(kValid, {pair}),
               Catch::StartsWith("command line: "));
  }
}

// Guards against ids with characters that are invalid in the keys, paths or
// headers that contain them.
TEST_CASE("ids are limited to safe characters") {
  const std::string longest(128, 'a');
  for (const std::string& id :
       {std::string("a"), longest, std::string("A.b_c-9")}) {
    CHECK(ParseId(id).has_value());
  }
  for (const std::string& id :
       {std::string(), longest + "a", std::string("a b"), std::string("a/b"),
        std::string("a\0b", 3), std::string("\xc3\xa9"), std::string("a\n"),
        std::string("\""), std::string("%2f")}) {
    INFO(id);
    CHECK_FALSE(ParseId(id).has_value());
  }
}

// Guards against a formatted value that the parser does not accept.
TEST_CASE("formatted quantities parse to the same value") {
  std::mt19937_64 random(7);
  const auto random_up_to = [&](std::int64_t max) {
    return std::uniform_int_distribution<std::int64_t>(0, max)(random);
  };
  const std::int64_t max_value = std::numeric_limits<std::int64_t>::max();
  for (int i = 0; i < 1000; ++i) {
    const Duration duration = milliseconds(random_up_to(1'000'000'000));
    CHECK(ParseDuration(FormatDuration(duration), {{}, Duration(max_value)}) ==
          duration);
    const ByteCount bytes(random_up_to(max_value) >> random_up_to(62));
    CHECK(ParseByteCount(FormatByteCount(bytes), {{}, ByteCount(max_value)}) ==
          bytes);
    const MilliCores cpu(random_up_to(100'000));
    CHECK(ParseMilliCores(FormatMilliCores(cpu), {{}, MilliCores(max_value)}) ==
          cpu);
  }
}

// Guards against example files that the parser does not accept.
TEST_CASE("example settings are valid") {
  int tail_latency_first = 0;
  int evictions_first = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(GYPSUMFALL_EXAMPLES)) {
    if (!entry.path().string().ends_with(".settings.ini")) continue;
    std::stringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    CHECK(DiagnosticsOf(text.str()).empty());
    const auto settings = ParseEntrySettings(text.str(), "example");
    REQUIRE(settings.has_value());
    const WeightSettings& weights = settings->weights;
    tail_latency_first += weights.tail_latency > weights.evictions ? 1 : 0;
    evictions_first += weights.evictions > weights.tail_latency ? 1 : 0;
  }
  CHECK(tail_latency_first == 1);
  CHECK(evictions_first == 1);
}

}  // namespace
}  // namespace gypsumfall
