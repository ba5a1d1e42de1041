#ifndef GYPSUMFALL_SETTINGS_INTERNAL_SCHEDULER_SETTINGS_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_SCHEDULER_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/settings/internal/entry_settings.h"

namespace gypsumfall {

/// Section [host] of a scheduling host.
struct SchedulerHostSettings {
  EntryHostId id;
  DataCentreId data_centre;
  /// Callers' requests.
  Endpoint listen_callers;
  /// The balancer's health checks.
  Endpoint listen_health;
  /// Calls of other scheduling hosts.
  Endpoint listen_peers;
  /// Metrics and dumps.
  Endpoint listen_metrics;
  /// Processors of the host, as part of a core.
  double processor_share = 1.0;
};

/// Section [platform] of a scheduling host.
struct SchedulerPlatformSettings {
  Endpoint table_service;
};

/// Section [timings]: bounds that the platform states.
struct SchedulerTimings {
  /// Longest lease that a worker accepts.
  Duration max_worker_lease = seconds(6);
  /// Time that a job is known after it has ended.
  Duration ended_retention = std::chrono::minutes(10);
  /// Workers renew their entry in the worker list this often.
  Duration worker_heartbeat = milliseconds(1000);
};

/// Section [scheduling] of a scheduling host.
struct SchedulingSettings {
  /// Workers that a whole processor is to carry; with the processors of the
  /// host that counts first, the largest, it decides the number of shards. At
  /// the measured 1.1 thousandths of a core for each busy worker a scheduler
  /// uses a little over half of its host.
  std::int64_t workers_per_processor = 500;
};

/// All settings of one scheduling host process.
struct SchedulerSettings {
  SchedulerHostSettings host;
  SchedulerPlatformSettings platform;
  SchedulerTimings timings;
  SchedulingSettings scheduling;
  LimitSettings limits;
  LoggingSettings logging;
};

/// Parses and checks the settings of a scheduling host; see
/// `ParseEntrySettings` for the parameters.
/// @return the settings, or all faults.
Parsed<SchedulerSettings> ParseSchedulerSettings(
    std::string_view text, std::string_view file,
    const std::vector<std::string>& overrides = {});

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_SCHEDULER_SETTINGS_H_
