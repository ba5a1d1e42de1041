#include "gypsumfall/explain/explain.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {

DecisionLog::DecisionLog(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1)) {}

void DecisionLog::Add(Decision decision) {
  if (decisions_.size() == capacity_) DropOldest();
  by_subject_[decision.subject].push_back(dropped_ + decisions_.size());
  decisions_.push_back(std::move(decision));
}

void DecisionLog::DropOldest() {
  const auto positions = by_subject_.find(decisions_.front().subject);
  positions->second.pop_front();
  if (positions->second.empty()) by_subject_.erase(positions);
  decisions_.pop_front();
  ++dropped_;
}

std::vector<Decision> DecisionLog::Find(std::string_view subject) const {
  std::vector<Decision> found;
  const auto positions = by_subject_.find(std::string(subject));
  if (positions == by_subject_.end()) return found;
  for (const std::uint64_t position : positions->second) {
    found.push_back(decisions_[position - dropped_]);
  }
  return found;
}

std::vector<Decision> DecisionLog::Newest(std::size_t limit) const {
  const std::size_t count = std::min(limit, decisions_.size());
  const auto last = decisions_.rbegin();
  return {last, last + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace gypsumfall
