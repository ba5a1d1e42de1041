#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
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

// Quotes a value when it would not read back as one word.
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

boost::shared_ptr<Sink> MakeSink(std::ostream& stream) {
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  // The stream belongs to the caller.
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&stream, [](std::ostream*) {}));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(expr::stream
                      << "time="
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << ' ' << expr::smessage);
  return sink;
}

}  // namespace

void SetUpLogging(const LogSettings& settings) {
  const auto core = boost::log::core::get();
  core->remove_all_sinks();
  core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  const LogLevel lowest = settings.level;
  core->set_filter([lowest](const boost::log::attribute_value_set& values) {
    const auto level = boost::log::extract<LogLevel>("Severity", values);
    return !level.empty() && level.get() >= lowest;
  });
  core->add_sink(
      MakeSink(settings.stream == nullptr ? std::clog : *settings.stream));
}

void Logger::Write(LogLevel level, std::string_view message,
                   LogFields fields) const {
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
void Logger::Warning(std::string_view message, LogFields fields) const {
  Write(LogLevel::kWarning, message, fields);
}
void Logger::Error(std::string_view message, LogFields fields) const {
  Write(LogLevel::kError, message, fields);
}

}  // namespace gypsumfall
