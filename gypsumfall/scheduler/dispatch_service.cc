#include "gypsumfall/scheduler/internal/dispatch_service.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace gypsumfall::scheduler_internal {
namespace {

// Events within this time are decided on together.
constexpr Duration kPumpDelay = milliseconds(1);
// Records of unended jobs wait this long for others.
constexpr Duration kRecordDelay = milliseconds(40);
// Longest time between two renewals of the duty; well below its lease, so that
// one lost call does not suspend the host.
constexpr Duration kRenewInterval = milliseconds(700);
constexpr Duration kLoadRetryDelay = milliseconds(100);
// Hosts report accepted jobs directly; this finds those of which the report
// was lost.
constexpr Duration kJobScanInterval = milliseconds(1000);
constexpr Duration kJobScanTimeout = milliseconds(800);

// Answers of sound workers take milliseconds. A start that is not answered by
// then is stopped and placed again.
constexpr Duration kOrderTimeout = milliseconds(500);
constexpr Duration kLeaseTimeout = milliseconds(600);

std::string TaskText(const TaskName& task) {
  return task.job.str() + "/" + std::to_string(task.occurrence) + "/" +
         std::to_string(task.step) + "/" + std::to_string(task.index);
}

}  // namespace

DispatchService::DispatchService(Context& context, const ShardScope& scope,
                                 DutyService& duty, LayoutService& layout,
                                 WorkerListService& worker_list)
    : context_(context),
      scope_(scope),
      duty_(duty),
      layout_(layout),
      worker_list_(worker_list),
      pump_(context.runtime, [this] { Pump(); }),
      load_retry_(context.runtime, [this] { Load(); }),
      starts_(context.metrics.AddCounter("runs_started")),
      refused_starts_(context.metrics.AddCounter("starts_refused")),
      unanswered_(context.metrics.AddCounter("orders_unanswered")),
      records_(context.metrics.AddCounter("record_batches_stored")),
      store_time_(context.metrics.AddLatency("record_store_seconds")),
      takeover_time_(context.metrics.AddLatency("takeover_seconds")) {
  duty_.on_held = [this] { Begin(); };
  duty_.on_lost = [this] { End(); };
}

void DispatchService::OnListed(const WorkerEntry& entry) {
  if (!dispatcher_) return;
  if (layout_.ShardOf(entry) != scope_.id) return;
  dispatcher_->OnWorkerListed(entry, context_.Now());
  PumpSoon();
}

void DispatchService::OnUnlisted(const WorkerId& id) {
  if (dispatcher_) dispatcher_->OnWorkerUnlisted(id, context_.Now());
}

void DispatchService::OnRacksAssigned() {
  if (dispatcher_) worker_list_.Replay(*this);
}

void DispatchService::Tick() {
  if (!dispatcher_) return;
  Pump();
  if (context_.Now() < next_job_scan_) return;
  next_job_scan_ = context_.Now() + kJobScanInterval;
  FollowJobs();
}

bool DispatchService::is_scheduling() const {
  return dispatcher_ != nullptr && duty_.lease().is_leader();
}

void DispatchService::Begin() {
  ++turn_;
  began_at_ = context_.Now();
  Load();
}

void DispatchService::Load() {
  if (!duty_.lease().is_leader()) return;
  LoadState(context_, scope_, [this, turn = turn_](Result<StoredState> loaded) {
    if (turn == turn_) OnLoaded(std::move(loaded));
  });
}

void DispatchService::OnLoaded(Result<StoredState> loaded) {
  const Time now = context_.Now();
  if (!loaded) {
    log_.Warning("the stored state can not be loaded yet",
                 {{"why", loaded.error().detail}});
    load_retry_.NotAfter(now + kLoadRetryDelay);
    return;
  }
  const SchedulerTimings& timings = context_.settings.timings;
  const DispatchSettings settings{
      .max_lease = timings.max_worker_lease,
      .predecessor_slack = duty_.lease().predecessor_slack(),
      .ended_retention = timings.ended_retention};
  dispatcher_ = std::make_unique<Dispatcher>(
      settings, duty_.lease().record()->epoch, began_at_);
  const WallTime wall_now = context_.WallNow();
  for (JobRecord& job : loaded->jobs) {
    dispatcher_->RestoreJob(std::move(job), now, wall_now);
  }
  for (const JobProgress& each : loaded->progress) {
    dispatcher_->RestoreProgress(each);
  }
  for (const JobProgress& each : loaded->ended) dispatcher_->RestoreEnded(each);
  dispatcher_->RestoreRoster(loaded->roster, now);
  jobs_followed_ = loaded->version;
  takeover_time_.Record(now - began_at_);
  log_.Info("scheduling begins",
            {{"shard", scope_.id},
             {"epoch", dispatcher_->epoch()},
             {"jobs", loaded->jobs.size()},
             {"ended_jobs", loaded->ended.size()},
             {"workers_with_leases", loaded->roster.size()},
             {"load_ms", (now - began_at_).count() / 1000}});
  worker_list_.Follow(*this);
  PumpSoon();
}

void DispatchService::End() {
  ++turn_;
  if (dispatcher_) {
    log_.Info("scheduling ends",
              {{"shard", scope_.id}, {"epoch", dispatcher_->epoch()}});
    LogNotes();
  }
  dispatcher_.reset();
  worker_list_.Unfollow(*this);
  following_jobs_ = false;
  // Their callers are answered by the time-out of the forwarding host, which
  // then asks the next scheduler.
  cancels_.clear();
}

void DispatchService::PumpSoon() {
  pump_.NotAfter(context_.Now() + kPumpDelay);
}

void DispatchService::Pump() {
  if (!dispatcher_) return;
  const Time now = context_.Now();
  if (duty_.lease().IsHeld(now)) {
    std::vector<Order> orders = dispatcher_->Decide(now);
    for (Order& order : orders) Send(order);
  }
  LogNotes();
  if (dispatcher_->is_superseded()) {
    duty_.Resign();
    return;
  }
  StoreRecords(now);
}

void DispatchService::StoreRecords(Time now) {
  if (duty_.is_storing()) return;
  const Duration age = now - duty_.last_stored();
  const bool due = dispatcher_->HasEndedJobs()
                       ? dispatcher_->HasRecords()
                       : dispatcher_->HasRecords() && age >= kRecordDelay;
  if (!due && age < kRenewInterval) return;
  RecordBatch batch =
      dispatcher_->TakeRecords(kMaxBatchRows, context_.WallNow());
  RowTransaction rows = BatchTransaction(scope_, batch);
  duty_.Store(std::move(rows),
              [this, turn = turn_, now, batch = std::move(batch)] {
                if (turn != turn_) return;
                store_time_.Record(context_.Now() - now);
                OnStored(batch);
              });
}

// The placements of expired jobs are in other parts. A lost removal leaves a
// small row behind that nothing depends on.
void DispatchService::RemovePlacements(const std::vector<JobId>& expired) {
  std::map<ShardId, RowTransaction> by_home;
  for (const JobId& id : expired) {
    const ShardId home = ShardOf(*layout_.layout(), id);
    if (home == scope_.id) continue;
    by_home[home].removals.push_back(PlacementAddress(ShardScope(home), id));
  }
  for (auto& [home, rows] : by_home) {
    context_.ports.store.transact(
        std::move(rows), kJobScanTimeout,
        [this, home = home](const TransactionReply& reply) {
          log_.Info("placements of expired jobs removed",
                    {{"shard", scope_.id},
                     {"home", home},
                     {"outcome", StoreOutcomeName(reply.outcome)}});
        });
  }
}

void DispatchService::OnStored(const RecordBatch& batch) {
  records_.Add();
  RemovePlacements(batch.expired);
  for (const JobId& id : dispatcher_->OnRecorded(batch)) {
    auto [first, last] = cancels_.equal_range(id);
    for (auto each = first; each != last; ++each) each->second(true);
    cancels_.erase(first, last);
  }
  PumpSoon();
}

JobAcceptedReply DispatchService::OnAccepted(JobRecord record) {
  const Time now = context_.Now();
  dispatcher_->Submit(std::move(record), now, context_.WallNow());
  PumpSoon();
  return dispatcher_->Room(now);
}

JobStateReply DispatchService::StateOf(const JobId& id) const {
  return dispatcher_->StateOf(id);
}

std::uint64_t DispatchService::CountWaiting(const QueueId& queue) const {
  return dispatcher_->CountWaiting(queue);
}

void DispatchService::Cancel(const JobId& id, UniqueFunction<bool> done) {
  const bool known =
      dispatcher_->Cancel(id, context_.Now(), context_.WallNow());
  const JobStateReply state = dispatcher_->StateOf(id);
  if (!known || IsFinal(state.state)) {
    done(known);
    return;
  }
  cancels_.emplace(id, std::move(done));
  PumpSoon();
}

// Finds accepted jobs that no host has reported.
void DispatchService::FollowJobs() {
  if (!dispatcher_ || following_jobs_) return;
  following_jobs_ = true;
  context_.ports.store.changes(
      scope_.job_table, jobs_followed_, Duration{0}, kJobScanTimeout,
      [this, turn = turn_](const RowPage& page) {
        if (turn != turn_) return;
        following_jobs_ = false;
        if (page.outcome == StoreOutcome::kHistoryGone) {
          jobs_followed_ = page.version;
          LoadRows(context_, scope_.job_table, scope_.part, kJobScanTimeout,
                   [this, turn](const LoadedRows& loaded) {
                     if (turn != turn_) return;
                     if (loaded.outcome != StoreOutcome::kDone) return;
                     jobs_followed_ = loaded.version;
                     TakeUnreported(loaded.rows);
                   });
          return;
        }
        if (page.outcome != StoreOutcome::kDone) return;
        jobs_followed_ = std::max(jobs_followed_, page.version);
        TakeUnreported(page.rows);
      });
}

void DispatchService::TakeUnreported(const std::vector<StoredRow>& rows) {
  for (const StoredRow& row : rows) {
    if (row.removed || row.value.empty()) continue;
    if (dispatcher_->StateOf(JobId(row.address.key)).known) continue;
    Result<JobRecord> record = Decode<JobRecord>(row.value);
    if (!record) {
      log_.Error("a stored job can not be read",
                 {{"key", row.address.key}, {"why", record.error().detail}});
      continue;
    }
    log_.Info("found a job that was not reported", {{"job", record->id}});
    OnAccepted(*std::move(record));
  }
}

void DispatchService::Send(Order& order) {
  std::visit(
      [this](auto& each) {
        using Type = std::decay_t<decltype(each)>;
        if constexpr (std::is_same_v<Type, StartOrder>) {
          SendStart(each);
        } else if constexpr (std::is_same_v<Type, StopOrder>) {
          SendStop(each);
        } else if constexpr (std::is_same_v<Type, LeaseOrder>) {
          SendLease(each);
        } else {
          SendPace(each);
        }
      },
      order);
}

void DispatchService::SendStart(const StartOrder& order) {
  starts_.Add();
  context_.ports.workers.start(
      order, dispatcher_->epoch(), dispatcher_->PayloadOf(order.task.job),
      kOrderTimeout,
      [this, order, turn = turn_, sent = context_.Now()](OrderReply reply) {
        if (turn != turn_) return;
        if (reply.verdict == OrderVerdict::kUnanswered) {
          unanswered_.Add();
        } else if (reply.verdict != OrderVerdict::kAccepted) {
          refused_starts_.Add();
        }
        dispatcher_->OnStartReply(order, reply, sent, context_.Now());
        if (reply.verdict != OrderVerdict::kAccepted) PumpSoon();
      });
}

void DispatchService::SendStop(const StopOrder& order) {
  context_.ports.workers.stop(
      order, dispatcher_->epoch(), kOrderTimeout,
      [this, order, turn = turn_, sent = context_.Now()](OrderReply reply) {
        if (turn != turn_) return;
        if (reply.verdict == OrderVerdict::kUnanswered) unanswered_.Add();
        dispatcher_->OnStopReply(order, reply, sent, context_.Now());
      });
}

void DispatchService::SendLease(const LeaseOrder& order) {
  context_.ports.workers.lease(
      order, dispatcher_->epoch(), order.wait + kLeaseTimeout,
      [this, order, turn = turn_,
       sent = context_.Now()](const LeaseReply& reply) {
        if (turn != turn_) return;
        if (reply.verdict == OrderVerdict::kUnanswered) unanswered_.Add();
        dispatcher_->OnLeaseReply(order, reply, sent, context_.Now(),
                                  context_.WallNow());
        PumpSoon();
      });
}

void DispatchService::SendPace(const PaceOrder& order) {
  context_.ports.workers.pace(
      order, dispatcher_->epoch(), kOrderTimeout,
      [this, order, turn = turn_](OrderReply reply) {
        if (turn != turn_) return;
        dispatcher_->OnPaceReply(order, reply);
        if (reply.verdict == OrderVerdict::kAccepted) return;
        if (reply.verdict == OrderVerdict::kUnanswered) unanswered_.Add();
        log_.Info("pace order not taken",
                  {{"task", TaskText(order.task)},
                   {"worker", order.worker},
                   {"verdict", OrderVerdictName(reply.verdict)}});
      });
}

void DispatchService::LogNotes() {
  for (const DispatchNote& note : dispatcher_->TakeNotes()) {
    log_.Info(note.what, {{"shard", scope_.id},
                          {"epoch", dispatcher_->epoch()},
                          {"request", note.task.job},
                          {"task", TaskText(note.task)},
                          {"run", note.run},
                          {"worker", note.worker},
                          {"why", note.reason}});
  }
}

std::string DispatchService::Dump() const {
  if (!dispatcher_) return "not scheduling\n";
  return dispatcher_->Dump(context_.Now());
}

}  // namespace gypsumfall::scheduler_internal
