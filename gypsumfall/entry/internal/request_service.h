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

/// A request received from a caller or forwarded by a peer.
struct IncomingRequest {
  CustomerId customer;
  RequestId id;
  KindSpec rule;
  std::string payload;
  Time deadline;
  /// Whether a peer forwarded it. The peer has admitted it, and it is not
  /// forwarded a second time.
  bool from_peer = false;
};

/// Runs requests: admits and places them, exchanges them with a worker and
/// answers the callers.
class RequestService : public Service {
 public:
  using AnswerCallback = std::function<void(const CallerAnswer&)>;

  explicit RequestService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kContractService, kWorkerService, kMembershipService};
  }
  Result<void> Start() override;
  /// Refuses waiting requests and lets exchanges in flight finish.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Runs a request; `done` is called once, possibly before this returns.
  void Run(IncomingRequest request, AnswerCallback done);
  /// @return the state of a request on this host, or nullopt if it is unknown
  ///     here.
  std::optional<RequestView> Lookup(const CustomerId& customer,
                                    const RequestId& id) const;
  /// Runs a request that a peer forwards, or answers with the outcome if the
  /// peer only asks for that.
  void RunForwarded(const ForwardedRequest& request, AnswerCallback done);
  /// Applies the admission limits of a contract.
  void SetLimits(const Contract& contract);

  Admission& admission() { return admission_; }
  std::size_t unanswered() const { return table_->unanswered(); }

 private:
  /// A request that is not answered yet.
  struct OpenRequest {
    IncomingRequest request;
    /// Callbacks of all callers that submitted this request.
    std::vector<AnswerCallback> callbacks;
    /// Whether it counts in the admission of this host.
    bool admitted = false;
    Time arrived;
  };

  void Perform(RequestActions actions);
  void PlaceRequest(const RequestCapacity& place);
  void Forward(const RequestCapacity& place, const IncomingRequest& request);
  void SendToWorker(const gypsumfall::SendToWorker& send);
  void ResolveForwarded(const ResolveForward& ask);
  void CallPeer(const EntryHostId& peer, const ForwardedRequest& call,
                Duration timeout);
  void AnswerCallers(const AnswerCaller& answer);
  bool Admit(const IncomingRequest& request, const AnswerCallback& done);
  /// Sets the timer to the next time at which the table has work to do.
  void ScheduleTick();
  void FinishStopIfDone();

  EntryContext context_;
  Logger log_;
  Admission admission_;
  std::unique_ptr<RequestTable> table_;
  std::unique_ptr<ExchangeIdSource> exchange_ids_;
  Timer timer_;
  std::unordered_map<RequestKey, OpenRequest> open_requests_;
  /// Placements whose requests have not been sent yet.
  std::unordered_map<ExchangeId, Placement> unsent_;
  std::function<void()> stopped_;
  Counter& forwarded_;
  LatencyHistogram& latency_;
  std::vector<Counter*> answers_by_was_run_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_REQUEST_SERVICE_H_
