#include "gypsumfall/fleet/internal/worker_ledger.h"

#include <algorithm>
#include <utility>

namespace gypsumfall {
namespace {

// Connections of a worker that are kept for heartbeats, starts and stops.
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
  return std::clamp(slots_ - urgent_slots - attempt_slots_, 0, spare);
}

bool WorkerLedger::HasRoom(const Resources& resources, bool urgent,
                           int urgent_slots) const {
  return SpareSlots(urgent, urgent_slots) > 0 &&
         (committed_ + resources).FitsIn(capacity_);
}

void WorkerLedger::Hold(const Work& work, WorkerTime placed_at) {
  const MilliCores cpu = work.resources.cpu;
  committed_ += work.resources;
  ++used_slots_;
  if (placed_at <= measured_at_) return;
  unreported_cpu_ = MilliCores(unreported_cpu_.value() + cpu.value());
}

void WorkerLedger::Free(const Work& work, WorkerTime placed_at) {
  const MilliCores cpu = work.resources.cpu;
  committed_ -= work.resources;
  --used_slots_;
  if (placed_at <= measured_at_) return;
  unreported_cpu_ = MilliCores(unreported_cpu_.value() - cpu.value());
}

void WorkerLedger::SetMeasuredAt(WorkerTime time) {
  measured_at_ = time;
  std::int64_t cpu = 0;
  for (const auto& [id, held] : exchanges_) {
    if (held.placed_at > time) cpu += held.work.resources.cpu.value();
  }
  for (const auto& [id, held] : attempts_) {
    const bool counts =
        held.placed_at > time && held.phase != AttemptPhase::kEnded;
    if (counts) cpu += held.work.resources.cpu.value();
  }
  unreported_cpu_ = MilliCores(cpu);
}

void WorkerLedger::AddExchange(const ExchangeId& id, HeldExchange held) {
  const auto [entry, added] = exchanges_.emplace(id, std::move(held));
  if (added) Hold(entry->second.work, entry->second.placed_at);
}

bool WorkerLedger::RemoveExchange(const ExchangeId& id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return false;
  Free(found->second.work, found->second.placed_at);
  exchanges_.erase(found);
  return true;
}

void WorkerLedger::AddAttempt(const AttemptId& id, HeldAttempt held) {
  const bool holds_room = held.phase != AttemptPhase::kEnded;
  const auto [entry, added] = attempts_.emplace(id, std::move(held));
  if (!added || !holds_room) return;
  Hold(entry->second.work, entry->second.placed_at);
  ++attempt_slots_;
}

void WorkerLedger::EndAttempt(const AttemptId& id, Time now) {
  HeldAttempt* held = FindAttempt(id);
  if (held == nullptr || held->phase == AttemptPhase::kEnded) return;
  Free(held->work, held->placed_at);
  --attempt_slots_;
  held->phase = AttemptPhase::kEnded;
  held->since = now;
}

bool WorkerLedger::RemoveAttempt(const AttemptId& id) {
  if (!attempts_.contains(id)) return false;
  EndAttempt(id, Time());
  attempts_.erase(id);
  return true;
}

HeldExchange* WorkerLedger::FindExchange(const ExchangeId& id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : &found->second;
}

HeldAttempt* WorkerLedger::FindAttempt(const AttemptId& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

}  // namespace gypsumfall
