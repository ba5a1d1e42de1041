#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/contract_sync/contract_sync.h"
#include "gypsumfall/contract_sync/internal/keys.h"

namespace gypsumfall {

using contract_sync_internal::ChangeKey;
using contract_sync_internal::EncodeChange;
using contract_sync_internal::kRevisionKey;
using contract_sync_internal::ParseRevision;

namespace {

// Puts for other customers change the shared revision row and thereby cause
// conflicts, so a put is attempted several times.
constexpr int kMaxAttempts = 16;

StoredContract DecodeCurrent(const Row& row, const CustomerId& customer) {
  if (row.version == RowVersion()) return {.customer = customer};
  return DecodeStoredContract(row.value).value_or(
      StoredContract{.customer = customer});
}

}  // namespace

std::vector<ContractAction> ContractPut::Start() { return ReadBase(); }

std::vector<ContractAction> ContractPut::ReadBase() {
  phase_ = Phase::kReadingBase;
  return {ReadRows{{{ContractKey(request_.customer), kRevisionKey}}}};
}

std::vector<ContractAction> ContractPut::ReadBack() {
  phase_ = Phase::kReadingBack;
  return {ReadRows{{{ContractKey(request_.customer), kRevisionKey,
                     ContractHistoryKey(request_.customer, NewVersion())}}}};
}

std::vector<ContractAction> ContractPut::OnRows(const RowsReply& reply) {
  const bool reading_back = phase_ == Phase::kReadingBack;
  if (reply.rows.size() != (reading_back ? 3U : 2U)) return OnReadFailed();
  if (reading_back && reply.rows[2].version != RowVersion()) {
    const StoredContract history_contract =
        DecodeCurrent(reply.rows[2], request_.customer);
    if (history_contract.token == request_.token) {
      // It is unknown which attempt was applied; the newest revision includes
      // it in any case.
      return Finish(PutDone{NewVersion(), ParseRevision(reply.rows[1].value)});
    }
  }
  return CheckBaseVersion(reply.rows[0], reply.rows[1]);
}

std::vector<ContractAction> ContractPut::CheckBaseVersion(
    const Row& contract_row, const Row& revision_row) {
  StoredContract current = DecodeCurrent(contract_row, request_.customer);
  if (current.version == request_.base_version) {
    return Write(contract_row, revision_row);
  }
  if (maybe_applied_ && phase_ != Phase::kReadingBack) return ReadBack();
  return Finish(
      PutRejected{{ErrorKind::kConflict, "the contract was changed meanwhile"},
                  std::move(current)});
}

std::vector<ContractAction> ContractPut::Write(const Row& contract_row,
                                               const Row& revision_row) {
  if (++attempts_ > kMaxAttempts) return Finish(PutOutcomeUnknown{});
  phase_ = Phase::kWriting;
  revision_ = ParseRevision(revision_row.value).Next();
  const std::string value = EncodeStoredContract({.customer = request_.customer,
                                                  .version = NewVersion(),
                                                  .text = request_.text,
                                                  .author = request_.author,
                                                  .token = request_.token});
  TransactCall call;
  call.token = request_.token;
  call.checks = {{contract_row.key, contract_row.version},
                 {revision_row.key, revision_row.version}};
  call.puts = {
      {contract_row.key, value},
      {ContractHistoryKey(request_.customer, NewVersion()), value},
      {ChangeKey(revision_), EncodeChange({request_.customer, NewVersion()})},
      {kRevisionKey, std::to_string(revision_.value())}};
  return {SendTransaction{std::move(call)}};
}

std::vector<ContractAction> ContractPut::OnReadFailed() {
  if (maybe_applied_) return Finish(PutOutcomeUnknown{});
  return Finish(
      PutRejected{{ErrorKind::kStoreUnavailable,
                   "the table service did not answer; nothing was changed"},
                  {.customer = request_.customer}});
}

std::vector<ContractAction> ContractPut::OnTransactReply(
    const TransactReply& reply) {
  if (reply.committed) return Finish(PutDone{NewVersion(), revision_});
  // After a lost answer, the failed check may be the effect of the put's own
  // earlier attempt.
  return maybe_applied_ ? ReadBack() : ReadBase();
}

std::vector<ContractAction> ContractPut::OnTransactNotApplied() {
  return OnReadFailed();
}

std::vector<ContractAction> ContractPut::OnTransactUnknown() {
  maybe_applied_ = true;
  return ReadBack();
}

std::vector<ContractAction> ContractPut::Finish(ContractAction action) {
  phase_ = Phase::kDone;
  std::vector<ContractAction> actions;
  actions.push_back(std::move(action));
  return actions;
}

}  // namespace gypsumfall
