#ifndef GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_VALUE_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_VALUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Whether work of a kind is a request that is answered inline, or a task that
/// is queued durably.
enum class WorkShape { kRequest, kTask };

/// Scheduling priority: how soon work of a kind must start.
enum class UrgencyClass { kUrgent, kNormal, kPatient };

/// @return "request" or "task".
std::string_view WorkShapeName(WorkShape shape);
/// @return "urgent", "normal" or "patient".
std::string_view UrgencyClassName(UrgencyClass urgency);

/// Applied to tasks whose kind does not set `run_without_contact`.
inline constexpr Duration kDefaultRunWithoutContact = std::chrono::minutes(10);
/// Largest accepted value of `run_without_contact`.
inline constexpr Duration kMaxRunWithoutContact = std::chrono::hours(24);
/// Applied to requests whose kind does not set `deadline`.
inline constexpr Duration kDefaultDeadline = seconds(1);

/// Properties and resource needs of one kind of work that a customer may run.
struct KindSpec {
  KindId kind;
  WorkShape shape = WorkShape::kRequest;
  /// Whether the work may safely run more than once.
  bool idempotent = false;
  /// Tasks: whether an interrupted run can be started again.
  bool resumable = false;
  /// Resources that one request or attempt occupies on a worker.
  Resources resources;
  UrgencyClass urgency = UrgencyClass::kNormal;
  /// Requests: longest time from arrival to answer; zero for tasks.
  Duration deadline{0};
  /// Tasks: how long an attempt keeps running while the table service is
  /// unreachable; zero for requests.
  Duration run_without_contact{0};

  friend bool operator==(const KindSpec&, const KindSpec&) = default;
};

/// Usage limits of a customer, summed over all entry hosts.
struct Limits {
  Resources resources;
  std::int64_t requests_per_second = 0;
  /// Token bucket size: requests that may arrive at once.
  std::int64_t burst = 0;
  std::int64_t concurrent_requests = 0;
  std::int64_t queued_tasks = 0;
  std::int64_t running_tasks = 0;

  friend bool operator==(const Limits&, const Limits&) = default;
};

/// The kinds of work that a customer may run and the limits on that work.
struct Contract {
  CustomerId customer;
  /// Not part of the text form; taken from the stored row.
  ContractVersion version;
  /// SHA-256 digests of the keys that authenticate the customer.
  std::vector<std::string> key_digests;
  std::vector<KindSpec> kinds;
  Limits guaranteed;
  Limits ceiling;

  friend bool operator==(const Contract&, const Contract&) = default;

  /// @return the entry of a kind, or null if the contract does not allow it.
  const KindSpec* FindKind(const KindId& kind) const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_VALUE_H_
