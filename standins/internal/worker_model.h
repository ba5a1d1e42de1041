#ifndef STANDINS_INTERNAL_WORKER_MODEL_H_
#define STANDINS_INTERNAL_WORKER_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall::standins {

/// Simulated behaviour of work of one kind.
struct KindBehaviour {
  /// Run time on a host that is not shared.
  Duration run_time = milliseconds(10);
  /// Progress between two checkpoints of an attempt; zero for none.
  Duration checkpoint_every = Duration::zero();
  bool fails = false;
  /// Actual usage relative to the declared resources, in thousandths.
  std::int64_t use_permille = 1000;
  /// Slowdown added by each neighbour of the given kind, in thousandths.
  std::map<KindId, std::int64_t> slowdown_by_neighbour = {};
};

/// Capacity, limits and behaviour of a simulated worker.
struct WorkerOptions {
  Resources capacity{MilliCores(30'000), MebiBytes(125'000), Accelerators(0)};
  int slots = 8;
  int connections = 60;
  std::map<KindId, KindBehaviour> kinds = {};
  /// Reading of the worker's clock at time zero of the `now` arguments.
  Duration clock_offset = seconds(1000);
  Duration usage_lag = seconds(10);
  /// How long records of ended work are retained to answer repeated and
  /// cancelling calls.
  Duration retention = std::chrono::minutes(20);
};

/// Faults that can be switched on while a worker runs.
struct WorkerFaults {
  bool fail_everything = false;
  /// Delay between the end of a request and its answer.
  Duration answer_delay = Duration::zero();
  bool duplicate_answers = false;
  /// Returns answers that are due at the same time in reverse order.
  bool reverse_answers = false;
};

/// Start or end of work, recorded for invariant checks.
struct WorkEvent {
  Time at;
  bool started = false;
  /// Set for an attempt.
  std::optional<AttemptId> attempt = {};
  /// Set for a request.
  std::optional<ExchangeId> exchange = {};
  /// Set when an attempt ended.
  AttemptState end = AttemptState::kRunning;
};

/// Model of one worker. It accepts commands of one owner at a time, runs
/// requests and attempts, and stops attempts whose lease has expired on its own
/// clock.
///
/// Every method first processes all events that are due until `now`. Callers
/// must deliver calls only while `Reachable(now)`.
class WorkerModel {
 public:
  WorkerModel(WorkerId id, WorkerOptions options);

  AttachReply Attach(const AttachCall& call, Time now);
  WorkerHeartbeatReply Heartbeat(const WorkerHeartbeatCall& call, Time now);
  /// @return the answer if the request is refused or is a duplicate of an
  /// earlier call; otherwise nothing, and `Advance` returns the answer once the
  /// request has run.
  std::optional<RequestReply> RunRequest(const RunRequestCall& call, Time now);
  RequestReply CancelRequest(const CancelRequestCall& call, Time now);
  StartAttemptReply StartAttempt(const StartAttemptCall& call, Time now);
  StopAttemptReply StopAttempt(const StopAttemptCall& call, Time now);

  /// @return the answers that are due.
  std::vector<RequestReply> Advance(Time now);
  /// @return the time of the next event for `Advance`, or nothing.
  std::optional<Time> NextEvent() const;

  /// Stops all progress until a time, as if the machine were frozen. The clock
  /// keeps running.
  void Pause(Time until, Time now);
  /// Crashes the worker: drops all running work and all records of ended work.
  void Crash(Time now);
  /// Restarts the worker with the next incarnation; crashes it first if it is
  /// alive.
  void Restart(Time now);
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  WorkerFaults& faults() { return faults_; }
  /// Records a violation if `open` exceeds the connection limit.
  void ObserveConnections(int open);

  const WorkerId& id() const { return id_; }
  bool Reachable(Time now) const;
  /// @return the end of the current or last pause.
  Time paused_until() const { return paused_until_; }
  int connections() const { return options_.connections; }
  bool leaving() const { return leaving_; }
  Incarnation incarnation() const { return incarnation_; }
  WorkerTime Clock(Time now) const;
  /// @return the total resources of all running work.
  Resources used() const;
  std::size_t running() const { return running_.size(); }
  /// @return the maximum number of requests and attempts that ran at once.
  std::size_t peak_running() const { return peak_running_; }
  std::uint64_t requests_ended() const { return requests_ended_; }
  std::uint64_t attempts_ended() const { return attempts_ended_; }
  /// @return violations: capacity, slots or connections exceeded, or two
  /// attempts of one task at once. At most 100 entries are kept.
  const std::vector<std::string>& violations() const { return violations_; }
  /// @return the number of commands refused for lack of a slot or resources.
  /// An owner whose ledger matches the worker causes none.
  std::uint64_t overcommits() const { return overcommits_; }
  /// @return the starts and ends since the last call.
  std::vector<WorkEvent> TakeEvents() { return std::exchange(events_, {}); }

 private:
  using TaskKey = std::pair<CustomerId, TaskId>;

  struct Work {
    std::optional<AttemptId> attempt;
    std::optional<ExchangeId> exchange;
    KindId kind;
    Resources resources;
    Duration total = Duration::zero();
    Duration progress = Duration::zero();
    /// Progress at which the next checkpoint is taken.
    Duration next_checkpoint = Duration::max();
    std::int64_t slowdown_permille = 1000;
    std::string checkpoint;
    /// Echoed in the result so that callers can match answers to calls.
    std::string payload;
    Epoch task_epoch;
    Time lease_end = Time::max();
  };
  struct ClosedAttempt {
    AttemptNumber number;
    bool started = false;
    Time at;
  };
  struct EndedExchange {
    RequestReply reply;
    Time at;
  };
  struct UsageSnapshot {
    Time at;
    std::vector<UsageReport> usage;
  };

  // worker_model.cc: commands
  std::optional<RefusalReason> RefusalOfCommand(const CommandHeader& header,
                                                Time now) const;
  std::optional<RefusalReason> RefusalOfWork(const KindId& kind,
                                             const Resources& resources);
  void Renew(const LeaseRenewal& renewal, Time now);
  std::optional<RefusalReason> RefusalOfAttempt(const StartAttemptCall& call,
                                                Time now);
  Work NewAttempt(const StartAttemptCall& call, Time now) const;
  std::vector<AttemptReport> Reports() const;
  AttemptReport ReportOf(const Work& work) const;
  Work* FindAttempt(const AttemptId& id);
  Work* FindExchange(const ExchangeId& id);
  Time HostTime(WorkerTime time) const;

  // worker_run.cc: progress
  void ProcessUntil(Time now);
  std::optional<Time> NextWorkEvent() const;
  void ProgressTo(Time at);
  void HandleDue(Time at);
  void Start(Work work, Time at);
  void EndAttempt(const Work& work, AttemptState state, Time at);
  void EndExchange(const Work& work, Time at);
  void UpdateSlowdowns();
  void RecordUsage(Time at);
  std::vector<UsageReport> LaggingUsage(Time now);
  void RemoveExpired(Time now);
  void Violation(std::string text);
  const KindBehaviour& BehaviourOf(const KindId& kind) const;

  WorkerId id_;
  WorkerOptions options_;
  WorkerFaults faults_;
  bool alive_ = true;
  bool leaving_ = false;
  Time paused_until_;
  Time updated_;
  Time last_removal_;
  Incarnation incarnation_{1};
  Epoch epoch_;
  EntryHostId owner_;
  std::vector<Work> running_;
  std::map<AttemptId, AttemptReport> ended_;
  std::map<TaskKey, ClosedAttempt> closed_;
  std::map<ExchangeId, EndedExchange> exchanges_;
  /// Delayed answers and the times at which they are due.
  std::vector<std::pair<Time, RequestReply>> answers_;
  std::deque<UsageSnapshot> usage_;
  std::vector<WorkEvent> events_;
  std::vector<std::string> violations_;
  std::uint64_t overcommits_ = 0;
  std::size_t peak_running_ = 0;
  std::uint64_t requests_ended_ = 0;
  std::uint64_t attempts_ended_ = 0;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_WORKER_MODEL_H_
