#ifndef GYPSUMFALL_CLI_INTERNAL_OPTIONS_H_
#define GYPSUMFALL_CLI_INTERNAL_OPTIONS_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// How an argument is written on the command line.
enum class OptionForm {
  /// Identified by its position, always required.
  kPositional,
  /// "--name VALUE", at most once.
  kValue,
  /// "--name VALUE", any number of times.
  kRepeated,
  /// "--name".
  kFlag,
};

/// One argument of a subcommand, with the function that parses and stores its
/// value.
struct Option {
  OptionForm form = OptionForm::kValue;
  std::string name;
  /// Placeholder of the value in the help, such as "FILE"; empty for flags.
  std::string value_name;
  std::string help;
  std::function<ParsedValue<void>(std::string_view)> store;
};

/// The arguments of one subcommand.
class OptionList {
 public:
  /// Adds an argument whose value is parsed by `parse`.
  /// @param target where a valid value is stored; must outlive the list.
  template <typename T, typename Parse>
  void Add(OptionForm form, std::string name, std::string value_name,
           std::string help, T& target, Parse parse) {
    auto store = MakeField(name, Presence::kOptional, target, std::move(parse));
    options_.push_back({form, std::move(name), std::move(value_name),
                        std::move(help), std::move(store.store)});
  }
  /// Adds an argument whose value is stored without parsing.
  void Add(OptionForm form, std::string name, std::string value_name,
           std::string help, std::string& target);
  /// Adds "--name VALUE", which may be repeated. Values are appended to
  /// `target`.
  void AddRepeated(std::string name, std::string value_name, std::string help,
                   std::vector<std::string>& target);
  /// Adds "--name", which sets `target` to true.
  void AddFlag(std::string name, std::string help, bool& target);

  const std::vector<Option>& options() const { return options_; }

 private:
  std::vector<Option> options_;
};

/// Parses and stores arguments.
/// @return one message for each argument that is invalid, missing or repeated;
///     empty if all are valid.
std::vector<std::string> ParseOptions(const OptionList& list,
                                      const std::vector<std::string>& args);

/// @return the help of a subcommand: its usage line, summary and options.
std::string OptionsHelp(const std::string& command, const std::string& summary,
                        const OptionList& list);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_OPTIONS_H_
