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
  /// Listens for callers' requests.
  Endpoint listen_callers;
  /// Listens for the load balancer's health checks.
  Endpoint listen_health;
  /// Listens for calls of other scheduling hosts.
  Endpoint listen_peers;
  /// Serves metrics and dumps.
  Endpoint listen_metrics;
  /// Processor capacity of the host in cores; may be a fraction.
  double processor_share = 1.0;
};

/// Section [platform] of a scheduling host.
struct SchedulerPlatformSettings {
  Endpoint table_service;
};

/// Section [timings]: time limits that the platform guarantees.
struct SchedulerTimings {
  /// Longest lease that a worker accepts.
  Duration max_worker_lease = seconds(6);
  /// Time for which the state of an ended job is kept.
  Duration ended_retention = std::chrono::minutes(10);
  /// Interval at which workers renew their entry in the worker list.
  Duration worker_heartbeat = milliseconds(1000);
  /// Time after which no task may start in a data centre that the operator has
  /// closed. A leader that could not read the evacuations for so long starts
  /// nothing. 0 if there is no bound.
  Duration evacuation_bound{0};
  /// Time over which the workers of a data centre return to service after its
  /// evacuation has ended.
  Duration evacuation_return = seconds(3);
};

/// Section [scheduling] of a scheduling host.
struct SchedulingSettings {
  /// Workers that one core of a scheduler host serves. Multiplied by the
  /// `processor_share` of the host that creates the shard layout, normally the
  /// largest host, it determines the number of shards. A busy worker costs 0.6
  /// millicores, so 900 workers use a little over half of a core.
  std::int64_t workers_per_processor = 900;
  /// Memory that the accepted jobs of all shards may need on one host. Further
  /// jobs are refused, so that any host can load what has been accepted.
  ByteCount max_job_memory{64 << 20};
};

/// Section [overload] of a scheduling host: decisions that a deployment asks
/// for when its work needs more room than there is, or when demand and workers
/// are uneven. Without them, work is ordered by objective and stays in its
/// shard.
struct OverloadSettings {
  /// Waiting steps are ordered by what their callers lose by waiting.
  bool order_by_loss = false;
  /// Jobs that cannot end in time by the estimated load are refused.
  bool load_admission = false;
  /// Waiting jobs move to the shard that starts them sooner.
  bool job_balancing = false;
  /// A host that the table service turns away has another host store its jobs.
  bool acceptance_relay = false;
};

/// All settings of one scheduling host process.
struct SchedulerSettings {
  SchedulerHostSettings host;
  SchedulerPlatformSettings platform;
  SchedulerTimings timings;
  SchedulingSettings scheduling;
  OverloadSettings overload;
  LimitSettings limits;
  LoggingSettings logging;
};

/// Parses and checks the settings of a scheduling host; see
/// `ParseEntrySettings` for the parameters.
/// @return the settings, or all diagnostics.
Parsed<SchedulerSettings> ParseSchedulerSettings(
    std::string_view text, std::string_view file,
    const std::vector<std::string>& overrides = {});

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_SCHEDULER_SETTINGS_H_
