#ifndef TESTING_FAKE_WORKER_H_
#define TESTING_FAKE_WORKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumfall/tasks/tasks.h"
#include "testing/invariants.h"

namespace gypsumfall::testing {

/// A worker without network, for simulations. It runs attempts under leases on
/// its own clock and writes what it does to a history.
class FakeWorker {
 public:
  /// @param rate speed of the worker's clock relative to real time.
  /// @param history where events are written; must outlive the worker.
  FakeWorker(WorkerId id, double rate, std::vector<Event>& history)
      : id_(std::move(id)), rate_(rate), history_(&history) {}

  /// Lets real time pass until `now`; ends leases on the way.
  void AdvanceTo(Time now);
  /// Restarts: all attempts are cut off and forgotten.
  void Restart();

  StartAttemptReply Start(const StartAttempt& call);
  void Renew(const RenewAttempt& call);
  AttemptReport Stop(const StopAttempt& call);
  void Acknowledge(const AcknowledgeAttempt& call);

  /// Ends or checkpoints one running attempt chosen by `pick`, as the work does
  /// by itself.
  void Work(std::uint64_t pick);

  WorkerReading reading() const { return {id_, incarnation_, clock_}; }
  std::vector<AttemptReport> Reports() const;
  bool HasRoom() const { return running_ < kSlots; }

 private:
  static constexpr std::size_t kSlots = 3;

  struct Attempt {
    AttemptReport report;
    Epoch task_epoch;
  };

  void End(Attempt& attempt, AttemptState state, Event::Type type);

  WorkerId id_;
  double rate_;
  std::vector<Event>* history_;
  Incarnation incarnation_ = Incarnation(1);
  WorkerTime clock_;
  std::map<AttemptId, Attempt> attempts_;
  // Highest closed attempt number by task.
  std::map<TaskKey, AttemptNumber> closed_;
  std::size_t running_ = 0;
};

}  // namespace gypsumfall::testing

#endif  // TESTING_FAKE_WORKER_H_
