#ifndef GYPSUMFALL_CLI_INTERNAL_ANSWERS_H_
#define GYPSUMFALL_CLI_INTERNAL_ANSWERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Whether a contract version is in force on one entry host.
struct HostState {
  std::string host;
  /// "in_force", "pending" or "cut_off".
  std::string state;
  std::int64_t version = 0;
};

/// Answer to a contract that was accepted.
struct PutAnswer {
  std::int64_t version = 0;
  std::vector<HostState> in_force;
};

/// One field that two operators changed, or that differs between versions.
struct ChangeAnswer {
  std::string field;
  std::string before;
  std::string after;
};

/// Any error answer; members that the answer does not have are empty.
struct ErrorAnswerBody {
  std::string kind;
  std::string message;
  std::string was_run;
  /// Conflicts: version that is in force, and the fields that differ, theirs
  /// as `before` and yours as `after`.
  std::int64_t current_version = 0;
  std::vector<ChangeAnswer> changes;
};

/// A stored contract, or one entry of a list or history.
struct ContractAnswer {
  std::string customer;
  std::int64_t version = 0;
  std::string author;
  std::string time;
  std::string text;
  std::vector<ChangeAnswer> changes;
};

/// Limits that running work would exceed.
struct ExcessAnswer {
  std::string field;
  std::int64_t used = 0;
  std::int64_t allowed = 0;
};

/// Answer to the check of a contract against the one in force.
struct CheckAnswer {
  std::int64_t version = 0;
  std::vector<ChangeAnswer> changes;
  std::vector<ExcessAnswer> excess;
};

/// State of a task or a request.
struct WorkAnswer {
  std::string id;
  std::string was_run;
  std::string status;
  std::string host;
  std::string error_kind;
  std::string error_message;
  std::optional<std::string> result;
};

/// Decoders of answers. Each returns `kInternal` if the text is no such answer.
Result<PutAnswer> DecodePut(std::string_view body);
Result<ContractAnswer> DecodeContract(std::string_view body);
/// @param list name of the member that holds the list.
Result<std::vector<ContractAnswer>> DecodeContracts(std::string_view body,
                                                    std::string_view list);
Result<CheckAnswer> DecodeCheck(std::string_view body);
Result<WorkAnswer> DecodeWork(std::string_view body);
Result<std::vector<WorkAnswer>> DecodeTasks(std::string_view body);
/// @return one line for each decision.
Result<std::vector<std::string>> DecodeDecisions(std::string_view body);
/// @return what could be read of an error answer.
ErrorAnswerBody DecodeError(std::string_view body);

/// Bodies of calls.
std::string EncodePut(std::string_view text, std::int64_t base_version,
                      std::string_view author);
std::string EncodeText(std::string_view text);
std::string EncodeWork(std::string_view id, std::string_view kind,
                       std::string_view payload,
                       std::optional<Duration> deadline);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_ANSWERS_H_
