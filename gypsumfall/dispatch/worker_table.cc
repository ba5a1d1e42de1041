#include "gypsumfall/dispatch/internal/worker_table.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gypsumfall {

std::string_view OrderVerdictName(OrderVerdict verdict) {
  static constexpr std::array<std::string_view, 11> kNames = {
      "accepted",  "fenced",    "stale_run", "lease_over",
      "no_room",   "no_ticket", "refused",   "other_incarnation",
      "malformed", "not_sent",  "unanswered"};
  return kNames.at(static_cast<std::size_t>(verdict));
}

std::string_view RunEndName(RunOutcome end) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "done",         "failed",      "stopped",
      "lease_lapsed", "gang_broken", "gang_incomplete"};
  return kNames.at(static_cast<std::size_t>(end));
}

namespace dispatch_internal {

WorkerTime ClockNow(const Worker& worker, Time now) {
  if (!worker.clock) return WorkerTime{};
  return *worker.clock + (now - worker.clock_read_at);
}

Time LeaseEnd(const Worker& worker, Time predecessor_leases_end) {
  if (!worker.clock)
    return worker.recorded_lease_end.value_or(predecessor_leases_end);
  const Duration remaining =
      std::max(Duration{0}, worker.lease_until - *worker.clock);
  const Duration longest(static_cast<std::int64_t>(
      static_cast<double>(remaining.count()) / kMinWorkerClockRate));
  return worker.clock_read_at + longest + kLeaseSlack;
}

bool IsUnresponsive(const Worker& worker, Time now) {
  if (worker.unanswered_calls > 0) return true;
  return worker.lease_call_in_flight &&
         now > worker.lease_reply_due + kUnresponsiveTimeout;
}

bool HasCurrentEntry(const Worker& worker) {
  // An entry that names no incarnation may be of any former one.
  if (!worker.entry.incarnation) return !worker.restarted;
  return worker.incarnation == WallTime{0} ||
         *worker.entry.incarnation == worker.incarnation;
}

bool IsLateEntry(const Worker& worker, const WorkerEntry& received) {
  if (!received.incarnation || !worker.entry.incarnation) return false;
  // The wall clock of the worker's machine may have been set back. An entry
  // that seems to be older then counts if the known one is outdated, or if the
  // worker does not answer, perhaps because it has another address.
  return *received.incarnation < *worker.entry.incarnation &&
         !worker.entry_outdated && worker.unanswered_calls == 0;
}

bool IsIdleAndLeaving(const Worker& worker) {
  const bool leaving = worker.unlisted || worker.entry.draining;
  return leaving && worker.fenced && worker.lists_all_completions &&
         worker.runs.empty() && worker.unexpected_runs.empty() &&
         worker.pending_completions.empty();
}

Resources FreeResources(const Worker& worker) {
  return worker.entry.capacity - worker.used - worker.reserved;
}

Resources FreeResourcesFor(const Worker& worker, int priority) {
  Resources free = FreeResources(worker);
  for (const auto& [task, reservation] : worker.reservations) {
    if (reservation.priority > priority) free += reservation.need;
  }
  return free;
}

void Reserve(Worker& worker, const TaskName& task, Reservation reservation) {
  ReleaseReservation(worker, task);
  worker.reserved += reservation.need;
  worker.reservations.emplace(task, reservation);
}

void ReleaseReservation(Worker& worker, const TaskName& task) {
  const auto found = worker.reservations.find(task);
  if (found == worker.reservations.end()) return;
  worker.reserved -= found->second.need;
  worker.reservations.erase(found);
}

void UpdateBestEffortDemand(Worker& worker) {
  worker.best_effort_demand = 0;
  for (const auto& [task, run] : worker.runs) {
    worker.best_effort_demand +=
        static_cast<double>(run.best_effort_cpu.value()) * run.target_percent /
        100;
  }
}

void Bind(Worker& worker, const TaskName& task, Run run) {
  if (run.best_effort) {
    run.best_effort_cpu = std::exchange(run.need.cpu, MilliCores(0));
  }
  if (run.long_running) worker.used_by_long_running += run.need;
  worker.used += run.need;
  const bool best_effort = run.best_effort;
  worker.runs.insert_or_assign(task, run);
  if (best_effort) UpdateBestEffortDemand(worker);
}

void Unbind(Worker& worker, const TaskName& task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end()) return;
  const Run& run = found->second;
  worker.used -= run.need;
  if (run.long_running) worker.used_by_long_running -= run.need;
  const bool best_effort = run.best_effort;
  worker.runs.erase(found);
  if (best_effort) UpdateBestEffortDemand(worker);
}

Worker& WorkerTable::FindOrAdd(const WorkerId& id) {
  Worker& worker = workers_[id];
  worker.entry.id = id;
  return worker;
}

const Worker* WorkerTable::Find(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

Worker* WorkerTable::Find(const WorkerId& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

}  // namespace dispatch_internal
}  // namespace gypsumfall
