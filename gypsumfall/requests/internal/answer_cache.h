#ifndef GYPSUMFALL_REQUESTS_INTERNAL_ANSWER_CACHE_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_ANSWER_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "gypsumfall/base/base.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall {

/// Identifies a request by its customer and the id that the caller chose.
struct CallerId {
  CustomerId customer;
  RequestId id;

  friend bool operator==(const CallerId&, const CallerId&) = default;
};

struct CallerIdHash {
  std::size_t operator()(const CallerId& caller) const noexcept;
};

/// An answered request that has no unresolved exchange.
struct CachedRequest {
  RequestKey key;
  std::uint64_t content_hash = 0;
  bool idempotent = false;
  CallerAnswer answer;
  Time expires;
};

/// Cache of answered requests, bounded by time, count and bytes of results.
/// Idempotent requests are evicted first, because running them again is
/// harmless.
class AnswerCache {
 public:
  explicit AnswerCache(const RequestSettings& settings);

  void Add(const CallerId& caller, CachedRequest request);
  const CachedRequest* Find(const CallerId& caller) const;
  void Erase(const CallerId& caller);
  /// Removes expired entries.
  void RemoveExpired(Time now);

  std::size_t size() const { return requests_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t results_dropped() const { return results_dropped_; }

 private:
  using Order = std::deque<std::pair<RequestKey, CallerId>>;

  void EvictOldest();
  void DropOldestResult();
  /// Removes the entries of `order` whose requests were removed or replaced.
  void RemoveStale(Order& order);
  bool IsCurrent(const Order::value_type& entry) const;

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::uint64_t results_dropped_ = 0;
  std::unordered_map<CallerId, CachedRequest, CallerIdHash> requests_;
  Order idempotent_;
  Order not_idempotent_;
  Order with_result_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_ANSWER_CACHE_H_
