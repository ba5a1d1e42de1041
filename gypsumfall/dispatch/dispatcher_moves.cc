// Moves jobs that are not sliced to shards whose workers can run them.
//
// At any time one shard holds a job: its home shard, or the one that the move
// with the highest number names. Only that shard gives the job away, while
// nothing of it runs and all earlier runs are known. It stores the move, with
// all progress of the job, in its own partition under the condition that it
// still has its leader. So a successor that reads its own partition knows all
// jobs that were given away, and a move of another shard that is read late only
// delays the job.
//
// A job that ends away from its home shard is moved back there in its final
// state. The home shard stores that state and then removes the row of its own
// move. The other shards remove theirs once they have read that.

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/dispatch/internal/placement.h"

namespace gypsumfall {
namespace {

// Time for which a step has found no worker before its job is offered. Longer
// than one lost call to a worker, after which it gets no new runs for a moment.
constexpr Duration kWaitBeforeMove = seconds(1);
// Time after which a job that no shard wanted is offered again. Bounds what
// jobs cost that no worker can run.
constexpr Duration kOfferPause = seconds(3);
// A row that is larger may exceed what the store takes.
constexpr std::size_t kMaxMoveBytes = 49'152;
// Time for which the end of a move is remembered: far longer than reads of it
// can be late.
constexpr Duration kFinishedMoveRetention = seconds(60);

}  // namespace

using dispatch_internal::CountPlaces;
using dispatch_internal::JobTable;
using dispatch_internal::kRunsPerEpoch;
using dispatch_internal::TaskPhase;

bool Dispatcher::HasPlacesFor(const JobTerms& terms, const StepSpec& spec,
                              Time now) {
  // The runs of the step itself do not matter, because they end, too.
  static const Step no_runs;
  const PlacementRequest request{.spec = &spec,
                                 .step = &no_runs,
                                 .service = terms.service,
                                 .priority = terms.priority};
  const int needed = spec.gang ? spec.task_count : 1;
  return CountPlaces(workers_, request, needed, now) >= needed;
}

bool Dispatcher::HasBoundRun(const Job& job) const {
  bool bound = false;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const Step& step : occurrence.steps) {
      step.tasks.VisitChanged([&](int, const Task& task) {
        bound = bound || task.phase == TaskPhase::kBound;
      });
    }
  }
  return bound;
}

bool Dispatcher::HasUnexpectedRunOf(const JobId& id) const {
  constexpr int kLast = std::numeric_limits<int>::max();
  return HasUnexpectedRunBetween({.job = id}, {id, kLast, kLast, kLast});
}

bool Dispatcher::MayMove(const Job& job) const {
  if (!job.slice.IsWhole() || IsFinal(job.state) || job.moving_to ||
      job.immovable) {
    return false;
  }
  // The job may still run on a worker that has not reported yet.
  return predecessor_runs_known_ || job.record.accepted_epoch >= epoch_;
}

const StepSpec* Dispatcher::FindUnplaceableStep(const JobId& id, Time now) {
  Job* job = jobs_.Find(id);
  if (job == nullptr || !MayMove(*job)) return nullptr;
  for (auto ref = ready_steps_.lower_bound({.job = id});
       ref != ready_steps_.end() && ref->job == id; ++ref) {
    const TaskName name{id, ref->occurrence, ref->step, 0};
    const Step* step = job->FindStep(name);
    if (step == nullptr || now < step->ready_since + kWaitBeforeMove) continue;
    if (HasBoundRun(*job)) return nullptr;
    if (HasPlacesFor(job->record.terms, job->spec_of(name), now)) continue;
    return HasUnexpectedRunOf(id) ? nullptr : &job->spec_of(name);
  }
  return nullptr;
}

std::vector<JobOffer> Dispatcher::JobsToMove(ShardId other, Time now,
                                             std::size_t limit) {
  if (settings_.other_shards == 0) return {};
  constexpr int kLast = std::numeric_limits<int>::max();
  std::erase_if(moved_jobs_, [&](const auto& entry) {
    const MovedJob& moved = entry.second;
    return moved.finished && !moved.has_own_row &&
           now >= *moved.finished + kFinishedMoveRetention;
  });
  // Continues behind the latest offer, and ends there after one round. Only
  // jobs that are offered cost a search over all workers.
  JobId& last_offered = last_offered_job_[other];
  const JobId stop_after = last_offered;
  std::vector<JobOffer> offers;
  bool wrapped = false;
  auto next = ready_steps_.upper_bound({stop_after, kLast, kLast});
  while (offers.size() < limit) {
    if (next == ready_steps_.end()) {
      if (std::exchange(wrapped, true)) break;
      next = ready_steps_.begin();
      continue;
    }
    const JobId id = next->job;
    if (wrapped && stop_after < id) break;
    next = ready_steps_.upper_bound({id, kLast, kLast});
    Job* job = jobs_.Find(id);
    if (job == nullptr || now < job->next_offer) continue;
    const StepSpec* step = FindUnplaceableStep(id, now);
    if (step == nullptr) continue;
    last_offered = id;
    if (++job->offers % settings_.other_shards == 0)
      job->next_offer = now + kOfferPause;
    offers.push_back({.job = id, .terms = job->record.terms, .step = *step});
  }
  return offers;
}

bool Dispatcher::WantsJob(const JobOffer& offer, Time now) {
  return !IsFull() && HasPlacesFor(offer.terms, offer.step, now);
}

bool Dispatcher::MoveJob(const JobId& id, ShardId shard, Epoch epoch,
                         Time now) {
  if (FindUnplaceableStep(id, now) == nullptr) return false;
  return StartMove(*jobs_.Find(id), {.shard = shard, .epoch = epoch}, now);
}

bool Dispatcher::StartMove(Job& job, const Job::Destination& destination,
                           Time now) {
  job.moving_to = destination;
  Unschedule(job);
  if (Encode(MoveOf(job)).size() > kMaxMoveBytes) {
    CancelMove(job, now);
    return false;
  }
  QueueJobRow(job);
  return true;
}

bool Dispatcher::IsMoving(const JobId& id) const {
  const Job* job = jobs_.Find(id);
  return job != nullptr && job->moving_to;
}

void Dispatcher::Unschedule(Job& job) {
  const JobId& id = job.record.id;
  ReleaseReservationsOf(job);
  auto next = ready_steps_.lower_bound({.job = id});
  while (next != ready_steps_.end() && next->job == id)
    next = RemoveReadyStep(next);
  if (job.queued_due) due_occurrences_.erase({*job.queued_due, id});
  job.queued_due.reset();
  backlogged_jobs_.erase(id);
  load_meter_.OnGivenAway(id);
}

void Dispatcher::CancelMove(Job& job, Time now) {
  job.moving_to.reset();
  job.immovable = true;
  AddEvent("job cannot be moved", {.job = job.record.id}, RunNumber(), {},
           "its row is too large or was rejected by the store");
  // The row would have told which occurrences are completed.
  job.row.pending = false;
  if (job.completed.any()) QueueJobRow(job);
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      Step& step = occurrence.steps[s];
      if (step.unblocked && !step.tasks.AllDone())
        AddReadyStep(job, {job.record.id, number, static_cast<int>(s)}, now);
    }
  }
  OpenDueOccurrences(job, now);
}

void Dispatcher::AddProgressTo(JobMove& move, const Job& job, int number) {
  const std::size_t chunks = job.occurrences.at(number).chunks.size();
  for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
    ChunkProgress progress =
        JobTable::ProgressOf(job, {.job = job.record.id,
                                   .occurrence = number,
                                   .chunk = static_cast<int>(chunk)});
    if (progress.done.any() || !progress.failures.empty())
      move.chunks.push_back(std::move(progress));
  }
}

void Dispatcher::AddTasksTo(JobMove& move, int number,
                            const Occurrence& occurrence) {
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    TaskName name{move.record.id, number, static_cast<int>(s), 0};
    occurrence.steps[s].tasks.VisitChanged([&](int index, const Task& task) {
      name.index = index;
      move.last_run = std::max(move.last_run, RunNumber(task.last_run));
      if (!task.checkpoint.empty())
        move.checkpoints.push_back({name, task.checkpoint});
    });
  }
}

JobMove Dispatcher::MoveOf(const Job& job) const {
  JobMove move{.record = job.record,
               .home = job.other_home.value_or(settings_.shard),
               .from = settings_.shard,
               .to = job.other_home.value_or(settings_.shard),
               .number = job.move_number + 1,
               .last_run = RunNumber(job.last_run_of_earlier_epochs),
               .started = job.started,
               .for_load = job.moved_for_load,
               .progress = JobTable::ProgressOf(job),
               .chunks = {},
               .checkpoints = {}};
  if (job.moving_to) {
    move.to = job.moving_to->shard;
    move.record.accepted_epoch = job.moving_to->epoch;
    move.for_load = move.for_load || job.moving_to->for_load;
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    AddProgressTo(move, job, number);
    AddTasksTo(move, number, occurrence);
  }
  return move;
}

Dispatcher::MovedJob& Dispatcher::NoteMove(const JobMove& move) {
  MovedJob& moved = moved_jobs_[move.record.id];
  moved.number = move.number;
  moved.holder = move.to;
  if (IsFinal(move.progress.state)) {
    moved.state = move.progress.state;
  } else {
    moved.state = move.started ? JobState::kRunning : JobState::kQueued;
  }
  return moved;
}

void Dispatcher::OnMoveRecorded(const JobMove& move) {
  const JobId& id = move.record.id;
  Job* job = jobs_.Find(id);
  if (job == nullptr) return;
  MovedJob& moved = NoteMove(move);
  moved.has_own_row = true;
  if (IsFinal(move.progress.state)) {
    // Known here until the home shard has stored the state.
    if (!IsFinal(job->visible_state)) --unstored_ended_jobs_;
    job->visible_state = job->state;
    if (moved.finished) ForgetEndedElsewhere(id, moved);
    return;
  }
  std::string reason = "to shard " + std::to_string(move.to.value());
  if (job->moving_to && job->moving_to->for_load) {
    reason += ", expected wait here " +
              std::to_string(job->offered_wait / milliseconds(1)) +
              " ms, there 0 ms after the move";
  }
  AddEvent("job moved to another shard", {.job = id}, move.last_run, {},
           std::move(reason));
  for (auto& [number, occurrence] : job->occurrences)
    MakeChunksObsolete(*job, number, occurrence);
  if (job->row.stored) job->obsolete_rows.push_back({.job = id});
  obsolete_rows_.insert(obsolete_rows_.end(), job->obsolete_rows.begin(),
                        job->obsolete_rows.end());
  jobs_.RemoveTasksOf(*job);
  jobs_.Remove(id);
  if (moved.finished) ForgetEndedElsewhere(id, moved);
}

Dispatcher::Job* Dispatcher::AddMovedJob(const JobMove& move, Time now,
                                         WallTime wall_now) {
  Job* job = jobs_.Add(move.record, {}, now, wall_now);
  if (job == nullptr) {
    AddEvent("moved job is held already", {.job = move.record.id},
             move.last_run, {},
             "from shard " + std::to_string(move.from.value()));
    return nullptr;
  }
  const std::uint64_t epochs =
      epoch_.value() -
      std::min(epoch_.value(), move.record.accepted_epoch.value());
  // Epochs of this shard after the move may have used numbers already.
  job->last_run_of_earlier_epochs =
      move.last_run.value() + epochs * kRunsPerEpoch;
  job->move_number = move.number;
  job->moved_for_load = move.for_load;
  promised_room_.Remove(move.record.id);
  if (move.home != settings_.shard) job->other_home = move.home;
  jobs_.RestoreMoved(move);
  AddEvent("job moved to this shard", {.job = move.record.id}, move.last_run,
           {}, "from shard " + std::to_string(move.from.value()));
  return job;
}

void Dispatcher::AddJobEndedElsewhere(const JobMove& move) {
  // Visible at once, because the other shard has stored it.
  jobs_.AddEnded(move.progress);
  QueueJobRow(*jobs_.Find(move.record.id));
}

void Dispatcher::ApplyMove(const JobMove& move, Time now, WallTime wall_now) {
  // This shard knows its own moves from their storage.
  if (move.from == settings_.shard) return;
  const JobId& id = move.record.id;
  const bool ended = IsFinal(move.progress.state);
  const auto known = moved_jobs_.find(id);
  if (known != moved_jobs_.end() &&
      (known->second.finished || move.number <= known->second.number)) {
    return;
  }
  const Job* held = jobs_.Find(id);
  // The move of this shard is stored, but its answer has not arrived yet.
  const bool answer_missing =
      held != nullptr && held->moving_to && move.number > held->move_number + 1;
  const bool run_unexpected =
      move.to == settings_.shard && !ended && HasUnexpectedRunOf(id);
  if (answer_missing || run_unexpected) {
    deferred_moves_.push_back({move, now, wall_now});
    return;
  }
  // Only a replaced leader learns from others that it no longer holds a job.
  // It must not forget runs that exist.
  if (held != nullptr) {
    if (!IsFinal(held->state)) {
      AddEvent("job that is held here was moved by another shard", {.job = id},
               move.last_run, {},
               "to shard " + std::to_string(move.to.value()));
    }
    return;
  }
  NoteMove(move);
  if (move.to != settings_.shard) return;
  if (ended) {
    AddJobEndedElsewhere(move);
  } else if (Job* job = AddMovedJob(move, now, wall_now)) {
    OpenDueOccurrences(*job, now);
    ApplyEarlierCompletions(id, now, wall_now);
  }
}

void Dispatcher::ApplyDeferredMoves(Time now) {
  for (const DeferredMove& deferred : std::exchange(deferred_moves_, {})) {
    const WallTime wall_now =
        deferred.wall_received +
        std::chrono::duration_cast<WallTime>(now - deferred.received);
    ApplyMove(deferred.move, now, wall_now);
  }
}

void Dispatcher::RestoreMoves(const std::vector<JobMove>& moves, Time now,
                              WallTime wall_now) {
  struct Rows {
    const JobMove* latest = nullptr;
    bool home = false;
    bool own = false;
  };
  std::map<JobId, Rows> rows_by_job;
  for (const JobMove& move : moves) {
    Rows& rows = rows_by_job[move.record.id];
    rows.home = rows.home || move.from == move.home;
    rows.own = rows.own || move.from == settings_.shard;
    if (rows.latest == nullptr || move.number > rows.latest->number)
      rows.latest = &move;
  }
  for (const auto& [id, rows] : rows_by_job) {
    const JobMove& move = *rows.latest;
    MovedJob& moved = NoteMove(move);
    moved.has_own_row = rows.own;
    // The home shard removes its row once the final state is stored.
    const bool stored_here =
        move.home == settings_.shard && jobs_.Find(id) != nullptr;
    if (!rows.home || stored_here) {
      moved.finished = now;
      if (rows.own) moves_to_remove_.push_back(id);
    } else if (move.to == settings_.shard && IsFinal(move.progress.state)) {
      AddJobEndedElsewhere(move);
    } else if (move.to == settings_.shard) {
      if (Job* job = AddMovedJob(move, now, wall_now)) QueueForDue(*job, now);
    }
  }
}

void Dispatcher::OnHomeMoveRemoved(const JobId& id, Time now) {
  const auto found = moved_jobs_.find(id);
  if (found == moved_jobs_.end() || found->second.finished) return;
  const Job* job = jobs_.Find(id);
  // The home shard knows it from the storage of the removal.
  if (job != nullptr && !job->other_home) return;
  if (job != nullptr && !IsFinal(job->state) && !job->moving_to) {
    AddEvent("move of a job that is held here was removed", {.job = id},
             RunNumber(), {});
    return;
  }
  found->second.finished = now;
  // Otherwise a row of this shard is stored whose answer has not arrived yet.
  if (job == nullptr || IsFinal(job->visible_state))
    ForgetEndedElsewhere(id, found->second);
}

void Dispatcher::ForgetEndedElsewhere(const JobId& id, const MovedJob& moved) {
  if (moved.has_own_row) moves_to_remove_.push_back(id);
  jobs_.Remove(id);
}

void Dispatcher::OnOwnMoveRemoved(const JobId& id) {
  const auto found = moved_jobs_.find(id);
  if (found == moved_jobs_.end()) return;
  found->second.has_own_row = false;
  // The home shard knows the job as an ended one.
  if (!found->second.finished) moved_jobs_.erase(found);
}

bool Dispatcher::IsAway(const JobId& id) const {
  const auto found = moved_jobs_.find(id);
  return found != moved_jobs_.end() && !found->second.finished &&
         found->second.holder != settings_.shard;
}

std::vector<JobId> Dispatcher::MovedJobs() const {
  std::vector<JobId> ids;
  for (const auto& [id, moved] : moved_jobs_) {
    if (!moved.finished) ids.push_back(id);
  }
  return ids;
}

}  // namespace gypsumfall
