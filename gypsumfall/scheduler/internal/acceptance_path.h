#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_ACCEPTANCE_PATH_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_ACCEPTANCE_PATH_H_

#include <map>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/scheduler/ports.h"

namespace gypsumfall::scheduler_internal {

/// Time for which a store path that has failed is avoided.
inline constexpr Duration kFailingPathMemory = milliseconds(500);

/// Leader of a shard on another host, which can store a job for this one.
struct RelayTarget {
  ShardId shard;
  /// "ip:port" of the leader's internal listener.
  std::string endpoint;
};

/// Paths on which one request has tried to store its job since it last waited.
struct AcceptanceAttempts {
  bool own_store = false;
  /// Endpoints of other hosts.
  std::vector<std::string> relayed_to;
};

/// The next attempt to store a job.
struct AcceptanceStep {
  enum class Route {
    kOwnStore,
    /// Call the leader of `shard`.
    kRelay,
    /// All paths have been tried.
    kNone,
  };
  Route route = Route::kNone;
  /// For `kRelay`.
  ShardId shard;
};

/// Decides on which path a host stores the jobs that it accepts: by its own
/// call to the table service, or through the leader of a shard on another host.
/// Remembers for `kFailingPathMemory` which paths have failed. While this
/// host's own path fails, one request in that time probes it.
class AcceptancePath {
 public:
  /// Chooses the next attempt and records it in `attempts`.
  /// @param targets leaders on other hosts in order of preference, the home
  ///   shard's first. Those that have recently failed are tried last.
  AcceptanceStep NextStep(AcceptanceAttempts& attempts,
                          const std::vector<RelayTarget>& targets, Time now);

  /// Records the outcome of a write by this host.
  void OnOwnWrite(StoreOutcome outcome, Time now);
  /// Records the outcome of a write that another host was asked for.
  void OnRelayedWrite(const std::string& endpoint, StoreOutcome outcome,
                      Time now);

  /// @return whether the latest write of this host has failed.
  bool is_own_store_failing() const { return own_failing_; }

 private:
  bool IsFailing(const std::string& endpoint, Time now) const;

  bool own_failing_ = false;
  /// Whether the latest failed write of this host got no response.
  bool own_silent_ = false;
  /// Time from which the own path is tried again, if it is failing.
  Time next_probe_{};
  /// Times until which other hosts are tried last.
  std::map<std::string, Time> failing_until_;
};

/// @param relay_possible whether another host could store the job afterwards.
/// @return the time for which a write of this host is waited for: at most half
///   of the time left if another host can be asked afterwards.
Duration OwnWriteTimeout(Duration time_left, Duration accept_timeout,
                         bool relay_possible);

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_ACCEPTANCE_PATH_H_
