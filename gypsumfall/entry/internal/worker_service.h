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

/// Talks to the workers that this host owns.
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

  /// Takes the present hosts from membership.
  void OnMembershipChanged();
  void OnReleaseAsked(const RackId& rack, const EntryHostId& by);

  /// Sends a request for which `placement` holds room.
  void SendRequest(const Placement& placement, const RunRequestCall& call,
                   Duration timeout);
  /// Asks what became of an exchange, so that it never starts from now on.
  void SendCancel(const WorkerId& worker, const ExchangeId& exchange);

  /// Does what a task owner asks; `done` gets the answer when all commands to
  /// workers have been answered or timed out.
  void Handle(const AttemptsCall& call,
              std::function<void(AttemptsReply)> done);
  /// @return the rack of a listed worker; empty if it is not listed.
  RackId RackOf(const WorkerId& worker) const;

  /// Answers to `SendRequest`: the reply, or whether the call certainly was
  /// not sent.
  std::function<void(const WorkerId&, const RequestReply&)> on_reply;
  std::function<void(const ExchangeId&, bool certainly_not_sent)>
      on_send_failed;
  std::function<void(const WorkerId&, const RequestReply&)> on_cancel_reply;
  /// The worker restarted or is gone for good.
  std::function<void(const WorkerId&)> on_worker_lost;
  /// Attempts of one partition on one worker are new or have changed.
  std::function<void(int partition, const WorkerReports&)> on_reports;
  /// Room may have become free.
  std::function<void()> on_room;

 private:
  struct Pending;

  void Tick();
  void PollHostList();
  void Perform(FleetActions actions);
  void Send(const SendAttach& action);
  void Send(const SendWorkerHeartbeat& action);
  void Send(const SendResolve& action);
  void OnAttached(const WorkerAttached& attached);
  void Report(const WorkerId& worker, Incarnation incarnation,
              const std::vector<AttemptReport>& reports);
  void Reserve(const ReserveCall& call, AttemptsReply& reply);
  void StartAttempt(const PeerStartCall& call,
                    const std::shared_ptr<Pending>& pending);
  void StopAttempt(const PlacedAttempt& attempt,
                   const std::shared_ptr<Pending>& pending);
  void AddReports(const WorkerId& worker, int partition, AttemptsReply& reply);
  template <typename Reply, typename Message>
  void Call(const std::string& address, const std::string& path,
            const Message& message, Duration timeout,
            std::function<void(Result<Reply>, bool certainly_not_sent)> done);

  EntryContext context_;
  Logger log_;
  Fleet fleet_;
  std::map<WorkerId, ListedHost> listed_;
  /// Newest report of each attempt on owned workers that is not acknowledged.
  std::map<WorkerId, std::map<AttemptId, AttemptReport>> known_;
  std::map<WorkerId, Incarnation> incarnations_;
};

/// @return the task partition that holds all tasks of the customer.
int PartitionOf(const CustomerId& customer, const EntrySettings& settings);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_WORKER_SERVICE_H_
