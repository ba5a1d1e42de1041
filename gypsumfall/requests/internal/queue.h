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

/// Requests that the fleet had no room for, earliest deadline first.
class BlockedQueue {
 public:
  void Add(RequestKey key, Time deadline, const Resources& resources);
  void Remove(RequestKey key, Time deadline, const Resources& resources);

  /// @return whether a waiting request would fit wherever one with these
  ///   resources fits, so that a new one has to queue behind it.
  bool HoldsBack(const Resources& resources) const;
  /// @return at most `count` keys, earliest deadline first.
  std::vector<RequestKey> First(std::size_t count) const;
  std::size_t size() const { return order_.size(); }

 private:
  struct LessResources {
    bool operator()(const Resources& a, const Resources& b) const;
  };

  std::set<std::pair<Time, RequestKey>> order_;
  /// How many waiting requests need each amount; kinds make these few.
  std::map<Resources, std::size_t, LessResources> amounts_;
};

/// Counts per customer; absent means zero.
class CustomerCounts {
 public:
  void Add(const CustomerId& customer) { ++counts_[customer]; }
  void Remove(const CustomerId& customer);
  std::size_t of(const CustomerId& customer) const;

 private:
  std::unordered_map<CustomerId, std::size_t> counts_;
};

/// Things that are due at a time.
template <typename Id>
class Timetable {
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
