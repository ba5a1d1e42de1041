// Compares the orders on a model of a queue: jobs of two steps of equal tasks,
// of which each task holds its processors for its run time.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <random>
#include <vector>

#include "gypsumfall/ranking/ranking.h"

namespace gypsumfall {
namespace {

constexpr double kCores = 400;
constexpr double kTick = 0.05;
constexpr int kSeeds = 24;
constexpr LossTerms kTerms;

struct Load {
  const char* name;
  /// Offered work relative to the capacity, before and after the crowd.
  double base = 0.8;
  /// Work offered during the crowd, and its end; it begins at 10 s.
  double crowd = 2.4;
  double crowd_end = 16;
  /// Number of tasks of the jobs of the crowd relative to the others.
  double crowd_size = 1;
  /// Share of the jobs that are cancelled, after at most 8 s.
  double cancelled = 0.05;
  double end = 40;
};

constexpr std::array<Load, 5> kLoads = {{
    {.name = "small jobs", .crowd_size = 0.4},
    {.name = "large jobs", .crowd_size = 2.5},
    {.name = "late jobs", .base = 1.0, .crowd = 2.0, .crowd_end = 30},
    {.name = "cancellations", .crowd_end = 20, .cancelled = 0.3},
    {.name = "calm", .base = 0.6, .crowd = 0.6},
}};

struct ModelJob {
  double arrival = 0, run_time = 0, declared = 0, cores = 0, cancel = 1e9;
  int tasks = 0;
  double work = 0, mean_work = 0, objective = 0;
  // State.
  int step = 0, waiting = 0, done = 0;
  double ready_since = 0, end = 1e9;
  bool moved_up = false;
};

struct Outcome {
  /// Share of the value of all jobs, of the largest tenth, and of the fifth
  /// below it, that was earned.
  double all = 0, largest = 0, large = 0;
};

Time At(double t) {
  return Time(Duration(static_cast<std::int64_t>(std::llround(t * 1e6))));
}
Duration Span(double t) { return At(t).time_since_epoch(); }

// std::normal_distribution differs between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double Uniform() { return static_cast<double>(engine_() >> 11U) * 0x1p-53; }
  /// @return a factor whose logarithm is about normally distributed.
  double Factor(double sigma) {
    double sum = -6;
    for (int i = 0; i < 12; ++i) sum += Uniform();
    return std::exp(sigma * sum);
  }

 private:
  std::mt19937_64 engine_;
};

std::vector<ModelJob> MakeJobs(const Load& load, std::uint64_t seed) {
  Random random(seed);
  std::vector<ModelJob> jobs;
  MeanWork mean;
  for (double t = 0; t < load.end;) {
    const bool in_crowd = t >= 10 && t < load.crowd_end;
    const double size = in_crowd ? load.crowd_size : 1;
    ModelJob job{.arrival = t, .run_time = 2 * random.Factor(0.3)};
    job.tasks = std::max(1, static_cast<int>(20 * size * random.Factor(0.6)));
    job.cores = 2 + 1.5 * random.Uniform();
    // Declared times are off by a factor of two and more for single jobs.
    job.declared = job.run_time * random.Factor(0.4);
    job.work = 2 * job.tasks * job.cores * job.declared;
    mean.Add(CoreSeconds(job.work));
    job.mean_work = mean.mean().value();
    job.objective = 2 * 2 * job.run_time + 1;
    if (random.Uniform() < load.cancelled)
      job.cancel = t + 8 * random.Uniform();
    job.waiting = job.tasks;
    job.ready_since = t;
    jobs.push_back(job);
    // Mean work of a job of size 1: 2 steps of 24 tasks of 2.1 s on 2.75 cores.
    const double rate = (in_crowd ? load.crowd : load.base) * kCores;
    t += -std::log(1 - random.Uniform()) * 277 * size / rate;
  }
  return jobs;
}

double RemainingWork(const ModelJob& job) {
  return ((2 - job.step) * job.tasks - job.done) * job.cores * job.declared;
}

/// Runs the jobs and sets their ends.
template <StepOrder Order>
void Run(std::vector<ModelJob>& jobs, Order order, Random random) {
  struct RunningTask {
    double end;
    std::size_t job;
  };
  std::vector<RunningTask> running;
  double free = kCores;
  const double last = jobs.back().arrival + 60;
  for (double now = 0; now < last; now += kTick) {
    std::erase_if(running, [&](const RunningTask& task) {
      ModelJob& job = jobs[task.job];
      if (task.end > now && job.cancel > now) return false;
      free += job.cores;
      if (++job.done < job.tasks || job.step == 2) return true;
      job.done = 0;
      job.waiting = ++job.step < 2 ? job.tasks : 0;
      job.ready_since = now;
      if (job.step == 2) job.end = now;
      return true;
    });
    std::vector<StepDemand> queue;
    std::vector<std::size_t> waiting;
    PriorityCapacity capacity{.priority = 2, .cores = Cores(kCores)};
    double committed = 0;
    for (std::size_t i = 0; i < jobs.size() && jobs[i].arrival <= now; ++i) {
      const ModelJob& job = jobs[i];
      if (job.step == 2 || job.cancel <= now) continue;
      if (job.waiting == 0) {
        committed += RemainingWork(job);
        continue;
      }
      waiting.push_back(i);
      queue.push_back(
          {.priority = 2,
           .objective = At(job.arrival + job.objective),
           .objective_length = Span(job.objective),
           .remaining_critical_path = Span((2 - job.step) * job.declared),
           .remaining_work = CoreSeconds(RemainingWork(job)),
           .job_work = CoreSeconds(job.work),
           .mean_work = CoreSeconds(job.mean_work),
           .ready_since = At(job.ready_since),
           .moved_up = job.moved_up});
    }
    capacity.committed = CoreSeconds(committed);
    const Ranking ranking = order.Rank(queue, {{capacity}}, At(now));
    for (const std::size_t p : ranking.moved_up)
      jobs[waiting[p]].moved_up = true;
    for (const std::size_t p : ranking.order) {
      ModelJob& job = jobs[waiting[p]];
      for (; job.waiting > 0 && job.cores <= free; --job.waiting) {
        free -= job.cores;
        running.push_back(
            {now + job.run_time * random.Factor(0.2), waiting[p]});
      }
    }
  }
}

double Earned(const ModelJob& job) {
  const double age = job.end - job.arrival;
  return age <= job.objective                    ? 1
         : age <= kOverdueFactor * job.objective ? kTerms.late_share
                                                 : 0;
}

template <StepOrder Order>
Outcome Measure(const Load& load, const Order& order) {
  std::array<double, 3> possible{}, earned{};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::vector<ModelJob> jobs = MakeJobs(load, seed);
    Run(jobs, order, Random(seed + 100));
    std::erase_if(jobs, [](const ModelJob& job) { return job.cancel < 1e9; });
    std::sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
      return a.work / a.mean_work > b.work / b.mean_work;
    });
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const double value =
          kTerms.fixed_value + kTerms.value_per_relative_work *
                                   std::min(jobs[i].work / jobs[i].mean_work,
                                            kTerms.max_relative_work);
      const auto add = [&](std::size_t c) {
        possible[c] += value;
        earned[c] += value * Earned(jobs[i]);
      };
      add(0);
      if (10 * i < jobs.size()) {
        add(1);
      } else if (10 * i < 3 * jobs.size()) {
        add(2);
      }
    }
  }
  return {earned[0] / possible[0], earned[1] / possible[1],
          earned[2] / possible[2]};
}

// Guards against an order that loses value against the one by objective, and
// against one that wins it from the largest jobs: those must not be served less
// than half as often as all.
TEST_CASE("LossOrder earns the most in a crowd and serves large jobs") {
  for (const Load& load : kLoads) {
    INFO(load.name);
    const Outcome objective = Measure(load, ObjectiveOrder());
    const Outcome loss = Measure(load, LossOrder(kTerms));
    // Few jobs with large values make sums of few seeds differ by percents.
    CHECK(loss.all >= 0.98 * objective.all);
    CHECK(loss.largest >= 0.5 * loss.all);
    CHECK(loss.large >= 0.5 * loss.all);
  }
}

// Guards against a large job that never starts because small ones arrive for
// ever, each of which is worth more for its work.
TEST_CASE("a large job behind an endless stream of small ones is served") {
  const Load load{
      .name = "endless", .base = 1.2, .crowd = 1.2, .cancelled = 0, .end = 90};
  const auto end_of_large_job = [&](auto order) {
    std::vector<ModelJob> jobs = MakeJobs(load, 1);
    ModelJob& large = jobs[10];
    large.tasks = large.waiting = 200;
    large.work = RemainingWork(large);
    Run(jobs, order, Random(2));
    return jobs[10].end;
  };
  CHECK(end_of_large_job(LossOrder(kTerms)) < 40);
  CHECK(end_of_large_job(ShortestWorkOrder()) > 90);
}

// Prints the table of docs/design/ranking.md.
TEST_CASE("table of the orders", "[.table]") {
  const auto print = [](const char* order, const Outcome& outcome) {
    std::cout << "  " << order << ": " << outcome.all << ", largest tenth "
              << outcome.largest << ", fifth below " << outcome.large << "\n";
  };
  for (const Load& load : kLoads) {
    std::cout << load.name << "\n";
    print("objective", Measure(load, ObjectiveOrder()));
    print("shortest work", Measure(load, ShortestWorkOrder()));
    print("value per work", Measure(load, ValuePerWorkOrder(kTerms)));
    print("loss", Measure(load, LossOrder(kTerms)));
  }
}

}  // namespace
}  // namespace gypsumfall
