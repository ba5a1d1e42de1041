#ifndef GYPSUMFALL_REQUESTS_INTERNAL_MEMORY_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "gypsumfall/base/base.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall {

/// A request as its caller names it.
struct CallerId {
  CustomerId customer;
  RequestId id;

  friend bool operator==(const CallerId&, const CallerId&) = default;
};

struct CallerIdHash {
  std::size_t operator()(const CallerId& caller) const noexcept;
};

/// An answered request without anything left to do.
struct RememberedRequest {
  RequestKey key;
  std::uint64_t content_hash = 0;
  bool idempotent = false;
  CallerAnswer answer;
  Time expires;
};

/// Answered requests, bounded by time, count and bytes of results. Idempotent
/// requests are forgotten first, because running them again does no harm.
class AnswerMemory {
 public:
  explicit AnswerMemory(const RequestSettings& settings);

  void Add(const CallerId& caller, RememberedRequest request);
  const RememberedRequest* Find(const CallerId& caller) const;
  void Forget(const CallerId& caller);
  /// Forgets what has expired.
  void Expire(Time now);

  std::size_t size() const { return requests_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t results_dropped() const { return results_dropped_; }

 private:
  using Order = std::deque<std::pair<RequestKey, CallerId>>;

  void ForgetOldest();
  void DropOldestResult();
  /// Removes the entries of an order that were forgotten or replaced.
  void Trim(Order& order);
  bool Holds(const Order::value_type& entry) const;

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::uint64_t results_dropped_ = 0;
  std::unordered_map<CallerId, RememberedRequest, CallerIdHash> requests_;
  Order idempotent_;
  Order others_;
  Order with_result_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_MEMORY_H_
