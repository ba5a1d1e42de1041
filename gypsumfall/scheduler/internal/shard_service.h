#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_SHARD_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_SHARD_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/dispatch_service.h"
#include "gypsumfall/scheduler/internal/duty_service.h"
#include "gypsumfall/scheduler/internal/layout_service.h"
#include "gypsumfall/scheduler/internal/worker_list_service.h"

namespace gypsumfall::scheduler_internal {

/// One shard as this host sees it: who has its duty, and its dispatcher while
/// this host has it.
struct Shard {
  Shard(Context& context, ShardId id, HostDuties& duties, LayoutService& layout,
        WorkerListService& worker_list)
      : scope(id),
        duty(context, scope, duties),
        dispatch(context, scope, duty, layout, worker_list) {}
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  const ShardScope scope;
  DutyService duty;
  DispatchService dispatch;
};

/// The shards of the deployment, once their number is known.
class ShardService : public Service {
 public:
  explicit ShardService(Context& context) : context_(context) {}

  std::vector<std::string> dependencies() const override {
    return {kLayoutService, kWorkerListService};
  }
  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return whether the shards are known.
  bool is_ready() const { return !shards_.empty(); }
  const std::vector<std::unique_ptr<Shard>>& shards() const { return shards_; }
  /// @return the shard, or null if there is none of that number.
  Shard* At(ShardId id) const;
  /// The shards must be known.
  Shard& Of(const JobId& job) const;

  /// Gives all duties back and takes none any more.
  void Release();

 private:
  void Tick();

  Context& context_;
  LayoutService* layout_ = nullptr;
  HostDuties duties_;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_SHARD_SERVICE_H_
