#ifndef GYPSUMFALL_SCHEDULER_PORTS_H_
#define GYPSUMFALL_SCHEDULER_PORTS_H_

/// @file
/// What a scheduling host reaches outside of it, in the product's own terms.
/// An adapter fills in the functions; tests put fakes in their place. Each
/// function returns at once and calls `done` exactly once, later.
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

/// Place of a row in the table service.
struct RowAddress {
  std::string table;
  /// Rows of one part change together; may be empty.
  std::string part;
  std::string key;

  friend bool operator==(const RowAddress&, const RowAddress&) = default;
};

struct StoredRow {
  RowAddress address;
  std::string value;
  RowVersion version;
  /// The row was removed; only in changes.
  bool removed = false;
};

struct RowCondition {
  RowAddress address;
  /// Version that the row must have; 0 if it must not exist.
  RowVersion version;
};

struct RowWrite {
  RowAddress address;
  std::string value;
};

/// Applied as a whole or not at all; all rows have the same part.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowAddress> removals;
};

enum class StoreOutcome {
  kDone,
  /// A row had another version than the condition says.
  kConflict,
  /// Nothing was done; the store is busy, down or out of reach.
  kNotDone,
  /// No answer; the call may be carried out, also later.
  kUnknown,
  /// The changes that were asked for are no longer kept.
  kHistoryGone,
};

/// @return a fixed name such as "conflict".
std::string_view StoreOutcomeName(StoreOutcome outcome);

struct TransactionReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// Version of all rows that were written.
  RowVersion version;
  /// With `kConflict`: the rows of the conditions as they are.
  std::vector<StoredRow> current;
};

/// Rows of one part by key.
struct RowRange {
  std::string table;
  std::string part;
  /// First key; empty for all.
  std::string from;
  /// Most rows to return; 0 for as many as the store puts into one page.
  int limit = 0;
};

/// @return the range that holds only the row.
inline RowRange OnlyRow(const RowAddress& row) {
  return {row.table, row.part, row.key, 1};
}

struct RowPage {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoredRow> rows;
  bool has_more = false;
  /// Newest version of the store; changes are read from here on.
  RowVersion version;
};

/// The platform's table service.
struct RowStore {
  std::function<void(RowTransaction, Duration timeout,
                     UniqueFunction<TransactionReply> done)>
      transact;
  std::function<void(RowRange, Duration timeout, UniqueFunction<RowPage> done)>
      read;
  /// Waits until a row of the table has changed, at most `wait`.
  std::function<void(std::string table, RowVersion after, Duration wait,
                     Duration timeout, UniqueFunction<RowPage> done)>
      changes;
};

/// The workers.
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
  std::function<void(const PaceOrder&, Epoch, Duration timeout,
                     UniqueFunction<OrderReply> done)>
      pace;
};

/// What a caller asks for.
struct CallerRequest {
  enum class Kind { kSubmit, kState, kCancel, kQueueLength };
  Kind kind = Kind::kState;
  QueueId queue;
  JobId job;
  /// For `kSubmit`.
  JobSpec spec;
  /// How long the caller waits; 0 if it does not say.
  Duration patience{0};
};

/// What a caller is told.
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
    /// Not done, and never will be; the caller may come back.
    kTryLater,
    /// May have been done.
    kOutcomeUnknown,
  };
  Kind kind = Kind::kTryLater;
  JobState state = JobState::kQueued;
  std::uint64_t waiting = 0;
  std::string detail;
  Duration retry_after{0};
};

/// Callers' requests and answers as they are spoken on the wire.
struct CallerPort {
  /// @return the request, or the answer to one that makes no sense.
  std::function<tl::expected<CallerRequest, CallerAnswer>(const HttpRequest&,
                                                          const Topology&)>
      decode;
  std::function<HttpResponse(const CallerAnswer&)> encode;
};

/// Rows that the operator and the workers write.
struct DirectoryPort {
  RowAddress topology_row;
  /// Table with one row for each worker; the key is its id.
  std::string worker_table;
  std::function<Result<Topology>(const std::string& value)> decode_topology;
  std::function<Result<WorkerEntry>(const StoredRow&)> decode_worker;
};

struct SchedulerPorts {
  RowStore store;
  WorkerPort workers;
  CallerPort callers;
  DirectoryPort directory;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SCHEDULER_PORTS_H_
