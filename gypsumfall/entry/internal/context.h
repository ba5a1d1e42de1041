#ifndef GYPSUMFALL_ENTRY_INTERNAL_CONTEXT_H_
#define GYPSUMFALL_ENTRY_INTERNAL_CONTEXT_H_

#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/explain/explain.h"
#include "gypsumfall/http/http.h"
#include "gypsumfall/kernel/kernel.h"
#include "gypsumfall/runtime/runtime.h"
#include "gypsumfall/settings/settings.h"
#include "gypsumfall/telemetry/telemetry.h"

namespace gypsumfall {

/// References to the objects that all services of an entry host share.
struct EntryContext {
  const EntrySettings& settings;
  Runtime& runtime;
  Kernel& kernel;
  ClientPool& clients;
  Metrics& metrics;
  DecisionLog& decisions;

  EntryHostId self() const { return settings.host.id; }
  Time Now() const { return runtime.Now(); }

  /// Records a decision for `explain`.
  void Explain(std::string subject, std::string what,
               std::string reason) const {
    decisions.Add({Now(), std::move(subject), std::move(what),
                   std::move(reason), self()});
  }
};

/// Names under which services are registered in and found through the kernel.
inline constexpr char kStoreService[] = "store";
inline constexpr char kMembershipService[] = "membership";
inline constexpr char kOwnershipService[] = "ownership";
inline constexpr char kContractService[] = "contracts";
inline constexpr char kWorkerService[] = "workers";
inline constexpr char kTaskService[] = "tasks";
inline constexpr char kRequestService[] = "requests";
inline constexpr char kApiService[] = "api";

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_CONTEXT_H_
