#ifndef GYPSUMFALL_TELEMETRY_TELEMETRY_H_
#define GYPSUMFALL_TELEMETRY_TELEMETRY_H_

/// @file
/// Logging and metrics. A log line is "time=... level=... component=...
/// msg=\"...\" key=value ...". Secrets cannot be logged: `Secret` has no
/// stream operator and `LogField` does not accept it.
///
/// Example:
/// @code
///   SetUpLogging({.level = LogLevel::kInfo});
///   const Logger log("fleet");
///   log.Info("worker attached", {{"worker", id}, {"epoch", epoch}});
///
///   Metrics metrics;
///   Counter& answers = metrics.AddCounter("answers", {{"was_run", "no"}});
///   answers.Add();
///   std::string page = metrics.Export();
/// @endcode

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Destination, level and rate limit of the process's log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  /// Stream to write to; standard error if null. Must outlive all logging.
  std::ostream* stream = nullptr;
  /// File descriptor to write to instead of the stream; it is made non-blocking
  /// and lines that would block are dropped. -1 to write to the stream.
  int descriptor = -1;
  /// Maximum debug and info lines per second; further ones are dropped. 0 means
  /// no limit. Warnings and errors do not count and are exempt. A fifth is
  /// reserved for lines that are not routine.
  int max_lines_per_second = 0;
};

/// Configures the process's log; replaces any earlier configuration.
void SetUpLogging(const LogSettings& settings);

/// @return the lines dropped since the process started, because of the rate
///   limit or because writing them would have blocked.
std::uint64_t DroppedLogLines();

/// Types with a stream operator.
template <typename T>
concept Streamable = requires(std::ostream& out, const T& value) {
  out << value;
};

/// One key=value pair of a log line.
struct LogField {
  template <Streamable T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(FormatValue(field_value)) {}

  std::string_view key;
  std::string value;

 private:
  template <typename T>
  static std::string FormatValue(const T& value) {
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      const std::string_view text = value;
      return std::string(text);
    } else {
      std::ostringstream out;
      out << value;
      return std::move(out).str();
    }
  }
};

using LogFields = std::initializer_list<LogField>;

/// Writes log lines of one component. Thread-safe.
class Logger {
 public:
  /// @param component value of the "component" field of each line.
  explicit Logger(std::string component) : component_(std::move(component)) {}

  void Debug(std::string_view message, LogFields fields = {}) const;
  void Info(std::string_view message, LogFields fields = {}) const;
  /// Writes an info line of a kind that each task causes. Routine lines are
  /// dropped first, so that a busy second does not hide rare changes.
  void RoutineInfo(std::string_view message, LogFields fields = {}) const;
  void Warning(std::string_view message, LogFields fields = {}) const;
  void Error(std::string_view message, LogFields fields = {}) const;

 private:
  void Write(LogLevel level, std::string_view message, LogFields fields,
             bool routine = false) const;

  std::string component_;
};

/// A value that only increases. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t count = 1) {
    value_.fetch_add(count, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

/// A value that is set and may decrease. Thread-safe.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_ = 0;
};

/// Durations from 1 us to 1000 s in buckets of equal relative width.
/// Thread-safe.
class LatencyHistogram {
 public:
  /// Relative bucket width of 5%; 3.4 KB per histogram.
  static constexpr double kDefaultBucketWidth = 0.05;
  /// Relative bucket width of 1%, for benchmarks; 17 KB per histogram.
  static constexpr double kFineBucketWidth = 0.01;

  /// @param bucket_width relative width of a bucket, above 0.
  explicit LatencyHistogram(double bucket_width = kDefaultBucketWidth);
  ~LatencyHistogram();

  /// Adds a duration. Below 1 us it counts as 1 us; a quantile that falls among
  /// durations above 1000 s is 1000 s.
  void Record(Duration duration);
  /// @param quantile from 0 to 1.
  /// @return the upper bound of the bucket that holds the quantile, so at most
  ///   one bucket width too high; zero if nothing was recorded.
  Duration Quantile(double quantile) const;
  std::uint64_t count() const;
  Duration sum() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Pairs of label name and label value of one metric.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Registry of the metrics of one process. Returned references stay valid for
/// the registry's lifetime. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// @return the counter of that name and labels; creates it on the first call.
  Counter& AddCounter(const std::string& name, const Labels& labels = {});
  /// @return the gauge of that name and labels; creates it on the first call.
  Gauge& AddGauge(const std::string& name, const Labels& labels = {});
  /// @param name name without the suffix "_seconds", which the export adds.
  /// @return the histogram of that name and labels; creates it on the first
  /// call.
  LatencyHistogram& AddLatency(const std::string& name,
                               const Labels& labels = {});

  /// @return all metrics in the Prometheus text format; latencies as summaries
  ///   in seconds with the quantiles 0.5, 0.9, 0.99 and 0.999.
  std::string Export() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_TELEMETRY_TELEMETRY_H_
