#ifndef GYPSUMFALL_REQUESTS_INTERNAL_QUEUE_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_QUEUE_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall {

/// Requests that the fleet had no capacity for, earliest deadline first.
class BlockedQueue {
 public:
  void Add(RequestKey key, Time deadline, const Resources& resources);
  void Remove(RequestKey key, Time deadline, const Resources& resources);

  /// @return whether some waiting request fits wherever one with these
  ///   resources fits, so that a new request must queue behind it.
  bool MustQueue(const Resources& resources) const;
  /// @return at most `count` keys, earliest deadline first.
  std::vector<RequestKey> First(std::size_t count) const;
  std::size_t size() const { return by_deadline_.size(); }

 private:
  struct LessResources {
    bool operator()(const Resources& a, const Resources& b) const;
  };

  std::set<std::pair<Time, RequestKey>> by_deadline_;
  /// Number of waiting requests per amount of resources. Contracts define few
  /// kinds, so the map stays small.
  std::map<Resources, std::size_t, LessResources> count_by_resources_;
};

/// Counts per customer; absent means zero.
class CustomerCounts {
 public:
  void Add(const CustomerId& customer) { ++counts_[customer]; }
  void Remove(const CustomerId& customer);
  std::size_t Count(const CustomerId& customer) const;

 private:
  std::unordered_map<CustomerId, std::size_t> counts_;
};

/// Ids ordered by due time.
template <typename Id>
class TimerQueue {
 public:
  void Add(Time at, const Id& id) { entries_.emplace(at, id); }
  void Remove(Time at, const Id& id) { entries_.erase({at, id}); }
  /// @return the earliest id that is due, removed from the timetable.
  std::optional<Id> PopDue(Time now) {
    if (entries_.empty() || entries_.begin()->first > now) return std::nullopt;
    Id id = entries_.begin()->second;
    entries_.erase(entries_.begin());
    return id;
  }
  std::optional<Time> earliest() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first;
  }

 private:
  std::set<std::pair<Time, Id>> entries_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_QUEUE_H_
