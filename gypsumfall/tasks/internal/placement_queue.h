#ifndef GYPSUMFALL_TASKS_INTERNAL_PLACEMENT_QUEUE_H_
#define GYPSUMFALL_TASKS_INTERNAL_PLACEMENT_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "gypsumfall/base/base.h"
#include "gypsumfall/tasks/internal/task_types.h"

namespace gypsumfall {

/// Orders queued tasks by urgency, then arrival, and counts each customer's
/// running tasks against the limit. Entries of tasks that have been cancelled
/// stay until taken; the taker checks that an entry is still wanted.
class PlacementQueue {
 public:
  struct Entry {
    int urgency = 0;
    std::uint64_t arrival = 0;
    TaskKey key;

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  void Add(Entry entry) { ready_.insert(std::move(entry)); }
  /// Adds an entry that is not taken before `time`.
  void AddLater(Entry entry, Time time);

  /// Takes the first entry whose customer is below the limit, and counts it as
  /// running until `Release`.
  /// @param examine the most entries to look at; decreased by those looked at.
  std::optional<Entry> Take(Time now, std::size_t& examine);

  /// Counts a task as running that was not taken from the queue.
  void CountRunning(const CustomerId& customer) { ++running_[customer]; }
  /// Counts one running task less.
  void Release(const CustomerId& customer);

  /// @param running the most running tasks of the customer.
  void SetLimit(const CustomerId& customer, std::size_t running);

 private:
  void Unblock(const CustomerId& customer, std::size_t count);

  std::set<Entry> ready_;
  std::set<std::pair<Time, Entry>> later_;
  // Entries whose customers are at their limit.
  std::map<CustomerId, std::set<Entry>> blocked_;
  std::map<CustomerId, std::size_t> running_;
  std::map<CustomerId, std::size_t> limits_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_PLACEMENT_QUEUE_H_
