#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/cli/internal/command.h"
#include "gypsumfall/cli/internal/session.h"

namespace gypsumfall {
namespace {

struct SettingsArguments {
  std::string file;
  std::vector<std::string> overrides;

  OptionList Describe() {
    OptionList list;
    list.Add(OptionForm::kPositional, "file", "FILE", "the settings file",
             file);
    list.AddRepeated("set", "SECTION.KEY=VALUE",
                     "replaces a value of the file; may be repeated",
                     overrides);
    return list;
  }
};

OrExit<EntrySettings> ReadSettings(const SettingsArguments& arguments,
                                   const CliEnvironment& environment) {
  const auto text = ReadInput(arguments.file, environment);
  if (!text) return tl::unexpected(text.error());
  auto settings =
      ParseEntrySettings(*text, arguments.file, arguments.overrides);
  if (settings) return *std::move(settings);
  environment.err << FaultsToString(settings.error());
  return tl::unexpected(ExitCode::kBadInput);
}

ExitCode Check(const SettingsArguments& arguments,
               const CliEnvironment& environment) {
  const auto settings = ReadSettings(arguments, environment);
  if (!settings) return settings.error();
  environment.out << arguments.file << " is valid: entry host "
                  << settings->host.id << " in data centre "
                  << settings->host.data_centre << ", listening on "
                  << settings->host.listen.ToString() << ", with "
                  << settings->peers.size() << " peers.\n";
  return ExitCode::kOk;
}

ExitCode Serve(const SettingsArguments& arguments,
               const CliEnvironment& environment) {
  const auto settings = ReadSettings(arguments, environment);
  if (!settings) return settings.error();
  return environment.serve(*settings);
}

template <typename Run>
ExitCode WithSchedulerSettings(const SettingsArguments& arguments,
                               const CliEnvironment& environment, Run run) {
  const auto text = ReadInput(arguments.file, environment);
  if (!text) return text.error();
  const auto settings =
      ParseSchedulerSettings(*text, arguments.file, arguments.overrides);
  if (settings) return run(*settings);
  environment.err << FaultsToString(settings.error());
  return ExitCode::kBadInput;
}

ExitCode Schedule(const SettingsArguments& arguments,
                  const CliEnvironment& environment) {
  const auto reload = [&]() -> std::optional<SchedulerSettings> {
    std::optional<SchedulerSettings> settings;
    WithSchedulerSettings(arguments, environment,
                          [&](const SchedulerSettings& read) {
                            settings = read;
                            return ExitCode::kOk;
                          });
    return settings;
  };
  return WithSchedulerSettings(arguments, environment,
                               [&](const SchedulerSettings& settings) {
                                 return environment.schedule(settings, reload);
                               });
}

ExitCode CheckSchedule(const SettingsArguments& arguments,
                       const CliEnvironment& environment) {
  return WithSchedulerSettings(
      arguments, environment, [&](const SchedulerSettings& settings) {
        environment.out << arguments.file << " is valid: scheduling host "
                        << settings.host.id << " in data centre "
                        << settings.host.data_centre << ", callers on "
                        << settings.host.listen_callers.ToString()
                        << ", table service at "
                        << settings.platform.table_service.ToString() << ".\n";
        return ExitCode::kOk;
      });
}

}  // namespace

std::vector<Command> SettingsCommands() {
  return {MakeCommand("serve", "runs an entry host until it is stopped", Serve),
          MakeCommand("schedule",
                      "runs a scheduling host on the platform until it is "
                      "stopped",
                      Schedule),
          MakeCommand("schedule-settings check",
                      "checks a scheduling host's settings and shows all "
                      "faults",
                      CheckSchedule),
          MakeCommand("settings check",
                      "checks a settings file and shows all faults", Check)};
}

}  // namespace gypsumfall
