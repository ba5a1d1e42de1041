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
  if (order_.emplace(deadline, key).second) ++amounts_[resources];
}

void BlockedQueue::Remove(RequestKey key, Time deadline,
                          const Resources& resources) {
  if (order_.erase({deadline, key}) == 0) return;
  const auto amount = amounts_.find(resources);
  if (--amount->second == 0) amounts_.erase(amount);
}

bool BlockedQueue::HoldsBack(const Resources& resources) const {
  for (const auto& [amount, count] : amounts_) {
    if (amount.FitsIn(resources)) return true;
  }
  return false;
}

std::vector<RequestKey> BlockedQueue::First(std::size_t count) const {
  std::vector<RequestKey> keys;
  for (const auto& [deadline, key] : order_) {
    if (keys.size() >= count) break;
    keys.push_back(key);
  }
  return keys;
}

void CustomerCounts::Remove(const CustomerId& customer) {
  const auto at = counts_.find(customer);
  if (--at->second == 0) counts_.erase(at);
}

std::size_t CustomerCounts::of(const CustomerId& customer) const {
  const auto at = counts_.find(customer);
  return at == counts_.end() ? 0 : at->second;
}

}  // namespace gypsumfall
