#ifndef GYPSUMFALL_BENCH_LOAD_OPTIONS_H_
#define GYPSUMFALL_BENCH_LOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall::load {

enum class LoopMode {
  /// Calls arrive as a Poisson process at a given rate, independent of earlier
  /// answers; latency is measured from the arrival.
  kOpen,
  /// Each connection sends its next call once the previous one is answered.
  kClosed,
};

enum class WorkMode {
  /// POST /v1/requests of an entry host.
  kRequests,
  /// POST /v1/tasks of an entry host, then poll until the task completes.
  kTasks,
  /// The worker protocol, sent to workers without an entry host.
  kDirect,
};

/// Address of a server that receives load.
struct Target {
  std::string ip;
  std::uint16_t port = 0;
};

/// Settings of one load run. The run stops at the first limit that is reached:
/// `count` or `duration`.
struct LoadOptions {
  LoopMode loop = LoopMode::kClosed;
  WorkMode work = WorkMode::kRequests;
  std::vector<Target> targets;
  /// Maximum number of calls.
  std::uint64_t count = 10'000;
  /// Time after which no new call is started.
  Duration duration = seconds(30);
  /// Calls per second over all targets, for the open loop.
  double rate = 1000;
  /// Connections over all targets.
  std::size_t connections = 8;
  /// Maximum arrivals that wait for a connection; further ones are dropped.
  std::size_t backlog = 10'000;
  /// Seed of the arrival times; also part of each call id.
  std::uint64_t seed = 1;
  std::string customer;
  std::string kind;
  /// API key of the customer, or the worker key in direct mode.
  Secret key;
  /// Minimum payload size; the token of the call is never truncated.
  std::size_t payload_bytes = 64;
  /// Deadline of each request; 0 selects the default of the contract.
  std::int64_t deadline_ms = 0;
  /// Maximum wait for the answer to one call.
  Duration timeout = seconds(10);
  /// Maximum time from the arrival of a task to its completion.
  Duration task_timeout = seconds(60);
  std::string id_prefix = "load";
  /// Direct mode: the owner and epoch to attach with.
  std::string owner = "load";
  std::uint64_t epoch = 1;
  /// Whether each result must contain the token of its request's payload.
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
