#include "bench/load_options.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <exception>
#include <fstream>
#include <limits>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace gypsumfall::load {
namespace {

namespace po = boost::program_options;

// Limits that keep a run from overloading a shared machine.
constexpr std::size_t kMaxConnections = 1000;
constexpr std::int64_t kMaxSeconds = 3600;
constexpr double kMaxRate = 1e6;

struct RawOptions {
  std::string loop = "closed";
  std::string work = "requests";
  std::string targets;
  std::string key_file;
  std::int64_t seconds = 30;
  std::int64_t timeout_ms = 10'000;
  std::int64_t task_timeout_ms = 60'000;
};

po::options_description DescribeOptions(LoadOptions& options, RawOptions& raw) {
  po::options_description all("options");
  const auto add = [&all](const char* name, auto* value, const char* text) {
    all.add_options()(name, po::value(value)->default_value(*value), text);
  };
  all.add_options()("help", "prints this list");
  add("loop", &raw.loop, "open or closed");
  add("work", &raw.work, "requests, tasks or direct");
  add("targets", &raw.targets, "loopback ip:port, separated by commas");
  add("count", &options.count, "maximum number of calls");
  add("seconds", &raw.seconds, "time after which no call is started");
  add("rate", &options.rate, "calls per second in the open loop");
  add("connections", &options.connections, "connections over all targets");
  add("backlog", &options.backlog, "arrivals that may wait for a connection");
  add("seed", &options.seed, "seed of the arrival times");
  add("customer", &options.customer, "customer of the calls");
  add("kind", &options.kind, "kind of work");
  add("key-file", &raw.key_file, "file with the customer key or worker key");
  add("payload-bytes", &options.payload_bytes, "size of each payload");
  add("deadline-ms", &options.deadline_ms,
      "deadline in ms; 0 for the contract's");
  add("timeout-ms", &raw.timeout_ms, "maximum wait for an answer, in ms");
  add("task-timeout-ms", &raw.task_timeout_ms,
      "maximum wait for a task, in ms");
  add("id-prefix", &options.id_prefix, "prefix of each id");
  add("owner", &options.owner, "direct: owner to attach as");
  add("epoch", &options.epoch, "direct: epoch to attach with");
  add("check-results", &options.check_results,
      "whether results must contain the token of their request");
  return all;
}

Result<Secret> ReadKey(const std::string& path) {
  if (path.empty()) return Secret();
  std::ifstream file(path);
  std::string key;
  if (!std::getline(file, key)) {
    return Fail(ErrorKind::kInvalidSettings,
                "--key-file: cannot read a line from " + path);
  }
  return Secret(key);
}

Result<LoadOptions> ConvertOptions(LoadOptions options, const RawOptions& raw) {
  const auto invalid = [](const std::string& reason) {
    return Fail(ErrorKind::kInvalidSettings, reason);
  };
  if (raw.loop != "open" && raw.loop != "closed") {
    return invalid("--loop must be open or closed, not " + raw.loop);
  }
  options.loop = raw.loop == "open" ? LoopMode::kOpen : LoopMode::kClosed;
  if (raw.work == "tasks") {
    options.work = WorkMode::kTasks;
  } else if (raw.work == "direct") {
    options.work = WorkMode::kDirect;
  } else if (raw.work != "requests") {
    return invalid("--work must be requests, tasks or direct, not " + raw.work);
  }
  if (options.kind.empty()) return invalid("--kind must be given");
  if (options.connections < 1 || options.connections > kMaxConnections) {
    return invalid("--connections must be 1 to 1000");
  }
  if (raw.seconds < 1 || raw.seconds > kMaxSeconds) {
    return invalid("--seconds must be 1 to 3600");
  }
  if (!(options.rate > 0 && options.rate <= kMaxRate)) {
    return invalid("--rate must be above 0 and at most 1000000");
  }
  if (raw.timeout_ms < 1 || raw.task_timeout_ms < 1) {
    return invalid("timeouts must be at least 1 ms");
  }
  options.duration = seconds(raw.seconds);
  options.timeout = milliseconds(raw.timeout_ms);
  options.task_timeout = milliseconds(raw.task_timeout_ms);
  const auto targets = ParseTargets(raw.targets);
  if (!targets) return tl::unexpected(targets.error());
  options.targets = *targets;
  // Each target needs at least one connection.
  options.connections = std::max(options.connections, targets->size());
  const auto key = ReadKey(raw.key_file);
  if (!key) return tl::unexpected(key.error());
  options.key = *key;
  return options;
}

}  // namespace

Result<std::vector<Target>> ParseTargets(const std::string& text) {
  std::vector<Target> targets;
  std::istringstream entries(text);
  for (std::string entry; std::getline(entries, entry, ',');) {
    const std::size_t colon = entry.rfind(':');
    if (colon == std::string::npos) {
      return Fail(ErrorKind::kInvalidSettings,
                  "--targets: \"" + entry + "\" is not ip:port");
    }
    boost::system::error_code error;
    const auto ip =
        boost::asio::ip::make_address(entry.substr(0, colon), error);
    if (error || !ip.is_loopback()) {
      return Fail(ErrorKind::kInvalidSettings,
                  "--targets: \"" + entry + "\" is not a loopback address");
    }
    std::istringstream digits(entry.substr(colon + 1));
    int port = 0;
    if (!(digits >> port) || !digits.eof() || port < 1 ||
        port > std::numeric_limits<std::uint16_t>::max()) {
      return Fail(ErrorKind::kInvalidSettings,
                  "--targets: \"" + entry + "\" has no port from 1 to 65535");
    }
    targets.push_back({ip.to_string(), static_cast<std::uint16_t>(port)});
  }
  if (targets.empty()) {
    return Fail(ErrorKind::kInvalidSettings, "--targets must be given");
  }
  return targets;
}

Result<LoadOptions> ParseLoadOptions(const std::vector<std::string>& args) {
  LoadOptions options;
  RawOptions raw;
  const po::options_description all = DescribeOptions(options, raw);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(args).options(all).run(), values);
    if (values.contains("help")) {
      std::ostringstream help;
      help << all;
      return Fail(ErrorKind::kInvalidSettings, help.str());
    }
    po::notify(values);
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kInvalidSettings, error.what());
  }
  return ConvertOptions(std::move(options), raw);
}

}  // namespace gypsumfall::load
