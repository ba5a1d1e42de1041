#ifndef GYPSUMFALL_CLI_INTERNAL_SESSION_H_
#define GYPSUMFALL_CLI_INTERNAL_SESSION_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "gypsumfall/cli/cli.h"
#include "gypsumfall/cli/internal/options.h"

namespace gypsumfall {

/// Who makes a call. Operators share one key; callers have one key per
/// customer.
enum class Role { kOperator, kCaller };

/// Options of every subcommand that calls an entry host. Empty values default
/// to environment variables.
struct AccessArguments {
  std::string server;
  std::string key_file;
  std::string customer;

  /// Adds the options that a role needs to a list.
  void DefineOptions(Role role, OptionList& list);
};

/// A call as a subcommand specifies it, without address and credentials.
struct CallSpec {
  std::string method;
  std::string path;
  std::string body;
  /// Tells the user what to do if no response arrives, in which case the call
  /// may have taken effect. Empty for calls that can simply be repeated.
  std::string no_response_hint;
  /// Extra time that the entry host may take before it responds.
  Duration wait{0};
};

/// A value, or the exit code with which the subcommand ends. The reason has
/// been printed by then.
template <typename T>
using ResultOrExit = tl::expected<T, ExitCode>;

/// Makes authenticated calls for a subcommand and prints errors.
class Session {
 public:
  /// Determines address, key and customer from the options or the environment;
  /// prints what is missing or not valid.
  static ResultOrExit<Session> Open(Role role, const AccessArguments& access,
                                    const CliEnvironment& environment);

  /// @return the response, with any status, or `kNotReachable`.
  ResultOrExit<CliResponse> Send(const CallSpec& spec) const;

  /// @return the body of a 2xx response; the exit code for any other response.
  ResultOrExit<std::string> SendForBody(const CallSpec& spec) const;

  /// Prints an error response, and whether the work was run.
  /// @return the exit code.
  ExitCode ReportErrorResponse(const CliResponse& response) const;

  /// Prints that a response cannot be decoded.
  /// @return the exit code.
  ExitCode ReportUndecodable(const Error& error) const;

 private:
  explicit Session(const CliEnvironment& environment)
      : environment_(&environment) {}

  const CliEnvironment* environment_;
  Endpoint server_;
  std::vector<HttpHeader> headers_;
};

/// Reads a file; prints the reason if it cannot be read.
ResultOrExit<std::string> ReadInputFile(const std::string& path,
                                        const CliEnvironment& environment);

/// @return the first line of a text without trailing spaces and tabs.
std::string FirstLine(std::string_view text);

/// Prints a message about an invalid input.
/// @return `kBadInput`.
ExitCode ReportBadInput(const CliEnvironment& environment,
                        std::string_view message);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_SESSION_H_
