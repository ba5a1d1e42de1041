#include "gypsumfall/scheduler/internal/store_clock_estimate.h"

namespace gypsumfall::scheduler_internal {
namespace {

// Readings are whole milliseconds, rounded down.
constexpr Duration kReadingResolution = milliseconds(1);

}  // namespace

void StoreClockEstimate::Observe(const std::optional<StoreTime>& reading,
                                 Time sent, Time received) {
  if (!reading) return;
  // Answers may arrive out of order.
  if (latest_ && sent < latest_->sent) return;
  latest_ = {*reading, sent, received};
}

std::optional<StoreTime> StoreClockEstimate::LatestReadingAt(Time time) const {
  if (!latest_) return std::nullopt;
  return latest_->reading + kReadingResolution + (time - latest_->sent);
}

std::optional<Time> StoreClockEstimate::TimeOfReading(StoreTime reading) const {
  if (!latest_) return std::nullopt;
  return latest_->received + (reading - latest_->reading);
}

}  // namespace gypsumfall::scheduler_internal
