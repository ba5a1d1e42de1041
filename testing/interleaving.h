#ifndef TESTING_INTERLEAVING_H_
#define TESTING_INTERLEAVING_H_

/// @file
/// Seeded simulation of the owners of one task partition with their table
/// service and workers, under faults. Every run of a seed is the same.
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

/// Which safeguards are in force. Runs without one of them show that the
/// checker notices what it guards against.
struct Safeguards {
  /// Commits check the version of the partition's row.
  bool fence = true;
  /// A lost answer is read back; without, it is taken for a success.
  bool read_back = true;
  /// An attempt without contact is over when its lease has ended.
  bool wait_for_lease = true;
  /// Only a certain owner acknowledges reports of tasks that it does not know.
  bool certain_owner_acknowledges = true;
};

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

/// Runs `steps` random steps, then lets everything heal and come to rest.
RunReport RunInterleaving(std::uint64_t seed, const Safeguards& safeguards,
                          std::uint64_t steps);

/// One run.
class Interleaving {
 public:
  Interleaving(std::uint64_t seed, const Safeguards& safeguards);
  RunReport Run(std::uint64_t steps);

 private:
  // One owner of the partition, the present one or an earlier one that does
  // not know yet.
  struct Owner {
    double rate = 1;
    bool crashed = false;
    // Times until which the owner is paused or cut off.
    Time paused_until;
    Time store_cut_until;
    Time workers_cut_until;
    // When its host row was last renewed, and whether it was marked lapsed.
    Time renewed_at;
    bool lapsed = false;
    WriteBudget budget{50};
    std::unique_ptr<Journal> journal;
    std::unique_ptr<TaskTable> table;
  };
  using Body = std::function<void()>;

  // interleaving.cc
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(std::uint64_t percent) { return Draw(100) < percent; }
  bool Fault(std::uint64_t percent);
  Duration Delay();
  Time LocalTime(const Owner& owner) const;
  void At(Duration after, Body body);
  void ToOwner(Owner& owner, Duration after, Body body);
  void RunUntil(Time end);
  void Step(Owner& owner);
  bool StoreReachable(const Owner& owner) const;
  void RenewHostRow(Owner& owner);
  void Do(Owner& owner, const TaskActions& actions);
  void Do(Owner& owner, const JournalActions& actions);
  void Append(Owner& owner, const AppendRecord& record);
  void Tell(const TaskStatus& status);
  void Reserve(Owner& owner, const RequestReservation& request);
  void Start(Owner& owner, const StartAttempt& start);
  void Stop(Owner& owner, const StopAttempt& stop);
  void Query(Owner& owner, const WorkerId& worker);
  void ToWorker(Owner& owner, const WorkerId& worker,
                std::function<void(FakeWorker&)> body);
  void Transact(Owner& owner, const SendTransact& send);
  void AnswerLost(Owner& owner, JournalCall call);
  void Read(Owner& owner, const SendRead& send);
  void PutObject(Owner& owner, const PutSnapshotObject& put);

  // interleaving_faults.cc
  void RandomStep();
  void SubmitOne();
  void DisturbTask();
  void DisturbOwner(Owner& owner);
  void TakeOver();
  void Heal();
  void ComeToRest();
  RunReport Judge();

  std::mt19937_64 random_;
  Safeguards safeguards_;
  Time now_ = Time(seconds(100));
  Time store_down_until_;
  std::uint64_t order_ = 0;
  // What is to happen, by time and then in the order of scheduling.
  std::map<std::pair<Time, std::uint64_t>, Body> pending_;
  std::vector<Event> history_;
  FakeTable store_;
  std::map<WorkerId, FakeWorker> workers_;
  std::map<WorkerId, Time> worker_paused_until_;
  std::vector<std::unique_ptr<Owner>> owners_;
  std::vector<TaskRule> rules_;
  std::map<TaskKey, TaskSpec> specs_;
  // Tasks that were submitted more than once, and refused submissions.
  std::set<TaskKey> resubmitted_;
  std::vector<TaskKey> refused_;
  bool healed_ = false;
  RunReport report_;
};

}  // namespace gypsumfall::testing

#endif  // TESTING_INTERLEAVING_H_
