#ifndef GYPSUMFALL_ENTRY_INTERNAL_WORKER_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_WORKER_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/fleet/fleet.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Exchanges all messages with the workers that this host owns.
class WorkerService : public Service {
 public:
  explicit WorkerService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kStoreService, kMembershipService};
  }
  Result<void> Start() override;
  /// Releases all workers.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  Fleet& fleet() { return fleet_; }
  const Fleet& fleet() const { return fleet_; }

  /// Passes the hosts that membership now reports as present to the fleet.
  void OnMembershipChanged();
  /// Handles the request of the peer `by` to release a rack to it.
  void OnRackReleaseRequested(const RackId& rack, const EntryHostId& by);

  /// Sends a request for which `placement` has reserved capacity.
  void SendRequest(const Placement& placement, const RunRequestCall& call,
                   Duration timeout);
  /// Asks the worker for the outcome of an exchange. The worker does not start
  /// the exchange after that.
  void SendCancel(const WorkerId& worker, const ExchangeId& exchange);

  /// Executes the commands of a task owner. Calls `done` with the answer when
  /// all commands to workers have been answered or have timed out.
  void Handle(const AttemptsCall& call,
              std::function<void(AttemptsReply)> done);
  /// @return the rack of a worker on the host list; empty if it is not listed.
  RackId RackOf(const WorkerId& worker) const;

  /// Called with the outcome of `SendRequest`: `on_reply` with the reply, or
  /// `on_send_failed` with whether the call certainly was not sent.
  std::function<void(const WorkerId&, const RequestReply&)> on_reply;
  std::function<void(const ExchangeId&, bool certainly_not_sent)>
      on_send_failed;
  /// Called with the reply to a query for the outcome of an exchange.
  std::function<void(const WorkerId&, const RequestReply&)> on_cancel_reply;
  /// Called when a worker has restarted or has been removed.
  std::function<void(const WorkerId&)> on_worker_lost;
  /// Called when attempts of one partition on one worker are new or changed.
  std::function<void(int partition, const WorkerAttemptReports&)> on_reports;
  /// Called when capacity may have become free.
  std::function<void()> on_capacity_freed;

 private:
  struct PendingAnswer;

  void Tick();
  void PollHostList();
  void Perform(FleetActions actions);
  void Send(const SendAttach& action);
  void Send(const SendWorkerHeartbeat& action);
  void Send(const SendResolve& action);
  void OnAttached(const WorkerAttached& attached);
  /// Passes reports to `on_reports`, grouped by task partition.
  void PublishReports(const WorkerId& worker, Incarnation incarnation,
                      const std::vector<AttemptReport>& reports);
  void Reserve(const ReserveCall& call, AttemptsReply& reply);
  void StartAttempt(const PeerStartCall& call,
                    const std::shared_ptr<PendingAnswer>& pending);
  void StopAttempt(const PlacedAttempt& attempt,
                   const std::shared_ptr<PendingAnswer>& pending);
  void AddReports(const WorkerId& worker, int partition, AttemptsReply& reply);
  template <typename Reply, typename Message>
  void CallWorker(
      const std::string& address, const std::string& path,
      const Message& message, Duration timeout,
      std::function<void(Result<Reply>, bool certainly_not_sent)> done);

  EntryContext context_;
  Logger log_;
  Fleet fleet_;
  std::map<WorkerId, ListedHost> listed_hosts_;
  /// Newest report of each attempt on an owned worker that the task owner has
  /// not acknowledged.
  std::map<WorkerId, std::map<AttemptId, AttemptReport>> attempt_reports_;
  std::map<WorkerId, Incarnation> incarnations_;
};

/// @return the task partition that holds all tasks of the customer.
int PartitionOf(const CustomerId& customer, const EntrySettings& settings);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_WORKER_SERVICE_H_
