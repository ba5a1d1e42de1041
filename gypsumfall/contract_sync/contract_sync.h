#ifndef GYPSUMFALL_CONTRACT_SYNC_CONTRACT_SYNC_H_
#define GYPSUMFALL_CONTRACT_SYNC_CONTRACT_SYNC_H_

/// @file
/// Stores contracts in the table service and replicates changes to every entry
/// host. A put is one compare-and-set transaction; each host polls the contract
/// revision to fetch changes made through other hosts. The classes do no I/O:
/// the caller sends the returned actions and reports their outcome.
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
  /// Identifies the put that wrote the row, so that the put can recognise its
  /// own write after a lost answer.
  std::string token;
};

/// @return the row's value as JSON text.
std::string EncodeStoredContract(const StoredContract& contract);
/// @return the contract, or `kInternal` if the row is corrupt.
Result<StoredContract> DecodeStoredContract(const std::string& value);

/// @return the key of the row that holds a customer's contract.
std::string ContractKey(const CustomerId& customer);
/// @return the key of the history row of one version.
std::string ContractHistoryKey(const CustomerId& customer,
                               ContractVersion version);
/// @return the prefix of all rows that hold contracts.
std::string_view ContractPrefix();

/// A read to send; the caller reports its rows or failure to the object that
/// returned it.
struct ReadRows {
  ReadCall call;
};
/// A scan to send; reported like a read.
struct ScanRows {
  ScanCall call;
};
/// A transaction to send once.
struct SendTransaction {
  TransactCall call;
};
/// The put was applied and is durable.
struct PutDone {
  ContractVersion version;
  ContractRevision revision;
};
/// The put was not applied and never will be.
struct PutRejected {
  Error error;
  /// The stored contract; version 0 if there is none.
  StoredContract current;
};
/// The put may have been applied. It is not retried further.
struct PutOutcomeUnknown {};

using ContractAction = std::variant<ReadRows, SendTransaction, PutDone,
                                    PutRejected, PutOutcomeUnknown>;

/// An operator's request to change a contract.
struct ContractPutRequest {
  CustomerId customer;
  /// The version that the change is based on; 0 for a new customer.
  ContractVersion base_version;
  std::string text;
  std::string author;
  /// Unique among all puts.
  std::string token;
};

/// Writes one change to one contract. After a lost answer it reads the rows
/// back and looks for its token, so that it never reports a guessed outcome.
class ContractPut {
 public:
  explicit ContractPut(ContractPutRequest request)
      : request_(std::move(request)) {}

  /// Starts the put.
  /// @return the first actions.
  std::vector<ContractAction> Start();
  /// @param reply the rows of the last `ReadRows`, in order of its keys.
  std::vector<ContractAction> OnRows(const RowsReply& reply);
  /// Reports that the last read failed.
  std::vector<ContractAction> OnReadFailed();
  /// @param reply the reply to the last transaction.
  std::vector<ContractAction> OnTransactReply(const TransactReply& reply);
  /// Reports that the last transaction was certainly not applied.
  std::vector<ContractAction> OnTransactNotApplied();
  /// Reports that the reply to the last transaction is lost.
  std::vector<ContractAction> OnTransactUnknown();

 private:
  enum class Phase { kReadingBase, kWriting, kReadingBack, kDone };

  std::vector<ContractAction> ReadBase();
  std::vector<ContractAction> ReadBack();
  std::vector<ContractAction> CheckBaseVersion(const Row& contract_row,
                                               const Row& revision_row);
  std::vector<ContractAction> Write(const Row& contract_row,
                                    const Row& revision_row);
  std::vector<ContractAction> Finish(ContractAction action);
  ContractVersion NewVersion() const { return request_.base_version.Next(); }

  ContractPutRequest request_;
  Phase phase_ = Phase::kReadingBase;
  ContractRevision revision_;
  int attempts_ = 0;
  /// Whether a transaction whose answer was lost may have been applied.
  bool maybe_applied_ = false;
};

/// Contracts to apply, and the revision up to which all changes are included.
struct ApplyContracts {
  std::vector<StoredContract> contracts;
  ContractRevision revision;
};

using ContractFollowerAction = std::variant<ReadRows, ScanRows, ApplyContracts>;

/// Polls the table service for contract changes. One read is in flight at a
/// time. Any read may return stale rows, so a revision counts as applied only
/// once its contract rows were read at the versions that its change rows name.
class ContractFollower {
 public:
  /// @param poll_interval time between reads of the revision row.
  explicit ContractFollower(Duration poll_interval)
      : poll_interval_(poll_interval) {}

  /// @param now the current time.
  /// @return the read to send, if one is due.
  std::vector<ContractFollowerAction> Tick(Time now);
  /// Reports the rows of the last `ReadRows` or `ScanRows`.
  std::vector<ContractFollowerAction> OnRows(const RowsReply& reply, Time now);
  /// Reports that the last read failed; polling resumes after the poll
  /// interval.
  void OnReadFailed(Time now);
  /// Reports a revision that a peer has seen. If it is newer than the applied
  /// one, the next `Tick` reads without waiting for the poll interval.
  void OnPeerRevision(ContractRevision revision);

  /// @param interval the new time between reads of the revision row, derived
  ///     from the number of hosts.
  void SetPollInterval(Duration interval) { poll_interval_ = interval; }
  /// @return whether the initial load of all contracts is complete.
  bool loaded() const {
    return scan_done_ && applied_revision_ >= load_target_revision_;
  }
  /// @return the revision up to which all changes are applied.
  ContractRevision revision() const { return applied_revision_; }

 private:
  enum class Phase { kIdle, kRevision, kScan, kChanges, kContracts };

  std::vector<ContractFollowerAction> OnRevision(const RowsReply& reply);
  std::vector<ContractFollowerAction> OnScan(const RowsReply& reply, Time now);
  std::vector<ContractFollowerAction> OnChanges(const RowsReply& reply);
  std::vector<ContractFollowerAction> OnContracts(const RowsReply& reply,
                                                  Time now);
  std::vector<ContractFollowerAction> ReadChanges();
  void BecomeIdle(Time now);

  Duration poll_interval_;
  Time next_poll_;
  Phase phase_ = Phase::kIdle;
  bool scan_done_ = false;
  /// Revision that must be applied to complete the initial load.
  ContractRevision load_target_revision_;
  /// Newest revision reported by a peer or the table service.
  ContractRevision newest_seen_;
  /// Revision that is applied once the reads in progress succeed.
  ContractRevision read_target_;
  ContractRevision applied_revision_;
  std::vector<StoredContract> scanned_;
  /// Minimum versions of the contract rows being read.
  std::map<CustomerId, ContractVersion> expected_versions_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_CONTRACT_SYNC_CONTRACT_SYNC_H_
