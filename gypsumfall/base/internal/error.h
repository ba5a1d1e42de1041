#ifndef GYPSUMFALL_BASE_INTERNAL_ERROR_H_
#define GYPSUMFALL_BASE_INTERNAL_ERROR_H_

#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <tl/expected.hpp>

namespace gypsumfall {

/// Kind of an error that is returned to a caller, a peer or an operator.
enum class ErrorKind {
  kBadRequest = 1,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kConflict,
  kTooLarge,
  kUnknownKind,
  kNeverFits,
  kOverLimit,
  kQueueFull,
  kDeadlineUnreachable,
  kNoCapacity,
  kStopping,
  kOwnerUnavailable,
  kStoreUnavailable,
  kCutOff,
  kStaleEpoch,
  kCancelled,
  kWorkerFailed,
  kOutcomeUnknown,
  kInvalidSettings,
  kInternal,
};

/// Whether work was run, as reported to the caller. `kNo` guarantees that the
/// work did not run and never will.
enum class WasRun { kNo, kYes, kUnknown };

/// A row of the error table: how one kind of error is reported.
struct ErrorTableEntry {
  ErrorKind kind;
  /// Name of the kind in messages, such as "over_limit". Part of the API.
  std::string_view name;
  int http_status;
  WasRun was_run;
  /// Whether the caller can repeat the call without running work twice.
  bool safe_to_retry;
  /// Message for the caller.
  std::string_view text;
};

/// @return the error table, in the order of `ErrorKind`.
std::span<const ErrorTableEntry> ErrorTable();
/// @return the row of a kind, or that of `kInternal` for an invalid value.
const ErrorTableEntry& ErrorTableEntryFor(ErrorKind kind);
/// @param name name of a kind, such as "over_limit".
/// @return the kind, or `kInternal` if no kind has that name.
ErrorKind ErrorKindFromName(std::string_view name);
/// @return "no", "yes" or "unknown".
std::string_view WasRunName(WasRun was_run);
/// @return the value for "no" or "yes", `kUnknown` for any other text.
WasRun WasRunFromName(std::string_view name);

/// @return the category of the error codes that are made from `ErrorKind`.
const std::error_category& ErrorKindCategory() noexcept;
/// Makes `ErrorKind` convertible to std::error_code.
std::error_code make_error_code(ErrorKind kind) noexcept;

/// An error kind with the details of one occurrence.
struct Error {
  ErrorKind kind;
  std::string detail;

  /// @return the kind as a standard error code.
  std::error_code code() const { return make_error_code(kind); }
};

template <typename T>
using Result = tl::expected<T, Error>;

/// @return an error that converts to any `Result`.
inline tl::unexpected<Error> Fail(ErrorKind kind, std::string detail) {
  return tl::unexpected<Error>(Error{kind, std::move(detail)});
}

}  // namespace gypsumfall

template <>
struct std::is_error_code_enum<gypsumfall::ErrorKind> : std::true_type {};

#endif  // GYPSUMFALL_BASE_INTERNAL_ERROR_H_
