#ifndef STANDINS_INTERNAL_PLATFORM_MODELS_H_
#define STANDINS_INTERNAL_PLATFORM_MODELS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"
#include "standins/internal/fault_rules.h"

namespace gypsumfall::standins {

/// Outcome of a platform call as seen by the client, plus its hidden effect.
template <typename Reply>
struct Answer {
  /// Unset if the service was down, refused the call, or the answer was lost.
  std::optional<Reply> reply = {};
  /// Set if the service refused the call without applying it.
  std::optional<ErrorKind> refused = {};
  /// The service refuses connections.
  bool down = false;
  /// Whether the call took effect; a client cannot observe this.
  bool applied = false;
  Duration delay = Duration::zero();
};

/// Limits of the table service.
struct TableOptions {
  /// Rows put or deleted per second, with a burst of one second.
  double rows_written_per_second = 400;
  /// Keys read per second; a scan counts as one per 100 rows.
  double reads_per_second = 2000;
  std::size_t max_value_bytes = std::size_t{64} << 10;
};

/// Token bucket with a burst of one second. A call that exceeds the available
/// tokens is allowed and leaves a debt that the following calls wait for.
class RateBudget {
 public:
  explicit RateBudget(double per_second)
      : per_second_(per_second), available_(per_second) {}
  /// @return whether the call is allowed.
  bool TryConsume(double amount, Time now);

 private:
  double per_second_;
  double available_;
  Time updated_;
};

/// Transactional table of rows. Versions increase across the whole table, so a
/// row that is deleted and put again never reuses a version.
class TableModel {
 public:
  explicit TableModel(const TableOptions& options = {},
                      FaultRules faults = FaultRules{});

  Answer<TransactReply> Transact(const TransactCall& call, Time now);
  Answer<RowsReply> Read(const ReadCall& call, Time now);
  Answer<RowsReply> Scan(const ScanCall& call, Time now);

  FaultRules& faults() { return faults_; }
  /// @return all rows by key, for invariant checks.
  const std::map<std::string, Row>& rows() const { return rows_; }
  std::uint64_t rows_written() const { return rows_written_; }
  std::uint64_t keys_read() const { return keys_read_; }
  /// @return the number of calls refused by a rate limit.
  std::uint64_t rate_limited() const { return rate_limited_; }

 private:
  TransactReply Apply(const TransactCall& call);
  Row Find(const std::string& key) const;
  RowsReply FindAll(const ScanCall& call) const;

  TableOptions options_;
  FaultRules faults_;
  RateBudget writes_;
  RateBudget reads_;
  std::map<std::string, Row> rows_;
  std::uint64_t version_ = 0;
  std::uint64_t rows_written_ = 0;
  std::uint64_t keys_read_ = 0;
  std::uint64_t rate_limited_ = 0;
};

/// Object store; a put replaces the entire object.
class ObjectModel {
 public:
  explicit ObjectModel(FaultRules faults = FaultRules{})
      : faults_(std::move(faults)) {}

  Answer<bool> Put(const std::string& name, std::string bytes);
  /// The inner optional of the reply is unset if there is no such object.
  Answer<std::optional<std::string>> Get(const std::string& name);
  /// Succeeds if the object does not exist.
  Answer<bool> Delete(const std::string& name);

  FaultRules& faults() { return faults_; }
  const std::map<std::string, std::string>& objects() const { return objects_; }

 private:
  FaultRules faults_;
  std::map<std::string, std::string> objects_;
};

/// Host list that exposes every change after a fixed lag.
class HostListModel {
 public:
  explicit HostListModel(Duration lag, FaultRules faults = FaultRules{})
      : lag_(lag), faults_(std::move(faults)) {}

  /// Adds or changes a host.
  void Set(const ListedHost& host, Time now);
  /// Removes a host.
  void Remove(const WorkerId& id, Time now);
  Answer<HostListReply> View(Time now);

  FaultRules& faults() { return faults_; }

 private:
  struct Change {
    Time at;
    std::optional<ListedHost> host;
  };

  Duration lag_;
  FaultRules faults_;
  /// Changes in order of time; the first is the visible one once its lag is
  /// over.
  std::map<WorkerId, std::deque<Change>> changes_;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_PLATFORM_MODELS_H_
