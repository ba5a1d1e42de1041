#include "gypsumfall/journal/internal/write_budget.h"

#include <algorithm>
#include <cstdint>

namespace gypsumfall {

WriteBudget::WriteBudget(double rows_per_second) { SetRate(rows_per_second); }

void WriteBudget::SetRate(double rows_per_second) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double rate = std::max(rows_per_second, 1.0);
  interval_ =
      Duration(static_cast<std::int64_t>(kMicrosecondsPerSecond / rate));
}

Time WriteBudget::Reserve(Time now) {
  const Time write_time = std::max(next_, now);
  next_ = write_time + interval_;
  return write_time;
}

}  // namespace gypsumfall
