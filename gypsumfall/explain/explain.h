#ifndef GYPSUMFALL_EXPLAIN_EXPLAIN_H_
#define GYPSUMFALL_EXPLAIN_EXPLAIN_H_

/// @file
/// Bounded in-memory log of recent scheduling decisions and their reasons. It
/// answers operators who ask why something happened to a task, worker,
/// partition or contract.
///
/// Example:
/// @code
///   DecisionLog log(10000);
///   log.Add({now, "task/acme/17", "queued", "no spare slot", host});
///   std::vector<Decision> decisions = log.Find("task/acme/17");
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

/// A decision about one subject and the reason for it.
struct Decision {
  Time time;
  /// The object that the decision concerns, such as "task/<customer>/<id>".
  std::string subject;
  /// The outcome, such as "queued".
  std::string what;
  /// The reason for the outcome.
  std::string reason;
  /// The entry host that made the decision.
  EntryHostId host;
};

/// Ring buffer of the newest decisions, indexed by subject.
class DecisionLog {
 public:
  /// @param capacity maximum number of decisions kept; 0 counts as 1.
  explicit DecisionLog(std::size_t capacity);

  /// Adds a decision; drops the oldest one if the log is full.
  void Add(Decision decision);

  /// @return the kept decisions about a subject, oldest first.
  std::vector<Decision> Find(std::string_view subject) const;
  /// @param limit maximum number of decisions returned.
  /// @return the newest decisions on all subjects, newest first.
  std::vector<Decision> Newest(std::size_t limit) const;

  std::size_t size() const { return decisions_.size(); }
  /// @return the number of decisions dropped since construction.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void DropOldest();

  std::size_t capacity_;
  std::uint64_t dropped_ = 0;
  std::deque<Decision> decisions_;
  // Sequence numbers of the kept decisions by subject, counted from 0 for the
  // first decision ever added.
  std::unordered_map<std::string, std::deque<std::uint64_t>> by_subject_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_EXPLAIN_EXPLAIN_H_
