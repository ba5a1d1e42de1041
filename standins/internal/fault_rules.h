#ifndef STANDINS_INTERNAL_FAULT_RULES_H_
#define STANDINS_INTERNAL_FAULT_RULES_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall::standins {

/// Faults that a rule can inject into a call.
enum class Fault {
  /// The service refuses connections: nothing is applied or answered.
  kDown,
  /// The call is applied at once and answered after a delay.
  kSlow,
  kAppliedAnswerLost,
  kNotAppliedAnswerLost,
};

/// Selects calls and the fault that is injected into them.
struct FaultRule {
  Fault fault = Fault::kDown;
  /// "transact", "read", "scan", "object_put", "object_get", "object_delete"
  /// or "hosts"; empty for all.
  std::string op = {};
  /// Matches if any key of the call has this prefix.
  std::string key_prefix = {};
  double probability = 1;
  /// Remaining number of calls that the rule applies to; negative for no limit.
  int count = -1;
  /// Delay of `kSlow`.
  Duration delay = Duration::zero();
};

/// Effect of the fault rules on one call.
struct FaultEffect {
  bool down = false;
  bool applied = true;
  bool answered = true;
  Duration delay = Duration::zero();
};

/// An ordered list of rules; the first match applies.
class FaultRules {
 public:
  /// @param seed seeds the random choices, so that runs are reproducible.
  explicit FaultRules(std::uint64_t seed = 1) : random_(seed) {}

  void Add(FaultRule rule) { rules_.push_back(std::move(rule)); }
  void Clear() { rules_.clear(); }
  /// Returns the effect on a call and decrements the count of the matching
  /// rule.
  FaultEffect Match(std::string_view op,
                    const std::vector<std::string_view>& keys);

 private:
  bool Applies(const FaultRule& rule, std::string_view op,
               const std::vector<std::string_view>& keys);

  std::vector<FaultRule> rules_;
  std::mt19937_64 random_;
};

/// @return the fault with a name such as "applied_answer_lost", or nothing.
std::optional<Fault> FaultFromName(std::string_view name);

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_FAULT_RULES_H_
