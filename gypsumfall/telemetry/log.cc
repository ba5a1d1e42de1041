#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <ostream>
#include <string>
#include <string_view>

#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall {
namespace {

namespace expr = boost::log::expressions;
namespace sinks = boost::log::sinks;

using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;

// Appends a value; quotes and escapes it if it is empty or has characters that
// separate fields.
void AppendValue(std::string& line, std::string_view value, bool quoted) {
  if (!quoted && !value.empty() &&
      value.find_first_of(" \"=\\\n\r\t") == std::string_view::npos) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '\n') {
      line += "\\n";
    } else if (c == '\r') {
      line += "\\r";
    } else {
      if (c == '"' || c == '\\') line += '\\';
      line += c;
    }
  }
  line += '"';
}

std::atomic<std::uint64_t> dropped_lines = 0;

/// Limits the number of lines in each second.
class LineRateLimiter {
 public:
  /// Sets the limit and begins a new window.
  void SetLimit(int lines_per_second) {
    limit_ = lines_per_second;
    window_start_ = {};
  }

  /// @param routine whether the line leaves the reserved part of the limit
  ///   unused.
  /// @return whether a line may be written now.
  bool TryAcquire(std::chrono::steady_clock::time_point now, bool routine) {
    if (limit_ <= 0) return true;
    if (now >= window_start_ + std::chrono::seconds(1)) {
      window_start_ = now;
      lines_in_window_ = 0;
    }
    const int limit = routine ? limit_ - limit_ / kReservedFraction : limit_;
    if (lines_in_window_ >= limit) return false;
    ++lines_in_window_;
    return true;
  }

 private:
  /// One in this many lines is reserved for lines that are not routine.
  static constexpr int kReservedFraction = 5;

  int limit_ = 0;
  int lines_in_window_ = 0;
  std::chrono::steady_clock::time_point window_start_;
};

LineRateLimiter& RateLimiter() {
  static LineRateLimiter limiter;
  return limiter;
}

/// Writes lines to a non-blocking file descriptor; drops lines that the reader
/// is too slow for.
class DescriptorBackend
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
 public:
  explicit DescriptorBackend(int descriptor) : descriptor_(descriptor) {
    const int flags = fcntl(descriptor, F_GETFL);
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }

  void consume(const boost::log::record_view& /*record*/,
               const std::string& line) {
    unwritten_ += line;
    unwritten_ += '\n';
    const ssize_t written =
        ::write(descriptor_, unwritten_.data(), unwritten_.size());
    if (written > 0) unwritten_.erase(0, static_cast<std::size_t>(written));
    // The rest of a partly written line is kept, so that only complete lines
    // are dropped.
    const std::size_t line_end = unwritten_.find('\n');
    if (line_end == std::string::npos) return;
    const auto dropped = std::count(
        unwritten_.begin() + static_cast<std::ptrdiff_t>(line_end) + 1,
        unwritten_.end(), '\n');
    dropped_lines += static_cast<std::uint64_t>(dropped);
    unwritten_.resize(line_end + 1);
  }

 private:
  int descriptor_;
  std::string unwritten_;
};

template <typename SinkPointer>
void SetFormat(const SinkPointer& sink) {
  sink->set_formatter(expr::stream
                      << "time="
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << ' ' << expr::smessage);
}

boost::shared_ptr<Sink> MakeSink(std::ostream& stream) {
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  // The caller owns the stream, so the deleter does nothing.
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&stream, [](std::ostream*) {}));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  SetFormat(sink);
  return sink;
}

}  // namespace

void SetUpLogging(const LogSettings& settings) {
  const auto core = boost::log::core::get();
  core->remove_all_sinks();
  core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  const LogLevel min_level = settings.level;
  core->set_filter([min_level](const boost::log::attribute_value_set& values) {
    const auto level = boost::log::extract<LogLevel>("Severity", values);
    return !level.empty() && level.get() >= min_level;
  });
  RateLimiter().SetLimit(settings.max_lines_per_second);
  if (settings.descriptor >= 0) {
    using DescriptorSink = sinks::synchronous_sink<DescriptorBackend>;
    const auto sink = boost::make_shared<DescriptorSink>(
        boost::make_shared<DescriptorBackend>(settings.descriptor));
    SetFormat(sink);
    core->add_sink(sink);
    return;
  }
  core->add_sink(
      MakeSink(settings.stream == nullptr ? std::clog : *settings.stream));
}

std::uint64_t DroppedLogLines() { return dropped_lines; }

void Logger::Write(LogLevel level, std::string_view message, LogFields fields,
                   bool routine) const {
  if (level < LogLevel::kWarning &&
      !RateLimiter().TryAcquire(std::chrono::steady_clock::now(), routine)) {
    ++dropped_lines;
    return;
  }
  boost::log::sources::severity_logger<LogLevel> source(
      boost::log::keywords::severity = level);
  boost::log::record record =
      source.open_record(boost::log::keywords::severity = level);
  if (!record) return;
  std::string line = "level=";
  line += LogLevelName(level);
  line += " component=";
  AppendValue(line, component_, false);
  line += " msg=";
  AppendValue(line, message, true);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value, false);
  }
  boost::log::record_ostream(record) << line << std::flush;
  source.push_record(std::move(record));
}

void Logger::Debug(std::string_view message, LogFields fields) const {
  Write(LogLevel::kDebug, message, fields);
}
void Logger::Info(std::string_view message, LogFields fields) const {
  Write(LogLevel::kInfo, message, fields);
}
void Logger::RoutineInfo(std::string_view message, LogFields fields) const {
  Write(LogLevel::kInfo, message, fields, /*routine=*/true);
}
void Logger::Warning(std::string_view message, LogFields fields) const {
  Write(LogLevel::kWarning, message, fields);
}
void Logger::Error(std::string_view message, LogFields fields) const {
  Write(LogLevel::kError, message, fields);
}

}  // namespace gypsumfall
