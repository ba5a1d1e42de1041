#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/overload/overload.h"

namespace gypsumfall {
namespace {

constexpr WorkClass kBestEffort{.priority = 2, .best_effort = true};
constexpr MilliCores kRate(200'000);
constexpr CpuTime kWork(40'000);
constexpr Duration kObjective = seconds(9);

JobDemand Demand(CpuTime work = kWork) {
  return {kBestEffort, work, seconds(4), kObjective};
}

JobId Job(int number) { return JobId("job" + std::to_string(number)); }

/// @return a load under which a job waits for `wait`.
ObservedLoad LoadWith(Duration wait, Duration age = Duration{0}) {
  const CpuTime queued(kRate.value() * (wait / milliseconds(1)) / 1000);
  return {.summary = {.made_at = {},
                      .classes = {{.work_class = kBestEffort,
                                   .queued = queued,
                                   .rate = kRate,
                                   .arrivals = kRate}}},
          .age = age};
}

/// A shard that does best-effort work at `kRate`, first come first served, and
/// four hosts. Callers make up to four retries.
class Simulation {
 public:
  explicit Simulation(bool admission) : admission_(admission) {}

  /// @param interval time between two new jobs.
  void Run(Duration time, Duration interval) {
    for (const Time end = now_ + time; now_ < end; now_ += milliseconds(20)) {
      for (; next_job_ <= now_; next_job_ += interval) {
        const int job = count_++;
        first_attempts_.push_back(now_);
        Submit(job, 0);
      }
      while (!retries_.empty() && retries_.begin()->first <= now_) {
        const auto [job, attempt] = retries_.begin()->second;
        retries_.erase(retries_.begin());
        Submit(job, attempt);
      }
      Work(kRate.value() / 50);
      if (now_ < next_summary_) continue;
      next_summary_ = now_ + seconds(1);
      std::int64_t ready = 0;
      for (const auto& [job, left] : queue_) ready += left;
      observed_ = {meter_.Summarize({{kBestEffort, {.ready = CpuTime(ready)}}},
                                    MilliCores(0), {}, now_),
                   Duration{0}};
      summary_made_ = now_;
    }
  }

  int refusals = 0;
  /// Jobs that have ended within three times their objective.
  int useful = 0;

 private:
  void Submit(int job, int attempt) {
    if (observed_) observed_->age = now_ - summary_made_;
    const AdmissionDecision decision =
        hosts_.at(static_cast<std::size_t>(job % 4))
            .Decide(Job(job), Demand(), observed_, now_);
    if (decision.accepted || !admission_) {
      meter_.OnAccepted(Job(job), Demand(), now_);
      queue_.emplace_back(job, kWork.value());
      return;
    }
    ++refusals;
    if (attempt < 4) {
      retries_.emplace(now_ + decision.retry_after,
                       std::pair(job, attempt + 1));
    }
  }

  void Work(std::int64_t work) {
    while (work > 0 && !queue_.empty()) {
      auto& [job, left] = queue_.front();
      const std::int64_t done = std::min(work, left);
      left -= done;
      work -= done;
      meter_.OnTasksDone(kBestEffort, CpuTime(done), now_);
      if (left > 0) return;
      const Time first = first_attempts_.at(static_cast<std::size_t>(job));
      meter_.OnEnded(Job(job), true, first, now_);
      if (now_ - first <= 3 * kObjective) ++useful;
      queue_.pop_front();
    }
  }

  bool admission_;
  Time now_{seconds(100)};
  Time next_job_ = now_;
  Time next_summary_ = now_;
  Time summary_made_{};
  int count_ = 0;
  std::vector<Time> first_attempts_;
  std::array<AdmissionController, 4> hosts_;
  std::multimap<Time, std::pair<int, int>> retries_;
  std::deque<std::pair<int, std::int64_t>> queue_;
  LoadMeter meter_;
  std::optional<ObservedLoad> observed_;
};

// Guards against a flash crowd whose backlog makes all later jobs too late, and
// against refusals at a load that the shard can serve.
TEST_CASE("after a flash crowd more jobs end in time than without refusals") {
  const auto run = [](bool admission) {
    Simulation simulation(admission);
    simulation.Run(seconds(30), milliseconds(250));
    if (admission) CHECK(simulation.refusals == 0);
    simulation.Run(seconds(10), milliseconds(30));
    simulation.Run(seconds(120), milliseconds(250));
    return simulation.useful;
  };
  const int without = run(false);
  const int with = run(true);
  CAPTURE(without, with);
  CHECK(with > without * 5 / 4);
}

// Guards against retries that come back together, and against jobs that lose
// their place to those that were refused later.
TEST_CASE("refused jobs return one after another and in order") {
  AdmissionController host;
  Time now{seconds(100)};
  for (int i = 0; i < 50; ++i, now += milliseconds(200))
    host.Decide(Job(i), Demand(), LoadWith(seconds(0)), now);
  std::vector<Time> returns;
  std::map<Time, int> by_second;
  for (int i = 100; i < 130; ++i, now += milliseconds(1)) {
    const AdmissionDecision decision =
        host.Decide(Job(i), Demand(), LoadWith(seconds(24)), now);
    REQUIRE_FALSE(decision.accepted);
    CHECK(decision.retry_after % seconds(1) == Duration{0});
    CHECK(decision.retry_after >= kMinRetryAfter);
    CHECK(decision.retry_after <= kMaxRetryAfter);
    returns.push_back(now + decision.retry_after);
    ++by_second[std::chrono::floor<seconds>(returns.back())];
  }
  CHECK(std::is_sorted(returns.begin(), returns.end()));
  // The shard has room for five such jobs a second.
  for (const auto& [second, count] : by_second) CHECK(count <= 7);
}

// Guards against jobs that are refused on the word of a leader that is gone.
TEST_CASE("a job is accepted without a fresh summary") {
  AdmissionController host;
  const Time now{seconds(100)};
  REQUIRE_FALSE(
      host.Decide(Job(1), Demand(), LoadWith(seconds(60)), now).accepted);
  // The leader was lost, or its summary is a minute old.
  for (const auto& observed :
       {std::optional<ObservedLoad>(),
        std::optional(LoadWith(seconds(60), seconds(60)))}) {
    const auto retry = host.Decide(Job(1), Demand(), observed, now);
    CHECK(retry.accepted);
    CHECK(retry.reason == AdmissionReason::kNoEstimate);
  }
}

// Guards against large jobs that are refused for ever while the estimate is
// wrong or small jobs keep the shard full.
TEST_CASE("no size is refused for longer than one bound") {
  AdmissionController host;
  std::map<std::int64_t, Time> last_accepted;
  Time now{seconds(100)};
  for (int i = 0; now < Time(seconds(160)); ++i, now += milliseconds(100)) {
    const CpuTime work(kWork.value() * (i % 10 == 0 ? 4 : 1));
    last_accepted.try_emplace(work.value(), now);
    if (!host.Decide(Job(i), Demand(work), LoadWith(seconds(60)), now).accepted)
      continue;
    CHECK(now - last_accepted[work.value()] <= kMaxRetryAfter + seconds(2));
    last_accepted[work.value()] = now;
  }
  for (const auto& [work, time] : last_accepted)
    CHECK(now - time < seconds(13));
}

// Guards against interactive jobs that are refused because of best-effort work,
// which never delays them, or because of their own short bursts.
TEST_CASE("jobs of the highest priority are not refused") {
  AdmissionController host;
  const Time now{seconds(100)};
  ObservedLoad observed = LoadWith(seconds(600));
  observed.summary.classes.push_back({.work_class = {.priority = 0},
                                      .queued = CpuTime(0),
                                      .rate = kRate,
                                      .arrivals = kRate});
  JobDemand demand = Demand();
  demand.work_class = {.priority = 0};
  const AdmissionDecision decision = host.Decide(Job(1), demand, observed, now);
  CHECK(decision.accepted);
  REQUIRE(decision.estimate);
  CHECK(decision.estimate->wait == Duration{0});
  observed.summary.classes.back().queued = CpuTime(kRate.value() * 600);
  CHECK(host.Decide(Job(2), demand, observed, now).accepted);
}

}  // namespace
}  // namespace gypsumfall
