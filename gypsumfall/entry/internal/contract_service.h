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

/// How a put ended: `PutDone`, `PutRejected` or `PutUnknown`.
using PutOutcome = std::variant<PutDone, PutRejected, PutUnknown>;

/// Keeps the contracts of this host up to date and writes changes.
class ContractService : public Service {
 public:
  explicit ContractService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

  const ContractBook& book() const { return book_; }
  /// @return the revision up to which all changes are in force here.
  ContractRevision revision() const { return follower_.revision(); }
  /// @return whether all contracts have been read, so that this host may serve.
  bool loaded() const { return follower_.loaded(); }
  /// @return the text of the contract in force; empty if there is none.
  std::string TextOf(const CustomerId& customer) const;

  void OnPeerRevision(ContractRevision revision);
  /// Writes one change; the text has been checked.
  void Put(PutOrder order, std::function<void(PutOutcome)> done);
  /// Reads the kept versions of a contract, newest first, at most `limit`.
  void History(const CustomerId& customer, int limit,
               std::function<void(Result<std::vector<StoredContract>>)> done);

  /// Called with each contract that comes into force.
  std::function<void(const Contract&)> on_applied;

 private:
  struct RunningPut {
    ContractPut put;
    std::function<void(PutOutcome)> done;
  };

  void Tick();
  void Perform(std::vector<FollowAction> actions);
  void Apply(const ApplyContracts& apply);
  void Perform(const std::shared_ptr<RunningPut>& running,
               std::vector<ContractAction> actions);
  void SendPutRead(const std::shared_ptr<RunningPut>& running,
                   const ReadCall& call);
  void SendPutTransact(const std::shared_ptr<RunningPut>& running,
                       const TransactCall& call);

  EntryContext context_;
  Logger log_;
  ContractBook book_;
  std::map<CustomerId, std::string> texts_;
  ContractFollower follower_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_CONTRACT_SERVICE_H_
