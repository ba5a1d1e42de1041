#ifndef GYPSUMFALL_SCHEDULER_PORTS_H_
#define GYPSUMFALL_SCHEDULER_PORTS_H_

/// @file
/// Interfaces of a scheduling host to the table service, the workers and the
/// callers, independent of the platform. A platform adapter provides the
/// functions; tests provide fakes. Functions with a parameter `done` return
/// without blocking and later call `done` exactly once.
///
/// Example:
/// @code
///   ports.store.transact({.writes = {{kRow, "value"}}}, seconds(1),
///                        [](TransactionReply reply) {
///                          if (reply.outcome == StoreOutcome::kDone) { ... }
///                        });
/// @endcode

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/http/http.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

/// Address of a row in the table service.
struct RowAddress {
  std::string table;
  /// Partition of the row; may be empty. A transaction is limited to one
  /// partition.
  std::string partition;
  std::string key;

  friend bool operator==(const RowAddress&, const RowAddress&) = default;
};

struct StoredRow {
  RowAddress address;
  std::string value;
  RowVersion version;
  /// Whether the row was removed; set only in results of `RowStore::changes`.
  bool removed = false;
};

struct RowCondition {
  RowAddress address;
  /// Required version of the row; 0 if the row must not exist.
  RowVersion version;
};

struct RowWrite {
  RowAddress address;
  std::string value;
};

/// An atomic change of rows that belong to one partition.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowAddress> removals;
};

enum class StoreOutcome {
  kDone,
  /// The version of a row does not match its condition.
  kConflict,
  /// Nothing was changed; the store is overloaded, down or unreachable.
  kNotApplied,
  /// Nothing was changed, because the call is not valid or exceeds a limit of
  /// the store. The same call fails again.
  kRejected,
  /// No response; the call may have been carried out or may still be.
  kUnknown,
  /// The store no longer keeps the requested changes.
  kHistoryGone,
};

/// @return a fixed name such as "conflict".
std::string_view StoreOutcomeName(StoreOutcome outcome);

struct TransactionReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// Version of all written rows.
  RowVersion version;
  /// For `kConflict`: the current rows of the conditions.
  std::vector<StoredRow> current;
  /// Reading of the store's clock when it answered, if the answer has one.
  std::optional<StoreTime> store_time;
};

/// A range of rows of one partition, ordered by key.
struct RowRange {
  std::string table;
  std::string partition;
  /// First key of the range; empty to start with the first row.
  std::string from;
  /// Maximum number of rows to return; 0 for the store's page size.
  int limit = 0;
};

/// @return the range that starts at the row and is limited to one row. If the
///   row does not exist, reads of the range return the next row.
inline RowRange SingleRow(const RowAddress& row) {
  return {row.table, row.partition, row.key, 1};
}

struct RowPage {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoredRow> rows;
  bool has_more = false;
  /// Latest version of the store; pass it to `RowStore::changes` to read later
  /// changes.
  RowVersion version;
  /// Reading of the store's clock when it answered, if the answer has one.
  std::optional<StoreTime> store_time;
};

/// The platform's table service.
struct RowStore {
  std::function<void(RowTransaction, Duration timeout,
                     UniqueFunction<TransactionReply> done)>
      transact;
  std::function<void(RowRange, Duration timeout, UniqueFunction<RowPage> done)>
      read;
  /// Returns the rows of the table that changed after a version. Waits up to
  /// `wait` for the first change.
  std::function<void(std::string table, RowVersion after, Duration wait,
                     Duration timeout, UniqueFunction<RowPage> done)>
      changes;
};

/// Orders to the workers.
struct WorkerPort {
  std::function<void(const StartOrder&, Epoch, const std::string& payload,
                     Duration timeout, UniqueFunction<OrderReply> done)>
      start;
  std::function<void(const StopOrder&, Epoch, Duration timeout,
                     UniqueFunction<OrderReply> done)>
      stop;
  std::function<void(const LeaseOrder&, Epoch, Duration timeout,
                     UniqueFunction<LeaseReply> done)>
      lease;
  std::function<void(const ThrottleOrder&, Epoch, Duration timeout,
                     UniqueFunction<OrderReply> done)>
      throttle;
};

/// A decoded request of a caller.
struct CallerRequest {
  enum class Kind { kSubmit, kState, kCancel, kQueueLength };
  Kind kind = Kind::kState;
  QueueId queue;
  JobId job;
  /// For `kSubmit`.
  JobSpec spec;
  /// Time that the caller waits for the answer; 0 if the request does not
  /// specify it.
  Duration caller_timeout{0};
};

/// An answer to a caller, before encoding.
struct CallerAnswer {
  enum class Kind {
    /// The job is stored.
    kAccepted,
    kState,
    kCancelled,
    kQueueLength,
    kUnknownJob,
    kUnknownQueue,
    kBadRequest,
    /// The request was not and will not be carried out; the caller may retry.
    kTryLater,
    /// The request may have been carried out.
    kOutcomeUnknown,
  };
  Kind kind = Kind::kTryLater;
  JobState state = JobState::kQueued;
  std::uint64_t waiting = 0;
  std::string detail;
  Duration retry_after{0};
};

/// Converts between HTTP messages and callers' requests and answers.
struct CallerPort {
  /// @return the request, or the answer to an invalid one.
  std::function<tl::expected<CallerRequest, CallerAnswer>(const HttpRequest&,
                                                          const Topology&)>
      decode;
  std::function<HttpResponse(const CallerAnswer&)> encode;
};

/// Decodes the rows that the operator and the workers write.
struct DirectoryPort {
  RowAddress topology_row;
  /// Address of the rows that each close a data centre; its key is the prefix
  /// of their keys.
  RowAddress evacuation_rows;
  /// Table with one row per worker; the key is the worker's id.
  std::string worker_table;
  std::function<Result<Topology>(const std::string& value)> decode_topology;
  std::function<Result<WorkerEntry>(const StoredRow&)> decode_worker;
  /// @return the data centre that a row with this address closes, or nothing if
  ///   it is another row.
  std::function<std::optional<DataCentreId>(const RowAddress&)>
      decode_evacuation;
};

struct SchedulerPorts {
  RowStore store;
  WorkerPort workers;
  CallerPort callers;
  DirectoryPort directory;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SCHEDULER_PORTS_H_
