// Random actions of callers, owners and workers, and the completion of a run.

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

#include "testing/interleaving.h"

namespace gypsumfall::testing {
namespace {

constexpr int kPartition = 0;
constexpr int kWorkers = 3;
constexpr Duration kHostRowLease = seconds(7);
// Maximum deviation of a clock rate from real time, in both directions. It
// exceeds the drift of real clocks and is the most that the lease margin of 2 s
// tolerates for these leases.
constexpr double kClockDrift = 0.01;

double ClockRateFrom(std::uint64_t draw) {
  constexpr std::uint64_t kSteps = 1000;
  const double unit = static_cast<double>(draw % (kSteps + 1)) / kSteps;
  return 1 - kClockDrift + 2 * kClockDrift * unit;
}

}  // namespace

RunReport RunInterleaving(std::uint64_t seed, const Safeguards& safeguards,
                          std::uint64_t steps) {
  return Interleaving(seed, safeguards).Run(steps);
}

Interleaving::Interleaving(std::uint64_t seed, const Safeguards& safeguards)
    : random_(seed), safeguards_(safeguards) {
  for (int i = 0; i < kWorkers; ++i) {
    const WorkerId id("w" + std::to_string(i));
    workers_.emplace(id, FakeWorker(id, ClockRateFrom(random_()), history_));
  }
  for (auto& [id, worker] : workers_) worker.AdvanceTo(now_);
  TakeOver();
}

RunReport Interleaving::Run(std::uint64_t steps) {
  for (std::uint64_t step = 0; step < steps; ++step) {
    RunUntil(now_ + milliseconds(Draw(1500)));
    RandomStep();
  }
  report_.steps = steps;
  Heal();
  RunUntilQuiescent();
  return BuildReport();
}

void Interleaving::RandomStep() {
  Owner& current = *owners_.back();
  if (now_ - current.renewed_at > kHostRowLease * 1.05) TakeOver();
  for (auto& [id, worker] : workers_) {
    if (Chance(20)) worker.ProgressAttempt(random_());
    if (InjectFault(1)) worker.Restart();
    if (InjectFault(1)) worker_paused_until_[id] = now_ + seconds(Draw(40));
  }
  if (Chance(30)) SubmitTask();
  EvictOrCancelTask();
  InjectOwnerFaults(*owners_[Draw(owners_.size())]);
  InjectOwnerFaults(current);
}

void Interleaving::SubmitTask() {
  const bool resubmit = !rules_.empty() && Chance(15);
  TaskKey key{CustomerId("c"), TaskId("t" + std::to_string(rules_.size()))};
  if (resubmit) {
    key = rules_[Draw(rules_.size())].task;
    resubmitted_.insert(key);
  } else {
    TaskSpec& spec = specs_[key];
    spec.kind = KindId("k");
    spec.idempotent = Chance(50);
    spec.resumable = Chance(20);
    spec.urgency = static_cast<int>(Draw(2));
    spec.run_without_contact = seconds(20);
    rules_.push_back({key, spec.idempotent || spec.resumable});
  }
  // The caller may still address a previous owner.
  Owner& owner = Chance(85) ? *owners_.back() : *owners_[Draw(owners_.size())];
  ScheduleOnOwner(owner, RandomDelay(), [this, &owner, key] {
    const TaskDecision decision =
        owner.table->Submit(key, specs_[key], "payload", {}, LocalTime(owner));
    if (!decision.status) refused_.push_back(key);
    Execute(owner, decision.actions);
  });
}

void Interleaving::EvictOrCancelTask() {
  if (rules_.empty() || !Chance(12)) return;
  const TaskKey key = rules_[Draw(rules_.size())].task;
  Owner& owner = *owners_.back();
  const bool evict = Chance(60);
  ScheduleOnOwner(owner, RandomDelay(), [this, &owner, key, evict] {
    const Time now = LocalTime(owner);
    if (!evict) {
      Execute(owner, owner.table->Cancel(key, now).actions);
    } else if (const auto status = owner.table->Status(key)) {
      Execute(owner, owner.table->Evict(
                         {key.customer, key.task, status->attempt}, now));
    }
  });
}

void Interleaving::InjectOwnerFaults(Owner& owner) {
  const auto until = [this] { return now_ + seconds(Draw(60)); };
  if (InjectFault(2)) owner.paused_until = until();
  if (InjectFault(2)) owner.store_unreachable_until = until();
  if (InjectFault(2)) owner.workers_unreachable_until = until();
  if (InjectFault(1)) store_down_until_ = until();
  if (&owner == owners_.back().get() && Chance(50) && InjectFault(1)) {
    owner.crashed = true;
  }
}

void Interleaving::TakeOver() {
  if (now_ < store_down_until_) return;
  if (!owners_.empty()) owners_.back()->lease_expired = true;
  const Epoch epoch(owners_.size() + 1);
  const std::string partition_key = PartitionRowKey(kPartition);
  const TransactReply takeover = store_.Transact(
      {"", {}, {{partition_key, std::to_string(epoch.value())}}, {}});
  const auto pointer =
      ReadSnapshotPointer(store_.Read({SnapshotRowKey(kPartition)}).front());
  const auto recovered = RecoverJournal(kPartition, pointer.value(),
                                        store_.Scan(LogRowPrefix(kPartition)));

  auto owner = std::make_unique<Owner>();
  owner->clock_rate = ClockRateFrom(random_());
  owner->renewed_at = now_;
  TaskTableOptions options{.epoch = epoch};
  if (!safeguards_.wait_for_lease) options.lease_margin = -seconds(45);
  if (!safeguards_.confirmed_owner_acknowledges) {
    options.host_row_lease = std::chrono::hours(1);
  }
  owner->table = std::make_unique<TaskTable>(options);
  const bool restored =
      recovered && owner->table->Restore(store_.objects[pointer->object],
                                         recovered->records, LocalTime(*owner));
  if (!restored) {
    history_.push_back({Event::Type::kRecoveryFailed});
    history_.back().text = recovered ? "restore" : recovered.error().detail;
  }
  owner->table->OnHostLeaseRenewed(LocalTime(*owner));
  owner->journal = std::make_unique<Journal>(
      JournalOptions{.partition = kPartition,
                     .token_prefix = std::to_string(epoch.value()),
                     .partition_version = takeover.versions.front(),
                     .snapshot_rows = 8,
                     .seed = random_()},
      recovered ? recovered->position : JournalPosition{}, owner->budget);
  owners_.push_back(std::move(owner));
  report_.takeovers = owners_.size() - 1;
  TickOwner(*owners_.back());
}

void Interleaving::Heal() {
  healed_ = true;
  store_down_until_ = now_;
  for (auto& [id, until] : worker_paused_until_) until = now_;
  for (const auto& owner : owners_) {
    owner->paused_until = std::min(owner->paused_until, now_);
    owner->store_unreachable_until = now_;
    owner->workers_unreachable_until = now_;
  }
  RunUntil(now_ + seconds(1));
  if (owners_.back()->crashed || owners_.back()->lease_expired) TakeOver();
}

void Interleaving::RunUntilQuiescent() {
  const auto all_tasks_ended = [this] {
    const auto tasks = owners_.back()->table->List(CustomerId("c"), 10000);
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const TaskStatus& task) { return task.ended(); });
  };
  constexpr int kMaxRounds = 2000;
  for (int round = 0; round < kMaxRounds; ++round) {
    RunUntil(now_ + seconds(1));
    if (owners_.back()->crashed) TakeOver();
    for (auto& [id, worker] : workers_) worker.ProgressAttempt(random_());
    if (all_tasks_ended()) return;
  }
}

RunReport Interleaving::BuildReport() {
  for (const TaskStatus& task :
       owners_.back()->table->List(CustomerId("c"), 10000)) {
    history_.push_back({Event::Type::kFinalState, task.key});
    history_.back().state = task.state;
    RecordStatus(task);
    if (task.state == TaskState::kDone) ++report_.done;
  }
  for (const TaskKey& key : refused_) {
    // A refusal applies to one call only; another call for the same task may
    // have been accepted.
    if (resubmitted_.contains(key)) continue;
    history_.push_back({Event::Type::kReportedNotRun, key});
  }
  report_.tasks = rules_.size();
  report_.violations = CheckInvariants(rules_, history_);
  report_.history = std::move(history_);
  return report_;
}

}  // namespace gypsumfall::testing
