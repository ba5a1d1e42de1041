#ifndef GYPSUMFALL_BENCH_LOAD_CLIENT_H_
#define GYPSUMFALL_BENCH_LOAD_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "bench/load_options.h"
#include "bench/load_protocol.h"
#include "gypsumfall/base/base.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall::load {

/// HTTP client with one connection to one target and at most one call in
/// flight. Connects on demand. Must outlive its calls.
class LoadClient {
 public:
  using DoneCallback = std::function<void(HttpOutcome)>;

  LoadClient(boost::asio::io_context& io, const Target& target,
             const LoadOptions& options);
  ~LoadClient();
  LoadClient(LoadClient&&) noexcept;

  /// Sends a call; the previous one must have completed.
  /// @param done invoked exactly once, always after Send has returned.
  void Send(const LoadCall& call, DoneCallback done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_CLIENT_H_
