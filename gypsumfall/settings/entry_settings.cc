#include "gypsumfall/settings/internal/entry_settings.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/settings/internal/common_sections.h"
#include "gypsumfall/settings/internal/fields.h"
#include "gypsumfall/settings/internal/ini.h"
#include "gypsumfall/settings/internal/overrides.h"

namespace gypsumfall {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using enum Presence;

constexpr const char* kKeyExample = "<at least 16 characters>";

constexpr Range<std::int64_t> kPartitionRange{1, 1024};
// Leases are renewed every 10 s; a shorter lease would expire between renewals.
constexpr Range<Duration> kAttemptLeaseRange{seconds(15), minutes(10)};
constexpr Range<Duration> kFinishedRetentionRange{minutes(1), hours(24 * 7)};
constexpr Range<std::int64_t> kWriteBudgetRange{1, 100'000};
constexpr Range<double> kWeightRange{0, 1};

std::vector<Field> Fields(HostSettings& host) {
  return {
      MakeField("id", kRequired, host.id, ParseId, "entry-1"),
      MakeField("data_centre", kRequired, host.data_centre, ParseId, "dc-1"),
      MakeField("listen", kRequired, host.listen, ParseEndpoint,
                "10.0.0.1:7000")};
}

std::vector<Field> Fields(PlatformSettings& platform) {
  return {MakeField("table_service", kRequired, platform.table_service,
                    ParseEndpoint, "10.0.0.10:7100"),
          MakeField("object_store", kRequired, platform.object_store,
                    ParseEndpoint, "10.0.0.11:7100"),
          MakeField("host_list", kRequired, platform.host_list, ParseEndpoint,
                    "10.0.0.12:7100")};
}

std::vector<Field> Fields(PeerSettings& peer) {
  return {
      MakeField("address", kRequired, peer.address, ParseEndpoint,
                "10.0.0.2:7000"),
      MakeField("data_centre", kRequired, peer.data_centre, ParseId, "dc-1")};
}

std::vector<Field> Fields(KeySettings& keys) {
  return {
      MakeField("operator_key", kRequired, keys.operator_key, ParseSecret,
                kKeyExample),
      MakeField("peer_key", kRequired, keys.peer_key, ParseSecret, kKeyExample),
      MakeField("worker_key", kRequired, keys.worker_key, ParseSecret,
                kKeyExample)};
}

std::vector<Field> Fields(TaskSettings& tasks) {
  return {MakeField("partitions", kOptional, tasks.partitions,
                    Within(ParseInteger, kPartitionRange)),
          MakeField("attempt_lease", kOptional, tasks.attempt_lease,
                    Within(ParseDuration, kAttemptLeaseRange)),
          MakeField("finished_retention", kOptional, tasks.finished_retention,
                    Within(ParseDuration, kFinishedRetentionRange)),
          MakeField("write_budget", kOptional, tasks.write_budget,
                    Within(ParseInteger, kWriteBudgetRange))};
}

std::vector<Field> Fields(WeightSettings& weights) {
  const auto parse = Within(ParseFraction, kWeightRange);
  return {MakeField("tail_latency", kOptional, weights.tail_latency, parse),
          MakeField("throughput", kOptional, weights.throughput, parse),
          MakeField("evictions", kOptional, weights.evictions, parse)};
}

class EntrySettingsParser {
 public:
  explicit EntrySettingsParser(IniDocument document)
      : document_(std::move(document)),
        diagnostics_(std::move(document_.diagnostics)) {}

  Parsed<EntrySettings> Parse() && {
    const std::vector<SectionRule> rules = {
        MakeRule("host", settings_.host),
        MakeRule("platform", settings_.platform),
        {"peer", true, [this](const IniSection& peer) { ReadPeer(peer); }},
        MakeRule("keys", settings_.keys),
        MakeRule("limits", settings_.limits),
        MakeRule("tasks", settings_.tasks),
        MakeRule("weights", settings_.weights),
        MakeRule("logging", settings_.logging),
    };
    ReadSections(document_, rules, diagnostics_);
    CheckAddresses();
    CheckKeys();
    CheckWeights();
    if (diagnostics_.empty()) return std::move(settings_);
    SortDiagnostics(diagnostics_);
    return tl::unexpected(std::move(diagnostics_));
  }

 private:
  template <typename Section>
  SectionRule MakeRule(std::string name, Section& target) {
    return {std::move(name), false, [this, &target](const IniSection& section) {
              section_lines_[section.name] = section.line;
              ReadFields(section, Fields(target), document_.file, diagnostics_);
            }};
  }

  void ReadPeer(const IniSection& section) {
    PeerSettings peer;
    peer.id = EntryHostId(section.label);
    ReadFields(section, Fields(peer), document_.file, diagnostics_);
    settings_.peers.push_back(std::move(peer));
    peer_lines_.push_back(section.LineOf("address"));
  }

  void Report(int line, std::string message) {
    AddDiagnostic(diagnostics_, line == 0 ? kCommandLine : document_.file, line,
                  std::move(message));
  }

  // Two hosts with the same id or address would receive each other's messages.
  void CheckAddresses() {
    std::map<std::string, std::string> headers_by_address;
    headers_by_address.emplace(settings_.host.listen.ToString(), "[host]");
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
      const PeerSettings& peer = settings_.peers[i];
      const std::string header = "[peer " + peer.id.str() + "]";
      if (peer.id == settings_.host.id) {
        Report(peer_lines_[i], header +
                                   " has the id of this host; remove it, " +
                                   "peers are the other entry hosts");
      }
      if (peer.address.port == 0) continue;
      const auto [first, inserted] =
          headers_by_address.emplace(peer.address.ToString(), header);
      if (inserted) continue;
      Report(peer_lines_[i], header + " address: " + first->first +
                                 " is the address of " + first->second +
                                 " already; each host needs its own");
    }
  }

  // If two roles shared a key, a worker or a peer could act as an operator.
  void CheckKeys() {
    const KeySettings& keys = settings_.keys;
    const bool has_duplicate =
        keys.operator_key.Reveal() == keys.peer_key.Reveal() ||
        keys.operator_key.Reveal() == keys.worker_key.Reveal() ||
        keys.peer_key.Reveal() == keys.worker_key.Reveal();
    const bool all_set = !keys.operator_key.Reveal().empty() &&
                         !keys.peer_key.Reveal().empty() &&
                         !keys.worker_key.Reveal().empty();
    if (!has_duplicate || !all_set) return;
    Report(section_lines_["keys"],
           "[keys] has the same key twice; operator_key, peer_key and "
           "worker_key must differ");
  }

  void CheckWeights() {
    const WeightSettings& weights = settings_.weights;
    if (weights.tail_latency + weights.throughput + weights.evictions > 0) {
      return;
    }
    Report(section_lines_["weights"],
           "[weights] are all 0, so no goal counts; write a number above 0 for "
           "at least one");
  }

  IniDocument document_;
  std::vector<Diagnostic> diagnostics_;
  EntrySettings settings_;
  std::map<std::string, int> section_lines_;
  std::vector<int> peer_lines_;
};

}  // namespace

Parsed<EntrySettings> ParseEntrySettings(
    std::string_view text, std::string_view file,
    const std::vector<std::string>& overrides) {
  IniDocument document = ParseIni(text, file);
  ApplyOverrides(overrides, document);
  return EntrySettingsParser(std::move(document)).Parse();
}

}  // namespace gypsumfall
