#ifndef GYPSUMFALL_ENTRY_INTERNAL_TASK_PARTITION_H_
#define GYPSUMFALL_ENTRY_INTERNAL_TASK_PARTITION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/journal/journal.h"
#include "gypsumfall/protocol/protocol.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// A task partition that this host owns: recovers its state, maintains its
/// journal and task table, and exchanges messages with the entry hosts that own
/// workers.
class TaskPartition {
 public:
  struct Options {
    int number = 0;
    Epoch epoch;
    RowVersion row_version;
    Incarnation incarnation;
    /// Time after which the previous owner's ownership certainly was not
    /// confirmed again.
    Time taken_over_at;
  };
  using StatusCallback = std::function<void(Result<TaskStatus>)>;

  TaskPartition(const EntryContext& context, Options options,
                WriteBudget& budget);
  ~TaskPartition();
  TaskPartition(const TaskPartition&) = delete;
  TaskPartition& operator=(const TaskPartition&) = delete;

  /// Reads the stored state of the partition and starts serving it. Retries
  /// until it succeeds.
  void Recover();
  bool running() const { return table_ != nullptr; }
  int number() const { return options_.number; }
  Epoch epoch() const { return options_.epoch; }

  /// Submits a task.
  /// @param done called once, when the submission is durable or refused.
  void Submit(const TaskKey& key, const TaskSpec& spec, std::string payload,
              const TaskLimits& limits, StatusCallback done);
  /// Requests the cancellation of a task.
  /// @param done called once, when the cancellation is durable or refused.
  void Cancel(const TaskKey& key, StatusCallback done);
  /// Waits for the end of a task.
  /// @param done called once, when the task has ended or at `until`.
  /// @param is_poll whether a graceful shutdown may answer before that.
  void Wait(const TaskKey& key, Time until, bool is_poll, StatusCallback done);
  /// Answers all waiting polls with the present status.
  void EndPolls();
  Result<TaskStatus> Status(const TaskKey& key) const;
  std::vector<TaskStatus> List(const CustomerId& customer) const;
  Result<void> Evict(const TaskKey& key);
  void SetLimits(const CustomerId& customer, const TaskLimits& limits);

  void OnReports(const WorkerAttemptReports& reports);
  void OnHostLeaseRenewed(Time confirmed_at);
  void Tick();
  /// Commits the queued records and accepts no more. Calls `done` when no
  /// commit is in flight, or after a timeout.
  void Quiesce(std::function<void()> done);
  /// Stops the partition after the loss of ownership; answers all waiters with
  /// `kOutcomeUnknown`.
  void Abandon();

  TaskCounts counts() const { return table_->counts(); }
  std::size_t queued_records() const { return journal_->queued(); }

 private:
  enum class WaitCondition { kDurable, kCancelRequested, kEnded };
  struct Waiter {
    StatusCallback done;
    WaitCondition condition = WaitCondition::kDurable;
    std::optional<Time> until;
    bool is_poll = false;
  };
  /// Callbacks hold a weak pointer to this token to detect that the partition
  /// has been abandoned or destroyed.
  struct LifetimeToken {};

  void OnSnapshotRow(const Row& pointer_row);
  void ReadSnapshot(const SnapshotPointer& pointer);
  void ScanLog(const SnapshotPointer& pointer, const std::string& snapshot,
               std::vector<Row> rows);
  /// Restores the task table and the journal and starts serving.
  void StartServing(const SnapshotPointer& pointer, const std::string& snapshot,
                    const std::vector<Row>& rows);
  void RetryRecovery(const std::string& why);

  void Perform(const TaskActions& actions);
  void Perform(const JournalActions& actions);
  void Append(const AppendRecord& record);
  void SendTransact(const gypsumfall::SendTransact& send);
  void PutObject(const PutSnapshotObject& put);
  /// Performs the due actions of the journal and sets the timer for the next.
  void PollJournal();
  void Notify(const TaskStatus& status);
  void ExpireWaiters(Time now);
  void FinishQuiesce(Time now);
  static bool IsMet(WaitCondition condition, const TaskStatus& status);

  /// Collects the messages of one batch of task actions, one call for each
  /// entry host that owns workers.
  using Outbox = std::map<EntryHostId, AttemptsCall>;
  void AddToOutbox(const TaskAction& action, Outbox& outbox);
  AttemptsCall& CallTo(const EntryHostId& owner, Outbox& outbox) const;
  void SendOutbox(Outbox&& outbox);
  void SendTo(const EntryHostId& owner, AttemptsCall call);
  void OnAnswer(const EntryHostId& owner, const AttemptsCall& call,
                const std::optional<AttemptsReply>& reply);
  void OnReserved(const EntryHostId& owner, const ReserveCall& call,
                  const ReserveReply* reply);
  void OnStarted(const PeerStartCall& call, const PeerStartReply* reply);
  EntryHostId OwnerOf(const WorkerId& worker) const;
  /// @return the hosts to ask for a reservation, in order: this one, those of
  /// its
  ///     data centre, all others.
  std::vector<EntryHostId> ReservationOrder() const;

  EntryContext context_;
  Options options_;
  WriteBudget& budget_;
  Logger log_;
  std::shared_ptr<LifetimeToken> lifetime_token_ =
      std::make_shared<LifetimeToken>();
  Timer timer_;
  std::unique_ptr<TaskTable> table_;
  std::unique_ptr<Journal> journal_;
  std::optional<Time> confirmed_at_;
  std::multimap<TaskKey, Waiter> waiters_;
  /// Last known owner of each worker that another entry host owns.
  std::map<WorkerId, EntryHostId> worker_owners_;
  /// Number of hosts that refused each open reservation, which is the index in
  /// ReservationOrder() of the host that is asked next.
  std::map<AttemptId, std::size_t> reservation_refusals_;
  std::function<void()> on_quiesced_;
  Time quiesce_deadline_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_TASK_PARTITION_H_
