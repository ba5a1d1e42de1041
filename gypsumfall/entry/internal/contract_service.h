#ifndef GYPSUMFALL_ENTRY_INTERNAL_CONTRACT_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_CONTRACT_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/contract/contract.h"
#include "gypsumfall/contract_sync/contract_sync.h"
#include "gypsumfall/entry/internal/context.h"

namespace gypsumfall {

/// Outcome of writing a contract: stored, rejected, or unknown.
using PutOutcome = std::variant<PutDone, PutRejected, PutOutcomeUnknown>;

/// Keeps this host's copy of the contracts up to date and writes contract
/// changes to the table service.
class ContractService : public Service {
 public:
  explicit ContractService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

  const ContractRegistry& book() const { return book_; }
  /// @return the revision up to which all changes are in force here.
  ContractRevision revision() const { return follower_.revision(); }
  /// @return whether all contracts have been read once. Customer calls are
  ///     refused before that.
  bool loaded() const { return follower_.loaded(); }
  /// @return the text of the contract in force; empty if there is none.
  std::string ContractText(const CustomerId& customer) const;

  /// Reports the contract revision that a peer knows; a newer one makes this
  /// host read the changes.
  void OnPeerRevision(ContractRevision revision);
  /// Writes one contract change. The caller has validated the text.
  void Put(ContractPutRequest order, std::function<void(PutOutcome)> done);
  /// Reads the stored versions of a contract, newest first, at most `limit`.
  void History(const CustomerId& customer, int limit,
               std::function<void(Result<std::vector<StoredContract>>)> done);

  /// Called for each contract version that comes into force on this host.
  std::function<void(const Contract&)> on_applied;

 private:
  struct PendingPut {
    ContractPut put;
    std::function<void(PutOutcome)> done;
  };

  void Tick();
  void Perform(std::vector<ContractFollowerAction> actions);
  void Apply(const ApplyContracts& apply);
  void Perform(const std::shared_ptr<PendingPut>& pending_put,
               std::vector<ContractAction> actions);
  void SendPutRead(const std::shared_ptr<PendingPut>& pending_put,
                   const ReadCall& call);
  void SendPutTransact(const std::shared_ptr<PendingPut>& pending_put,
                       const TransactCall& call);

  EntryContext context_;
  Logger log_;
  ContractRegistry book_;
  std::map<CustomerId, std::string> contract_texts_;
  ContractFollower follower_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_CONTRACT_SERVICE_H_
