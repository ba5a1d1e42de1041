#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_HEALTH_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_HEALTH_SERVICE_H_

#include <functional>
#include <string>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/shard_service.h"
#include "gypsumfall/scheduler/internal/topology_service.h"

namespace gypsumfall::scheduler_internal {

/// Serves health checks: tells the load balancer whether this host accepts new
/// connections.
class HealthService : public Service {
 public:
  explicit HealthService(Context& context);

  std::vector<std::string> dependencies() const override {
    return {kTopologyService, kShardService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// Reports the host as not ready from now on; called before a shutdown.
  void SetStopping() { stopping_ = true; }

 private:
  bool IsReady() const;

  Context& context_;
  TopologyService* topology_ = nullptr;
  ShardService* shards_ = nullptr;
  Server server_;
  bool stopping_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_HEALTH_SERVICE_H_
