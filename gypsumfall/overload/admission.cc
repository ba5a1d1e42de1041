#include <algorithm>
#include <array>
#include <bit>
#include <chrono>

#include "gypsumfall/overload/overload.h"

namespace gypsumfall {
namespace {

// A job that ends after this multiple of its objective is worth nothing.
constexpr int kUsefulObjectives = 3;
// Share of a host in the arrivals of its shard if it has accepted less than
// this or the arrivals are not known. The planned deployments have up to 40
// hosts.
constexpr double kMinHostShare = 1.0 / 64;
// Time for which refusals are remembered, and how many. Callers make up to four
// retries, each at most `kMaxRetryAfter` later.
constexpr Duration kRefusalRetention = seconds(60);
constexpr std::size_t kMaxRefusals = 8192;
// Part of a deviation of the mean work that one job corrects.
constexpr double kMeanLearningRate = 0.05;

int SizeOf(CpuTime work) {
  return static_cast<int>(
      std::bit_width(static_cast<std::uint64_t>(work.value())));
}

}  // namespace

std::string_view AdmissionReasonName(AdmissionReason reason) {
  static constexpr std::array<std::string_view, kAdmissionReasonCount> kNames =
      {"no_estimate", "highest_priority", "can_end_in_time", "own_run_time",
       "turn",        "too_late"};
  return kNames.at(static_cast<std::size_t>(reason));
}

AdmissionDecision AdmissionController::Judge(
    const ClassState& state, Size size, const JobDemand& demand,
    Duration waited, const std::optional<ObservedLoad>& observed,
    Time now) const {
  AdmissionDecision decision{.waited = waited};
  if (observed) {
    decision.estimate =
        EstimateCompletion(observed->summary, observed->age, demand);
  }
  const WorkClass& work_class = demand.work_class;
  if (!decision.estimate) return decision;
  const Duration limit = kUsefulObjectives * demand.objective;
  const LoadEstimate& estimate = *decision.estimate;
  const auto refused_since = state.refused_since.find(size);
  if (work_class.priority == 0 && !work_class.best_effort) {
    decision.reason = AdmissionReason::kHighestPriority;
  } else if (waited + estimate.completion <= limit) {
    decision.reason = AdmissionReason::kCanEndInTime;
  } else if (estimate.completion - estimate.wait > limit) {
    decision.reason = AdmissionReason::kOwnRunTime;
  } else if (refused_since != state.refused_since.end() &&
             now - refused_since->second >= kMaxRetryAfter) {
    decision.reason = AdmissionReason::kTurn;
  } else {
    decision.reason = AdmissionReason::kTooLate;
    decision.accepted = false;
  }
  return decision;
}

Duration AdmissionController::ReserveReturn(ClassState& state,
                                            const JobDemand& demand,
                                            const ClassLoad& load,
                                            Duration excess, Time now) {
  const Time end = now + kMaxRetryAfter;
  const bool is_large =
      static_cast<double>(demand.work.value()) > state.mean_work;
  Lane& lane = is_large ? state.large : state.small;
  Time slot = std::max(now + std::min(excess, kMaxRetryAfter), lane.next);
  if (is_large) slot = std::max(slot, state.small.next);
  const auto arrivals = static_cast<double>(load.arrivals.value());
  const auto accepted = static_cast<double>(state.accepted.At(now).value());
  const double share = arrivals > 0
                           ? std::clamp(accepted / arrivals, kMinHostShare, 1.0)
                           : kMinHostShare;
  const MilliCores rate(std::max<std::int64_t>(
      1, static_cast<std::int64_t>(share *
                                   static_cast<double>(load.rate.value()))));
  lane.next = std::min(
      end, slot + std::min(TimeFor(demand.work, rate), kMaxRetryAfter));
  // The delay is sent in whole seconds. Without the last step, a job that was
  // rounded up would return after one that was refused later.
  Duration delay = std::clamp<Duration>(std::chrono::ceil<seconds>(slot - now),
                                        kMinRetryAfter, kMaxRetryAfter);
  while (now + delay < lane.last_return && delay < kMaxRetryAfter)
    delay += seconds(1);
  lane.last_return = std::max(lane.last_return, now + delay);
  return delay;
}

AdmissionDecision AdmissionController::Decide(
    const JobId& job, const std::optional<JobDemand>& demand,
    const std::optional<ObservedLoad>& observed, Time now) {
  if (!demand) return {};
  ForgetOldRefusals(now);
  ClassState& state = classes_[demand->work_class];
  const auto work = static_cast<double>(demand->work.value());
  state.mean_work =
      state.mean_work == 0
          ? work
          : state.mean_work + kMeanLearningRate * (work - state.mean_work);
  const Size size = SizeOf(demand->work);
  const auto refused = first_refusals_.find(job);
  const Duration waited =
      refused == first_refusals_.end() ? Duration{0} : now - refused->second;
  AdmissionDecision decision =
      Judge(state, size, *demand, waited, observed, now);
  if (decision.accepted) {
    state.accepted.Add(demand->work, now);
    state.refused_since.erase(size);
    ++state.accepted_count;
    if (refused != first_refusals_.end()) first_refusals_.erase(refused);
  } else {
    const Duration excess = waited + decision.estimate->completion -
                            kUsefulObjectives * demand->objective;
    decision.retry_after =
        ReserveReturn(state, *demand,
                      *observed->summary.Find(demand->work_class), excess, now);
    state.refused_since.try_emplace(size, now);
    ++state.refused_count;
    if (refused == first_refusals_.end()) {
      first_refusals_.emplace(job, now);
      refusal_order_.emplace_back(now, job);
    }
  }
  state.latest = decision;
  return decision;
}

void AdmissionController::ForgetOldRefusals(Time now) {
  while (!refusal_order_.empty() &&
         (refusal_order_.size() > kMaxRefusals ||
          refusal_order_.front().first + kRefusalRetention <= now)) {
    const auto& [refused_at, job] = refusal_order_.front();
    const auto found = first_refusals_.find(job);
    // The job may have been accepted and refused again since.
    if (found != first_refusals_.end() && found->second == refused_at)
      first_refusals_.erase(found);
    refusal_order_.pop_front();
  }
}

std::string AdmissionController::Dump() const {
  std::string text;
  for (const auto& [work_class, state] : classes_) {
    text += "priority " + std::to_string(work_class.priority) +
            (work_class.best_effort ? " best-effort" : "") + ": accepted " +
            std::to_string(state.accepted_count) + ", refused " +
            std::to_string(state.refused_count) + ", latest " +
            std::string(AdmissionReasonName(state.latest.reason));
    if (const auto& estimate = state.latest.estimate) {
      text += ", estimated wait_ms " +
              std::to_string(estimate->wait / milliseconds(1)) +
              " completion_ms " +
              std::to_string(estimate->completion / milliseconds(1));
    }
    text += "\n";
  }
  return text;
}

}  // namespace gypsumfall
