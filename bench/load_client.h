#ifndef GYPSUMFALL_BENCH_LOAD_CLIENT_H_
#define GYPSUMFALL_BENCH_LOAD_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "bench/load_options.h"
#include "bench/load_work.h"
#include "gypsumfall/base/base.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall::load {

/// One connection to one target, with one call at a time. It connects when
/// needed. It must outlive its calls.
class LoadClient {
 public:
  using Done = std::function<void(HttpOutcome)>;

  LoadClient(boost::asio::io_context& io, const Target& target,
             const LoadOptions& options);
  ~LoadClient();
  LoadClient(LoadClient&&) noexcept;

  /// @param done called once, never before Send returns.
  void Send(const LoadCall& call, Done done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_CLIENT_H_
