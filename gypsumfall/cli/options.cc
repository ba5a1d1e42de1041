#include "gypsumfall/cli/internal/options.h"

#include <algorithm>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

namespace po = boost::program_options;

// Abbreviated names are rejected, because they could become ambiguous or change
// their meaning when an option is added.
constexpr int kCommandLineStyle = po::command_line_style::unix_style &
                                  ~po::command_line_style::allow_guessing;

// @param with_positionals whether positional arguments are included; the help
//     lists them separately.
po::options_description ToBoostOptions(const OptionList& list,
                                       bool with_positionals) {
  po::options_description description("Options");
  for (const Option& option : list.options()) {
    if (option.form == OptionForm::kPositional && !with_positionals) continue;
    if (option.form == OptionForm::kFlag) {
      description.add_options()(option.name.c_str(), option.help.c_str());
      continue;
    }
    auto* value = po::value<std::vector<std::string>>();
    value->value_name(option.value_name);
    description.add_options()(option.name.c_str(), value, option.help.c_str());
  }
  return description;
}

std::string Usage(const std::string& command, const OptionList& list) {
  std::string text = "gypsumfall " + command;
  bool has_options = false;
  for (const Option& option : list.options()) {
    if (option.form == OptionForm::kPositional) text += " " + option.value_name;
    has_options = has_options || option.form != OptionForm::kPositional;
  }
  return text + (has_options ? " [options]" : "");
}

std::string UnknownOption(const OptionList& list, const std::string& name) {
  std::vector<std::string> names;
  for (const Option& option : list.options()) {
    if (option.form != OptionForm::kPositional) {
      names.push_back("--" + option.name);
    }
  }
  const std::string nearest = NearestName(name, names);
  std::string text = "unknown option " + Quote(name);
  if (!nearest.empty()) text += "; did you mean " + nearest + "?";
  if (names.empty()) return text + "; this command has no options";
  return text + (nearest.empty() ? "; allowed: " : " Allowed: ") +
         JoinNames(names);
}

// Stores arguments and counts them in order to report repeated and missing
// ones.
class OptionStorer {
 public:
  explicit OptionStorer(const OptionList& list) : list_(list) {}

  void Store(const po::option& parsed) {
    const auto option = std::find_if(
        list_.options().begin(), list_.options().end(),
        [&](const Option& o) { return o.name == parsed.string_key; });
    if (option == list_.options().end()) return;
    const bool repeated = ++counts_[option->name] > 1;
    if (repeated && option->form != OptionForm::kRepeated) {
      messages_.push_back(DisplayName(*option) + " is given twice; keep one");
      return;
    }
    const std::string value = parsed.value.empty() ? "" : parsed.value.front();
    if (const auto stored = option->store(value); !stored) {
      messages_.push_back(DisplayName(*option) + ": " + stored.error());
    }
  }

  std::vector<std::string> Finish() && {
    for (const Option& option : list_.options()) {
      const bool missing = option.form == OptionForm::kPositional &&
                           !counts_.contains(option.name);
      if (missing) messages_.push_back(DisplayName(option) + " is missing");
    }
    return std::move(messages_);
  }

 private:
  static std::string DisplayName(const Option& option) {
    return option.form == OptionForm::kPositional ? option.value_name
                                                  : "--" + option.name;
  }

  const OptionList& list_;
  std::map<std::string, int> counts_;
  std::vector<std::string> messages_;
};

}  // namespace

void OptionList::Add(OptionForm form, std::string name, std::string value_name,
                     std::string help, std::string& target) {
  Add(form, std::move(name), std::move(value_name), std::move(help), target,
      [](std::string_view text) -> ParsedValue<std::string> {
        return std::string(text);
      });
}

void OptionList::AddRepeated(std::string name, std::string value_name,
                             std::string help,
                             std::vector<std::string>& target) {
  auto append = [&target](std::string_view text) -> ParsedValue<void> {
    target.emplace_back(text);
    return {};
  };
  options_.push_back({OptionForm::kRepeated, std::move(name),
                      std::move(value_name), std::move(help), append});
}

void OptionList::AddFlag(std::string name, std::string help, bool& target) {
  auto set = [&target](std::string_view) -> ParsedValue<void> {
    target = true;
    return {};
  };
  options_.push_back(
      {OptionForm::kFlag, std::move(name), "", std::move(help), set});
}

std::vector<std::string> ParseOptions(const OptionList& list,
                                      const std::vector<std::string>& args) {
  const po::options_description description = ToBoostOptions(list, true);
  po::positional_options_description positionals;
  for (const Option& option : list.options()) {
    if (option.form != OptionForm::kPositional) continue;
    positionals.add(option.name.c_str(), 1);
  }
  OptionStorer storer(list);
  try {
    const po::parsed_options parsed = po::command_line_parser(args)
                                          .options(description)
                                          .positional(positionals)
                                          .style(kCommandLineStyle)
                                          .run();
    for (const po::option& option : parsed.options) storer.Store(option);
  } catch (const po::unknown_option& exception) {
    return {UnknownOption(list, exception.get_option_name())};
  } catch (const po::too_many_positional_options_error&) {
    return {"there are too many arguments"};
  } catch (const po::error& exception) {
    return {exception.what()};
  }
  return std::move(storer).Finish();
}

std::string OptionsHelp(const std::string& command, const std::string& summary,
                        const OptionList& list) {
  std::ostringstream text;
  text << "Usage: " << Usage(command, list) << "\n" << summary << "\n";
  for (const Option& option : list.options()) {
    if (option.form != OptionForm::kPositional) continue;
    text << "  " << option.value_name << ": " << option.help << "\n";
  }
  const po::options_description options = ToBoostOptions(list, false);
  if (!options.options().empty()) text << "\n" << options;
  return text.str();
}

}  // namespace gypsumfall
