#include "gypsumfall/contract/internal/validation.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/contract/internal/limit_table.h"

namespace gypsumfall {
namespace {

// Reports values that are valid on their own but contradict each other.
class CrossFieldValidator {
 public:
  CrossFieldValidator(const ContractDraft& draft, const std::string& file,
                      std::vector<Diagnostic>& diagnostics)
      : draft_(draft),
        contract_(draft.contract),
        file_(file),
        diagnostics_(diagnostics) {}

  void Check() {
    CheckGuaranteedLimits();
    CheckCeilingBurst();
    for (std::size_t i = 0; i < contract_.kinds.size(); ++i) {
      CheckKindResources(contract_.kinds[i], draft_.kinds[i]);
      if (contract_.kinds[i].shape == WorkShape::kRequest) {
        CheckRequestKind(draft_.kinds[i]);
      } else {
        CheckTaskKind(contract_.kinds[i], draft_.kinds[i]);
      }
    }
  }

 private:
  void Report(int line, std::string message) {
    AddDiagnostic(diagnostics_, file_, line, std::move(message));
  }

  void ReportGuaranteeAboveCeiling(std::string_view key,
                                   const std::string& guaranteed,
                                   const std::string& ceiling) {
    Report(draft_.guaranteed.LineOf(key),
           "[guaranteed] " + std::string(key) + " is " + guaranteed +
               ", above [ceiling] " + std::string(key) + " of " + ceiling +
               "; write at most " + ceiling + ", or raise the ceiling");
  }

  void CheckGuaranteedLimits() {
    const Limits& guaranteed = contract_.guaranteed;
    const Limits& ceiling = contract_.ceiling;
    for (const ResourceDescriptor& descriptor : ResourceDescriptors()) {
      const auto guaranteed_amount = descriptor.value(guaranteed.resources);
      const auto ceiling_amount = descriptor.value(ceiling.resources);
      if (guaranteed_amount <= ceiling_amount) continue;
      ReportGuaranteeAboveCeiling(descriptor.key,
                                  descriptor.format(guaranteed_amount),
                                  descriptor.format(ceiling_amount));
    }
    for (const LimitDescriptor& descriptor : kLimitDescriptors) {
      const auto guaranteed_amount = guaranteed.*descriptor.member;
      const auto ceiling_amount = ceiling.*descriptor.member;
      if (guaranteed_amount <= ceiling_amount) continue;
      ReportGuaranteeAboveCeiling(descriptor.key,
                                  std::to_string(guaranteed_amount),
                                  std::to_string(ceiling_amount));
    }
  }

  void CheckCeilingBurst() {
    const Limits& ceiling = contract_.ceiling;
    if (ceiling.requests_per_second == 0 || ceiling.burst > 0) return;
    Report(draft_.ceiling.LineOf("burst"),
           "[ceiling] burst of 0 refuses every request; write at least 1");
  }

  void CheckKindResources(const KindSpec& spec, const IniSection& section) {
    for (const ResourceDescriptor& descriptor : ResourceDescriptors()) {
      const auto kind_amount = descriptor.value(spec.resources);
      const auto ceiling_amount = descriptor.value(contract_.ceiling.resources);
      if (kind_amount <= ceiling_amount) continue;
      Report(section.LineOf(descriptor.key),
             section.Header() + " " + std::string(descriptor.key) + " is " +
                 descriptor.format(kind_amount) + ", above [ceiling] " +
                 std::string(descriptor.key) + " of " +
                 descriptor.format(ceiling_amount) +
                 ", so it could never run; write at most " +
                 descriptor.format(ceiling_amount) + ", or raise the ceiling");
    }
  }

  void RejectKey(const IniSection& section, std::string_view key,
                 std::string_view shape) {
    if (!section.Has(key)) return;
    Report(section.LineOf(key), section.Header() + " " + std::string(key) +
                                    " applies to " + std::string(shape) +
                                    " kinds only; remove the line");
  }

  void RequirePositiveLimit(const IniSection& section, std::string_view key,
                            std::int64_t limit) {
    if (limit > 0) return;
    Report(draft_.ceiling.LineOf(key),
           section.Header() + " could never run because [ceiling] " +
               std::string(key) + " is 0; write at least 1");
  }

  void CheckRequestKind(const IniSection& section) {
    const Limits& ceiling = contract_.ceiling;
    RejectKey(section, "resumable", "task");
    RejectKey(section, "run_without_contact", "task");
    RequirePositiveLimit(section, "requests_per_second",
                         ceiling.requests_per_second);
    RequirePositiveLimit(section, "concurrent_requests",
                         ceiling.concurrent_requests);
  }

  void CheckTaskKind(const KindSpec& spec, const IniSection& section) {
    const Limits& ceiling = contract_.ceiling;
    RejectKey(section, "deadline", "request");
    RequirePositiveLimit(section, "queued_tasks", ceiling.queued_tasks);
    RequirePositiveLimit(section, "running_tasks", ceiling.running_tasks);
    if (spec.urgency != UrgencyClass::kUrgent) return;
    Report(section.LineOf("urgency"),
           section.Header() +
               " urgency: only request kinds can be urgent; write normal or "
               "patient, or change the shape to request");
  }

  const ContractDraft& draft_;
  const Contract& contract_;
  const std::string& file_;
  std::vector<Diagnostic>& diagnostics_;
};

}  // namespace

void ValidateCrossFieldConstraints(const ContractDraft& draft,
                                   const std::string& file,
                                   std::vector<Diagnostic>& diagnostics) {
  CrossFieldValidator(draft, file, diagnostics).Check();
}

}  // namespace gypsumfall
