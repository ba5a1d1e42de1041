#include "gypsumfall/requests/internal/answer_cache.h"

#include <cstddef>
#include <functional>
#include <utility>

namespace gypsumfall {

std::size_t CallerIdHash::operator()(const CallerId& caller) const noexcept {
  constexpr std::size_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  return std::hash<CustomerId>()(caller.customer) * kMultiplier +
         std::hash<RequestId>()(caller.id);
}

AnswerCache::AnswerCache(const RequestSettings& settings)
    : max_count_(settings.max_cached_answers),
      max_bytes_(settings.max_cached_result_bytes) {}

void AnswerCache::Add(const CallerId& caller, CachedRequest request) {
  Erase(caller);
  const RequestKey key = request.key;
  (request.idempotent ? idempotent_ : not_idempotent_)
      .emplace_back(key, caller);
  if (!request.answer.result.empty()) with_result_.emplace_back(key, caller);
  bytes_ += request.answer.result.size();
  requests_.emplace(caller, std::move(request));
  while (requests_.size() > max_count_) EvictOldest();
  while (bytes_ > max_bytes_) DropOldestResult();
}

const CachedRequest* AnswerCache::Find(const CallerId& caller) const {
  const auto it = requests_.find(caller);
  return it == requests_.end() ? nullptr : &it->second;
}

void AnswerCache::Erase(const CallerId& caller) {
  const auto it = requests_.find(caller);
  if (it == requests_.end()) return;
  bytes_ -= it->second.answer.result.size();
  requests_.erase(it);
  RemoveStale(idempotent_);
  RemoveStale(not_idempotent_);
  RemoveStale(with_result_);
}

void AnswerCache::RemoveExpired(Time now) {
  for (Order* order : {&idempotent_, &not_idempotent_}) {
    for (RemoveStale(*order); !order->empty(); RemoveStale(*order)) {
      const CallerId caller = order->front().second;
      if (requests_.at(caller).expires > now) break;
      Erase(caller);
    }
  }
}

void AnswerCache::EvictOldest() {
  RemoveStale(idempotent_);
  RemoveStale(not_idempotent_);
  const Order& order = idempotent_.empty() ? not_idempotent_ : idempotent_;
  const CallerId caller = order.front().second;
  Erase(caller);
}

void AnswerCache::DropOldestResult() {
  RemoveStale(with_result_);
  const CallerId caller = with_result_.front().second;
  CachedRequest& request = requests_.at(caller);
  ++results_dropped_;
  if (request.idempotent) {
    Erase(caller);
    return;
  }
  bytes_ -= request.answer.result.size();
  request.answer.result.clear();
  request.answer.result.shrink_to_fit();
  request.answer.error = ErrorKind::kNotFound;
  request.answer.detail = "the request ran; its result is no longer kept";
  with_result_.pop_front();
}

void AnswerCache::RemoveStale(Order& order) {
  while (!order.empty() && !IsCurrent(order.front())) order.pop_front();
  // Entries removed out of order stay in the queue until they exceed the cached
  // requests in number, plus a small constant.
  if (order.size() <= 2 * requests_.size() + 16) return;
  std::erase_if(order, [this](const auto& entry) { return !IsCurrent(entry); });
}

bool AnswerCache::IsCurrent(const Order::value_type& entry) const {
  const auto it = requests_.find(entry.second);
  return it != requests_.end() && it->second.key == entry.first;
}

}  // namespace gypsumfall
