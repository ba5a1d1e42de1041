#include "gypsumfall/settings/internal/fields.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

// Names in this section are not shown: the second line of a wrapped secret
// may look like a key.
constexpr std::string_view kSecretSection = "keys";

std::string Suggestion(std::string_view name,
                       const std::vector<std::string>& allowed) {
  const std::string nearest = NearestName(name, allowed);
  std::string text;
  if (!nearest.empty()) text = "; did you mean " + Quote(nearest) + "?";
  return text + (nearest.empty() ? "; allowed: " : " Allowed: ") +
         JoinNames(allowed);
}

// Returns a hint if the value seems to end in a comment, which is parsed as
// part of the value.
std::string CommentHint(std::string_view value) {
  const bool comment = value.find(" #") != std::string_view::npos ||
                       value.find(" ;") != std::string_view::npos;
  return comment ? "; a comment needs a line of its own" : "";
}

class FieldReader {
 public:
  FieldReader(const IniSection& section, const std::vector<Field>& fields,
              const std::string& file, std::vector<Diagnostic>& diagnostics)
      : section_(section),
        fields_(fields),
        file_(file),
        diagnostics_(diagnostics) {}

  void Read() {
    for (const IniEntry& entry : section_.entries) ReadEntry(entry);
    for (const Field& field : fields_) CheckRequired(field);
  }

 private:
  void Report(int line, std::string message, bool from_command_line = false) {
    AddDiagnostic(diagnostics_, from_command_line ? kCommandLine : file_, line,
                  std::move(message));
  }

  void ReadEntry(const IniEntry& entry) {
    const bool from_command_line = entry.line == 0;
    const auto field =
        std::find_if(fields_.begin(), fields_.end(),
                     [&](const Field& f) { return f.key == entry.key; });
    if (field == fields_.end()) {
      Report(entry.line, UnknownKeyMessage(entry.key), from_command_line);
      ReadMisspelt(entry);
      return;
    }
    const auto [first, inserted] = first_lines_.emplace(entry.key, entry.line);
    if (!inserted && field->presence != Presence::kRepeated) {
      Report(
          entry.line,
          section_.Header() + " " + entry.key + " is given again, first on " +
              (first->second == 0 ? std::string("the command line")
                                  : "line " + std::to_string(first->second)) +
              "; keep one of the lines",
          from_command_line);
      return;
    }
    if (const auto stored = field->store(entry.value); !stored) {
      Report(entry.line,
             section_.Header() + " " + entry.key + ": " + stored.error() +
                 CommentHint(entry.value),
             from_command_line);
    }
  }

  std::vector<std::string> KeyNames() const {
    std::vector<std::string> names;
    for (const Field& field : fields_) names.push_back(field.key);
    return names;
  }

  // Reads the entry under the nearest known key: this checks its value and
  // keeps that key from being reported as missing.
  void ReadMisspelt(const IniEntry& entry) {
    const std::string nearest = NearestName(entry.key, KeyNames());
    if (nearest.empty() || section_.Has(nearest)) return;
    ReadEntry({nearest, entry.value, entry.line});
  }

  std::string UnknownKeyMessage(const std::string& key) const {
    if (section_.name == kSecretSection) {
      return "unknown key in " + section_.Header() +
             "; allowed: " + JoinNames(KeyNames());
    }
    return "unknown key " + Quote(key) + " in " + section_.Header() +
           Suggestion(key, KeyNames());
  }

  void CheckRequired(const Field& field) {
    if (field.presence == Presence::kOptional) return;
    if (first_lines_.contains(field.key)) return;
    std::string message = section_.Header() + " " + field.key +
                          " is missing; write \"" + field.key + " = " +
                          field.example + "\" below " + section_.Header();
    Report(section_.line, std::move(message));
  }

  const IniSection& section_;
  const std::vector<Field>& fields_;
  const std::string& file_;
  std::vector<Diagnostic>& diagnostics_;
  std::map<std::string, int> first_lines_;
};

// Returns what is wrong with the label of a header; empty if it is valid.
std::string LabelError(const IniSection& section, const SectionRule& rule) {
  if (!rule.labelled) {
    if (section.label.empty()) return {};
    return "[" + rule.name + "] takes no name; write [" + rule.name + "]";
  }
  if (section.label.empty()) {
    return "[" + rule.name + "] needs a name; write for example [" + rule.name +
           " a1]";
  }
  const auto id = ParseId(section.label);
  return id ? std::string() : "[" + rule.name + " NAME]: " + id.error();
}

class SectionReader {
 public:
  SectionReader(const IniDocument& document,
                const std::vector<SectionRule>& rules,
                std::vector<Diagnostic>& diagnostics)
      : document_(document), rules_(rules), diagnostics_(diagnostics) {
    for (const SectionRule& rule : rules) names_.push_back(rule.name);
  }

  void Read() {
    for (const IniSection& section : document_.sections) ReadSection(section);
    for (const SectionRule& rule : rules_) {
      const bool given = first_lines_.contains("[" + rule.name + "]");
      if (!rule.labelled && !given) rule.read({rule.name, {}, 0, {}});
    }
  }

 private:
  void Report(const IniSection& section, std::string message) {
    AddDiagnostic(diagnostics_,
                  section.line == 0 ? kCommandLine : document_.file,
                  section.line, std::move(message));
  }

  void ReadSection(const IniSection& section) {
    const auto rule = std::find_if(
        rules_.begin(), rules_.end(),
        [&](const SectionRule& r) { return r.name == section.name; });
    if (rule == rules_.end()) {
      Report(section, "unknown section " + Quote(section.Header()) +
                          Suggestion(section.name, names_));
      ReadMisspelt(section);
      return;
    }
    const auto [first, inserted] =
        first_lines_.emplace(section.Header(), section.line);
    if (!inserted) {
      Report(section, section.Header() + " is given again, first on line " +
                          std::to_string(first->second) +
                          "; move its keys there");
      return;
    }
    if (std::string label_error = LabelError(section, *rule);
        !label_error.empty()) {
      first_lines_.emplace("[" + rule->name + "]", section.line);
      Report(section, std::move(label_error));
      return;
    }
    rule->read(section);
  }

  // Reads the section under the nearest known name: this checks its keys and
  // keeps that section from being read as absent.
  void ReadMisspelt(const IniSection& section) {
    IniSection corrected = section;
    corrected.name = NearestName(section.name, names_);
    if (corrected.name.empty()) return;
    const std::string header = corrected.Header();
    const bool given = std::any_of(
        document_.sections.begin(), document_.sections.end(),
        [&](const IniSection& other) { return other.Header() == header; });
    if (!given) ReadSection(corrected);
  }

  const IniDocument& document_;
  const std::vector<SectionRule>& rules_;
  std::vector<Diagnostic>& diagnostics_;
  std::vector<std::string> names_;
  std::map<std::string, int> first_lines_;
};

}  // namespace

void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                const std::string& file, std::vector<Diagnostic>& diagnostics) {
  FieldReader(section, fields, file, diagnostics).Read();
}

void ReadSections(const IniDocument& document,
                  const std::vector<SectionRule>& rules,
                  std::vector<Diagnostic>& diagnostics) {
  SectionReader(document, rules, diagnostics).Read();
}

}  // namespace gypsumfall
