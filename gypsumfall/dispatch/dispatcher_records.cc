// Takes records in batches, and handles their storage.

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"

namespace gypsumfall {
namespace {

// Time after which a row that the store has rejected is tried again.
constexpr Duration kRejectedRowRetryDelay = seconds(10);

// Moves the first elements of a queue, at most `limit`, to a vector.
// @return the number of moved elements.
template <typename T>
std::size_t MoveUpTo(std::size_t limit, std::deque<T>& queue,
                     std::vector<T>& moved) {
  const std::size_t count = std::min(limit, queue.size());
  for (std::size_t i = 0; i < count; ++i) {
    moved.push_back(std::move(queue.front()));
    queue.pop_front();
  }
  return count;
}

// Puts elements back to the front of a queue.
template <typename T>
void PutBack(const std::vector<T>& elements, std::deque<T>& queue) {
  queue.insert(queue.begin(), elements.begin(), elements.end());
}

}  // namespace

using dispatch_internal::JobTable;

std::uint64_t Dispatcher::QueueRow(ProgressRow& row, const ProgressRowId& id) {
  if (!row.pending) {
    row.pending = true;
    row.sequence = next_record_sequence_++;
    rows_to_record_.push_back({id, row.sequence});
  }
  return row.sequence;
}

std::uint64_t Dispatcher::QueueJobRow(Job& job) {
  return QueueRow(job.row, {.job = job.record.id});
}

std::uint64_t Dispatcher::QueueChunkOf(Job& job, const TaskName& name) {
  return QueueRow(job.RowOf(name), {.job = name.job,
                                    .occurrence = name.occurrence,
                                    .chunk = job.ChunkOf(name)});
}

std::uint64_t Dispatcher::SequenceOf(Job& job, const TaskName& name) {
  if (IsFinal(job.state) || job.IsCompleted(name.occurrence))
    return job.row.sequence;
  return job.RowOf(name).sequence;
}

bool Dispatcher::HasRecords() const {
  return !rows_to_record_.empty() || !obsolete_rows_.empty() ||
         !expired_jobs_.empty() || !transfers_to_record_.empty() ||
         !transfers_to_remove_.empty() || !moves_to_remove_.empty() ||
         !roster_changes_.empty() ||
         (old_roster_stored_ && rejected_batches_.empty());
}

std::vector<JobId> Dispatcher::TakeExpired(std::size_t limit,
                                           WallTime wall_now) {
  const auto retention =
      std::chrono::duration_cast<WallTime>(settings_.ended_retention);
  return jobs_.TakeExpired(wall_now - retention, limit);
}

void Dispatcher::OnRecordsRemoved(const std::vector<JobId>& ids) {
  for (const JobId& id : ids) jobs_.Remove(id);
  expired_jobs_.insert(expired_jobs_.end(), ids.begin(), ids.end());
}

RecordBatch Dispatcher::TakeRecords(std::size_t limit) {
  limit = std::min(limit, max_batch_rows_);
  RecordBatch batch;
  batch.last_record_sequence = stored_record_sequence_;
  TakeRosterChanges(limit, batch);
  MoveUpTo(limit - batch.size(), transfers_to_record_, batch.transfers);
  MoveUpTo(limit - batch.size(), transfers_to_remove_,
           batch.obsolete_transfers);
  MoveUpTo(limit - batch.size(), moves_to_remove_, batch.obsolete_moves);
  TakeProgress(limit, batch);
  MoveUpTo(limit - batch.size(), obsolete_rows_, batch.obsolete_progress);
  MoveUpTo(limit - batch.size(), expired_jobs_, batch.expired);
  return batch;
}

void Dispatcher::TakeProgress(std::size_t limit, RecordBatch& batch) {
  while (!rows_to_record_.empty() && batch.size() < limit) {
    QueuedRow row = std::move(rows_to_record_.front());
    rows_to_record_.pop_front();
    // The records of rejected rows are older than those stored since.
    batch.last_record_sequence =
        std::max(batch.last_record_sequence, row.sequence);
    Job* job = jobs_.Find(row.id.job);
    row.recorded = job != nullptr && TakeRow(*job, row.id, batch);
    batch.queued_rows.push_back(std::move(row));
  }
}

Dispatcher::ProgressRow& Dispatcher::CurrentRow(Job& job,
                                                const ProgressRowId& id) {
  // The row of the job replaces those of chunks whose tasks are all done.
  if (id.occurrence == ProgressRowId::kWholeJob || IsFinal(job.state) ||
      job.IsCompleted(id.occurrence)) {
    return job.row;
  }
  return job.occurrences.at(id.occurrence)
      .chunks[static_cast<std::size_t>(id.chunk)];
}

void Dispatcher::TakeRosterChanges(std::size_t limit, RecordBatch& batch) {
  while (!roster_changes_.empty() && batch.size() < limit) {
    const WorkerId id = *roster_changes_.begin();
    roster_changes_.erase(roster_changes_.begin());
    Worker* worker = workers_.Find(id);
    if (worker != nullptr && !dispatch_internal::IsIdleAndLeaving(*worker)) {
      batch.roster_entries.push_back(
          {id, worker->entry.endpoint, worker->recorded_lease_end});
      continue;
    }
    if (worker != nullptr) worker->in_roster = false;
    batch.removed_from_roster.push_back(id);
  }
  // All entries are stored in this batch or an earlier one.
  if (roster_changes_.empty() && rejected_batches_.empty() &&
      batch.size() < limit) {
    batch.remove_old_roster = std::exchange(old_roster_stored_, false);
  }
}

bool Dispatcher::TakeRow(Job& job, const ProgressRowId& id,
                         RecordBatch& batch) {
  ProgressRow& row = CurrentRow(job, id);
  if (!row.pending) return false;
  row.pending = false;
  if (&row != &job.row) {
    row.stored = true;
    batch.chunk_progress.push_back(JobTable::ProgressOf(job, id));
    return true;
  }
  if (IsFinal(job.state)) {
    if (row.stored) job.obsolete_rows.push_back({.job = job.record.id});
    if (job.other_home) {
      batch.moves.push_back(MoveOf(job));
    } else {
      batch.ended.push_back(JobTable::ProgressOf(job));
    }
  } else if (job.moving_to) {
    batch.moves.push_back(MoveOf(job));
  } else {
    row.stored = true;
    batch.progress.push_back(JobTable::ProgressOf(job));
  }
  obsolete_rows_.insert(obsolete_rows_.end(), job.obsolete_rows.begin(),
                        job.obsolete_rows.end());
  job.obsolete_rows.clear();
  return true;
}

std::vector<JobId> Dispatcher::OnRecorded(const RecordBatch& batch) {
  std::vector<JobId> newly_visible;
  for (const JobProgress& ended : batch.ended) {
    const auto moved = moved_jobs_.find(ended.id);
    if (moved != moved_jobs_.end() && moved->second.has_own_row)
      moves_to_remove_.push_back(ended.id);
    Job* job = jobs_.Find(ended.id);
    if (job == nullptr || IsFinal(job->visible_state)) continue;
    job->visible_state = job->state;
    --unstored_ended_jobs_;
    newly_visible.push_back(ended.id);
  }
  for (const JobMove& move : batch.moves) {
    OnMoveRecorded(move);
    if (IsFinal(move.progress.state)) newly_visible.push_back(move.record.id);
  }
  for (const JobId& id : batch.obsolete_moves) OnOwnMoveRemoved(id);
  for (const LeaseHolder& holder : batch.roster_entries) {
    Worker* worker = workers_.Find(holder.id);
    // A change since the batch was taken is to be stored first.
    if (worker != nullptr && !holder.lease_end &&
        !roster_changes_.contains(holder.id)) {
      worker->in_roster = true;
    }
  }
  stored_record_sequence_ =
      std::max(stored_record_sequence_, batch.last_record_sequence);
  for (const QueuedRow& row : batch.queued_rows) {
    rejected_sequences_.erase(row.sequence);
    Job* job = row.recorded ? jobs_.Find(row.id.job) : nullptr;
    if (job != nullptr)
      rejected_sequences_.erase(CurrentRow(*job, row.id).sequence);
  }
  if (max_batch_rows_ < std::numeric_limits<std::size_t>::max() / 2)
    max_batch_rows_ *= 2;
  for (auto& [id, worker] : workers_) Acknowledge(worker);
  return newly_visible;
}

void Dispatcher::OnRejected(RecordBatch batch, Time now) {
  const std::size_t rows = batch.size();
  if (rows <= 1) {
    max_batch_rows_ = 1;
    SetAside(std::move(batch), now);
  } else {
    max_batch_rows_ = rows / 2;
    Requeue(std::move(batch));
  }
}

void Dispatcher::Requeue(RecordBatch batch) {
  for (const QueuedRow& row : batch.queued_rows) {
    Job* job = row.recorded ? jobs_.Find(row.id.job) : nullptr;
    if (job != nullptr) CurrentRow(*job, row.id).pending = true;
  }
  PutBack(batch.queued_rows, rows_to_record_);
  PutBack(batch.obsolete_progress, obsolete_rows_);
  PutBack(batch.expired, expired_jobs_);
  PutBack(batch.transfers, transfers_to_record_);
  PutBack(batch.obsolete_transfers, transfers_to_remove_);
  PutBack(batch.obsolete_moves, moves_to_remove_);
  for (const LeaseHolder& holder : batch.roster_entries)
    roster_changes_.insert(holder.id);
  roster_changes_.insert(batch.removed_from_roster.begin(),
                         batch.removed_from_roster.end());
  old_roster_stored_ = old_roster_stored_ || batch.remove_old_roster;
}

void Dispatcher::SetAside(RecordBatch batch, Time now) {
  std::string what = "no row";
  for (const JobMove& move : batch.moves) {
    Job* job = jobs_.Find(move.record.id);
    if (job == nullptr || !job->moving_to) continue;
    CancelMove(*job, now);
    return;
  }
  for (const QueuedRow& row : batch.queued_rows) {
    rejected_sequences_.insert(row.sequence);
    if (!row.recorded) continue;
    what = "progress of job " + row.id.job.str();
    if (Job* job = jobs_.Find(row.id.job)) {
      // The row is not queued again meanwhile, so further ends wait for it too.
      ProgressRow& current = CurrentRow(*job, row.id);
      current.pending = true;
      rejected_sequences_.insert(current.sequence);
    }
    // What the row replaces stays stored until it is stored itself.
    const auto first = std::stable_partition(
        obsolete_rows_.begin(), obsolete_rows_.end(),
        [&](const ProgressRowId& id) { return id.job != row.id.job; });
    batch.obsolete_progress.insert(batch.obsolete_progress.end(), first,
                                   obsolete_rows_.end());
    obsolete_rows_.erase(first, obsolete_rows_.end());
  }
  AddEvent("row rejected by the store is set aside", {}, RunNumber(), {}, what);
  rejected_batches_.push_back({std::move(batch), now + kRejectedRowRetryDelay});
}

void Dispatcher::RetryRejectedBatches(Time now) {
  while (!rejected_batches_.empty() &&
         rejected_batches_.front().retry_at <= now) {
    Requeue(std::move(rejected_batches_.front().batch));
    rejected_batches_.pop_front();
  }
}

}  // namespace gypsumfall
