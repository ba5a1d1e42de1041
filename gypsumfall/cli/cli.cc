#include "gypsumfall/cli/cli.h"

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/cli/internal/command.h"

namespace gypsumfall {
namespace {

constexpr int kCommandNameWidth = 18;

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  for (auto* group :
       {SettingsCommands, ContractCommands, WorkCommands, InspectCommands}) {
    std::vector<Command> commands = group();
    std::move(commands.begin(), commands.end(), std::back_inserter(all));
  }
  return all;
}

bool IsHelp(const std::string& argument) {
  return argument == "--help" || argument == "-h" || argument == "help";
}

void PrintCommands(const std::vector<Command>& commands, std::ostream& out) {
  out << "Usage: gypsumfall COMMAND ...\n\nCommands:\n" << std::left;
  for (const Command& command : commands) {
    out << "  " << std::setw(kCommandNameWidth) << command.name
        << command.summary << "\n";
  }
  out << "\nRun \"gypsumfall COMMAND --help\" for the options of a command.\n"
         "Exit codes: 0 ok, 1 refused, 2 bad input, 3 not reachable.\n";
}

// Finds the subcommand that the first one or two arguments name; two-word names
// take precedence.
// @return the subcommand, or null, and the number of words in its name.
std::pair<const Command*, std::size_t> FindCommand(
    const std::vector<Command>& commands,
    const std::vector<std::string>& arguments) {
  for (std::size_t name_words = std::min<std::size_t>(2, arguments.size());
       name_words > 0; --name_words) {
    const std::string name =
        name_words == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    const auto found =
        std::find_if(commands.begin(), commands.end(),
                     [&](const Command& c) { return c.name == name; });
    if (found != commands.end()) return {&*found, name_words};
  }
  return {nullptr, 0};
}

// @return the names of the commands in a group such as "contract"; of all
//     commands if the group is empty.
std::vector<std::string> NamesInGroup(const std::vector<Command>& commands,
                                      const std::string& group_name) {
  std::vector<std::string> names;
  for (const Command& command : commands) {
    const bool in_group = group_name.empty() ||
                          (command.name + " ").starts_with(group_name + " ");
    if (in_group) names.push_back(command.name);
  }
  return names;
}

ExitCode UnknownCommand(const std::vector<Command>& commands,
                        const std::vector<std::string>& arguments,
                        std::ostream& err) {
  std::string given = arguments[0];
  if (given.starts_with("-")) {
    err << "the command must come before its options; write for example "
           "\"gypsumfall contract list "
        << given << " ...\"\n";
    return ExitCode::kBadInput;
  }
  if (arguments.size() > 1) given += " " + arguments[1];
  std::vector<std::string> groups;
  groups.reserve(commands.size());
  for (const Command& command : commands) {
    groups.push_back(command.name.substr(0, command.name.find(' ')));
  }
  std::string nearest = NearestName(given, NamesInGroup(commands, ""));
  if (nearest.empty()) nearest = NearestName(arguments[0], groups);
  err << "unknown command " << Quote(given);
  if (!nearest.empty()) err << "; did you mean \"" << nearest << "\"?";
  const std::string group = nearest.substr(0, nearest.find(' '));
  err << (nearest.empty() ? "; allowed: " : " Allowed: ")
      << JoinNames(NamesInGroup(commands, group)) << "\n";
  return ExitCode::kBadInput;
}

}  // namespace

std::optional<ExitCode> ParseArguments(const std::string& name,
                                       const std::string& summary,
                                       const OptionList& list,
                                       const std::vector<std::string>& args,
                                       const CliEnvironment& environment) {
  const bool help = std::find(args.begin(), args.end(), "--help") != args.end();
  if (help) {
    environment.out << OptionsHelp(name, summary, list);
    return ExitCode::kOk;
  }
  const std::vector<std::string> messages = ParseOptions(list, args);
  if (messages.empty()) return std::nullopt;
  for (const std::string& message : messages)
    environment.err << message << "\n";
  environment.err << "Run \"gypsumfall " << name
                  << " --help\" to see the usage of the command.\n";
  return ExitCode::kBadInput;
}

ExitCode RunCli(const std::vector<std::string>& arguments,
                const CliEnvironment& environment) {
  const std::vector<Command> commands = AllCommands();
  if (arguments.empty()) {
    PrintCommands(commands, environment.err);
    return ExitCode::kBadInput;
  }
  if (IsHelp(arguments[0])) {
    PrintCommands(commands, environment.out);
    return ExitCode::kOk;
  }
  const auto [command, name_words] = FindCommand(commands, arguments);
  if (command == nullptr) {
    return UnknownCommand(commands, arguments, environment.err);
  }
  const std::vector<std::string> command_arguments(
      arguments.begin() + static_cast<std::ptrdiff_t>(name_words),
      arguments.end());
  return command->run(command_arguments, environment);
}

}  // namespace gypsumfall
