#ifndef GYPSUMFALL_BENCH_LOAD_RESULT_H_
#define GYPSUMFALL_BENCH_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall::load {

/// Figures of one run.
class LoadResult {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  /// Answers with the id or result of another call.
  std::uint64_t mismatched = 0;
  /// Answers that are not the JSON of the caller API.
  std::uint64_t malformed = 0;
  /// The connection ended after bytes were sent and before the whole answer.
  std::uint64_t cut_off = 0;
  /// Those of cut_off on a connection that had carried a call before and where
  /// no byte of an answer came.
  std::uint64_t cut_off_on_reuse = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t timed_out = 0;
  /// Arrivals of the open loop beyond the backlog.
  std::uint64_t dropped = 0;
  /// Calls under way when the run was stopped.
  std::uint64_t unfinished = 0;
  /// Tasks that had not ended within the task timeout.
  std::uint64_t tasks_open = 0;
  /// Waits for the end of a task that failed and were repeated.
  std::uint64_t poll_failures = 0;
  Counts by_was_run;
  Counts by_error;
  Counts by_status;
  Counts by_host;
  /// Tasks by their last status.
  Counts by_task_end;
  /// From the arrival to the answer, answers without error only.
  LatencyHistogram latency{LatencyHistogram::kFineWidth};
  /// The same for answers with an error.
  LatencyHistogram error_latency{LatencyHistogram::kFineWidth};
  /// From the arrival of a task to its end.
  LatencyHistogram task_latency{LatencyHistogram::kFineWidth};
  Duration elapsed{};

  /// @return whether every answer belonged to its call.
  bool AllMatched() const { return mismatched == 0 && malformed == 0; }
  /// @return the figures as one JSON object; latencies in microseconds.
  std::string ToJson() const;
};

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_RESULT_H_
