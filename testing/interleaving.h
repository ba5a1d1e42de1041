#ifndef TESTING_INTERLEAVING_H_
#define TESTING_INTERLEAVING_H_

/// @file
/// Deterministic simulation of the owners of one task partition, their table
/// service and their workers under injected faults. A seed fixes the whole run.
///
/// Example:
/// @code
///   const RunReport report = RunInterleaving(seed, {}, 300);
///   CHECK(report.violations.empty());
/// @endcode

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/journal/journal.h"
#include "gypsumfall/tasks/tasks.h"
#include "testing/fake_table.h"
#include "testing/fake_worker.h"
#include "testing/invariants.h"

namespace gypsumfall::testing {

/// Safeguards of the protocol that are enabled. Tests disable one at a time to
/// show that the checker detects the resulting violation.
struct Safeguards {
  /// Commits are fenced by the version of the partition's row.
  bool fence = true;
  /// After a lost answer the rows are read back; if disabled, the commit is
  /// assumed to have succeeded.
  bool read_back = true;
  /// An attempt on an unreachable worker ends only when its lease has expired.
  bool wait_for_lease = true;
  /// Only an owner with confirmed ownership acknowledges reports of unknown
  /// tasks.
  bool confirmed_owner_acknowledges = true;
};

/// Violations, history and counters of a simulated run.
struct RunReport {
  std::vector<Violation> violations;
  std::vector<Event> history;
  std::uint64_t steps = 0;
  std::uint64_t faults = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t tasks = 0;
  std::uint64_t attempts = 0;
  std::uint64_t done = 0;
};

/// Runs `steps` random steps, then removes all faults and waits until all tasks
/// have ended.
///
/// @return the violations, the history and the counters of the run.
RunReport RunInterleaving(std::uint64_t seed, const Safeguards& safeguards,
                          std::uint64_t steps);

/// Simulates one run.
class Interleaving {
 public:
  Interleaving(std::uint64_t seed, const Safeguards& safeguards);
  RunReport Run(std::uint64_t steps);

 private:
  // The current owner of the partition, or a previous one that has not yet
  // detected the takeover.
  struct Owner {
    double clock_rate = 1;
    bool crashed = false;
    // Times until which the owner is paused, or partitioned from the table
    // service or from the workers.
    Time paused_until;
    Time store_unreachable_until;
    Time workers_unreachable_until;
    // Time of the last renewal of the host row, and whether the row's lease was
    // marked as expired.
    Time renewed_at;
    bool lease_expired = false;
    WriteBudget budget{50};
    std::unique_ptr<Journal> journal;
    std::unique_ptr<TaskTable> table;
  };
  using Callback = std::function<void()>;

  // interleaving.cc
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(std::uint64_t percent) { return Draw(100) < percent; }
  bool InjectFault(std::uint64_t percent);
  Duration RandomDelay();
  Time LocalTime(const Owner& owner) const;
  void ScheduleAfter(Duration after, Callback callback);
  void ScheduleOnOwner(Owner& owner, Duration after, Callback callback);
  void RunUntil(Time end);
  void TickOwner(Owner& owner);
  bool StoreReachable(const Owner& owner) const;
  void RenewHostRow(Owner& owner);
  void Execute(Owner& owner, const TaskActions& actions);
  void Execute(Owner& owner, const JournalActions& actions);
  void Append(Owner& owner, const AppendRecord& record);
  void RecordStatus(const TaskStatus& status);
  void Reserve(Owner& owner, const RequestReservation& request);
  void Start(Owner& owner, const StartAttempt& start);
  void Stop(Owner& owner, const StopAttempt& stop);
  void Query(Owner& owner, const WorkerId& worker);
  void SendToWorker(Owner& owner, const WorkerId& worker,
                    std::function<void(FakeWorker&)> callback);
  void Transact(Owner& owner, const SendTransact& send);
  void ScheduleAnswerTimeout(Owner& owner, JournalCall call);
  void Read(Owner& owner, const SendRead& send);
  void PutObject(Owner& owner, const PutSnapshotObject& put);

  // interleaving_faults.cc
  void RandomStep();
  void SubmitTask();
  void EvictOrCancelTask();
  void InjectOwnerFaults(Owner& owner);
  void TakeOver();
  void Heal();
  void RunUntilQuiescent();
  RunReport BuildReport();

  std::mt19937_64 random_;
  Safeguards safeguards_;
  Time now_ = Time(seconds(100));
  Time store_down_until_;
  std::uint64_t last_sequence_ = 0;
  // Scheduled callbacks, by time and then by order of scheduling.
  std::map<std::pair<Time, std::uint64_t>, Callback> pending_;
  std::vector<Event> history_;
  FakeTable store_;
  std::map<WorkerId, FakeWorker> workers_;
  std::map<WorkerId, Time> worker_paused_until_;
  std::vector<std::unique_ptr<Owner>> owners_;
  std::vector<TaskRule> rules_;
  std::map<TaskKey, TaskSpec> specs_;
  // Tasks that were submitted more than once, and tasks whose submission was
  // refused.
  std::set<TaskKey> resubmitted_;
  std::vector<TaskKey> refused_;
  bool healed_ = false;
  RunReport report_;
};

}  // namespace gypsumfall::testing

#endif  // TESTING_INTERLEAVING_H_
