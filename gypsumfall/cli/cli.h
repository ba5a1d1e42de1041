#ifndef GYPSUMFALL_CLI_CLI_H_
#define GYPSUMFALL_CLI_CLI_H_

/// @file
/// Subcommands of the binary `gypsumfall`. They reach files, the network and
/// the terminal through `CliEnvironment` only.
///
/// Example:
/// @code
///   CliEnvironment environment{.call = SendOverHttp,
///                              .read_file = ReadFile,
///                              .variable = ReadVariable,
///                              .serve = RunEntryHost,
///                              .schedule = RunSchedulingHost,
///                              .in = std::cin,
///                              .out = std::cout,
///                              .err = std::cerr};
///   return static_cast<int>(RunCli({argv + 1, argv + argc}, environment));
/// @endcode

#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// Exit code of the process.
enum class ExitCode {
  kOk = 0,
  /// The entry host refused the call, or reported a failure.
  kRefused = 1,
  /// An argument, a file or a setting is not valid.
  kBadInput = 2,
  /// No entry host answered.
  kNotReachable = 3,
};

struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// One call to an entry host.
struct CliCall {
  Endpoint server;
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Time for the whole call, also if the entry host answers late on request.
  Duration timeout{0};
};

struct CliAnswer {
  int status = 0;
  std::string body;
};

/// Sends a call and waits for its answer.
/// @return the answer whatever its status; `kOutcomeUnknown` if the call was
///     sent and no answer came; another kind if it was not sent.
using HttpCaller = std::function<Result<CliAnswer>(const CliCall&)>;

/// What subcommands reach outside of the process.
struct CliEnvironment {
  HttpCaller call;
  /// @return the content of a file, or `kBadRequest` with the reason.
  std::function<Result<std::string>(const std::string& path)> read_file;
  /// @return an environment variable.
  std::function<std::optional<std::string>(const std::string& name)> variable;
  /// Runs an entry host until it is stopped.
  std::function<ExitCode(const EntrySettings&)> serve;
  /// Runs a scheduling host until it is stopped.
  /// @param reload reads the settings again; nothing if they are not valid.
  std::function<ExitCode(
      const SchedulerSettings&,
      const std::function<std::optional<SchedulerSettings>()>& reload)>
      schedule;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

/// Runs the subcommand that the arguments name.
/// @param arguments the arguments without the program's name.
/// @param environment what the subcommand may reach.
/// @return the exit code for the process.
ExitCode RunCli(const std::vector<std::string>& arguments,
                const CliEnvironment& environment);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_CLI_H_
