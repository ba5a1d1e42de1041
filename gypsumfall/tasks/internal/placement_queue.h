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
/// running tasks against the limit. Entries of cancelled tasks stay until
/// taken; the caller of `Take` checks that the task is still queued.
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
  void AddDelayed(Entry entry, Time time);

  /// Takes the first entry whose customer is below the limit, and counts it as
  /// running until `Release`.
  /// @param examine maximum number of entries to examine; decreased by the
  ///     number examined.
  std::optional<Entry> Take(Time now, std::size_t& examine);

  /// Counts a running task that was not taken from the queue, such as one
  /// adopted at a takeover.
  void CountRunning(const CustomerId& customer) { ++running_[customer]; }
  /// Removes one task from the customer's running count.
  void Release(const CustomerId& customer);

  /// @param running the customer's maximum number of running tasks.
  void SetLimit(const CustomerId& customer, std::size_t running);

 private:
  void Unblock(const CustomerId& customer, std::size_t count);

  std::set<Entry> ready_;
  std::set<std::pair<Time, Entry>> delayed_;
  // Entries whose customers are at their limit.
  std::map<CustomerId, std::set<Entry>> blocked_;
  std::map<CustomerId, std::size_t> running_;
  std::map<CustomerId, std::size_t> limits_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TASKS_INTERNAL_PLACEMENT_QUEUE_H_
