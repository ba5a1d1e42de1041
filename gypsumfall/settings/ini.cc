#include "gypsumfall/settings/internal/ini.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace gypsumfall {
namespace {

constexpr std::string_view kWhitespace = " \t\r\f\v";
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return {};
  const std::size_t last = text.find_last_not_of(kWhitespace);
  return text.substr(first, last - first + 1);
}

class IniReader {
 public:
  explicit IniReader(std::string_view file) { document_.file = file; }

  void ReadLine(std::string_view raw) {
    ++line_;
    const std::string_view text = Trim(raw);
    if (text.empty() || text.front() == '#' || text.front() == ';') return;
    if (text.front() == '[') {
      ReadHeader(text);
    } else {
      ReadEntry(text);
    }
  }

  IniDocument Finish() && { return std::move(document_); }

 private:
  void Report(std::string message) {
    AddDiagnostic(document_.diagnostics, document_.file, line_,
                  std::move(message));
  }

  void ReadHeader(std::string_view text) {
    // Entries below a malformed header belong to no known section and are not
    // checked.
    skip_entries_ = true;
    if (text.find(']') != text.size() - 1) {
      Report(
          "the section header does not end with one \"]\"; write [name] alone "
          "on the line");
      return;
    }
    const std::string_view inner = Trim(text.substr(1, text.size() - 2));
    if (inner.empty()) {
      Report("the section header has no name; write a name, as in [limits]");
      return;
    }
    const std::size_t pos = inner.find_first_of(kWhitespace);
    IniSection section{std::string(inner.substr(0, pos)), {}, line_, {}};
    if (pos != std::string_view::npos) section.label = Trim(inner.substr(pos));
    document_.sections.push_back(std::move(section));
    skip_entries_ = false;
  }

  // Diagnostics do not show the line because it may hold part of a secret.
  void ReadEntry(std::string_view text) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      Report(
          "the line is neither a section nor a value; write \"key = value\", "
          "or put # in front of a comment");
      return;
    }
    const std::string_view key = Trim(text.substr(0, equals));
    if (key.empty()) {
      Report("there is no key before \"=\"; write \"key = value\"");
      return;
    }
    if (skip_entries_) return;
    if (document_.sections.empty()) {
      Report("the key " + Quote(key) +
             " stands before the first section; put it below a section header "
             "such as [limits]");
      return;
    }
    document_.sections.back().entries.push_back(
        {std::string(key), std::string(Trim(text.substr(equals + 1))), line_});
  }

  IniDocument document_;
  int line_ = 0;
  bool skip_entries_ = false;
};

}  // namespace

std::string IniSection::Header() const {
  return label.empty() ? "[" + name + "]" : "[" + name + " " + label + "]";
}

int IniSection::LineOf(std::string_view key) const {
  for (const IniEntry& entry : entries) {
    if (entry.key == key) return entry.line;
  }
  return line;
}

bool IniSection::Has(std::string_view key) const {
  return std::any_of(entries.begin(), entries.end(),
                     [&](const IniEntry& entry) { return entry.key == key; });
}

IniDocument ParseIni(std::string_view text, std::string_view file) {
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  IniReader reader(file);
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    reader.ReadLine(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return std::move(reader).Finish();
}

}  // namespace gypsumfall
