// Finds the jobs of the shard in the store, and removes the rows of ended ones.

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "gypsumfall/scheduler/internal/dispatch_service.h"

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kJobScanTimeout = milliseconds(800);
constexpr Duration kCancelTimeout = milliseconds(500);
// Time for which a read of the changes of sliced jobs waits for one, and delay
// after a read that failed.
constexpr Duration kSlicedReadWait = milliseconds(1000);
constexpr Duration kSlicedReadRetryDelay = milliseconds(200);
constexpr Duration kSlicedCleanupInterval = seconds(60);
// Interval at which records of ended and expired jobs are removed.
constexpr Duration kCleanupInterval = seconds(2);
// Rows that one transaction removes at most.
constexpr std::size_t kMaxRemovedRows = 90;

}  // namespace

// Reads the changes of the job table to find accepted jobs that no host has
// reported.
void DispatchService::ScanJobChanges() {
  if (!dispatcher_ || job_scan_pending_) return;
  job_scan_pending_ = true;
  context_.ports.store.changes(
      scope_.job_table, job_scan_version_, Duration{0}, kJobScanTimeout,
      [this, generation = generation_,
       started = context_.Now()](const RowPage& page) {
        if (generation != generation_) return;
        if (page.outcome == StoreOutcome::kHistoryGone)
          return ReloadJobs(started);
        job_scan_pending_ = false;
        if (page.outcome != StoreOutcome::kDone) return;
        job_scan_version_ = std::max(job_scan_version_, page.version);
        SubmitUnreportedJobs(page.rows);
        if (!page.has_more) dispatcher_->OnJobsScanned(started);
      });
}

// Reads all jobs, because the store has dropped changes of them. The scan
// continues behind these changes only after all jobs were read; otherwise the
// next scan finds again that the changes are gone.
void DispatchService::ReloadJobs(Time scan_started) {
  log_.Info("the store has dropped changes of jobs; reading all jobs",
            {{"shard", scope_.id}, {"after", job_scan_version_}});
  LoadJobRows(
      context_, scope_, kJobScanTimeout,
      [this, generation = generation_, scan_started](const LoadedRows& loaded) {
        if (generation != generation_) return;
        job_scan_pending_ = false;
        // A partition that cannot be read does not delay the jobs of
        // the others.
        SubmitUnreportedJobs(loaded.rows);
        log_.Info("read all jobs",
                  {{"shard", scope_.id},
                   {"outcome", StoreOutcomeName(loaded.outcome)},
                   {"rows", loaded.rows.size()},
                   {"version", loaded.version}});
        if (loaded.outcome != StoreOutcome::kDone) return;
        job_scan_version_ = loaded.version;
        dispatcher_->OnJobsScanned(scan_started);
      });
}

void DispatchService::SubmitUnreportedJobs(const std::vector<StoredRow>& rows) {
  for (const StoredRow& row : rows) {
    if (row.removed || row.value.empty()) continue;
    if (dispatcher_->StateOf(JobId(row.address.key)).known) continue;
    if (const auto marker = DecodeNeverAccepted(row.value)) {
      never_accepted_.insert_or_assign(marker->id, marker->ended_at);
      continue;
    }
    Result<JobRecord> record = Decode<JobRecord>(row.value);
    if (!record) {
      log_.Error("cannot decode a stored job",
                 {{"key", row.address.key}, {"why", record.error().detail}});
      continue;
    }
    log_.Info("found an unreported job", {{"job", record->id}});
    OnAccepted(*std::move(record));
  }
}

// Waits for accepted and cancelled sliced jobs and for transfers. The leaders
// of all shards read the same table, because each of them runs a slice of each
// job in it.
void DispatchService::ReadSlicedJobChanges() {
  if (layout_.layout()->shard_count <= 1 || sliced_read_pending_ ||
      context_.Now() < next_sliced_read_) {
    return;
  }
  sliced_read_pending_ = true;
  context_.ports.store.changes(
      kSlicedJobTable, sliced_version_, kSlicedReadWait,
      kSlicedReadWait + kJobScanTimeout,
      [this, generation = generation_](const RowPage& page) {
        if (generation != generation_) return;
        sliced_read_pending_ = false;
        OnSlicedJobChanges(page);
      });
}

void DispatchService::OnSlicedJobChanges(const RowPage& page) {
  if (page.outcome == StoreOutcome::kHistoryGone) return ReloadSlicedJobs();
  if (page.outcome != StoreOutcome::kDone) {
    next_sliced_read_ = context_.Now() + kSlicedReadRetryDelay;
    return;
  }
  sliced_version_ = std::max(sliced_version_, page.version);
  for (const StoredRow& row : page.rows) ApplySlicedJobChange(row);
}

// Reads all sliced jobs and all moves. Sliced jobs that are missing were
// cancelled, and moves that are missing in the home shard of their job were
// removed.
void DispatchService::ReloadSlicedJobs() {
  sliced_read_pending_ = true;
  LoadSlicedJobRows(
      context_, layout_.layout()->shard_count, kJobScanTimeout,
      [this, generation = generation_,
       moved_before = dispatcher_->MovedJobs()](const LoadedRows& loaded) {
        if (generation != generation_) return;
        sliced_read_pending_ = false;
        if (loaded.outcome != StoreOutcome::kDone) {
          next_sliced_read_ = context_.Now() + kSlicedReadRetryDelay;
          return;
        }
        sliced_version_ = loaded.version;
        std::set<JobId> stored;
        std::set<JobId> stored_moves;
        for (const StoredRow& row : loaded.rows) {
          const JobId id(row.address.key);
          if (IsHomeMove(row.address)) {
            stored_moves.insert(id);
          } else if (!IsMoveRow(row.address) && !IsTransferRow(row.address)) {
            stored.insert(id);
          }
          ApplySlicedJobChange(row);
        }
        for (const JobId& id : moved_before) {
          if (!stored_moves.contains(id))
            dispatcher_->OnHomeMoveRemoved(id, context_.Now());
        }
        for (const JobId& id : dispatcher_->RunningSlices()) {
          if (stored.contains(id)) continue;
          dispatcher_->Cancel(id, context_.Now(), context_.WallNow());
        }
        RunCycleSoon();
      });
}

void DispatchService::ApplySlicedJobChange(const StoredRow& row) {
  if (IsMoveRow(row.address)) {
    ApplyMove(row);
  } else if (IsTransferRow(row.address)) {
    ApplyTransfer(row);
  } else {
    ApplySlicedJob(row);
  }
}

// A transfer is removed only after its job was cancelled.
void DispatchService::ApplyTransfer(const StoredRow& row) {
  if (row.removed) return;
  const Result<TaskTransfer> transfer = Decode<TaskTransfer>(row.value);
  if (!transfer) {
    log_.Error("cannot decode a stored transfer",
               {{"key", row.address.key}, {"why", transfer.error().detail}});
    return;
  }
  dispatcher_->ApplyTransfer(*transfer, context_.Now());
  RunCycleSoon();
}

bool DispatchService::IsHomeMove(const RowAddress& address) const {
  const ShardId home = ShardOf(*layout_.layout(), JobId(address.key));
  return IsMoveRow(address) && address.partition == ShardScope(home).partition;
}

void DispatchService::ApplyMove(const StoredRow& row) {
  if (row.removed) {
    if (IsHomeMove(row.address))
      dispatcher_->OnHomeMoveRemoved(JobId(row.address.key), context_.Now());
    return;
  }
  const Result<JobMove> move = Decode<JobMove>(row.value);
  if (!move) {
    log_.Error("cannot decode a stored move",
               {{"key", row.address.key}, {"why", move.error().detail}});
    return;
  }
  dispatcher_->ApplyMove(*move, context_.Now(), context_.WallNow());
  RunCycleSoon();
}

ReservePlacesRequest DispatchService::TasksToTransfer(ShardId other,
                                                      std::size_t limit) {
  const Time now = context_.Now();
  ReservePlacesRequest request{
      .tasks = dispatcher_->TasksToTransfer(other, now, limit),
      .unplaceable = {}};
  for (const TaskName& task : request.tasks) {
    if (dispatcher_->IsUnplaceable(task, now))
      request.unplaceable.push_back(task);
  }
  return request;
}

ReservePlacesReply DispatchService::ReservePlaces(
    const ReservePlacesRequest& request) {
  const std::set<TaskName> unplaceable(request.unplaceable.begin(),
                                       request.unplaceable.end());
  ReservePlacesReply reply;
  for (const TaskName& task : request.tasks) {
    if (dispatcher_->ReservePlace(task, context_.Now(),
                                  unplaceable.contains(task))) {
      reply.reserved.push_back(task);
    }
  }
  return reply;
}

void DispatchService::TransferTasks(const std::vector<TaskName>& tasks,
                                    ShardId shard) {
  if (!is_scheduling()) return;
  for (const TaskName& task : tasks) {
    if (dispatcher_->TransferTask(task, shard)) transfers_.Add();
  }
  RunCycleSoon();
}

OfferJobsRequest DispatchService::JobsToMove(ShardId other, std::size_t limit) {
  const Time now = context_.Now();
  return {.offers = dispatcher_->JobsToMove(other, now, limit),
          .load_offers = dispatcher_->JobsToMoveForLoad(now, limit)};
}

OfferJobsReply DispatchService::ChooseOffered(const OfferJobsRequest& request) {
  OfferJobsReply reply{
      .epoch = dispatcher_->epoch(), .wanted = {}, .wanted_for_load = {}};
  for (const JobOffer& offer : request.offers) {
    if (dispatcher_->WantsJob(offer, context_.Now()))
      reply.wanted.push_back(offer.job);
  }
  reply.wanted_for_load =
      dispatcher_->ChooseForLoad(request.load_offers, context_.Now());
  return reply;
}

void DispatchService::MoveJobs(const OfferJobsReply& reply, ShardId shard) {
  if (!is_scheduling()) return;
  for (const JobId& id : reply.wanted) {
    if (dispatcher_->MoveJob(id, shard, reply.epoch, context_.Now()))
      moves_.Add();
  }
  for (const JobId& id : reply.wanted_for_load) {
    if (!dispatcher_->MoveJobForLoad(id, shard, reply.epoch, context_.Now()))
      continue;
    moves_.Add();
    moves_for_load_.Add();
  }
  RunCycleSoon();
}

void DispatchService::ApplySlicedJob(const StoredRow& row) {
  const JobId id(row.address.key);
  if (row.removed) {
    dispatcher_->Cancel(id, context_.Now(), context_.WallNow());
    RunCycleSoon();
    return;
  }
  if (dispatcher_->StateOf(id).known) return;
  Result<JobRecord> record = Decode<JobRecord>(row.value);
  if (!record) {
    log_.Error("cannot decode a stored job",
               {{"key", row.address.key}, {"why", record.error().detail}});
    return;
  }
  dispatcher_->Submit(*std::move(record), context_.Now(), context_.WallNow(),
                      SliceOf(*layout_.layout(), scope_.id, id));
  RunCycleSoon();
}

// The leaders of the other shards read the cancellation from the store.
void DispatchService::CancelSliced(const JobId& id,
                                   UniqueFunction<Result<JobStateReply>> done) {
  context_.ports.store.transact(
      CancelSlicedTransaction({.id = id,
                               .queue = dispatcher_->QueueOf(id),
                               .state = JobState::kCancelled,
                               .ended_at = context_.WallNow(),
                               .steps = {}}),
      kCancelTimeout,
      [this, id, generation = generation_,
       done = std::move(done)](const TransactionReply& reply) mutable {
        if (reply.outcome != StoreOutcome::kDone) {
          done(Fail(ErrorKind::kStoreUnavailable,
                    "the cancellation may not be stored"));
          return;
        }
        if (generation == generation_) {
          dispatcher_->Cancel(id, context_.Now(), context_.WallNow());
          RunCycleSoon();
        }
        done(JobStateReply{true, JobState::kCancelled});
      });
}

// Empties the records of ended jobs and removes those of expired ones. They are
// in other partitions than the rows of the leader, and thus not part of its
// transactions. A record that is not emptied is only larger to load; one that
// is not removed keeps the final state of its job.
void DispatchService::CleanUpRecords() {
  const Time now = context_.Now();
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  const std::size_t count = std::min(jobs_to_empty_.size(), kMaxRemovedRows);
  const auto end = jobs_to_empty_.begin() + static_cast<std::ptrdiff_t>(count);
  for (RowTransaction& rows :
       EmptyJobsTransactions(scope_, {jobs_to_empty_.begin(), end})) {
    context_.ports.store.transact(
        std::move(rows), kJobScanTimeout,
        [this](const TransactionReply& reply) {
          if (reply.outcome == StoreOutcome::kDone) return;
          log_.Info("records of ended jobs are not emptied",
                    {{"shard", scope_.id},
                     {"outcome", StoreOutcomeName(reply.outcome)}});
        });
  }
  jobs_to_empty_.erase(jobs_to_empty_.begin(), end);
  for (RowTransaction& rows : RemoveJobsTransactions(
           scope_,
           dispatcher_->TakeExpired(kMaxRemovedRows, context_.WallNow()))) {
    // Those that are not removed are left to the next leader.
    RemoveRecords(std::move(rows), [this](const std::vector<JobId>& ids) {
      dispatcher_->OnRecordsRemoved(ids);
    });
  }
  for (RowTransaction& rows :
       RemoveJobsTransactions(scope_, ExpiredMarkers())) {
    RemoveRecords(std::move(rows), [this](const std::vector<JobId>& ids) {
      for (const JobId& id : ids) never_accepted_.erase(id);
    });
  }
}

WallTime DispatchService::ExpiredBefore() const {
  return context_.WallNow() - std::chrono::duration_cast<WallTime>(
                                  context_.settings.timings.ended_retention);
}

std::vector<JobId> DispatchService::ExpiredMarkers() const {
  const WallTime expired_before = ExpiredBefore();
  std::vector<JobId> expired;
  for (const auto& [id, ended_at] : never_accepted_) {
    if (expired.size() >= kMaxRemovedRows) break;
    if (ended_at < expired_before) expired.push_back(id);
  }
  return expired;
}

void DispatchService::RemoveRecords(
    RowTransaction rows, UniqueFunction<const std::vector<JobId>&> removed) {
  std::vector<JobId> ids;
  for (const RowAddress& address : rows.removals) ids.emplace_back(address.key);
  context_.ports.store.transact(
      std::move(rows), kJobScanTimeout,
      [this, ids = std::move(ids), generation = generation_,
       removed = std::move(removed)](const TransactionReply& reply) mutable {
        if (reply.outcome != StoreOutcome::kDone) {
          log_.Info("records of expired jobs are not removed",
                    {{"shard", scope_.id},
                     {"outcome", StoreOutcomeName(reply.outcome)}});
          return;
        }
        if (generation == generation_) removed(ids);
      });
}

// Removes the rows of jobs that were cancelled longer than the retention ago.
// The leader of one shard does this for all.
void DispatchService::RemoveExpiredSlicedJobs() {
  const Time now = context_.Now();
  if (scope_.id != ShardId(0) || layout_.layout()->shard_count <= 1 ||
      now < next_sliced_cleanup_) {
    return;
  }
  next_sliced_cleanup_ = now + kSlicedCleanupInterval;
  LoadRows(context_, kCancelledSlicedJobTable, kSlicedJobPartition,
           kJobScanTimeout, [this](const LoadedRows& loaded) {
             if (loaded.outcome != StoreOutcome::kDone) return;
             const WallTime expired_before = ExpiredBefore();
             std::vector<JobId> expired;
             for (const StoredRow& row : loaded.rows) {
               if (expired.size() >= kMaxRemovedRows) break;
               const Result<JobProgress> job = Decode<JobProgress>(row.value);
               if (job && job->ended_at < expired_before)
                 expired.push_back(job->id);
             }
             if (expired.empty()) return;
             context_.ports.store.transact(
                 RemoveCancelledSlicedTransaction(expired), kJobScanTimeout,
                 [this](const TransactionReply& reply) {
                   log_.Info("rows of cancelled sliced jobs removed",
                             {{"outcome", StoreOutcomeName(reply.outcome)}});
                 });
           });
}

}  // namespace gypsumfall::scheduler_internal
