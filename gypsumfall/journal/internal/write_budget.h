#ifndef GYPSUMFALL_JOURNAL_INTERNAL_WRITE_BUDGET_H_
#define GYPSUMFALL_JOURNAL_INTERNAL_WRITE_BUDGET_H_

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Spaces the row writes of all journals of one host so that together they
/// stay within a rate. Journals are served in the order in which they ask.
class WriteBudget {
 public:
  /// @param rows_per_second the rate of this host; values below 1 count as 1.
  explicit WriteBudget(double rows_per_second);

  /// Changes the rate, for instance when the number of live hosts changes.
  void SetRate(double rows_per_second);

  /// Takes one row from the budget.
  /// @return the time at which the row may be written, not before `now`.
  Time Reserve(Time now);

  /// @return the spacing of rows at the present rate.
  Duration interval() const { return interval_; }

 private:
  Duration interval_;
  Time next_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOURNAL_INTERNAL_WRITE_BUDGET_H_
