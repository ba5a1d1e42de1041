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

/// What a client of the platform experiences.
template <typename Reply>
struct Answer {
  /// Unset if the service was down, refused the call, or the answer was lost.
  std::optional<Reply> reply = {};
  /// Set if the service refused the call without applying it.
  std::optional<ErrorKind> refused = {};
  /// The service refuses connections.
  bool down = false;
  /// Whether the call took effect; a client can not see this.
  bool applied = false;
  Duration delay = Duration::zero();
};

struct TableOptions {
  /// Rows put or deleted per second, with a burst of one second.
  double rows_written_per_second = 400;
  /// Keys read per second; a scan counts as one per 100 rows.
  double reads_per_second = 2000;
  std::size_t max_value = std::size_t{64} << 10;
};

/// Allows a rate with a burst of one second. A call that is larger than what is
/// left is allowed and delays the following ones.
class RateBudget {
 public:
  explicit RateBudget(double per_second)
      : per_second_(per_second), left_(per_second) {}
  /// @return whether the call is allowed.
  bool Take(double amount, Time now);

 private:
  double per_second_;
  double left_;
  Time updated_;
};

/// Transactional table of rows. Versions grow over the whole table, so a row
/// that is deleted and put again never has an earlier version.
class TableModel {
 public:
  explicit TableModel(const TableOptions& options = {},
                      FaultRules faults = FaultRules{});

  Answer<TransactReply> Transact(const TransactCall& call, Time now);
  Answer<RowsReply> Read(const ReadCall& call, Time now);
  Answer<RowsReply> Scan(const ScanCall& call, Time now);

  FaultRules& faults() { return faults_; }
  /// @return all rows by key, for checks of invariants.
  const std::map<std::string, Row>& rows() const { return rows_; }
  std::uint64_t rows_written() const { return rows_written_; }
  std::uint64_t keys_read() const { return keys_read_; }
  /// @return calls that were refused because of a rate.
  std::uint64_t over_rate() const { return over_rate_; }

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
  std::uint64_t over_rate_ = 0;
};

/// Object store; an object is replaced as a whole.
class ObjectModel {
 public:
  explicit ObjectModel(FaultRules faults = FaultRules{})
      : faults_(std::move(faults)) {}

  Answer<bool> Put(const std::string& name, std::string bytes);
  /// The reply is unset inside if there is no such object.
  Answer<std::optional<std::string>> Get(const std::string& name);
  /// Deleting an object that is not there succeeds.
  Answer<bool> Delete(const std::string& name);

  FaultRules& faults() { return faults_; }
  const std::map<std::string, std::string>& objects() const { return objects_; }

 private:
  FaultRules faults_;
  std::map<std::string, std::string> objects_;
};

/// Host list that shows every change only after a lag.
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
  /// Changes in order of time; the first is the one that is shown.
  std::map<WorkerId, std::deque<Change>> changes_;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_PLATFORM_MODELS_H_
