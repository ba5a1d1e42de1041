#ifndef GYPSUMFALL_CONTRACT_SYNC_CONTRACT_SYNC_H_
#define GYPSUMFALL_CONTRACT_SYNC_CONTRACT_SYNC_H_

/// @file
/// Keeps contracts in the table service: one put is one compare-and-set
/// transaction, and every entry host follows the revisions of others. Decision
/// code only: the caller sends the returned actions and reports their outcome.
///
/// Example:
/// @code
///   ContractPut put({customer, ContractVersion(3), text, "ops", "host1-17"});
///   for (ContractAction& action : put.Start()) Send(std::move(action));
///   ...
///   for (ContractAction& action : put.OnTransactUnknown()) ...
/// @endcode

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// A contract as stored in a row.
struct StoredContract {
  CustomerId customer;
  ContractVersion version;
  std::string text;
  std::string author;
  /// Names the put that wrote the row, to recognise it after a lost answer.
  std::string token;
};

/// @return the row's value as JSON text.
std::string EncodeStoredContract(const StoredContract& contract);
/// @return the contract, or `kInternal` if the row is damaged.
Result<StoredContract> DecodeStoredContract(const std::string& value);

/// @return the key of the row that holds a customer's contract.
std::string ContractKey(const CustomerId& customer);
/// @return the key of the row that keeps one version for the history.
std::string ContractHistoryKey(const CustomerId& customer,
                               ContractVersion version);
/// @return the prefix of all rows that hold contracts.
std::string_view ContractPrefix();

/// A read to send; its rows or failure come back through the same object.
struct ReadRows {
  ReadCall call;
};
struct ScanRows {
  ScanCall call;
};
struct SendTransaction {
  TransactCall call;
};
/// The put is durable.
struct PutDone {
  ContractVersion version;
  ContractRevision revision;
};
/// The put was not applied and never will be.
struct PutRejected {
  Error error;
  /// The contract that stands instead; version 0 if there is none.
  StoredContract current;
};
/// The put may have been applied; it is not retried any more.
struct PutUnknown {};

using ContractAction =
    std::variant<ReadRows, SendTransaction, PutDone, PutRejected, PutUnknown>;

/// What an operator asks for.
struct PutOrder {
  CustomerId customer;
  /// The version that the change was made from; 0 for a new customer.
  ContractVersion base_version;
  std::string text;
  std::string author;
  /// Unique over all puts.
  std::string token;
};

/// Writes one change of one contract. A transaction whose answer was lost is
/// read back by its token; its outcome is never guessed.
class ContractPut {
 public:
  explicit ContractPut(PutOrder order) : order_(std::move(order)) {}

  /// @return the first actions.
  std::vector<ContractAction> Start();
  /// @param reply the rows of the last `ReadRows`, in order of its keys.
  std::vector<ContractAction> OnRows(const RowsReply& reply);
  /// Reports that the last read failed.
  std::vector<ContractAction> OnReadFailed();
  std::vector<ContractAction> OnTransactReply(const TransactReply& reply);
  /// Reports that the last transaction was certainly not applied.
  std::vector<ContractAction> OnTransactNotApplied();
  /// Reports that the answer to the last transaction is lost.
  std::vector<ContractAction> OnTransactUnknown();

 private:
  enum class Phase { kReadingBase, kWriting, kReadingBack, kDone };

  std::vector<ContractAction> ReadBase();
  std::vector<ContractAction> ReadBack();
  std::vector<ContractAction> Decide(const Row& contract_row,
                                     const Row& revision_row);
  std::vector<ContractAction> Write(const Row& contract_row,
                                    const Row& revision_row);
  std::vector<ContractAction> Finish(ContractAction action);
  ContractVersion NewVersion() const { return order_.base_version.Next(); }

  PutOrder order_;
  Phase phase_ = Phase::kReadingBase;
  ContractRevision revision_;
  int tries_ = 0;
  /// Whether a transaction may have been applied without our knowing.
  bool maybe_applied_ = false;
};

/// Contracts to apply, and the revision up to which they are complete.
struct ApplyContracts {
  std::vector<StoredContract> contracts;
  ContractRevision revision;
};

using FollowAction = std::variant<ReadRows, ScanRows, ApplyContracts>;

/// Follows the contract revisions of the table service. One read is in flight
/// at a time. Each read may be stale on its own: a revision counts as applied
/// only once its contract rows have been seen at the versions it names.
class ContractFollower {
 public:
  /// @param poll_interval time between reads of the revision row.
  explicit ContractFollower(Duration poll_interval)
      : poll_interval_(poll_interval) {}

  /// @param now present time.
  /// @return the read to send, if one is due.
  std::vector<FollowAction> Tick(Time now);
  /// Reports the rows of the last `ReadRows` or `ScanRows`.
  std::vector<FollowAction> OnRows(const RowsReply& reply, Time now);
  /// Reports that the last read failed; it is repeated at the next interval.
  void OnReadFailed(Time now);
  /// Reports a revision that a peer has seen; a newer one is fetched at once.
  void OnPeerRevision(ContractRevision revision);

  /// @param interval the new time between reads, from the number of hosts.
  void SetPollInterval(Duration interval) { poll_interval_ = interval; }
  /// @return whether all contracts have been read once.
  bool loaded() const { return scan_done_ && applied_ >= load_target_; }
  /// @return the revision up to which all changes are applied.
  ContractRevision revision() const { return applied_; }

 private:
  enum class Phase { kIdle, kRevision, kScan, kChanges, kContracts };

  std::vector<FollowAction> OnRevision(const RowsReply& reply);
  std::vector<FollowAction> OnScan(const RowsReply& reply, Time now);
  std::vector<FollowAction> OnChanges(const RowsReply& reply);
  std::vector<FollowAction> OnContracts(const RowsReply& reply, Time now);
  std::vector<FollowAction> ReadChanges();
  void Idle(Time now);

  Duration poll_interval_;
  Time next_poll_;
  Phase phase_ = Phase::kIdle;
  bool scan_done_ = false;
  /// Revision that must be applied before the first load is complete.
  ContractRevision load_target_;
  /// Newest revision that a peer or the table service has shown.
  ContractRevision seen_;
  /// Revision that the reads in flight lead to.
  ContractRevision target_;
  ContractRevision applied_;
  std::vector<StoredContract> scanned_;
  /// Versions that the contract rows being read must at least have.
  std::map<CustomerId, ContractVersion> expected_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_SYNC_CONTRACT_SYNC_H_
