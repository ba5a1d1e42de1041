#include "gypsumfall/scheduler/internal/stored_jobs.h"

#include <memory>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kPageTimeout = milliseconds(1500);

RowAddress ProgressAddress(const ShardScope& scope, const JobId& id) {
  return {kProgressTable, scope.part, id.str()};
}

RowAddress EndedAddress(const ShardScope& scope, const JobId& id) {
  return {kEndedTable, scope.part, id.str()};
}

// Decodes rows of one table; rows that can not be read are logged and skipped.
template <typename Record>
std::vector<Record> DecodeAll(const LoadedRows& loaded, const Logger& log) {
  std::vector<Record> records;
  for (const StoredRow& row : loaded.rows) {
    if (row.value.empty()) continue;
    Result<Record> record = Decode<Record>(row.value);
    if (record) {
      records.push_back(*std::move(record));
    } else {
      log.Error("a stored row can not be read",
                {{"table", row.address.table},
                 {"key", row.address.key},
                 {"why", record.error().detail}});
    }
  }
  return records;
}

// Joins the reads of the four tables.
struct Loading {
  Logger log{"stored-jobs"};
  StoredState state;
  int open = 4;
  bool failed = false;
  UniqueFunction<Result<StoredState>> done;

  void Finish(StoreOutcome outcome) {
    failed = failed || outcome != StoreOutcome::kDone;
    if (--open > 0) return;
    if (failed) {
      done(Fail(ErrorKind::kStoreUnavailable, "a table could not be read"));
    } else {
      done(std::move(state));
    }
  }
};

void ReadRoster(const LoadedRows& loaded, Loading& loading) {
  for (const StoredRow& row : loaded.rows) {
    if (row.address.key != kRosterKey) continue;
    Result<Roster> roster = Decode<Roster>(row.value);
    if (roster) {
      loading.state.roster = std::move(roster->workers);
    } else {
      loading.log.Error("the stored roster can not be read",
                        {{"why", roster.error().detail}});
    }
  }
}

}  // namespace

RowAddress JobAddress(const ShardScope& scope, const JobId& id) {
  return {scope.job_table, scope.part, id.str()};
}

RowAddress PlacementAddress(const ShardScope& home, const JobId& id) {
  return {kPlacementTable, home.part, id.str()};
}

RowTransaction PlaceTransaction(const ShardScope& home, const JobId& id,
                                ShardId shard) {
  return {.conditions = {{JobAddress(home, id), RowVersion(0)},
                         {PlacementAddress(home, id), RowVersion(0)}},
          .writes = {{PlacementAddress(home, id), EncodePlacement({shard})}},
          .removals = {}};
}

RowTransaction AcceptTransaction(const ShardScope& scope, const JobId& id,
                                 std::string record, bool is_home) {
  RowTransaction rows{.conditions = {{JobAddress(scope, id), RowVersion(0)}},
                      .writes = {{JobAddress(scope, id), std::move(record)}},
                      .removals = {}};
  if (is_home) {
    rows.conditions.push_back({PlacementAddress(scope, id), RowVersion(0)});
  }
  return rows;
}

void LoadPlacement(Context& context, const ShardScope& home, const JobId& id,
                   Duration timeout,
                   UniqueFunction<Result<std::optional<ShardId>>> done) {
  context.ports.store.read(
      OnlyRow(PlacementAddress(home, id)), timeout,
      [id, done = std::move(done)](const RowPage& page) mutable {
        if (page.outcome != StoreOutcome::kDone) {
          done(Fail(ErrorKind::kStoreUnavailable,
                    "the job's shard can not be read"));
          return;
        }
        if (page.rows.empty() || page.rows.front().address.key != id.str()) {
          done(std::optional<ShardId>());
          return;
        }
        Result<JobPlacement> placed = DecodePlacement(page.rows.front().value);
        if (placed) {
          done(std::optional<ShardId>(placed->shard));
        } else {
          done(Fail(ErrorKind::kInternal, placed.error().detail));
        }
      });
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
    rows.writes.push_back(
        {{kDutyTable, scope.part, kRosterKey}, Encode(Roster{batch.roster})});
  }
  return rows;
}

void LoadState(Context& context, const ShardScope& scope,
               UniqueFunction<Result<StoredState>> done) {
  auto loading = std::make_shared<Loading>();
  loading->done = std::move(done);
  LoadRows(context, scope.job_table, scope.part, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.jobs = DecodeAll<JobRecord>(loaded, loading->log);
             loading->state.version = loaded.version;
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kProgressTable, scope.part, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.progress =
                 DecodeAll<JobProgress>(loaded, loading->log);
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kEndedTable, scope.part, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             loading->state.ended =
                 DecodeAll<JobProgress>(loaded, loading->log);
             loading->Finish(loaded.outcome);
           });
  LoadRows(context, kDutyTable, scope.part, kPageTimeout,
           [loading](const LoadedRows& loaded) {
             ReadRoster(loaded, *loading);
             loading->Finish(loaded.outcome);
           });
}

void LoadJobState(Context& context, const ShardScope& scope, const JobId& id,
                  Duration timeout,
                  UniqueFunction<Result<JobStateReply>> done) {
  const auto key_of = [id](const RowPage& page) -> const StoredRow* {
    if (page.rows.empty() || page.rows.front().address.key != id.str()) {
      return nullptr;
    }
    return &page.rows.front();
  };
  context.ports.store.read(
      OnlyRow(JobAddress(scope, id)), timeout,
      [&context, scope, id, timeout, key_of,
       done = std::move(done)](const RowPage& page) mutable {
        if (page.outcome != StoreOutcome::kDone) {
          done(Fail(ErrorKind::kStoreUnavailable, "the job can not be read"));
          return;
        }
        const StoredRow* row = key_of(page);
        if (row == nullptr || !row->value.empty()) {
          done(JobStateReply{row != nullptr, JobState::kQueued});
          return;
        }
        context.ports.store.read(
            OnlyRow(EndedAddress(scope, id)), timeout,
            [key_of, done = std::move(done)](const RowPage& ended) mutable {
              const StoredRow* end = ended.outcome == StoreOutcome::kDone
                                         ? key_of(ended)
                                         : nullptr;
              if (end == nullptr) {
                done(Fail(ErrorKind::kStoreUnavailable,
                          "the job's end can not be read"));
                return;
              }
              Result<JobProgress> progress = Decode<JobProgress>(end->value);
              if (!progress) {
                done(Fail(ErrorKind::kInternal, progress.error().detail));
                return;
              }
              done(JobStateReply{true, progress->state});
            });
      });
}

}  // namespace gypsumfall::scheduler_internal
