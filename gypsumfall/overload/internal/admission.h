#ifndef GYPSUMFALL_OVERLOAD_INTERNAL_ADMISSION_H_
#define GYPSUMFALL_OVERLOAD_INTERNAL_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"
#include "gypsumfall/overload/internal/load_meter.h"
#include "gypsumfall/overload/internal/load_summary.h"

namespace gypsumfall {

/// Why a job is accepted or refused.
enum class AdmissionReason {
  /// Accepted: no usable summary, or the demand cannot be estimated.
  kNoEstimate,
  /// Accepted: jobs of the highest priority are never refused, unless they are
  /// best-effort.
  kHighestPriority,
  /// Accepted: the job can end in time.
  kCanEndInTime,
  /// Accepted: the job takes too long even without a wait, so that it does not
  /// help to send it back.
  kOwnRunTime,
  /// Accepted: jobs of this size have been refused for `kMaxRetryAfter`.
  kTurn,
  /// Refused: the job cannot end in time.
  kTooLate,
};
inline constexpr std::size_t kAdmissionReasonCount = 6;

/// @return a fixed name such as "can_end_in_time".
std::string_view AdmissionReasonName(AdmissionReason reason);

/// Bounds of the delay after which refused jobs are to be submitted again.
inline constexpr Duration kMinRetryAfter = seconds(1);
inline constexpr Duration kMaxRetryAfter = seconds(10);

/// The latest summary of a shard that a host has read.
struct ObservedLoad {
  LoadSummary summary;
  /// Time since the summary was made.
  Duration age{0};
};

struct AdmissionDecision {
  bool accepted = true;
  AdmissionReason reason = AdmissionReason::kNoEstimate;
  /// Set if the load and the demand are known.
  std::optional<LoadEstimate> estimate;
  /// Time since the first refusal of the job by this host.
  Duration waited{0};
  /// For refused jobs: whole seconds from `kMinRetryAfter` to `kMaxRetryAfter`.
  Duration retry_after{0};
};

/// Decides on one host which jobs of a shard are refused, and when they should
/// be submitted again. A job is refused only if by the estimate it cannot end
/// within three times its objective, counted from its first refusal.
class AdmissionController {
 public:
  /// Decides on a job that was submitted, and reserves the time at which it may
  /// return if it is refused.
  /// @param demand see `DemandOf`.
  /// @param observed nothing if the shard has no summary.
  AdmissionDecision Decide(const JobId& job,
                           const std::optional<JobDemand>& demand,
                           const std::optional<ObservedLoad>& observed,
                           Time now);

  /// @return the latest decisions as readable text, one line for each class.
  std::string Dump() const;

 private:
  /// Number of bits of the work of a job. Sizes relative to the mean would
  /// change with it, and with them the start of the bound.
  using Size = int;

  /// Times at which refused jobs are to be submitted again, in order.
  struct Lane {
    /// First time at which the rate of the host has room for another job.
    Time next{};
    /// Latest time at which a refused job was told to return.
    Time last_return{};
  };
  struct ClassState {
    /// Work accepted by this host.
    WorkRate accepted;
    double mean_work = 0;
    /// Time since which no job of the size was accepted; sizes of which the
    /// latest job was accepted are left out.
    std::map<Size, Time> refused_since;
    /// Jobs of up to the mean work have a higher value for their work and
    /// return before larger ones.
    Lane small;
    Lane large;
    AdmissionDecision latest;
    std::uint64_t accepted_count = 0;
    std::uint64_t refused_count = 0;
  };

  AdmissionDecision Judge(const ClassState& state, Size size,
                          const JobDemand& demand, Duration waited,
                          const std::optional<ObservedLoad>& observed,
                          Time now) const;
  /// Reserves the next time at which a refused job may return.
  /// @param excess time by which the job would end too late.
  /// @return the time from `now` to the reserved one.
  static Duration ReserveReturn(ClassState& state, const JobDemand& demand,
                                const ClassLoad& load, Duration excess,
                                Time now);
  void ForgetOldRefusals(Time now);

  std::map<WorkClass, ClassState> classes_;
  /// First refusals of jobs that have not been accepted, oldest first in the
  /// queue.
  std::unordered_map<JobId, Time> first_refusals_;
  std::deque<std::pair<Time, JobId>> refusal_order_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OVERLOAD_INTERNAL_ADMISSION_H_
