#ifndef GYPSUMFALL_BENCH_LOAD_WORK_H_
#define GYPSUMFALL_BENCH_LOAD_WORK_H_

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

/// One HTTP call as the client sends it.
struct LoadCall {
  bool is_post = true;
  std::string path;
  std::string body;
};

/// How one HTTP call ended.
struct HttpOutcome {
  enum class Kind { kAnswered, kNotSent, kCutOff, kTimedOut };
  Kind kind = Kind::kAnswered;
  int status = 0;
  std::string body;
  /// The connection had carried a call before and no byte came back.
  bool was_idle = false;
};

/// The next call of an item.
struct NextCall {
  LoadCall call;
  /// How long to wait before it is sent.
  Duration delay{};
};

/// What a worker answered to an attach, for direct mode.
struct Attached {
  Incarnation incarnation;
  WorkerTime clock;
  /// When the answer came.
  Time at;
};

/// One unit of work under way.
struct LoadItem {
  std::uint64_t number = 0;
  /// When it arrived; latency counts from here.
  Time arrived;
  /// The task was accepted and its end is waited for.
  bool is_accepted = false;
};

/// Makes the calls of a run and judges their answers. Uses no socket and no
/// clock.
class LoadWork {
 public:
  explicit LoadWork(const LoadOptions& options);

  /// @return the call that starts an item.
  LoadCall Start(const LoadItem& item, std::size_t target, Time now) const;
  /// Judges the end of a call.
  /// @return the next call of the item, if any.
  std::optional<NextCall> OnOutcome(LoadItem& item, const HttpOutcome& outcome,
                                    Time now);

  /// Direct mode: the call that makes this program the owner of a worker.
  LoadCall AttachCallTo() const;
  /// @return kConflict if the worker refused, kBadRequest if not understood.
  Result<void> OnAttached(std::size_t target, const HttpOutcome& outcome,
                          Time now);

  LoadResult& result() { return result_; }
  std::string IdOf(const LoadItem& item) const;
  /// @return text that only the payload of this item holds.
  std::string TokenOf(const LoadItem& item) const;

 private:
  std::string PayloadOf(const LoadItem& item) const;
  LoadCall StartDirect(const LoadItem& item, std::size_t target,
                       Time now) const;
  bool CountTransport(const HttpOutcome& outcome);
  void CheckResult(const LoadItem& item, std::string_view result);
  void JudgeDirect(const LoadItem& item, const HttpOutcome& outcome, Time now);
  std::optional<NextCall> JudgeCaller(LoadItem& item,
                                      const HttpOutcome& outcome, Time now);
  std::optional<NextCall> Poll(const LoadItem& item, Duration delay, Time now);

  LoadOptions options_;
  LoadResult result_;
  std::vector<Attached> attached_;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_WORK_H_
