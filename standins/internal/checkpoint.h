#ifndef STANDINS_INTERNAL_CHECKPOINT_H_
#define STANDINS_INTERNAL_CHECKPOINT_H_

#include <charconv>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall::standins {

inline constexpr std::string_view kCheckpointPrefix = "progress_us=";

/// @return the checkpoint that encodes `progress`.
inline std::string CheckpointText(Duration progress) {
  return std::string(kCheckpointPrefix) + std::to_string(progress.count());
}

/// @return the progress encoded in a checkpoint, or zero if there is none.
inline Duration CheckpointProgress(std::string_view checkpoint) {
  if (!checkpoint.starts_with(kCheckpointPrefix)) return Duration::zero();
  checkpoint.remove_prefix(kCheckpointPrefix.size());
  Duration::rep progress = 0;
  std::from_chars(checkpoint.data(), checkpoint.data() + checkpoint.size(),
                  progress);
  return Duration(progress);
}

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_CHECKPOINT_H_
