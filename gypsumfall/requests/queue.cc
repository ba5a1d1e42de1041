#include "gypsumfall/requests/internal/queue.h"

#include <cstddef>
#include <tuple>
#include <vector>

namespace gypsumfall {

bool BlockedQueue::LessResources::operator()(const Resources& a,
                                             const Resources& b) const {
  return std::tie(a.cpu, a.memory, a.accelerators) <
         std::tie(b.cpu, b.memory, b.accelerators);
}

void BlockedQueue::Add(RequestKey key, Time deadline,
                       const Resources& resources) {
  if (by_deadline_.emplace(deadline, key).second)
    ++count_by_resources_[resources];
}

void BlockedQueue::Remove(RequestKey key, Time deadline,
                          const Resources& resources) {
  if (by_deadline_.erase({deadline, key}) == 0) return;
  const auto amount = count_by_resources_.find(resources);
  if (--amount->second == 0) count_by_resources_.erase(amount);
}

bool BlockedQueue::MustQueue(const Resources& resources) const {
  for (const auto& [amount, count] : count_by_resources_) {
    if (amount.FitsIn(resources)) return true;
  }
  return false;
}

std::vector<RequestKey> BlockedQueue::First(std::size_t count) const {
  std::vector<RequestKey> keys;
  for (const auto& [deadline, key] : by_deadline_) {
    if (keys.size() >= count) break;
    keys.push_back(key);
  }
  return keys;
}

void CustomerCounts::Remove(const CustomerId& customer) {
  const auto it = counts_.find(customer);
  if (--it->second == 0) counts_.erase(it);
}

std::size_t CustomerCounts::Count(const CustomerId& customer) const {
  const auto it = counts_.find(customer);
  return it == counts_.end() ? 0 : it->second;
}

}  // namespace gypsumfall
