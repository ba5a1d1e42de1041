#include "gypsumfall/fleet/internal/worker_ledger.h"

#include <algorithm>
#include <utility>

namespace gypsumfall {
namespace {

// Connections of a worker that are reserved for heartbeats, starts and stops.
constexpr int kControlConnections = 4;

}  // namespace

void WorkerLedger::Reset(const Resources& capacity, int slots,
                         int connections) {
  *this = WorkerLedger();
  capacity_ = capacity;
  slots_ = slots;
  connections_ = connections;
}

int WorkerLedger::SpareSlots(bool urgent, int urgent_slots) const {
  const int spare = std::max(0, slots_ - used_slots_);
  if (urgent) {
    const int spare_connections =
        connections_ - kControlConnections - used_connections();
    return std::clamp(spare_connections, 0, spare);
  }
  return std::clamp(slots_ - urgent_slots - used_attempt_slots_, 0, spare);
}

bool WorkerLedger::HasCapacity(const Resources& resources, bool urgent,
                               int urgent_slots) const {
  return SpareSlots(urgent, urgent_slots) > 0 &&
         (committed_ + resources).FitsIn(capacity_);
}

void WorkerLedger::Commit(const WorkSpec& work, WorkerTime placed_at) {
  const MilliCores cpu = work.resources.cpu;
  committed_ += work.resources;
  ++used_slots_;
  if (placed_at <= measured_at_) return;
  unreported_cpu_ = MilliCores(unreported_cpu_.value() + cpu.value());
}

void WorkerLedger::Release(const WorkSpec& work, WorkerTime placed_at) {
  const MilliCores cpu = work.resources.cpu;
  committed_ -= work.resources;
  --used_slots_;
  if (placed_at <= measured_at_) return;
  unreported_cpu_ = MilliCores(unreported_cpu_.value() - cpu.value());
}

void WorkerLedger::SetMeasuredAt(WorkerTime time) {
  measured_at_ = time;
  std::int64_t cpu = 0;
  for (const auto& [id, entry] : exchanges_) {
    if (entry.placed_at > time) cpu += entry.work.resources.cpu.value();
  }
  for (const auto& [id, entry] : attempts_) {
    const bool counts =
        entry.placed_at > time && entry.phase != AttemptPhase::kEnded;
    if (counts) cpu += entry.work.resources.cpu.value();
  }
  unreported_cpu_ = MilliCores(cpu);
}

void WorkerLedger::AddExchange(const ExchangeId& id, ExchangeEntry entry) {
  const auto [it, inserted] = exchanges_.emplace(id, std::move(entry));
  if (inserted) Commit(it->second.work, it->second.placed_at);
}

bool WorkerLedger::RemoveExchange(const ExchangeId& id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return false;
  Release(found->second.work, found->second.placed_at);
  exchanges_.erase(found);
  return true;
}

void WorkerLedger::AddAttempt(const AttemptId& id, AttemptEntry entry) {
  const bool holds_capacity = entry.phase != AttemptPhase::kEnded;
  const auto [it, inserted] = attempts_.emplace(id, std::move(entry));
  if (!inserted || !holds_capacity) return;
  Commit(it->second.work, it->second.placed_at);
  ++used_attempt_slots_;
}

void WorkerLedger::EndAttempt(const AttemptId& id, Time now) {
  AttemptEntry* entry = FindAttempt(id);
  if (entry == nullptr || entry->phase == AttemptPhase::kEnded) return;
  Release(entry->work, entry->placed_at);
  --used_attempt_slots_;
  entry->phase = AttemptPhase::kEnded;
  entry->phase_since = now;
}

bool WorkerLedger::RemoveAttempt(const AttemptId& id) {
  if (!attempts_.contains(id)) return false;
  EndAttempt(id, Time());
  attempts_.erase(id);
  return true;
}

ExchangeEntry* WorkerLedger::FindExchange(const ExchangeId& id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : &found->second;
}

AttemptEntry* WorkerLedger::FindAttempt(const AttemptId& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

}  // namespace gypsumfall
