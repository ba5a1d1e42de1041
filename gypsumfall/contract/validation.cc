#include "gypsumfall/contract/internal/validation.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/contract/internal/limit_table.h"

namespace gypsumfall {
namespace {

class Checker {
 public:
  Checker(const ContractDraft& draft, const std::string& file,
          std::vector<Fault>& faults)
      : draft_(draft),
        contract_(draft.contract),
        file_(file),
        faults_(faults) {}

  void Check() {
    CheckGuarantee();
    CheckBurst();
    for (std::size_t i = 0; i < contract_.kinds.size(); ++i) {
      CheckSize(contract_.kinds[i], draft_.kinds[i]);
      if (contract_.kinds[i].shape == WorkShape::kRequest) {
        CheckRequest(draft_.kinds[i]);
      } else {
        CheckTask(contract_.kinds[i], draft_.kinds[i]);
      }
    }
  }

 private:
  void Report(int line, std::string message) {
    AddFault(faults_, file_, line, std::move(message));
  }

  void ReportGuarantee(std::string_view key, const std::string& guaranteed,
                       const std::string& ceiling) {
    Report(draft_.guaranteed.LineOf(key),
           "[guaranteed] " + std::string(key) + " is " + guaranteed +
               ", above [ceiling] " + std::string(key) + " of " + ceiling +
               "; write at most " + ceiling + ", or raise the ceiling");
  }

  void CheckGuarantee() {
    const Limits& guaranteed = contract_.guaranteed;
    const Limits& ceiling = contract_.ceiling;
    for (const ResourceRow& row : ResourceRows()) {
      const auto promised = row.value(guaranteed.resources);
      const auto allowed = row.value(ceiling.resources);
      if (promised <= allowed) continue;
      ReportGuarantee(row.key, row.format(promised), row.format(allowed));
    }
    for (const LimitRow& row : kLimitRows) {
      const auto promised = guaranteed.*row.member;
      const auto allowed = ceiling.*row.member;
      if (promised <= allowed) continue;
      ReportGuarantee(row.key, std::to_string(promised),
                      std::to_string(allowed));
    }
  }

  void CheckBurst() {
    const Limits& ceiling = contract_.ceiling;
    if (ceiling.requests_per_second == 0 || ceiling.burst > 0) return;
    Report(draft_.ceiling.LineOf("burst"),
           "[ceiling] burst of 0 refuses every request; write at least 1");
  }

  void CheckSize(const KindRule& rule, const IniSection& section) {
    for (const ResourceRow& row : ResourceRows()) {
      const auto size = row.value(rule.resources);
      const auto allowed = row.value(contract_.ceiling.resources);
      if (size <= allowed) continue;
      Report(section.LineOf(row.key),
             section.Header() + " " + std::string(row.key) + " is " +
                 row.format(size) + ", above [ceiling] " +
                 std::string(row.key) + " of " + row.format(allowed) +
                 ", so it could never run; write at most " +
                 row.format(allowed) + ", or raise the ceiling");
    }
  }

  void RefuseKey(const IniSection& section, std::string_view key,
                 std::string_view shape) {
    if (!section.Has(key)) return;
    Report(section.LineOf(key), section.Header() + " " + std::string(key) +
                                    " applies to " + std::string(shape) +
                                    " kinds only; remove the line");
  }

  void NeedLimit(const IniSection& section, std::string_view key,
                 std::int64_t limit) {
    if (limit > 0) return;
    Report(draft_.ceiling.LineOf(key),
           section.Header() + " could never run because [ceiling] " +
               std::string(key) + " is 0; write at least 1");
  }

  void CheckRequest(const IniSection& section) {
    const Limits& ceiling = contract_.ceiling;
    RefuseKey(section, "resumable", "task");
    RefuseKey(section, "run_without_contact", "task");
    NeedLimit(section, "requests_per_second", ceiling.requests_per_second);
    NeedLimit(section, "concurrent_requests", ceiling.concurrent_requests);
  }

  void CheckTask(const KindRule& rule, const IniSection& section) {
    const Limits& ceiling = contract_.ceiling;
    RefuseKey(section, "deadline", "request");
    NeedLimit(section, "queued_tasks", ceiling.queued_tasks);
    NeedLimit(section, "running_tasks", ceiling.running_tasks);
    if (rule.urgency != UrgencyClass::kUrgent) return;
    Report(section.LineOf("urgency"),
           section.Header() +
               " urgency: only request kinds can be urgent; write normal or "
               "patient, or change the shape to request");
  }

  const ContractDraft& draft_;
  const Contract& contract_;
  const std::string& file_;
  std::vector<Fault>& faults_;
};

}  // namespace

void FindContradictions(const ContractDraft& draft, const std::string& file,
                        std::vector<Fault>& faults) {
  Checker(draft, file, faults).Check();
}

}  // namespace gypsumfall
