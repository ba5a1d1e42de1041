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

/// One owned task partition: recovery, its journal and its task table, and the
/// messages to worker owners.
class TaskPartition {
 public:
  struct Options {
    int number = 0;
    Epoch epoch;
    RowVersion row_version;
    Incarnation incarnation;
    /// Time after which the previous owner certainly was not confirmed again.
    Time taken_over_at;
  };
  using StatusDone = std::function<void(Result<TaskStatus>)>;

  TaskPartition(const EntryContext& context, Options options,
                WriteBudget& budget);
  ~TaskPartition();
  TaskPartition(const TaskPartition&) = delete;
  TaskPartition& operator=(const TaskPartition&) = delete;

  /// Reads the partition's state and then runs it; retries until it succeeds.
  void Recover();
  bool running() const { return table_ != nullptr; }
  int number() const { return options_.number; }
  Epoch epoch() const { return options_.epoch; }

  /// @param done called once, when the submission is durable or refused.
  void Submit(const TaskKey& key, const TaskSpec& spec, std::string payload,
              const TaskLimits& limits, StatusDone done);
  /// @param done called once, when the cancellation is durable or refused.
  void Cancel(const TaskKey& key, StatusDone done);
  /// @param done called when the task has ended or at `until`.
  /// @param is_poll whether a planned stop may answer it early.
  void Wait(const TaskKey& key, Time until, bool is_poll, StatusDone done);
  /// Answers polls with the present status.
  void EndPolls();
  Result<TaskStatus> Status(const TaskKey& key) const;
  std::vector<TaskStatus> List(const CustomerId& customer) const;
  Result<void> Evict(const TaskKey& key);
  void SetLimits(const CustomerId& customer, const TaskLimits& limits);

  void OnReports(const WorkerReports& reports);
  void OnAuthorityConfirmed(Time confirmed_at);
  void Tick();
  /// Commits what is queued and accepts nothing more; `done` is called when no
  /// commit is in flight.
  void Quiesce(std::function<void()> done);
  /// Ownership is lost: answers everybody who waits.
  void Abandon();

  TaskCounts counts() const { return table_->counts(); }
  std::size_t queued_records() const { return journal_->queued(); }

 private:
  enum class WaitFor { kDurable, kCancelRequested, kEnded };
  struct Waiter {
    StatusDone done;
    WaitFor what = WaitFor::kDurable;
    std::optional<Time> until;
    bool is_poll = false;
  };
  /// Held weakly by callbacks, which can outlive the partition.
  struct Alive {};

  void OnPointer(const Row& pointer_row);
  void ReadSnapshot(const SnapshotPointer& pointer);
  void ScanLog(const SnapshotPointer& pointer, const std::string& snapshot,
               std::vector<Row> rows);
  void Begin(const SnapshotPointer& pointer, const std::string& snapshot,
             const std::vector<Row>& rows);
  void RetryRecovery(const std::string& why);

  void Perform(const TaskActions& actions);
  void Perform(const JournalActions& actions);
  void Append(const AppendRecord& record);
  void SendTransact(const gypsumfall::SendTransact& send);
  void PutObject(const PutSnapshotObject& put);
  void Pump();
  void Notify(const TaskStatus& status);
  void ExpireWaiters(Time now);
  void FinishQuiesce(Time now);
  static bool IsMet(WaitFor what, const TaskStatus& status);

  /// Gathers what one round of task actions asks of each worker owner.
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
  /// @return hosts to ask for room: this one, then its data centre, then all.
  std::vector<EntryHostId> ReservationOrder() const;

  EntryContext context_;
  Options options_;
  WriteBudget& budget_;
  Logger log_;
  std::shared_ptr<Alive> alive_ = std::make_shared<Alive>();
  Timer timer_;
  std::unique_ptr<TaskTable> table_;
  std::unique_ptr<Journal> journal_;
  std::optional<Time> confirmed_at_;
  std::multimap<TaskKey, Waiter> waiters_;
  /// Where each worker was last found, for workers of other entry hosts.
  std::map<WorkerId, EntryHostId> worker_owners_;
  /// Hosts that refused a reservation; the next one is asked.
  std::map<AttemptId, std::size_t> reservation_tries_;
  std::function<void()> quiesced_;
  Time quiesce_until_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_TASK_PARTITION_H_
