#ifndef GYPSUMFALL_DISPATCH_INTERNAL_INTERFERENCE_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_INTERFERENCE_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/internal/worker_table.h"

namespace gypsumfall::dispatch_internal {

/// @return whether the run has a tail latency that must stay below a target.
bool IsServing(const Run& run);

/// @param cpu an amount of processors.
/// @return its part of the worker's processors.
double ShareOf(const Worker& worker, MilliCores cpu);

/// Learns from reports which images slow which. The headroom of a serving run
/// is its target divided by its tail latency; below 1 the target is missed. A
/// tail that behaves like a queue's has a headroom that falls linearly with
/// the load beside it, so what an image that fills takes from it is taken as
/// proportional to the part of the processors that it uses: one slope for each
/// pair of images, by normalized least mean squares. Beside that each serving
/// run has a headroom of its own, which follows its load.
class InterferenceModel {
 public:
  /// @return a small number for the image, the same each time.
  std::size_t IndexOf(const ImageId& image);

  /// Takes in the newest reports of a worker.
  void Learn(Worker& worker);

  /// @return the headroom that one worker's whole processors, used by the
  ///   filling image, would take from the serving image; at least 0.
  double Slope(std::size_t serving, std::size_t filling) const {
    return slope_[serving][filling];
  }

  /// @return by how much a run of the image would bring headrooms on the
  ///   worker below what they are to keep, summed over its serving runs.
  double ShortfallAfterPlacing(const Worker& worker, std::size_t filling,
                               MilliCores cpu, Time now) const;

 private:
  std::unordered_map<ImageId, std::size_t> indices_;
  /// By the index of the serving image, then of the filling one.
  std::vector<std::vector<double>> slope_;
};

}  // namespace gypsumfall::dispatch_internal

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_INTERFERENCE_H_
