#include <algorithm>
#include <cmath>
#include <utility>

#include "gypsumfall/overload/overload.h"

namespace gypsumfall {
namespace {

// Time constant of rates. Longer than the tasks of bursts, whose completions
// come in groups, and about as long as a burst.
constexpr double kRateWindowMilliseconds = 5000;
// Shortest part of the window over which a rate is averaged.
constexpr double kMinRateWindowMilliseconds = 1000;
// Tasks have to wait for this time before the rate of best-effort work counts
// as the rate that is possible. Before, the completions show the demand.
constexpr Duration kMinBackloggedTime = seconds(3);
// Time after which the measured rate is forgotten, because the serving tasks
// that leave the processors to best-effort work have changed their load.
constexpr Duration kRateRetention = seconds(60);
// Best-effort tasks are placed in rounds, so some always wait for a moment. A
// class is backlogged if this time of its work waits.
constexpr double kBacklogMilliseconds = 1000;
// Factor by which the measured rate falls in each summary if less is done, so
// that a pause in the completions does not refuse jobs.
constexpr double kRateDecay = 0.95;
// Part of a deviation that one run or one job corrects.
constexpr double kRunTimeLearningRate = 0.02;
constexpr double kWaitLearningRate = 0.05;
// Bounds of the ratios that one run or one job reports.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 8;
// Shorter estimated waits are not compared with the actual ones, because these
// consist mostly of deviations of the run times.
constexpr Duration kMinComparedWait = seconds(1);
// Bound of the memory for forecasts; further jobs are not compared.
constexpr std::size_t kMaxForecasts = 20'000;

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

int PercentOf(double ratio) {
  return static_cast<int>(std::lround(100 * ratio));
}

}  // namespace

double WorkRate::SumAt(Time now) const {
  return sum_ * std::exp(-Milliseconds(std::max(now - updated_, Duration{0})) /
                         kRateWindowMilliseconds);
}

void WorkRate::Add(CpuTime work, Time now) {
  if (!started_) started_ = now;
  sum_ = SumAt(now) + static_cast<double>(work.value());
  updated_ = now;
}

MilliCores WorkRate::At(Time now) const {
  if (!started_) return MilliCores(0);
  const double elapsed =
      std::max(Milliseconds(now - *started_), kMinRateWindowMilliseconds);
  const double window = kRateWindowMilliseconds *
                        (1 - std::exp(-elapsed / kRateWindowMilliseconds));
  return MilliCores(std::llround(1000 * SumAt(now) / window));
}

void LoadMeter::OnAccepted(const JobId& job, const JobDemand& demand,
                           Time now) {
  classes_[demand.work_class].arrivals.Add(demand.work, now);
  if (!latest_ || forecasts_.size() >= kMaxForecasts) return;
  const auto estimate = EstimateCompletion(*latest_, now - latest_at_, demand);
  if (!estimate) return;
  const int correction = latest_->Find(demand.work_class)->wait_percent;
  const Duration wait = estimate->wait * 100 / correction;
  if (wait < kMinComparedWait) return;
  forecasts_.try_emplace(
      job, Forecast{.work_class = demand.work_class,
                    .wait = wait,
                    .run = estimate->completion - estimate->wait});
}

void LoadMeter::OnTasksDone(const WorkClass& work_class, CpuTime work,
                            Time now) {
  classes_[work_class].done.Add(work, now);
}

void LoadMeter::OnRunTime(const WorkClass& work_class, double ratio) {
  double& learned = classes_[work_class].run_time_ratio;
  learned += kRunTimeLearningRate *
             (std::clamp(ratio, kMinRatio, kMaxRatio) - learned);
}

void LoadMeter::OnEnded(const JobId& job, bool completed, Time submitted,
                        Time now) {
  const auto found = forecasts_.find(job);
  if (found == forecasts_.end()) return;
  const Forecast forecast = found->second;
  forecasts_.erase(found);
  if (!completed) return;
  const Duration wait = now - submitted - forecast.run;
  const double ratio = std::clamp(
      Milliseconds(wait) / Milliseconds(forecast.wait), kMinRatio, kMaxRatio);
  double& learned = classes_[forecast.work_class].wait_ratio;
  learned = std::clamp(learned + kWaitLearningRate * (ratio - learned),
                       kMinWaitPercent / 100.0, kMaxWaitPercent / 100.0);
}

void LoadMeter::UpdateBackloggedRate(ClassState& state,
                                     const ClassBacklog& backlog, Time now) {
  const auto done = static_cast<double>(state.done.At(now).value());
  const auto ready = static_cast<double>(backlog.ready.value());
  if (ready > 0 && ready >= done / 1000 * kBacklogMilliseconds) {
    if (!state.backlogged_since) state.backlogged_since = now;
    if (now - *state.backlogged_since < kMinBackloggedTime) return;
    state.last_backlogged = now;
    state.backlogged_rate = std::max(done, kRateDecay * state.backlogged_rate);
    return;
  }
  state.backlogged_since.reset();
  if (state.backlogged_rate == 0) return;
  state.backlogged_rate = now - state.last_backlogged > kRateRetention
                              ? 0
                              : std::max(done, state.backlogged_rate);
}

LoadSummary LoadMeter::Summarize(
    const std::map<WorkClass, ClassBacklog>& backlogs, MilliCores cores,
    StoreTime made_at, Time now) {
  for (const auto& [work_class, backlog] : backlogs)
    classes_.try_emplace(work_class);
  LoadSummary summary{.made_at = made_at, .classes = {}};
  for (auto& [work_class, state] : classes_) {
    const auto found = backlogs.find(work_class);
    const ClassBacklog backlog =
        found == backlogs.end() ? ClassBacklog{} : found->second;
    if (work_class.best_effort) UpdateBackloggedRate(state, backlog, now);
    const double rate =
        work_class.best_effort
            ? state.backlogged_rate
            : static_cast<double>(cores.value()) / state.run_time_ratio;
    if (summary.classes.size() == kMaxClasses) continue;
    summary.classes.push_back(
        {.work_class = work_class,
         .queued = CpuTime(backlog.ready.value() + backlog.blocked.value()),
         .running = backlog.running,
         .rate = MilliCores(std::llround(rate)),
         .arrivals = state.arrivals.At(now),
         .run_time_percent = PercentOf(state.run_time_ratio),
         .wait_percent = PercentOf(state.wait_ratio)});
  }
  latest_ = summary;
  latest_at_ = now;
  return summary;
}

}  // namespace gypsumfall
