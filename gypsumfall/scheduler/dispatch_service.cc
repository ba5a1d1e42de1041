#include "gypsumfall/scheduler/internal/dispatch_service.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>
#include <variant>

namespace gypsumfall::scheduler_internal {
namespace {

// Events within this time are handled in one scheduling cycle.
constexpr Duration kCycleDelay = milliseconds(1);
// Records are batched for this time, unless a job has ended.
constexpr Duration kRecordBatchDelay = milliseconds(40);
// Maximum time between two renewals of the leader lease. It is well below the
// lease, so that one lost call does not let the lease expire.
constexpr Duration kRenewInterval = milliseconds(700);
constexpr Duration kLoadRetryDelay = milliseconds(100);
// Hosts report accepted jobs directly. The scan finds jobs whose report was
// lost.
constexpr Duration kJobScanInterval = milliseconds(1000);
constexpr Duration kStatusInterval = seconds(1);
constexpr Duration kLoadInterval = seconds(1);

// Healthy workers answer within milliseconds. A start that is not answered
// within this time is stopped, and the task is placed again.
constexpr Duration kOrderTimeout = milliseconds(500);
constexpr Duration kLeaseTimeout = milliseconds(600);

Labels ShardLabels(const ShardScope& scope) {
  return {{"shard", std::to_string(scope.id.value())}};
}

std::string TaskText(const TaskName& task) {
  return task.job.str() + "/" + std::to_string(task.occurrence) + "/" +
         std::to_string(task.step) + "/" + std::to_string(task.index);
}

}  // namespace

DispatchService::DispatchService(Context& context, const ShardScope& scope,
                                 LeaderElector& elector, LayoutService& layout,
                                 WorkerListService& worker_list,
                                 TopologyService& topology)
    : context_(context),
      scope_(scope),
      elector_(elector),
      layout_(layout),
      worker_list_(worker_list),
      topology_(topology),
      cycle_timer_(context.runtime, [this] { RunCycle(); }),
      load_retry_(context.runtime, [this] { Load(); }),
      starts_(context.metrics.AddCounter("runs_started")),
      refused_starts_(context.metrics.AddCounter("starts_refused")),
      unanswered_(context.metrics.AddCounter("orders_unanswered")),
      record_batches_(context.metrics.AddCounter("record_batches_stored")),
      rejected_batches_(context.metrics.AddCounter("record_batches_rejected")),
      transfers_(context.metrics.AddCounter("tasks_transferred")),
      moves_(context.metrics.AddCounter("jobs_moved")),
      moves_for_load_(context.metrics.AddCounter("jobs_moved_for_load")),
      store_latency_(context.metrics.AddLatency("record_store_seconds")),
      takeover_time_(context.metrics.AddLatency("takeover_seconds")),
      free_cpu_(context.metrics.AddGauge("shard_free_millicores",
                                         ShardLabels(scope))),
      largest_free_cpu_(context.metrics.AddGauge(
          "shard_largest_free_millicores", ShardLabels(scope))),
      draining_workers_(context.metrics.AddGauge("shard_draining_workers",
                                                 ShardLabels(scope))),
      held_back_workers_(context.metrics.AddGauge("shard_held_back_workers",
                                                  ShardLabels(scope))),
      jobs_(context.metrics.AddGauge("shard_jobs", ShardLabels(scope))),
      job_bytes_(
          context.metrics.AddGauge("shard_job_bytes", ShardLabels(scope))),
      open_occurrences_(context.metrics.AddGauge("shard_open_occurrences",
                                                 ShardLabels(scope))),
      changed_tasks_(
          context.metrics.AddGauge("shard_changed_tasks", ShardLabels(scope))),
      passed_over_steps_(context.metrics.AddGauge("shard_passed_over_steps",
                                                  ShardLabels(scope))),
      longest_passed_over_wait_(context.metrics.AddGauge(
          "shard_longest_passed_over_wait_seconds", ShardLabels(scope))),
      overloaded_priorities_(context.metrics.AddGauge(
          "shard_overloaded_priorities", ShardLabels(scope))),
      steps_moved_up_(
          context.metrics.AddGauge("shard_steps_moved_up", ShardLabels(scope))),
      waiting_long_running_(context.metrics.AddGauge(
          "shard_waiting_long_running_tasks", ShardLabels(scope))),
      longest_long_running_wait_(context.metrics.AddGauge(
          "shard_longest_long_running_wait_seconds", ShardLabels(scope))),
      unplaceable_long_running_(context.metrics.AddGauge(
          "shard_unplaceable_long_running_tasks", ShardLabels(scope))),
      largest_waiting_need_(context.metrics.AddGauge(
          "shard_largest_waiting_need_millicores", ShardLabels(scope))),
      awaited_workers_(context.metrics.AddGauge("shard_awaited_workers",
                                                ShardLabels(scope))),
      awaited_for_(context.metrics.AddGauge("shard_awaited_workers_seconds",
                                            ShardLabels(scope))) {
  elector_.on_elected = [this] { StartScheduling(); };
  elector_.on_lost = [this] { StopScheduling(); };
}

void DispatchService::OnListed(const WorkerEntry& entry) {
  if (!dispatcher_) return;
  if (layout_.ShardOf(entry) != scope_.id) return;
  dispatcher_->OnWorkerListed(entry, context_.Now());
  RunCycleSoon();
}

void DispatchService::OnUnlisted(const WorkerId& id) {
  if (dispatcher_) dispatcher_->OnWorkerUnlisted(id, context_.Now());
}

void DispatchService::OnRacksAssigned() {
  if (dispatcher_) worker_list_.Replay(*this);
}

void DispatchService::OnEvacuations() {
  if (!dispatcher_) return;
  dispatcher_->ApplyEvacuations(topology_.evacuations());
}

void DispatchService::Tick() {
  if (!dispatcher_) return;
  RunCycle();
  if (!dispatcher_) return;
  ReportStatus(context_.Now());
  ReadSlicedJobChanges();
  RemoveExpiredSlicedJobs();
  CleanUpRecords();
  if (context_.Now() < next_job_scan_) return;
  next_job_scan_ = context_.Now() + kJobScanInterval;
  ScanJobChanges();
}

bool DispatchService::is_scheduling() const {
  return dispatcher_ != nullptr && elector_.lease().is_leader();
}

void DispatchService::StartScheduling() {
  ++generation_;
  leader_since_ = context_.Now();
  Load();
}

void DispatchService::Load() {
  if (!elector_.lease().is_leader()) return;
  LoadState(context_, scope_, layout_.layout()->shard_count,
            [this, generation = generation_,
             sent = context_.Now()](Result<StoredState> loaded) {
              if (generation == generation_) OnLoaded(std::move(loaded), sent);
            });
}

void DispatchService::OnLoaded(Result<StoredState> loaded, Time sent) {
  const Time now = context_.Now();
  if (!loaded) {
    log_.Warning("cannot load the stored state; retrying",
                 {{"why", loaded.error().detail}});
    load_retry_.ScheduleNoLaterThan(now + kLoadRetryDelay);
    return;
  }
  const SchedulerTimings& timings = context_.settings.timings;
  const DispatchSettings settings{
      .shard = scope_.id,
      .other_shards = layout_.layout()->shard_count - 1,
      .max_lease = timings.max_worker_lease,
      .predecessor_slack = elector_.lease().predecessor_slack(),
      .ended_retention = timings.ended_retention,
      // All shards may come to be led by one host.
      .max_job_bytes =
          static_cast<std::size_t>(
              context_.settings.scheduling.max_job_memory.value()) /
          std::max<std::size_t>(1, layout_.layout()->shard_count),
      .order_by_loss = context_.settings.overload.order_by_loss,
      .measure_load = context_.settings.overload.load_admission,
      .balances_jobs = context_.settings.overload.job_balancing};
  dispatcher_ = std::make_unique<Dispatcher>(
      settings, elector_.lease().record()->epoch, leader_since_);
  // What this host knew before its claim may be old: it may have been frozen or
  // cut off.
  topology_.ApplyAllEvacuations(loaded->evacuations, sent);
  dispatcher_->ApplyEvacuations(topology_.evacuations());
  const WallTime wall_now = context_.WallNow();
  std::set<JobId> ended;
  for (const JobProgress& ended_job : loaded->ended) {
    ended.insert(ended_job.id);
    dispatcher_->RestoreEnded(ended_job);
  }
  dispatcher_->RestoreMoves(loaded->moves, now, wall_now);
  for (JobRecord& job : loaded->jobs) {
    if (ended.contains(job.id)) {
      jobs_to_empty_.push_back(job.id);
    } else {
      dispatcher_->RestoreJob(std::move(job), now, wall_now);
    }
  }
  for (JobRecord& job : loaded->sliced_jobs) {
    const JobSlice slice = SliceOf(*layout_.layout(), scope_.id, job.id);
    dispatcher_->RestoreJob(std::move(job), now, wall_now, slice);
  }
  for (const TaskTransfer& transfer : loaded->own_transfers) {
    dispatcher_->RestoreTransfer(transfer, now);
  }
  for (const TaskTransfer& transfer : loaded->other_transfers) {
    dispatcher_->ApplyTransfer(transfer, now);
  }
  for (const JobProgress& stored_progress : loaded->progress) {
    dispatcher_->RestoreProgress(stored_progress);
  }
  for (const ChunkProgress& stored_progress : loaded->chunk_progress) {
    dispatcher_->RestoreProgress(stored_progress);
  }
  for (const JobProgress& marker : loaded->never_accepted) {
    never_accepted_.insert_or_assign(marker.id, marker.ended_at);
  }
  const StoreClockEstimate& clock = elector_.store_clock();
  dispatcher_->RestoreRoster(LeaseHoldersOf(loaded->roster, clock), false, now);
  if (loaded->old_roster) {
    dispatcher_->RestoreRoster(LeaseHoldersOf(*loaded->old_roster, clock), true,
                               now);
  }
  job_scan_version_ = loaded->version;
  sliced_version_ = loaded->sliced_version;
  takeover_time_.Record(now - leader_since_);
  log_.Info(
      "scheduling started",
      {{"shard", scope_.id},
       {"epoch", dispatcher_->epoch()},
       {"jobs", loaded->jobs.size()},
       {"sliced_jobs", loaded->sliced_jobs.size()},
       {"transfers", loaded->own_transfers.size()},
       {"moves", loaded->moves.size()},
       {"ended_jobs", loaded->ended.size()},
       {"workers_with_leases", loaded->roster.size()},
       {"evacuated_data_centres", topology_.evacuations().closed().size()},
       {"load_ms", (now - leader_since_).count() / 1000}});
  worker_list_.Subscribe(*this);
  RunCycleSoon();
}

void DispatchService::StopScheduling() {
  ++generation_;
  if (dispatcher_) {
    log_.Info("scheduling stopped",
              {{"shard", scope_.id}, {"epoch", dispatcher_->epoch()}});
    LogDispatchEvents();
  }
  dispatcher_.reset();
  load_.clear();
  next_load_ = {};
  worker_list_.Unsubscribe(*this);
  job_scan_pending_ = false;
  sliced_read_pending_ = false;
  jobs_to_empty_.clear();
  never_accepted_.clear();
  // The hosts that forwarded these cancellations time out and then call the
  // next leader.
  pending_cancels_.clear();
}

void DispatchService::RunCycleSoon() {
  cycle_timer_.ScheduleNoLaterThan(context_.Now() + kCycleDelay);
}

void DispatchService::RunCycle() {
  if (!dispatcher_) return;
  const Time now = context_.Now();
  if (elector_.lease().IsHeld(now)) {
    std::vector<Order> orders = dispatcher_->Decide(now);
    for (Order& order : orders) Send(order);
  }
  LogDispatchEvents();
  if (dispatcher_->is_superseded()) {
    elector_.Resign();
    return;
  }
  StoreRecords(now);
}

void DispatchService::StoreRecords(Time now) {
  if (elector_.is_storing()) return;
  const Duration age = now - elector_.last_stored();
  const bool due = dispatcher_->HasEndedJobs()
                       ? dispatcher_->HasRecords()
                       : dispatcher_->HasRecords() && age >= kRecordBatchDelay;
  if (!due && age < kRenewInterval) return;
  UpdateLoad(now);
  RecordBatch batch = dispatcher_->TakeRecords(kMaxBatchRows);
  RowTransaction rows = BatchTransaction(scope_, batch, elector_.store_clock());
  auto shared_batch = std::make_shared<RecordBatch>(std::move(batch));
  elector_.Store(
      std::move(rows), dispatcher_->IsFull(), load_,
      [this, generation = generation_, now, shared_batch] {
        if (generation != generation_) return;
        store_latency_.Record(context_.Now() - now);
        OnStored(*shared_batch);
      },
      [this, generation = generation_, shared_batch] {
        if (generation != generation_) return;
        rejected_batches_.Add();
        dispatcher_->OnRejected(std::move(*shared_batch), context_.Now());
        RunCycleSoon();
      });
}

void DispatchService::UpdateLoad(Time now) {
  if (!context_.settings.overload.load_admission || now < next_load_) return;
  const std::optional<StoreTime> made_at =
      elector_.store_clock().LatestReadingAt(now);
  // Without the store's clock other hosts cannot tell the age of the summary.
  if (!made_at) return;
  next_load_ = now + kLoadInterval;
  const LoadSummary summary = dispatcher_->Load(*made_at, now);
  load_ = EncodeLoad(summary);
  for (const ClassLoad& load : summary.classes) {
    log_.Info("shard load", {{"shard", scope_.id},
                             {"priority", load.work_class.priority},
                             {"best_effort", load.work_class.best_effort},
                             {"queued_core_ms", load.queued},
                             {"running_core_ms", load.running},
                             {"rate_millicores", load.rate},
                             {"arrivals_millicores", load.arrivals},
                             {"run_time_percent", load.run_time_percent},
                             {"wait_percent", load.wait_percent}});
  }
}

void DispatchService::OnStored(const RecordBatch& batch) {
  record_batches_.Add();
  for (const JobProgress& ended : batch.ended) {
    jobs_to_empty_.push_back(ended.id);
  }
  for (const JobId& id : dispatcher_->OnRecorded(batch)) {
    auto [first, last] = pending_cancels_.equal_range(id);
    for (auto cancel = first; cancel != last; ++cancel)
      cancel->second(JobStateReply{true, JobState::kCancelled});
    pending_cancels_.erase(first, last);
  }
  RunCycleSoon();
}

void DispatchService::OnAccepted(JobRecord record) {
  dispatcher_->Submit(std::move(record), context_.Now(), context_.WallNow());
  RunCycleSoon();
}

JobStateReply DispatchService::StateOf(const JobId& id) const {
  return dispatcher_->StateOf(id);
}

std::uint64_t DispatchService::CountWaiting(const QueueId& queue) const {
  return dispatcher_->CountWaiting(queue);
}

void DispatchService::Cancel(const JobId& id,
                             UniqueFunction<Result<JobStateReply>> done) {
  if (dispatcher_->RunsSliceOf(id)) {
    CancelSliced(id, std::move(done));
    return;
  }
  if (dispatcher_->IsMoving(id)) {
    done(Fail(ErrorKind::kOwnerUnavailable,
              "the job is being moved to another shard"));
    return;
  }
  const bool held = dispatcher_->Cancel(id, context_.Now(), context_.WallNow());
  const JobStateReply state = dispatcher_->StateOf(id);
  if (!held || IsFinal(state.state)) {
    done(JobStateReply{state.known, JobState::kCancelled, state.moved_to});
    return;
  }
  pending_cancels_.emplace(id, std::move(done));
  RunCycleSoon();
}

void DispatchService::Send(Order& order) {
  std::visit(
      [this](auto& typed_order) {
        using Type = std::decay_t<decltype(typed_order)>;
        if constexpr (std::is_same_v<Type, StartOrder>) {
          SendStart(typed_order);
        } else if constexpr (std::is_same_v<Type, StopOrder>) {
          SendStop(typed_order);
        } else if constexpr (std::is_same_v<Type, LeaseOrder>) {
          SendLease(typed_order);
        } else {
          SendThrottle(typed_order);
        }
      },
      order);
}

void DispatchService::SendStart(const StartOrder& order) {
  starts_.Add();
  context_.ports.workers.start(
      order, dispatcher_->epoch(), dispatcher_->PayloadOf(order.task.job),
      kOrderTimeout,
      [this, order, generation = generation_,
       sent = context_.Now()](OrderReply reply) {
        if (generation != generation_) return;
        if (reply.verdict == OrderVerdict::kUnanswered) {
          unanswered_.Add();
        } else if (reply.verdict != OrderVerdict::kAccepted) {
          refused_starts_.Add();
        }
        dispatcher_->OnStartReply(order, reply, sent, context_.Now());
        if (reply.verdict != OrderVerdict::kAccepted) RunCycleSoon();
      });
}

void DispatchService::SendStop(const StopOrder& order) {
  context_.ports.workers.stop(order, dispatcher_->epoch(), kOrderTimeout,
                              [this, order, generation = generation_,
                               sent = context_.Now()](OrderReply reply) {
                                if (generation != generation_) return;
                                if (reply.verdict == OrderVerdict::kUnanswered)
                                  unanswered_.Add();
                                dispatcher_->OnStopReply(order, reply, sent,
                                                         context_.Now());
                              });
}

void DispatchService::SendLease(const LeaseOrder& order) {
  context_.ports.workers.lease(
      order, dispatcher_->epoch(), order.wait + kLeaseTimeout,
      [this, order, generation = generation_,
       sent = context_.Now()](const LeaseReply& reply) {
        if (generation != generation_) return;
        if (reply.verdict == OrderVerdict::kUnanswered) unanswered_.Add();
        dispatcher_->OnLeaseReply(order, reply, sent, context_.Now(),
                                  context_.WallNow());
        RunCycleSoon();
      });
}

void DispatchService::SendThrottle(const ThrottleOrder& order) {
  context_.ports.workers.throttle(
      order, dispatcher_->epoch(), kOrderTimeout,
      [this, order, generation = generation_](OrderReply reply) {
        if (generation != generation_) return;
        dispatcher_->OnThrottleReply(order, reply);
        if (reply.verdict == OrderVerdict::kAccepted) return;
        if (reply.verdict == OrderVerdict::kUnanswered) unanswered_.Add();
        log_.Info("throttle order not accepted",
                  {{"task", TaskText(order.task)},
                   {"worker", order.worker},
                   {"verdict", OrderVerdictName(reply.verdict)}});
      });
}

void DispatchService::LogDispatchEvents() {
  for (const DispatchEvent& note : dispatcher_->TakeEvents()) {
    const LogFields fields = {
        {"shard", scope_.id},       {"epoch", dispatcher_->epoch()},
        {"request", note.task.job}, {"task", TaskText(note.task)},
        {"run", note.run},          {"worker", note.worker},
        {"why", note.reason}};
    if (note.routine) {
      log_.RoutineInfo(note.message, fields);
    } else {
      log_.Info(note.message, fields);
    }
  }
}

void DispatchService::ReportStatus(Time now) {
  if (now < next_status_) return;
  next_status_ = now + kStatusInterval;
  if (!topology_.evacuations().IsKnown(now)) {
    log_.Warning("no task starts: the evacuations were not read for too long",
                 {{"shard", scope_.id}, {"epoch", dispatcher_->epoch()}});
  }
  const ShardStatus status = dispatcher_->Status(now);
  const auto wait =
      std::chrono::duration<double>(status.longest_long_running_wait);
  free_cpu_.Set(static_cast<double>(status.free.value()));
  largest_free_cpu_.Set(static_cast<double>(status.largest_free.value()));
  draining_workers_.Set(status.draining_workers);
  held_back_workers_.Set(status.held_back_workers);
  jobs_.Set(static_cast<double>(status.jobs));
  job_bytes_.Set(static_cast<double>(status.job_bytes));
  open_occurrences_.Set(static_cast<double>(status.open_occurrences));
  changed_tasks_.Set(static_cast<double>(status.changed_tasks));
  passed_over_steps_.Set(static_cast<double>(status.passed_over_steps));
  longest_passed_over_wait_.Set(
      std::chrono::duration<double>(status.longest_passed_over_wait).count());
  overloaded_priorities_.Set(static_cast<double>(status.overloaded_priorities));
  steps_moved_up_.Set(static_cast<double>(status.steps_moved_up));
  waiting_long_running_.Set(status.waiting_long_running);
  longest_long_running_wait_.Set(wait.count());
  unplaceable_long_running_.Set(status.unplaceable_long_running);
  largest_waiting_need_.Set(
      static_cast<double>(status.largest_waiting_need.value()));
  awaited_workers_.Set(status.awaited_workers);
  awaited_for_.Set(std::chrono::duration<double>(status.awaited_for).count());
  log_.Info("shard status",
            {{"shard", scope_.id},
             {"epoch", dispatcher_->epoch()},
             {"capacity", status.capacity},
             {"free", status.free},
             {"largest_free", status.largest_free},
             {"draining_workers", status.draining_workers},
             {"held_back_workers", status.held_back_workers},
             {"long_running_on_draining", status.long_running_on_draining},
             {"waiting_steps", status.waiting_steps},
             {"passed_over_steps", status.passed_over_steps},
             {"longest_passed_over_wait_ms",
              status.longest_passed_over_wait / milliseconds(1)},
             {"overloaded_priorities", status.overloaded_priorities},
             {"steps_moved_up", status.steps_moved_up},
             {"jobs", status.jobs},
             {"job_bytes", status.job_bytes},
             {"open_occurrences", status.open_occurrences},
             {"changed_tasks", status.changed_tasks},
             {"waiting_long_running", status.waiting_long_running},
             {"unplaceable_long_running", status.unplaceable_long_running},
             {"largest_waiting_need", status.largest_waiting_need},
             {"longest_long_running_wait_ms",
              status.longest_long_running_wait / milliseconds(1)},
             {"awaited_workers", status.awaited_workers},
             {"awaited_for_ms", status.awaited_for / milliseconds(1)}});
}

std::string DispatchService::Dump() const {
  if (!dispatcher_) return "not scheduling\n";
  return dispatcher_->Dump(context_.Now());
}

}  // namespace gypsumfall::scheduler_internal
