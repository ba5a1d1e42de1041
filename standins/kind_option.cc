#include "standins/internal/kind_option.h"

#include <charconv>
#include <optional>
#include <string>
#include <vector>

namespace gypsumfall::standins {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts(1);
  for (const char c : text) {
    if (c == ':') {
      parts.emplace_back();
    } else {
      parts.back() += c;
    }
  }
  return parts;
}

std::optional<std::int64_t> Number(const std::string& text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end || number < 0) return std::nullopt;
  return number;
}

}  // namespace

std::string AddKind(const std::string& text, WorkerOptions& options) {
  const std::vector<std::string> parts = Split(text);
  std::vector<std::int64_t> numbers;
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const auto number = Number(parts[i]);
    if (!number) break;
    numbers.push_back(*number);
  }
  const bool complete = numbers.size() + 1 == parts.size();
  if (parts[0].empty() || !complete || numbers.empty() || numbers.size() > 3) {
    return "--kind \"" + text +
           "\" must be NAME:run_ms[:checkpoint_ms[:use_permille]]";
  }
  KindBehaviour& kind = options.kinds[KindId(parts[0])];
  kind.run_time = milliseconds(numbers[0]);
  if (numbers.size() > 1) kind.checkpoint_every = milliseconds(numbers[1]);
  if (numbers.size() > 2) kind.use_permille = numbers[2];
  return {};
}

std::string AddSlowdown(const std::string& text, WorkerOptions& options) {
  const std::vector<std::string> parts = Split(text);
  const auto permille = parts.size() == 3 ? Number(parts[2]) : std::nullopt;
  if (!permille) {
    return "--slowdown \"" + text + "\" must be KIND:NEIGHBOUR:permille";
  }
  const auto kind = options.kinds.find(KindId(parts[0]));
  if (kind == options.kinds.end()) {
    return "--slowdown \"" + text + "\" names a kind without --kind";
  }
  kind->second.slowdown_by_neighbour[KindId(parts[1])] = *permille;
  return {};
}

}  // namespace gypsumfall::standins
