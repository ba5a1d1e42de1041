#ifndef GYPSUMFALL_CLI_CLI_H_
#define GYPSUMFALL_CLI_CLI_H_

/// @file
/// Subcommands of the binary `gypsumfall`. They access files, the network and
/// the terminal only through `CliEnvironment`, so that tests can replace it.
///
/// Example:
/// @code
///   CliEnvironment environment{
///       .call = SendOverHttp,
///       .read_file = ReadFile,
///       .environment_variable = ReadEnvironmentVariable,
///       .run_entry_host = ServeEntryHost,
///       .run_scheduling_host = ServeScheduler,
///       .in = std::cin,
///       .out = std::cout,
///       .err = std::cerr};
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
  /// The entry host rejected the call or reported a failure.
  kRefused = 1,
  /// An argument, a file or a setting is not valid.
  kBadInput = 2,
  /// No entry host responded, or its response could not be decoded.
  kNotReachable = 3,
};

/// One header of an HTTP request.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// One HTTP request to an entry host.
struct CliCall {
  Endpoint server;
  std::string method;
  /// Path, including the query string.
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Time for the whole call, including any long polling by the entry host.
  Duration timeout{0};
};

/// The HTTP response to a `CliCall`.
struct CliResponse {
  /// HTTP status code.
  int status = 0;
  std::string body;
};

/// Sends a call and blocks until its response arrives or it times out.
/// @return the response, with any status; `kOutcomeUnknown` if the call was
///     sent but no response arrived; any other error kind if it was not sent.
using HttpTransport = std::function<Result<CliResponse>(const CliCall&)>;

/// Everything outside of the process that subcommands access.
struct CliEnvironment {
  HttpTransport call;
  /// Reads a whole file.
  /// @return the content, or `kBadRequest` with the reason.
  std::function<Result<std::string>(const std::string& path)> read_file;
  /// @return the value of an environment variable, or nothing if it is unset.
  std::function<std::optional<std::string>(const std::string& name)>
      environment_variable;
  /// Runs an entry host until it is stopped.
  std::function<ExitCode(const EntrySettings&)> run_entry_host;
  /// Runs a scheduling host until it is stopped.
  /// @param reload reads the settings again and returns them, or nothing if
  ///     they are not valid.
  std::function<ExitCode(
      const SchedulerSettings&,
      const std::function<std::optional<SchedulerSettings>()>& reload)>
      run_scheduling_host;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

/// Runs the subcommand that the arguments name.
/// @param arguments command-line arguments without the program name.
/// @param environment access to files, the network and the terminal.
/// @return the exit code of the process.
ExitCode RunCli(const std::vector<std::string>& arguments,
                const CliEnvironment& environment);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_CLI_H_
