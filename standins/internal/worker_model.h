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

/// How work of one kind behaves on a worker.
struct KindBehaviour {
  /// Run time on a host that is not shared.
  Duration run_time = milliseconds(10);
  /// Progress between two checkpoints of an attempt; zero for none.
  Duration checkpoint_every = Duration::zero();
  bool fails = false;
  /// Real use relative to the declared resources, in thousandths.
  std::int64_t use_permille = 1000;
  /// Added to the slowdown by each neighbour of a kind, in thousandths.
  std::map<KindId, std::int64_t> slowed_by = {};
};

struct WorkerOptions {
  Resources capacity{MilliCores(30'000), MebiBytes(125'000), Accelerators(0)};
  int slots = 8;
  int connections = 60;
  std::map<KindId, KindBehaviour> kinds = {};
  /// Reading of the worker's clock at time zero of the host timeline.
  Duration clock_offset = seconds(1000);
  Duration usage_lag = seconds(10);
  /// How long ended work is remembered for repeated and cancelling calls.
  Duration memory = std::chrono::minutes(20);
};

/// Faults that can be switched on while a worker runs.
struct WorkerFaults {
  bool fail_everything = false;
  /// Delay of the answers to requests, after they have run.
  Duration answer_delay = Duration::zero();
  bool answer_twice = false;
  /// Answers that are due at the same time are given in reverse order.
  bool reverse_answers = false;
};

/// A start or an end of work, for checks of invariants.
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

/// One worker: arbitrates between owners, runs requests and attempts, ends
/// attempts whose lease is over on its own clock.
///
/// Every method first carries out what is due until `now`. Callers deliver no
/// call unless `Reachable(now)`.
class WorkerModel {
 public:
  WorkerModel(WorkerId id, WorkerOptions options);

  AttachReply Attach(const AttachCall& call, Time now);
  WorkerHeartbeatReply Heartbeat(const WorkerHeartbeatCall& call, Time now);
  /// @return the answer if the request is refused or known from an earlier
  /// copy of the call; otherwise `Advance` returns it once it has run.
  std::optional<RequestReply> RunRequest(const RunRequestCall& call, Time now);
  RequestReply CancelRequest(const CancelRequestCall& call, Time now);
  StartAttemptReply StartAttempt(const StartAttemptCall& call, Time now);
  StopAttemptReply StopAttempt(const StopAttemptCall& call, Time now);

  /// @return answers to requests that are due.
  std::vector<RequestReply> Advance(Time now);
  /// @return when `Advance` has something to do next.
  std::optional<Time> NextEvent() const;

  /// Stops all progress, as if the machine were frozen, until a time.
  void Pause(Time until, Time now);
  /// Loses everything that runs and all that is remembered.
  void Die(Time now);
  /// Starts again, after a death or at once, with the next incarnation.
  void Restart(Time now);
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  WorkerFaults& faults() { return faults_; }
  /// Tells how many connections are open, which must not exceed the limit.
  void ObserveConnections(int open);

  const WorkerId& id() const { return id_; }
  bool Reachable(Time now) const;
  /// @return when the current or last pause ends.
  Time paused_until() const { return paused_until_; }
  int connections() const { return options_.connections; }
  bool leaving() const { return leaving_; }
  Incarnation incarnation() const { return incarnation_; }
  WorkerTime Clock(Time now) const;
  /// @return resources of all that runs.
  Resources used() const;
  std::size_t running() const { return running_.size(); }
  /// @return the most work that ever ran at once.
  std::size_t peak_running() const { return peak_running_; }
  std::uint64_t requests_ended() const { return requests_ended_; }
  std::uint64_t attempts_ended() const { return attempts_ended_; }
  /// @return what must never happen: capacity, slots or connections exceeded,
  /// or two attempts of one task at once. At most 100 entries are kept.
  const std::vector<std::string>& violations() const { return violations_; }
  /// @return commands that were refused for lack of a slot or resources. An
  /// owner with an exact ledger causes none.
  std::uint64_t overcommits() const { return overcommits_; }
  /// @return starts and ends since the last call.
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
    /// Echoed in the result, so that callers can match answers.
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
  std::optional<RefusalReason> Refusal(const CommandHeader& header,
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
  void Settle(Time now);
  std::optional<Time> NextWorkEvent() const;
  void ProgressTo(Time at);
  void HandleDue(Time at);
  void Start(Work work, Time at);
  void EndAttempt(const Work& work, AttemptState state, Time at);
  void EndExchange(const Work& work, Time at);
  void UpdateSlowdowns();
  void RecordUsage(Time at);
  std::vector<UsageReport> LaggingUsage(Time now);
  void Forget(Time now);
  void Violation(std::string text);
  const KindBehaviour& BehaviourOf(const KindId& kind) const;

  WorkerId id_;
  WorkerOptions options_;
  WorkerFaults faults_;
  bool alive_ = true;
  bool leaving_ = false;
  Time paused_until_;
  Time updated_;
  Time forgot_;
  Incarnation incarnation_{1};
  Epoch epoch_;
  EntryHostId owner_;
  std::vector<Work> running_;
  std::map<AttemptId, AttemptReport> ended_;
  std::map<TaskKey, ClosedAttempt> closed_;
  std::map<ExchangeId, EndedExchange> exchanges_;
  /// Answers that wait for their delay.
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
