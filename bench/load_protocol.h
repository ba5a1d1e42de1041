#ifndef GYPSUMFALL_BENCH_LOAD_PROTOCOL_H_
#define GYPSUMFALL_BENCH_LOAD_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bench/load_options.h"
#include "bench/load_result.h"
#include "gypsumfall/base/base.h"

namespace gypsumfall::load {

/// One HTTP request to be sent by LoadClient.
struct LoadCall {
  bool is_post = true;
  std::string path;
  std::string body;
};

/// Outcome of one HTTP call.
struct HttpOutcome {
  enum class Kind { kAnswered, kNotSent, kCutOff, kTimedOut };
  Kind kind = Kind::kAnswered;
  /// HTTP status code, if answered.
  int status = 0;
  std::string body;
  /// The connection was reused from an earlier call and no byte was received.
  bool no_bytes_on_reuse = false;
};

/// The follow-up call of an item.
struct NextCall {
  LoadCall call;
  /// Delay before the call is sent.
  Duration delay{};
};

/// State of a worker as reported in its attach reply, for direct mode.
struct AttachedWorker {
  Incarnation incarnation;
  WorkerTime clock;
  /// Local time at which the reply was received.
  Time received_at;
};

/// One request or task in flight.
struct LoadItem {
  std::uint64_t number = 0;
  /// Arrival time, from which latency is measured.
  Time arrived;
  /// The task was accepted and is polled until it completes.
  bool is_accepted = false;
};

/// Builds the calls of a run and evaluates their outcomes. Performs no I/O and
/// reads no clock.
class LoadProtocol {
 public:
  explicit LoadProtocol(const LoadOptions& options);

  /// @return the first call of an item.
  LoadCall Start(const LoadItem& item, std::size_t target, Time now) const;
  /// Records the outcome of a call.
  /// @return the follow-up call of the item, or nullopt if the item is
  ///   finished.
  std::optional<NextCall> OnOutcome(LoadItem& item, const HttpOutcome& outcome,
                                    Time now);

  /// Direct mode: @return the call that makes this program the owner of a
  /// worker.
  LoadCall MakeAttachCall() const;
  /// Direct mode: stores the attach reply of a worker.
  /// @return kNoCapacity if the worker did not answer, kConflict if it refused,
  ///   a decoding error if the reply is malformed.
  Result<void> OnAttached(std::size_t target, const HttpOutcome& outcome,
                          Time now);

  LoadResult& result() { return result_; }
  /// @return the request, task or exchange id of an item.
  std::string IdOf(const LoadItem& item) const;
  /// @return a text that is unique to the payload of this item.
  std::string TokenOf(const LoadItem& item) const;

 private:
  std::string PayloadOf(const LoadItem& item) const;
  LoadCall StartDirect(const LoadItem& item, std::size_t target,
                       Time now) const;
  bool CountTransportOutcome(const HttpOutcome& outcome);
  void CheckResult(const LoadItem& item, std::string_view result);
  void HandleWorkerReply(const LoadItem& item, const HttpOutcome& outcome,
                         Time now);
  std::optional<NextCall> HandleCallerReply(LoadItem& item,
                                            const HttpOutcome& outcome,
                                            Time now);
  std::optional<NextCall> MakePoll(const LoadItem& item, Duration delay,
                                   Time now);

  LoadOptions options_;
  LoadResult result_;
  std::vector<AttachedWorker> attached_workers_;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_PROTOCOL_H_
