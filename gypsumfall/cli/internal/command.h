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

/// A subcommand by its name, such as "contract put".
struct Command {
  std::string name;
  std::string summary;
  /// Parses the arguments behind the name and runs the subcommand.
  std::function<ExitCode(const std::vector<std::string>&,
                         const CliEnvironment&)>
      run;
};

/// Prints the help if it is asked for, or what is wrong with the arguments.
/// @return the exit code if the subcommand must not run.
std::optional<ExitCode> ReadArguments(const std::string& name,
                                      const std::string& summary,
                                      const OptionList& list,
                                      const std::vector<std::string>& args,
                                      const CliEnvironment& environment);

/// Makes a subcommand from a function that takes parsed arguments.
/// @tparam Arguments a struct with a method `OptionList Describe()`.
template <typename Arguments>
Command MakeCommand(std::string name, std::string summary,
                    ExitCode (*run)(const Arguments&, const CliEnvironment&)) {
  auto parse_and_run = [name, summary, run](
                           const std::vector<std::string>& args,
                           const CliEnvironment& environment) {
    Arguments arguments;
    const OptionList list = arguments.Describe();
    const auto exit = ReadArguments(name, summary, list, args, environment);
    return exit ? *exit : run(arguments, environment);
  };
  return {std::move(name), std::move(summary), std::move(parse_and_run)};
}

/// @return "serve" and "settings check".
std::vector<Command> SettingsCommands();
/// @return the subcommands of "contract".
std::vector<Command> ContractCommands();
/// @return the subcommands of "task", and "request".
std::vector<Command> WorkCommands();
/// @return "explain", "dump" and "key digest".
std::vector<Command> InspectCommands();

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_COMMAND_H_
