#ifndef GYPSUMFALL_BENCH_LOAD_RESULT_H_
#define GYPSUMFALL_BENCH_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall::load {

/// Counters and latency distributions of one load run.
class LoadResult {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  /// Items started, including dropped arrivals; polls are not counted.
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  /// Answers that carry the id or the result of another call.
  std::uint64_t mismatched = 0;
  /// Answers that cannot be parsed as a reply of the API that was called.
  std::uint64_t malformed = 0;
  /// Calls whose connection was closed after bytes of the request were sent and
  /// before the complete answer was received.
  std::uint64_t cut_off = 0;
  /// Subset of cut_off: the connection was reused from an earlier call and no
  /// byte of an answer was received.
  std::uint64_t cut_off_on_reuse = 0;
  /// Calls for which no connection could be opened.
  std::uint64_t not_sent = 0;
  std::uint64_t timed_out = 0;
  /// Arrivals of the open loop that exceeded the backlog limit.
  std::uint64_t dropped = 0;
  /// Calls in flight or in the backlog when the run was stopped.
  std::uint64_t unfinished = 0;
  /// Tasks that did not reach a final status within the task timeout.
  std::uint64_t unfinished_tasks = 0;
  /// Failed polls of a task status; each one is retried.
  std::uint64_t poll_failures = 0;
  /// Answers by their "was_run" value.
  Counts by_was_run;
  /// Errors by kind; those received in a poll have the prefix "task_".
  Counts by_error;
  /// Answers by HTTP status code.
  Counts by_http_status;
  /// Answers by the entry host that sent them.
  Counts by_host;
  /// Completed tasks by their final status.
  Counts by_final_status;
  /// Time from the arrival of a call to its answer, successful answers only.
  LatencyHistogram latency{LatencyHistogram::kFineBucketWidth};
  /// Time from the arrival of a call to an answer that reports an error.
  LatencyHistogram error_latency{LatencyHistogram::kFineBucketWidth};
  /// Time from the arrival of a task to its completion.
  LatencyHistogram task_latency{LatencyHistogram::kFineBucketWidth};
  /// Time from the start of the run to the last outcome.
  Duration elapsed{};

  /// @return whether every answer was well-formed and matched its call.
  bool AllAnswersValid() const { return mismatched == 0 && malformed == 0; }
  /// @return the results as one JSON object; latencies in microseconds.
  std::string ToJson() const;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_RESULT_H_
