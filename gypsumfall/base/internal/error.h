#ifndef GYPSUMFALL_BASE_INTERNAL_ERROR_H_
#define GYPSUMFALL_BASE_INTERNAL_ERROR_H_

#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <tl/expected.hpp>

namespace gypsumfall {

/// Every error that a caller, a peer or an operator can be told.
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

/// Whether work was run, as told to the caller. `kNo` is said only if it is
/// proved that the work did not run and never will.
enum class WasRun { kNo, kYes, kUnknown };

/// One row of the error table.
struct ErrorAnswer {
  ErrorKind kind;
  /// The kind's fixed name in messages, such as "over_limit".
  std::string_view name;
  int http_status;
  WasRun was_run;
  /// Whether the same call may be sent again without running work twice.
  bool safe_to_retry;
  /// What the caller is told.
  std::string_view text;
};

/// @return the whole table, in the order of `ErrorKind`.
std::span<const ErrorAnswer> ErrorTable();
/// @return the table's row of a kind.
const ErrorAnswer& AnswerFor(ErrorKind kind);
/// @param name a kind's fixed name.
/// @return the kind, or `kInternal` if no kind has that name.
ErrorKind ErrorKindFromName(std::string_view name);
/// @return "no", "yes" or "unknown".
std::string_view WasRunName(WasRun was_run);
/// @return the value for "no" or "yes", `kUnknown` for all else.
WasRun WasRunFromName(std::string_view name);

/// @return the category of error codes made from `ErrorKind`.
const std::error_category& ErrorKindCategory() noexcept;
std::error_code make_error_code(ErrorKind kind) noexcept;

/// An error with what is particular to this occurrence.
struct Error {
  ErrorKind kind;
  std::string detail;

  /// @return the kind as a standard error code.
  std::error_code code() const { return make_error_code(kind); }
};

template <typename T>
using Result = tl::expected<T, Error>;

/// @return an error to be returned from a function with a `Result`.
inline tl::unexpected<Error> Fail(ErrorKind kind, std::string detail) {
  return tl::unexpected<Error>(Error{kind, std::move(detail)});
}

}  // namespace gypsumfall

template <>
struct std::is_error_code_enum<gypsumfall::ErrorKind> : std::true_type {};

#endif  // GYPSUMFALL_BASE_INTERNAL_ERROR_H_
