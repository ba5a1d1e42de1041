#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall {
namespace {

using enum ErrorKind;

// Errors with WasRun::kNo are only returned before any attempt could have
// started.
constexpr std::array kErrorTable = {
    ErrorTableEntry{kBadRequest, "bad_request", 400, WasRun::kNo, false,
                    "the call is malformed"},
    ErrorTableEntry{kUnauthenticated, "unauthenticated", 401, WasRun::kNo,
                    false, "the customer or the key is not known"},
    ErrorTableEntry{kForbidden, "forbidden", 403, WasRun::kNo, false,
                    "the contract does not allow this"},
    ErrorTableEntry{kNotFound, "not_found", 404, WasRun::kUnknown, false,
                    "nothing with this id"},
    ErrorTableEntry{kConflict, "conflict", 409, WasRun::kNo, false,
                    "the id or version is taken by something else"},
    ErrorTableEntry{kTooLarge, "too_large", 413, WasRun::kNo, false,
                    "the call exceeds a size limit"},
    ErrorTableEntry{kUnknownKind, "unknown_kind", 422, WasRun::kNo, false,
                    "the contract names no such kind of work"},
    ErrorTableEntry{kNeverFits, "never_fits", 422, WasRun::kNo, false,
                    "no host could ever run this"},
    ErrorTableEntry{kOverLimit, "over_limit", 429, WasRun::kNo, true,
                    "a limit of the contract is reached"},
    ErrorTableEntry{kQueueFull, "queue_full", 429, WasRun::kNo, true,
                    "the queue of the contract is full"},
    ErrorTableEntry{kDeadlineUnreachable, "deadline_unreachable", 503,
                    WasRun::kNo, true, "the deadline can not be met"},
    ErrorTableEntry{kNoCapacity, "no_capacity", 503, WasRun::kNo, true,
                    "no host has room now"},
    ErrorTableEntry{kStopping, "stopping", 503, WasRun::kNo, true,
                    "this entry host is stopping"},
    ErrorTableEntry{kOwnerUnavailable, "owner_unavailable", 503, WasRun::kNo,
                    true, "the entry host that owns this is not reachable"},
    ErrorTableEntry{kStoreUnavailable, "store_unavailable", 503, WasRun::kNo,
                    true, "the table service is not reachable"},
    ErrorTableEntry{kCutOff, "cut_off", 503, WasRun::kNo, true,
                    "this data centre is cut off"},
    ErrorTableEntry{kStaleEpoch, "stale_epoch", 409, WasRun::kNo, true,
                    "a newer owner has taken over"},
    ErrorTableEntry{kCancelled, "cancelled", 409, WasRun::kNo, false,
                    "cancelled before it started"},
    ErrorTableEntry{kWorkerFailed, "worker_failed", 502, WasRun::kYes, false,
                    "the worker ran it and reported a failure"},
    ErrorTableEntry{kOutcomeUnknown, "outcome_unknown", 504, WasRun::kUnknown,
                    false, "the outcome is not known yet; ask again by id"},
    ErrorTableEntry{kInvalidSettings, "invalid_settings", 400, WasRun::kNo,
                    false, "the settings are not valid"},
    ErrorTableEntry{kInternal, "internal", 500, WasRun::kUnknown, false,
                    "an internal fault; ask again by id"},
};

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "gypsumfall"; }
  std::string message(int value) const override {
    return std::string(ErrorTableEntryFor(static_cast<ErrorKind>(value)).text);
  }
};

}  // namespace

std::span<const ErrorTableEntry> ErrorTable() { return kErrorTable; }

const ErrorTableEntry& ErrorTableEntryFor(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind) - 1;
  return index < kErrorTable.size() ? kErrorTable[index] : kErrorTable.back();
}

ErrorKind ErrorKindFromName(std::string_view name) {
  for (const ErrorTableEntry& row : kErrorTable) {
    if (row.name == name) return row.kind;
  }
  return kInternal;
}

std::string_view WasRunName(WasRun was_run) {
  switch (was_run) {
    case WasRun::kNo:
      return "no";
    case WasRun::kYes:
      return "yes";
    case WasRun::kUnknown:
      return "unknown";
  }
  return "unknown";
}

WasRun WasRunFromName(std::string_view name) {
  if (name == "no") return WasRun::kNo;
  if (name == "yes") return WasRun::kYes;
  return WasRun::kUnknown;
}

const std::error_category& ErrorKindCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) noexcept {
  return {static_cast<int>(kind), ErrorKindCategory()};
}

}  // namespace gypsumfall
