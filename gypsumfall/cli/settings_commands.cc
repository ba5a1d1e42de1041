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

  OptionList DefineOptions() {
    OptionList list;
    list.Add(OptionForm::kPositional, "file", "FILE", "the settings file",
             file);
    list.AddRepeated("set", "SECTION.KEY=VALUE",
                     "replaces a value of the file; may be repeated",
                     overrides);
    return list;
  }
};

ResultOrExit<EntrySettings> ReadEntrySettings(
    const SettingsArguments& arguments, const CliEnvironment& environment) {
  const auto text = ReadInputFile(arguments.file, environment);
  if (!text) return tl::unexpected(text.error());
  auto settings =
      ParseEntrySettings(*text, arguments.file, arguments.overrides);
  if (settings) return *std::move(settings);
  environment.err << DiagnosticsToString(settings.error());
  return tl::unexpected(ExitCode::kBadInput);
}

ExitCode CheckEntrySettings(const SettingsArguments& arguments,
                            const CliEnvironment& environment) {
  const auto settings = ReadEntrySettings(arguments, environment);
  if (!settings) return settings.error();
  environment.out << arguments.file << " is valid: entry host "
                  << settings->host.id << " in data centre "
                  << settings->host.data_centre << ", listening on "
                  << settings->host.listen.ToString() << ", with "
                  << settings->peers.size() << " peers.\n";
  return ExitCode::kOk;
}

ExitCode RunEntryHost(const SettingsArguments& arguments,
                      const CliEnvironment& environment) {
  const auto settings = ReadEntrySettings(arguments, environment);
  if (!settings) return settings.error();
  return environment.run_entry_host(*settings);
}

// Parses the settings and passes them to `run`; prints diagnostics if they are
// not valid.
template <typename Run>
ExitCode WithSchedulerSettings(const SettingsArguments& arguments,
                               const CliEnvironment& environment, Run run) {
  const auto text = ReadInputFile(arguments.file, environment);
  if (!text) return text.error();
  const auto settings =
      ParseSchedulerSettings(*text, arguments.file, arguments.overrides);
  if (settings) return run(*settings);
  environment.err << DiagnosticsToString(settings.error());
  return ExitCode::kBadInput;
}

ExitCode RunSchedulingHost(const SettingsArguments& arguments,
                           const CliEnvironment& environment) {
  const auto reload = [&]() -> std::optional<SchedulerSettings> {
    std::optional<SchedulerSettings> settings;
    WithSchedulerSettings(arguments, environment,
                          [&](const SchedulerSettings& parsed) {
                            settings = parsed;
                            return ExitCode::kOk;
                          });
    return settings;
  };
  return WithSchedulerSettings(
      arguments, environment, [&](const SchedulerSettings& settings) {
        return environment.run_scheduling_host(settings, reload);
      });
}

ExitCode CheckSchedulerSettings(const SettingsArguments& arguments,
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
  return {MakeCommand("serve", "runs an entry host until it is stopped",
                      RunEntryHost),
          MakeCommand("schedule",
                      "runs a scheduling host on the platform until it is "
                      "stopped",
                      RunSchedulingHost),
          MakeCommand("schedule-settings check",
                      "checks a scheduling host's settings and prints all "
                      "diagnostics",
                      CheckSchedulerSettings),
          MakeCommand("settings check",
                      "checks a settings file and prints all diagnostics",
                      CheckEntrySettings)};
}

}  // namespace gypsumfall
