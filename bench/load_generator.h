#ifndef GYPSUMFALL_BENCH_LOAD_GENERATOR_H_
#define GYPSUMFALL_BENCH_LOAD_GENERATOR_H_

#include <memory>

#include "bench/load_options.h"
#include "bench/load_result.h"
#include "gypsumfall/base/base.h"

namespace gypsumfall::load {

/// Generates the load described by one set of options on the calling thread.
class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadOptions& options);
  ~LoadGenerator();

  /// Blocks until the call count or the duration is reached and the calls in
  /// flight have completed, but at most for duration + timeout + 1 s, plus the
  /// task timeout in task mode.
  /// @return the results, owned by the generator; an error if attaching to a
  ///   worker fails in direct mode.
  Result<const LoadResult*> Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_GENERATOR_H_
