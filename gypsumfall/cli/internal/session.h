#ifndef GYPSUMFALL_CLI_INTERNAL_SESSION_H_
#define GYPSUMFALL_CLI_INTERNAL_SESSION_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "gypsumfall/cli/cli.h"
#include "gypsumfall/cli/internal/options.h"

namespace gypsumfall {

/// Who makes a call: operators have one key, callers have one per customer.
enum class Role { kOperator, kCaller };

/// Options of every subcommand that calls an entry host. Empty ones are taken
/// from environment variables.
struct AccessArguments {
  std::string server;
  std::string key_file;
  std::string customer;

  /// Adds the options of a role to a list.
  void Describe(Role role, OptionList& list);
};

/// A call as a subcommand describes it.
struct CallPlan {
  std::string method;
  std::string path;
  std::string body;
  /// What to do if the answer is lost, when the call may have taken effect.
  std::string if_lost;
  /// Extra time that the entry host may take before it answers.
  Duration wait{0};
};

/// What a subcommand returns early with, after it printed the reason.
template <typename T>
using OrExit = tl::expected<T, ExitCode>;

/// Makes calls for a subcommand and prints what goes wrong.
class Session {
 public:
  /// Finds address and key; prints what is missing.
  static OrExit<Session> Open(Role role, const AccessArguments& access,
                              const CliEnvironment& environment);

  /// @return the answer whatever its status, or `kNotReachable`.
  OrExit<CliAnswer> Send(const CallPlan& plan) const;

  /// @return the body of a 2xx answer, or the exit code of another one.
  OrExit<std::string> SendForBody(const CallPlan& plan) const;

  /// Prints an error answer.
  /// @return the exit code.
  ExitCode Refused(const CliAnswer& answer) const;

  /// Prints that an answer can't be read.
  /// @return the exit code.
  ExitCode Unreadable(const Error& error) const;

 private:
  explicit Session(const CliEnvironment& environment)
      : environment_(&environment) {}

  const CliEnvironment* environment_;
  Endpoint server_;
  std::vector<HttpHeader> headers_;
};

/// Reads a file; prints the reason if it can't be read.
OrExit<std::string> ReadInput(const std::string& path,
                              const CliEnvironment& environment);

/// @return the first line of a text without blanks at its end.
std::string FirstLine(std::string_view text);

/// Prints a message about an input that is not valid.
/// @return `kBadInput`.
ExitCode BadInput(const CliEnvironment& environment, std::string_view message);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_SESSION_H_
