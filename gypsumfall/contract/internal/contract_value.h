#ifndef GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_VALUE_H_
#define GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_VALUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Whether a kind is answered inline or kept as a durable task.
enum class WorkShape { kRequest, kTask };

/// How soon work of a kind must start.
enum class UrgencyClass { kUrgent, kNormal, kPatient };

/// @return "request" or "task".
std::string_view WorkShapeName(WorkShape shape);
/// @return "urgent", "normal" or "patient".
std::string_view UrgencyClassName(UrgencyClass urgency);

inline constexpr Duration kDefaultRunWithoutContact = std::chrono::minutes(10);
inline constexpr Duration kMaxRunWithoutContact = std::chrono::hours(24);
inline constexpr Duration kDefaultDeadline = seconds(1);

/// What a customer may run under one name.
struct KindRule {
  KindId kind;
  WorkShape shape = WorkShape::kRequest;
  /// Whether running it twice does no harm.
  bool idempotent = false;
  /// Tasks: whether it can start afresh after it was interrupted.
  bool resumable = false;
  /// What one unit of work takes on a worker.
  Resources resources;
  UrgencyClass urgency = UrgencyClass::kNormal;
  /// Requests: time from arrival to answer; zero for tasks.
  Duration deadline{0};
  /// Tasks: time that an attempt goes on while the table service is out of
  /// reach; zero for requests.
  Duration run_without_contact{0};

  friend bool operator==(const KindRule&, const KindRule&) = default;
};

/// Amounts that a customer may use over all entry hosts together.
struct Limits {
  Resources resources;
  std::int64_t requests_per_second = 0;
  /// Requests that may come at once above the rate.
  std::int64_t burst = 0;
  std::int64_t concurrent_requests = 0;
  std::int64_t queued_tasks = 0;
  std::int64_t running_tasks = 0;

  friend bool operator==(const Limits&, const Limits&) = default;
};

/// All that a customer may do. Every limit on its work follows from here.
struct Contract {
  CustomerId customer;
  /// Not part of the text; set from the row that holds the contract.
  ContractVersion version;
  /// SHA-256 digests of the keys that authenticate the customer.
  std::vector<std::string> key_digests;
  std::vector<KindRule> kinds;
  Limits guaranteed;
  Limits ceiling;

  friend bool operator==(const Contract&, const Contract&) = default;

  /// @return the rule of a kind, or null if the contract does not allow it.
  const KindRule* FindKind(const KindId& kind) const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_INTERNAL_CONTRACT_VALUE_H_
