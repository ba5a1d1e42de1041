// FleetState: queries, and the explanation why work cannot be placed.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/fleet/internal/fleet_state.h"

namespace gypsumfall {
namespace {

constexpr std::size_t kMaxHostsListed = 5;

// A resource dimension with its display name and unit.
struct Dimension {
  std::string_view name;
  std::string_view unit;
  std::int64_t (*amount)(const Resources&);
};

constexpr Dimension kDimensions[] = {
    {"cpu", "m cpu",
     [](const Resources& amounts) { return amounts.cpu.value(); }},
    {"memory", " MiB memory",
     [](const Resources& amounts) { return amounts.memory.value(); }},
    {"accelerators", " accelerators",
     [](const Resources& amounts) { return amounts.accelerators.value(); }},
};

std::string HostNames(const std::vector<WorkerId>& hosts) {
  std::string names;
  for (const WorkerId& host : hosts) {
    if (!names.empty()) names += ", ";
    names += host.str();
  }
  return names;
}

}  // namespace

void FleetState::UpdateHostTypes() {
  host_types_.clear();
  for (const WorkerRecord& worker : workers_) {
    if (!worker.listed) continue;
    const auto host_type = std::find_if(
        host_types_.begin(), host_types_.end(), [&](const HostType& candidate) {
          return candidate.capacity == worker.host.capacity;
        });
    if (host_type == host_types_.end()) {
      host_types_.push_back({worker.host.capacity, {worker.host.id}});
    } else if (host_type->hosts.size() < kMaxHostsListed) {
      host_type->hosts.push_back(worker.host.id);
    }
  }
}

// Explains the shortage relative to the best host type: the one with the fewest
// insufficient dimensions, and among those the largest.
std::optional<NeverFitsReason> FleetState::NeverFits(
    const WorkSpec& work) const {
  const Resources& needed = work.resources;
  if (host_types_.empty()) return std::nullopt;
  const auto shortages = [&](const HostType& host_type) {
    return std::count_if(std::begin(kDimensions), std::end(kDimensions),
                         [&](const Dimension& dimension) {
                           return dimension.amount(needed) >
                                  dimension.amount(host_type.capacity);
                         });
  };
  const auto best = std::min_element(
      host_types_.begin(), host_types_.end(),
      [&](const HostType& a, const HostType& b) {
        return std::tuple(shortages(a), -a.capacity.cpu.value(),
                          -a.capacity.memory.value()) <
               std::tuple(shortages(b), -b.capacity.cpu.value(),
                          -b.capacity.memory.value());
      });
  if (shortages(*best) == 0) return std::nullopt;
  NeverFitsReason reason;
  std::string requested;
  std::string available;
  for (const Dimension& dimension : kDimensions) {
    const std::int64_t amount = dimension.amount(needed);
    const std::int64_t limit = dimension.amount(best->capacity);
    if (amount <= limit) continue;
    const std::string_view separator = reason.limit.empty() ? "" : " and ";
    reason.limit += std::string(separator) + std::string(dimension.name);
    requested += std::string(separator) + std::to_string(amount) +
                 std::string(dimension.unit);
    available += std::string(separator) + std::to_string(limit) +
                 std::string(dimension.unit);
  }
  reason.would_fit = best->hosts;
  reason.text = "kind " + work.kind.str() + " asks for " + requested +
                ", which no host has; ask for at most " + available +
                ", which fits on " + HostNames(best->hosts);
  return reason;
}

std::optional<Placement> FleetState::Header(const WorkerId& id,
                                            Time now) const {
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker || !workers_[index].owned) return std::nullopt;
  return PlacementOn(workers_[index], now);
}

std::optional<WorkerId> FleetState::WorkerOf(const AttemptId& attempt) const {
  const auto found = worker_by_attempt_.find(attempt);
  if (found == worker_by_attempt_.end()) return std::nullopt;
  return workers_[found->second].host.id;
}

std::optional<WorkerTime> FleetState::EarliestClock(const WorkerId& id,
                                                    Time now) const {
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker || !workers_[index].clock_reading) return std::nullopt;
  const ClockReading& clock_reading = *workers_[index].clock_reading;
  return clock_reading.clock + (now - clock_reading.received);
}

int FleetState::SpareSlots() const {
  int spare = 0;
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    const WorkerRecord& worker = workers_[index];
    const PlacementView& view = placement_views_[index];
    const bool usable = view.accepts_work_until != Time() &&
                        !worker.unresponsive && worker.health.healthy();
    if (usable) spare += view.spare_request_slots;
  }
  return spare;
}

std::optional<WorkerSnapshot> FleetState::Snapshot(const WorkerId& id) const {
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker) return std::nullopt;
  const WorkerRecord& worker = workers_[index];
  WorkerSnapshot snapshot;
  snapshot.owned = worker.owned;
  snapshot.epoch = worker.epoch;
  snapshot.incarnation = worker.incarnation;
  snapshot.leaving = worker.leaving || worker.host.leaving;
  snapshot.healthy = worker.health.healthy();
  snapshot.capacity = worker.ledger.capacity();
  snapshot.committed = worker.ledger.committed();
  snapshot.slots = worker.ledger.slots();
  snapshot.used_slots = worker.ledger.used_slots();
  snapshot.used_connections = worker.ledger.used_connections();
  return snapshot;
}

}  // namespace gypsumfall
