#ifndef GYPSUMFALL_JOURNAL_INTERNAL_WRITE_BUDGET_H_
#define GYPSUMFALL_JOURNAL_INTERNAL_WRITE_BUDGET_H_

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Rate limiter for the row writes of all journals of one host. Rows are
/// granted in the order of the `Reserve` calls, spaced evenly.
class WriteBudget {
 public:
  /// @param rows_per_second the host's rate; values below 1 count as 1.
  explicit WriteBudget(double rows_per_second);

  /// Changes the rate, for instance when the number of live hosts changes.
  void SetRate(double rows_per_second);

  /// Takes one row from the budget.
  /// @return the time at which the row may be written, not before `now`.
  Time Reserve(Time now);

  /// @return the time between two rows at the current rate.
  Duration interval() const { return interval_; }

 private:
  Duration interval_;
  Time next_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOURNAL_INTERNAL_WRITE_BUDGET_H_
