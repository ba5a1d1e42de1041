#include "gypsumfall/tasks/internal/placement_queue.h"

#include <cstddef>
#include <optional>
#include <utility>

namespace gypsumfall {

void PlacementQueue::AddDelayed(Entry entry, Time time) {
  delayed_.emplace(time, std::move(entry));
}

std::optional<PlacementQueue::Entry> PlacementQueue::Take(
    Time now, std::size_t& examine) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    ready_.insert(delayed_.extract(delayed_.begin()).value().second);
  }
  while (!ready_.empty() && examine > 0) {
    --examine;
    Entry entry = std::move(ready_.extract(ready_.begin()).value());
    const CustomerId& customer = entry.key.customer;
    const auto limit = limits_.find(customer);
    if (limit != limits_.end() && running_[customer] >= limit->second) {
      blocked_[customer].insert(std::move(entry));
      continue;
    }
    ++running_[customer];
    return entry;
  }
  return std::nullopt;
}

void PlacementQueue::Release(const CustomerId& customer) {
  const auto running = running_.find(customer);
  if (running != running_.end() && --running->second == 0) {
    running_.erase(running);
  }
  Unblock(customer, 1);
}

void PlacementQueue::SetLimit(const CustomerId& customer, std::size_t running) {
  const auto [limit, added] = limits_.try_emplace(customer, running);
  if (!added && running > limit->second) {
    Unblock(customer, running - limit->second);
  }
  limit->second = running;
}

void PlacementQueue::Unblock(const CustomerId& customer, std::size_t count) {
  const auto blocked = blocked_.find(customer);
  if (blocked == blocked_.end()) return;
  std::set<Entry>& entries = blocked->second;
  for (; count > 0 && !entries.empty(); --count) {
    ready_.insert(entries.extract(entries.begin()));
  }
  if (entries.empty()) blocked_.erase(blocked);
}

}  // namespace gypsumfall
