#ifndef GYPSUMFALL_BENCH_LOAD_GENERATOR_H_
#define GYPSUMFALL_BENCH_LOAD_GENERATOR_H_

#include <memory>

#include "bench/load_options.h"
#include "bench/load_result.h"
#include "gypsumfall/base/base.h"

namespace gypsumfall::load {

/// Runs the load of one set of options on the calling thread.
class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadOptions& options);
  ~LoadGenerator();

  /// Blocks until the count or the time is reached and the calls under way
  /// have ended, at most duration + timeout + task timeout.
  /// @return the figures, owned by the generator; an error if the workers of
  ///   direct mode can not be attached.
  Result<const LoadResult*> Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_GENERATOR_H_
