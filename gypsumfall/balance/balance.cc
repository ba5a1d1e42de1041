#include "gypsumfall/balance/balance.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gypsumfall {
namespace {

constexpr std::int64_t kMilliCoresPerCore = 1000;

// @return the time in which a pool of processors does the work.
Duration TimeFor(CoreMilliseconds work, MilliCores capacity) {
  return milliseconds(work.value() * kMilliCoresPerCore / capacity.value());
}

}  // namespace

CoreMilliseconds WorkOf(MilliCores cpu, Duration time) {
  const std::int64_t count =
      std::chrono::duration_cast<milliseconds>(time).count();
  return CoreMilliseconds(std::max<std::int64_t>(0, cpu.value()) *
                          std::max<std::int64_t>(0, count) /
                          kMilliCoresPerCore);
}

bool ShouldMove(const ShardOutlook& here, const ShardOutlook& there,
                const WaitingJob& job, const BalanceTerms& terms) {
  if (job.has_run || job.moved_for_load || job.waited < terms.min_wait)
    return false;
  if (there.backlog >= here.backlog) return false;
  const Duration cost = terms.move_cost + terms.margin + job.extra_run_time;
  // A subtraction, because the waits may be the largest duration.
  return here.expected_wait > there.expected_wait &&
         here.expected_wait - there.expected_wait > cost;
}

bool MoveBudget::TryTake(CoreMilliseconds here, CoreMilliseconds there,
                         CoreMilliseconds work) {
  if (2 * taken_.value() + work.value() > here.value() - there.value())
    return false;
  taken_ = CoreMilliseconds(taken_.value() + work.value());
  return true;
}

WaitEstimator::WaitEstimator(MilliCores free, MilliCores capacity,
                             std::vector<CpuRelease> releases)
    : free_(free), capacity_(capacity) {
  std::sort(releases.begin(), releases.end(),
            [](const CpuRelease& a, const CpuRelease& b) {
              return a.remaining < b.remaining;
            });
  profile_.reserve(releases.size());
  std::int64_t cpu = free.value();
  std::int64_t work = 0;
  for (const CpuRelease& release : releases) {
    cpu += release.cpu.value();
    work += WorkOf(release.cpu, release.remaining).value();
    profile_.push_back({release.remaining, MilliCores(cpu)});
  }
  running_work_ = CoreMilliseconds(work);
}

Duration WaitEstimator::WaitFor(MilliCores cpu,
                                CoreMilliseconds work_ahead) const {
  if (cpu <= free_) return Duration{0};
  const auto release =
      std::lower_bound(profile_.begin(), profile_.end(), cpu,
                       [](const FreeAfter& after, MilliCores needed) {
                         return after.cpu < needed;
                       });
  if (release != profile_.end()) return release->time;
  // More is needed than all runs hold: steps ahead have to end as well.
  if (capacity_ <= MilliCores(0)) return Duration::max();
  const CoreMilliseconds work(running_work_.value() + work_ahead.value());
  const Duration last_release =
      profile_.empty() ? Duration{0} : profile_.back().time;
  return std::max(last_release, TimeFor(work, capacity_));
}

void PromisedRoom::Expire(Time now) {
  std::erase_if(promises_,
                [&](const auto& entry) { return now >= entry.second.until; });
}

PromisedRoom::Sums PromisedRoom::SumsFor(int priority) const {
  std::int64_t cpu = 0;
  std::int64_t work = 0;
  for (const auto& [id, promise] : promises_) {
    if (promise.priority > priority) continue;
    cpu += promise.cpu.value();
    work += promise.work.value();
  }
  return {MilliCores(cpu), CoreMilliseconds(work)};
}

Time RackWaitEnd(Time ready_since, Duration declared_run_time, Time objective,
                 Duration remaining_critical_path) {
  return std::min(ready_since + declared_run_time,
                  objective - remaining_critical_path);
}

}  // namespace gypsumfall
