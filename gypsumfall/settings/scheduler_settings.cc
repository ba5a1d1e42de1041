#include "gypsumfall/settings/internal/scheduler_settings.h"

#include <string>
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

// Shorter leases would expire between two renewals over a slow link; longer
// ones delay the restart of a lost worker's tasks.
constexpr Range<Duration> kWorkerLeaseRange{seconds(3), minutes(10)};
constexpr Range<double> kProcessorShareRange{0.001, 1024};
constexpr Range<Duration> kEndedRetentionRange{minutes(1), hours(24)};
constexpr Range<Duration> kHeartbeatRange{milliseconds(100), minutes(1)};
constexpr Range<Duration> kEvacuationBoundRange{Duration{0}, minutes(10)};
constexpr Range<Duration> kEvacuationReturnRange{Duration{0}, minutes(10)};
constexpr Range<std::int64_t> kWorkersPerProcessorRange{1, 100'000};
constexpr Range<ByteCount> kJobMemoryRange{ByteCount(64 << 10),
                                           ByteCount(std::int64_t{1} << 40)};

std::vector<Field> Fields(SchedulerHostSettings& host) {
  return {
      MakeField("id", kRequired, host.id, ParseId, "entry-1"),
      MakeField("data_centre", kRequired, host.data_centre, ParseId, "dc-1"),
      MakeField("listen_callers", kRequired, host.listen_callers, ParseEndpoint,
                "10.0.0.1:7000"),
      MakeField("listen_health", kRequired, host.listen_health, ParseEndpoint,
                "10.0.0.1:7001"),
      MakeField("listen_peers", kRequired, host.listen_peers, ParseEndpoint,
                "10.0.0.1:7002"),
      MakeField("listen_metrics", kRequired, host.listen_metrics, ParseEndpoint,
                "10.0.0.1:9464"),
      MakeField("processor_share", kOptional, host.processor_share,
                Within(ParseFraction, kProcessorShareRange))};
}

std::vector<Field> Fields(SchedulerPlatformSettings& platform) {
  return {MakeField("table_service", kRequired, platform.table_service,
                    ParseEndpoint, "10.0.0.10:7100")};
}

std::vector<Field> Fields(SchedulerTimings& timings) {
  return {MakeField("max_worker_lease", kOptional, timings.max_worker_lease,
                    Within(ParseDuration, kWorkerLeaseRange)),
          MakeField("ended_retention", kOptional, timings.ended_retention,
                    Within(ParseDuration, kEndedRetentionRange)),
          MakeField("worker_heartbeat", kOptional, timings.worker_heartbeat,
                    Within(ParseDuration, kHeartbeatRange)),
          MakeField("evacuation_bound", kOptional, timings.evacuation_bound,
                    Within(ParseDuration, kEvacuationBoundRange)),
          MakeField("evacuation_return", kOptional, timings.evacuation_return,
                    Within(ParseDuration, kEvacuationReturnRange))};
}

std::vector<Field> Fields(SchedulingSettings& scheduling) {
  return {MakeField("workers_per_processor", kOptional,
                    scheduling.workers_per_processor,
                    Within(ParseInteger, kWorkersPerProcessorRange)),
          MakeField("max_job_memory", kOptional, scheduling.max_job_memory,
                    Within(ParseByteCount, kJobMemoryRange))};
}

std::vector<Field> Fields(OverloadSettings& overload) {
  return {
      MakeField("order_by_loss", kOptional, overload.order_by_loss, ParseBool),
      MakeField("load_admission", kOptional, overload.load_admission,
                ParseBool),
      MakeField("job_balancing", kOptional, overload.job_balancing, ParseBool),
      MakeField("acceptance_relay", kOptional, overload.acceptance_relay,
                ParseBool)};
}

}  // namespace

Parsed<SchedulerSettings> ParseSchedulerSettings(
    std::string_view text, std::string_view file,
    const std::vector<std::string>& overrides) {
  IniDocument document = ParseIni(text, file);
  ApplyOverrides(overrides, document);
  std::vector<Diagnostic> diagnostics = std::move(document.diagnostics);
  SchedulerSettings settings;
  const auto make_rule = [&](std::string name, auto& section) {
    return SectionRule{
        std::move(name), false,
        [&diagnostics, &section, &document](const IniSection& ini_section) {
          ReadFields(ini_section, Fields(section), document.file, diagnostics);
        }};
  };
  const std::vector<SectionRule> rules = {
      make_rule("host", settings.host),
      make_rule("platform", settings.platform),
      make_rule("timings", settings.timings),
      make_rule("scheduling", settings.scheduling),
      make_rule("overload", settings.overload),
      make_rule("limits", settings.limits),
      make_rule("logging", settings.logging)};
  ReadSections(document, rules, diagnostics);
  if (diagnostics.empty()) return settings;
  SortDiagnostics(diagnostics);
  return tl::unexpected(std::move(diagnostics));
}

}  // namespace gypsumfall
