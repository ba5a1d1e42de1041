#include "gypsumfall/entry/internal/task_partition.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/ownership_service.h"
#include "gypsumfall/entry/internal/store_service.h"

namespace gypsumfall {
namespace {

// If a commit stays unresolved for longer, the table service counts as
// unreachable: submissions are refused at once instead of queued in the
// journal.
constexpr Duration kStalledAfter = seconds(3);
// A hand-over waits no longer than this for the last commit; the next owner
// then finds its outcome in the journal.
constexpr Duration kQuiesceTimeout = seconds(3);

std::string SubjectOf(const TaskKey& key) {
  return "task/" + key.customer.str() + "/" + key.task.str();
}

}  // namespace

TaskPartition::TaskPartition(const EntryContext& context, Options options,
                             WriteBudget& budget)
    : context_(context),
      options_(options),
      budget_(budget),
      log_("tasks"),
      timer_(context.runtime, [this] { PollJournal(); }) {}

TaskPartition::~TaskPartition() = default;

void TaskPartition::Submit(const TaskKey& key, const TaskSpec& spec,
                           std::string payload, const TaskLimits& limits,
                           StatusCallback done) {
  if (on_quiesced_) {
    done(Fail(ErrorKind::kOwnerUnavailable, "ownership is being handed over"));
    return;
  }
  const Time now = context_.Now();
  if (journal_->Stalled(now, kStalledAfter)) {
    done(Fail(ErrorKind::kStoreUnavailable, "nothing was stored"));
    return;
  }
  TaskDecision decision =
      table_->Submit(key, spec, std::move(payload), limits, now);
  const bool must_wait =
      decision.status && decision.status->state == TaskState::kAccepting;
  if (must_wait) {
    waiters_.emplace(key, Waiter{std::move(done), WaitCondition::kDurable, {}});
  } else {
    done(decision.status);
  }
  Perform(decision.actions);
}

void TaskPartition::Cancel(const TaskKey& key, StatusCallback done) {
  TaskDecision decision = table_->Cancel(key, context_.Now());
  const bool must_wait =
      decision.status && !decision.status->error &&
      !IsMet(WaitCondition::kCancelRequested, *decision.status);
  if (must_wait) {
    waiters_.emplace(
        key, Waiter{std::move(done), WaitCondition::kCancelRequested, {}});
  } else {
    done(decision.status);
  }
  Perform(decision.actions);
}

void TaskPartition::Wait(const TaskKey& key, Time until, bool is_poll,
                         StatusCallback done) {
  const Result<TaskStatus> status = table_->Status(key);
  if (!status || status->ended() || until <= context_.Now()) {
    done(status);
    return;
  }
  waiters_.emplace(
      key, Waiter{std::move(done), WaitCondition::kEnded, until, is_poll});
}

Result<TaskStatus> TaskPartition::Status(const TaskKey& key) const {
  return table_->Status(key);
}

std::vector<TaskStatus> TaskPartition::List(const CustomerId& customer) const {
  constexpr std::size_t kMaxListed = 1000;
  return table_->List(customer, kMaxListed);
}

Result<void> TaskPartition::Evict(const TaskKey& key) {
  const Result<TaskStatus> status = table_->Status(key);
  if (!status) return tl::unexpected(status.error());
  context_.Explain(SubjectOf(key), "evict", "asked by an operator");
  Perform(
      table_->Evict({key.customer, key.task, status->attempt}, context_.Now()));
  return {};
}

void TaskPartition::SetLimits(const CustomerId& customer,
                              const TaskLimits& limits) {
  table_->SetLimits(customer, limits);
}

void TaskPartition::OnReports(const WorkerAttemptReports& reports) {
  if (on_quiesced_) return;
  const Time now = context_.Now();
  Perform(
      table_->OnIncarnationChanged(reports.worker, reports.incarnation, now));
  // The list is not complete: an attempt whose start is still being answered
  // may be missing.
  Perform(table_->OnReports(
      {reports.worker, reports.incarnation, reports.clock}, reports.attempts,
      /*complete=*/false, now));
}

void TaskPartition::OnHostLeaseRenewed(Time confirmed_at) {
  confirmed_at_ = confirmed_at;
  if (table_) table_->OnHostLeaseRenewed(confirmed_at);
}

void TaskPartition::Tick() {
  const Time now = context_.Now();
  if (on_quiesced_) {
    PollJournal();
    FinishQuiesce(now);
    return;
  }
  Perform(table_->Tick(now));
  ExpireWaiters(now);
  if (journal_->SnapshotDue()) {
    Perform(journal_->BeginSnapshot(table_->Snapshot(), now));
  }
}

void TaskPartition::Quiesce(std::function<void()> done) {
  if (!running()) {
    done();
    return;
  }
  on_quiesced_ = std::move(done);
  quiesce_deadline_ = context_.Now() + kQuiesceTimeout;
}

void TaskPartition::FinishQuiesce(Time now) {
  const bool is_idle = journal_->queued() == 0 &&
                       !journal_->Stalled(now + milliseconds(1), Duration(0));
  if (!is_idle && now < quiesce_deadline_) return;
  // The callback stays set, because a set one makes the partition accept no
  // more records.
  const auto done = std::exchange(on_quiesced_, [] {});
  quiesce_deadline_ = Time::max();
  done();
}

void TaskPartition::Abandon() {
  lifetime_token_.reset();
  if (journal_) Perform(journal_->OnOwnershipLost(context_.Now()));
  auto waiters = std::exchange(waiters_, {});
  for (auto& [key, waiter] : waiters) {
    waiter.done(Fail(ErrorKind::kOutcomeUnknown,
                     "another entry host has taken over; ask again by id"));
  }
}

void TaskPartition::Perform(const TaskActions& actions) {
  Outbox outbox;
  for (const TaskAction& action : actions) {
    if (const auto* record = std::get_if<AppendRecord>(&action)) {
      Append(*record);
    } else if (const auto* notify = std::get_if<gypsumfall::Notify>(&action)) {
      Notify(notify->status);
    } else if (!on_quiesced_) {
      AddToOutbox(action, outbox);
    }
  }
  SendOutbox(std::move(outbox));
  PollJournal();
}

void TaskPartition::Append(const AppendRecord& record) {
  const Time now = context_.Now();
  const Result<void> appended =
      journal_->Append(record.text, record.record_id, now);
  if (!appended) {
    Perform(
        table_->OnRecordRefused(record.record_id, now, appended.error().kind));
  }
}

void TaskPartition::PollJournal() {
  if (!journal_ || !lifetime_token_) return;
  Perform(journal_->Poll(context_.Now()));
  const Time due = journal_->next_due();
  if (due != Time::max()) timer_.ScheduleNoLaterThan(due);
}

void TaskPartition::Perform(const JournalActions& actions) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  const Time now = context_.Now();
  for (const JournalAction& action : actions) {
    if (const auto* send = std::get_if<gypsumfall::SendTransact>(&action)) {
      SendTransact(*send);
    } else if (const auto* read = std::get_if<SendRead>(&action)) {
      store->table().Read(
          read->read, [this, weak = std::weak_ptr(lifetime_token_),
                       call = read->call](PlatformResult<RowsReply> answer) {
            if (weak.expired()) return;
            const Time at = context_.Now();
            Perform(answer.reply
                        ? journal_->OnReadBack(call, answer.reply->rows, at)
                        : journal_->OnReadFailed(call, at));
            PollJournal();
          });
    } else if (const auto* put = std::get_if<PutSnapshotObject>(&action)) {
      PutObject(*put);
    } else if (const auto* obsolete =
                   std::get_if<DeleteSnapshotObject>(&action)) {
      store->objects().Delete(obsolete->name,
                              [](const PlatformResult<bool>&) {});
    } else if (const auto* committed = std::get_if<RecordsCommitted>(&action)) {
      for (const JournalRecordId record_id : committed->record_ids) {
        Perform(table_->OnRecordDurable(record_id, now));
      }
    } else if (const auto* lost = std::get_if<RecordsUnknown>(&action)) {
      for (const JournalRecordId record_id : lost->record_ids) {
        Perform(table_->OnRecordUnknown(record_id, now));
      }
      context_.kernel.Find<OwnershipService>(kOwnershipService)
          ->RefreshPartition(options_.number);
    } else if (const auto* refused = std::get_if<RecordsRefused>(&action)) {
      for (const JournalRecordId record_id : refused->record_ids) {
        Perform(table_->OnRecordRefused(record_id, now, refused->reason));
      }
    }
  }
}

void TaskPartition::SendTransact(const gypsumfall::SendTransact& send) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Transact(
      send.transact, [this, weak = std::weak_ptr(lifetime_token_),
                      call = send.call](PlatformResult<TransactReply> answer) {
        if (weak.expired()) return;
        const Time now = context_.Now();
        if (answer.reply) {
          Perform(journal_->OnTransactReply(call, *answer.reply, now));
        } else if (answer.certainly_not_applied) {
          Perform(journal_->OnTransactNotApplied(call, now));
        } else {
          Perform(journal_->OnTransactUnknown(call, now));
        }
        PollJournal();
      });
}

void TaskPartition::PutObject(const PutSnapshotObject& put) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->objects().Put(put.name, put.text,
                       [this, weak = std::weak_ptr(lifetime_token_),
                        call = put.call](const PlatformResult<bool>& answer) {
                         if (weak.expired()) return;
                         Perform(journal_->OnObjectPut(
                             call, answer.reply.has_value(), context_.Now()));
                         PollJournal();
                       });
}

bool TaskPartition::IsMet(WaitCondition condition, const TaskStatus& status) {
  switch (condition) {
    case WaitCondition::kDurable:
      return status.state != TaskState::kAccepting;
    case WaitCondition::kCancelRequested:
      return status.cancel_requested || status.ended();
    case WaitCondition::kEnded:
      return status.ended();
  }
  return true;
}

void TaskPartition::Notify(const TaskStatus& status) {
  context_.Explain(
      SubjectOf(status.key), std::string(TaskStateName(status.state)),
      status.error ? status.error->detail
                   : "attempt " + std::to_string(status.attempt.value()));
  std::vector<StatusCallback> ready;
  const auto [first, last] = waiters_.equal_range(status.key);
  for (auto waiter = first; waiter != last;) {
    // An error concerns a submission or cancellation, not the waiters for the
    // end of the task.
    const bool failed =
        status.error && waiter->second.condition != WaitCondition::kEnded;
    if (failed || IsMet(waiter->second.condition, status)) {
      ready.push_back(std::move(waiter->second.done));
      waiter = waiters_.erase(waiter);
    } else {
      ++waiter;
    }
  }
  for (const StatusCallback& done : ready) {
    if (status.error) {
      done(tl::unexpected(*status.error));
    } else {
      done(status);
    }
  }
}

void TaskPartition::EndPolls() {
  for (auto& [key, waiter] : waiters_) {
    if (waiter.is_poll) waiter.until = Time::min();
  }
  ExpireWaiters(context_.Now());
}

void TaskPartition::ExpireWaiters(Time now) {
  std::vector<std::pair<TaskKey, StatusCallback>> expired;
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    if (waiter->second.until && *waiter->second.until <= now) {
      expired.emplace_back(waiter->first, std::move(waiter->second.done));
      waiter = waiters_.erase(waiter);
    } else {
      ++waiter;
    }
  }
  for (const auto& [key, done] : expired) done(table_->Status(key));
}

}  // namespace gypsumfall
