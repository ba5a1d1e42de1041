#ifndef GYPSUMFALL_EXPLAIN_EXPLAIN_H_
#define GYPSUMFALL_EXPLAIN_EXPLAIN_H_

/// @file
/// Bounded buffer of recent decisions with their reasons, for operators who ask
/// why something happened to a task, worker, partition or contract.
///
/// Example:
/// @code
///   DecisionLog log(10000);
///   log.Add({now, "task/acme/17", "queued", "no worker has a spare slot",
///   id}); std::vector<Decision> why = log.Find("task/acme/17");
/// @endcode

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// One decision and the reason for it.
struct Decision {
  Time time;
  /// What the decision is about, such as "task/<customer>/<id>".
  std::string subject;
  std::string what;
  std::string why;
  /// The entry host that decided.
  EntryHostId host;
};

/// Keeps the newest decisions up to a fixed count.
class DecisionLog {
 public:
  /// @param capacity the largest number of decisions kept; at least 1.
  explicit DecisionLog(std::size_t capacity);

  /// Adds a decision; the oldest one is dropped if the buffer is full.
  void Add(Decision decision);

  /// @return the kept decisions about a subject, oldest first.
  std::vector<Decision> Find(std::string_view subject) const;
  /// @param limit the largest number of decisions returned.
  /// @return the newest decisions over all subjects, newest first.
  std::vector<Decision> Newest(std::size_t limit) const;

  std::size_t size() const { return decisions_.size(); }
  /// @return how many decisions were dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void DropOldest();

  std::size_t capacity_;
  std::uint64_t dropped_ = 0;
  std::deque<Decision> decisions_;
  // Per subject the positions of its decisions, counted from the first ever.
  std::unordered_map<std::string, std::deque<std::uint64_t>> by_subject_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_EXPLAIN_EXPLAIN_H_
