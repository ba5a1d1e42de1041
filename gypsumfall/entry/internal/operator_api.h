#ifndef GYPSUMFALL_ENTRY_INTERNAL_OPERATOR_API_H_
#define GYPSUMFALL_ENTRY_INTERNAL_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gypsumfall/contract/contract.h"
#include "gypsumfall/contract_sync/contract_sync.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/contract_service.h"

namespace gypsumfall {

/// Serves the operator API: contracts, state dumps, explanations of decisions,
/// evictions and metrics.
class OperatorApi {
 public:
  explicit OperatorApi(const EntryContext& context) : context_(context) {}

  /// Answers a call. The caller of this method has checked the operator key.
  void Handle(const HttpRequest& request, Responder respond);

 private:
  using SharedResponder = std::shared_ptr<Responder>;

  void ListContracts(const SharedResponder& respond);
  void ShowContract(const CustomerId& customer, const SharedResponder& respond);
  void ShowHistory(const CustomerId& customer, const SharedResponder& respond);
  void CheckContract(const CustomerId& customer, const std::string& body,
                     const SharedResponder& respond);
  void PutContract(const CustomerId& customer, const std::string& body,
                   const SharedResponder& respond);
  void OnPutDone(const CustomerId& customer, const std::string& text,
                 const PutOutcome& outcome, const SharedResponder& respond);
  /// Answers a rejected put; a version conflict with the fields that differ
  /// from the current contract.
  void AnswerConflict(const std::string& text, const PutRejected& rejected,
                      const SharedResponder& respond);
  /// Answers once the revision is in force on all reachable hosts, at the
  /// latest at `until`, with the state on each host.
  void AwaitInForce(const PutDone& put, Time until,
                    const SharedResponder& respond);
  void Explain(const std::string& subject, const SharedResponder& respond);
  void Evict(const std::string& target, const SharedResponder& respond);

  EntryContext context_;
  std::uint64_t put_count_ = 0;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_OPERATOR_API_H_
