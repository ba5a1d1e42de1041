#include "gypsumfall/scheduler/internal/stored_jobs.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <memory>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kPageTimeout = milliseconds(1500);
constexpr Duration kMinAcceptTimeout = milliseconds(700);
constexpr Duration kMaxAcceptTimeout = milliseconds(1500);
constexpr int kAcceptTimeoutFactor = 3;

std::string JobPartitionOf(const ShardScope& scope, const JobId& id) {
  return scope.JobPartition(StableHash(id.str()) / kMaxShards %
                            kJobPartitionCount);
}

RowAddress ProgressAddress(const ShardScope& scope, const ProgressRowId& row) {
  std::string key = row.job.str();
  if (row.occurrence != ProgressRowId::kWholeJob) {
    key +=
        "/" + std::to_string(row.occurrence) + "/" + std::to_string(row.chunk);
  }
  return {kProgressTable, scope.partition, std::move(key)};
}

bool IsChunkRow(const RowAddress& address) {
  return address.key.find('/') != std::string::npos;
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

RowAddress TransferAddress(const ShardScope& scope, const TaskName& task) {
  return {kSlicedJobTable, scope.partition,
          task.job.str() + "/" + std::to_string(task.occurrence) + "/" +
              std::to_string(task.step) + "/" + std::to_string(task.index)};
}

RowAddress MoveAddress(const ShardScope& scope, const JobId& id) {
  return {kSlicedJobTable, scope.partition, id.str()};
}

// Reads the rows of several partitions of a table.
// @param done called with the rows, in the order of the partitions, and the
//   earliest version of the reads, or with the outcome of a read that failed.
void LoadPartitions(Context& context, const std::string& table,
                    const std::vector<std::string>& partitions,
                    Duration timeout, UniqueFunction<LoadedRows> done) {
  struct Merge {
    std::vector<LoadedRows> parts;
    std::size_t pending_reads = 0;
    UniqueFunction<LoadedRows> done;

    void Finish() {
      LoadedRows all;
      all.outcome = StoreOutcome::kDone;
      all.version = RowVersion(std::numeric_limits<std::uint64_t>::max());
      for (LoadedRows& part : parts) {
        if (part.outcome != StoreOutcome::kDone) all.outcome = part.outcome;
        all.version = std::min(all.version, part.version);
        std::move(part.rows.begin(), part.rows.end(),
                  std::back_inserter(all.rows));
      }
      done(std::move(all));
    }
  };
  auto merge = std::make_shared<Merge>();
  merge->parts.resize(partitions.size());
  merge->pending_reads = partitions.size();
  merge->done = std::move(done);
  for (std::size_t i = 0; i < partitions.size(); ++i) {
    LoadRows(context, table, partitions[i], timeout,
             [merge, i](LoadedRows loaded) {
               merge->parts[i] = std::move(loaded);
               if (--merge->pending_reads == 0) merge->Finish();
             });
  }
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

std::vector<RowTransaction> Transactions(
    std::map<std::string, RowTransaction>&& by_partition) {
  std::vector<RowTransaction> transactions;
  transactions.reserve(by_partition.size());
  for (auto& [partition, rows] : by_partition)
    transactions.push_back(std::move(rows));
  return transactions;
}

// Waits for the reads of the seven tables and combines their results.
struct StateLoad {
  Logger log{"stored-jobs"};
  StoredState state;
  int pending_reads = 7;
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

// Decodes the rows of jobs, among which there may be markers of cancellations.
void DecodeJobs(const LoadedRows& loaded, StateLoad& loading) {
  LoadedRows records;
  for (const StoredRow& row : loaded.rows) {
    if (std::optional<JobProgress> marker = DecodeNeverAccepted(row.value)) {
      loading.state.never_accepted.push_back(*std::move(marker));
    } else {
      records.rows.push_back(row);
    }
  }
  loading.state.jobs = DecodeAll<JobRecord>(records, loading.log);
}

void DecodeSlicedJobs(const ShardScope& scope, LoadedRows loaded,
                      StateLoad& loading) {
  LoadedRows jobs;
  LoadedRows moves;
  LoadedRows own_transfers;
  LoadedRows other_transfers;
  for (StoredRow& row : loaded.rows) {
    LoadedRows& target = IsMoveRow(row.address)        ? moves
                         : !IsTransferRow(row.address) ? jobs
                         : row.address.partition == scope.partition
                             ? own_transfers
                             : other_transfers;
    target.rows.push_back(std::move(row));
  }
  StoredState& state = loading.state;
  state.sliced_jobs = DecodeAll<JobRecord>(jobs, loading.log);
  state.own_transfers = DecodeAll<TaskTransfer>(own_transfers, loading.log);
  state.other_transfers = DecodeAll<TaskTransfer>(other_transfers, loading.log);
  state.moves = DecodeAll<JobMove>(moves, loading.log);
}

void DecodeProgress(LoadedRows loaded, StateLoad& loading) {
  LoadedRows jobs;
  LoadedRows chunks;
  for (StoredRow& row : loaded.rows) {
    LoadedRows& target = IsChunkRow(row.address) ? chunks : jobs;
    target.rows.push_back(std::move(row));
  }
  loading.state.progress = DecodeAll<JobProgress>(jobs, loading.log);
  loading.state.chunk_progress = DecodeAll<ChunkProgress>(chunks, loading.log);
}

void DecodeOldRoster(const LoadedRows& loaded, StateLoad& loading) {
  for (const StoredRow& row : loaded.rows) {
    if (row.address.key != kRosterKey) continue;
    Result<Roster> roster = Decode<Roster>(row.value);
    if (roster) {
      loading.state.old_roster = std::move(roster->workers);
    } else {
      loading.log.Error("cannot decode the stored roster",
                        {{"why", roster.error().detail}});
    }
  }
}

}  // namespace

RowAddress JobAddress(const ShardScope& scope, const JobId& id) {
  return {scope.job_table, JobPartitionOf(scope, id), id.str()};
}

void LoadJobRows(Context& context, const ShardScope& scope, Duration timeout,
                 UniqueFunction<LoadedRows> done) {
  std::vector<std::string> partitions;
  for (std::uint64_t i = 0; i < kJobPartitionCount; ++i) {
    partitions.push_back(scope.JobPartition(i));
  }
  LoadPartitions(context, scope.job_table, partitions, timeout,
                 std::move(done));
}

void LoadSlicedJobRows(Context& context, std::uint64_t shard_count,
                       Duration timeout, UniqueFunction<LoadedRows> done) {
  // The jobs come first, because a transfer of an unknown job is ignored.
  std::vector<std::string> partitions{kSlicedJobPartition};
  for (std::uint64_t i = 0; shard_count > 1 && i < shard_count; ++i) {
    partitions.push_back(ShardScope(ShardId(i)).partition);
  }
  LoadPartitions(context, kSlicedJobTable, partitions, timeout,
                 std::move(done));
}

bool IsTransferRow(const RowAddress& address) {
  return address.partition != kSlicedJobPartition &&
         address.key.find('/') != std::string::npos;
}

bool IsMoveRow(const RowAddress& address) {
  return address.partition != kSlicedJobPartition &&
         address.key.find('/') == std::string::npos;
}

std::vector<RowTransaction> EmptyJobsTransactions(
    const ShardScope& scope, const std::vector<JobId>& ids) {
  std::map<std::string, RowTransaction> by_partition;
  for (const JobId& id : ids) {
    const RowAddress address = JobAddress(scope, id);
    by_partition[address.partition].writes.push_back({address, ""});
  }
  return Transactions(std::move(by_partition));
}

std::vector<RowTransaction> RemoveJobsTransactions(
    const ShardScope& scope, const std::vector<JobId>& ids) {
  std::map<std::string, RowTransaction> by_partition;
  for (const JobId& id : ids) {
    const RowAddress address = JobAddress(scope, id);
    by_partition[address.partition].removals.push_back(address);
  }
  return Transactions(std::move(by_partition));
}

RowTransaction AcceptTransaction(const ShardScope& scope, const JobId& id,
                                 std::string record) {
  return {.conditions = {{JobAddress(scope, id), RowVersion(0)}},
          .writes = {{JobAddress(scope, id), std::move(record)}},
          .removals = {}};
}

bool IsStored(const std::string& record, const TransactionReply& reply) {
  return reply.outcome == StoreOutcome::kDone ||
         (reply.outcome == StoreOutcome::kConflict &&
          std::any_of(
              reply.current.begin(), reply.current.end(),
              [&](const StoredRow& row) { return row.value == record; }));
}

Duration AcceptTimeout(Duration latest) {
  return std::clamp<Duration>(kAcceptTimeoutFactor * latest, kMinAcceptTimeout,
                              kMaxAcceptTimeout);
}

RowTransaction AcceptSlicedTransaction(const JobId& id, std::string record) {
  return {.conditions = {{SlicedJobAddress(id), RowVersion(0)},
                         {CancelledSlicedJobAddress(id), RowVersion(0)}},
          .writes = {{SlicedJobAddress(id), std::move(record)}},
          .removals = {}};
}

std::optional<JobProgress> DecodeNeverAccepted(const std::string& value) {
  // Only such rows have the name of the field in them, but for payloads of
  // callers.
  if (value.find("never_accepted") == std::string::npos) return std::nullopt;
  Result<JobProgress> progress = Decode<JobProgress>(value);
  if (!progress || !progress->never_accepted) return std::nullopt;
  return *std::move(progress);
}

RowTransaction RejectLateAcceptance(const ShardScope& scope,
                                    const JobProgress& marker) {
  return {.conditions = {{JobAddress(scope, marker.id), RowVersion(0)}},
          .writes = {{JobAddress(scope, marker.id), Encode(marker)}},
          .removals = {}};
}

RowTransaction RejectLateSlicedAcceptance(const JobProgress& marker) {
  return {.conditions = {{SlicedJobAddress(marker.id), RowVersion(0)},
                         {CancelledSlicedJobAddress(marker.id), RowVersion(0)}},
          .writes = {{CancelledSlicedJobAddress(marker.id), Encode(marker)}},
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

std::vector<LeaseHolder> LeaseHoldersOf(const std::vector<RosterEntry>& roster,
                                        const StoreClockEstimate& clock) {
  std::vector<LeaseHolder> holders;
  holders.reserve(roster.size());
  for (const RosterEntry& entry : roster) {
    LeaseHolder holder{.id = entry.id, .endpoint = entry.endpoint};
    if (entry.lease_end)
      holder.lease_end = clock.TimeOfReading(*entry.lease_end);
    holders.push_back(std::move(holder));
  }
  return holders;
}

RowTransaction BatchTransaction(const ShardScope& scope,
                                const RecordBatch& batch,
                                const StoreClockEstimate& clock) {
  RowTransaction rows;
  for (const JobProgress& progress : batch.progress) {
    rows.writes.push_back(
        {ProgressAddress(scope, {.job = progress.id}), Encode(progress)});
  }
  for (const ChunkProgress& progress : batch.chunk_progress) {
    rows.writes.push_back(
        {ProgressAddress(scope, progress.row), Encode(progress)});
  }
  for (const JobProgress& ended : batch.ended) {
    rows.writes.push_back({EndedAddress(scope, ended.id), Encode(ended)});
  }
  for (const ProgressRowId& row : batch.obsolete_progress) {
    rows.removals.push_back(ProgressAddress(scope, row));
  }
  for (const JobId& id : batch.expired) {
    rows.removals.push_back(EndedAddress(scope, id));
  }
  for (const TaskTransfer& transfer : batch.transfers) {
    rows.writes.push_back(
        {TransferAddress(scope, transfer.task), Encode(transfer)});
  }
  for (const TaskName& task : batch.obsolete_transfers) {
    rows.removals.push_back(TransferAddress(scope, task));
  }
  for (const JobMove& move : batch.moves) {
    rows.writes.push_back({MoveAddress(scope, move.record.id), Encode(move)});
  }
  for (const JobId& id : batch.obsolete_moves) {
    rows.removals.push_back(MoveAddress(scope, id));
  }
  for (const LeaseHolder& holder : batch.roster_entries) {
    RosterEntry entry{.id = holder.id, .endpoint = holder.endpoint};
    if (holder.lease_end)
      entry.lease_end = clock.LatestReadingAt(*holder.lease_end);
    rows.writes.push_back(
        {{kRosterTable, scope.partition, entry.id.str()}, Encode(entry)});
  }
  for (const WorkerId& id : batch.removed_from_roster) {
    rows.removals.push_back({kRosterTable, scope.partition, id.str()});
  }
  if (batch.remove_old_roster)
    rows.removals.push_back({kLeaderTable, scope.partition, kRosterKey});
  return rows;
}

void LoadEvacuations(Context& context, Duration timeout,
                     UniqueFunction<LoadedRows> done) {
  const RowAddress& first = context.ports.directory.evacuation_rows;
  LoadRows(context, {first.table, first.partition, first.key}, timeout,
           std::move(done));
}

void LoadState(Context& context, const ShardScope& scope,
               std::uint64_t shard_count,
               UniqueFunction<Result<StoredState>> done) {
  auto loading = std::make_shared<StateLoad>();
  loading->done = std::move(done);
  LoadJobRows(context, scope, kPageTimeout,
              [loading](const LoadedRows& loaded) {
                DecodeJobs(loaded, *loading);
                loading->state.version = loaded.version;
                loading->Finish(loaded.outcome);
              });
  LoadRows(context, kProgressTable, scope.partition, kPageTimeout,
           [loading](LoadedRows loaded) {
             const StoreOutcome outcome = loaded.outcome;
             DecodeProgress(std::move(loaded), *loading);
             loading->Finish(outcome);
           });
  LoadRows(context, kEndedTable, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.ended =
                 DecodeAll<JobProgress>(loaded, loading->log);
             loading->Finish(loaded.outcome);
           });
  LoadSlicedJobRows(context, shard_count, kPageTimeout,
                    [loading, scope](LoadedRows loaded) {
                      loading->state.sliced_version = loaded.version;
                      const StoreOutcome outcome = loaded.outcome;
                      DecodeSlicedJobs(scope, std::move(loaded), *loading);
                      loading->Finish(outcome);
                    });
  LoadRows(context, kLeaderTable, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             DecodeOldRoster(loaded, *loading);
             loading->Finish(loaded.outcome);
           });
  LoadEvacuations(context, kPageTimeout, [loading](LoadedRows loaded) {
    const StoreOutcome outcome = loaded.outcome;
    loading->state.evacuations = std::move(loaded);
    loading->Finish(outcome);
  });
  LoadRows(context, kRosterTable, scope.partition, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.roster =
                 DecodeAll<RosterEntry>(loaded, loading->log);
             loading->Finish(loaded.outcome);
           });
}

void LoadJobState(Context& context, const ShardScope& scope, const JobId& id,
                  Duration timeout,
                  UniqueFunction<Result<JobStateReply>> done) {
  context.ports.store.read(
      SingleRow(EndedAddress(scope, id)), timeout,
      [&context, scope, id, timeout,
       done = std::move(done)](const RowPage& ended) mutable {
        if (ended.outcome != StoreOutcome::kDone) {
          done(Fail(ErrorKind::kStoreUnavailable, "cannot read the job"));
          return;
        }
        if (const StoredRow* row = RowOf(ended, id); row != nullptr) {
          const Result<JobProgress> progress = Decode<JobProgress>(row->value);
          if (progress) {
            done(JobStateReply{true, progress->state});
          } else {
            done(Fail(ErrorKind::kInternal, progress.error().detail));
          }
          return;
        }
        context.ports.store.read(
            SingleRow(JobAddress(scope, id)), timeout,
            [id, done = std::move(done)](const RowPage& page) mutable {
              const StoredRow* row = RowOf(page, id);
              if (page.outcome != StoreOutcome::kDone) {
                done(Fail(ErrorKind::kStoreUnavailable, "cannot read the job"));
              } else if (row != nullptr && row->value.empty()) {
                done(Fail(ErrorKind::kStoreUnavailable,
                          "the job has ended since its state was read"));
              } else {
                const bool known =
                    row != nullptr && !DecodeNeverAccepted(row->value);
                done(JobStateReply{known, JobState::kQueued});
              }
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
              const StoredRow* row = RowOf(cancelled, id);
              const bool known =
                  row != nullptr && !DecodeNeverAccepted(row->value);
              done(JobStateReply{known, JobState::kCancelled});
            });
      });
}

}  // namespace gypsumfall::scheduler_internal
