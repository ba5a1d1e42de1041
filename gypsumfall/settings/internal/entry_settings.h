#ifndef GYPSUMFALL_SETTINGS_INTERNAL_ENTRY_SETTINGS_H_
#define GYPSUMFALL_SETTINGS_INTERNAL_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/settings/internal/diagnostic.h"
#include "gypsumfall/settings/internal/values.h"

namespace gypsumfall {

/// Section [host].
struct HostSettings {
  EntryHostId id;
  DataCentreId data_centre;
  Endpoint listen;
};

/// Section [platform].
struct PlatformSettings {
  Endpoint table_service;
  Endpoint object_store;
  Endpoint host_list;
};

/// Section [peer NAME]: another entry host.
struct PeerSettings {
  EntryHostId id;
  Endpoint address;
  DataCentreId data_centre;
};

/// Section [keys].
struct KeySettings {
  Secret operator_key;
  Secret peer_key;
  Secret worker_key;
};

/// Section [limits]: limits of every listener, and slots reserved for requests.
struct LimitSettings {
  ByteCount max_body{1 << 20};
  ByteCount max_header{8 << 10};
  std::int64_t max_connections = 1024;
  Duration header_timeout = seconds(5);
  /// Slots of each worker that are reserved for requests.
  std::int64_t urgent_slots = 4;
};

/// Section [tasks].
struct TaskSettings {
  /// Number of partitions; must be the same on all entry hosts of a deployment.
  std::int64_t partitions = 16;
  Duration attempt_lease = seconds(30);
  Duration finished_retention = std::chrono::hours(24);
  /// Table writes per second, summed over all entry hosts.
  std::int64_t write_budget = 150;
};

/// Section [weights]: weight of each scheduling goal, 0 to 1.
struct WeightSettings {
  double tail_latency = 1.0;
  double throughput = 0.5;
  double evictions = 0.5;
};

/// Section [logging].
struct LoggingSettings {
  LogLevel level = LogLevel::kInfo;
  /// Further debug and info lines within the same second are dropped and
  /// counted.
  std::int64_t max_lines_per_second = 1000;
};

/// All settings of one entry host process.
struct EntrySettings {
  HostSettings host;
  PlatformSettings platform;
  std::vector<PeerSettings> peers;
  KeySettings keys;
  LimitSettings limits;
  TaskSettings tasks;
  WeightSettings weights;
  LoggingSettings logging;
};

/// Parses and checks the settings of an entry host.
/// @param text the INI text.
/// @param file file name that diagnostics show.
/// @param overrides "section.key=value" pairs, or "peer.NAME.key=value", that
///     replace values of the text; their diagnostics show "command line" as the
///     file. Values of [keys] are rejected, because other users of the host can
///     read the command line.
/// @return the settings, or all diagnostics.
Parsed<EntrySettings> ParseEntrySettings(
    std::string_view text, std::string_view file,
    const std::vector<std::string>& overrides = {});

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SETTINGS_INTERNAL_ENTRY_SETTINGS_H_
