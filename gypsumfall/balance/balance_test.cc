#include "gypsumfall/balance/balance.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <vector>

namespace gypsumfall {
namespace {

ShardOutlook Outlook(Duration wait, std::int64_t backlog) {
  return {.expected_wait = wait, .backlog = CoreMilliseconds(backlog)};
}

WaitingJob Waiting() { return {.waited = seconds(1)}; }

// Guards against moves that cost more than they gain.
TEST_CASE("a job moves for a gain above the cost and the margin") {
  const BalanceTerms terms;
  const Duration cost = terms.move_cost + terms.margin;
  const ShardOutlook idle;
  CHECK_FALSE(ShouldMove(Outlook(cost, 1000), idle, Waiting()));
  CHECK(ShouldMove(Outlook(cost + milliseconds(1), 1000), idle, Waiting()));
  CHECK_FALSE(ShouldMove(Outlook(cost + milliseconds(1), 1000),
                         Outlook(milliseconds(2), 0), Waiting()));
  WaitingJob data_here = Waiting();
  data_here.extra_run_time = seconds(1);
  CHECK_FALSE(ShouldMove(Outlook(cost + seconds(1), 1000), idle, data_here));
  CHECK(ShouldMove(Outlook(cost + seconds(2), 1000), idle, data_here));
  WaitingJob fresh = Waiting();
  fresh.waited = terms.min_wait - milliseconds(1);
  CHECK_FALSE(ShouldMove(Outlook(seconds(9), 1000), idle, fresh));
}

// Guards against jobs that are lost to the largest duration, which stands for
// an unknown wait.
TEST_CASE("an unknown wait there is no reason to move, one here is") {
  const Duration unknown = Duration::max();
  CHECK(ShouldMove(Outlook(unknown, 1000), {}, Waiting()));
  CHECK_FALSE(
      ShouldMove(Outlook(seconds(9), 1000), Outlook(unknown, 0), Waiting()));
  CHECK_FALSE(
      ShouldMove(Outlook(unknown, 1000), Outlook(unknown, 0), Waiting()));
}

// Guards against jobs that move to and fro.
TEST_CASE("a job that has run, or was moved for load, stays") {
  const ShardOutlook busy = Outlook(seconds(9), 1000);
  WaitingJob job = Waiting();
  REQUIRE(ShouldMove(busy, {}, job));
  CHECK_FALSE(ShouldMove(busy, busy, job));
  CHECK_FALSE(ShouldMove(busy, Outlook(Duration{0}, 1000), job));
  job.moved_for_load = true;
  CHECK_FALSE(ShouldMove(busy, {}, job));
  job.moved_for_load = false;
  job.has_run = true;
  CHECK_FALSE(ShouldMove(busy, {}, job));
}

// Guards against a round that turns the difference around, after which the
// other shard would offer its jobs.
TEST_CASE("half of the difference in backlog moves in a round") {
  MoveBudget budget;
  const CoreMilliseconds here(1000);
  const CoreMilliseconds there(200);
  int moved = 0;
  while (budget.TryTake(here, there, CoreMilliseconds(100))) ++moved;
  CHECK(moved == 4);
  MoveBudget single;
  CHECK(single.TryTake(here, CoreMilliseconds(0), here));
  CHECK_FALSE(single.TryTake(here, CoreMilliseconds(0), CoreMilliseconds(1)));
  MoveBudget none;
  CHECK_FALSE(none.TryTake(there, here, CoreMilliseconds(0)));
}

// Guards against estimates that ignore when runs end, or what waits ahead.
TEST_CASE("a wait is estimated from the ends of runs and the work ahead") {
  const WaitEstimator estimator(
      MilliCores(1000), MilliCores(9000),
      {{seconds(3), MilliCores(6000)}, {seconds(1), MilliCores(2000)}});
  const CoreMilliseconds none;
  CHECK(estimator.WaitFor(MilliCores(1000), none) == Duration{0});
  CHECK(estimator.WaitFor(MilliCores(3000), none) == seconds(1));
  CHECK(estimator.WaitFor(MilliCores(3001), none) == seconds(3));
  // The runs have 20 core-seconds left, 70 wait, and 9 cores do the work.
  CHECK(estimator.WaitFor(MilliCores(9001), CoreMilliseconds(70'000)) ==
        seconds(10));
  CHECK(estimator.WaitFor(MilliCores(9001), none) == seconds(3));
  const WaitEstimator without_workers(MilliCores(0), MilliCores(0), {});
  CHECK(without_workers.WaitFor(MilliCores(1), none) == Duration::max());
}

// Guards against room that is promised twice, or kept for a job whose move
// failed.
TEST_CASE("promised room counts until the job arrives or is given up") {
  PromisedRoom room;
  const Time start{};
  room.Add(JobId("a"), {.priority = 0,
                        .cpu = MilliCores(10),
                        .work = CoreMilliseconds(100),
                        .until = start + seconds(2)});
  room.Add(JobId("b"), {.priority = 2,
                        .cpu = MilliCores(5),
                        .work = CoreMilliseconds(50),
                        .until = start + seconds(3)});
  CHECK(room.SumsFor(0).cpu == MilliCores(10));
  CHECK(room.SumsFor(2).work == CoreMilliseconds(150));
  room.Expire(start + seconds(2));
  CHECK(room.SumsFor(2).cpu == MilliCores(5));
  room.Remove(JobId("b"));
  CHECK(room.SumsFor(2).cpu == MilliCores(0));
}

// Guards against jobs that end late because they wait for a contended rack.
TEST_CASE("a task waits for its rack no longer than its job can") {
  const Time ready{};
  const Duration run = seconds(2);
  CHECK(RackWaitEnd(ready, run, ready + seconds(9), run) == ready + run);
  CHECK(RackWaitEnd(ready, run, ready + seconds(3), run) == ready + seconds(1));
  CHECK(RackWaitEnd(ready, run, ready + seconds(1), run) < ready);
}

/// A job of the simulation below.
struct QueuedJob {
  int arrived = 0;
  /// Set once it has moved.
  int starts_from = 0;
};

/// A shard with room for 80 equal jobs, and its queue. Times are in steps of
/// 100 ms.
struct Pool {
  static constexpr int kRoom = 80;
  static constexpr int kRunTime = 20;
  static constexpr std::int64_t kMilliCoresPerJob = 500;
  static constexpr CoreMilliseconds kWorkPerJob{1000};

  bool HasRoom() const {
    return running.size() + queue.size() < static_cast<std::size_t>(kRoom);
  }
  CoreMilliseconds Backlog(std::size_t jobs) const {
    return CoreMilliseconds(static_cast<std::int64_t>(jobs) *
                            kWorkPerJob.value());
  }
  Duration WaitAt(std::size_t position, int now) const {
    std::vector<CpuRelease> releases;
    for (const int end : running) {
      releases.push_back(
          {milliseconds(100 * (end - now)), MilliCores(kMilliCoresPerJob)});
    }
    const auto cpu =
        static_cast<std::int64_t>(position + 1) * kMilliCoresPerJob;
    return WaitEstimator(MilliCores(0), MilliCores(kRoom * kMilliCoresPerJob),
                         releases)
        .WaitFor(MilliCores(cpu), Backlog(position));
  }

  double demand = 0;
  std::vector<QueuedJob> queue;
  std::vector<int> running;
};

struct WaveResult {
  int moved = 0;
  int started = 0;
  int total_wait = 0;
};

/// Moves jobs to the other pool as this library decides.
void Balance(Pool& here, Pool& there, int now, WaveResult& result) {
  constexpr int kMoveTime = 8;
  const CoreMilliseconds backlog = here.Backlog(here.queue.size());
  const CoreMilliseconds backlog_there = there.Backlog(there.queue.size());
  MoveBudget budget;
  std::size_t position = 0;
  std::erase_if(here.queue, [&](const QueuedJob& job) {
    const WaitingJob state{.waited = milliseconds(100 * (now - job.arrived)),
                           .moved_for_load = job.starts_from > 0};
    if (!there.HasRoom() ||
        !ShouldMove({here.WaitAt(position++, now), backlog},
                    {{}, backlog_there}, state) ||
        !budget.TryTake(backlog, backlog_there, Pool::kWorkPerJob)) {
      return false;
    }
    there.queue.push_back({job.arrived, now + kMoveTime});
    ++result.moved;
    return true;
  });
}

/// Plays demand that varies by 55 % in two pools, with opposite phases.
WaveResult PlayWaves(bool balances) {
  WaveResult result;
  std::vector<Pool> pools(2);
  for (int now = 0; now < 600; ++now) {
    const double wave = 0.55 * std::sin(2 * std::numbers::pi * now / 170);
    pools[0].demand += 3.7 * (1 + wave);
    pools[1].demand += 3.7 * (1 - wave);
    for (Pool& pool : pools) {
      std::erase_if(pool.running, [&](int end) { return end <= now; });
      for (; pool.demand >= 1; --pool.demand)
        pool.queue.push_back({.arrived = now});
      std::erase_if(pool.queue, [&](const QueuedJob& job) {
        if (pool.running.size() >= Pool::kRoom || job.starts_from > now)
          return false;
        pool.running.push_back(now + Pool::kRunTime);
        result.total_wait += now - job.arrived;
        ++result.started;
        return true;
      });
    }
    if (!balances || now % 5 != 0) continue;
    Balance(pools[0], pools[1], now, result);
    Balance(pools[1], pools[0], now, result);
  }
  return result;
}

// Guards against decisions that do not even out demand that shifts between the
// shards, and against load that is passed on without need.
TEST_CASE("waves out of phase wait less if jobs move") {
  const WaveResult apart = PlayWaves(false);
  const WaveResult balanced = PlayWaves(true);
  WARN("waits of " << apart.started << " jobs in 100 ms: " << apart.total_wait
                   << " apart, " << balanced.total_wait << " with "
                   << balanced.moved << " moves");
  CHECK(balanced.moved > 0);
  CHECK(balanced.moved < balanced.started / 4);
  CHECK(balanced.started >= apart.started);
  CHECK(10 * balanced.total_wait < 9 * apart.total_wait);
}

}  // namespace
}  // namespace gypsumfall
