#ifndef GYPSUMFALL_CLI_INTERNAL_API_MESSAGES_H_
#define GYPSUMFALL_CLI_INTERNAL_API_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Rollout state of a contract version on one entry host.
struct HostContractState {
  std::string host;
  /// "in_force", "pending" or "cut_off".
  std::string state;
  /// Version that is in force on the host.
  std::int64_t version = 0;
};

/// Response to a contract update that was accepted.
struct PutContractResponse {
  std::int64_t version = 0;
  std::vector<HostContractState> in_force;
};

/// A contract field that differs between two versions, or that two operators
/// changed concurrently.
struct ChangedField {
  std::string field;
  std::string before;
  std::string after;
};

/// Any error response; members that the response lacks are empty.
struct ErrorDetails {
  std::string kind;
  std::string message;
  std::string was_run;
  /// Set on conflicts: the version in force, and the fields that differ, with
  /// the value in force as `before` and the submitted value as `after`.
  std::int64_t current_version = 0;
  std::vector<ChangedField> changes;
};

/// A stored contract, or one entry of a list or of a version history.
struct ContractResponse {
  std::string customer;
  std::int64_t version = 0;
  std::string author;
  std::string time;
  std::string text;
  std::vector<ChangedField> changes;
};

/// A limit of the checked contract that running work would exceed.
struct LimitExcess {
  std::string field;
  std::int64_t used = 0;
  std::int64_t allowed = 0;
};

/// Response to a check of a contract against the version in force.
struct CheckContractResponse {
  std::int64_t version = 0;
  std::vector<ChangedField> changes;
  std::vector<LimitExcess> excess;
};

/// State of a task or of a request.
struct WorkState {
  std::string id;
  std::string was_run;
  std::string status;
  std::string host;
  std::string error_kind;
  std::string error_message;
  std::optional<std::string> result;
};

/// Decoders of response bodies. Each returns `kInternal` if the body does not
/// have the expected form.
Result<PutContractResponse> DecodePutContract(std::string_view body);
Result<ContractResponse> DecodeContract(std::string_view body);
/// @param list name of the member that holds the array.
Result<std::vector<ContractResponse>> DecodeContracts(std::string_view body,
                                                      std::string_view list);
Result<CheckContractResponse> DecodeCheckContract(std::string_view body);
Result<WorkState> DecodeWorkState(std::string_view body);
Result<std::vector<WorkState>> DecodeTasks(std::string_view body);
/// @return one formatted line for each decision.
Result<std::vector<std::string>> DecodeDecisions(std::string_view body);
/// @return the members of an error response that could be decoded.
ErrorDetails DecodeErrorDetails(std::string_view body);

/// Encoders of request bodies.
std::string EncodePutContract(std::string_view text, std::int64_t base_version,
                              std::string_view author);
std::string EncodeContractText(std::string_view text);
std::string EncodeSubmission(std::string_view id, std::string_view kind,
                             std::string_view payload,
                             std::optional<Duration> deadline);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CLI_INTERNAL_API_MESSAGES_H_
