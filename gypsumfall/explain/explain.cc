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
  const auto sequence_numbers = by_subject_.find(decisions_.front().subject);
  sequence_numbers->second.pop_front();
  if (sequence_numbers->second.empty()) by_subject_.erase(sequence_numbers);
  decisions_.pop_front();
  ++dropped_;
}

std::vector<Decision> DecisionLog::Find(std::string_view subject) const {
  std::vector<Decision> found;
  const auto sequence_numbers = by_subject_.find(std::string(subject));
  if (sequence_numbers == by_subject_.end()) return found;
  for (const std::uint64_t sequence_number : sequence_numbers->second) {
    found.push_back(decisions_[sequence_number - dropped_]);
  }
  return found;
}

std::vector<Decision> DecisionLog::Newest(std::size_t limit) const {
  const std::size_t count = std::min(limit, decisions_.size());
  const auto last = decisions_.rbegin();
  return {last, last + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace gypsumfall
