// Tests moves of jobs between shards.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/internal/interleaving.h"

namespace gypsumfall {
namespace {

constexpr std::int64_t kMilliCoresPerCore = 1000;

Resources Cores(int count) {
  return {MilliCores(kMilliCoresPerCore * count), MebiBytes(32000),
          Accelerators(0)};
}

StepSpec StepOf(int tasks, int cores) {
  return {.task_count = tasks,
          .need = {MilliCores(kMilliCoresPerCore * cores), MebiBytes(100),
                   Accelerators(0)},
          .declared_run_time = milliseconds(400)};
}

StepSpec LabelledStep(int tasks, int cores, const std::string& label) {
  StepSpec step = StepOf(tasks, cores);
  step.required_label = WorkerLabel(label);
  return step;
}

JobSpec SpecOf(std::vector<StepSpec> steps) {
  JobSpec spec;
  spec.steps = std::move(steps);
  return spec;
}

/// @return the id of the job that the tests are about.
JobId TestedJob() { return JobId("job"); }

TaskName TaskAt(int step, int index = 0) {
  return {TestedJob(), 0, step, index};
}

/// Shards of which the first one is the home of the job.
class Shards : public SimulatedShards {
 public:
  explicit Shards(int count = 2, bool balances_jobs = false)
      : SimulatedShards(count, balances_jobs) {}

  void SubmitJob(const JobSpec& spec, int max_attempts = 2) {
    SubmitWhole(0, TestedJob().str(), spec, max_attempts);
  }
  JobState State() { return StateOf(TestedJob()).state; }

  /// Checks that the job is completed, that its tasks started once, and that no
  /// row of a move is left.
  void CheckCompletedOnce(const JobSpec& spec) {
    CHECK(State() == JobState::kCompleted);
    CHECK(shard(0).HasStoredEnd(TestedJob()));
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
      for (int i = 0; i < spec.steps[s].task_count; ++i)
        CHECK(StartsOf(TaskAt(static_cast<int>(s), i)) == 1);
    }
    CheckNoMoveIsLeft();
  }

  void CheckNoMoveIsLeft() {
    CHECK(StoredMoves().empty());
    for (int i = 0; i < shard_count(); ++i) {
      CHECK_FALSE(shard(i).stored_progress.contains(TestedJob()));
      for (const auto& [row, chunk] : shard(i).stored_chunks)
        CHECK(row.job != TestedJob());
    }
    CHECK(Violations().empty());
  }
};

// Guards against a log that does not tell a shard without any worker that could
// run a step from one whose workers are busy.
TEST_CASE("the reason for a wait tells whether a worker could run the step") {
  SimulatedCluster cluster(2, Cores(8));
  cluster.run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(100)), RunOutcome::kDone};
  };
  for (const char* id : {"first", "second"})
    cluster.Submit(cluster.Record(id, SpecOf({LabelledStep(1, 8, "rack0")})));
  cluster.Advance(milliseconds(100));
  for (const char* label : {"rack0", "b"}) {
    cluster.dispatcher().TakeEvents();
    cluster.Submit(cluster.Record(label, SpecOf({LabelledStep(1, 2, label)})));
    cluster.Advance(seconds(3));
    std::vector<std::string> reasons;
    for (const DispatchEvent& event : cluster.dispatcher().TakeEvents()) {
      if (event.task.job == JobId(label) && event.message == "step waiting")
        reasons.push_back(event.reason);
    }
    REQUIRE(reasons.size() == 1);
    CHECK(reasons[0].starts_with(
        label == std::string("b")
            ? "no worker of the shard could run it"
            : "no eligible worker has enough free resources"));
  }
}

// Guards against an accepted job that waits for ever in a shard no worker of
// which has what it requires, beside one whose workers have it (review/9).
TEST_CASE("a job that no worker of its shard can run runs in another shard") {
  Shards shards;
  shards.shard(0).AddWorker(0, Cores(8));
  shards.shard(1).AddWorker(2, Cores(8));
  JobSpec spec;
  SECTION("for want of the label") {
    shards.shard(1).AddWorker(3, Cores(8), "b");
    spec = SpecOf({LabelledStep(2, 2, "b")});
  }
  SECTION("for want of the label, for a best-effort step") {
    shards.shard(1).AddWorker(3, Cores(8), "b");
    spec = SpecOf({LabelledStep(2, 2, "b")});
    spec.steps[0].best_effort = true;
  }
  SECTION("since it is too large for each worker") {
    shards.shard(1).AddWorker(3, Cores(20));
    spec = SpecOf({StepOf(1, 12)});
  }
  SECTION("since its gang is too large for all workers") {
    shards.shard(1).AddWorker(3, Cores(8));
    spec = SpecOf({StepOf(6, 2)});
    spec.steps[0].gang = true;
  }
  SECTION("since a worker may hold one task of its gang") {
    shards.shard(1).AddWorker(3, Cores(8));
    spec = SpecOf({StepOf(2, 1)});
    spec.steps[0].gang = true;
    spec.steps[0].max_per_worker = 1;
  }
  SECTION("for want of the label in a rack") {
    shards.shard(1).AddWorker(3, Cores(8), "b");
    spec = SpecOf({LabelledStep(2, 2, "b")});
    spec.steps[0].same_rack = true;
    spec.steps[0].data_rack = RackId("rack0");
  }
  shards.Advance(milliseconds(100));
  shards.SubmitJob(spec);
  shards.Advance(seconds(4));
  shards.CheckCompletedOnce(spec);
}

// Guards against a job that fails although it could be done, because all
// workers of its shard that could run it fail what they start.
TEST_CASE("a job leaves a shard whose workers fail their runs") {
  Shards shards;
  shards.shard(0).AddWorker(0, Cores(8), "b");
  shards.shard(0).AddWorker(1, Cores(8));
  shards.shard(1).AddWorker(2, Cores(8), "b");
  shards.Advance(milliseconds(100));
  shards.shard(0).worker(0).fails_all_runs = true;
  shards.SubmitWhole(0, "first", SpecOf({LabelledStep(4, 1, "b")}), 100);
  shards.Advance(milliseconds(400));
  JobSpec spec = SpecOf({LabelledStep(2, 1, "b")});
  spec.steps[0].gang = GENERATE(false, true);
  shards.SubmitJob(spec, 1);
  shards.Advance(seconds(5));
  CHECK(shards.shard(0).starts[TaskAt(0)] == 0);
  shards.CheckCompletedOnce(spec);
  CHECK(shards.StateOf(JobId("first")).state == JobState::kCompleted);
}

// Guards against a wait for another shard that does not come.
TEST_CASE("a job starts on workers that fail runs if no shard has others") {
  Shards shards;
  shards.shard(0).AddWorker(0, Cores(8), "b");
  shards.shard(1).AddWorker(2, Cores(8));
  shards.Advance(milliseconds(100));
  shards.shard(0).worker(0).fails_all_runs = true;
  shards.SubmitWhole(0, "first", SpecOf({LabelledStep(4, 1, "b")}), 100);
  shards.Advance(milliseconds(400));
  shards.SubmitJob(SpecOf({LabelledStep(1, 1, "b")}), 1);
  shards.Advance(seconds(3));
  CHECK(shards.shard(0).starts[TaskAt(0)] == 1);
  CHECK(shards.move_count() == 0);
}

// Guards against the same for jobs that were accepted, or had begun, before the
// shard lost its only worker with the label.
TEST_CASE("a job moves when its shard loses the workers it requires") {
  Shards shards;
  shards.shard(0).AddWorker(0, Cores(8), "b");
  shards.shard(0).AddWorker(1, Cores(8));
  shards.shard(1).AddWorker(2, Cores(8), "b");
  shards.Advance(milliseconds(100));
  JobSpec spec = SpecOf({StepOf(2, 1), LabelledStep(2, 1, "b")});
  spec.steps[1].after = {0};
  bool lasts = false;
  SECTION("before the step is ready") {}
  SECTION("for a step that runs until its job is cancelled") {
    spec.steps[1].long_running = lasts = true;
    for (int i = 0; i < 2; ++i) {
      shards.shard(i).run_of = [](const TaskName& task, int) {
        return std::pair{task.step == 1 ? Duration(seconds(1000))
                                        : Duration(milliseconds(300)),
                         RunOutcome::kDone};
      };
    }
  }
  shards.SubmitJob(spec);
  shards.Advance(milliseconds(200));
  shards.shard(0).Crash(0);
  shards.shard(0).dispatcher().OnWorkerUnlisted(WorkerId("w0"), shards.now());
  // The lease of the worker expires within 6.3 s.
  shards.Advance(seconds(11));
  if (!lasts) {
    CHECK(shards.State() == JobState::kCompleted);
    CHECK(shards.StartsOf(TaskAt(0, 1)) + shards.StartsOf(TaskAt(0, 0)) <= 4);
    shards.CheckNoMoveIsLeft();
    return;
  }
  CHECK(shards.shard(1).RunningNow(TaskAt(1, 0)) == 1);
  CHECK(shards.shard(1).RunningNow(TaskAt(1, 1)) == 1);
  CHECK(shards.State() == JobState::kRunning);
  CHECK(shards.CancelWhole(TestedJob()));
  shards.Advance(seconds(1));
  CHECK(shards.State() == JobState::kCancelled);
  CHECK(shards.RunningNow(TaskAt(1, 0)) + shards.RunningNow(TaskAt(1, 1)) == 0);
  shards.CheckNoMoveIsLeft();
}

// Guards against tasks that are done and run again, or never run, when the
// steps of a job require workers of different shards.
TEST_CASE("the progress of a job moves with it") {
  Shards shards(3);
  for (int i = 0; i < 3; ++i)
    shards.shard(i).AddWorker(i, Cores(4), "only" + std::to_string(i));
  shards.Advance(milliseconds(100));
  JobSpec spec =
      SpecOf({StepOf(3, 1), LabelledStep(2, 1, "only1"),
              LabelledStep(2, 1, "only2"), LabelledStep(1, 1, "only0")});
  for (int s = 1; s < 4; ++s)
    spec.steps[static_cast<std::size_t>(s)].after = {s - 1};
  const bool repeated = GENERATE(false, true);
  if (repeated) {
    spec.repetitions = 2;
    spec.first_due = shards.shard(0).WallNow();
    spec.interval = WallTime(7000);
  }
  const int replaced = GENERATE(-1, 0, 1, 2);
  shards.SubmitJob(spec);
  for (int i = 0; i < 60; ++i) {
    if (replaced >= 0 && i % 25 == 24) shards.TakeOver(replaced);
    shards.Advance(milliseconds(500));
  }
  shards.CheckCompletedOnce(spec);
  if (repeated) {
    for (int s = 0; s < 4; ++s)
      CHECK(shards.StartsOf({TestedJob(), 1, s, 0}) == 1);
  }
}

// Guards against more attempts than a queue allows, and against a failed job
// that is shown as running, because the failures stay in another shard.
TEST_CASE("failed attempts of a job are counted across moves") {
  Shards shards;
  shards.shard(0).AddWorker(0, Cores(4), "b");
  shards.shard(0).AddWorker(1, Cores(4));
  shards.shard(1).AddWorker(2, Cores(4), "b");
  shards.Advance(milliseconds(100));
  for (int i = 0; i < 2; ++i) {
    shards.shard(i).run_of = [](const TaskName&, int) {
      return std::pair{Duration(milliseconds(300)), RunOutcome::kFailed};
    };
  }
  shards.SubmitJob(SpecOf({LabelledStep(1, 1, "b")}), 3);
  shards.Advance(milliseconds(400));
  REQUIRE(shards.StartsOf(TaskAt(0)) >= 1);
  shards.shard(0).Crash(0);
  shards.Advance(seconds(12));
  // The crash may have hidden the end of one run.
  CHECK(shards.StartsOf(TaskAt(0)) <= 4);
  CHECK(shards.shard(1).starts[TaskAt(0)] >= 1);
  CHECK(shards.State() == JobState::kFailed);
  shards.CheckNoMoveIsLeft();
}

// Guards against jobs that no shard can run and that are moved to and fro, are
// shown as ended, or keep others from being offered.
TEST_CASE("a job that no shard can run stays until one can") {
  Shards shards;
  for (int i = 0; i < 2; ++i) shards.shard(i).AddWorker(i, Cores(8));
  shards.Advance(milliseconds(100));
  const int others = 200;
  for (int i = 0; i < others; ++i)
    shards.SubmitWhole(0, "a" + std::to_string(i), SpecOf({StepOf(1, 9)}));
  const JobSpec spec = SpecOf({LabelledStep(1, 1, "b")});
  shards.SubmitJob(spec);
  shards.Advance(seconds(6));
  CHECK(shards.move_count() == 0);
  CHECK(shards.State() == JobState::kQueued);
  CHECK(shards.shard(0).dispatcher().CountWaiting(QueueId("q")) == others + 1);
  shards.shard(1).AddWorker(5, Cores(8), "b");
  shards.Advance(seconds(6));
  shards.CheckCompletedOnce(spec);
  CHECK(shards.shard(0).dispatcher().CountWaiting(QueueId("q")) == others);
}

// Guards against load that moves between shards because one of them is full for
// a while.
TEST_CASE("a job that waits for the end of other work stays in its shard") {
  Shards shards;
  for (int i = 0; i < 2; ++i) shards.shard(i).AddWorker(i, Cores(4));
  shards.Advance(milliseconds(100));
  shards.shard(0).run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(5)), RunOutcome::kDone};
  };
  shards.SubmitWhole(0, "first", SpecOf({StepOf(1, 4)}));
  shards.Advance(milliseconds(100));
  const JobSpec spec = SpecOf({StepOf(1, 4)});
  shards.SubmitJob(spec);
  shards.Advance(seconds(11));
  CHECK(shards.move_count() == 0);
  shards.CheckCompletedOnce(spec);
}

/// A job whose only step runs in shard 1, and a leader that is replaced.
struct MovedJobShards : Shards {
  MovedJobShards() {
    shard(0).AddWorker(0, Cores(8));
    shard(1).AddWorker(2, Cores(8), "b");
    Advance(milliseconds(100));
    SubmitJob(spec);
  }

  /// Gives the job to shard 1. The move is not stored yet.
  void GiveJob() {
    offers_jobs = false;
    Advance(milliseconds(1500));
    const Epoch epoch = shard(1).dispatcher().epoch();
    REQUIRE(
        shard(0).dispatcher().MoveJob(TestedJob(), ShardId(1), epoch, now()));
  }

  JobSpec spec = SpecOf({LabelledStep(2, 1, "b")});
};

// Guards against a job that both shards run, or neither, because its move was
// lost with the leader.
TEST_CASE("a move that was not stored leaves the job in its shard") {
  MovedJobShards shards;
  shards.GiveJob();
  shards.shard(0).store_available = false;
  shards.shard(0).AddWorker(5, Cores(8), "b");
  shards.Advance(milliseconds(500));
  CHECK(shards.StartsOf(TaskAt(0)) == 0);
  CHECK(shards.shard(0).dispatcher().IsMoving(TestedJob()));
  CHECK_FALSE(shards.CancelWhole(TestedJob()));
  shards.TakeOver(0);
  shards.shard(0).store_available = true;
  shards.Advance(seconds(8));
  CHECK(shards.shard(0).starts[TaskAt(0)] == 1);
  CHECK(shards.move_count() == 0);
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against a successor that runs a job which its predecessor gave away,
// or that answers that there is no such job.
TEST_CASE("a successor knows that a job was given away") {
  MovedJobShards shards;
  shards.SetReadsChanges(1, false);
  shards.GiveJob();
  shards.shard(0).StoreRecords();
  shards.TakeOver(0);
  shards.shard(0).AddWorker(5, Cores(8), "b");
  shards.Advance(seconds(8));
  CHECK(shards.StartsOf(TaskAt(0)) == 0);
  CHECK(shards.StateOf(TestedJob()).known);
  // The job is still in the table that the leader reads for unreported jobs.
  shards.shard(0).dispatcher().Submit(
      shards.shard(0).Record(TestedJob().str(), shards.spec), shards.now(),
      shards.shard(0).WallNow());
  shards.Advance(seconds(1));
  CHECK(shards.StartsOf(TaskAt(0)) == 0);
  SECTION("read by the other leader") { shards.SetReadsChanges(1, true); }
  SECTION("read by a successor of the other leader") {
    shards.TakeOver(1);
    shards.SetReadsChanges(1, true);
  }
  shards.Advance(seconds(8));
  CHECK(shards.shard(0).starts[TaskAt(0)] == 0);
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against a job that runs again, or whose end is lost, because the
// leader that stores its end is replaced.
TEST_CASE("the end of a moved job is stored once by its home shard") {
  MovedJobShards shards;
  shards.SetReadsChanges(0, false);
  shards.Advance(seconds(4));
  REQUIRE(shards.StartsOf(TaskAt(0)) == 1);
  // Only the shard that ran the job knows of the end.
  CHECK_FALSE(shards.shard(0).HasStoredEnd(TestedJob()));
  CHECK(shards.State() == JobState::kCompleted);
  SECTION("after a takeover there") { shards.TakeOver(1); }
  SECTION("after a takeover at home") { shards.TakeOver(0); }
  SECTION("after takeovers of both") {
    shards.TakeOver(1);
    shards.TakeOver(0);
    shards.TakeOver(1);
  }
  SECTION("while the home shard cannot store it") {
    shards.shard(0).store_available = false;
    shards.SetReadsChanges(0, true);
    shards.Advance(seconds(1));
    CHECK_FALSE(shards.shard(0).HasStoredEnd(TestedJob()));
    shards.TakeOver(0);
    shards.shard(0).store_available = true;
  }
  shards.SetReadsChanges(0, true);
  shards.Advance(seconds(8));
  shards.CheckCompletedOnce(shards.spec);
  for (const int index : {0, 1, 0}) shards.TakeOver(index);
  shards.Advance(seconds(8));
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against a job whose end is ignored, or a row that stays for ever,
// because another shard has read a row and gone on before its storage was
// answered.
TEST_CASE("a move may be read before its storage is answered") {
  MovedJobShards shards;
  const int slow = GENERATE(0, 1);
  shards.shard(slow).record_answer_delay = [] { return Duration(seconds(1)); };
  shards.Advance(seconds(8));
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against a move that is read late or again and starts a job that has
// ended or has moved on.
TEST_CASE("a move that is read again changes nothing") {
  MovedJobShards shards;
  shards.Advance(seconds(4));
  shards.CheckCompletedOnce(shards.spec);
  for (std::size_t i = 0; i < shards.change_count(); ++i) {
    for (int index = 0; index < 2; ++index) shards.ReadAgain(index, i);
  }
  shards.Advance(seconds(4));
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against a row that the store never takes and that keeps the job, or
// other rows, from being stored.
TEST_CASE("a job whose move is rejected by the store stays in its shard") {
  MovedJobShards shards;
  shards.shard(0).rejects = [](const RecordBatch& batch) {
    return !batch.moves.empty();
  };
  shards.Advance(seconds(4));
  CHECK(shards.StartsOf(TaskAt(0)) == 0);
  CHECK(shards.State() == JobState::kQueued);
  shards.shard(0).AddWorker(5, Cores(8), "b");
  shards.Advance(seconds(2));
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against progress that does not fit in a row.
TEST_CASE("a job with more state than a row holds is not moved") {
  Shards shards;
  shards.shard(0).AddWorker(0, Cores(8));
  shards.shard(1).AddWorker(2, Cores(8), "b");
  shards.Advance(milliseconds(100));
  std::vector<StepSpec> steps(64, LabelledStep(1, 1, std::string(1000, 'b')));
  shards.SubmitJob(SpecOf(steps));
  shards.offers_jobs = false;
  shards.Advance(seconds(2));
  Dispatcher& giver = shards.shard(0).dispatcher();
  CHECK_FALSE(giver.MoveJob(TestedJob(), ShardId(1), Epoch(1), shards.now()));
  CHECK_FALSE(giver.IsMoving(TestedJob()));
  CHECK(giver.JobsToMove(ShardId(1), shards.now(), 10).empty());
  CHECK(shards.State() == JobState::kQueued);
}

StepSpec LongStep(int cores, Duration run_time) {
  StepSpec step = StepOf(1, cores);
  step.declared_run_time = run_time;
  return step;
}

/// Bursts of jobs that come to two shards in turn.
struct Waves : Shards {
  explicit Waves(bool balances_jobs) : Shards(2, balances_jobs) {
    for (int i = 0; i < 2; ++i) {
      for (int k = 0; k < 2; ++k) shard(i).AddWorker(k, Cores(8));
      shard(i).run_of = [](const TaskName&, int) {
        return std::pair{Duration(seconds(1)), RunOutcome::kDone};
      };
    }
    Advance(milliseconds(100));
    for (int burst = 0; burst < 4; ++burst) {
      for (int i = 0; i < kBurstSize; ++i) {
        ids.push_back("burst" + std::to_string(burst) + "-" +
                      std::to_string(i));
        SubmitWhole(burst % 2, ids.back(), SpecOf({LongStep(4, seconds(1))}));
      }
      AdvanceAndCount(seconds(5));
    }
    AdvanceAndCount(seconds(15));
  }

  void AdvanceAndCount(Duration duration) {
    constexpr Duration kInterval = milliseconds(50);
    for (const Time end = now() + duration; now() < end;) {
      Advance(kInterval);
      for (const std::string& id : ids) {
        if (!IsFinal(StateOf(JobId(id)).state)) total_time += kInterval;
      }
    }
  }

  static constexpr int kBurstSize = 24;
  std::vector<std::string> ids;
  /// Sum of the times from the submission to the end of the jobs.
  Duration total_time{0};
};

// Guards against a shard that is full for seconds beside one that is idle, and
// against jobs that are moved to and fro, or run twice, on the way.
TEST_CASE("demand out of phase is served sooner if jobs are balanced") {
  Waves apart(false);
  Waves balanced(true);
  WARN("total time " << apart.total_time / milliseconds(1) << " ms apart, "
                     << balanced.total_time / milliseconds(1) << " ms with "
                     << balanced.load_moves().size() << " moves");
  CHECK(apart.move_count() == 0);
  CHECK_FALSE(balanced.load_moves().empty());
  CHECK(10 * balanced.total_time < 9 * apart.total_time);
  for (const auto& [id, count] : balanced.load_moves()) CHECK(count == 1);
  for (const std::string& id : balanced.ids) {
    CHECK(balanced.StateOf(JobId(id)).state == JobState::kCompleted);
    CHECK(balanced.StartsOf({JobId(id), 0, 0, 0}) == 1);
  }
  balanced.CheckNoMoveIsLeft();
}

/// A job that waits in shard 0 for the end of another one, beside a free shard.
struct LoadedShards : Shards {
  explicit LoadedShards(bool balances_jobs = true) : Shards(2, balances_jobs) {
    for (int i = 0; i < 2; ++i) shard(i).AddWorker(i, Cores(4));
    shard(0).run_of = [](const TaskName& task, int) {
      const Duration run_time =
          task.job == TestedJob() ? milliseconds(400) : seconds(5);
      return std::pair{run_time, RunOutcome::kDone};
    };
    Advance(milliseconds(100));
    SubmitWhole(0, "first", SpecOf({LongStep(4, seconds(5))}));
    Advance(milliseconds(100));
    offers_jobs = false;
    SubmitJob(spec);
    Advance(milliseconds(500));
  }

  std::vector<LoadOffer> Offers() {
    return shard(0).dispatcher().JobsToMoveForLoad(now(), 10);
  }
  std::vector<JobId> Choose(const std::vector<LoadOffer>& offers) {
    return shard(1).dispatcher().ChooseForLoad(offers, now());
  }

  JobSpec spec = SpecOf({StepOf(1, 4)});
};

// Guards against decisions that change although the operator has not asked.
TEST_CASE("no job is offered or taken for load unless that is configured") {
  LoadedShards balancing;
  const std::vector<LoadOffer> offers = balancing.Offers();
  REQUIRE(offers.size() == 1);
  CHECK(offers[0].offer.job == TestedJob());
  CHECK(offers[0].expected_wait > seconds(4));
  // Offered again after a pause only.
  CHECK(balancing.Offers().empty());
  LoadedShards other(false);
  CHECK(other.Offers().empty());
  CHECK(other.Choose(offers).empty());
  CHECK_FALSE(other.shard(0).dispatcher().MoveJobForLoad(
      TestedJob(), ShardId(1), Epoch(1), other.now()));
}

// Guards against more jobs than there is free room, and against room that is
// taken from steps that wait in the shard.
TEST_CASE("a shard takes the jobs that it would start at once") {
  LoadedShards shards;
  std::vector<LoadOffer> offers(2, shards.Offers().at(0));
  offers[1].offer.job = JobId("second");
  offers[1].backlog = CoreMilliseconds(100'000);
  const std::vector<JobId> first = {TestedJob()};
  SECTION("room is promised once, until the job should have arrived") {
    CHECK(shards.Choose(offers) == first);
    CHECK(shards.Choose({offers[1]}).empty());
    shards.Advance(seconds(2));
    CHECK(shards.Choose({offers[1]}).size() == 1);
  }
  SECTION("a waiting step of the same priority goes first") {
    shards.shard(1).AddWorker(5, Cores(8));
    shards.shard(1).run_of = [](const TaskName&, int) {
      return std::pair{Duration(seconds(5)), RunOutcome::kDone};
    };
    shards.Advance(milliseconds(100));
    shards.SubmitWhole(1, "busy", SpecOf({LongStep(5, seconds(5))}));
    shards.Advance(milliseconds(100));
    shards.SubmitWhole(1, "wide", SpecOf({LongStep(8, seconds(5))}));
    shards.Advance(milliseconds(100));
    CHECK(shards.Choose(offers).empty());
    offers[0].offer.terms.priority = 1;
    CHECK(shards.Choose(offers).empty());
  }
  SECTION("a gang needs room for all members") {
    offers[0].offer.step.gang = true;
    offers[0].offer.step.task_count = 2;
    CHECK(shards.Choose({offers[0]}).empty());
  }
}

// Guards against a job that runs twice, or never, because a leader is lost
// while the job moves.
TEST_CASE("a leader lost during a move for load leaves one holder") {
  LoadedShards shards;
  shards.SetReadsChanges(1, false);
  REQUIRE(shards.Choose(shards.Offers()) == std::vector<JobId>{TestedJob()});
  const Epoch epoch = shards.shard(1).dispatcher().epoch();
  const bool stored = GENERATE(false, true);
  shards.shard(0).store_available = false;
  REQUIRE(shards.shard(0).dispatcher().MoveJobForLoad(TestedJob(), ShardId(1),
                                                      epoch, shards.now()));
  if (stored) shards.shard(0).StoreRecords();
  SECTION("the giving one") { shards.TakeOver(0); }
  SECTION("the receiving one") { shards.TakeOver(1); }
  SECTION("both") {
    shards.TakeOver(1);
    shards.TakeOver(0);
  }
  shards.shard(0).store_available = true;
  shards.SetReadsChanges(1, true);
  shards.Advance(seconds(20));
  shards.CheckCompletedOnce(shards.spec);
  CHECK(shards.shard(0).starts[{JobId("first"), 0, 0, 0}] == 1);
}

// Guards against a job that is passed on by each shard that becomes full, also
// by a successor that learns of the first move from its row.
TEST_CASE("a job that was moved for load is not moved for load again") {
  LoadedShards shards;
  const std::vector<LoadOffer> offers = shards.Offers();
  // Fills the other shard while the move is stored.
  shards.shard(1).run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(8)), RunOutcome::kDone};
  };
  shards.SubmitWhole(1, "late", SpecOf({LongStep(4, seconds(8))}));
  shards.Advance(milliseconds(100));
  REQUIRE(shards.shard(0).dispatcher().MoveJobForLoad(
      TestedJob(), ShardId(1), shards.shard(1).dispatcher().epoch(),
      shards.now()));
  shards.Advance(milliseconds(100));
  if (GENERATE(false, true)) shards.TakeOver(1);
  shards.offers_jobs = true;
  shards.Advance(seconds(6));
  // The first shard is free again.
  CHECK(shards.StateOf(JobId("first")).state == JobState::kCompleted);
  CHECK(shards.move_count() == 1);
  shards.Advance(seconds(16));
  shards.CheckCompletedOnce(shards.spec);
}

// Guards against jobs that end late because all of them want one rack, and
// against data that is left behind without need.
TEST_CASE("a contended rack gives way once a job has no slack") {
  const bool balances_jobs = GENERATE(false, true);
  Shards shards(1, balances_jobs);
  // Workers 0 and 1 are in rack 0, the others in racks of their own.
  for (const int worker : {0, 2, 4})
    shards.shard(0).AddWorker(worker, Cores(4));
  shards.shard(0).run_of = [](const TaskName&, int) {
    return std::pair{Duration(seconds(2)), RunOutcome::kDone};
  };
  shards.Advance(milliseconds(100));
  const auto count_running = [&] {
    int running = 0;
    for (const char* id : {"a", "b", "c"})
      running += shards.RunningNow({JobId(id), 0, 0, 0});
    return running;
  };
  // The objective of the jobs is 2 s.
  const Duration declared =
      GENERATE(Duration(milliseconds(400)), Duration(milliseconds(1900)));
  StepSpec step = LongStep(4, declared);
  step.data_rack = RackId("rack0");
  for (const char* id : {"a", "b", "c"})
    shards.SubmitWhole(0, id, SpecOf({step}));
  shards.Advance(milliseconds(200));
  const bool without_slack = declared > milliseconds(1000);
  CHECK(count_running() == (balances_jobs && without_slack ? 3 : 1));
  shards.Advance(milliseconds(400));
  CHECK(count_running() == (!balances_jobs && without_slack ? 1 : 3));
}

// Time within which each job ends after the last fault: leases expire 6.3 s
// after a takeover, and a job whose next step waits for another shard moves
// within 2 s, once for each of its steps.
constexpr Duration kRecoveryTime = seconds(30);
constexpr Duration kFaultTime = seconds(30);

// Labels of the workers. Each shard lacks one of them, and has one worker with
// each of the others, so that it lacks a further one while a worker is lost.
constexpr int kLabels = 4;
constexpr int kWorkersPerShard = 3;
constexpr int kWorkerCores = 6;

/// Random faults in two or three shards. The steps of the jobs require labels.
class Interleaving : RandomShards {
 public:
  /// @param balances_jobs whether jobs move because of the load. Then there is
  ///   more work than room at times. What waits at the end of the faults
  ///   occupies the workers for at most as long as the recovery takes, so that
  ///   jobs end within twice that time.
  explicit Interleaving(std::uint64_t seed, bool balances_jobs = false)
      : RandomShards(seed, {.read = 15, .takeover = 700}, balances_jobs),
        task_cores_(balances_jobs ? 2 : 1),
        submit_odds_(balances_jobs ? 22 : 60),
        recovery_time_(balances_jobs ? 2 * kRecoveryTime : kRecoveryTime) {
    if (balances_jobs) max_backlog_ = kRecoveryTime;
    for (int i = 0; i < shards_.shard_count(); ++i) {
      SimulatedCluster& cluster = shards_.shard(i);
      for (int k = 0; k < kWorkersPerShard; ++k)
        cluster.AddWorker(k, Cores(kWorkerCores), LabelOf((i + k) % kLabels));
      cluster.run_of = [this](const TaskName& task, int) {
        ++runs_[task];
        return std::pair{run_times_.at(task), RunOutcome::kDone};
      };
      cluster.record_answer_delay = [this] {
        return Duration(milliseconds(OneIn(4) ? Below(1500) : Below(20)));
      };
      shards_.SetReadsChanges(i, false);
    }
    shards_.reply_delay = [this] { return Duration(milliseconds(Below(500))); };
    shards_.Advance(milliseconds(100));
  }

  InterleavingReport Run() {
    const Time faults_end = shards_.now() + kFaultTime;
    while (shards_.now() < faults_end && !Failed()) {
      AddFaults();
      shards_.Advance(kSimulationStep);
      CheckDone();
    }
    EndFaults();
    const Time recovered = shards_.now() + recovery_time_;
    while (shards_.now() < recovered && !Failed()) {
      shards_.Advance(kSimulationStep);
      CheckDone();
    }
    if (!Failed()) CheckAllJobsEnded();
    report_.handovers = shards_.move_count();
    report_.load_moves = static_cast<int>(shards_.load_moves().size());
    const std::vector<std::string> found = shards_.Violations();
    report_.violations.insert(report_.violations.end(), found.begin(),
                              found.end());
    return report_;
  }

 private:
  static std::string LabelOf(int number) {
    return "l" + std::to_string(number);
  }
  bool Failed() const {
    return !report_.violations.empty() || !shards_.Violations().empty();
  }

  void AddFaults() {
    if (OneIn(submit_odds_)) SubmitJob();
    if (OneIn(400)) CancelJob();
    if (OneIn(150)) LoseWorker();
    for (auto& [worker, heals_at] : lost_) {
      if (shards_.now() >= heals_at) Heal(worker);
    }
    std::erase_if(lost_, [&](const auto& entry) {
      return shards_.now() >= entry.second;
    });
    for (int i = 0; i < shards_.shard_count(); ++i) AddShardFaults(i);
  }

  void SubmitJob() {
    const std::string id = "job" + std::to_string(specs_.size());
    std::vector<StepSpec> steps;
    const auto count = static_cast<int>(1 + Below(3));
    for (int s = 0; s < count; ++s) {
      const int tasks = static_cast<int>(1 + Below(3));
      const int label = static_cast<int>(Below(kLabels));
      steps.push_back(LabelledStep(tasks, task_cores_, LabelOf(label)));
      steps.back().gang = OneIn(4);
      if (s > 0 && !OneIn(4)) steps.back().after = {s - 1};
      for (int t = 0; t < tasks; ++t) DrawRunTime({JobId(id), 0, s, t});
    }
    const JobSpec spec = SpecOf(std::move(steps));
    const int shard = AnyShard();
    if (ExceedsBacklog(JobId(id), spec)) return;
    specs_[JobId(id)] = spec;
    shards_.SubmitWhole(shard, id, spec, 100);
  }

  void DrawRunTime(const TaskName& task) {
    Duration run_time = milliseconds(100 + Below(600));
    if (OneIn(5)) run_time += seconds(3);
    run_times_[task] = run_time;
  }

  /// @return whether the workers with a label would be occupied for too long if
  ///   the job were submitted.
  bool ExceedsBacklog(const JobId& id, const JobSpec& spec) {
    for (int label = 0; max_backlog_ && label < kLabels; ++label) {
      Duration work = WorkOf(id, spec, label);
      for (const auto& [other, other_spec] : specs_) {
        if (!IsFinal(shards_.StateOf(other).state))
          work += WorkOf(other, other_spec, label);
      }
      if (work > *max_backlog_ * CoresOf(label)) return true;
    }
    return false;
  }

  /// @return the sum over the tasks that require the label of run time times
  ///   cores.
  Duration WorkOf(const JobId& id, const JobSpec& spec, int label) const {
    Duration work{0};
    for (int s = 0; s < static_cast<int>(spec.steps.size()); ++s) {
      const StepSpec& step = spec.steps[static_cast<std::size_t>(s)];
      if (step.required_label != WorkerLabel(LabelOf(label))) continue;
      for (int t = 0; t < step.task_count; ++t)
        work += run_times_.at({id, 0, s, t}) * task_cores_;
    }
    return work;
  }

  /// @return the cores of all workers with the label.
  int CoresOf(int label) const {
    int cores = 0;
    for (int i = 0; i < shards_.shard_count(); ++i) {
      for (int k = 0; k < kWorkersPerShard; ++k) {
        if ((i + k) % kLabels == label) cores += kWorkerCores;
      }
    }
    return cores;
  }

  void CancelJob() {
    if (specs_.empty()) return;
    auto job = specs_.begin();
    std::advance(job, Below(specs_.size()));
    if (shards_.CancelWhole(job->first)) cancelled_.insert(job->first);
  }

  void LoseWorker() {
    ++report_.faults;
    const int shard = AnyShard();
    const std::pair worker(shard, static_cast<int>(Below(kWorkersPerShard)));
    if (lost_.contains(worker)) return;
    lost_[worker] = shards_.now() + milliseconds(Below(12'000));
    SimulatedCluster& cluster = shards_.shard(worker.first);
    if (OneIn(2)) {
      cluster.worker(worker.second).partitioned = true;
    } else {
      cluster.Crash(worker.second);
    }
  }

  void Heal(const std::pair<int, int>& ref) {
    SimulatedCluster& cluster = shards_.shard(ref.first);
    SimulatedWorker& worker = cluster.worker(ref.second);
    worker.partitioned = false;
    if (!worker.alive) cluster.Restart(ref.second);
    cluster.dispatcher().OnWorkerListed(worker.entry, shards_.now());
  }

  void EndFaults() {
    for (const auto& [worker, heals_at] : lost_) Heal(worker);
    lost_.clear();
    EndShardFaults();
  }

  /// Checks that no task of a job starts after the job was shown as completed.
  void CheckDone() {
    for (const auto& [id, spec] : specs_) {
      const bool completed = shards_.StateOf(id).state == JobState::kCompleted;
      const auto found = runs_when_completed_.find(id);
      if (!completed) {
        if (found != runs_when_completed_.end())
          report_.violations.push_back(id.str() + " is no longer completed");
        continue;
      }
      const int runs = RunsOf(id);
      if (found == runs_when_completed_.end()) {
        runs_when_completed_[id] = runs;
      } else if (runs != found->second) {
        report_.violations.push_back(id.str() + " runs after its end");
      }
    }
  }

  int RunsOf(const JobId& id) const {
    int runs = 0;
    for (auto task = runs_.lower_bound({.job = id});
         task != runs_.end() && task->first.job == id; ++task)
      runs += task->second;
    return runs;
  }

  void CheckAllJobsEnded() {
    for (const auto& [id, spec] : specs_) {
      const JobState state = shards_.StateOf(id).state;
      const bool cancelled = cancelled_.contains(id);
      if (!IsFinal(state))
        report_.violations.push_back(id.str() + " has not ended");
      if (state == JobState::kCancelled && !cancelled)
        report_.violations.push_back(id.str() + " is shown as cancelled");
    }
    if (!shards_.StoredMoves().empty())
      report_.violations.emplace_back("rows of moves are left");
  }

  int task_cores_;
  std::uint64_t submit_odds_;
  Duration recovery_time_;
  /// Longest time for which the jobs that have not ended may occupy all workers
  /// with a label. Jobs beyond it are not submitted.
  std::optional<Duration> max_backlog_;
  std::map<JobId, JobSpec> specs_;
  std::set<JobId> cancelled_;
  /// Drawn when a job is submitted, and the same for each run of a task.
  std::map<TaskName, Duration> run_times_;
  std::map<TaskName, int> runs_;
  std::map<JobId, int> runs_when_completed_;
  std::map<std::pair<int, int>, Time> lost_;
};

void CheckSeeds(std::uint64_t seeds) {
  const InterleavingReport total = RunSeeds<Interleaving>(seeds);
  for (const std::string& violation : total.violations) FAIL_CHECK(violation);
  WARN(seeds << " seeds, " << total.faults << " faults, " << total.takeovers
             << " takeovers, " << total.handovers << " moves");
  // Guards against a simulation without faults, takeovers or moves.
  const int count = static_cast<int>(seeds);
  CHECK(total.faults > 5 * count);
  CHECK(total.takeovers > 2 * count);
  CHECK(total.handovers > 5 * count);
}

// Guards against a sequence of faults after which a job runs twice, ends twice
// or never ends.
TEST_CASE("moves of jobs keep the invariants under random faults") {
  CheckSeeds(10);
}

/// The same faults while jobs move because of the load.
struct BalancedInterleaving : Interleaving {
  explicit BalancedInterleaving(std::uint64_t seed)
      : Interleaving(seed, true) {}
};

// Guards against a move for load after which a job runs twice or never ends.
TEST_CASE("moves for load keep the invariants under random faults") {
  const std::uint64_t seeds = 20;
  const InterleavingReport total = RunSeeds<BalancedInterleaving>(seeds);
  for (const std::string& violation : total.violations) FAIL_CHECK(violation);
  WARN(seeds << " seeds, " << total.faults << " faults, " << total.takeovers
             << " takeovers, " << total.load_moves << " jobs moved for load");
  // Guards against a simulation without such moves.
  CHECK(total.load_moves > 2 * static_cast<int>(seeds));
}

// The same check with more seeds, run before a release.
TEST_CASE("moves of jobs keep the invariants for many seeds", "[.long]") {
  CheckSeeds(100);
}

}  // namespace
}  // namespace gypsumfall
