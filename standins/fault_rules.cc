#include <algorithm>
#include <string_view>
#include <vector>

#include "standins/models.h"

namespace gypsumfall::standins {
namespace {

FaultEffect EffectOf(const FaultRule& rule) {
  switch (rule.fault) {
    case Fault::kDown:
      return {.down = true, .applied = false, .answered = false};
    case Fault::kSlow:
      return {.delay = rule.delay};
    case Fault::kAppliedAnswerLost:
      return {.answered = false};
    case Fault::kNotAppliedAnswerLost:
      return {.applied = false, .answered = false};
  }
  return {};
}

}  // namespace

FaultEffect FaultRules::Match(std::string_view op,
                              const std::vector<std::string_view>& keys) {
  for (FaultRule& rule : rules_) {
    if (!Applies(rule, op, keys)) continue;
    if (rule.count > 0) --rule.count;
    return EffectOf(rule);
  }
  return {};
}

bool FaultRules::Applies(const FaultRule& rule, std::string_view op,
                         const std::vector<std::string_view>& keys) {
  if (rule.count == 0) return false;
  if (!rule.op.empty() && rule.op != op) return false;
  const bool key_matches =
      rule.key_prefix.empty() ||
      std::any_of(keys.begin(), keys.end(), [&](std::string_view key) {
        return key.starts_with(rule.key_prefix);
      });
  if (!key_matches) return false;
  if (rule.probability >= 1) return true;
  return std::uniform_real_distribution<double>(0, 1)(random_) <
         rule.probability;
}

std::optional<Fault> FaultFromName(std::string_view name) {
  if (name == "down") return Fault::kDown;
  if (name == "slow") return Fault::kSlow;
  if (name == "applied_answer_lost") return Fault::kAppliedAnswerLost;
  if (name == "not_applied_answer_lost") return Fault::kNotAppliedAnswerLost;
  return std::nullopt;
}

}  // namespace gypsumfall::standins
