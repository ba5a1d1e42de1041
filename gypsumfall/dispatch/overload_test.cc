#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

namespace gypsumfall {
namespace {

constexpr Duration kObjective = seconds(2);
constexpr Duration kRunTime = seconds(1);

/// Two workers, each of which runs one job at a time: two jobs a second.
class OverloadedCluster {
 public:
  /// @param declared run time that the jobs declare; they run for `kRunTime`.
  explicit OverloadedCluster(Duration declared)
      : declared_(declared), cluster_(2) {
    cluster_.run_of = [](const TaskName&, int) {
      return std::pair{kRunTime, RunOutcome::kDone};
    };
  }

  void Submit(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "job" + std::to_string(submitted_.size());
      JobSpec spec;
      spec.steps.push_back({.need = {MilliCores(8000), MebiBytes(100), {}},
                            .declared_run_time = declared_});
      JobRecord record = cluster_.Record(id, spec);
      record.terms.objective = kObjective;
      cluster_.Submit(record);
      submitted_.emplace(id, cluster_.now());
    }
  }

  void Advance(Duration duration) {
    const Time end = cluster_.now() + duration;
    while (cluster_.now() < end) {
      cluster_.Advance(milliseconds(10));
      for (const auto& [id, time] : submitted_) {
        if (cluster_.StateOf(id) == JobState::kCompleted)
          latencies_.try_emplace(id, cluster_.now() - time);
      }
    }
  }

  /// @return the number of jobs that were completed within a time.
  int CompletedWithin(Duration time) const {
    int count = 0;
    for (const auto& [id, latency] : latencies_) {
      if (latency <= time) ++count;
    }
    return count;
  }
  int completed() const { return static_cast<int>(latencies_.size()); }

 private:
  Duration declared_;
  SimulatedCluster cluster_;
  std::map<std::string, Time> submitted_;
  std::map<std::string, Duration> latencies_;
};

// Guards against a backlog that makes newer jobs overdue as well. The pattern:
// a second burst arrives while jobs of the first one are left for which nobody
// waits any more. With the oldest late job first, those delayed four jobs of
// the second burst beyond the time that their callers wait.
TEST_CASE("overdue jobs run after jobs for which callers still wait") {
  OverloadedCluster cluster(kRunTime);
  cluster.Submit(20);
  cluster.Advance(seconds(8));
  cluster.Submit(20);
  cluster.Advance(seconds(20));
  CHECK(cluster.CompletedWithin(3 * kObjective) >= 20);
  // None of them is lost.
  CHECK(cluster.completed() == 40);
}

// Guards against jobs that are started when they can no longer be on time. The
// pattern: half as many jobs again as can be run, whose run times are declared
// as half of what they are. Each was started at the last moment at which its
// declared time would still have been enough, so that almost none was on time.
TEST_CASE("under overload jobs that can be on time are started first") {
  OverloadedCluster cluster(kRunTime / 2);
  for (int i = 0; i < 120; ++i) {
    cluster.Submit(1);
    cluster.Advance(milliseconds(330));
  }
  CHECK(cluster.CompletedWithin(kObjective) >= 40);
}

// Guards against an order that the dispatcher does not apply, or feeds with
// wrong figures: a small job that arrives behind a large one which no longer
// fits before its objective. By objective it would end last, after 22 s. Also
// guards against a successor for which the waits of unstarted jobs begin anew.
TEST_CASE("jobs can be ordered by what is lost while they wait") {
  SimulatedCluster cluster(1);
  cluster.order_by_loss = true;
  cluster.TakeOver();
  cluster.Advance(seconds(1));
  cluster.run_of = [](const TaskName&, int) {
    return std::pair{kRunTime, RunOutcome::kDone};
  };
  const auto submit = [&](const std::string& id, int tasks) {
    JobSpec spec;
    spec.steps.push_back({.task_count = tasks,
                          .need = {MilliCores(8000), MebiBytes(100), {}},
                          .declared_run_time = kRunTime});
    JobRecord record = cluster.Record(id, spec);
    record.terms.objective = kObjective;
    cluster.Submit(record);
    cluster.Advance(milliseconds(50));
  };
  submit("started", 1);
  submit("large", 20);
  submit("small", 1);
  cluster.Advance(milliseconds(500));
  const ShardStatus status = cluster.dispatcher().Status(cluster.now());
  CHECK(status.passed_over_steps > 0);
  CHECK(status.longest_passed_over_wait >= milliseconds(500));
  CHECK(status.overloaded_priorities == 1);
  cluster.TakeOver();
  cluster.Advance(milliseconds(100));
  CHECK(cluster.dispatcher().Status(cluster.now()).longest_passed_over_wait >=
        milliseconds(600));
  cluster.Advance(seconds(3));
  CHECK(cluster.StateOf("small") == JobState::kCompleted);
  CHECK(cluster.StateOf("large") != JobState::kCompleted);
  cluster.Advance(seconds(25));
  CHECK(cluster.StateOf("large") == JobState::kCompleted);
}

// Guards against work that is counted twice or left out, and against jobs that
// can never be completed and make the shard look busier each minute.
TEST_CASE("the load is the work of jobs that are not overdue") {
  SimulatedCluster cluster(2);
  JobSpec spec;
  spec.steps.push_back({.task_count = 3,
                        .need = {MilliCores(8000), MebiBytes(100), {}},
                        .declared_run_time = kRunTime});
  spec.steps.push_back(spec.steps.front());
  spec.steps.back().after = {0};
  cluster.Submit(cluster.Record("job", spec));
  spec.steps.front().required_label = WorkerLabel("none");
  cluster.Submit(cluster.Record("unplaceable", spec));
  cluster.Advance(kRunTime / 10);
  LoadSummary summary = cluster.dispatcher().Load({}, cluster.now());
  REQUIRE(summary.classes.size() == 1);
  const ClassLoad load = summary.classes.front();
  CHECK(load.queued == CpuTime(80'000));
  CHECK(load.running > CpuTime(14'000));
  CHECK(load.running < CpuTime(16'000));
  CHECK(load.rate == MilliCores(16'000));
  cluster.Advance(3 * kObjective);
  CHECK(cluster.dispatcher().Load({}, cluster.now()).classes.front().queued ==
        CpuTime(0));
}

}  // namespace
}  // namespace gypsumfall
