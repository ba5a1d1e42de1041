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

enum class Fault {
  /// The service refuses connections: nothing is applied or answered.
  kDown,
  /// The call is carried out at once and answered after a delay.
  kSlow,
  kAppliedAnswerLost,
  kNotAppliedAnswerLost,
};

/// Applies a fault to some calls.
struct FaultRule {
  Fault fault = Fault::kDown;
  /// "transact", "read", "scan", "object_put", "object_get", "object_delete"
  /// or "hosts"; empty for all.
  std::string op = {};
  /// Matches if any key of the call starts with it.
  std::string key_prefix = {};
  double probability = 1;
  /// Calls that the rule still applies to; negative for no end.
  int count = -1;
  /// Delay of `kSlow`.
  Duration delay = Duration::zero();
};

/// What happens to one call.
struct FaultVerdict {
  bool down = false;
  bool applied = true;
  bool answered = true;
  Duration delay = Duration::zero();
};

/// A table of rules; the first one that matches decides.
class FaultRules {
 public:
  /// @param seed makes the choices by probability repeatable.
  explicit FaultRules(std::uint64_t seed = 1) : random_(seed) {}

  void Add(FaultRule rule) { rules_.push_back(std::move(rule)); }
  void Clear() { rules_.clear(); }
  /// Decides on a call and uses up the rule's count.
  FaultVerdict Judge(std::string_view op,
                     const std::vector<std::string_view>& keys);

 private:
  bool Applies(const FaultRule& rule, std::string_view op,
               const std::vector<std::string_view>& keys);

  std::vector<FaultRule> rules_;
  std::mt19937_64 random_;
};

/// @return the fault of a name such as "applied_answer_lost", or nothing.
std::optional<Fault> FaultFromName(std::string_view name);

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_FAULT_RULES_H_
