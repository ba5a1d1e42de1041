#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <tuple>
#include <vector>

#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall {
namespace {

namespace bh = boost::histogram;

constexpr double kMinUs = 1;
constexpr double kMaxUs = 1e9;

auto MakeHistogram(double bucket_width) {
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  const double buckets =
      std::ceil(std::log(kMaxUs / kMinUs) / std::log1p(bucket_width));
  return bh::make_histogram_with(
      std::vector<std::uint64_t>(),
      Axis(static_cast<unsigned>(buckets), kMinUs, kMaxUs));
}

}  // namespace

class LatencyHistogram::Impl {
 public:
  explicit Impl(double bucket_width)
      : histogram_(MakeHistogram(bucket_width)) {}

  void Record(Duration duration) {
    const auto us = std::max<Duration::rep>(duration.count(), 0);
    const std::lock_guard lock(mutex_);
    histogram_(std::max(kMinUs, static_cast<double>(us)));
    ++count_;
    sum_ += Duration(us);
  }

  Duration Quantile(double quantile) const {
    const std::lock_guard lock(mutex_);
    if (count_ == 0) return Duration::zero();
    const auto rank = static_cast<std::uint64_t>(
        std::ceil(quantile * static_cast<double>(count_)));
    std::uint64_t cumulative_count = 0;
    for (int i = 0; i < histogram_.axis().size(); ++i) {
      cumulative_count += histogram_.at(i);
      if (cumulative_count >= std::max<std::uint64_t>(rank, 1)) {
        return Duration(static_cast<Duration::rep>(
            std::ceil(histogram_.axis().bin(i).upper())));
      }
    }
    return Duration(static_cast<Duration::rep>(kMaxUs));
  }

  std::uint64_t count() const {
    const std::lock_guard lock(mutex_);
    return count_;
  }

  Duration sum() const {
    const std::lock_guard lock(mutex_);
    return sum_;
  }

 private:
  mutable std::mutex mutex_;
  decltype(MakeHistogram(0)) histogram_;
  std::uint64_t count_ = 0;
  Duration sum_ = Duration::zero();
};

LatencyHistogram::LatencyHistogram(double bucket_width)
    : impl_(std::make_unique<Impl>(bucket_width)) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration duration) { impl_->Record(duration); }
Duration LatencyHistogram::Quantile(double quantile) const {
  return impl_->Quantile(quantile);
}
std::uint64_t LatencyHistogram::count() const { return impl_->count(); }
Duration LatencyHistogram::sum() const { return impl_->sum(); }

}  // namespace gypsumfall
