#include "gypsumfall/requests/internal/memory.h"

#include <cstddef>
#include <functional>
#include <utility>

namespace gypsumfall {

std::size_t CallerIdHash::operator()(const CallerId& caller) const noexcept {
  constexpr std::size_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  return std::hash<CustomerId>()(caller.customer) * kMultiplier +
         std::hash<RequestId>()(caller.id);
}

AnswerMemory::AnswerMemory(const RequestSettings& settings)
    : max_count_(settings.max_remembered),
      max_bytes_(settings.max_remembered_bytes) {}

void AnswerMemory::Add(const CallerId& caller, RememberedRequest request) {
  Forget(caller);
  const RequestKey key = request.key;
  (request.idempotent ? idempotent_ : others_).emplace_back(key, caller);
  if (!request.answer.result.empty()) with_result_.emplace_back(key, caller);
  bytes_ += request.answer.result.size();
  requests_.emplace(caller, std::move(request));
  while (requests_.size() > max_count_) ForgetOldest();
  while (bytes_ > max_bytes_) DropOldestResult();
}

const RememberedRequest* AnswerMemory::Find(const CallerId& caller) const {
  const auto at = requests_.find(caller);
  return at == requests_.end() ? nullptr : &at->second;
}

void AnswerMemory::Forget(const CallerId& caller) {
  const auto at = requests_.find(caller);
  if (at == requests_.end()) return;
  bytes_ -= at->second.answer.result.size();
  requests_.erase(at);
  Trim(idempotent_);
  Trim(others_);
  Trim(with_result_);
}

void AnswerMemory::Expire(Time now) {
  for (Order* order : {&idempotent_, &others_}) {
    for (Trim(*order); !order->empty(); Trim(*order)) {
      const CallerId caller = order->front().second;
      if (requests_.at(caller).expires > now) break;
      Forget(caller);
    }
  }
}

void AnswerMemory::ForgetOldest() {
  Trim(idempotent_);
  Trim(others_);
  const Order& order = idempotent_.empty() ? others_ : idempotent_;
  const CallerId caller = order.front().second;
  Forget(caller);
}

void AnswerMemory::DropOldestResult() {
  Trim(with_result_);
  const CallerId caller = with_result_.front().second;
  RememberedRequest& request = requests_.at(caller);
  ++results_dropped_;
  if (request.idempotent) {
    Forget(caller);
    return;
  }
  bytes_ -= request.answer.result.size();
  request.answer.result.clear();
  request.answer.result.shrink_to_fit();
  request.answer.error = ErrorKind::kNotFound;
  request.answer.detail = "the request ran; its result is no longer kept";
  with_result_.pop_front();
}

void AnswerMemory::Trim(Order& order) {
  while (!order.empty() && !Holds(order.front())) order.pop_front();
  // Entries forgotten out of order stay until here, at most as many as held.
  if (order.size() <= 2 * requests_.size() + 16) return;
  std::erase_if(order, [this](const auto& entry) { return !Holds(entry); });
}

bool AnswerMemory::Holds(const Order::value_type& entry) const {
  const auto at = requests_.find(entry.second);
  return at != requests_.end() && at->second.key == entry.first;
}

}  // namespace gypsumfall
