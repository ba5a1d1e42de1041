#include "gypsumfall/evacuation/evacuation.h"

#include <algorithm>

namespace gypsumfall {
namespace {

// Number of different times at which the workers of a data centre return.
constexpr std::int64_t kReturnSlots = 4096;

// Returns the slot of the worker, which is the same on all hosts.
std::int64_t ReturnSlotOf(const WorkerId& worker) {
  return static_cast<std::int64_t>(StableHash(worker.str()) %
                                   static_cast<std::uint64_t>(kReturnSlots));
}

}  // namespace

std::vector<EvacuationChange> EvacuationSet::Replace(
    const std::set<DataCentreId>& closed, Time now) {
  std::vector<EvacuationChange> changes;
  for (const DataCentreId& data_centre : std::set<DataCentreId>(closed_)) {
    if (!closed.contains(data_centre) && Reopen(data_centre, now))
      changes.push_back({data_centre, false});
  }
  for (const DataCentreId& data_centre : closed) {
    if (Close(data_centre)) changes.push_back({data_centre, true});
  }
  return changes;
}

bool EvacuationSet::Close(const DataCentreId& data_centre) {
  opened_at_.erase(data_centre);
  return closed_.insert(data_centre).second;
}

bool EvacuationSet::Reopen(const DataCentreId& data_centre, Time now) {
  if (closed_.erase(data_centre) == 0) return false;
  opened_at_.insert_or_assign(data_centre, now);
  return true;
}

void EvacuationSet::Confirm(Time known_at) {
  known_at_ = std::max(known_at_.value_or(known_at), known_at);
  std::erase_if(opened_at_, [&](const auto& entry) {
    return entry.second + terms_.return_time <= *known_at_;
  });
}

OpenPeriod EvacuationSet::OpenPeriodOf(const WorkerId& worker,
                                       const DataCentreId& data_centre) const {
  OpenPeriod period{.until = KnownUntil()};
  if (closed_.contains(data_centre)) {
    period.from = Time::max();
  } else if (const auto opened = opened_at_.find(data_centre);
             opened != opened_at_.end()) {
    period.from = opened->second +
                  terms_.return_time * ReturnSlotOf(worker) / kReturnSlots;
  }
  return period;
}

}  // namespace gypsumfall
