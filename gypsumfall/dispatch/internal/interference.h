#ifndef GYPSUMFALL_DISPATCH_INTERNAL_INTERFERENCE_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_INTERFERENCE_H_

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// @return whether the run serves requests under a tail latency target.
bool IsServing(const Run& run);

/// @param cpu an amount of processors.
/// @return the fraction of the processors of the worker that `cpu` is.
double ShareOf(const Worker& worker, MilliCores cpu);

/// Learns from reports which images slow down which. The headroom of a serving
/// run is its latency target divided by its tail latency; below 1 the target is
/// missed. Where tail latency follows a queueing model, headroom falls linearly
/// with the load on the same worker. The model therefore takes the headroom
/// lost to a best-effort image as proportional to the share of the processors
/// that the image uses, with one slope for each pair of images, fitted by
/// normalized least mean squares. Each serving run also has a baseline
/// headroom, which follows its own load.
class InterferenceModel {
 public:
  /// @return the index of the image, the same for each call until `Forget`
  ///   removes the image; adds the image if it is new. While the model is full,
  ///   all images that are not in it share an index.
  std::size_t IndexOf(const ImageId& image);
  /// @return whether new images find no place in the model.
  bool IsFull() const;
  /// Removes all images except the used ones.
  /// @param used indices of these.
  void ForgetUnused(const std::set<std::size_t>& used);

  /// Updates the model and the headroom of the serving runs from the latest
  /// reports of a worker.
  void Learn(Worker& worker);

  /// @return the headroom that the serving image would lose if the best-effort
  ///   image used all processors of a worker; at least 0.
  double Slope(std::size_t serving, std::size_t best_effort_image) const {
    return slope_[serving][best_effort_image];
  }

  /// @return by how much a new run of the best-effort image would bring the
  ///   headroom of serving runs on the worker below the headroom to keep,
  ///   summed over its serving runs.
  double ShortfallAfterPlacing(const Worker& worker,
                               std::size_t best_effort_image, MilliCores cpu,
                               Time now) const;

  /// @return the largest share, in percent of the processors that a new run of
  ///   the best-effort image requests, at which each serving run on the worker
  ///   is expected to keep its headroom; 0 if one of them is harmed already.
  int PercentToKeepHeadroom(const Worker& worker, std::size_t best_effort_image,
                            MilliCores cpu, Time now) const;

 private:
  void AddIndex();
  /// @return the headroom of the serving run once all best-effort runs of the
  ///   worker show in its reports.
  double ExpectedHeadroom(const Worker& worker, const Run& serving,
                          Time now) const;

  /// Index of the images that are not in the model.
  static constexpr std::size_t kOtherImages = 0;

  std::unordered_map<ImageId, std::size_t> indices_;
  std::vector<std::size_t> unused_indices_;
  /// Indexed by the serving image, then by the best-effort image.
  std::vector<std::vector<double>> slope_;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_INTERFERENCE_H_
