#ifndef GYPSUMFALL_ENTRY_INTERNAL_REQUEST_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_REQUEST_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gypsumfall/admission/admission.h"
#include "gypsumfall/contract/contract.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/worker_service.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall {

/// A request as it arrives, from a caller or forwarded by a peer.
struct IncomingRequest {
  CustomerId customer;
  RequestId id;
  KindRule rule;
  std::string payload;
  Time deadline;
  /// Whether a peer sent it: it is admitted there and not forwarded again.
  bool from_peer = false;
};

/// Runs requests: admission, placement, exchange with a worker, answer.
class RequestService : public Service {
 public:
  using Done = std::function<void(const CallerAnswer&)>;

  explicit RequestService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kContractService, kWorkerService, kMembershipService};
  }
  Result<void> Start() override;
  /// Refuses what waits and lets exchanges in flight finish.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Runs a request; `done` is called once, possibly before this returns.
  void Run(IncomingRequest request, Done done);
  /// @return what is known of a request here.
  std::optional<RequestView> Lookup(const CustomerId& customer,
                                    const RequestId& id) const;
  /// Answers a peer that forwards a request or asks for its outcome.
  void RunForwarded(const ForwardedRequest& request, Done done);
  /// Puts the limits of a contract in force.
  void SetLimits(const Contract& contract);

  Admission& admission() { return admission_; }
  std::size_t unanswered() const { return table_->unanswered(); }

 private:
  /// What is needed to send a request until it is answered.
  struct Open {
    IncomingRequest request;
    std::vector<Done> waiting;
    bool admitted = false;
    Time arrived;
  };

  void Perform(RequestActions actions);
  void PlaceRequest(const Place& place);
  void Forward(const Place& place, const IncomingRequest& request);
  void Send(const gypsumfall::Send& send);
  void AskForwarded(const ResolveForward& ask);
  void CallPeer(const EntryHostId& peer, const ForwardedRequest& call,
                Duration timeout);
  void AnswerCallers(const Answer& answer);
  bool Admit(const IncomingRequest& request, const Done& done);
  void Arm();
  void FinishStopIfDone();

  EntryContext context_;
  Logger log_;
  Admission admission_;
  std::unique_ptr<RequestTable> table_;
  std::unique_ptr<ExchangeIdSource> exchanges_;
  Timer timer_;
  std::unordered_map<RequestKey, Open> open_;
  std::unordered_map<ExchangeId, Placement> placed_;
  std::function<void()> stopped_;
  Counter& forwarded_;
  LatencyHistogram& latency_;
  std::vector<Counter*> answers_by_was_run_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_REQUEST_SERVICE_H_
