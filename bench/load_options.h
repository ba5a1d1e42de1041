#ifndef GYPSUMFALL_BENCH_LOAD_OPTIONS_H_
#define GYPSUMFALL_BENCH_LOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall::load {

enum class LoopMode {
  /// Calls arrive at random times at a given rate, whether or not earlier ones
  /// were answered; latency counts from the arrival.
  kOpen,
  /// Each connection sends its next call after the answer to the last one.
  kClosed,
};

enum class WorkMode {
  /// POST /v1/requests of an entry host.
  kRequests,
  /// POST /v1/tasks of an entry host, then wait for the end of the task.
  kTasks,
  /// The worker protocol, straight to workers.
  kDirect,
};

struct Target {
  std::string ip;
  std::uint16_t port = 0;
};

/// What one run does. All bounds apply: the first that is reached ends it.
struct LoadOptions {
  LoopMode loop = LoopMode::kClosed;
  WorkMode work = WorkMode::kRequests;
  std::vector<Target> targets;
  std::uint64_t count = 10'000;
  Duration duration = seconds(30);
  /// Calls per second over all targets, for the open loop.
  double rate = 1000;
  std::size_t connections = 8;
  /// Arrivals that wait for a connection; more are counted as dropped.
  std::size_t backlog = 10'000;
  std::uint64_t seed = 1;
  std::string customer;
  std::string kind;
  /// The caller's key, or the worker key in direct mode.
  Secret key;
  std::size_t payload_bytes = 64;
  /// 0 leaves the deadline to the contract.
  std::int64_t deadline_ms = 0;
  /// A call without an answer after this time counts as timed out.
  Duration timeout = seconds(10);
  /// How long the end of a task is waited for.
  Duration task_timeout = seconds(60);
  std::string id_prefix = "load";
  /// Direct mode: the owner and epoch to attach with.
  std::string owner = "load";
  std::uint64_t epoch = 1;
  /// Whether a result must hold the token of its own request's payload.
  bool check_results = true;
};

/// Parses "127.0.0.1:8080,127.0.0.1:8081".
/// @return kInvalidSettings unless every address is a loopback address.
Result<std::vector<Target>> ParseTargets(const std::string& text);

/// @param args the program's arguments without its name.
/// @return the options; kInvalidSettings with the reason, or with the list of
///   options if --help is given.
Result<LoadOptions> ParseLoadOptions(const std::vector<std::string>& args);

}  // namespace gypsumfall::load

#endif  // GYPSUMFALL_BENCH_LOAD_OPTIONS_H_
