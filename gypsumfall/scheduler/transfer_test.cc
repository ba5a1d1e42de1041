// Tests transfers of tasks between shards while hosts and the store fail.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/fake_ports.h"
#include "gypsumfall/scheduler/internal/sharded_deployment.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

using Fault = FakeStore::Fault;

// Far above what a step of a test needs, so that a slow machine does not fail
// it.
constexpr Duration kWaitLimit = seconds(30);

RowAddress TransferRow(ShardId shard, const TaskName& task) {
  return {kSlicedJobTable, ShardScope(shard).partition,
          task.job.str() + "/0/0/" + std::to_string(task.index)};
}

bool StoresTransfer(const RowTransaction& transaction) {
  return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                     [](const RowWrite& write) {
                       return write.address.table == kSlicedJobTable &&
                              IsTransferRow(write.address);
                     });
}

/// A sharded deployment whose workers are full, except for one that was added
/// to the receiving shard. It can run both tasks of one more job, so that the
/// task of the other shard is transferred.
struct TransferDeployment : ShardedDeployment {
  TransferDeployment() {
    AwaitScheduled();
    for (const char* id : {"long-a", "long-b", "long-c", "long-d"}) {
      Submit(JobId(id));
    }
    REQUIRE(Await([&] { return workers.running() == 8; }));
    AddWorker("rack1-w8");
    receiver = *hosts[0]->layout().ShardOf(
        {.id = WorkerId("rack1-w8"), .rack = RackId("rack1")});
    giver = ShardId(1 - receiver.value());
  }

  /// Runs the event loop until the condition holds.
  /// @return false if it does not hold within `kWaitLimit`.
  bool Await(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
    bool holds = false;
    hosts[0]->RunUntil([&] {
      holds = condition();
      return holds || std::chrono::steady_clock::now() > deadline;
    });
    return holds;
  }

  void AddWorker(const std::string& id) { store.Put({"workers", "", id}, ""); }

  void Submit(const JobId& id) {
    // A slow host answers that it does not know whether the job is stored.
    REQUIRE(Await([&] {
      return hosts[0]->SendRequest(HttpMethod::kPost, "/" + id.str()).status ==
             200;
    }));
  }

  void Cancel(const JobId& id) {
    // A host that does not know the new leader yet refuses the cancellation.
    REQUIRE(Await([&] {
      return hosts[0]
                 ->SendRequest(HttpMethod::kDelete, "/" + id.str())
                 .status == 200;
    }));
  }

  /// @return the task of the job that is in the slice of the shard.
  TaskName TaskIn(ShardId shard, const JobId& id) {
    const JobSlice slice = SliceOf(*hosts[0]->layout().layout(), shard, id);
    return TaskOf(id, slice.Contains(0) ? 0 : 1);
  }

  /// Submits a job and waits until both its tasks run in the receiving shard.
  /// @return the transferred task.
  TaskName SubmitAndTransfer(const JobId& id) {
    const std::size_t running = workers.running();
    TaskName task = TaskIn(giver, id);
    Submit(id);
    REQUIRE(Await([&] { return workers.running() == running + 2; }));
    CHECK(workers.last_worker[task].str().starts_with("rack1"));
    CHECK(store.Find(TransferRow(giver, task)) != nullptr);
    return task;
  }

  /// Makes the leader of the shard release it; its host leads no shard again.
  /// The shard has no leader on return.
  void ReleaseShard(ShardId shard) {
    for (auto& host : hosts) {
      if (host->shards().FindShard(shard)->dispatch.is_scheduling())
        host->shards().Release();
    }
    REQUIRE(Await([&] { return !IsScheduled(shard.value()); }));
  }

  /// Replaces the leader of the shard by the other host.
  void ReplaceLeader(ShardId shard) {
    ReleaseShard(shard);
    REQUIRE(Await([&] { return IsScheduled(0) && IsScheduled(1); }));
  }

  /// Checks that the first run of each transferred task continues although its
  /// former shard has capacity for it.
  void CheckFirstRunsContinue(const std::vector<TaskName>& transferred) {
    const std::size_t running = workers.running();
    for (const std::string id : {"rack1-w20", "rack2-w20"}) {
      AddWorker(id);
      REQUIRE(Await([&] { return workers.HasReceivedOrders(WorkerId(id)); }));
    }
    // A shard that starts a task of this job could start the earlier ones too,
    // because these rank first.
    const JobId next("long-next");
    Submit(next);
    REQUIRE(Await([&] { return workers.running() == running + 2; }));
    CHECK(workers.last_worker[TaskIn(giver, next)] == WorkerId("rack2-w20"));
    for (const TaskName& task : transferred) {
      CHECK(workers.last_worker[task].str().starts_with("rack1"));
    }
    CheckEachTaskStartedOnce();
  }

  /// Cancels the job of a transferred task, and checks that both runs of the
  /// job stop and that its transfer is removed.
  void CheckCancellation(const TaskName& transferred) {
    const std::size_t running = workers.running();
    Cancel(transferred.job);
    CHECK(Await([&] {
      return workers.running() == running - 2 &&
             store.Find(TransferRow(giver, transferred)) == nullptr;
    }));
  }

  void CheckEachTaskStartedOnce() {
    for (const auto& [task, starts] : workers.starts) {
      INFO(task.job.str() << "/" << task.index);
      CHECK(starts == 1);
    }
  }

  ShardId giver;
  ShardId receiver;
};

// Guards against a successor that starts a task that its predecessor gave away,
// and that keeps the transfer after the job was cancelled.
TEST_CASE("a successor leaves a transferred task to the other shard") {
  TransferDeployment d;
  const TaskName task = d.SubmitAndTransfer(JobId("long-e"));
  d.ReplaceLeader(d.giver);
  d.CheckFirstRunsContinue({task});
  d.CheckCancellation(task);
  d.CheckEachTaskStartedOnce();
}

// Guards against a successor that stops, restarts or forgets a task that its
// predecessor had received.
TEST_CASE("a successor adopts the run of a transferred task") {
  TransferDeployment d;
  const TaskName task = d.SubmitAndTransfer(JobId("long-e"));
  d.ReplaceLeader(d.receiver);
  d.AddWorker("rack1-w9");
  // The successor starts tasks of this job, thus it knows all earlier runs.
  const TaskName next_task = d.SubmitAndTransfer(JobId("long-f"));
  CHECK(d.workers.running() == 12);
  d.CheckCancellation(task);
  CHECK(d.store.Find(TransferRow(d.giver, next_task)) != nullptr);
  d.CheckEachTaskStartedOnce();
}

// Guards against a task that runs twice or never because the leader does not
// know whether its transfer is stored.
TEST_CASE("a lost response neither loses nor duplicates a transferred task") {
  TransferDeployment d;
  std::vector<TaskName> transferred;
  for (const Fault fault : {Fault::kAnswerLost, Fault::kCallLost}) {
    const JobId id(fault == Fault::kAnswerLost ? "long-e" : "long-f");
    const std::size_t running = d.workers.running();
    if (!transferred.empty()) d.AddWorker("rack1-w9");
    d.Submit(id);
    // The transfer is the next write to the table.
    d.store.InjectFault(fault, 3, kSlicedJobTable);
    REQUIRE(d.Await([&] {
      return d.workers.running() == running + 2 &&
             d.store.remaining_faults() == 0;
    }));
    transferred.push_back(d.TaskIn(d.giver, id));
  }
  d.CheckFirstRunsContinue(transferred);
  for (const TaskName& task : transferred) d.CheckCancellation(task);
}

// Guards against a task that no shard runs because the store dropped the change
// that told of its transfer.
TEST_CASE("a transfer takes effect although its change was dropped") {
  TransferDeployment d;
  bool dropped = false;
  d.store.on_applied = [&](const RowTransaction& transaction) {
    if (!StoresTransfer(transaction)) return;
    d.store.DropHistory(kSlicedJobTable);
    dropped = true;
  };
  d.SubmitAndTransfer(JobId("long-e"));
  CHECK(dropped);
  CHECK(d.workers.running() == 10);
  d.CheckEachTaskStartedOnce();
}

// Guards against a transfer that stays in the store for ever, and a run that
// does not stop, because no leader of the shard saw the cancellation.
TEST_CASE("a successor removes the transfer of a job cancelled before") {
  TransferDeployment d;
  const TaskName task = d.SubmitAndTransfer(JobId("long-e"));
  d.ReleaseShard(d.giver);
  RowStore port = d.store.Port();
  bool cancelled = false;
  port.transact(CancelSlicedTransaction({.id = task.job,
                                         .queue = QueueId("q"),
                                         .state = JobState::kCancelled,
                                         .ended_at = WallTime(1),
                                         .steps = {}}),
                seconds(1), [&](const TransactionReply&) { cancelled = true; });
  // The removed row shows that the job was cancelled without a leader.
  REQUIRE(d.store.Find({kSlicedJobTable, kSlicedJobPartition,
                        task.job.str()}) == nullptr);
  REQUIRE_FALSE(d.IsScheduled(d.giver.value()));
  CHECK(d.Await([&] {
    return cancelled && d.IsScheduled(0) && d.IsScheduled(1) &&
           d.workers.running() == 8 &&
           d.store.Find(TransferRow(d.giver, task)) == nullptr;
  }));
  d.CheckEachTaskStartedOnce();
}

// Guards against a row that stops a host, or that keeps the rows of the same
// read from being applied.
TEST_CASE("a malformed transfer does not affect other transfers") {
  TransferDeployment d;
  const JobId id("long-e");
  const TaskName unknown = TaskOf(JobId("long-unknown"), 0);
  const auto put_malformed_rows = [&] {
    for (const ShardId shard : {d.giver, d.receiver}) {
      const std::string partition = ShardScope(shard).partition;
      int number = 0;
      for (const char* value : {"", "{", "[]", R"({"task": 1})"}) {
        // Sorts before, and after, the rows of all jobs.
        for (const char* prefix : {"a", "z"}) {
          d.store.Put(
              {kSlicedJobTable, partition, prefix + std::to_string(number++)},
              value);
        }
      }
      for (const TaskName& task :
           {unknown, TaskOf(id, 2), TaskOf(id, -1), TaskName{id, 1, 0, 0},
            TaskName{id, 0, 1, 0}}) {
        d.store.Put({kSlicedJobTable, partition,
                     task == unknown ? TransferRow(shard, task).key
                                     : "a" + std::to_string(number++)},
                    Encode(TaskTransfer{.task = task,
                                        .shard = d.receiver,
                                        .number = 1,
                                        .last_run = RunNumber(1),
                                        .checkpoint = {}}));
      }
    }
  };
  // The hosts read these rows together with the transfer.
  d.store.on_applied = [&](const RowTransaction& transaction) {
    if (StoresTransfer(transaction)) put_malformed_rows();
  };
  const TaskName task = d.SubmitAndTransfer(id);
  d.store.on_applied = {};
  REQUIRE(d.store.Find(TransferRow(d.giver, unknown)) != nullptr);
  // A successor reads all rows; it removes those of its shard whose job is not
  // stored.
  d.ReplaceLeader(d.giver);
  CHECK(d.Await(
      [&] { return d.store.Find(TransferRow(d.giver, unknown)) == nullptr; }));
  d.CheckCancellation(task);
  d.CheckEachTaskStartedOnce();
}

}  // namespace
}  // namespace gypsumfall::scheduler_internal
