#include "gypsumfall/dispatch/internal/interference.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace gypsumfall::dispatch_internal {
namespace {

// Images in the model. Its memory grows with the square of this.
constexpr std::size_t kMaxImages = 512;

// Workers report a tail latency of at most the target divided by this; such a
// report only says that the headroom is lower.
constexpr double kMinReportedHeadroom = 0.15;
// Upper bound of the reported and the baseline headroom.
constexpr double kMaxHeadroom = 4.0;
// Lower bound of the baseline headroom of a run under any load.
constexpr double kMinBaselineHeadroom = 0.8;

// Slope of a pair of images without reports. It is high, so that the first runs
// of an image are placed where few serving runs are.
constexpr double kInitialSlope = 5.0;
// Fraction of an error that one report corrects. Reports scatter by about a
// third, so that the average runs over some tens of them.
constexpr double kSlopeLearningRate = 0.1;
constexpr double kBaselineLearningRate = 0.2;
// Added to the squared input, so that small shares change the slopes little.
constexpr double kInputFloor = 0.02;
// Weight of the newest report in the smoothed headroom.
constexpr double kSmoothing = 0.6;

// Time until the effect of a run shows fully in the reports of other runs: the
// measurement window of half a second and the interval of the lease calls.
constexpr Duration kReportDelay = milliseconds(1000);
// Below this headroom a target counts as missed; the margin above 1 covers the
// delay of the reports.
constexpr double kMissedHeadroom = 1.05;
// Headroom that serving runs are to keep; the margin above 1 covers the scatter
// of reports.
constexpr double kTargetHeadroom = 1.35;

// Whether a serving run misses its target, or is about to, and would meet it
// without best-effort runs.
bool IsHarmed(const Run& serving) {
  return serving.headroom < kMissedHeadroom &&
         serving.baseline_headroom >= kMissedHeadroom;
}

double ReportedHeadroom(const Run& serving) {
  const double target_ms =
      static_cast<double>(serving.tail_target.count()) / 1000;
  if (serving.usage <= 0) return kMaxHeadroom;
  return std::clamp(target_ms / serving.usage, kMinReportedHeadroom,
                    kMaxHeadroom);
}

}  // namespace

bool IsServing(const Run& run) {
  return run.long_running && run.tail_target.count() > 0;
}

double ShareOf(const Worker& worker, MilliCores cpu) {
  const auto capacity = static_cast<double>(worker.entry.capacity.cpu.value());
  return capacity > 0 ? static_cast<double>(cpu.value()) / capacity : 0;
}

std::size_t InterferenceModel::IndexOf(const ImageId& image) {
  const auto found = indices_.find(image);
  if (found != indices_.end()) return found->second;
  if (slope_.empty()) AddIndex();
  if (IsFull()) return kOtherImages;
  if (unused_indices_.empty()) {
    unused_indices_.push_back(slope_.size());
    AddIndex();
  }
  const std::size_t index = unused_indices_.back();
  unused_indices_.pop_back();
  indices_.emplace(image, index);
  return index;
}

void InterferenceModel::AddIndex() {
  for (auto& row : slope_) row.push_back(kInitialSlope);
  slope_.emplace_back(slope_.size() + 1, kInitialSlope);
}

bool InterferenceModel::IsFull() const {
  return unused_indices_.empty() && slope_.size() > kMaxImages;
}

void InterferenceModel::ForgetUnused(const std::set<std::size_t>& used) {
  std::erase_if(indices_, [&](const auto& entry) {
    const std::size_t index = entry.second;
    if (used.contains(index)) return false;
    for (auto& row : slope_) row[index] = kInitialSlope;
    slope_[index].assign(slope_.size(), kInitialSlope);
    unused_indices_.push_back(index);
    return true;
  });
}

void InterferenceModel::Learn(Worker& worker) {
  std::map<std::size_t, double> shares;
  double squared_input = kInputFloor;
  for (const auto& [task, run] : worker.runs) {
    if (!run.best_effort) continue;
    shares[run.image] +=
        ShareOf(worker, MilliCores(static_cast<std::int64_t>(run.usage)));
  }
  for (const auto& [image, share] : shares) squared_input += share * share;
  for (auto& [task, run] : worker.runs) {
    if (!IsServing(run) || run.usage <= 0) continue;
    const double reported = ReportedHeadroom(run);
    run.headroom += kSmoothing * (reported - run.headroom);
    double predicted = run.baseline_headroom;
    for (const auto& [image, share] : shares) {
      predicted -= Slope(run.image, image) * share;
    }
    const bool censored = reported <= kMinReportedHeadroom;
    if (censored && predicted < reported) continue;
    const double error = reported - predicted;
    for (const auto& [image, share] : shares) {
      double& slope = slope_[run.image][image];
      slope = std::max(
          0.0, slope - kSlopeLearningRate * error * share / squared_input);
    }
    if (!censored) {
      run.baseline_headroom =
          std::clamp(run.baseline_headroom + kBaselineLearningRate * error,
                     kMinBaselineHeadroom, kMaxHeadroom);
    }
  }
}

double InterferenceModel::ShortfallAfterPlacing(const Worker& worker,
                                                std::size_t best_effort_image,
                                                MilliCores cpu,
                                                Time now) const {
  double shortfall = 0;
  for (const auto& [task, serving] : worker.runs) {
    if (!IsServing(serving)) continue;
    // Until the target is met again, it is not known which runs harm it.
    if (IsHarmed(serving)) return std::numeric_limits<double>::infinity();
    const double slope = Slope(serving.image, best_effort_image);
    if (slope <= 0) continue;
    const double expected_headroom =
        ExpectedHeadroom(worker, serving, now) - slope * ShareOf(worker, cpu);
    shortfall += std::max(0.0, kTargetHeadroom - expected_headroom);
  }
  return shortfall;
}

int InterferenceModel::PercentToKeepHeadroom(const Worker& worker,
                                             std::size_t best_effort_image,
                                             MilliCores cpu, Time now) const {
  double percent = 100;
  for (const auto& [task, serving] : worker.runs) {
    if (!IsServing(serving)) continue;
    if (IsHarmed(serving)) return 0;
    const double impact =
        Slope(serving.image, best_effort_image) * ShareOf(worker, cpu);
    if (impact <= 0) continue;
    const double spare =
        ExpectedHeadroom(worker, serving, now) - kTargetHeadroom;
    percent = std::min(percent, 100 * std::max(0.0, spare) / impact);
  }
  return static_cast<int>(percent);
}

double InterferenceModel::ExpectedHeadroom(const Worker& worker,
                                           const Run& serving, Time now) const {
  double headroom = serving.headroom;
  for (const auto& [task, run] : worker.runs) {
    if (!run.best_effort || now >= run.started_at + kReportDelay) continue;
    const double unreported_fraction =
        1 - static_cast<double>((now - run.started_at).count()) /
                static_cast<double>(kReportDelay.count());
    headroom -= Slope(serving.image, run.image) * unreported_fraction *
                ShareOf(worker, run.best_effort_cpu);
  }
  return headroom;
}

}  // namespace gypsumfall::dispatch_internal
