#include "gypsumfall/dispatch/internal/interference.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gypsumfall::dispatch_internal {
namespace {

// Tails of this many times their target are the most that workers report;
// such a report says only that the headroom is below it.
constexpr double kLeastHeadroom = 0.15;
constexpr double kMostHeadroom = 4.0;
// Range of what a run has by itself, whatever its load.
constexpr double kLeastOwnHeadroom = 0.8;

// Slope of a pair that was not seen yet. Cautious: the first runs of an image
// go where little serves.
constexpr double kAssumedSlope = 5.0;
// Part of an error that one report corrects. Reports scatter by about a third,
// so that some tens of them count.
constexpr double kSlopeRate = 0.1;
constexpr double kOwnRate = 0.2;
// Added to the squared input, so that small shares teach little.
constexpr double kInputFloor = 0.02;
// Weight of the newest report in the smoothed headroom.
constexpr double kSmoothing = 0.6;

// Time until a run shows fully in the reports of the others: half a second of
// measuring, and the interval of the lease calls.
constexpr Duration kReportDelay = milliseconds(1000);
// Headroom that serving runs are to keep, for the scatter of reports.
constexpr double kKeptHeadroom = 1.35;

double ReportedHeadroom(const Run& serving) {
  const double target_ms =
      static_cast<double>(serving.tail_target.count()) / 1000;
  if (serving.usage <= 0) return kMostHeadroom;
  return std::clamp(target_ms / serving.usage, kLeastHeadroom, kMostHeadroom);
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
  const auto [found, fresh] = indices_.try_emplace(image, indices_.size());
  if (fresh) {
    for (auto& row : slope_) row.push_back(kAssumedSlope);
    slope_.emplace_back(indices_.size(), kAssumedSlope);
  }
  return found->second;
}

void InterferenceModel::Learn(Worker& worker) {
  std::map<std::size_t, double> shares;
  double squared = kInputFloor;
  for (const auto& [task, run] : worker.runs) {
    if (!run.fills) continue;
    shares[run.image] +=
        ShareOf(worker, MilliCores(static_cast<std::int64_t>(run.usage)));
  }
  for (const auto& [image, share] : shares) squared += share * share;
  for (auto& [task, run] : worker.runs) {
    if (!IsServing(run) || run.usage <= 0) continue;
    const double reported = ReportedHeadroom(run);
    run.headroom += kSmoothing * (reported - run.headroom);
    double predicted = run.own_headroom;
    for (const auto& [image, share] : shares) {
      predicted -= Slope(run.image, image) * share;
    }
    const bool censored = reported <= kLeastHeadroom;
    if (censored && predicted < reported) continue;
    const double error = reported - predicted;
    for (const auto& [image, share] : shares) {
      double& slope = slope_[run.image][image];
      slope = std::max(0.0, slope - kSlopeRate * error * share / squared);
    }
    if (!censored) {
      run.own_headroom = std::clamp(run.own_headroom + kOwnRate * error,
                                    kLeastOwnHeadroom, kMostHeadroom);
    }
  }
}

double InterferenceModel::ShortfallAfterPlacing(const Worker& worker,
                                                std::size_t filling,
                                                MilliCores cpu,
                                                Time now) const {
  std::vector<std::pair<std::size_t, double>> unreported = {
      {filling, ShareOf(worker, cpu)}};
  for (const auto& [task, run] : worker.runs) {
    if (!run.fills || now >= run.started_at + kReportDelay) continue;
    const double hidden =
        1 - static_cast<double>((now - run.started_at).count()) /
                static_cast<double>(kReportDelay.count());
    unreported.emplace_back(run.image, hidden * ShareOf(worker, run.fill_cpu));
  }
  double shortfall = 0;
  for (const auto& [task, serving] : worker.runs) {
    if (!IsServing(serving) || Slope(serving.image, filling) <= 0) continue;
    double left = serving.headroom;
    for (const auto& [image, share] : unreported) {
      left -= Slope(serving.image, image) * share;
    }
    shortfall += std::max(0.0, kKeptHeadroom - left);
  }
  return shortfall;
}

}  // namespace gypsumfall::dispatch_internal
