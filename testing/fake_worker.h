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

/// In-process worker for simulations. It runs attempts under leases on its own
/// clock and records starts and ends in a history.
class FakeWorker {
 public:
  /// @param rate speed of the worker's clock relative to real time.
  /// @param history receives the events; must outlive the worker.
  FakeWorker(WorkerId id, double clock_rate, std::vector<Event>& history)
      : id_(std::move(id)), clock_rate_(clock_rate), history_(&history) {}

  /// Advances the clock to `now` in real time and stops attempts with an
  /// expired lease.
  void AdvanceTo(Time now);
  /// Interrupts and discards all attempts and starts the next incarnation.
  void Restart();

  StartAttemptReply Start(const StartAttempt& call);
  void Renew(const RenewAttempt& call);
  AttemptReport Stop(const StopAttempt& call);
  void Acknowledge(const AcknowledgeAttempt& call);

  /// Finishes, fails or checkpoints one running attempt, as work does on its
  /// own.
  ///
  /// @param random selects the attempt and the outcome.
  void ProgressAttempt(std::uint64_t random);

  WorkerClockReading reading() const { return {id_, incarnation_, clock_}; }
  std::vector<AttemptReport> Reports() const;
  bool HasFreeSlot() const { return running_ < kSlots; }

 private:
  static constexpr std::size_t kSlots = 3;

  struct Attempt {
    AttemptReport report;
    Epoch task_epoch;
  };

  void EndAttempt(Attempt& attempt, AttemptState state, Event::Type type);

  WorkerId id_;
  double clock_rate_;
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
