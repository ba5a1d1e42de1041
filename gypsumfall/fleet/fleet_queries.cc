// Read-only views of the fleet, and why work can never be placed.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/fleet/internal/fleet_state.h"

namespace gypsumfall {
namespace {

constexpr std::size_t kHostsNamed = 5;

// One dimension of Resources, as an operator names it.
struct Dimension {
  std::string_view name;
  std::string_view unit;
  std::int64_t (*amount)(const Resources&);
};

constexpr Dimension kDimensions[] = {
    {"cpu", "m cpu", [](const Resources& all) { return all.cpu.value(); }},
    {"memory", " MiB memory",
     [](const Resources& all) { return all.memory.value(); }},
    {"accelerators", " accelerators",
     [](const Resources& all) { return all.accelerators.value(); }},
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

void FleetState::UpdateShapes() {
  shapes_.clear();
  for (const WorkerRecord& worker : workers_) {
    if (!worker.listed) continue;
    const auto shape =
        std::find_if(shapes_.begin(), shapes_.end(), [&](const Shape& each) {
          return each.capacity == worker.host.capacity;
        });
    if (shape == shapes_.end()) {
      shapes_.push_back({worker.host.capacity, {worker.host.id}});
    } else if (shape->hosts.size() < kHostsNamed) {
      shape->hosts.push_back(worker.host.id);
    }
  }
}

// Names the dimensions that the best host lacks: the one with the fewest
// shortages, and among those the largest.
std::optional<NeverFitsReason> FleetState::NeverFits(const Work& work) const {
  const Resources& needed = work.resources;
  if (shapes_.empty()) return std::nullopt;
  const auto shortages = [&](const Shape& shape) {
    return std::count_if(std::begin(kDimensions), std::end(kDimensions),
                         [&](const Dimension& dimension) {
                           return dimension.amount(needed) >
                                  dimension.amount(shape.capacity);
                         });
  };
  const auto best = std::min_element(
      shapes_.begin(), shapes_.end(), [&](const Shape& a, const Shape& b) {
        return std::tuple(shortages(a), -a.capacity.cpu.value(),
                          -a.capacity.memory.value()) <
               std::tuple(shortages(b), -b.capacity.cpu.value(),
                          -b.capacity.memory.value());
      });
  if (shortages(*best) == 0) return std::nullopt;
  NeverFitsReason reason;
  std::string asked;
  std::string allowed;
  for (const Dimension& dimension : kDimensions) {
    const std::int64_t amount = dimension.amount(needed);
    const std::int64_t limit = dimension.amount(best->capacity);
    if (amount <= limit) continue;
    const std::string_view separator = reason.limit.empty() ? "" : " and ";
    reason.limit += std::string(separator) + std::string(dimension.name);
    asked += std::string(separator) + std::to_string(amount) +
             std::string(dimension.unit);
    allowed += std::string(separator) + std::to_string(limit) +
               std::string(dimension.unit);
  }
  reason.would_fit = best->hosts;
  reason.text = "kind " + work.kind.str() + " asks for " + asked +
                ", which no host has; ask for at most " + allowed +
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
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return std::nullopt;
  return workers_[found->second].host.id;
}

std::optional<WorkerTime> FleetState::EarliestClock(const WorkerId& id,
                                                    Time now) const {
  const WorkerIndex index = IndexOf(id);
  if (index == kNoWorker || !workers_[index].reading) return std::nullopt;
  const ClockReading& reading = *workers_[index].reading;
  return reading.clock + (now - reading.received);
}

int FleetState::SpareSlots() const {
  int spare = 0;
  for (WorkerIndex index = 0; index < workers_.size(); ++index) {
    const WorkerRecord& worker = workers_[index];
    const PlacementView& view = views_[index];
    const bool usable = view.receives_until != Time() && !worker.silent &&
                        worker.health.healthy();
    if (usable) spare += view.request_slots;
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
