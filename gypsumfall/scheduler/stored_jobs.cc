#include "gypsumfall/scheduler/internal/stored_jobs.h"

#include <memory>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kPageTimeout = milliseconds(1500);

RowAddress ProgressAddress(const ShardScope& scope, const JobId& id) {
  return {kProgressTable, scope.partition, id.str()};
}

RowAddress EndedAddress(const ShardScope& scope, const JobId& id) {
  return {kEndedTable, scope.partition, id.str()};
}

RowAddress SlicedJobAddress(const JobId& id) {
  return {kSlicedJobTable, kSlicedJobPartition, id.str()};
}

RowAddress CancelledSlicedJobAddress(const JobId& id) {
  return {kCancelledSlicedJobTable, kSlicedJobPartition, id.str()};
}

// Decodes the rows of one table. Invalid rows are logged and skipped.
template <typename Record>
std::vector<Record> DecodeAll(const LoadedRows& loaded, const Logger& log) {
  std::vector<Record> records;
  for (const StoredRow& row : loaded.rows) {
    if (row.value.empty()) continue;
    Result<Record> record = Decode<Record>(row.value);
    if (record) {
      records.push_back(*std::move(record));
    } else {
      log.Error("cannot decode a stored row", {{"table", row.address.table},
                                               {"key", row.address.key},
                                               {"why", record.error().detail}});
    }
  }
  return records;
}

// Returns the row of the job, or null if a read that starts at the job's key
// did not find it.
const StoredRow* RowOf(const RowPage& page, const JobId& id) {
  if (page.rows.empty() || page.rows.front().address.key != id.str()) {
    return nullptr;
  }
  return &page.rows.front();
}

// Waits for the reads of the five tables and combines their results.
struct StateLoad {
  Logger log{"stored-jobs"};
  StoredState state;
  int pending_reads = 5;
  bool failed = false;
  UniqueFunction<Result<StoredState>> done;

  void Finish(StoreOutcome outcome) {
    failed = failed || outcome != StoreOutcome::kDone;
    if (--pending_reads > 0) return;
    if (failed) {
      done(Fail(ErrorKind::kStoreUnavailable, "a table could not be read"));
    } else {
      done(std::move(state));
    }
  }
};

void DecodeRoster(const LoadedRows& loaded, StateLoad& loading) {
  for (const StoredRow& row : loaded.rows) {
    if (row.address.key != kRosterKey) continue;
    Result<Roster> roster = Decode<Roster>(row.value);
    if (roster) {
      loading.state.roster = std::move(roster->workers);
    } else {
      loading.log.Error("cannot decode the stored roster",
                        {{"why", roster.error().detail}});
    }
  }
}

}  // namespace

RowAddress JobAddress(const ShardScope& scope, const JobId& id) {
  return {scope.job_table, scope.partition, id.str()};
}

RowTransaction AcceptTransaction(const ShardScope& scope, const JobId& id,
                                 std::string record) {
  return {.conditions = {{JobAddress(scope, id), RowVersion(0)}},
          .writes = {{JobAddress(scope, id), std::move(record)}},
          .removals = {}};
}

RowTransaction AcceptSlicedTransaction(const JobId& id, std::string record) {
  return {.conditions = {{SlicedJobAddress(id), RowVersion(0)},
                         {CancelledSlicedJobAddress(id), RowVersion(0)}},
          .writes = {{SlicedJobAddress(id), std::move(record)}},
          .removals = {}};
}

RowTransaction CancelSlicedTransaction(const JobProgress& cancelled) {
  return {
      .conditions = {},
      .writes = {{CancelledSlicedJobAddress(cancelled.id), Encode(cancelled)}},
      .removals = {SlicedJobAddress(cancelled.id)}};
}

RowTransaction RemoveCancelledSlicedTransaction(const std::vector<JobId>& ids) {
  RowTransaction rows;
  for (const JobId& id : ids) {
    rows.removals.push_back(CancelledSlicedJobAddress(id));
  }
  return rows;
}

RowTransaction BatchTransaction(const ShardScope& scope,
                                const RecordBatch& batch) {
  RowTransaction rows;
  for (const JobProgress& progress : batch.progress) {
    rows.writes.push_back(
        {ProgressAddress(scope, progress.id), Encode(progress)});
  }
  for (const JobProgress& ended : batch.ended) {
    rows.writes.push_back({EndedAddress(scope, ended.id), Encode(ended)});
    rows.writes.push_back({JobAddress(scope, ended.id), ""});
    rows.removals.push_back(ProgressAddress(scope, ended.id));
  }
  for (const JobId& id : batch.expired) {
    rows.removals.push_back(JobAddress(scope, id));
    rows.removals.push_back(EndedAddress(scope, id));
  }
  if (batch.roster_changed) {
    rows.writes.push_back({{kLeaderTable, scope.partition, kRosterKey},
                           Encode(Roster{batch.roster})});
  }
  return rows;
}

void LoadState(Context& context, const ShardScope& scope,
               UniqueFunction<Result<StoredState>> done) {
  auto loading = std::make_shared<StateLoad>();
  loading->done = std::move(done);
  LoadRows(context, scope.job_table, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.jobs = DecodeAll<JobRecord>(loaded, loading->log);
             loading->state.version = loaded.version;
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kProgressTable, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.progress =
                 DecodeAll<JobProgress>(loaded, loading->log);
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kEndedTable, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.ended =
                 DecodeAll<JobProgress>(loaded, loading->log);
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kSlicedJobTable, kSlicedJobPartition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.sliced_jobs =
                 DecodeAll<JobRecord>(loaded, loading->log);
             loading->state.sliced_version = loaded.version;
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kLeaderTable, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             DecodeRoster(loaded, *loading);
             loading->Finish(loaded.outcome);
           });
}

void LoadJobState(Context& context, const ShardScope& scope, const JobId& id,
                  Duration timeout,
                  UniqueFunction<Result<JobStateReply>> done) {
  context.ports.store.read(
      SingleRow(JobAddress(scope, id)), timeout,
      [&context, scope, id, timeout,
       done = std::move(done)](const RowPage& page) mutable {
        if (page.outcome != StoreOutcome::kDone) {
          done(Fail(ErrorKind::kStoreUnavailable, "cannot read the job"));
          return;
        }
        const StoredRow* row = RowOf(page, id);
        if (row == nullptr || !row->value.empty()) {
          done(JobStateReply{row != nullptr, JobState::kQueued});
          return;
        }
        context.ports.store.read(
            SingleRow(EndedAddress(scope, id)), timeout,
            [id, done = std::move(done)](const RowPage& ended) mutable {
              const StoredRow* ended_row = ended.outcome == StoreOutcome::kDone
                                               ? RowOf(ended, id)
                                               : nullptr;
              if (ended_row == nullptr) {
                done(Fail(ErrorKind::kStoreUnavailable,
                          "cannot read the final state of the job"));
                return;
              }
              Result<JobProgress> progress =
                  Decode<JobProgress>(ended_row->value);
              if (!progress) {
                done(Fail(ErrorKind::kInternal, progress.error().detail));
                return;
              }
              done(JobStateReply{true, progress->state});
            });
      });
}

void LoadSlicedJobState(Context& context, const JobId& id, Duration timeout,
                        UniqueFunction<Result<JobStateReply>> done) {
  context.ports.store.read(
      SingleRow(SlicedJobAddress(id)), timeout,
      [&context, id, timeout,
       done = std::move(done)](const RowPage& page) mutable {
        if (page.outcome != StoreOutcome::kDone) {
          done(Fail(ErrorKind::kStoreUnavailable, "cannot read the job"));
          return;
        }
        if (RowOf(page, id) != nullptr) {
          done(JobStateReply{true, JobState::kQueued});
          return;
        }
        // A job that is in neither table now was in neither before, because it
        // only changes from this table to the other one.
        context.ports.store.read(
            SingleRow(CancelledSlicedJobAddress(id)), timeout,
            [id, done = std::move(done)](const RowPage& cancelled) mutable {
              if (cancelled.outcome != StoreOutcome::kDone) {
                done(Fail(ErrorKind::kStoreUnavailable, "cannot read the job"));
                return;
              }
              done(JobStateReply{RowOf(cancelled, id) != nullptr,
                                 JobState::kCancelled});
            });
      });
}

}  // namespace gypsumfall::scheduler_internal
