#include "gypsumfall/contract/contract.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace gypsumfall {
namespace {

std::string AcmeKeyDigest() { return KeyDigest("acme-key"); }

std::string ValidText() {
  return "[customer]\nid = acme\nkey_digest = " + AcmeKeyDigest() +
         R"(
[guaranteed]
cpu = 2cores
[ceiling]
cpu = 8cores
memory = 16GiB
requests_per_second = 100
concurrent_requests = 10
queued_tasks = 50
running_tasks = 5
[kind check]
shape = request
cpu = 500m
memory = 256MiB
urgency = urgent
[kind render]
shape = task
idempotent = yes
cpu = 2cores
memory = 4GiB
)";
}

std::string ReplaceInValidText(const std::string& original,
                               const std::string& replacement) {
  std::string text = ValidText();
  const std::size_t at = text.find(original);
  REQUIRE(at != std::string::npos);
  return text.replace(at, original.size(), replacement);
}

std::string ParseDiagnostics(const std::string& text) {
  const auto parsed = ParseContract(text, "c.ini");
  return parsed ? std::string() : DiagnosticsToString(parsed.error());
}

Contract ParseValid(const std::string& text = ValidText()) {
  INFO(ParseDiagnostics(text));
  auto contract = ParseContract(text);
  REQUIRE(contract.has_value());
  return *std::move(contract);
}

// Guards against a value that is dropped or stored in the wrong field.
TEST_CASE("a valid contract and its defaults are read") {
  const Contract contract = ParseValid();
  CHECK(contract.customer == CustomerId("acme"));
  CHECK(contract.key_digests == std::vector{AcmeKeyDigest()});
  CHECK(contract.guaranteed.resources.cpu == MilliCores(2000));
  CHECK(contract.ceiling.resources.memory == MebiBytes(16384));
  CHECK(contract.ceiling.burst == 100);
  const KindSpec* check = contract.FindKind(KindId("check"));
  REQUIRE(check != nullptr);
  CHECK(check->urgency == UrgencyClass::kUrgent);
  CHECK(check->deadline == kDefaultDeadline);
  CHECK(check->run_without_contact == Duration(0));
  const KindSpec* render = contract.FindKind(KindId("render"));
  REQUIRE(render != nullptr);
  CHECK(render->idempotent);
  CHECK_FALSE(render->resumable);
  CHECK(render->deadline == Duration(0));
  CHECK(render->run_without_contact == kDefaultRunWithoutContact);
  CHECK(contract.FindKind(KindId("other")) == nullptr);
}

struct DiagnosticCase {
  std::string original;
  std::string replacement;
  std::string expected;
};

// Guards against an invalid contract that is accepted and fails only at run
// time.
TEST_CASE("each error in a contract is reported with its line") {
  const std::string digest_line = "key_digest = " + AcmeKeyDigest();
  const std::vector<DiagnosticCase> cases = {
      {"id = acme", "id = ac me",
       "c.ini:2: [customer] id: \"ac me\" is not a valid name"},
      {"id = acme", "id = acme\nid = other",
       "[customer] id is given again, first on line 2"},
      {"[guaranteed]", "[customer]\nid = other\n[guaranteed]",
       "[customer] is given again, first on line 1"},
      {digest_line, "", "[customer] key_digest is missing"},
      {digest_line, "key_digest = acme-key",
       "c.ini:3: [customer] key_digest: a digest has 64 hexadecimal digits"},
      {digest_line, digest_line + "\n" + digest_line,
       "c.ini:4: [customer] key_digest: the same digest is given twice"},
      {digest_line, digest_line + ",", "a digest has 64 hexadecimal digits"},
      {"[guaranteed]\ncpu = 2cores", "[guaranteed]\ncpu = 9cores",
       "c.ini:5: [guaranteed] cpu is 9cores, above [ceiling] cpu of 8cores; "
       "write at most 8cores"},
      {"cpu = 2cores\n[ceil", "running_tasks = 6\n[ceil",
       "c.ini:5: [guaranteed] running_tasks is 6, above [ceiling]"},
      {"cpu = 8cores\n", "",
       "c.ini:6: [ceiling] cpu is missing; write \"cpu = 4cores\""},
      {"memory = 16GiB", "memory = -1GiB",
       "\"-1GiB\" is out of range; write 0MiB to 1024TiB"},
      {"memory = 16GiB", "memory = 9223372036854775807TiB", "is out of range"},
      {"memory = 16GiB", "memory = 16KiB",
       "has the unknown unit \"KiB\"; units are TiB, GiB and MiB"},
      {"second = 100", "second = 100\nburst = 0",
       "c.ini:10: [ceiling] burst of 0 refuses every request"},
      {"second = 100", "second = 1e3", "is not a whole number without a unit"},
      {"second = 100", "second = 0",
       "c.ini:9: [kind check] could never run because [ceiling] "
       "requests_per_second is 0"},
      {"requests = 10", "requests = 0", "[ceiling] concurrent_requests is 0"},
      {"queued_tasks = 50\n", "",
       "c.ini:6: [kind render] could never run because [ceiling] queued_tasks "
       "is 0"},
      {"running_tasks = 5", "running_tasks = 0",
       "[ceiling] running_tasks is 0"},
      {"cpu = 500m", "cpu = 9cores",
       "c.ini:15: [kind check] cpu is 9cores, above [ceiling] cpu of 8cores, "
       "so it could never run"},
      {"memory = 4GiB", "memory = 4GiB\naccelerators = 1",
       "[kind render] accelerators is 1, above [ceiling]"},
      {"cpu = 500m", "cpu = 0m", "write 1m to 1000000cores"},
      {"shape = request\n", "",
       "[kind check] shape is missing; write \"shape = request\""},
      {"shape = request", "shape = service", "\"service\" is not a shape"},
      {"urgency = urgent", "urgency = now", "write urgent, normal or patient"},
      {"urgency = urgent", "resumable = true",
       "[kind check] resumable applies to task kinds only; remove the line"},
      {"urgency = urgent", "run_without_contact = 1h",
       "[kind check] run_without_contact applies to task kinds only"},
      {"urgency = urgent", "deadline = 0ms", "write 1ms to 10min"},
      {"idempotent = yes", "deadline = 1s",
       "c.ini:20: [kind render] deadline applies to request kinds only"},
      {"idempotent = yes", "urgency = urgent",
       "only request kinds can be urgent"},
      {"idempotent = yes", "run_without_contact = 25h", "write 10s to 24h"},
      {"idempotent = yes", "idempotent = maybe", "write true or false"},
      {"[kind render]", "[kind check]",
       "c.ini:18: [kind check] is given again, first on line 13"},
      {"[kind render]", "[kind]", "[kind] needs a name"},
      {"[kind render]", "[sort render]", "unknown section \"[sort render]\""},
  };
  for (const DiagnosticCase& c : cases) {
    INFO(c.replacement);
    CHECK_THAT(ParseDiagnostics(ReplaceInValidText(c.original, c.replacement)),
               Catch::Contains(c.expected));
  }
}

// Guards against follow-up diagnostics that obscure the diagnostic to correct.
TEST_CASE("values that failed to parse cause no follow-up diagnostics") {
  const auto parsed =
      ParseContract(ReplaceInValidText("cpu = 8cores", "cpu = 8"));
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().size() == 1);
}

// Guards against a contract so large that it slows down every call.
TEST_CASE("the numbers of digests and kinds are bounded") {
  std::string digests;
  for (int i = 0; i < 16; ++i) {
    digests += "\nkey_digest = " + KeyDigest(std::to_string(i));
  }
  CHECK_THAT(ParseDiagnostics(ReplaceInValidText("\n[guaranteed]",
                                                 digests + "\n[guaranteed]")),
             Catch::Contains("there are more than 16 digests"));
  std::string kinds = ValidText();
  for (int i = 0; i < 255; ++i) {
    kinds += "[kind k" + std::to_string(i) +
             "]\nshape = request\ncpu = 1m\nmemory = 1MiB\n";
  }
  CHECK_THAT(ParseDiagnostics(kinds),
             Catch::Contains("there are more than 256 kinds"));
}

// Guards against a diagnostic that shows a key that was pasted in place of its
// digest.
TEST_CASE("diagnostics never show a key") {
  const auto diagnostics =
      ParseDiagnostics(ReplaceInValidText(AcmeKeyDigest(), "acme-key"));
  CHECK(diagnostics.find("acme-key") == std::string::npos);
}

// Guards against texts that crash the parser or yield values out of range.
TEST_CASE("corrupted texts yield diagnostics or a consistent contract") {
  std::mt19937_64 rng(11);
  for (int round = 0; round < 3000; ++round) {
    std::string text = ValidText();
    for (int edits = 1 + static_cast<int>(rng() % 4); edits > 0; --edits) {
      const std::size_t at = rng() % text.size();
      if (rng() % 3 == 0) {
        text.erase(at, rng() % 20);
      } else {
        text[at] = static_cast<char>(rng() % 256);
      }
    }
    const auto contract = ParseContract(text);
    if (!contract) {
      REQUIRE_FALSE(contract.error().empty());
      continue;
    }
    const Limits& ceiling = contract->ceiling;
    REQUIRE(contract->guaranteed.resources.FitsIn(ceiling.resources));
    REQUIRE(contract->guaranteed.resources.IsValid());
    for (const KindSpec& spec : contract->kinds) {
      REQUIRE(spec.resources.FitsIn(ceiling.resources));
    }
  }
}

// Guards against a conflict report that omits a change.
TEST_CASE("differences are listed field by field") {
  const Contract before = ParseValid();
  CHECK(DiffContracts(before, before).empty());
  std::string text = ReplaceInValidText("cpu = 8cores", "cpu = 9cores");
  text += "[kind extra]\nshape = request\ncpu = 1m\nmemory = 1MiB\n";
  text.replace(text.find("idempotent = yes"), 16, "resumable = true");
  const auto changes = DiffContracts(before, ParseValid(text));
  const auto has = [&](const FieldChange& change) {
    return std::find(changes.begin(), changes.end(), change) != changes.end();
  };
  CHECK(changes.size() == 10);
  CHECK(has({"ceiling.cpu", "8cores", "9cores"}));
  CHECK(has({"kind render.idempotent", "true", "false"}));
  CHECK(has({"kind render.resumable", "false", "true"}));
  CHECK(has({"kind extra.deadline", "", "1s"}));
  const auto reverse = DiffContracts(ParseValid(text), before);
  CHECK(reverse.size() == 10);
}

// Guards against a contract change that leaves work in progress above its
// limits without a report.
TEST_CASE("limits that work in progress exceeds are listed") {
  const Contract contract = ParseValid();
  ContractUsage usage;
  usage.resources = contract.ceiling.resources;
  usage.running_tasks = 5;
  usage.kinds = {{KindId("render"), 5}};
  CHECK(FindExceededLimits(contract, usage).empty());
  usage.resources += Resources{MilliCores(500), {}, Accelerators(1)};
  usage.running_tasks = 7;
  usage.concurrent_requests = 11;
  usage.queued_tasks = 51;
  usage.kinds.push_back({KindId("old"), 2});
  const std::vector<ExceededLimit> expected = {
      {"ceiling.cpu", 8500, 8000},
      {"ceiling.accelerators", 1, 0},
      {"ceiling.concurrent_requests", 11, 10},
      {"ceiling.queued_tasks", 51, 50},
      {"ceiling.running_tasks", 7, 5},
      {"kind old", 2, 0}};
  CHECK(FindExceededLimits(contract, usage) == expected);
}

// Guards against examples that the parser no longer accepts.
TEST_CASE("example contracts are valid") {
  int count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(GYPSUMFALL_EXAMPLES)) {
    if (!entry.path().string().ends_with(".contract.ini")) continue;
    std::stringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    CHECK(ParseValid(text.str()).kinds.size() == 3);
    ++count;
  }
  CHECK(count == 2);
}

}  // namespace
}  // namespace gypsumfall
