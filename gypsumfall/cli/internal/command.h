#ifndef GYPSUMFALL_CLI_INTERNAL_COMMAND_H_
#define GYPSUMFALL_CLI_INTERNAL_COMMAND_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/cli/cli.h"
#include "gypsumfall/cli/internal/options.h"

namespace gypsumfall {

/// A subcommand of the binary.
struct Command {
  /// One or two words, such as "contract put".
  std::string name;
  std::string summary;
  /// Parses the arguments after the name and runs the subcommand.
  std::function<ExitCode(const std::vector<std::string>&,
                         const CliEnvironment&)>
      run;
};

/// Parses and stores the arguments of a subcommand. Prints the help if it is
/// requested, or a message about each invalid argument.
/// @return the exit code if the subcommand must not run, otherwise nothing.
std::optional<ExitCode> ParseArguments(const std::string& name,
                                       const std::string& summary,
                                       const OptionList& list,
                                       const std::vector<std::string>& args,
                                       const CliEnvironment& environment);

/// Creates a subcommand from a function that takes parsed arguments.
/// @tparam Arguments a struct with a method `OptionList DefineOptions()`.
template <typename Arguments>
Command MakeCommand(std::string name, std::string summary,
                    ExitCode (*run)(const Arguments&, const CliEnvironment&)) {
  auto parse_and_run = [name, summary, run](
                           const std::vector<std::string>& args,
                           const CliEnvironment& environment) {
    Arguments arguments;
    const OptionList list = arguments.DefineOptions();
    const auto exit_code =
        ParseArguments(name, summary, list, args, environment);
    return exit_code ? *exit_code : run(arguments, environment);
  };
  return {std::move(name), std::move(summary), std::move(parse_and_run)};
}

/// @return the subcommands that run or check an entry host or a scheduling
/// host.
std::vector<Command> SettingsCommands();
/// @return the subcommands of "contract".
std::vector<Command> ContractCommands();
/// @return the subcommands of "task", and "request".
std::vector<Command> WorkCommands();
/// @return "explain", "dump" and "key digest".
std::vector<Command> InspectCommands();

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_COMMAND_H_
