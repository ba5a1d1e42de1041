#ifndef GYPSUMFALL_ENTRY_INTERNAL_API_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_API_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/entry/internal/caller_api.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/operator_api.h"
#include "gypsumfall/entry/internal/peer_api.h"

namespace gypsumfall {

/// The HTTP listener of an entry host: checks the operator and peer keys and
/// routes each request to the API that answers it.
class ApiService : public Service {
 public:
  explicit ApiService(const EntryContext& context);

  std::vector<std::string> dependencies() const override {
    return {kRequestService, kTaskService, kContractService, kMembershipService,
            kOwnershipService};
  }
  Result<void> Start() override;
  /// Drains open requests, then closes the listener.
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Makes the health check answer 503 from now on, so that the load balancer
  /// stops routing to this host.
  void SetUnhealthy() { healthy_ = false; }
  std::size_t open_requests() const { return server_.open_requests(); }

 private:
  void Handle(HttpRequest request, Responder respond);
  HttpResponse Health() const;

  EntryContext context_;
  bool healthy_ = true;
  CallerApi callers_;
  OperatorApi operators_;
  PeerApi peers_;
  Server server_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_API_SERVICE_H_
